// What operators read from a gateway, and refusals that outlive it.
#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace ebonyvale;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr const char *Items = "ebonyvale-refusals/i-1/";
constexpr const char *ItemsEnd = "ebonyvale-refusals/i-10";

/// Refusals are written at once instead of every ten seconds.
gateway_settings writingSettings() {
  gateway_settings Settings = gateway_fixture::quickSettings();
  Settings.RefusalIntervalMs = 10;
  return Settings;
}

std::size_t written(gateway_fixture &Gateway) {
  return Gateway.Store.model().range(Items, ItemsEnd).size();
}

/// Refusals counted in the batches that the store holds.
std::uint64_t refusalsInStore(gateway_fixture &Gateway) {
  std::uint64_t Counted = 0;
  for (const key_value &Item : Gateway.Store.model().range(Items, ItemsEnd)) {
    const json Batch = json::parse(Item.Value);
    for (const json &Row : Batch.at("rows"))
      Counted += Row.at("count").get<std::uint64_t>();
  }
  return Counted;
}

json read(gateway_fixture &Gateway, const std::string &Target) {
  const caller_result Answer = Gateway.askAsOperator(Target);
  return json::parse(Answer.Body, nullptr, false);
}

} // namespace

Test(operator_answers, status_with_the_age_of_the_evidence) {
  gateway_fixture Gateway;
  const json Status = read(Gateway, "/status");
  cr_assert(Status.at("instance") == "i-1");
  cr_assert(Status.at("version") == 1);
  cr_assert(Status.at("ready") == true);
  cr_assert(Status.at("evidence_age_ms") >= 0);
  cr_assert(Status.at("teams").contains("t"));
  // Only its digest is kept here, and nobody is shown a key.
  cr_assert(Gateway.askAsOperator("/status").Body.find("key-1") ==
            std::string::npos);
}

Test(operator_answers, upstreams_as_they_are_believed_to_be) {
  gateway_fixture Gateway;
  Gateway.Store.put(Gateway.Upstreams[0]->key(),
                    Gateway.Upstreams[0]->entry("s", /*Draining=*/true));
  cr_assert(Gateway.waitFor(
      [&] { return Gateway.core().directory().find("u-1")->Draining; }));
  const json List = read(Gateway, "/upstreams").at("upstreams");
  cr_assert(List.size() == 2);
  cr_assert(List[0].at("name") == "u-1");
  cr_assert(List[0].at("usable") == false);
  cr_assert(List[1].at("usable") == true);
  cr_assert(List[1].at("weights").at("m") == 1);
}

Test(operator_answers, an_unknown_path_is_named) {
  gateway_fixture Gateway;
  const caller_result Answer = Gateway.askAsOperator("/stauts");
  cr_assert(Answer.Status == 404);
  cr_assert(Answer.Body.find("/stauts") != std::string::npos);
}

/// The instance that refused is gone; another one finds the refusal by its team
/// and by its reference.
Test(operator_answers, refusals_outlive_their_instance) {
  gateway_fixture Gateway(writingSettings());
  Gateway.configure(2, "\"key-1\"", /*Rate=*/1);
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 2; }));
  for (int Index = 0; Index < 3; ++Index)
    Gateway.ask({.Path = "/read/1", .Key = "bad", .Id = std::to_string(Index)});
  // What has not been written yet would be lost with the instance.
  cr_assert(Gateway.waitFor([&] { return refusalsInStore(Gateway) == 3; }));
  const json Here = read(Gateway, "/refusals").at("refusals");
  cr_assert(!Here.empty());
  const auto Second = Gateway.startAnother("i-2");
  cr_assert(
      Gateway.waitFor([&] { return Second->core().ready(readBootClock()); }));
  Gateway.kill();
  Gateway.useOperatorPortOf(*Second);
  const json Found = read(Gateway, "/refusals");
  cr_assert(Found.at("store") == "reached");
  std::uint64_t Counted = 0;
  std::string Reference;
  for (const json &Row : Found.at("refusals")) {
    Reference = Row.at("reference");
    cr_assert(Row.at("instance") == "i-1");
    cr_assert(Row.at("kind") == "key_unknown");
    Counted += Row.at("count").get<std::uint64_t>();
  }
  cr_assert(Counted == 3, "%lu", Counted);
  cr_assert(read(Gateway, "/refusals?team=other").at("refusals").empty());
  cr_assert(read(Gateway, "/refusals?to=1000").at("refusals").empty());
  cr_assert(read(Gateway, "/explain?reference=" + Reference).at("reference") ==
            Reference);
  cr_assert(Gateway.askAsOperator("/explain?reference=none").Status == 404);
}

/// A ring of items, however many refusals there are.
Test(operator_answers, refusals_take_bounded_room_in_the_store) {
  gateway_fixture Gateway(writingSettings());
  for (int Index = 0; Index < 40; ++Index) {
    Gateway.ask({.Path = "/read/1", .Key = "bad", .Id = std::to_string(Index)});
    runLoopFor(Gateway.Base.get(), 5ms);
  }
  cr_assert(written(Gateway) <= refusal_writer::Slots);
  cr_assert(Gateway.waitFor(
      [&] { return written(Gateway) == refusal_writer::Slots; }));
}

/// The answer to a write is lost: the same batch is written to the same item.
Test(operator_answers, a_lost_answer_doubles_no_refusal) {
  gateway_fixture Gateway(writingSettings());
  Gateway.Store.setFault(store_fault::LosesWriteReplies);
  Gateway.ask({.Path = "/read/1", .Key = "bad"});
  cr_assert(Gateway.waitFor([&] { return written(Gateway) > 0; }));
  runLoopFor(Gateway.Base.get(), 150ms);
  Gateway.Store.setFault(store_fault::None);
  runLoopFor(Gateway.Base.get(), 100ms);
  const std::uint64_t Counted = refusalsInStore(Gateway);
  cr_assert(Counted == 1, "%lu", Counted);
}

/// A planned stop writes what has not been written yet.
Test(operator_answers, a_stop_leaves_the_last_refusals_behind) {
  gateway_fixture Gateway;
  Gateway.ask({.Path = "/read/1", .Key = "bad"});
  cr_assert(written(Gateway) == 0);
  Gateway.stop();
  cr_assert(Gateway.waitFor([&] { return written(Gateway) == 1; }));
}

// The paths that operators read, and refusals in the store.
#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr const char *RingPrefix = "ebonyvale-refusals/i-1/";
constexpr const char *RingEnd = "ebonyvale-refusals/i-10";

/// Writes refusals every 10 ms instead of every ten seconds.
gateway_settings quickWriteSettings() {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.RefusalIntervalMs = 10;
  return Settings;
}

std::size_t itemCount(gateway_fixture &Gateway) {
  return Gateway.Store.model().range(RingPrefix, RingEnd).size();
}

/// Returns the number of refusals in the batches in the store.
std::uint64_t storedRefusals(gateway_fixture &Gateway) {
  std::uint64_t Count = 0;
  for (const key_value &Item :
       Gateway.Store.model().range(RingPrefix, RingEnd)) {
    const json Batch = json::parse(Item.Value);
    for (const json &Row : Batch.at("rows"))
      Count += Row.at("count").get<std::uint64_t>();
  }
  return Count;
}

/// Returns the refusals that the gateway has made.
std::vector<refusal> recordedRefusals(gateway_fixture &Gateway) {
  return Gateway.core().refusals().select({"", wall_ms::min(), wall_ms::max()});
}

json read(gateway_fixture &Gateway, const std::string &Target) {
  const caller_response Response = Gateway.getAsOperator(Target);
  return json::parse(Response.Body, nullptr, false);
}

} // namespace

Test(operator_handler, status_includes_the_age_of_the_configuration) {
  gateway_fixture Gateway;
  const json Status = read(Gateway, "/status");
  cr_assert(Status.at("instance") == "i-1");
  cr_assert(Status.at("version") == 1);
  cr_assert(Status.at("ready") == true);
  cr_assert(Status.at("evidence_age_ms") >= 0);
  cr_assert(Status.at("teams").contains("t"));
  // The gateway keeps only hashes of keys and shows none of them.
  cr_assert(Gateway.getAsOperator("/status").Body.find("key-1") ==
            std::string::npos);
}

Test(operator_handler, upstreams_show_the_state_used_for_scheduling) {
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
  cr_assert(List[1].at("limit_per_second") == -1);
  Gateway.core().upstreamLimits().onPeerLimit({"u-2", 1.8, readBootClock()},
                                              readBootClock());
  cr_assert(
      read(Gateway, "/upstreams").at("upstreams")[1].at("limit_per_second") ==
      1.8);
}

/// Costs are learned for a service from the first upstream on that states a
/// slowness.
Test(operator_handler, learned_costs_are_shown) {
  gateway_fixture Gateway;
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
  cr_assert(read(Gateway, "/costs").at("services").empty());
  cr_assert(read(Gateway, "/costs").at("routes").empty());
  for (auto &Upstream : Gateway.Upstreams)
    Upstream->ExtraHeaders.push_back({"Ebonyvale-Server-Load", "0,0,8,150"});
  for (int Index = 0; Index < 24; ++Index)
    cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
  const json Costs = read(Gateway, "/costs");
  cr_assert(Costs.at("services").size() == 1, "%s", Costs.dump().c_str());
  cr_assert(Costs.at("routes").size() == 1 &&
                Costs.at("routes")[0].at("median_ms") > 0,
            "%s", Costs.dump().c_str());
  bool IsSlow = false;
  const json List = read(Gateway, "/upstreams").at("upstreams");
  for (const json &Upstream : List) {
    const double Stated = Upstream.at("slowness").get<double>() /
                          Upstream.at("learned_slowness").get<double>();
    IsSlow = IsSlow || (Upstream.at("uses_learned_costs") == true &&
                        Stated > 1.4 && Stated < 1.6);
  }
  cr_assert(IsSlow, "%s", List.dump().c_str());
}

Test(operator_handler, an_unknown_path_is_named_in_the_error) {
  gateway_fixture Gateway;
  const caller_response Response = Gateway.getAsOperator("/stauts");
  cr_assert(Response.Status == 404);
  cr_assert(Response.Body.find("/stauts") != std::string::npos);
}

/// After an instance was killed, another one finds its refusals by team and by
/// reference.
Test(operator_handler, refusals_outlive_their_instance) {
  gateway_fixture Gateway(quickWriteSettings());
  Gateway.configure(2, "\"key-1\"", /*Rate=*/1);
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 2; }));
  for (int Index = 0; Index < 3; ++Index)
    Gateway.sendRequest(
        {.Path = "/read/1", .Key = "bad", .Id = std::to_string(Index)});
  // Refusals that are not written yet would be lost with the instance.
  cr_assert(Gateway.waitFor([&] { return storedRefusals(Gateway) == 3; }));
  const json Here = read(Gateway, "/refusals").at("refusals");
  cr_assert(!Here.empty());
  const auto Second = Gateway.startGatewayInstance("i-2");
  cr_assert(
      Gateway.waitFor([&] { return Second->core().ready(readBootClock()); }));
  Gateway.kill();
  Gateway.setOperatorTarget(*Second);
  const json Found = read(Gateway, "/refusals");
  cr_assert(Found.at("store") == "reached");
  std::uint64_t Count = 0;
  std::string Reference;
  for (const json &Row : Found.at("refusals")) {
    Reference = Row.at("reference");
    cr_assert(Row.at("instance") == "i-1");
    cr_assert(Row.at("kind") == "key_unknown");
    Count += Row.at("count").get<std::uint64_t>();
  }
  cr_assert(Count == 3, "%lu", Count);
  cr_assert(read(Gateway, "/refusals?team=other").at("refusals").empty());
  cr_assert(read(Gateway, "/refusals?to=1000").at("refusals").empty());
  cr_assert(read(Gateway, "/explain?reference=" + Reference).at("reference") ==
            Reference);
  cr_assert(Gateway.getAsOperator("/explain?reference=none").Status == 404);
}

/// The number of items stays bounded, however many refusals there are.
Test(operator_handler, refusals_use_bounded_space_in_the_store) {
  gateway_fixture Gateway(quickWriteSettings());
  for (int Index = 0; Index < 40; ++Index) {
    Gateway.sendRequest(
        {.Path = "/read/1", .Key = "bad", .Id = std::to_string(Index)});
    runLoopFor(Gateway.Base.get(), 5ms);
  }
  cr_assert(itemCount(Gateway) <= refusal_writer::Slots);
  cr_assert(Gateway.waitFor(
      [&] { return itemCount(Gateway) == refusal_writer::Slots; }));
}

/// When the response to a write is lost, the retry writes the same batch to the
/// same item.
Test(operator_handler, a_lost_response_duplicates_no_refusal) {
  gateway_fixture Gateway(quickWriteSettings());
  Gateway.Store.setFault(store_fault::LosesWriteResponses);
  Gateway.sendRequest({.Path = "/read/1", .Key = "bad"});
  cr_assert(Gateway.waitFor([&] { return itemCount(Gateway) > 0; }));
  runLoopFor(Gateway.Base.get(), 150ms);
  Gateway.Store.setFault(store_fault::None);
  runLoopFor(Gateway.Base.get(), 100ms);
  // Another program may connect to a port that was free before this test, and
  // is refused, too: each request must be refused and stored once.
  const std::uint64_t Count = storedRefusals(Gateway);
  const auto Recorded = recordedRefusals(Gateway);
  std::string Listed;
  for (const refusal &Refusal : Recorded)
    Listed += fmt::format(" {} {} {};", Refusal.Reference, Refusal.Route,
                          errorRow(Refusal.Kind).Name);
  cr_assert(Count == Recorded.size(), "%lu stored of%s", Count, Listed.c_str());
  const double Requests = Gateway.core().counters().Requests.Value();
  cr_assert(Count >= 1 && static_cast<double>(Count) == Requests,
            "%lu stored for %g requests:%s", Count, Requests, Listed.c_str());
}

/// A graceful stop writes the refusals that are still pending.
Test(operator_handler, a_stop_writes_the_pending_refusals) {
  gateway_fixture Gateway;
  Gateway.sendRequest({.Path = "/read/1", .Key = "bad"});
  cr_assert(itemCount(Gateway) == 0);
  Gateway.stop();
  cr_assert(Gateway.waitFor([&] { return itemCount(Gateway) == 1; }));
}

/// A refusal that is recorded while a batch is being written is written, too.
Test(operator_handler, a_stop_during_a_write_writes_all_refusals) {
  gateway_fixture Gateway(quickWriteSettings());
  const auto Refuse = [&](const std::string &Team) {
    refusal Refusal;
    Refusal.Kind = error_kind::KeyUnknown;
    Refusal.Team = Team;
    Gateway.core().recordRefusal(std::move(Refusal), Team, 401, span_ns(0));
  };
  Refuse("first");
  cr_assert(Gateway.waitFor([&] { return storedRefusals(Gateway) == 1; }));
  Refuse("second");
  Gateway.stop();
  // The write of the second is in flight, since the loop has not run.
  Refuse("third");
  cr_assert(Gateway.waitFor([&] { return storedRefusals(Gateway) == 3; }));
}

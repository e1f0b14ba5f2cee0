// The gateway and the store: keys, versions, outages, weights and the stop.
#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cmath>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// Settings under which proof of the configuration ages fast.
gateway_settings agingSettings() {
  gateway_settings Settings = gateway_fixture::quickSettings();
  Settings.KeyBoundMs = 800; // 300 of them are kept as a margin
  Settings.ApplyBoundMs = 300;
  return Settings;
}

struct outage_row {
  store_fault Fault;
};

/// Settings under which a claim on the weights is acted on at once.
gateway_settings issuingSettings() {
  gateway_settings Settings = gateway_fixture::quickSettings();
  Settings.IssuerTermMs = 1;
  return Settings;
}

const std::string &claimKey() {
  static const std::string Key(weights_task::claimKey());
  return Key;
}

/// Waits until an instance holds the claim.
bool waitForClaim(gateway_fixture &Gateway) {
  return Gateway.waitFor(
      [&] { return Gateway.Store.model().get(claimKey()).has_value(); });
}

/// Names \p Version and waits until both upstreams have it.
bool bringsWeights(gateway_fixture &Gateway, std::int64_t Version) {
  Gateway.Store.put("op/version/m", R"({"model":"m","version":)" +
                                        std::to_string(Version) + "}");
  return Gateway.waitFor([&] {
    return Gateway.Upstreams[0]->Weights == Version &&
           Gateway.Upstreams[1]->Weights == Version;
  });
}

int runs(const gateway_fixture &Gateway) {
  return Gateway.Upstreams[0]->runs() + Gateway.Upstreams[1]->runs();
}

} // namespace

Test(gateway_task, a_withdrawn_key_stops_working) {
  gateway_fixture Gateway;
  cr_assert(Gateway.ask({.Path = "/read/1"}).Status == 200);
  Gateway.configure(2, "\"key-2\"");
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 2; }));
  cr_assert(Gateway.ask({.Path = "/read/1"}).Status == 401);
  cr_assert(Gateway.ask({.Path = "/read/1", .Key = "key-2"}).Status == 200);
}

Test(gateway_task, an_older_version_never_comes_into_force) {
  gateway_fixture Gateway;
  Gateway.configure(5);
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 5; }));
  Gateway.configure(4, "\"key-2\"");
  Gateway.configure(6, "\"key-1\",\"key-6\"");
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 6; }));
  cr_assert(Gateway.ask({.Path = "/read/1"}).Status == 200);
}

ParameterizedTestParameters(gateway_task, without_proof_no_key_is_used) {
  static outage_row Rows[] = {{store_fault::Down}, {store_fault::Refuses}};
  return criterion_test_params(Rows);
}

/// The operators may have withdrawn the key while the store does not serve
/// this instance.
ParameterizedTest(outage_row *Row, gateway_task, without_proof_no_key_is_used) {
  gateway_fixture Gateway(agingSettings());
  Gateway.Store.setFault(Row->Fault);
  const auto Proved = [&] {
    return Gateway.core().proof().coversKeys(readBootClock(),
                                             Gateway.core().proofTerms());
  };
  cr_assert(Gateway.waitFor([&] { return !Proved(); }));
  const int Before = runs(Gateway);
  const caller_result Refused = Gateway.ask({.Path = "/read/1"});
  cr_assert(Refused.Status == 503);
  cr_assert(Refused.Headers.find("Retry-After"));
  cr_assert(runs(Gateway) == Before);
  // Ignorance is never a 401 or 404, and routes open to all go on.
  cr_assert(Gateway.ask({.Path = "/read/1", .Key = "x"}).Status == 503);
  cr_assert(Gateway.ask({.Path = "/none/1"}).Status == 503);
  cr_assert(Gateway.ask({.Path = "/open/1", .Key = ""}).Status == 200);
  Gateway.Store.setFault(store_fault::None);
  cr_assert(Gateway.waitFor(Proved));
  // On a busy machine the proof may age once more before a request arrives.
  const int Unchanged = runs(Gateway);
  caller_result Served;
  cr_assert(Gateway.waitFor([&] {
    Served = Gateway.ask({.Path = "/read/1"});
    return Served.Status != 503 || runs(Gateway) != Unchanged;
  }));
  cr_assert(Served.Status == 200);
}

Test(gateway_task, before_the_first_version_nothing_is_unknown) {
  gateway_fixture Gateway;
  // A second instance starts while the store is down.
  Gateway.Store.setFault(store_fault::Down, "i-2");
  const auto Second = Gateway.startAnother("i-2");
  cr_assert(!Second->core().ready(readBootClock()));
  cr_assert(!Second->core().routing());
  Gateway.Store.setFault(store_fault::None, "i-2");
  cr_assert(
      Gateway.waitFor([&] { return Second->core().ready(readBootClock()); }));
}

Test(gateway_task, lost_history_is_listed_anew) {
  gateway_fixture Gateway;
  Gateway.Store.compactHistory();
  Gateway.Store.put(Gateway.Upstreams[0]->key(),
                    Gateway.Upstreams[0]->entry("s", /*Draining=*/true));
  Gateway.Store.compactHistory();
  cr_assert(Gateway.waitFor([&] {
    const upstream_entry *Entry = Gateway.core().directory().find("u-1");
    return Entry && Entry->Draining;
  }));
  for (int Index = 0; Index < 5; ++Index)
    Gateway.ask({.Path = "/read/1", .Id = std::to_string(Index)});
  cr_assert(Gateway.Upstreams[0]->runs() == 0);
  cr_assert(Gateway.Upstreams[1]->runs() == 5);
}

Test(gateway_task, a_foreign_entry_harms_no_other) {
  gateway_fixture Gateway;
  Gateway.Store.put("servers/foreign", "\xff{");
  Gateway.Store.put(Gateway.Upstreams[0]->key(), "{}");
  cr_assert(
      Gateway.waitFor([&] { return !Gateway.core().directory().find("u-1"); }));
  cr_assert(Gateway.ask({.Path = "/read/1"}).Status == 200);
  cr_assert(Gateway.Upstreams[1]->runs() == 1);
}

Test(gateway_task, new_weights_are_brought_to_all_engines) {
  gateway_fixture Gateway(issuingSettings());
  cr_assert(bringsWeights(Gateway, 2));
}

/// The write of the claim is done and its answer lost.
Test(gateway_task, a_lost_answer_to_the_claim_is_read_back) {
  gateway_fixture Gateway(issuingSettings());
  cr_assert(waitForClaim(Gateway));
  Gateway.Store.setFault(store_fault::LosesWriteReplies);
  // Somebody removes the claim; it is taken again without an answer.
  Gateway.Store.erase(claimKey());
  cr_assert(waitForClaim(Gateway));
  Gateway.Store.setFault(store_fault::None);
  cr_assert(bringsWeights(Gateway, 3));
}

/// A claim whose answer was lost may be written seconds later, when another
/// instance has long taken over.
Test(gateway_task, a_late_claim_displaces_nobody) {
  gateway_fixture Gateway(issuingSettings());
  const auto Holder = [&] { return Gateway.Store.model().get(claimKey()); };
  cr_assert(Gateway.waitFor([&] { return Holder().has_value(); }));
  Gateway.Store.setFault(store_fault::DelayedWrites);
  Gateway.Store.erase(claimKey());
  // Long enough for an attempt to claim to be under way.
  runLoopFor(Gateway.Base.get(), fake_fleet_store::WriteDelay / 2);
  Gateway.Store.put(claimKey(), "i-9");
  Gateway.Store.put("op/version/m", R"({"model":"m","version":2})");
  runLoopFor(Gateway.Base.get(), fake_fleet_store::WriteDelay * 3);
  cr_assert(Holder()->Value == "i-9");
  cr_assert(Gateway.Upstreams[0]->Weights == 1);
}

/// All writes of a new instance are late: it takes up its work all the same.
Test(gateway_task, a_late_claim_is_found_and_used) {
  gateway_fixture Gateway(issuingSettings());
  cr_assert(waitForClaim(Gateway));
  Gateway.Store.setFault(store_fault::DelayedWrites);
  Gateway.Store.erase(claimKey());
  cr_assert(waitForClaim(Gateway));
  Gateway.Store.setFault(store_fault::None);
  cr_assert(bringsWeights(Gateway, 2));
}

/// A watch that says nothing hides no withdrawn key: plain reads prove it.
Test(gateway_task, a_deaf_watch_hides_no_withdrawn_key) {
  gateway_fixture Gateway;
  Gateway.Store.setFault(store_fault::EmptyWatches);
  Gateway.configure(2, "\"key-2\"");
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 2; }));
  cr_assert(Gateway.ask({.Path = "/read/1"}).Status == 401);
}

/// What upstreams wrote while the watch was deaf is found once it is cut.
Test(gateway_task, upstreams_are_listed_anew_after_a_deaf_watch) {
  gateway_fixture Gateway;
  Gateway.Store.setFault(store_fault::EmptyWatches);
  Gateway.Store.put(Gateway.Upstreams[0]->key(),
                    Gateway.Upstreams[0]->entry("s", /*Draining=*/true));
  runLoopFor(Gateway.Base.get(), 50ms);
  Gateway.Store.compactHistory();
  Gateway.Store.setFault(store_fault::None);
  cr_assert(Gateway.waitFor([&] {
    const upstream_entry *Entry = Gateway.core().directory().find("u-1");
    return Entry && Entry->Draining;
  }));
}

Test(gateway_task, another_instances_claim_is_left_alone) {
  gateway_fixture Gateway(issuingSettings());
  cr_assert(waitForClaim(Gateway));
  Gateway.Store.put(claimKey(), "i-9");
  Gateway.Store.put("op/version/m", R"({"model":"m","version":2})");
  runLoopFor(Gateway.Base.get(), 600ms);
  cr_assert(Gateway.Upstreams[0]->Weights == 1);
  cr_assert(Gateway.Store.model().get(claimKey())->Value == "i-9");
}

/// After all have been restarted each reads the routing document before it has
/// read who the others are; one that took itself for the only one would spend
/// everybody's part.
Test(gateway_task, a_new_instance_takes_no_more_than_its_part) {
  gateway_fixture Gateway;
  constexpr std::size_t Others = 8;
  for (std::size_t Index = 0; Index < Others; ++Index)
    Gateway.Store.put("ebonyvale/instances/o-" + std::to_string(Index),
                      R"({"address":"127.0.0.1","port":1,"domain":"z"})");
  cr_assert(Gateway.waitFor([&] {
    return Gateway.Store.model().get("ebonyvale/instances/i-1").has_value();
  }));
  const auto Second = Gateway.startAnother("i-2");
  cr_assert(
      Gateway.waitFor([&] { return Second->core().ready(readBootClock()); }));
  // Equal parts of the tolerated rate and burst: 1.09 of a million, the burst
  // with the slack's part, over ten instances.
  constexpr double Instances = Others + 2;
  constexpr double PartRate = 1.09e6 / Instances;
  constexpr double PartBurst = (1.09e6 + 600) / Instances;
  const instant Now = readBootClock();
  const double Held = Second->core().shares().available("t", Now);
  // A tenth of the part, and what it has accrued since the process started.
  const double Accrued = PartRate * toSeconds(Now - Second->core().started());
  const double MostHeld = std::min(PartBurst, 0.1 * PartBurst + Accrued);
  cr_assert(Held >= 0.1 * PartBurst - 1, "%.0f of %.0f", Held, PartBurst);
  cr_assert(Held <= MostHeld + 1, "%.0f of %.0f", Held, MostHeld);
  // From here on it accrues at its part of the rate, up to its part of the
  // burst.
  const double Later = Second->core().shares().available("t", Now + 500ms);
  const double Expected = std::min(PartBurst, Held + 0.5 * PartRate);
  cr_assert(std::abs(Later - Expected) <= 1, "%.0f, not %.0f", Later, Expected);
}

/// After all have been killed at once, callers who keep their limits are not
/// refused: a part fills from the start of its process on.
Test(gateway_task, a_restarted_instance_accrues_at_once) {
  gateway_fixture Gateway;
  cr_assert(Gateway.waitFor([&] {
    return Gateway.Store.model().get("ebonyvale/instances/i-1").has_value();
  }));
  const auto Second = Gateway.startAnother("i-2");
  cr_assert(
      Gateway.waitFor([&] { return Second->core().ready(readBootClock()); }));
  // Of a million tokens a second, over two instances.
  constexpr double PartRate = 1.09e6 / 2;
  constexpr double PartBurst = (1.09e6 + 600) / 2;
  const instant Ready = readBootClock();
  const double Before = Second->core().shares().available("t", Ready);
  const double Later = Second->core().shares().available("t", Ready + 100ms);
  const double Expected = std::min(PartBurst, Before + 0.1 * PartRate);
  cr_assert(Before >= 0.1 * PartBurst - 1, "%.0f of %.0f", Before, PartBurst);
  cr_assert(std::abs(Later - Expected) <= 1, "%.0f, not %.0f", Later, Expected);
}

/// Whoever stops processes may do so twice.
Test(gateway_task, a_second_stop_cuts_nothing_either) {
  gateway_fixture Gateway;
  for (auto &Upstream : Gateway.Upstreams)
    Upstream->Delay = 100ms;
  Gateway.begin({.Path = "/order/1"});
  cr_assert(Gateway.waitFor([&] { return runs(Gateway) == 1; }));
  Gateway.stop();
  callLater(Gateway.Base.get(), [&] { Gateway.stop(); });
  while (!Gateway.over()) {
    event_base_loop(Gateway.Base.get(), EVLOOP_ONCE);
    cr_assert(!event_base_got_break(Gateway.Base.get()),
              "the second stop ended the process");
  }
  cr_assert(Gateway.result().Status == 200 && Gateway.result().Whole);
}

Test(gateway_task, a_planned_stop_cuts_nothing) {
  gateway_fixture Gateway;
  for (auto &Upstream : Gateway.Upstreams)
    Upstream->Act = upstream_act::Hold;
  Gateway.begin({.Path = "/order/1"});
  cr_assert(Gateway.waitFor([&] { return runs(Gateway) == 1; }));
  Gateway.stop();
  cr_assert(!Gateway.core().ready(readBootClock()));
  // It goes on serving those whom the balancer still sends.
  runLoopFor(Gateway.Base.get(), 50ms);
  cr_assert(!Gateway.over());
  for (auto &Upstream : Gateway.Upstreams)
    for (const auto &Link : Upstream->Held) {
      header_list Headers;
      Headers.add("Ebonyvale-Request-Id", "id-1");
      Link->answer(200, Headers, "late");
    }
  cr_assert(Gateway.waitFor([&] { return Gateway.over(); }));
  for (auto &Upstream : Gateway.Upstreams)
    Upstream->Act = upstream_act::Answer;
  const caller_result During = Gateway.ask({.Path = "/read/1", .Id = "id-2"});
  cr_assert(During.Status == 200);
  cr_assert(During.Headers.find("Connection") == "close");
}

// A gateway with a fake store: keys, versions, outages, weights and stopping.
#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// Settings under which the configuration becomes stale quickly.
gateway_settings agingSettings() {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.KeyBoundMs = 800; // of which 300 are the margin
  Settings.ApplyBoundMs = 300;
  return Settings;
}

struct outage_row {
  store_fault Fault;
};

/// Settings under which a new issuer of weights orders starts at once.
gateway_settings issuingSettings() {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.IssuerHandoverMs = 1;
  return Settings;
}

const std::string &claimKey() {
  static const std::string Key(weights_task::claimKey());
  return Key;
}

/// Waits until an instance holds the claim. Returns false on timeout.
bool waitForClaim(gateway_fixture &Gateway) {
  return Gateway.waitFor(
      [&] { return Gateway.Store.model().get(claimKey()).has_value(); });
}

/// Sets \p Version as the target and returns whether both upstreams load it in
/// time.
bool rolloutReaches(gateway_fixture &Gateway, std::int64_t Version) {
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

Test(gateway_task, a_withdrawn_key_is_refused) {
  gateway_fixture Gateway;
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
  Gateway.configure(2, "\"key-2\"");
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 2; }));
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 401);
  cr_assert(Gateway.sendRequest({.Path = "/read/1", .Key = "key-2"}).Status ==
            200);
}

Test(gateway_task, an_older_version_is_ignored) {
  gateway_fixture Gateway;
  Gateway.configure(5);
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 5; }));
  Gateway.configure(4, "\"key-2\"");
  Gateway.configure(6, "\"key-1\",\"key-6\"");
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 6; }));
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
}

ParameterizedTestParameters(gateway_task,
                            a_stale_configuration_accepts_no_key) {
  static outage_row Rows[] = {{store_fault::Down}, {store_fault::Refuses}};
  return criterion_test_params(Rows);
}

/// Guards against accepting a key that operators withdrew while the store was
/// down or refused calls.
ParameterizedTest(outage_row *Row, gateway_task,
                  a_stale_configuration_accepts_no_key) {
  gateway_fixture Gateway(agingSettings());
  Gateway.Store.setFault(Row->Fault);
  const auto KeysUsable = [&] {
    return Gateway.core().configFreshness().isFreshForKeys(
        readBootClock(), Gateway.core().freshnessOptions());
  };
  cr_assert(Gateway.waitFor([&] { return !KeysUsable(); }));
  const int Before = runs(Gateway);
  const caller_response Refused = Gateway.sendRequest({.Path = "/read/1"});
  cr_assert(Refused.Status == 503);
  cr_assert(Refused.Headers.find("Retry-After"));
  cr_assert(runs(Gateway) == Before);
  // A stale configuration causes 503, never 401 or 404. Routes without keys are
  // still served.
  cr_assert(Gateway.sendRequest({.Path = "/read/1", .Key = "x"}).Status == 503);
  cr_assert(Gateway.sendRequest({.Path = "/none/1"}).Status == 503);
  cr_assert(Gateway.sendRequest({.Path = "/open/1", .Key = ""}).Status == 200);
  Gateway.Store.setFault(store_fault::None);
  cr_assert(Gateway.waitFor(KeysUsable));
  // On a busy machine the configuration may become stale again before a request
  // arrives.
  const int Unchanged = runs(Gateway);
  caller_response Served;
  cr_assert(Gateway.waitFor([&] {
    Served = Gateway.sendRequest({.Path = "/read/1"});
    return Served.Status != 503 || runs(Gateway) != Unchanged;
  }));
  cr_assert(Served.Status == 200);
}

Test(gateway_task, not_ready_before_the_first_version) {
  gateway_fixture Gateway;
  // A second instance starts while the store is down.
  Gateway.Store.setFault(store_fault::Down, "i-2");
  const auto Second = Gateway.startGatewayInstance("i-2");
  cr_assert(!Second->core().ready(readBootClock()));
  cr_assert(!Second->core().routing());
  Gateway.Store.setFault(store_fault::None, "i-2");
  cr_assert(
      Gateway.waitFor([&] { return Second->core().ready(readBootClock()); }));
}

Test(gateway_task, a_compacted_history_leads_to_a_new_listing) {
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
    Gateway.sendRequest({.Path = "/read/1", .Id = std::to_string(Index)});
  cr_assert(Gateway.Upstreams[0]->runs() == 0);
  cr_assert(Gateway.Upstreams[1]->runs() == 5);
}

struct absence_row {
  std::int64_t OutageMs; ///< the watch is cut, and calls are refused until then
  std::int64_t EntryMs;  ///< until a missing entry is gone, at least
  std::int64_t MaxEntryMs;
};

ParameterizedTestParameters(gateway_task,
                            an_entry_is_kept_after_an_outage_only) {
  static absence_row Rows[] = {{30, 0, 700}, {600, 2000, 5000}};
  return criterion_test_params(Rows);
}

/// Requests to an upstream whose entry was removed as the watch was cut.
ParameterizedTest(absence_row *Row, gateway_task,
                  an_entry_is_kept_after_an_outage_only) {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.StoreReadIntervalMs = 60'000;
  gateway_fixture Gateway(Settings);
  runLoopFor(Gateway.Base.get(), 100ms);
  Gateway.Store.setFault(store_fault::Refuses);
  runLoopFor(Gateway.Base.get(), std::chrono::milliseconds(Row->OutageMs));
  Gateway.Store.setFault(store_fault::None);
  Gateway.Store.erase(Gateway.Upstreams[0]->key());
  const instant Removed = readBootClock();
  cr_assert(
      Gateway.waitFor([&] { return !Gateway.core().directory().find("u-1"); }));
  const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      readBootClock() - Removed);
  cr_assert(Ms.count() >= Row->EntryMs && Ms.count() <= Row->MaxEntryMs,
            "%ld ms", static_cast<long>(Ms.count()));
}

Test(gateway_task, a_malformed_entry_affects_no_other) {
  gateway_fixture Gateway;
  Gateway.Store.put("servers/foreign", "\xff{");
  Gateway.Store.put(Gateway.Upstreams[0]->key(), "{}");
  cr_assert(
      Gateway.waitFor([&] { return !Gateway.core().directory().find("u-1"); }));
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
  cr_assert(Gateway.Upstreams[1]->runs() == 1);
}

/// The rest of the instance learns of a changed directory after a sequence of
/// changes. A request in between must not be sent to an upstream that is gone
/// or leaving.
Test(gateway_task, a_request_within_changes_uses_the_current_directory) {
  gateway_fixture Gateway;
  upstream_directory &Directory = Gateway.core().directory();
  Directory.remove("u-1", readBootClock());
  for (int Index = 0; Index < 4; ++Index)
    cr_assert(Gateway
                  .sendRequest(
                      {.Path = "/read/1", .Id = "a-" + std::to_string(Index)})
                  .Status == 200);
  cr_assert(Gateway.Upstreams[1]->runs() == 4);
  upstream_entry Leaving = *Directory.find("u-2");
  Leaving.Draining = true;
  Directory.put("u-2", Leaving, readBootClock());
  cr_assert(Gateway.sendRequest({.Path = "/read/1", .Id = "b"}).Status == 503);
}

Test(gateway_task, a_rollout_reaches_all_engines) {
  gateway_fixture Gateway(issuingSettings());
  cr_assert(rolloutReaches(Gateway, 2));
}

/// A claim that becomes free must not cause a write of each instance.
Test(gateway_task, few_instances_compete_for_a_free_claim) {
  gateway_fixture Gateway(issuingSettings());
  std::vector<std::unique_ptr<gateway_task>> Others;
  constexpr std::size_t Count = 9;
  // One in each failure domain: each of them watches the store.
  for (std::size_t Index = 0; Index < Count; ++Index)
    Others.push_back(Gateway.startGatewayInstance(
        "i-1" + std::to_string(Index), "d-" + std::to_string(Index)));
  const auto AllKnown = [&] {
    return std::ranges::all_of(Others, [&](const auto &Other) {
      return Other->core().roster().peers().size() == Count;
    });
  };
  cr_assert(Gateway.waitFor(AllKnown));
  cr_assert(waitForClaim(Gateway));
  const std::size_t Before = Gateway.Store.commits();
  Gateway.Store.erase(claimKey());
  cr_assert(waitForClaim(Gateway));
  runLoopFor(Gateway.Base.get(), 300ms);
  cr_assert(Gateway.Store.commits() - Before <= 3, "%zu",
            Gateway.Store.commits() - Before);
}

/// The claim is written, but the response to the write is lost.
Test(gateway_task, a_claim_with_a_lost_response_is_read_back) {
  gateway_fixture Gateway(issuingSettings());
  cr_assert(waitForClaim(Gateway));
  Gateway.Store.setFault(store_fault::LosesWriteResponses);
  // The claim is removed and written again, with the response lost.
  Gateway.Store.erase(claimKey());
  cr_assert(waitForClaim(Gateway));
  Gateway.Store.setFault(store_fault::None);
  cr_assert(rolloutReaches(Gateway, 3));
}

/// A claim that timed out may be written seconds later, after another instance
/// has taken over.
Test(gateway_task, a_late_claim_replaces_no_other) {
  gateway_fixture Gateway(issuingSettings());
  const auto Holder = [&] { return Gateway.Store.model().get(claimKey()); };
  cr_assert(Gateway.waitFor([&] { return Holder().has_value(); }));
  Gateway.Store.setFault(store_fault::DelayedWrites);
  Gateway.Store.erase(claimKey());
  // Long enough for a claim to be in flight.
  runLoopFor(Gateway.Base.get(), fake_fleet_store::WriteDelay / 2);
  Gateway.Store.put(claimKey(), "i-9");
  Gateway.Store.put("op/version/m", R"({"model":"m","version":2})");
  runLoopFor(Gateway.Base.get(), fake_fleet_store::WriteDelay * 3);
  cr_assert(Holder()->Value == "i-9");
  cr_assert(Gateway.Upstreams[0]->Weights == 1);
}

/// The claim is written late and times out; the instance still finds it and
/// issues orders under it.
Test(gateway_task, a_late_claim_is_found_and_used) {
  gateway_fixture Gateway(issuingSettings());
  cr_assert(waitForClaim(Gateway));
  Gateway.Store.setFault(store_fault::DelayedWrites);
  Gateway.Store.erase(claimKey());
  cr_assert(waitForClaim(Gateway));
  Gateway.Store.setFault(store_fault::None);
  cr_assert(rolloutReaches(Gateway, 2));
}

/// A watch may miss changes silently; reads of the operators' documents still
/// find a withdrawn key.
Test(gateway_task, reads_find_a_withdrawn_key_that_the_watch_missed) {
  gateway_fixture Gateway;
  Gateway.Store.setFault(store_fault::EmptyWatches);
  Gateway.configure(2, "\"key-2\"");
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 2; }));
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 401);
}

/// Entries that were written while the watch was silent are found by the
/// listing after the history is compacted.
Test(gateway_task, upstreams_are_listed_again_after_a_silent_watch) {
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

Test(gateway_task, the_claim_of_another_instance_is_kept) {
  gateway_fixture Gateway(issuingSettings());
  cr_assert(waitForClaim(Gateway));
  Gateway.Store.put(claimKey(), "i-9");
  Gateway.Store.put("op/version/m", R"({"model":"m","version":2})");
  runLoopFor(Gateway.Base.get(), 600ms);
  cr_assert(Gateway.Upstreams[0]->Weights == 1);
  cr_assert(Gateway.Store.model().get(claimKey())->Value == "i-9");
}

struct missed_holder_row {
  store_fault Fault; ///< while another instance holds the claim
  char Again[8];     ///< who has the claim when the fault ends
};

ParameterizedTestParameters(gateway_task,
                            a_holder_that_was_not_seen_is_waited_for) {
  static missed_holder_row Rows[] = {{store_fault::EmptyWatches, ""},
                                     {store_fault::EmptyWatches, "i-1"},
                                     {store_fault::Refuses, ""},
                                     {store_fault::Refuses, "i-1"},
                                     {store_fault::None, ""}};
  return criterion_test_params(Rows);
}

/// Orders of two holders within the time that a handover takes.
ParameterizedTest(missed_holder_row *Row, gateway_task,
                  a_holder_that_was_not_seen_is_waited_for) {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.IssuerHandoverMs = 1500;
  gateway_fixture Gateway(Settings);
  cr_assert(rolloutReaches(Gateway, 2));
  const auto Orders = [&] {
    return Gateway.Upstreams[0]->Fences.size() +
           Gateway.Upstreams[1]->Fences.size();
  };
  const std::size_t Before = Orders();
  Gateway.Store.setFault(Row->Fault);
  runLoopFor(Gateway.Base.get(), 20ms);
  Gateway.Store.put(claimKey(), "i-9");
  Gateway.Store.erase(claimKey());
  if (Row->Again[0])
    Gateway.Store.put(claimKey(), Row->Again);
  const instant Left = readBootClock();
  Gateway.Store.put("op/version/m", R"({"model":"m","version":3})");
  Gateway.Store.compactHistory();
  Gateway.Store.setFault(store_fault::None);
  cr_assert(Gateway.waitFor([&] { return Orders() > Before; }));
  const span_ns Waited = readBootClock() - Left;
  cr_assert(Waited >= 1500ms, "%.0f ms", toSeconds(Waited) * 1000);
}

/// After a restart of the whole fleet, an instance reads the routing document
/// before it has read the other instances. If it assumed that it is the only
/// one, it would spend the quota shares of all.
Test(gateway_task, a_new_instance_uses_only_its_quota_share) {
  gateway_fixture Gateway;
  constexpr std::size_t Others = 8;
  for (std::size_t Index = 0; Index < Others; ++Index)
    Gateway.Store.put("ebonyvale/instances/o-" + std::to_string(Index),
                      R"({"address":"127.0.0.1","port":1,"domain":"z"})");
  cr_assert(Gateway.waitFor([&] {
    return Gateway.Store.model().get("ebonyvale/instances/i-1").has_value();
  }));
  const auto Second = Gateway.startGatewayInstance("i-2");
  cr_assert(
      Gateway.waitFor([&] { return Second->core().ready(readBootClock()); }));
  // Equal quota shares over ten instances: 1.09 of a million for rate and
  // burst, plus 600 of the slack for the burst.
  constexpr double Instances = Others + 2;
  constexpr double ShareRate = 1.09e6 / Instances;
  constexpr double ShareBurst = (1.09e6 + 600) / Instances;
  const instant Now = readBootClock();
  const double Held = Second->core().shares().available("t", Now);
  // A tenth of the burst share, and the tokens accrued since the process
  // started.
  const double Accrued = ShareRate * toSeconds(Now - Second->core().started());
  const double MaxHeld = std::min(ShareBurst, 0.1 * ShareBurst + Accrued);
  cr_assert(Held >= 0.1 * ShareBurst - 1, "%.0f of %.0f", Held, ShareBurst);
  cr_assert(Held <= MaxHeld + 1, "%.0f of %.0f", Held, MaxHeld);
  // From here on it accrues at its share of the rate, up to its share of the
  // burst.
  const double Later = Second->core().shares().available("t", Now + 500ms);
  const double Expected = std::min(ShareBurst, Held + 0.5 * ShareRate);
  cr_assert(std::abs(Later - Expected) <= 1, "%.0f, not %.0f", Later, Expected);
}

/// After a restart of the whole fleet, callers within their limits are not
/// refused: a quota share accrues tokens from the start of the process.
Test(gateway_task, a_restarted_instance_accrues_tokens_at_once) {
  gateway_fixture Gateway;
  cr_assert(Gateway.waitFor([&] {
    return Gateway.Store.model().get("ebonyvale/instances/i-1").has_value();
  }));
  const auto Second = Gateway.startGatewayInstance("i-2");
  cr_assert(
      Gateway.waitFor([&] { return Second->core().ready(readBootClock()); }));
  // 1.09 of a million tokens a second, over two instances.
  constexpr double ShareRate = 1.09e6 / 2;
  constexpr double ShareBurst = (1.09e6 + 600) / 2;
  const instant Ready = readBootClock();
  const double Before = Second->core().shares().available("t", Ready);
  const double Later = Second->core().shares().available("t", Ready + 100ms);
  const double Expected = std::min(ShareBurst, Before + 0.1 * ShareRate);
  cr_assert(Before >= 0.1 * ShareBurst - 1, "%.0f of %.0f", Before, ShareBurst);
  cr_assert(std::abs(Later - Expected) <= 1, "%.0f, not %.0f", Later, Expected);
}

/// A supervisor may send the stop signal twice.
Test(gateway_task, a_second_stop_aborts_no_request) {
  gateway_fixture Gateway;
  for (auto &Upstream : Gateway.Upstreams)
    Upstream->Delay = 100ms;
  Gateway.startRequest({.Path = "/order/1"});
  cr_assert(Gateway.waitFor([&] { return runs(Gateway) == 1; }));
  Gateway.stop();
  callLater(Gateway.Base.get(), [&] { Gateway.stop(); });
  while (!Gateway.requestDone()) {
    event_base_loop(Gateway.Base.get(), EVLOOP_ONCE);
    cr_assert(!event_base_got_break(Gateway.Base.get()),
              "the second stop ended the process");
  }
  cr_assert(Gateway.result().Status == 200 && Gateway.result().IsComplete);
}

Test(gateway_task, a_graceful_stop_aborts_no_request) {
  gateway_fixture Gateway;
  for (auto &Upstream : Gateway.Upstreams)
    Upstream->Behavior = upstream_behavior::Hold;
  Gateway.startRequest({.Path = "/order/1"});
  cr_assert(Gateway.waitFor([&] { return runs(Gateway) == 1; }));
  Gateway.stop();
  cr_assert(!Gateway.core().ready(readBootClock()));
  // It keeps serving requests that the load balancer still sends.
  runLoopFor(Gateway.Base.get(), 50ms);
  cr_assert(!Gateway.requestDone());
  for (auto &Upstream : Gateway.Upstreams)
    for (const auto &Link : Upstream->Held) {
      header_list Headers;
      Headers.add("Ebonyvale-Request-Id", "id-1");
      Link->writeResponse(200, Headers, "late");
    }
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  for (auto &Upstream : Gateway.Upstreams)
    Upstream->Behavior = upstream_behavior::Respond;
  const caller_response During =
      Gateway.sendRequest({.Path = "/read/1", .Id = "id-2"});
  cr_assert(During.Status == 200);
  cr_assert(During.Headers.find("Connection") == "close");
}

/// The boot number is logged and stored, so keys hashed with it could be
/// guessed offline.
Test(gateway_task, the_key_secret_does_not_follow_from_the_boot_number) {
  gateway_fixture Gateway;
  const auto Second = Gateway.startGatewayInstance("i-2");
  char Boot[17];
  std::snprintf(Boot, sizeof(Boot), "%016lx", Gateway.core().boot());
  const std::string_view Secret = Gateway.core().keySecret();
  cr_assert(Secret.size() >= 64);
  cr_assert(Secret.find(Boot) == std::string_view::npos);
  cr_assert(Secret != Second->core().keySecret());
}

struct grace_row {
  char Path[16];
  upstream_behavior Behavior;
  int Status;
};

ParameterizedTestParameters(
    gateway_task, the_end_of_the_grace_period_leaves_no_request_open) {
  static grace_row Rows[] = {{"/order/1", upstream_behavior::Hold, 502},
                             {"/read/1", upstream_behavior::Hold, 502},
                             {"/stream-on/1", upstream_behavior::Hold, 502}};
  return criterion_test_params(Rows);
}

/// A request that was taken before the load balancer noticed the stop, and one
/// on an open connection late in the grace period.
ParameterizedTest(grace_row *Row, gateway_task,
                  the_end_of_the_grace_period_leaves_no_request_open) {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.StopGraceSeconds = 3.4;
  gateway_fixture Gateway(Settings);
  for (auto &Upstream : Gateway.Upstreams)
    Upstream->Behavior = Row->Behavior;
  Gateway.stop();
  Gateway.startRequest({.Path = Row->Path, .DeadlineMs = "12000"});
  const instant StoppedAt = readBootClock();
  cr_assert(Gateway.waitFor([&] {
    return Gateway.requestDone() || readBootClock() - StoppedAt > 3400ms;
  }));
  cr_assert(Gateway.requestDone());
  cr_assert(readBootClock() - StoppedAt > 2600ms);
  cr_assert(Gateway.result().Status == Row->Status, "%d",
            Gateway.result().Status);
}

// A store that returns from an older copy: revisions go back, and what was
// written since the copy is gone.
#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <memory>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct change_row {
  char Name[32];
  int LostWrites;        ///< of the system itself, between copy and outage
  bool Cut;              ///< the instance does not reach the store meanwhile
  std::size_t Followers; ///< instances that follow the first one
};

struct copy_row {
  char Name[32];
  bool HasUnseenVersion; ///< one that the instance has not seen
};

bool inForce(gateway_core &Core, std::uint64_t Version) {
  return Core.routing() && Core.routing()->Version == Version;
}

/// Settings under which the configuration becomes stale quickly.
gateway_settings agingSettings() {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.KeyBoundMs = 1800;
  Settings.ApplyBoundMs = 900;
  return Settings;
}

} // namespace

ParameterizedTestParameters(restored_store,
                            a_change_after_the_return_comes_into_force) {
  static change_row Rows[] = {{"few writes lost", 3, false, 0},
                              {"many writes lost", 300, false, 0},
                              {"cut off meanwhile", 30, true, 0},
                              {"with followers", 30, false, 2}};
  return criterion_test_params(Rows);
}

ParameterizedTest(change_row *Row, restored_store,
                  a_change_after_the_return_comes_into_force) {
  gateway_fixture Gateway;
  std::vector<std::unique_ptr<gateway_task>> Followers;
  while (Followers.size() < Row->Followers)
    Followers.push_back(Gateway.startGatewayInstance(
        fmt::format("i-{}", Followers.size() + 2)));
  const auto AllHave = [&](std::uint64_t Version) {
    return inForce(Gateway.core(), Version) &&
           std::ranges::all_of(Followers, [&](const auto &Each) {
             return inForce(Each->core(), Version);
           });
  };
  cr_assert(Gateway.waitFor([&] { return AllHave(1); }));
  Gateway.Store.saveCopy();
  Gateway.configure(2);
  for (int Write = 0; Write < Row->LostWrites; ++Write)
    Gateway.Store.model().put("ebonyvale/other", "x", 0);
  Gateway.configure(3);
  cr_assert(Gateway.waitFor([&] { return AllHave(3); }));
  if (Row->Cut)
    Gateway.Store.setFault(store_fault::Down);
  Gateway.Store.restoreCopy();
  runLoopFor(Gateway.Base.get(), 100ms);
  Gateway.Store.setFault(store_fault::None);
  Gateway.configure(4);
  cr_assert(Gateway.waitFor([&] { return AllHave(4); }), "%s", Row->Name);
  Gateway.configure(5, "\"key-5\"");
  cr_assert(Gateway.waitFor([&] { return AllHave(5); }), "%s", Row->Name);
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 401);
}

ParameterizedTestParameters(restored_store,
                            a_read_of_the_copy_confirms_no_key) {
  static copy_row Rows[] = {{"known version", false}, {"unseen version", true}};
  return criterion_test_params(Rows);
}

/// The copy still lists a key that was withdrawn after it, until the operators
/// have written the withdrawal again.
ParameterizedTest(copy_row *Row, restored_store,
                  a_read_of_the_copy_confirms_no_key) {
  gateway_fixture Gateway(agingSettings());
  Gateway.Store.saveCopy();
  Gateway.Store.setFault(store_fault::Down);
  if (Row->HasUnseenVersion) {
    Gateway.configure(2);
    Gateway.Store.saveCopy();
  }
  Gateway.configure(3, "\"key-2\"");
  const auto KeysUsable = [&] {
    return Gateway.core().configFreshness().isFreshForKeys(
        readBootClock(), Gateway.core().freshnessOptions());
  };
  cr_assert(Gateway.waitFor([&] { return !KeysUsable(); }));
  Gateway.Store.restoreCopy(500ms);
  Gateway.Store.setFault(store_fault::None);
  const instant Return = readBootClock();
  while (!inForce(Gateway.core(), 3) && readBootClock() - Return < 5s) {
    const int Status = Gateway.sendRequest({.Path = "/read/1"}).Status;
    cr_assert(Status == 503 || inForce(Gateway.core(), 3), "%s: %d", Row->Name,
              Status);
    cr_assert(Gateway.sendRequest({.Path = "/none/1"}).Status == 503 ||
              inForce(Gateway.core(), 3));
  }
  cr_assert(Gateway.waitFor(KeysUsable));
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 401);
  cr_assert(Gateway.sendRequest({.Path = "/read/1", .Key = "key-2"}).Status ==
            200);
}

/// An instance that has the rewritten configuration from a peer before it sees
/// the restore itself need not wait for the operators.
Test(restored_store, a_rewritten_configuration_from_a_peer_counts) {
  gateway_fixture Gateway;
  std::vector<std::unique_ptr<gateway_task>> Followers;
  while (Followers.size() < 3)
    Followers.push_back(Gateway.startGatewayInstance(
        fmt::format("i-{}", Followers.size() + 2)));
  const auto All = [&](const std::function<bool(gateway_core &)> &Holds) {
    return Holds(Gateway.core()) &&
           std::ranges::all_of(Followers, [&](const auto &Each) {
             return Holds(Each->core());
           });
  };
  cr_assert(Gateway.waitFor([&] {
    return All([&](gateway_core &Core) {
      return inForce(Core, 1) &&
             Core.roster().peers().size() == Followers.size();
    });
  }));
  Gateway.Store.saveCopy();
  for (int Write = 0; Write < 30; ++Write)
    Gateway.Store.model().put("ebonyvale/other", "x", 0);
  Gateway.configure(2);
  cr_assert(Gateway.waitFor([&] {
    return All([](gateway_core &Core) { return inForce(Core, 2); });
  }));
  Gateway.Store.restoreCopy();
  runLoopFor(Gateway.Base.get(), 800ms);
  cr_assert(Gateway.waitFor([&] {
    return All([](gateway_core &Core) {
      return Core.configFreshness().confirmsFrom() == instant();
    });
  }));
}

/// Keys must be usable again soon after a return on which nothing was lost.
Test(restored_store, keys_are_usable_again_if_nothing_is_written) {
  gateway_fixture Gateway(agingSettings());
  Gateway.Store.saveCopy();
  Gateway.Store.restoreCopy();
  runLoopFor(Gateway.Base.get(), Gateway.core().freshnessOptions().MaxKeyAge);
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().ready(readBootClock()); }));
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
}

/// An upstream that reported its leaving, or has left, is in the copy as it was
/// before.
Test(restored_store, an_upstream_that_leaves_gets_no_new_requests) {
  gateway_fixture Gateway;
  const fake_upstream &Leaving = *Gateway.Upstreams[0];
  Gateway.Store.saveCopy();
  Gateway.Store.put(Leaving.key(), Leaving.entry("s", /*Draining=*/true));
  cr_assert(Gateway.waitFor([&] {
    const upstream_entry *Entry = Gateway.core().directory().find("u-1");
    return Entry && Entry->Draining;
  }));
  Gateway.Store.restoreCopy(400ms);
  const std::size_t Before = Leaving.ReceivedRequests.size();
  for (int Request = 0; Request < 60; ++Request) {
    cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
    runLoopFor(Gateway.Base.get(), 10ms);
  }
  cr_assert(Leaving.ReceivedRequests.size() == Before);
}

/// Upstreams and the issuer's successors tell orders apart by fencing tokens,
/// which come from revisions.
Test(restored_store, fencing_tokens_never_go_back) {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.IssuerHandoverMs = 1;
  gateway_fixture Gateway(Settings);
  const auto Loaded = [&](std::int64_t Version) {
    Gateway.Store.put("op/version/m",
                      fmt::format(R"({{"model":"m","version":{}}})", Version));
    return Gateway.waitFor([&] {
      return std::ranges::all_of(Gateway.Upstreams, [&](const auto &Upstream) {
        return Upstream->Weights == Version;
      });
    });
  };
  Gateway.Store.saveCopy();
  for (int Write = 0; Write < 50; ++Write)
    Gateway.Store.model().put("ebonyvale/other", "x", 0);
  cr_assert(Gateway.waitFor([&] {
    return Gateway.Store.model().get(weights_task::claimKey()).has_value();
  }));
  cr_assert(Loaded(2));
  Gateway.Store.restoreCopy();
  cr_assert(Loaded(3));
  for (const auto &Upstream : Gateway.Upstreams)
    cr_assert(std::ranges::is_sorted(Upstream->Fences));
}

/// The leases of the lost seconds are gone: others would divide the limits
/// without this instance until its next renewal.
Test(restored_store, an_instance_is_listed_again_before_its_next_renewal) {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.LeaseDurationMs = 600'000;
  gateway_fixture Gateway(Settings);
  Gateway.Store.model().eraseRange("ebonyvale/", "ebonyvale/\xff");
  Gateway.Store.saveCopy();
  Gateway.Store.restoreCopy();
  cr_assert(Gateway.waitFor([&] {
    return Gateway.Store.model().get("ebonyvale/alive/i-1").has_value();
  }));
}

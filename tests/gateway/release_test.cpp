// Orders of operators to move a service to another version of its software.
#include "gateway/captured_output.h"
#include "gateway/versions_fleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <string_view>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view OrderKey = "op/rollout/s";
constexpr std::string_view StatusKey = "status/rollout/s";
constexpr std::string_view ClaimKey = "ebonyvale/release-decider";
/// Part of all requests, and further ones, that an unproven version may get.
constexpr double Share = 0.3;
constexpr double Slack = 300;

gateway_settings releaseSettings() {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.ExposeShare = Share;
  Settings.CanarySlack = static_cast<std::int64_t>(Slack);
  Settings.ClaimLeaseMs = 900;
  return Settings;
}

/// By name the upstreams of the ordered version come first, so that they would
/// be chosen at the same cost. Instances before two upstreams of the version v2
/// and two of v1, for which orders are given.
class release_fleet {
public:
  explicit release_fleet(std::size_t Instances,
                         const gateway_settings &Settings = releaseSettings())
      : Fleet(Instances, Settings) {
    for (const auto &Upstream : Fleet.Gateway.Upstreams)
      Upstream->EventInterval = span_ns(0);
  }

  void order(double Seconds, std::string_view Software = "v1") {
    write(fmt::format(R"({{"backend":"s","to":"{}","durationS":{}}})", Software,
                      Seconds));
    OrderedAt = readBootClock();
  }
  void write(std::string Order) {
    Fleet.Gateway.Store.put(std::string(OrderKey), std::move(Order));
  }

  std::string valueOf(std::string_view Key) {
    const auto Item = Fleet.Gateway.Store.model().get(Key);
    return Item ? Item->Value : "";
  }
  bool hasState(std::string_view State) {
    return valueOf(StatusKey) ==
           fmt::format(R"({{"state":"{}","to":"v1"}})", State);
  }
  bool hasEnded() { return hasState("completed") || hasState("rolled_back"); }

  /// Sends requests to the instances in turn until \p Done or for \p Limit.
  bool sendUntil(const std::function<bool()> &Done, span_ns Limit) {
    const instant End = readBootClock() + Limit;
    while (!Done() && readBootClock() < End) {
      send();
      runLoopFor(Fleet.Gateway.Base.get(), 1ms);
    }
    return Done();
  }
  void send() {
    const std::size_t Index = Sent++ % (Fleet.Others.size() + 1);
    Fleet.request(Index, {.Path = "/read/1", .Id = fmt::format("q-{}", Sent)});
  }

  /// Runs of the upstreams with \p Software.
  int runsOf(std::string_view Software) const {
    int Runs = 0;
    for (const auto &Upstream : Fleet.Gateway.Upstreams)
      if (Upstream->Software == Software)
        Runs += Upstream->runs();
    return Runs;
  }
  void setBehavior(std::string_view Software, upstream_behavior Behavior) {
    for (const auto &Upstream : Fleet.Gateway.Upstreams)
      if (Upstream->Software == Software)
        Upstream->Behavior = Behavior;
  }
  /// Returns whether requests that v2 turns away are all run by v1.
  bool allowsAllToNew() {
    constexpr int Requests = 40;
    setBehavior("v2", upstream_behavior::Full);
    const int Before = runsOf("v1");
    for (int Request = 0; Request < Requests; ++Request)
      send();
    setBehavior("v2", upstream_behavior::Respond);
    return runsOf("v1") - Before == Requests;
  }
  bool isWithinShare() const {
    return runsOf("v1") <= Share * static_cast<double>(Sent) + Slack;
  }

  versions_fleet Fleet;
  std::size_t Sent = 0;
  instant OrderedAt;
};

enum class trouble { None, DeciderKilled, StoreDown, InstanceCutOff };

struct release_row {
  char Name[40];
  std::size_t Instances;
  bool IsBad;
  trouble Trouble;
};

struct odd_order_row {
  char Name[40];
  char Order[80];
};

} // namespace

/// Without an order nobody claims anything, and no version is treated apart.
Test(releases, nothing_happens_without_an_order) {
  release_fleet Releases(2);
  Releases.sendUntil([] { return false; }, 1s);
  const std::size_t Commits = Releases.Fleet.Gateway.Store.commits();
  Releases.sendUntil([] { return false; }, 1500ms);
  cr_assert(Releases.valueOf(ClaimKey).empty());
  cr_assert(Releases.valueOf(StatusKey).empty());
  cr_assert(Releases.Fleet.Gateway.Store.commits() == Commits);
  cr_assert(Releases.allowsAllToNew());
}

/// A deployment whose settings state no share carries no order out.
Test(releases, an_order_is_ignored_where_no_share_is_set) {
  release_fleet Releases(1, gateway_fixture::testSettings());
  Releases.order(3);
  Releases.sendUntil([] { return false; }, 1s);
  cr_assert(Releases.valueOf(StatusKey).empty());
  cr_assert(Releases.allowsAllToNew());
}

Test(releases, an_order_is_running_soon) {
  release_fleet Releases(2);
  Releases.order(30);
  cr_assert(
      Releases.sendUntil([&] { return Releases.hasState("running"); }, 2s),
      "%s", Releases.valueOf(StatusKey).c_str());
}

ParameterizedTestParameters(releases, versions_and_troubles) {
  static release_row Rows[] = {
      {"bad", 2, true, trouble::None},
      {"good", 2, false, trouble::None},
      {"bad, decider killed", 3, true, trouble::DeciderKilled},
      {"good, decider killed", 3, false, trouble::DeciderKilled},
      {"bad, store down", 2, true, trouble::StoreDown},
      {"good, store down", 2, false, trouble::StoreDown},
      {"bad, an instance cut off", 3, true, trouble::InstanceCutOff},
      {"good, an instance cut off", 3, false, trouble::InstanceCutOff},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(release_row *Row, releases, versions_and_troubles) {
  release_fleet Releases(Row->Instances);
  fake_fleet_store &Store = Releases.Fleet.Gateway.Store;
  if (Row->IsBad)
    Releases.setBehavior("v1", upstream_behavior::Error);
  Releases.order(9);
  cr_assert(
      Releases.sendUntil([&] { return Releases.hasState("running"); }, 3s));
  const instant TroubleAt = readBootClock();
  const std::string Decider = Releases.valueOf(ClaimKey);
  if (Row->Trouble == trouble::StoreDown) {
    Store.setFault(store_fault::Down);
  } else if (Row->Trouble == trouble::InstanceCutOff) {
    Store.setFault(store_fault::Down, Decider == "i-2" ? "i-3" : "i-2");
  } else if (Row->Trouble == trouble::DeciderKilled) {
    if (Decider == "i-1")
      Store.setFault(store_fault::Down, "i-1");
    else
      Releases.Fleet.restart(static_cast<std::size_t>(Decider.back() - '1'));
  }
  const auto HasEnded = [&] {
    if (Row->Trouble == trouble::StoreDown && readBootClock() > TroubleAt + 2s)
      Store.setFault(store_fault::None);
    cr_assert(Releases.isWithinShare() || Releases.hasState("completed"),
              "%d of %zu requests", Releases.runsOf("v1"), Releases.Sent);
    return Releases.hasEnded();
  };
  cr_assert(Releases.sendUntil(HasEnded, 12s), "%s: %s", Row->Name,
            Releases.valueOf(StatusKey).c_str());
  cr_assert(Releases.hasState(Row->IsBad ? "rolled_back" : "completed"),
            "%s: %s", Row->Name, Releases.valueOf(StatusKey).c_str());
  cr_assert(readBootClock() - Releases.OrderedAt < 9s);
  // Each instance learns of it.
  Releases.sendUntil([] { return false; }, 700ms);
  const std::string_view Other = Row->IsBad ? "v1" : "v2";
  const int Before = Releases.runsOf(Other);
  Releases.sendUntil([] { return false; }, 500ms);
  cr_assert(Releases.runsOf(Other) == Before, "%s: %d requests more", Row->Name,
            Releases.runsOf(Other) - Before);
}

ParameterizedTestParameters(releases, malformed_orders_change_nothing) {
  static odd_order_row Rows[] = {
      {"no version", R"({"backend":"s","durationS":5})"},
      {"another service", R"({"backend":"t","to":"v1","durationS":5})"},
      {"no duration", R"({"backend":"s","to":"v1"})"},
      {"negative", R"({"backend":"s","to":"v1","durationS":-5})"},
      {"no object", "[]"},
      {"no text", "\xff\xfe{"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(odd_order_row *Row, releases,
                  malformed_orders_change_nothing) {
  gateway_settings Settings = releaseSettings();
  Settings.LogLevel = "warning";
  release_fleet Releases(1, Settings);
  captured_output Output;
  Releases.write(Row->Order);
  Releases.sendUntil([] { return false; }, 700ms);
  cr_assert(Releases.valueOf(StatusKey).empty(), "%s", Row->Name);
  cr_assert(Releases.allowsAllToNew());
  const std::size_t Lines = Output.linesWith("order_unreadable");
  cr_assert(Lines == 1, "%s: %zu lines", Row->Name, Lines);
}

/// A malformed order does not end the one that runs.
Test(releases, a_malformed_order_leaves_the_one_before) {
  release_fleet Releases(1);
  Releases.order(30);
  cr_assert(
      Releases.sendUntil([&] { return Releases.hasState("running"); }, 3s));
  Releases.write("{}");
  const int Before = Releases.runsOf("v1");
  const std::size_t SentBefore = Releases.Sent;
  Releases.sendUntil([] { return false; }, 1s);
  cr_assert(Releases.runsOf("v1") - Before <=
            Share * static_cast<double>(Releases.Sent - SentBefore) + 5);
}

/// An order that is withdrawn is not decided any more.
Test(releases, a_withdrawn_order_is_not_decided) {
  release_fleet Releases(2);
  Releases.order(3);
  cr_assert(
      Releases.sendUntil([&] { return Releases.hasState("running"); }, 2s));
  Releases.Fleet.Gateway.Store.erase(std::string(OrderKey));
  Releases.sendUntil([] { return false; }, 500ms);
  const int Before = Releases.runsOf("v1");
  Releases.sendUntil([] { return false; }, 3500ms);
  cr_assert(!Releases.hasEnded(), "%s", Releases.valueOf(StatusKey).c_str());
  cr_assert(Releases.runsOf("v1") == Before);
  cr_assert(Releases.valueOf(ClaimKey).empty());
}

/// The second order is carried out in place of the first one.
Test(releases, a_second_order_replaces_the_first) {
  release_fleet Releases(2);
  Releases.order(60);
  cr_assert(
      Releases.sendUntil([&] { return Releases.hasState("running"); }, 2s));
  Releases.order(7);
  cr_assert(
      Releases.sendUntil([&] { return Releases.hasState("completed"); }, 8s),
      "%s", Releases.valueOf(StatusKey).c_str());
}

/// An order for a version that never appears.
Test(releases, a_version_without_upstreams_is_rolled_back) {
  release_fleet Releases(1);
  Releases.order(4, "v9");
  cr_assert(Releases.sendUntil(
                [&] {
                  return Releases.valueOf(StatusKey) ==
                         R"({"state":"rolled_back","to":"v9"})";
                },
                6s),
            "%s", Releases.valueOf(StatusKey).c_str());
}

/// The store returns from a copy that is older than the order, or than its
/// states; operators write the order again.
Test(releases, a_restored_store_changes_no_outcome) {
  for (const bool CopyHasOrder : {false, true}) {
    release_fleet Releases(2);
    fake_fleet_store &Store = Releases.Fleet.Gateway.Store;
    if (!CopyHasOrder)
      Store.saveCopy();
    Releases.order(9);
    if (CopyHasOrder)
      Store.saveCopy();
    cr_assert(
        Releases.sendUntil([&] { return Releases.hasState("running"); }, 3s));
    Store.restoreCopy(300ms);
    cr_assert(
        Releases.sendUntil([&] { return Releases.hasState("completed"); }, 14s),
        "%d: %s", CopyHasOrder, Releases.valueOf(StatusKey).c_str());
  }
}

/// An instance that starts while a release runs keeps to the share, too.
Test(releases, a_new_instance_keeps_to_the_share) {
  release_fleet Releases(2);
  Releases.order(60);
  cr_assert(
      Releases.sendUntil([&] { return Releases.hasState("running"); }, 2s));
  Releases.Fleet.restart(1);
  const int Before = Releases.runsOf("v1");
  const std::size_t SentBefore = Releases.Sent;
  // The version is sent requests in a part of each few seconds only.
  Releases.sendUntil([] { return false; }, 2 * release_exposure::ProbePeriod);
  cr_assert(Releases.runsOf("v1") > Before);
  cr_assert(Releases.runsOf("v1") - Before <=
            Share * static_cast<double>(Releases.Sent - SentBefore) + 5);
}

/// With v1 gone from the choice, the retries of requests stay with v2.
Test(releases, retries_obey_a_roll_back) {
  release_fleet Releases(1);
  Releases.setBehavior("v1", upstream_behavior::Error);
  Releases.order(9);
  cr_assert(
      Releases.sendUntil([&] { return Releases.hasState("rolled_back"); }, 9s));
  const int Before = Releases.runsOf("v1");
  Releases.setBehavior("v2", upstream_behavior::Full);
  for (int Request = 0; Request < 20; ++Request)
    Releases.send();
  cr_assert(Releases.runsOf("v1") == Before);
}

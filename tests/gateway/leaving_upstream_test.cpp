// Upstreams that state in their responses that they leave, while the store
// still lists them as ready.
#include "gateway/gateway_fleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr span_ns DrainBound = 2500ms; // the platform's bound `drainMs`

struct leaving_row {
  std::size_t Instances;
  char Path[16];
  char Header[32];
  upstream_behavior Behavior; ///< of the upstream that leaves
};

/// Sends requests to all instances in turn until one has passed a response on
/// that states the leaving.
void sendUntilStated(gateway_fleet &Fleet, const leaving_row &Row) {
  cr_assert(Fleet.Gateway.waitFor([&] {
    return Fleet.request(Row.Path).Headers.find(Row.Header).has_value();
  }));
}

/// Sends requests to all instances in turn for \p Length. Returns the number of
/// those that were not served.
std::size_t sendFor(gateway_fleet &Fleet, const char *Path, span_ns Length) {
  std::size_t Failed = 0;
  const instant Start = readBootClock();
  while (readBootClock() - Start < Length) {
    Failed += Fleet.request(Path).Status != 200;
    runLoopFor(Fleet.Gateway.Base.get(), 5ms);
  }
  return Failed;
}

} // namespace

ParameterizedTestParameters(leaving_upstream, gets_no_request_after_the_bound) {
  static leaving_row Rows[] = {
      {1, "/read/1", "Server-Leaving", upstream_behavior::Respond},
      {8, "/read/1", "Server-Leaving", upstream_behavior::Respond},
      {1, "/order/1", "Ebonyvale-Server-Leaving", upstream_behavior::Respond},
      {8, "/stream-on/1", "Server-Leaving", upstream_behavior::Respond},
      {1, "/stream-on/1", "Server-Leaving", upstream_behavior::TruncateStream},
  };
  return criterion_test_params(Rows);
}

/// Its entry stays ready all the while.
ParameterizedTest(leaving_row *Row, leaving_upstream,
                  gets_no_request_after_the_bound) {
  gateway_fleet Fleet(Row->Instances);
  fake_upstream &Leaving = *Fleet.Gateway.Upstreams[0];
  std::vector<instant> Arrivals;
  Leaving.OnArrival = [&](const http_request &) {
    Arrivals.push_back(readBootClock());
  };
  Leaving.LeavingHeader = Row->Header;
  Leaving.Behavior = Row->Behavior;
  sendUntilStated(Fleet, *Row);
  const instant Stated = readBootClock();
  const std::size_t Failed = sendFor(Fleet, Row->Path, DrainBound + 500ms);
  const auto Late = std::ranges::count_if(
      Arrivals, [&](instant Arrival) { return Arrival - Stated > DrainBound; });
  cr_assert(Late == 0, "%td requests after the bound", Late);
  cr_assert(Failed == 0, "%zu requests were not served", Failed);
}

enum class store_says { WritesAgain, RemovesAndWrites, RestoresCopy };

struct store_row {
  store_says Store;
};

ParameterizedTestParameters(leaving_upstream,
                            stays_left_whatever_the_store_says) {
  static store_row Rows[] = {{store_says::WritesAgain},
                             {store_says::RemovesAndWrites},
                             {store_says::RestoresCopy}};
  return criterion_test_params(Rows);
}

ParameterizedTest(store_row *Row, leaving_upstream,
                  stays_left_whatever_the_store_says) {
  gateway_fleet Fleet(1);
  gateway_fixture &Gateway = Fleet.Gateway;
  fake_upstream &Leaving = *Gateway.Upstreams[0];
  Leaving.Born = 1000;
  Gateway.Store.put(Leaving.key(), Leaving.entry("s"));
  cr_assert(Gateway.waitFor(
      [&] { return Gateway.core().directory().find("u-1")->Born == 1000; }));
  Gateway.Store.saveCopy();
  Leaving.LeavingHeader = "Server-Leaving";
  sendUntilStated(Fleet, {1, "/read/1", "Server-Leaving"});
  if (Row->Store == store_says::RestoresCopy) {
    Gateway.Store.restoreCopy();
  } else {
    if (Row->Store == store_says::RemovesAndWrites) {
      Gateway.Store.erase(Leaving.key());
      cr_assert(Gateway.waitFor(
          [&] { return !Gateway.core().directory().find("u-1"); }));
    }
    Gateway.Store.put(Leaving.key(), Leaving.entry("s"));
  }
  sendFor(Fleet, "/read/1", 500ms);
  const std::size_t Before = Leaving.ReceivedRequests.size();
  const std::size_t Failed = sendFor(Fleet, "/read/1", 500ms);
  cr_assert(Leaving.ReceivedRequests.size() == Before, "%zu requests",
            Leaving.ReceivedRequests.size() - Before);
  cr_assert(Failed == 0, "%zu requests were not served", Failed);
}

struct start_row {
  std::int64_t Earlier; ///< start that the first process states
  std::int64_t Later;
};

ParameterizedTestParameters(leaving_upstream,
                            gets_requests_after_it_has_started_again) {
  static start_row Rows[] = {{1000, 2000}, {2000, 1000}};
  return criterion_test_params(Rows);
}

/// An upstream that has started again under the same id and address must get
/// requests again, until it leaves, wherever its clock has jumped.
ParameterizedTest(start_row *Row, leaving_upstream,
                  gets_requests_after_it_has_started_again) {
  gateway_fleet Fleet(2);
  gateway_fixture &Gateway = Fleet.Gateway;
  fake_upstream &Leaving = *Gateway.Upstreams[0];
  Leaving.Born = Row->Earlier;
  Gateway.Store.put(Leaving.key(), Leaving.entry("s"));
  Leaving.LeavingHeader = "Server-Leaving";
  sendUntilStated(Fleet, {2, "/read/1", "Server-Leaving"});
  sendFor(Fleet, "/read/1", 300ms);
  Leaving.LeavingHeader.clear();
  const std::size_t Before = Leaving.ReceivedRequests.size();
  sendFor(Fleet, "/read/1", 300ms);
  cr_assert(Leaving.ReceivedRequests.size() == Before);
  Leaving.Born = Row->Later;
  Gateway.Store.put(Leaving.key(), Leaving.entry("s"));
  cr_assert(Gateway.waitFor([&] {
    Fleet.send();
    return Leaving.ReceivedRequests.size() > Before;
  }));
  Leaving.LeavingHeader = "Server-Leaving";
  sendUntilStated(Fleet, {2, "/read/1", "Server-Leaving"});
  sendFor(Fleet, "/read/1", 300ms);
  const std::size_t AtLeaving = Leaving.ReceivedRequests.size();
  sendFor(Fleet, "/read/1", 300ms);
  cr_assert(Leaving.ReceivedRequests.size() == AtLeaving, "%zu requests",
            Leaving.ReceivedRequests.size() - AtLeaving);
}

/// A refusal by another process at the address says nothing of the upstream
/// that was addressed.
Test(leaving_upstream, is_not_the_one_for_which_another_process_answers) {
  gateway_fleet Fleet(1);
  fake_upstream &Replaced = *Fleet.Gateway.Upstreams[0];
  Replaced.LeavingHeader = "Server-Leaving";
  Replaced.Behavior = upstream_behavior::OtherProcess;
  cr_assert(Fleet.Gateway.waitFor(
      [&] { return Fleet.send() && !Replaced.ReceivedRequests.empty(); }));
  const upstream_entry *Entry = Fleet.Gateway.core().directory().find("u-1");
  cr_assert(Entry && !Entry->Draining);
}

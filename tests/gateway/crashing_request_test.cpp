// Requests that crash the upstream which runs them, on connections that were
// used before. The upstream starts again under its id.
#include "gateway/direct_caller.h"
#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t FirstStart = 1770000000000;
constexpr std::string_view Crashing = "/order/crash";
constexpr int Rounds = 8;
/// A request that has crashed this many processes reaches no other.
constexpr int MaxCrashes = 3;

/// What the upstream does when it begins to run the request.
enum class run_end {
  Crash,            ///< its process ends
  CrashAfterHead,   ///< as above, once the head of the response was sent
  CrashAndReturn,   ///< another process is at its address at once
  CloseConnections, ///< it ends its connections, and runs on
};

struct crash_row {
  char Name[32];
  run_end End;
  int AfterMs; ///< from the begin of the run
  bool Relayed;
  bool WithOthers; ///< other requests run at the same time
};

/// An upstream that ends, as seen by all instances.
class ending_upstream {
public:
  explicit ending_upstream(int Instances)
      : Gateway(gateway_fixture::testSettings(), upstream_links::Proxied) {
    Gateway.Store.erase(Gateway.Upstreams[1]->key());
    Upstream.Born = FirstStart;
    list();
    if (Instances > 1)
      Relay = Gateway.startGatewayInstance("i-2");
    cr_assert(Gateway.waitFor([&] {
      return isListed(Gateway.core()) &&
             (!Relay || (isListed(Relay->core()) &&
                         Relay->core().ready(readBootClock()) &&
                         Relay->core().roster().peers().size() == 1 &&
                         Gateway.core().roster().peers().size() == 1));
    }));
  }

  /// Ends the connections between the upstream and all instances that reach it.
  void setFault(proxy_fault Fault) {
    for (const char *Instance : {"i-1", "i-2"})
      if (!(IsCut && std::string_view(Instance) == "i-1") &&
          (Relay || std::string_view(Instance) == "i-1"))
        Gateway.linksOf(Instance).setFault(Fault);
  }

  /// Cuts the first instance from the upstream, so that it uses the relay.
  void cutFirst() {
    IsCut = true;
    Gateway.linksOf("i-1").setFault(proxy_fault::Partition);
    cr_assert(Gateway.waitFor([&] {
      return Gateway.core()
          .upstreamPaths()
          .lostSince(*Gateway.core().directory().find("u-1"))
          .has_value();
    }));
  }

  void end() { setFault(proxy_fault::Unreachable); }

  /// Starts another process in the place of the one that has ended.
  void restart() {
    Upstream.Born += 1000;
    setFault(proxy_fault::None);
    list();
    cr_assert(Gateway.waitFor([&] {
      return isListed(Gateway.core()) && (!Relay || isListed(Relay->core()));
    }));
  }

  gateway_fixture Gateway;
  fake_upstream &Upstream = *Gateway.Upstreams[0];
  std::unique_ptr<gateway_task> Relay;

private:
  void list() { Gateway.Store.put(Upstream.key(), Upstream.entry("s")); }
  bool isListed(gateway_core &Core) const {
    const auto &All = Core.directory().all();
    return All.size() == 1 && All.begin()->second.Born == Upstream.Born;
  }

  bool IsCut = false;
};

} // namespace

ParameterizedTestParameters(crashing_request, reaches_few_processes) {
  using enum run_end;
  static crash_row Rows[] = {
      {"at once", Crash, 0, false, false},
      {"after 5 ms", Crash, 5, false, false},
      {"after 50 ms", Crash, 50, false, false},
      {"after 150 ms", Crash, 150, false, false},
      {"after the head", CrashAfterHead, 5, false, false},
      {"beside others", Crash, 5, false, true},
      {"back at once", CrashAndReturn, 5, false, false},
      {"relayed, at once", Crash, 0, true, false},
      {"relayed, after 50 ms", Crash, 50, true, false},
      {"relayed, after 150 ms", Crash, 150, true, false},
      {"relayed, back at once", CrashAndReturn, 5, true, false},
      {"relayed, after the head", CrashAfterHead, 5, true, false},
      {"closes", CloseConnections, 0, false, false},
      {"closes, after 5 ms", CloseConnections, 5, false, false},
      {"closes, beside others", CloseConnections, 5, false, true},
      {"relayed, closes", CloseConnections, 0, true, false},
  };
  return criterion_test_params(Rows);
}

/// A crash right after the request was sent on a used connection was taken for
/// the close of an idle one, so that the request crashed process after process.
ParameterizedTest(crash_row *Row, crashing_request, reaches_few_processes) {
  ending_upstream Ending(Row->Relayed ? 2 : 1);
  gateway_fixture &Gateway = Ending.Gateway;
  fake_upstream &Upstream = Ending.Upstream;
  if (Row->Relayed)
    Ending.cutFirst();
  int Crashes = 0;
  Upstream.OnRun = [&](const http_request &Request) {
    if (Request.Head.Target != Crashing)
      return;
    ++Crashes;
    callAfter(Gateway.Base.get(), std::chrono::milliseconds(Row->AfterMs), [&] {
      if (Row->End == run_end::CloseConnections ||
          Row->End == run_end::CrashAndReturn) {
        Ending.setFault(proxy_fault::Reset);
        Ending.setFault(proxy_fault::None);
        if (Row->End == run_end::CrashAndReturn)
          Upstream.Born += 1000;
      } else {
        Ending.end();
      }
    });
  };
  const bool IsCrash = Row->End != run_end::CloseConnections;
  int Status = 0;
  std::vector<std::unique_ptr<direct_caller>> Others;
  for (int Round = 0; Round < Rounds; ++Round) {
    const auto Id = [Round](const char *Name) {
      return fmt::format("{}-{}", Name, Round);
    };
    const auto SendOther = [&](const char *Path, const char *Name) {
      const client_request Other =
          Gateway.makeRequest({.Path = Path, .Id = Id(Name)});
      Others.push_back(std::make_unique<direct_caller>(Other.Server));
      Others.back()->send(Other);
    };
    Upstream.Delay = Row->WithOthers ? 20ms : 0ms;
    // Leaves a used connection for each request that runs at the same time.
    if (Row->WithOthers)
      SendOther("/read/2", "beside");
    // An upstream that has just failed may get no requests for a while.
    int Read = 0;
    for (int Try = 0; Try < 50 && Read != 200; ++Try) {
      Read = Gateway.sendRequest({.Path = "/read/1", .Id = Id("read")}).Status;
      runLoopFor(Gateway.Base.get(), 10ms);
    }
    cr_assert(Read == 200, "%s: %d", Row->Name, Read);
    const bool HasHead = Row->End == run_end::CrashAfterHead;
    Upstream.Delay = HasHead ? 0s : 1s;
    Upstream.EventInterval = 1s;
    Upstream.CloseDelimitedEvery = HasHead ? 1 : 0;
    const int Before = Crashes;
    if (Row->WithOthers)
      SendOther("/order/1", "other");
    Status =
        Gateway.sendRequest({.Path = std::string(Crashing), .Id = Id("crash")})
            .Status;
    Upstream.CloseDelimitedEvery = 0;
    // The process is asked whether it has ended before it starts again.
    runLoopFor(Gateway.Base.get(), 300ms);
    if (Crashes > Before && IsCrash)
      Ending.restart();
  }
  if (IsCrash) {
    cr_assert(Crashes >= 1 && Crashes <= MaxCrashes, "%s: %d crashes",
              Row->Name, Crashes);
    cr_assert(Status == 503, "%s: %d", Row->Name, Status);
  } else {
    cr_assert(Crashes == Rounds, "%s: %d runs, last status %d", Row->Name,
              Crashes, Status);
  }
}

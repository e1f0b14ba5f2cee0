// Prompts with a segment that crashes each upstream which begins to respond.
#include "gateway/gateway_fixture.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <utility>
#include <vector>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;

namespace {

/// After so many crashes of the fleet the segment must be known.
constexpr std::size_t KnownCrashes = 5;
/// Requests with a known segment that may still reach an upstream.
constexpr std::size_t MaxLater = 3;

/// Lists each upstream that has crashed since the last call as a new process.
void restartCrashed(gateway_fixture &Gateway, gateway_task *Other,
                    std::vector<std::size_t> &Seen) {
  for (std::size_t Index = 0; Index < Gateway.Upstreams.size(); ++Index) {
    fake_upstream &Upstream = *Gateway.Upstreams[Index];
    if (std::exchange(Seen[Index], Upstream.Crashes) == Upstream.Crashes)
      continue;
    Gateway.Store.erase(Upstream.key());
    const std::string Id = fmt::format("u-{}-{}", Index, Upstream.Crashes);
    Upstream.restartAs(Id);
    Gateway.Store.put(Upstream.key(), Upstream.entry("s"));
    cr_assert(Gateway.waitFor([&] {
      return Gateway.core().directory().find(Id) &&
             (!Other || Other->core().directory().find(Id));
    }));
  }
}

struct crashing_row {
  char Name[32];
  char Crashing[48]; ///< segments of a prompt that crashes, after the first
  int Instances;
};

} // namespace

ParameterizedTestParameters(crashing_segment, reaches_few_upstreams) {
  static crashing_row Rows[] = {
      {"second segment", "dead:100,", 1},
      {"third segment", "b:100,dead:100,", 1},
      {"before a shared one", "dead:100,b:100,", 1},
      {"at two instances", "b:100,dead:100,", 2},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(crashing_row *Row, crashing_segment, reaches_few_upstreams) {
  gateway_fixture Gateway;
  std::unique_ptr<gateway_task> Other;
  if (Row->Instances > 1) {
    Other = Gateway.startGatewayInstance("i-2");
    cr_assert(Gateway.waitFor([&] {
      return Other->core().ready(readBootClock()) &&
             !Other->core().roster().peers().empty() &&
             !Gateway.core().roster().peers().empty();
    }));
  }
  for (const auto &Upstream : Gateway.Upstreams)
    Upstream->CrashingSegment = "dead";
  std::vector<std::size_t> Seen(Gateway.Upstreams.size());
  constexpr int Requests = 16;
  constexpr int SoundRequests = 6; ///< for each that crashes
  int Number = 0;
  // No two requests are alike.
  const auto Send = [&](int Number, const std::string &Segments) {
    return Gateway
        .sendRequest({.Path = fmt::format("/stream-on/{}", Number),
                      .Id = fmt::format("id-{}", Number),
                      .Segments = Segments})
        .Status;
  };
  for (int Index = 0; Index < Requests; ++Index) {
    if (Other && Index == Requests / 2)
      Gateway.setCallerTarget(*Other);
    // Sound requests share the key, the first segment and all others.
    for (int Sound = 0; Sound < SoundRequests; ++Sound) {
      const std::string Segments = fmt::format(
          "a:500,{}:100,own-{}:20", Sound % 2 == 0 ? "b" : "c", ++Number);
      cr_assert(Send(Number, Segments) == 200, "%s: %s", Row->Name,
                Segments.c_str());
    }
    ++Number;
    Send(Number, fmt::format("a:500,{}own-{}:20", Row->Crashing, Number));
    restartCrashed(Gateway, Other.get(), Seen);
    // Crashes at the same time count as one outage.
    runLoopFor(Gateway.Base.get(), segment_quarantine_options{}.OutageDuration);
  }
  const std::size_t Crashes =
      Gateway.Upstreams[0]->Crashes + Gateway.Upstreams[1]->Crashes;
  cr_assert(Crashes >= 1 && Crashes <= KnownCrashes + MaxLater,
            "%s: %zu crashes", Row->Name, Crashes);
}

/// A restarted instance would let requests with the segment pass again.
Test(crashing_segment, a_new_instance_learns_of_a_quarantine) {
  gateway_fixture Gateway;
  const named_segment Crashing[] = {{"dead", 100}};
  const auto Ids = segmentIds("m", Crashing);
  const quarantined_segment Quarantined[] = {{Ids[0], std::chrono::minutes(1)}};
  Gateway.core().segmentQuarantine().onPeerQuarantine(Quarantined,
                                                      readBootClock());
  const auto Other = Gateway.startGatewayInstance("i-2");
  int Number = 0;
  cr_assert(Gateway.waitFor([&] {
    // Load messages are sent only while there is load.
    Gateway.sendRequest({.Path = "/read/1", .Id = fmt::format("{}", ++Number)});
    return Other->core()
        .segmentQuarantine()
        .blockedFor(Ids, readBootClock())
        .has_value();
  }));
  Gateway.setCallerTarget(*Other);
  cr_assert(
      Gateway.waitFor([&] { return Other->core().ready(readBootClock()); }));
  const caller_response Response =
      Gateway.sendRequest({.Path = "/stream-on/1", .Segments = "a:1,dead:100"});
  cr_assert(Response.Status == 503, "%d", Response.Status);
  cr_assert(Response.Headers.find("Retry-After"));
}

/// An upstream that closes an idle connection does so soon after the request
/// was sent on it. A later close may be a crash.
Test(crashing_segment, a_crash_on_a_reused_connection_counts) {
  gateway_fixture Gateway;
  std::size_t Requests = 0;
  scripted_server Server(Gateway.Base.get(), [&](scripted_server::peer &Peer) {
    if (!Peer.Received.ends_with("the body"))
      return;
    Peer.Received.clear();
    if (++Requests == 1)
      return Peer.send("HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: id-1\r\n"
                       "Keep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n");
    callAfter(Gateway.Base.get(), std::chrono::milliseconds(400),
              [&Peer] { Peer.reset(); });
  });
  Gateway.useOnlyUpstream(Server.address().Port);
  const caller_options Request{.Path = "/order/1", .Segments = "dead:100"};
  cr_assert(Gateway.sendRequest(Request).Status == 200);
  cr_assert(Gateway.sendRequest(Request).Status == 502);
  cr_assert(Server.Peers.size() == 1, "the connection was not reused");
  cr_assert(Gateway.core().crashes().size() == 1);
}

ParameterizedTestParameters(crashing_request,
                            is_quarantined_though_its_upstream_restarts) {
  static int Instances[] = {1, 2};
  return criterion_test_params(Instances);
}

ParameterizedTest(int *Instances, crashing_request,
                  is_quarantined_though_its_upstream_restarts) {
  gateway_fixture Gateway;
  fake_upstream &Upstream = *Gateway.Upstreams[0];
  Gateway.Store.erase(Gateway.Upstreams[1]->key());
  std::unique_ptr<gateway_task> Other;
  if (*Instances > 1)
    Other = Gateway.startGatewayInstance("i-2");
  Upstream.Behavior = upstream_behavior::DropResponse;
  const auto KnowsProcess = [&](gateway_core &Core) {
    const upstream_entry *Entry = Core.directory().find(Upstream.id());
    return Core.ready(readBootClock()) && Entry &&
           Entry->Born == Upstream.Born && Core.directory().all().size() == 1 &&
           Core.roster().peers().size() + 1 ==
               static_cast<std::size_t>(*Instances);
  };
  int Status = 0;
  for (int Request = 1; Request <= 3; ++Request) {
    Upstream.Born = Request;
    Gateway.Store.put(Upstream.key(), Upstream.entry("s"));
    cr_assert(Gateway.waitFor([&] {
      return KnowsProcess(Gateway.core()) &&
             (!Other || KnowsProcess(Other->core()));
    }));
    if (Other && Request == 2)
      Gateway.setCallerTarget(*Other);
    const std::size_t Before = Other ? Other->core().crashes().size() : 0;
    Status =
        Gateway
            .sendRequest({.Path = "/order/1", .Id = fmt::format("{}", Request)})
            .Status;
    if (Other && Request == 1)
      cr_assert(Gateway.waitFor(
          [&] { return Other->core().crashes().size() > Before; }));
  }
  cr_assert(Upstream.runs() == 2, "%d", Upstream.runs());
  cr_assert(Status == 503, "%d", Status);
}

Test(crashing_request, is_sound_after_a_complete_answer) {
  gateway_fixture Gateway;
  const auto Other = Gateway.startGatewayInstance("i-2");
  cr_assert(Gateway.waitFor([&] {
    return Other->core().ready(readBootClock()) &&
           Other->core().roster().peers().size() == 1 &&
           Gateway.core().roster().peers().size() == 1;
  }));
  for (const auto &Upstream : Gateway.Upstreams)
    Upstream->Behavior = upstream_behavior::DropResponse;
  cr_assert(Gateway.sendRequest({.Path = "/order/1", .Id = "1"}).Status == 502);
  cr_assert(
      Gateway.waitFor([&] { return Other->core().crashes().size() == 1; }));
  for (const auto &Upstream : Gateway.Upstreams)
    Upstream->Behavior = upstream_behavior::Respond;
  cr_assert(Gateway.sendRequest({.Path = "/order/1", .Id = "2"}).Status == 200);
  cr_assert(Gateway.core().crashes().size() == 0);
  cr_assert(
      Gateway.waitFor([&] { return Other->core().crashes().size() == 0; }));
}

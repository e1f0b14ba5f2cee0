// Responses without length or chunks whose upstream ends with them, or not.
#include "gateway/gateway_fixture.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// Before and after all requests of the tests.
constexpr std::int64_t Born = 1'700'000'000'000;
constexpr std::int64_t LaterBorn = 9'000'000'000'000;

/// What answers at the upstream's address after it has ended its response.
enum class successor {
  Itself,
  ItselfLate,   ///< after a second of silence
  NoReport,     ///< an upstream that states no start
  Earlier,      ///< itself, but its entry is that of the process before
  Next,         ///< the next process
  NextBehind,   ///< the next process, whose clock is behind
  OtherProcess, ///< another upstream
  Nobody,       ///< connections are refused
  NoListener,   ///< itself, but on open connections only
  OneSilent,    ///< as `Earlier`, but its oldest connection is silent
  AllSilent,    ///< connections are refused, and the open ones are silent
  Full,         ///< itself, but it resets new connections for a while
  Silence,      ///< no answer at all
};

struct end_row {
  char Name[40];
  successor Successor;
  bool IsWhole;
  bool IsDraining = false; ///< by its entry
};

std::string reportOf(std::int64_t Start) {
  const std::string Body = fmt::format(
      R"({{"models":[],"busy":false,"sequence":0,"born":{}}})", Start);
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                     Body.size(), Body);
}

/// Plays an upstream whose responses are all delimited by the close of their
/// connections.
class closing_upstream {
public:
  closing_upstream(event_base *Base, successor Successor)
      : Successor(Successor),
        Server(Base, [this](scripted_server::peer &Peer) { answer(Peer); }) {}

  std::uint16_t port() const { return Server.address().Port; }
  /// Keeps requests without a response until `respond`.
  void hold() { Holding = true; }
  bool holds() const { return Held != nullptr; }
  void respond() {
    Holding = false;
    answer(*Held);
  }

private:
  void answer(scripted_server::peer &Peer) {
    if (Peer.Received.starts_with("GET /v1/report")) {
      Peer.Received.clear();
      return answerReport(Peer);
    }
    if (!Peer.Received.ends_with("the body"))
      return;
    if (Holding) {
      Held = &Peer;
      return;
    }
    const bool Streams = Peer.Received.starts_with("POST /stream");
    Peer.send(fmt::format("HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: id-1\r\n"
                          "Content-Type: {}\r\nConnection: close\r\n\r\n{}",
                          Streams ? "text/event-stream" : "text/plain",
                          Streams ? fake_upstream::events(0, 2) : "answer"));
    if (Successor == successor::Nobody || Successor == successor::NoListener ||
        Successor == successor::AllSilent)
      Server.stopListening();
    Peer.close();
    if (endsConnections())
      for (const auto &Each : Server.Peers)
        Each->close();
  }

  bool endsConnections() const {
    using enum successor;
    return Successor == Next || Successor == NextBehind ||
           Successor == OtherProcess;
  }

  void answerReport(scripted_server::peer &Peer) {
    ++Reports;
    switch (Successor) {
    case successor::Itself:
    case successor::NoListener:
      return Peer.send(reportOf(Born));
    case successor::ItselfLate:
      return callAfter(Server.base(), 1200ms,
                       [&Peer] { Peer.send(reportOf(Born)); });
    case successor::NoReport:
      return Peer.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    case successor::Earlier:
    case successor::NextBehind:
      return Peer.send(reportOf(Born + 1));
    case successor::Next:
      return Peer.send(reportOf(LaterBorn));
    case successor::Full:
      if (Reports > 3)
        return Peer.send(reportOf(Born));
      return Peer.reset();
    case successor::OtherProcess:
      return Peer.send("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
                       "Ebonyvale-Instance-Id: u-9\r\n\r\n");
    case successor::OneSilent:
      if (&Peer == Server.Peers.front().get())
        return;
      return Peer.send(reportOf(Born + 1));
    case successor::Nobody:
      if (Holding)
        Peer.send(reportOf(Born));
      return;
    case successor::AllSilent:
    case successor::Silence:
      return;
    }
  }

  successor Successor;
  scripted_server Server;
  int Reports = 0;
  bool Holding = false;
  scripted_server::peer *Held = nullptr;
};

} // namespace

ParameterizedTestParameters(ended_upstream,
                            response_is_not_passed_on_as_complete) {
  static end_row Rows[] = {
      {"outlives it", successor::Itself, true},
      {"outlives it, silent for a second", successor::ItselfLate, true},
      {"states no start", successor::NoReport, true},
      {"has not been listed yet", successor::Earlier, true},
      {"has restarted", successor::Next, false},
      {"has restarted, its clock is behind", successor::NextBehind, false},
      {"another one at its address", successor::OtherProcess, false},
      {"refuses connections", successor::Nobody, false},
      {"refuses connections, was to leave", successor::Nobody, true, true},
      {"refuses new connections", successor::NoListener, true},
      {"resets new connections", successor::Full, true},
      {"not listed yet, one connection silent", successor::OneSilent, true},
      {"silent", successor::Silence, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(end_row *Row, ended_upstream,
                  response_is_not_passed_on_as_complete) {
  for (const char *Path : {"/stream-once/1", "/stream-on/1", "/order/1"}) {
    gateway_fixture Gateway;
    closing_upstream Upstream(Gateway.Base.get(), Row->Successor);
    Gateway.Upstreams[0]->Born = Born;
    Gateway.useOnlyUpstream(Upstream.port());
    int Opened = 0;
    for (int Connection = 0; Connection < 3; ++Connection)
      Gateway.core().links().probe({"127.0.0.1", Upstream.port()},
                                   [&Opened](auto) { ++Opened; });
    cr_assert(Gateway.waitFor([&] { return Opened == 3; }));
    if (Row->Successor == successor::Nobody)
      Gateway.core().links().closeIdleConnections(
          {"127.0.0.1", Upstream.port()});
    Upstream.hold();
    Gateway.startRequest({.Path = Path});
    cr_assert(Gateway.waitFor([&] { return Upstream.holds(); }));
    if (Row->IsDraining)
      Gateway.Store.put("servers/u-1", Gateway.Upstreams[0]->entryAt(
                                           Upstream.port(), "s", true));
    cr_assert(Gateway.waitFor([&] {
      return Gateway.core().directory().find("u-1")->isOpen() !=
             Row->IsDraining;
    }));
    Upstream.respond();
    cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
    const caller_response Response = Gateway.result();
    const bool PassedAsComplete = Response.Status == 200 && Response.IsComplete;
    cr_assert(PassedAsComplete == Row->IsWhole, "%s, %s: %d '%s'", Row->Name,
              Path, Response.Status, Response.Body.c_str());
  }
}

Test(ended_upstream, silent_connections_hold_a_response_for_one_timeout) {
  gateway_fixture Gateway;
  closing_upstream Upstream(Gateway.Base.get(), successor::AllSilent);
  Gateway.Upstreams[0]->Born = Born;
  Gateway.useOnlyUpstream(Upstream.port());
  int Opened = 0;
  for (int Connection = 0; Connection < 4; ++Connection)
    Gateway.core().links().probe({"127.0.0.1", Upstream.port()},
                                 [&Opened](auto) { ++Opened; });
  cr_assert(Gateway.waitFor([&] { return Opened == 4; }));
  const instant Start = readBootClock();
  const caller_response Response = Gateway.sendRequest({.Path = "/order/1"});
  cr_assert(Response.Status != 200);
  cr_assert(readBootClock() - Start < 3s, "%.0f ms",
            toMs(readBootClock() - Start));
}

Test(ended_upstream, stream_goes_on_at_another_upstream) {
  gateway_fixture Gateway;
  closing_upstream Upstream(Gateway.Base.get(), successor::Nobody);
  Gateway.Upstreams[0]->Born = Born;
  Gateway.useOnlyUpstream(Upstream.port());
  Upstream.hold();
  Gateway.startRequest({.Path = "/stream-on/1"});
  cr_assert(Gateway.waitFor([&] { return Upstream.holds(); }));
  Gateway.Store.put(Gateway.Upstreams[1]->key(),
                    Gateway.Upstreams[1]->entry("s"));
  cr_assert(Gateway.waitFor(
      [&] { return Gateway.core().directory().find("u-2") != nullptr; }));
  Upstream.respond();
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  cr_assert(Gateway.result().IsComplete);
  cr_assert(Gateway.result().Body == fake_upstream::events(0), "'%s'",
            Gateway.result().Body.c_str());
}

namespace {

struct rest_row {
  char Framing[32]; ///< header of the response without further events
  bool IsComplete;
};

} // namespace

ParameterizedTestParameters(
    ended_upstream,
    resumed_stream_without_further_events_is_complete_if_that_is_stated) {
  static rest_row Rows[] = {
      {"Content-Length: 0", true},
      {"Connection: close", false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(
    rest_row *Row, ended_upstream,
    resumed_stream_without_further_events_is_complete_if_that_is_stated) {
  gateway_fixture Gateway;
  scripted_server::peer *Asked = nullptr;
  scripted_server First(
      Gateway.Base.get(),
      [&Asked](scripted_server::peer &Peer) { Asked = &Peer; });
  scripted_server Second(Gateway.Base.get(), [Row](
                                                 scripted_server::peer &Peer) {
    if (Peer.Received.starts_with("GET /v1/report")) {
      Peer.Received.clear();
      return Peer.send(reportOf(Born));
    }
    if (!Peer.Received.ends_with("the body"))
      return;
    Peer.send(fmt::format("HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: id-1\r\n"
                          "Content-Type: text/event-stream\r\n{}\r\n\r\n",
                          Row->Framing));
    Peer.close();
  });
  Gateway.useOnlyUpstream(First.address().Port);
  Gateway.startRequest({.Path = "/stream-on/1"});
  cr_assert(Gateway.waitFor([&] { return Asked != nullptr; }));
  Gateway.Upstreams[1]->Born = Born;
  Gateway.Store.put(Gateway.Upstreams[1]->key(),
                    Gateway.Upstreams[1]->entryAt(Second.address().Port, "s",
                                                  /*Draining=*/false));
  cr_assert(Gateway.waitFor(
      [&] { return Gateway.core().directory().find("u-2") != nullptr; }));
  const std::string Events = fake_upstream::events(0);
  Asked->send(fmt::format("HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: id-1\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                          Events.size(), Events));
  Asked->close();
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  cr_assert(Gateway.result().IsComplete == Row->IsComplete);
  cr_assert(Gateway.result().Body == Events, "'%s'",
            Gateway.result().Body.c_str());
}

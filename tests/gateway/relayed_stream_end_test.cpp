// Responses without length or chunks that an instance gets through a relay,
// since its own path to the upstream is cut.
#include "gateway/gateway_fixture.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <memory>
#include <string>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// The first two lie before all requests of the tests, the last one after.
constexpr std::int64_t Born = 1'700'000'000'000;
constexpr std::int64_t SlowClockBorn = Born + 60'000;
constexpr std::int64_t LaterBorn = 9'000'000'000'000;

constexpr std::string_view RelayName = "i-2";

/// What ends the response after its first half.
enum class response_end {
  Whole,       ///< its upstream, which lives on, after the second half
  Kill,        ///< a kill of its upstream, which is back at once
  RelayCloses, ///< the relay's connections close in order
  RelayResets, ///< the relay's connections are reset
  RelayEnds,   ///< the relaying instance ends
};

struct end_row {
  char Name[48];
  response_end End;
  std::int64_t NextBorn; ///< start that the process after a kill states
};

std::string withLength(std::string_view Status, const std::string &Body) {
  return fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", Status,
                     Body.size(), Body);
}

/// Plays an upstream whose responses are delimited by the close of their
/// connections, and the process that follows it at its port.
class killable_upstream {
public:
  explicit killable_upstream(event_base *Base)
      : Server(Base, [this](scripted_server::peer &Peer) { answer(Peer); }) {}

  std::uint16_t port() const { return Server.address().Port; }
  /// Returns the whole body of the last response.
  std::string whole() const {
    return Streams ? fake_upstream::events(0) : "answer";
  }
  /// Whether the first half of a response has been sent.
  bool responds() const { return Current != nullptr; }
  void finish() {
    Current->send(Streams ? fake_upstream::events(Half) : "wer");
    Current->close();
  }
  /// Ends all connections in order, as the system of a killed process does.
  void restart(std::int64_t NextBorn) {
    Ended = Server.Peers.size();
    for (const auto &Peer : Server.Peers)
      Peer->close();
    StatedBorn = NextBorn;
  }

  static constexpr int Half = 2; ///< events

private:
  bool isOfEndedProcess(const scripted_server::peer &Peer) const {
    for (std::size_t Index = 0; Index < Ended; ++Index)
      if (Server.Peers[Index].get() == &Peer)
        return true;
    return false;
  }

  void answer(scripted_server::peer &Peer) {
    if (isOfEndedProcess(Peer))
      return;
    if (Peer.Received.starts_with("GET /v1/report")) {
      Peer.Received.clear();
      return Peer.send(withLength(
          "200 OK",
          fmt::format(R"({{"models":[],"busy":false,"sequence":0,"born":{}}})",
                      StatedBorn)));
    }
    if (!Peer.Received.ends_with("the body"))
      return;
    Streams = Peer.Received.starts_with("POST /stream");
    Peer.Received.clear();
    if (Ended > 0)
      return Peer.send(withLength("500 Internal Server Error", ""));
    Peer.send(fmt::format("HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: id-1\r\n"
                          "Content-Type: {}\r\nConnection: close\r\n\r\n{}",
                          Streams ? "text/event-stream" : "text/plain",
                          Streams ? fake_upstream::events(0, Half) : "ans"));
    Current = &Peer;
  }

  scripted_server Server;
  scripted_server::peer *Current = nullptr;
  bool Streams = false;
  std::size_t Ended = 0; ///< connections of the process that was killed
  std::int64_t StatedBorn = Born;
};

/// Two instances, of which the first reaches its only upstream through the
/// second.
class relayed_upstream {
public:
  relayed_upstream()
      : Gateway(gateway_fixture::testSettings(), upstream_links::Proxied),
        Upstream(Gateway.Base.get()),
        Relay(Gateway.startGatewayInstance(std::string(RelayName))) {
    cr_assert(Gateway.waitFor([&] {
      return Relay->core().ready(readBootClock()) &&
             Gateway.core().roster().peers().size() == 1;
    }));
    proxyRelay();
    Gateway.Upstreams[0]->Born = Born;
    Gateway.Store.erase(Gateway.Upstreams[1]->key());
    Gateway.Store.put(
        Gateway.Upstreams[0]->key(),
        Gateway.Upstreams[0]->entryAt(Upstream.port(), "s", false));
    cr_assert(Gateway.waitFor([&] {
      return knowsUpstream(Gateway.core()) && knowsUpstream(Relay->core());
    }));
    Gateway.linksOf("i-1").setFault(proxy_fault::Unreachable);
    cr_assert(Gateway.waitFor([&] {
      return Gateway.core()
          .upstreamPaths()
          .lostSince(*Gateway.core().directory().find("u-1"))
          .has_value();
    }));
  }

  void end(const end_row &Row) {
    switch (Row.End) {
    case response_end::Whole:
      return Upstream.finish();
    case response_end::Kill:
      return Upstream.restart(Row.NextBorn);
    case response_end::RelayCloses:
      return RelayProxy.reset();
    case response_end::RelayResets:
      return RelayProxy->setFault(proxy_fault::Unreachable);
    case response_end::RelayEnds:
      return Relay.reset();
    }
  }

  gateway_fixture Gateway;
  killable_upstream Upstream;

private:
  static bool knowsUpstream(gateway_core &Core) {
    const upstream_entry *Entry = Core.directory().find("u-1");
    return Entry && Entry->Born == Born && !Core.directory().find("u-2");
  }

  /// Puts a proxy between the instances.
  void proxyRelay() {
    const std::string Key = fmt::format("ebonyvale/instances/{}", RelayName);
    const auto Item = Gateway.Store.model().get(Key);
    cr_assert(Item);
    auto Entry = nlohmann::json::parse(Item->Value);
    RelayProxy = std::make_unique<loopback_proxy>(
        Gateway.Base.get(), Entry["relay_port"].get<std::uint16_t>());
    Entry["relay_port"] = RelayProxy->port();
    Gateway.Store.put(Key, Entry.dump());
    cr_assert(Gateway.waitFor([&] {
      const auto Endpoint = Gateway.core().relayEndpoint(RelayName);
      return Endpoint && Endpoint->Port == RelayProxy->port();
    }));
  }

  std::unique_ptr<gateway_task> Relay;
  std::unique_ptr<loopback_proxy> RelayProxy;
};

} // namespace

ParameterizedTestParameters(relayed_stream,
                            that_is_cut_is_not_passed_on_as_complete) {
  static end_row Rows[] = {
      {"whole, its upstream lives on", response_end::Whole, 0},
      {"upstream killed, back at once", response_end::Kill, LaterBorn},
      {"upstream killed, back, its clock behind", response_end::Kill,
       SlowClockBorn},
      {"relay closes", response_end::RelayCloses, 0},
      {"relay resets", response_end::RelayResets, 0},
      {"relay ends", response_end::RelayEnds, 0},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(end_row *Row, relayed_stream,
                  that_is_cut_is_not_passed_on_as_complete) {
  for (const char *Path : {"/stream-once/1", "/stream-on/1", "/order/1"}) {
    relayed_upstream Relayed;
    gateway_fixture &Gateway = Relayed.Gateway;
    Gateway.startRequest({.Path = Path});
    cr_assert(Gateway.waitFor([&] { return Relayed.Upstream.responds(); }));
    if (std::string_view(Path).starts_with("/stream"))
      cr_assert(Gateway.waitFor([&] {
        return Gateway.result().Body ==
               fake_upstream::events(0, killable_upstream::Half);
      }));
    else
      runLoopFor(Gateway.Base.get(), 20ms);
    cr_assert(Gateway.core().counters().SentThroughRelays.Value() == 1);
    Relayed.end(*Row);
    cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
    const caller_response &Result = Gateway.result();
    const bool PassedAsComplete = Result.Status == 200 && Result.IsComplete;
    cr_assert(PassedAsComplete == (Row->End == response_end::Whole),
              "%s, %s: %d '%s'", Row->Name, Path, Result.Status,
              Result.Body.c_str());
    if (PassedAsComplete)
      cr_assert(Result.Body == Relayed.Upstream.whole(), "%s, %s: '%s'",
                Row->Name, Path, Result.Body.c_str());
  }
}

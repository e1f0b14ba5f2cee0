// Responses of an upstream that has restarted under its id and whose new entry
// arrives after their requests were sent.
#include "gateway/gateway_fixture.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t Listed = 1'700'000'000'000;
constexpr std::int64_t Stated = Listed + 1;

/// An upstream that states another start than its first entry, and whose
/// response ends with all of its connections.
class restarted_upstream {
public:
  explicit restarted_upstream(gateway_fixture &Gateway)
      : Gateway(Gateway),
        Server(Gateway.Base.get(),
               [this](scripted_server::peer &Peer) { receive(Peer); }) {
    Gateway.Upstreams[0]->Born = Listed;
    Gateway.useOnlyUpstream(Server.address().Port);
    Gateway.startRequest({.Path = "/stream-once/1"});
    cr_assert(Gateway.waitFor([this] { return Asked != nullptr; }));
    Asked->send("HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: id-1\r\n"
                "Content-Type: text/event-stream\r\n\r\n");
  }

  /// Lists the process that states its start.
  void list() {
    fake_upstream &Entry = *Gateway.Upstreams[0];
    Entry.Born = Stated;
    Gateway.Store.put(Entry.key(), Entry.entryAt(Server.address().Port, "s",
                                                 /*Draining=*/false));
    cr_assert(Gateway.waitFor([this] {
      return Gateway.core().directory().find("u-1")->Born == Stated;
    }));
  }

  /// Sends the event \p Number and waits until it has arrived.
  void sendEvent(int Number) {
    const std::string All = fake_upstream::events(0, Number);
    Asked->send(fake_upstream::events(Number - 1, Number));
    cr_assert(Gateway.waitFor(
        [&] { return Gateway.result().Body.size() >= All.size(); }));
  }

  void end() {
    for (const auto &Peer : Server.Peers)
      Peer->close();
  }

private:
  void receive(scripted_server::peer &Peer) {
    if (Peer.Received.ends_with("the body"))
      Asked = &Peer;
    const std::string Body = fmt::format(
        R"({{"models":[],"busy":false,"sequence":0,"born":{}}})", Stated);
    if (Peer.Received.starts_with("GET /v1/report"))
      Peer.send(fmt::format("HTTP/1.1 200 OK\r\nConnection: "
                            "close\r\nContent-Length: {}\r\n\r\n{}",
                            Body.size(), Body));
  }

  gateway_fixture &Gateway;
  scripted_server Server;
  scripted_server::peer *Asked = nullptr;
};

void pause(gateway_fixture &Gateway) {
  const instant Until = readBootClock() + 700ms;
  Gateway.waitFor([Until] { return readBootClock() >= Until; });
}

} // namespace

Test(late_entry, cuts_no_response_that_goes_on_after_it) {
  gateway_fixture Gateway;
  restarted_upstream Upstream(Gateway);
  Upstream.list();
  Upstream.sendEvent(1);
  pause(Gateway);
  Upstream.sendEvent(2);
  Upstream.end();
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  cr_assert(Gateway.result().IsComplete);
}

Test(late_entry, proves_nothing_by_bytes_that_a_cut_path_held_up) {
  gateway_fixture Gateway;
  restarted_upstream Upstream(Gateway);
  Upstream.sendEvent(1);
  Upstream.list();
  pause(Gateway);
  Upstream.sendEvent(2);
  Upstream.end();
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  cr_assert(!Gateway.result().IsComplete);
}

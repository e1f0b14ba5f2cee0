// Exchanges on the pooled connection that was opened first.
#include "net/client_connection.h"

#include "daemon/loop_runner.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>

#include <optional>

using namespace ebonyvale;

namespace {

class last_response final : public response_observer {
public:
  response_action onResponseHead(const http_head &, bool) override {
    return response_action::Take;
  }
  void onResponseBody(std::string_view) override {}
  void onResponseEnd() override { Over = true; }
  void onResponseLost(const exchange_loss &) override { Over = true; }

  bool Over = false;
};

struct two_connections {
  two_connections() {
    for (int Expected : {1, 2}) {
      Pool.probe(Server.address(), [this](auto) { ++Opened; });
      cr_assert(runLoopUntil(Base.get(), [&] { return Opened == Expected; }));
    }
  }

  /// Sends a request on the oldest connection and returns when that was opened.
  std::optional<instant> askOldest() {
    client_request Request;
    Request.Server = Server.address();
    Request.OldestConnection = true;
    last_response Observer;
    const auto Link = Pool.start(Request, Observer);
    const auto OpenedAt = Link->openedAt();
    cr_assert(runLoopUntil(Base.get(), [&] { return Observer.Over; }));
    return OpenedAt;
  }

  event_base_ptr Base{event_base_new()};
  scripted_server Server{Base.get(), [](scripted_server::peer &Peer) {
                           Peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                     "Content-Length: 0\r\n\r\n");
                         }};
  client_connection_pool Pool{Base.get(), {}};
  int Opened = 0;
};

} // namespace

Test(oldest_connection, is_taken_before_later_ones_and_a_new_one_after_all) {
  two_connections Links;
  const auto First = Links.askOldest();
  const auto Second = Links.askOldest();
  cr_assert(First && Second && *First < *Second);
  cr_assert(!Links.askOldest());
}

Test(oldest_connection, is_not_one_that_the_server_has_ended) {
  two_connections Links;
  cr_assert(runLoopUntil(Links.Base.get(),
                         [&] { return Links.Server.Peers.size() == 2; }));
  Links.Server.Peers[0]->close();
  cr_assert(Links.askOldest());
  cr_assert(!Links.askOldest());
}

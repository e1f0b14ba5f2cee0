// Checks the limitation of evhttp's client because of which proxied requests do
// not use it (see net/http_message.h).
#include "daemon/loop_runner.h"
#include "net/scripted_server.h"
#include "net/upstream_exchange.h"

#include <criterion/criterion.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

class observer final : public exchange_observer {
public:
  void onHead(const response_head &) override { HeadReceived = true; }
  void onBody(std::string_view) override {}
  void onComplete() override {}
  void onLost(exchange_stage) override {}
  bool HeadReceived = false;
};

} // namespace

/// evhttp's client does not read a response until the request is written. If
/// this test fails, evhttp no longer has this limitation.
Test(evhttp_limits, early_response_is_not_read_before_body_is_written) {
  const event_base_ptr Base(event_base_new());
  evhttp_connection_pool Pool(Base.get());
  scripted_server Server(Base.get(), [](auto &) {});
  Server.ReadNothing = true;
  const std::string Body(16 * 1024 * 1024, 'x');
  outgoing_request Request;
  Request.Server = Server.address();
  Request.Method = "POST";
  Request.Target = "/";
  Request.Body = {Body};
  Request.ReadTimeout = 30s;
  observer Observer;
  const auto Exchange = upstream_exchange::start(Pool, Request, Observer);
  cr_assert(runLoopUntil(Base.get(), [&] { return !Server.Peers.empty(); }));
  Server.Peers[0]->send("HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno");
  runLoopFor(Base.get(), 300ms);
  cr_assert(!Observer.HeadReceived);
  Exchange->cancel();
  runLoopFor(Base.get(), 1ms);
}

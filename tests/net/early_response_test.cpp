// A server that answers a long upload at once, without a length, sends a part
// of the body and resets the connection while the upload is being written.
#include "net/client_connection.h"
#include "net/upstream_exchange.h"

#include "daemon/loop_runner.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t UploadBytes = 8'000'000;
/// The reset is seen by a write or by a read, as it comes.
constexpr int Repeats = 20;

struct early_row {
  char Head[64];
  bool AtOnce; ///< the reset follows the part at once, else 5 ms later
};

class end_observer final : public response_observer, public exchange_observer {
public:
  response_action onResponseHead(const http_head &, bool) override {
    return response_action::Take;
  }
  void onResponseBody(std::string_view) override {}
  void onResponseEnd() override { Completed = true; }
  void onResponseLost(const exchange_loss &) override { Lost = true; }
  void onHead(const response_head &) override {}
  void onBody(std::string_view) override {}
  void onComplete() override { Completed = true; }
  void onLost(exchange_stage) override { Lost = true; }

  bool Completed = false;
  bool Lost = false;
};

} // namespace

ParameterizedTestParameters(early_response, a_reset_does_not_complete_it) {
  static early_row Rows[] = {
      {"HTTP/1.1 200 OK\r\n\r\n", true},
      {"HTTP/1.1 200 OK\r\n\r\n", false},
      {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", true},
      {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", false},
      {"HTTP/1.0 200 OK\r\n\r\n", true},
      {"HTTP/1.0 200 OK\r\n\r\n", false},
      {"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n", true},
      {"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n", false}};
  return criterion_test_params(Rows);
}

ParameterizedTest(early_row *Row, early_response,
                  a_reset_does_not_complete_it) {
  const event_base_ptr Base(event_base_new());
  scripted_server Server(Base.get(), [&](scripted_server::peer &Peer) {
    if (Peer.Sent > 0)
      return;
    Peer.send(std::string(Row->Head) + "part");
    if (Row->AtOnce)
      return Peer.reset();
    callAfter(Base.get(), 5ms, [&Peer] { Peer.reset(); });
  });
  const std::string Upload(UploadBytes, 'x');
  client_connection_pool Links(Base.get(), {});
  evhttp_connection_pool Pool(Base.get());
  for (int Index = 0; Index < 2 * Repeats; ++Index) {
    end_observer Observer;
    std::shared_ptr<client_connection> Exchange;
    if (Index % 2 == 0) {
      client_request Request;
      Request.Server = Server.address();
      Request.Method = "POST";
      Request.Body = Upload;
      Request.NewConnection = true;
      Exchange = Links.start(Request, Observer);
    } else {
      outgoing_request Request;
      Request.Server = Server.address();
      Request.Body = {Upload};
      Request.Use = connection_use::AlwaysNew;
      upstream_exchange::start(Pool, Request, Observer);
    }
    cr_assert(runLoopUntil(
        Base.get(), [&] { return Observer.Completed || Observer.Lost; }));
    cr_assert(!Observer.Completed, "%s: %d", Row->Head, Index);
  }
}

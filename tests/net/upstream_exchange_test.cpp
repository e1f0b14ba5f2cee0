// How the responses of evhttp's client end.
#include "net/upstream_exchange.h"

#include "daemon/loop_runner.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

class recording_observer final : public exchange_observer {
public:
  void onHead(const response_head &) override {}
  void onBody(std::string_view Bytes) override { Body += Bytes; }
  void onComplete() override { Completed = true; }
  void onLost(exchange_stage) override { Lost = true; }
  std::string Body;
  bool Completed = false;
  bool Lost = false;
};

/// What follows the bytes of a response.
enum class response_end { Silence, Close, Reset };

struct end_row {
  char Response[96];
  response_end End;
  bool IsComplete;
};

#define OLD "HTTP/1.0 200 OK\r\n"
#define NEW "HTTP/1.1 200 OK\r\n"
#define LENGTH "Content-Length: 5\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define KEPT "Connection: keep-alive\r\n"

} // namespace

ParameterizedTestParameters(upstream_exchange,
                            only_an_end_that_was_meant_completes_a_response) {
  static end_row Rows[] = {
      {NEW "\r\nwho", response_end::Silence, false},
      {NEW "\r\nwho", response_end::Reset, false},
      {NEW "\r\nwhole", response_end::Close, true},
      {OLD "\r\nwho", response_end::Silence, false},
      {OLD "\r\nwho", response_end::Reset, false},
      {OLD "\r\nwhole", response_end::Close, true},
      {OLD KEPT "\r\nwho", response_end::Silence, false},
      {OLD KEPT "\r\nwho", response_end::Reset, false},
      {OLD KEPT "\r\nwhole", response_end::Close, true},
      {NEW KEPT "\r\nwho", response_end::Silence, false},
      {NEW KEPT "\r\nwho", response_end::Reset, false},
      {NEW KEPT "\r\nwhole", response_end::Close, true},
      {NEW "Connection: close, x\r\n\r\nwhole", response_end::Close, true},
      {NEW KEPT "Transfer-Encoding: identity\r\n\r\nwhole", response_end::Close,
       true},
      {OLD KEPT LENGTH "who", response_end::Close, false},
      {OLD KEPT LENGTH "whole", response_end::Silence, true},
      {OLD LENGTH "who", response_end::Close, false},
      {OLD LENGTH "who", response_end::Reset, false},
      {NEW LENGTH "who", response_end::Silence, false},
      {NEW LENGTH "who", response_end::Close, false},
      {NEW LENGTH "who", response_end::Reset, false},
      {NEW LENGTH "whole", response_end::Silence, true},
      {"HTTP/1.1 000 x\r\n" LENGTH "whole", response_end::Silence, false},
      {"HTTP/1.1 000 x\r\n" LENGTH "whole", response_end::Close, false},
      {"HTTP/1.1 099 x\r\n" LENGTH "whole", response_end::Silence, false},
      {"HTTP/1.1 600 x\r\n" LENGTH "whole", response_end::Silence, false},
      {"HTTP/1.1 600 x\r\n\r\nwhole", response_end::Close, false},
      {"HTTP/1.1 999 x\r\n" LENGTH "whole", response_end::Silence, false},
      {"HTTP/1.1 999 x\r\n" CHUNKED "5\r\nwhole\r\n0\r\n\r\n",
       response_end::Silence, false},
      {NEW CHUNKED "3\r\nwho\r\n", response_end::Silence, false},
      {NEW CHUNKED "3\r\nwho\r\n", response_end::Close, false},
      {NEW CHUNKED "3\r\nwho\r\n", response_end::Reset, false},
      {NEW CHUNKED "3\r\nwho\r\n0\r\n", response_end::Close, false},
      {NEW CHUNKED "5\r\nwhole\r\n0\r\n\r\n", response_end::Silence, true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(end_row *Row, upstream_exchange,
                  only_an_end_that_was_meant_completes_a_response) {
  const event_base_ptr Base(event_base_new());
  scripted_server Server(Base.get(), [&](scripted_server::peer &Peer) {
    if (Peer.Received.find("\r\n\r\n") == std::string::npos)
      return;
    Peer.Received.clear();
    Peer.send(Row->Response);
    if (Row->End == response_end::Close)
      Peer.close();
    if (Row->End == response_end::Reset)
      Peer.reset();
  });
  evhttp_connection_pool Pool(Base.get());
  recording_observer Observer;
  outgoing_request Request;
  Request.Server = Server.address();
  Request.ReadTimeout = 100ms;
  upstream_exchange::start(Pool, Request, Observer);
  cr_assert(runLoopUntil(Base.get(),
                         [&] { return Observer.Completed || Observer.Lost; }));
  cr_assert(Observer.Completed == Row->IsComplete, "%s: '%s'", Row->Response,
            Observer.Body.c_str());
  if (Row->IsComplete)
    cr_assert(Observer.Body == "whole", "%s", Observer.Body.c_str());
}

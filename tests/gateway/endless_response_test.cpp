// Upstreams that send bytes without end, in a head or a body, at full rate or a
// byte now and then, until the gateway closes the connection.
#include "gateway/gateway_fixture.h"
#include "net/loopback_listener.h"
#include "net/socket_client.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <set>
#include <string>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

using namespace ebonyvale;

namespace {

/// Answers each request with a beginning and then repeats a text without end.
class endless_upstream {
public:
  endless_upstream(event_base *Base, std::string Beginning,
                   std::string Repeated, bool Slow)
      : Base(Base), Beginning(std::move(Beginning)),
        Repeated(std::move(Repeated)), Slow(Slow) {
    Listener = listenOnLoopback(Base, &endless_upstream::onAccept, this, Port);
  }
  ~endless_upstream() {
    for (bufferevent *Link : Links)
      bufferevent_free(Link);
  }

  /// Returns the number of open connections.
  std::size_t open() const { return Links.size(); }

  std::uint16_t Port = 0;
  std::size_t Written = 0;
  std::size_t Requests = 0;

private:
  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Argument) {
    auto *Self = static_cast<endless_upstream *>(Argument);
    bufferevent *Link =
        bufferevent_socket_new(Self->Base, Socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(Link, &onReadable, &onWritable, &onEvent, Argument);
    bufferevent_enable(Link, EV_READ | EV_WRITE);
    Self->Links.insert(Link);
  }
  static void onReadable(bufferevent *Link, void *Argument) {
    auto *Self = static_cast<endless_upstream *>(Argument);
    evbuffer *Input = bufferevent_get_input(Link);
    evbuffer_drain(Input, evbuffer_get_length(Input));
    ++Self->Requests;
    Self->write(Link, Self->Beginning + Self->Repeated);
  }
  static void onWritable(bufferevent *Link, void *Argument) {
    auto *Self = static_cast<endless_upstream *>(Argument);
    if (Self->Requests == 0)
      return;
    if (!Self->Slow)
      return Self->write(Link, Self->Repeated);
    callAfter(Self->Base, std::chrono::milliseconds(5), [Self, Link] {
      if (Self->Links.contains(Link))
        Self->write(Link, Self->Repeated);
    });
  }
  static void onEvent(bufferevent *Link, short, void *Argument) {
    static_cast<endless_upstream *>(Argument)->Links.erase(Link);
    bufferevent_free(Link);
  }
  void write(bufferevent *Link, const std::string &Text) {
    Written += Text.size();
    bufferevent_write(Link, Text.data(), Text.size());
  }

  event_base *Base;
  std::string Beginning;
  std::string Repeated;
  bool Slow;
  listener_ptr Listener;
  std::set<bufferevent *> Links;
};

struct endless_row {
  char Name[24];
  char Beginning[128];
  char Repeated[64];
  std::size_t Count; ///< of the text in one write
  bool Slow;
  int Status; ///< of an at-most-once request
};

std::string repeat(std::string_view Text, std::size_t Count) {
  std::string Out;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Out += Text;
  return Out;
}

#define OK_HEAD "HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: id-1\r\n"
#define REFUSAL_HEAD                                                           \
  "HTTP/1.1 503 x\r\nEbonyvale-Request-Id: id-1\r\n"                           \
  "Ebonyvale-Not-Executed: 1\r\n\r\n"

constexpr int Unknown = 502; ///< may have run
constexpr int NotRun = 503;

} // namespace

ParameterizedTestParameters(endless_response, each_form_is_ended) {
  static endless_row Rows[] = {
      {"status line", "HTTP/1.1 200 ", "x", 4096, false, Unknown},
      {"header value", "HTTP/1.1 200 OK\r\nX: ", "x", 4096, false, Unknown},
      {"headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n", 1000, false, Unknown},
      {"interim responses", "", "HTTP/1.1 102 x\r\n\r\n", 200, false, Unknown},
      {"chunk extension", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1;", "x",
       4096, false, Unknown},
      {"chunks of one byte", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n",
       "1;xxxxxxxxxxxxxxxx\r\na\r\n", 200, false, Unknown},
      {"trailers", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "X: y\r\n", 1000, false, Unknown},
      {"body", OK_HEAD "\r\n", "x", 65536, false, Unknown},
      {"body of another", "HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: z\r\n\r\n",
       "x", 65536, false, Unknown},
      {"responses of others", "",
       "HTTP/1.1 204 x\r\nEbonyvale-Request-Id: z\r\n\r\n", 100, false,
       Unknown},
      {"no HTTP", "", "\x01\x02", 2048, false, Unknown},
      {"refusal", REFUSAL_HEAD, "x", 65536, false, NotRun},
      {"slow refusal", REFUSAL_HEAD, "x", 1, true, NotRun},
  };
  return criterion_test_params(Rows);
}

/// The caller gets a true response well before its deadline, which would be
/// answered with 504, and the upstream is not used again at once.
ParameterizedTest(endless_row *Row, endless_response, each_form_is_ended) {
  gateway_fixture Gateway;
  endless_upstream Endless(Gateway.Base.get(), Row->Beginning,
                           repeat(Row->Repeated, Row->Count), Row->Slow);
  Gateway.useOnlyUpstream(Endless.Port);
  const caller_response Response = Gateway.sendRequest({.Path = "/order/1"});
  cr_assert(Response.Status == Row->Status, "%s: %d", Row->Name,
            Response.Status);
  cr_assert(Response.IsComplete);
  cr_assert(Endless.Requests == 1, "an at-most-once request was repeated");
  // What the gateway reads and the kernel's buffers hold.
  constexpr std::size_t MaxBytes = 32 * 1024 * 1024;
  cr_assert(Endless.Written < MaxBytes, "%zu", Endless.Written);
  // Another upstream serves as before.
  Gateway.Store.put(Gateway.Upstreams[1]->key(),
                    Gateway.Upstreams[1]->entry("s"));
  cr_assert(Gateway.waitFor(
      [&] { return Gateway.core().directory().find("u-2") != nullptr; }));
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
}

struct stalled_row {
  char Path[24];
  char Beginning[24];
  char Repeated[24];
};

ParameterizedTestParameters(endless_response, a_stalled_stream_ends) {
  static stalled_row Rows[] = {
      {"/stream-once/1", "id: 1\ndata: x\n\n", ":"},
      {"/stream-on/1", "id: 1\ndata: x\n\n", ":"},
      {"/stream-on/1", "id: 1\ndata: x\n\n", ": alive\n\n"},
      {"/stream-on/1", "", "x"},
  };
  return criterion_test_params(Rows);
}

/// A stream that sends a byte now and then ends by the request's deadline, not
/// as complete, and is given up at the upstream too.
ParameterizedTest(stalled_row *Row, endless_response, a_stalled_stream_ends) {
  gateway_fixture Gateway;
  endless_upstream Endless(
      Gateway.Base.get(),
      std::string(OK_HEAD "Content-Type: text/event-stream\r\n\r\n") +
          Row->Beginning,
      Row->Repeated, /*Slow=*/true);
  Gateway.useOnlyUpstream(Endless.Port);
  const caller_response Response =
      Gateway.sendRequest({.Path = Row->Path, .DeadlineMs = "600"});
  cr_assert(!Response.IsComplete || Response.Status == 504, "%d",
            Response.Status);
  cr_assert(Gateway.waitFor([&] { return Endless.open() == 0; }));
}

Test(endless_response, comments_wait_for_a_caller_that_reads_nothing) {
  gateway_fixture Gateway;
  endless_upstream Endless(
      Gateway.Base.get(),
      OK_HEAD "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
      repeat(": alive\n\n", 4096), /*Slow=*/false);
  Gateway.useOnlyUpstream(Endless.Port);
  const client_request Request =
      Gateway.makeRequest({.Path = "/stream-on/1", .DeadlineMs = "20000"});
  const socket_client Caller(Request.Server.Port);
  std::string Text = "POST " + Request.Target + " HTTP/1.1\r\n";
  for (const http_header &Header : Request.Headers.all())
    Text += Header.Name + ": " + Header.Value + "\r\n";
  Caller.send(Text + "Content-Length: " + std::to_string(Request.Body.size()) +
              "\r\n\r\n" + std::string(Request.Body));
  runLoopFor(Gateway.Base.get(), std::chrono::seconds(2));
  // What the kernel's buffers hold.
  constexpr std::size_t MaxBytes = 32 * 1024 * 1024;
  cr_assert(Endless.Written > 0 && Endless.Written < MaxBytes, "%zu",
            Endless.Written);
}

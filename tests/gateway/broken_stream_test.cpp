// Streams whose upstream breaks them off within an event, whatever marks the
// end of the response.
#include "gateway/gateway_fixture.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;

namespace {

/// What marks the end of the response.
enum class framing { Close, Chunks, Length };

struct stream_row {
  char Name[40];
  char Events[64];
  framing Framing;
  bool Resets; ///< the connection ends with a reset
  bool IsComplete;
};

std::string responseOf(const stream_row &Row) {
  const std::string Head = "HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: id-1\r\n"
                           "Content-Type: text/event-stream\r\n";
  const std::string_view Events = Row.Events;
  if (Row.Framing == framing::Close)
    return fmt::format("{}\r\n{}", Head, Events);
  if (Row.Framing == framing::Length)
    return fmt::format("{}Content-Length: {}\r\n\r\n{}", Head, Events.size(),
                       Events);
  return fmt::format(
      "{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", Head,
      Events.size(), Events);
}

/// Sends the response of \p Row and ends the connection, once \p Peer has
/// received the whole request.
void answer(scripted_server::peer &Peer, const stream_row &Row) {
  if (Peer.Received.starts_with("GET /v1/report")) {
    Peer.Received.clear();
    return Peer.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  }
  if (!Peer.Received.ends_with("the body"))
    return;
  Peer.send(responseOf(Row));
  if (Row.Resets)
    Peer.reset();
  else
    Peer.close();
}

/// Sends a request for a stream to \p Server, which sets \p Asked when it
/// arrives, and lists a sound upstream beside it then.
void sendToFirstOfTwo(gateway_fixture &Gateway, const scripted_server &Server,
                      scripted_server::peer *const &Asked) {
  Gateway.useOnlyUpstream(Server.address().Port);
  Gateway.startRequest({.Path = "/stream-on/1"});
  cr_assert(Gateway.waitFor([&] { return Asked != nullptr; }));
  Gateway.Store.put(Gateway.Upstreams[1]->key(),
                    Gateway.Upstreams[1]->entry("s"));
  cr_assert(Gateway.waitFor(
      [&] { return Gateway.core().directory().find("u-2") != nullptr; }));
}

#define EVENT "id: 1\ndata: piece 1\n\n"

} // namespace

ParameterizedTestParameters(broken_stream, is_never_passed_on_as_complete) {
  static stream_row Rows[] = {
      {"whole, closed", EVENT, framing::Close, false, true},
      {"whole, reset", EVENT, framing::Close, true, false},
      {"whole, chunks", EVENT, framing::Chunks, false, true},
      {"whole, length", EVENT, framing::Length, false, true},
      {"comment at the end", EVENT ": done\n", framing::Close, false, true},
      {"within a name", EVENT "id", framing::Close, false, false},
      {"within a value", EVENT "id: 2\ndata: pie", framing::Close, false,
       false},
      {"between fields", EVENT "id: 2\n", framing::Close, false, false},
      {"before the blank line", EVENT "id: 2\ndata: x\n", framing::Close, false,
       false},
      {"within a value, chunks", EVENT "id: 2\nda", framing::Chunks, false,
       false},
      {"within a value, length", EVENT "id: 2\nda", framing::Length, false,
       false},
      {"within the first event", "id: 1\nda", framing::Close, false, false},
      {"no event", "", framing::Close, false, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(stream_row *Row, broken_stream,
                  is_never_passed_on_as_complete) {
  gateway_fixture Gateway;
  scripted_server Server(
      Gateway.Base.get(),
      [Row](scripted_server::peer &Peer) { answer(Peer, *Row); });
  Gateway.useOnlyUpstream(Server.address().Port);
  for (const char *Path : {"/stream-once/1", "/stream-on/1"}) {
    const caller_response Response = Gateway.sendRequest({.Path = Path});
    const bool PassedAsComplete = Response.Status == 200 && Response.IsComplete;
    cr_assert(PassedAsComplete == Row->IsComplete, "%s, %s: %d '%s'", Row->Name,
              Path, Response.Status, Response.Body.c_str());
  }
}

Test(broken_stream, is_resumed_at_another_upstream_after_its_last_event) {
  constexpr stream_row Broken{"", EVENT "id: 2\ndata: pie", framing::Close,
                              false, false};
  gateway_fixture Gateway;
  scripted_server::peer *Asked = nullptr;
  scripted_server Server(
      Gateway.Base.get(),
      [&Asked](scripted_server::peer &Peer) { Asked = &Peer; });
  sendToFirstOfTwo(Gateway, Server, Asked);
  answer(*Asked, Broken);
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  cr_assert(Gateway.result().IsComplete, "'%s'", Gateway.result().Body.c_str());
  cr_assert(Gateway.result().Body == fake_upstream::events(0), "'%s'",
            Gateway.result().Body.c_str());
}

struct batch_row {
  char Name[40];
  char After[64]; ///< follows the sound events in the same bytes
};

ParameterizedTestParameters(broken_stream,
                            loses_no_event_before_an_unusable_one) {
  static batch_row Rows[] = {
      {"an event again", "id: 1\ndata: piece 1\n\n"},
      {"an earlier event", "id: 0\ndata: piece 0\n\n"},
      {"an id that is no number", "id: x\ndata: piece 3\n\n"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(batch_row *Row, broken_stream,
                  loses_no_event_before_an_unusable_one) {
  gateway_fixture Gateway;
  scripted_server::peer *Asked = nullptr;
  scripted_server Server(
      Gateway.Base.get(),
      [&Asked](scripted_server::peer &Peer) { Asked = &Peer; });
  sendToFirstOfTwo(Gateway, Server, Asked);
  Asked->send("HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: id-1\r\n"
              "Content-Type: text/event-stream\r\n\r\n" +
              fake_upstream::events(0, 2) + Row->After);
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  cr_assert(Gateway.result().IsComplete, "%s", Row->Name);
  cr_assert(Gateway.result().Body == fake_upstream::events(0), "%s: '%s'",
            Row->Name, Gateway.result().Body.c_str());
}

// Where streams go on at another upstream after a break, and where they must
// not.
#include "gateway/gateway_fixture.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

using namespace ebonyvale;

namespace {

#define EVENTS_HEAD                                                            \
  "HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: id-1\r\n"                          \
  "Content-Type: text/event-stream\r\n\r\n"
#define EVENT "id: 1\ndata: piece 1\n\n"

/// A stream at a scripted upstream, with a sound upstream beside it that is
/// listed once the stream was asked for.
class stream_fixture {
public:
  stream_fixture()
      : Server(Gateway.Base.get(),
               [this](scripted_server::peer &Peer) { Asked = &Peer; }) {
    Gateway.useOnlyUpstream(Server.address().Port);
    Gateway.startRequest({.Path = "/stream-on/1"});
    cr_assert(Gateway.waitFor([&] { return Asked != nullptr; }));
    Gateway.Store.put(Gateway.Upstreams[1]->key(),
                      Gateway.Upstreams[1]->entry("s"));
    cr_assert(Gateway.waitFor(
        [&] { return Gateway.core().directory().find("u-2") != nullptr; }));
  }

  /// Returns the response after the upstream has sent \p Bytes and broken off.
  const caller_response &breakAfter(std::string_view Bytes) {
    Asked->send(Bytes);
    Asked->close();
    cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
    return Gateway.result();
  }

  gateway_fixture Gateway;
  scripted_server Server;
  scripted_server::peer *Asked = nullptr;
};

struct unplaced_row {
  char Name[48];
  char Begun[80]; ///< whole events, before the break
  bool GoesOn;
};

} // namespace

ParameterizedTestParameters(resumed_stream, repeats_no_event_that_had_no_id) {
  static unplaced_row Rows[] = {
      {"none with an id", "data: x\n\n", false},
      {"after one with an id", EVENT "data: x\n\n", false},
      {"after one with an id, empty id", EVENT "id:\ndata: x\n\n", false},
      {"after one with an id, empty data", EVENT "data:\n\n", false},
      {"before one with an id", "data: x\n\n" EVENT, true},
      {"no event: no data", EVENT "event: alive\n\n", true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(unplaced_row *Row, resumed_stream,
                  repeats_no_event_that_had_no_id) {
  stream_fixture Stream;
  const std::string Begun = Row->Begun;
  const caller_response &Result =
      Stream.breakAfter(EVENTS_HEAD + Begun + "id: 9\nda");
  cr_assert(Result.IsComplete == Row->GoesOn, "%s: '%s'", Row->Name,
            Result.Body.c_str());
  cr_assert(Row->GoesOn || Result.Body == Begun, "%s: '%s'", Row->Name,
            Result.Body.c_str());
}

struct arriving_row {
  char Name[40];
  char Parts[2][64];
};

ParameterizedTestParameters(resumed_stream,
                            passes_events_with_any_line_end_on_as_they_arrive) {
  static arriving_row Rows[] = {
      {"LF", {"id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"}},
      {"CR LF", {"id: 1\r\ndata: x\r\n\r\n", "id: 2\r\ndata: y\r\n\r\n"}},
      {"CR", {"id: 1\rdata: x\r\r", "id: 2\rdata: y\r\r"}},
      {"CR LF, split",
       {"id: 1\r\ndata: x\r\n\r", "\nid: 2\r\ndata: y\r\n\r\n"}},
      {"mixed", {"id: 1\rdata: x\n\r\n", "id: 2\ndata: y\r\r"}},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(arriving_row *Row, resumed_stream,
                  passes_events_with_any_line_end_on_as_they_arrive) {
  stream_fixture Stream;
  Stream.Asked->send(EVENTS_HEAD);
  std::string Sent;
  for (const std::string_view Part : Row->Parts) {
    Stream.Asked->send(Part);
    Sent += Part;
    Stream.Gateway.waitFor(
        [&] { return Stream.Gateway.result().Body.size() >= Sent.size(); });
    cr_assert(Stream.Gateway.result().Body == Sent, "%s: %zu of %zu bytes",
              Row->Name, Stream.Gateway.result().Body.size(), Sent.size());
  }
}

struct cr_order_row {
  char Name[40];
  char Again[64]; ///< an event that the caller already has
};

ParameterizedTestParameters(resumed_stream, checks_ids_with_any_line_end) {
  static cr_order_row Rows[] = {
      {"LF", "id: 1\ndata: piece 1\n\n"},
      {"CR LF", "id: 1\r\ndata: piece 1\r\n\r\n"},
      {"CR", "id: 1\rdata: piece 1\r\r"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(cr_order_row *Row, resumed_stream,
                  checks_ids_with_any_line_end) {
  stream_fixture Stream;
  const caller_response &Result =
      Stream.breakAfter(std::string(EVENTS_HEAD EVENT) + Row->Again);
  cr_assert(Result.Body == fake_upstream::events(0), "%s: '%s'", Row->Name,
            Result.Body.c_str());
}

struct odd_id_row {
  char Name[40];
  char Event[64]; ///< follows the event 1
};

ParameterizedTestParameters(resumed_stream, takes_no_odd_id_for_a_number) {
  static odd_id_row Rows[] = {
      {"a number and letters", "id: 9x\ndata: x\n\n"},
      {"two numbers", "id: 9 8\ndata: x\n\n"},
      {"a space before it", "id:  9\ndata: x\n\n"},
      {"a space after it", "id: 9 \ndata: x\n\n"},
      {"two ids, the later one lower", "id: 9\nid: 1\ndata: x\n\n"},
      {"too large", "id: 99999999999999999999\ndata: x\n\n"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(odd_id_row *Row, resumed_stream,
                  takes_no_odd_id_for_a_number) {
  stream_fixture Stream;
  const caller_response &Result =
      Stream.breakAfter(std::string(EVENTS_HEAD EVENT) + Row->Event);
  cr_assert(Result.Body == fake_upstream::events(0), "%s: '%s'", Row->Name,
            Result.Body.c_str());
}

Test(resumed_stream, counts_an_id_that_is_withdrawn_as_none) {
  stream_fixture Stream;
  const std::string Begun = EVENT "id: 2\nid\ndata: x\n\n";
  const caller_response &Result =
      Stream.breakAfter(EVENTS_HEAD + Begun + "id: 9\nda");
  cr_assert(!Result.IsComplete && Result.Body == Begun, "'%s'",
            Result.Body.c_str());
}

namespace {

struct alive_row {
  char Name[32];
  char Bytes[32];
};

} // namespace

ParameterizedTestParameters(resumed_stream, passes_signs_of_life_on) {
  static alive_row Rows[] = {
      {"a comment", ": alive\n\n"},
      {"a field that is no data", "event: alive\n\n"},
      {"a blank line", "\n"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(alive_row *Row, resumed_stream, passes_signs_of_life_on) {
  stream_fixture Stream;
  const std::string Begun = std::string(EVENT) + Row->Bytes;
  Stream.Asked->send(EVENTS_HEAD + Begun);
  Stream.Gateway.waitFor(
      [&] { return Stream.Gateway.result().Body.size() >= Begun.size(); });
  cr_assert(Stream.Gateway.result().Body == Begun, "%s: '%s'", Row->Name,
            Stream.Gateway.result().Body.c_str());
  const caller_response &Result = Stream.breakAfter("id: 2\nda");
  cr_assert(Result.IsComplete, "%s", Row->Name);
  cr_assert(Result.Body == Begun + fake_upstream::events(1), "%s: '%s'",
            Row->Name, Result.Body.c_str());
}

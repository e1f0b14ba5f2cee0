// Responses of a peer over HTTP/2, of which some end before they are complete.
#include "net/h2_connection.h"

#include "daemon/loop_runner.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <string_view>

using namespace ebonyvale;

namespace {

#define SETTINGS "\0\0\0\x04\0\0\0\0\0"
#define HEAD_OF_200 "\0\0\x01\x01\x04\0\0\0\x01\x88"
#define PART "\0\0\x04\0\0\0\0\0\x01part"
#define LAST_PART "\0\0\x04\0\x01\0\0\0\x01rest"
#define EMPTY_LAST_PART "\0\0\0\0\x01\0\0\0\x01"
#define ERROR_OF(Code) "\0\0\x04\x03\0\0\0\0\x01\0\0\0" Code
#define GOAWAY "\0\0\x08\x07\0\0\0\0\0\0\0\0\0\0\0\0\0"

struct response_row {
  char Name[40];
  std::size_t Length;
  char Frames[96];
  bool Closes; ///< the connection ends after the frames
  char Body[16];
  bool IsComplete;
};

/// Returns a row with the length of its frames, which contain zero bytes.
template <std::size_t Size>
response_row makeRow(std::string_view Name, const char (&Frames)[Size],
                     bool Closes, std::string_view Body, bool IsComplete) {
  response_row Row{};
  Name.copy(Row.Name, sizeof(Row.Name) - 1);
  Row.Length = Size - 1;
  std::string_view(Frames, Row.Length).copy(Row.Frames, sizeof(Row.Frames));
  Row.Closes = Closes;
  Body.copy(Row.Body, sizeof(Row.Body) - 1);
  Row.IsComplete = IsComplete;
  return Row;
}

} // namespace

ParameterizedTestParameters(h2_connection,
                            a_reset_stream_is_not_a_whole_response) {
  static response_row Rows[] = {
      makeRow("whole", SETTINGS HEAD_OF_200 PART LAST_PART, false, "partrest",
              true),
      makeRow("whole, empty last frame",
              SETTINGS HEAD_OF_200 PART EMPTY_LAST_PART, false, "part", true),
      makeRow("whole, then closed", SETTINGS HEAD_OF_200 PART LAST_PART, true,
              "partrest", true),
      makeRow("reset with an error", SETTINGS HEAD_OF_200 PART ERROR_OF("\x02"),
              false, "", false),
      makeRow("cancelled", SETTINGS HEAD_OF_200 PART ERROR_OF("\x08"), false,
              "", false),
      makeRow("reset without an error",
              SETTINGS HEAD_OF_200 PART ERROR_OF("\0"), false, "", false),
      makeRow("reset after the head", SETTINGS HEAD_OF_200 ERROR_OF("\x02"),
              false, "", false),
      makeRow("reset before the head", SETTINGS ERROR_OF("\x07"), false, "",
              false),
      makeRow("going away", SETTINGS HEAD_OF_200 PART GOAWAY, false, "", false),
      makeRow("closed", SETTINGS HEAD_OF_200 PART, true, "", false),
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(response_row *Row, h2_connection,
                  a_reset_stream_is_not_a_whole_response) {
  const event_base_ptr Base(event_base_new());
  bool Responded = false;
  scripted_server Server(Base.get(), [&](scripted_server::peer &Peer) {
    if (Peer.Received.find("body") == std::string::npos || Responded)
      return;
    Responded = true;
    Peer.send({Row->Frames, Row->Length});
    if (Row->Closes)
      Peer.close();
  });
  const auto Connection =
      h2_connection::connect(Base.get(), Server.address(), [] {});
  bool Done = false;
  std::optional<h2_response> Received;
  Connection->request("/heartbeat", "token", "body",
                      [&](std::optional<h2_response> Response) {
                        Done = true;
                        Received = std::move(Response);
                      });
  cr_assert(runLoopUntil(Base.get(), [&] { return Done; }), "%s", Row->Name);
  cr_assert(Received.has_value() == Row->IsComplete, "%s: %d '%s'", Row->Name,
            Received ? Received->Status : 0,
            Received ? Received->Body.c_str() : "");
  if (Received)
    cr_assert(Received->Body == Row->Body, "%s", Received->Body.c_str());
  Connection->close();
}

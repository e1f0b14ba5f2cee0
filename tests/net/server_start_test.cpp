// Connections that lead to a process which has stated its start.
#include "net/client_connection.h"

#include "daemon/loop_runner.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <memory>
#include <optional>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t Start = 1000;

class recorded_response final : public response_observer {
public:
  response_action onResponseHead(const http_head &, bool) override {
    return response_action::Take;
  }
  void onResponseBody(std::string_view) override {}
  void onResponseEnd() override { Ended = true; }
  void onResponseLost(const exchange_loss &NewLoss) override { Loss = NewLoss; }

  bool Ended = false;
  std::optional<exchange_loss> Loss;
};

/// A server that answers each request, and a pool with connections to it.
struct server_fixture {
  client_request request(std::int64_t ServerStart) const {
    client_request Request;
    Request.Server = Server.address();
    Request.ServerStart = ServerStart;
    return Request;
  }

  /// Sends a request, on a new connection unless \p ServerStart is set.
  std::shared_ptr<client_connection> exchange(std::int64_t ServerStart,
                                              recorded_response &Response) {
    client_request Request = request(ServerStart);
    Request.NewConnection = ServerStart == 0;
    const auto Link = Pool.start(Request, Response);
    cr_assert(runLoopUntil(Base.get(),
                           [&] { return Response.Ended || Response.Loss; }));
    return Link;
  }

  event_base_ptr Base{event_base_new()};
  scripted_server Server{Base.get(), [](scripted_server::peer &Peer) {
                           Peer.send("HTTP/1.1 200 OK\r\n"
                                     "Content-Length: 0\r\n\r\n");
                         }};
  client_connection_pool Pool{Base.get(), {}};
};

struct start_row {
  char Name[48];
  bool IsOpenBefore; ///< the connection, when the process is asked
  bool IsSameServer; ///< the process listens where the connection leads to
  bool IsEnded;      ///< the connection, by the server
  bool IsReused;
};

} // namespace

ParameterizedTestParameters(server_start, of_a_connection) {
  static start_row Rows[] = {
      {"it was open at the question", true, true, false, true},
      {"it was opened after the question", false, true, false, false},
      {"another server", true, false, false, false},
      {"the server has ended it", true, true, true, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(start_row *Row, server_start, of_a_connection) {
  server_fixture Fixture;
  recorded_response First;
  const instant Before = readBootClock();
  const auto Link = Fixture.exchange(0, First);
  cr_assert(First.Ended);
  endpoint Server = Fixture.Server.address();
  Server.Port =
      static_cast<std::uint16_t>(Server.Port + (Row->IsSameServer ? 0 : 1));
  Fixture.Pool.onServerStart(Server, Start,
                             Row->IsOpenBefore ? readBootClock() : Before);
  if (Row->IsEnded)
    Fixture.Server.Peers.front()->close();
  cr_assert(Fixture.Pool.hasIdleTo(Fixture.Server.address(), Start) ==
                Row->IsReused,
            "%s", Row->Name);
  recorded_response Second;
  const auto Used = Fixture.exchange(Start, Second);
  cr_assert(Second.Ended == Row->IsReused, "%s", Row->Name);
  if (Row->IsReused)
    cr_assert(Used == Link);
  else
    cr_assert(Second.Loss->Stage == exchange_stage::NotSent);
  cr_assert(Fixture.Server.Peers.size() == 1, "%s: %zu connections", Row->Name,
            Fixture.Server.Peers.size());
}

Test(server_start, stays_with_the_connection) {
  server_fixture Fixture;
  recorded_response First;
  const auto Link = Fixture.exchange(0, First);
  Link->setServerStart(Start);
  Fixture.Pool.onServerStart(Fixture.Server.address(), Start + 1,
                             readBootClock());
  cr_assert(Link->serverStart() == Start);
  cr_assert(not Fixture.Pool.hasIdleTo(Fixture.Server.address(), Start + 1));
}

#include "gateway/gateway_fixture.h"
#include "net/timer.h"
#include "platform/routing_document.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// The idle connection of a caller.
class idle_caller {
public:
  explicit idle_caller(const endpoint &Server)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Server.Port);
    inet_pton(AF_INET, Server.Address.c_str(), &Address.sin_addr);
    cr_assert(connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                      sizeof(Address)) == 0);
  }
  ~idle_caller() { close(Socket); }
  idle_caller(const idle_caller &) = delete;
  idle_caller &operator=(const idle_caller &) = delete;

  bool isClosed() const {
    char Byte = 0;
    return recv(Socket, &Byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
  }

private:
  int Socket;
};

/// Brings a version into force in which \p To stands for each \p From.
void configureWith(gateway_fixture &Gateway, int Version, std::string_view From,
                   const std::string &To) {
  std::string Document = routingDocument(Version, "\"key-1\"", 1e6);
  std::size_t At = Document.find(From);
  cr_assert(At != std::string::npos);
  for (; At != std::string::npos; At = Document.find(From, At + To.size()))
    Document.replace(At, From.size(), To);
  Gateway.Store.put("op/config", Document);
  cr_assert(Gateway.waitFor([&] {
    return Gateway.core().routing()->Version ==
           static_cast<std::uint64_t>(Version);
  }));
}

/// A change of the configuration while a request to \p Path runs.
struct change_row {
  char Path[16];
  char From[32];
  char To[32];
};

gateway_settings shortApplyBound() {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.ApplyBoundMs = 500;
  return Settings;
}

} // namespace

Test(caller_connection, a_new_idle_timeout_holds_without_a_request) {
  gateway_fixture Gateway(shortApplyBound());
  const idle_caller Caller(Gateway.makeRequest({}).Server);
  runLoopFor(Gateway.Base.get(), 20ms);
  const instant ChangedAt = readBootClock();
  configureWith(Gateway, 2, R"("idleTimeoutMs":5000)",
                R"("idleTimeoutMs":100)");
  cr_assert(Gateway.waitFor([&] { return Caller.isClosed(); }));
  const span_ns Open = readBootClock() - ChangedAt;
  cr_assert(Open >= 500ms && Open < 5s, "%.0f ms", toMs(Open));
  cr_assert(Gateway.core().counters().IdleConnectionsClosed.Value() == 1);
}

ParameterizedTestParameters(caller_connection,
                            a_request_in_flight_survives_a_new_version) {
  static change_row Rows[] = {
      {"/order/1", R"("idleTimeoutMs":5000)", R"("idleTimeoutMs":10)"},
      {"/stream-on/1", R"("idleTimeoutMs":5000)", R"("idleTimeoutMs":10)"},
      {"/order/1", R"("timeoutMs":4000)", R"("timeoutMs":2000)"},
      {"/stream-on/1", R"("timeoutMs":4000)", R"("timeoutMs":2000)"},
      {"/order/1", R"("prefix":"/)", R"("prefix":"/new-)"},
      {"/stream-on/1", R"("prefix":"/)", R"("prefix":"/new-)"},
      {"/order/1", R"("backend":"s")", R"("backend":"s-2")"},
      {"/stream-on/1", R"("backend":"s")", R"("backend":"s-2")"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(change_row *Row, caller_connection,
                  a_request_in_flight_survives_a_new_version) {
  gateway_fixture Gateway(shortApplyBound());
  for (const auto &Upstream : Gateway.Upstreams) {
    Upstream->Delay = 800ms;
    Upstream->EventInterval = 150ms;
  }
  Gateway.startRequest({.Path = Row->Path});
  cr_assert(Gateway.waitFor([&] {
    return Gateway.Upstreams[0]->runs() + Gateway.Upstreams[1]->runs() == 1;
  }));
  configureWith(Gateway, 2, Row->From, Row->To);
  cr_assert(!Gateway.requestDone());
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  cr_assert(Gateway.result().Status == 200 && Gateway.result().IsComplete,
            "status %d", Gateway.result().Status);
  cr_assert(Gateway.Upstreams[0]->runs() + Gateway.Upstreams[1]->runs() == 1);
  if (std::string_view(Row->Path).starts_with("/stream"))
    cr_assert(Gateway.result().Body == fake_upstream::events(0));
}

#include "gateway/gateway_fixture.h"
#include "net/timer.h"
#include "platform/routing_document.h"

#include <criterion/criterion.h>

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

void configureIdle(gateway_fixture &Gateway, int Version, int IdleMs) {
  std::string Document = routingDocument(Version, "\"key-1\"", 1e6);
  constexpr std::string_view Before = R"("idleTimeoutMs":5000)";
  Document.replace(Document.find(Before), Before.size(),
                   R"("idleTimeoutMs":)" + std::to_string(IdleMs));
  Gateway.Store.put("op/config", Document);
  cr_assert(Gateway.waitFor([&] {
    return Gateway.core().routing()->Version ==
           static_cast<std::uint64_t>(Version);
  }));
}

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
  configureIdle(Gateway, 2, 100);
  cr_assert(Gateway.waitFor([&] { return Caller.isClosed(); }));
  const span_ns Open = readBootClock() - ChangedAt;
  cr_assert(Open >= 500ms && Open < 5s, "%.0f ms", toMs(Open));
  cr_assert(Gateway.core().counters().IdleConnectionsClosed.Value() == 1);
}

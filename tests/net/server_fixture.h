/// \file
/// A server of which tests decide how it responds.
#ifndef EBONYVALE_TESTS_NET_SERVER_FIXTURE_H
#define EBONYVALE_TESTS_NET_SERVER_FIXTURE_H

#include "daemon/loop_runner.h"
#include "net/server_connection.h"
#include "net/socket_client.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace ebonyvale {

/// Records requests and responds to unreadable ones with status 400.
class recording_handler final : public request_handler {
public:
  void onRequest(const std::shared_ptr<server_connection> &Connection,
                 http_request Request) override {
    Requests.push_back(std::move(Request));
    Connections.push_back(Connection);
  }
  void onRequestError(server_connection &Connection,
                      request_error Reason) override {
    Errors.push_back(Reason);
    Connection.writeResponse(400, {}, "no");
  }
  std::vector<http_request> Requests;
  std::vector<std::shared_ptr<server_connection>> Connections;
  std::vector<request_error> Errors;
};

class observer final : public client_observer {
public:
  void onClientDisconnected() override { Disconnected = true; }
  void onClientDrained() override {}
  bool Disconnected = false;
};

/// Larger than what the system buffers for a connection.
inline constexpr std::size_t LongBytes = 16'000'000;

inline constexpr span_ns IdleNotice = std::chrono::milliseconds(300);

/// A listener on the loopback interface that records its requests.
struct server_fixture {
  explicit server_fixture(span_ns IdleTimeout = std::chrono::seconds(30)) {
    connection_bounds Bounds;
    Bounds.IdleTimeout = IdleTimeout;
    Bounds.HeadBytes = 200;
    Bounds.BodyBytes = 10;
    Bounds.HeadTimeout = std::chrono::milliseconds(50);
    Listener.setBounds(Bounds, readBootClock());
    cr_assert(!Listener.listen("127.0.0.1", 0));
  }
  void setIdleTimeout(span_ns Value) {
    connection_bounds Bounds = Listener.bounds();
    Bounds.IdleTimeout = Value;
    Bounds.IdleNotice = IdleNotice;
    Listener.setBounds(Bounds, readBootClock());
  }
  /// Waits until a request has arrived.
  void awaitRequest() {
    cr_assert(
        runLoopUntil(Base.get(), [&] { return !Handler.Connections.empty(); }));
  }
  /// Returns what \p Client receives until the end of its connection.
  std::string receiveAll(socket_client &Client) {
    std::string Received;
    cr_assert(runLoopUntil(Base.get(), [&] {
      Received += Client.receive();
      return Client.Closed || Client.Reset;
    }));
    return Received;
  }
  event_base_ptr Base{event_base_new()};
  recording_handler Handler;
  connection_listener Listener{Base.get(), Handler};
};

} // namespace ebonyvale

#endif

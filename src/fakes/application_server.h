/// \file
/// A fake HTTP service that can close its connections at a chosen stage of a
/// request and counts the requests that it executes.
#ifndef EBONYVALE_FAKES_APPLICATION_SERVER_H
#define EBONYVALE_FAKES_APPLICATION_SERVER_H

#include "common/result.h"
#include "net/event_handles.h"

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace ebonyvale {

/// The stage of a request at which the service closes the connection.
enum class break_stage {
  Never,
  AfterAccept,    ///< before it reads anything
  AfterHead,      ///< after the request head, whether or not the body arrived
  AfterExecution, ///< after it executes the request, without a response
  MidResponse,    ///< halfway through the response body
};

/// A fake HTTP service. It implements a minimal HTTP/1.1 on a plain socket,
/// because an HTTP library cannot close connections at these stages.
class application_server {
public:
  explicit application_server(event_base *Base);
  ~application_server();
  application_server(const application_server &) = delete;
  application_server &operator=(const application_server &) = delete;

  /// Listens on \p Address; port 0 picks a free one.
  std::optional<failure> listen(const std::string &Address, std::uint16_t Port);
  std::uint16_t port() const { return Port; }

  /// Closes the listening socket, so that further connections are refused.
  void stopListening() { Listener.reset(); }

  void setBreakStage(break_stage Value) { Stage = Value; }

  /// Returns the number of executed requests, including those whose response
  /// was lost or cut off.
  std::uint64_t executions() const { return Executions; }

  /// Returns the raw text (head and body) of each executed request.
  const std::list<std::string> &received() const { return Received; }

private:
  struct connection;
  using listener_ptr =
      std::unique_ptr<evconnlistener, releaser<evconnlistener_free>>;

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);
  static void onReadable(bufferevent *, void *Connection);
  static void onEvent(bufferevent *, short What, void *Connection);
  void serve(connection &Connection);
  void drop(connection &Connection);

  event_base *Base;
  listener_ptr Listener;
  std::uint16_t Port = 0;
  break_stage Stage = break_stage::Never;
  std::uint64_t Executions = 0;
  std::list<std::string> Received;
  std::list<std::unique_ptr<connection>> Connections;
};

} // namespace ebonyvale

#endif

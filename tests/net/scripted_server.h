/// \file
/// A TCP server on loopback whose output is scripted by a test.
#ifndef EBONYVALE_TESTS_NET_SCRIPTED_SERVER_H
#define EBONYVALE_TESTS_NET_SCRIPTED_SERVER_H

#include "net/event_handles.h"
#include "net/loopback_listener.h"
#include "net/upstream_exchange.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <event2/bufferevent.h>

namespace ebonyvale {

/// Accepts connections and passes the received bytes to the test.
class scripted_server {
public:
  /// An accepted connection.
  class peer {
  public:
    peer(scripted_server &Owner, evutil_socket_t Socket);
    /// Writes \p Bytes to the socket without buffering.
    void send(std::string_view Bytes);
    /// Shuts down the write side, so that the client reads the end of the
    /// stream.
    void close();
    /// Closes the connection with a reset.
    void reset();
    std::string Received;
    ssize_t Sent = 0; ///< result of the last `send`

  private:
    static void onReadable(bufferevent *, void *Self);
    static void onEvent(bufferevent *, short, void *Self);
    scripted_server &Owner;
    std::unique_ptr<bufferevent, releaser<bufferevent_free>> Socket;
    friend class scripted_server;
  };

  /// Listens on a free port. \p OnReceived is called with a connection that has
  /// received bytes.
  scripted_server(event_base *Base, std::function<void(peer &)> OnReceived);

  endpoint address() const { return {"127.0.0.1", Port}; }
  event_base *base() const { return Base; }
  /// Refuses connections from now on.
  void stopListening() { Listener.reset(); }
  std::vector<std::unique_ptr<peer>> Peers;
  /// Whether connections accepted from now on leave received bytes unread.
  bool ReadNothing = false;

private:
  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);
  event_base *Base;
  std::function<void(peer &)> OnReceived;
  listener_ptr Listener;
  std::uint16_t Port = 0;
};

/// Returns the value of a header of \p Request, whose name with ": " is
/// \p Name; empty if there is none.
std::string headerIn(const std::string &Request, std::string_view Name);

} // namespace ebonyvale

#endif

/// \file
/// A TCP server on loopback that does what a test tells it, byte by byte.
#ifndef EBONYVALE_TESTS_NET_SCRIPTED_SERVER_H
#define EBONYVALE_TESTS_NET_SCRIPTED_SERVER_H

#include "net/event_handles.h"
#include "net/upstream_exchange.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace ebonyvale {

/// Accepts connections and hands what they receive to the test.
class scripted_server {
public:
  /// One accepted connection.
  class peer {
  public:
    peer(scripted_server &Owner, evutil_socket_t Socket);
    void send(std::string_view Bytes);
    /// Ends the connection in order, or with a reset.
    void close();
    void reset();
    std::string Received;
    ssize_t Sent = 0; ///< by the last `send`

  private:
    static void onReadable(bufferevent *, void *Self);
    static void onEvent(bufferevent *, short, void *Self);
    scripted_server &Owner;
    std::unique_ptr<bufferevent, releaser<bufferevent_free>> Socket;
    friend class scripted_server;
  };

  /// \p OnReceived is called whenever bytes have arrived.
  scripted_server(event_base *Base, std::function<void(peer &)> OnReceived);

  endpoint address() const { return {"127.0.0.1", Port}; }
  std::vector<std::unique_ptr<peer>> Peers;
  /// Connections whose bytes are left in the socket.
  bool ReadNothing = false;

private:
  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);
  event_base *Base;
  std::function<void(peer &)> OnReceived;
  std::unique_ptr<evconnlistener, releaser<evconnlistener_free>> Listener;
  std::uint16_t Port = 0;
};

} // namespace ebonyvale

#endif

#include "net/scripted_server.h"

#include <sys/socket.h>
#include <unistd.h>

namespace ebonyvale {

scripted_server::peer::peer(scripted_server &Owner, evutil_socket_t Handle)
    : Owner(Owner), Socket(bufferevent_socket_new(Owner.Base, Handle,
                                                  BEV_OPT_CLOSE_ON_FREE)) {
  bufferevent_setcb(Socket.get(), &peer::onReadable, nullptr, &peer::onEvent,
                    this);
  bufferevent_enable(Socket.get(),
                     Owner.ReadNothing ? EV_WRITE : EV_READ | EV_WRITE);
}

void scripted_server::peer::send(std::string_view Bytes) {
  // Bypasses the output buffer, so that a later `close` or `reset` takes effect
  // after these bytes.
  if (Socket)
    Sent = write(bufferevent_getfd(Socket.get()), Bytes.data(), Bytes.size());
}

void scripted_server::peer::close() {
  if (Socket)
    shutdown(bufferevent_getfd(Socket.get()), SHUT_WR);
}

void scripted_server::peer::reset() {
  if (!Socket)
    return;
  const linger ResetOnClose{1, 0};
  setsockopt(bufferevent_getfd(Socket.get()), SOL_SOCKET, SO_LINGER,
             &ResetOnClose, sizeof(ResetOnClose));
  Socket.reset();
}

void scripted_server::peer::onReadable(bufferevent *Source, void *Argument) {
  auto *Peer = static_cast<peer *>(Argument);
  evbuffer *Input = bufferevent_get_input(Source);
  const std::size_t Length = evbuffer_get_length(Input);
  Peer->Received.append(
      reinterpret_cast<const char *>(evbuffer_pullup(Input, -1)), Length);
  evbuffer_drain(Input, Length);
  Peer->Owner.OnReceived(*Peer);
}

void scripted_server::peer::onEvent(bufferevent *, short, void *) {}

scripted_server::scripted_server(event_base *Base,
                                 std::function<void(peer &)> OnReceived)
    : Base(Base), OnReceived(std::move(OnReceived)) {
  Listener = listenOnLoopback(Base, &scripted_server::onAccept, this, Port);
}

void scripted_server::onAccept(evconnlistener *, evutil_socket_t Socket,
                               sockaddr *, int, void *Argument) {
  auto *Server = static_cast<scripted_server *>(Argument);
  Server->Peers.push_back(std::make_unique<peer>(*Server, Socket));
}

std::string headerIn(const std::string &Request, std::string_view Name) {
  const std::size_t Found = Request.find(Name);
  if (Found == std::string::npos)
    return "";
  const std::size_t At = Found + Name.size();
  return Request.substr(At, Request.find('\r', At) - At);
}

} // namespace ebonyvale

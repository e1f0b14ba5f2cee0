/// \file
/// A listener on a free port of the loopback interface.
#ifndef EBONYVALE_TESTS_NET_LOOPBACK_LISTENER_H
#define EBONYVALE_TESTS_NET_LOOPBACK_LISTENER_H

#include "net/event_handles.h"

#include <cstdint>
#include <memory>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace ebonyvale {

using listener_ptr =
    std::unique_ptr<evconnlistener, releaser<evconnlistener_free>>;

/// Listens on a port that the kernel chooses and stores it in \p Port.
/// \p OnAccept is called with \p Argument.
inline listener_ptr listenOnLoopback(event_base *Base,
                                     evconnlistener_cb OnAccept, void *Argument,
                                     std::uint16_t &Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  listener_ptr Listener(evconnlistener_new_bind(
      Base, OnAccept, Argument, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr *>(&Address), sizeof(Address)));
  socklen_t Length = sizeof(Address);
  getsockname(evconnlistener_get_fd(Listener.get()),
              reinterpret_cast<sockaddr *>(&Address), &Length);
  Port = ntohs(Address.sin_port);
  return Listener;
}

} // namespace ebonyvale

#endif

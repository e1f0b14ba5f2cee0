#include "net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/http.h>

namespace ebonyvale {

void sendAtOnce(bufferevent *Socket) {
  const int On = 1;
  setsockopt(bufferevent_getfd(Socket), IPPROTO_TCP, TCP_NODELAY, &On,
             sizeof(On));
}

void sendAtOnce(evhttp_connection *Connection) {
  sendAtOnce(evhttp_connection_get_bufferevent(Connection));
}

void boundSilence(bufferevent *Socket, span_ns Limit) {
  const auto Millis = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Limit).count());
  setsockopt(bufferevent_getfd(Socket), IPPROTO_TCP, TCP_USER_TIMEOUT, &Millis,
             sizeof(Millis));
}

} // namespace ebonyvale

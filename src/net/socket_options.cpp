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

} // namespace ebonyvale

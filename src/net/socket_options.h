/// \file
/// Options of sockets that evhttp opens.
#ifndef EBONYVALE_NET_SOCKET_OPTIONS_H
#define EBONYVALE_NET_SOCKET_OPTIONS_H

#include "common/instant.h"

struct bufferevent;
struct evhttp_connection;

namespace ebonyvale {

/// Sends small writes at once (TCP_NODELAY). evhttp leaves the option off, and
/// then a stream's small events wait for the peer's delayed acknowledgement.
void sendAtOnce(bufferevent *Socket);
void sendAtOnce(evhttp_connection *Connection);

/// Ends the connection when sent bytes stay unacknowledged for \p Limit
/// (TCP_USER_TIMEOUT, RFC 5482), as behind a partition.
void boundSilence(bufferevent *Socket, span_ns Limit);

} // namespace ebonyvale

#endif

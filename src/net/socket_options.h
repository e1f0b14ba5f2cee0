/// \file
/// TCP options and state of sockets that libevent opens.
#ifndef EBONYVALE_NET_SOCKET_OPTIONS_H
#define EBONYVALE_NET_SOCKET_OPTIONS_H

#include "common/instant.h"
#include "common/result.h"

#include <cstddef>
#include <string_view>

struct bufferevent;
struct evhttp_connection;

namespace ebonyvale {

/// Sets TCP_NODELAY. evhttp leaves it off, and then small stream events are
/// held back until the peer's delayed acknowledgement arrives.
void setNoDelay(bufferevent *Socket);
void setNoDelay(evhttp_connection *Connection);

/// Sets TCP_USER_TIMEOUT (RFC 5482): the connection is closed when sent bytes
/// stay unacknowledged for \p Timeout, as in a network partition.
void setTcpUserTimeout(bufferevent *Socket, span_ns Timeout);

/// Makes closing \p Socket send a reset (RFC 9293) and drop the bytes that the
/// system has yet to send.
void resetOnClose(bufferevent *Socket);

/// Sends a reset on the connection of \p Socket, which stays open as a socket
/// that is not connected.
void resetNow(bufferevent *Socket);

/// Makes closing \p Socket end the stream in order, after the bytes that the
/// system has yet to send.
void finishOnClose(bufferevent *Socket);

/// Returns whether the connection of \p Socket is established.
bool isConnected(bufferevent *Socket);

/// Returns whether bytes, the end of the stream or an error have arrived at
/// \p Socket that the event loop has not read yet.
bool hasUnreadInput(bufferevent *Socket);

/// Returns whether the end of the stream or an error has arrived at \p Socket,
/// also behind bytes that have not been read yet.
bool hasEnded(bufferevent *Socket);

/// Returns the number of bytes that the system has taken to send but the peer
/// has not acknowledged; 0 if it is not known.
std::size_t unacknowledgedBytes(bufferevent *Socket);

/// Returns the failure to listen on \p Address for the reason \p Error, a value
/// of `errno`; 0: \p Address is none.
failure listenFailure(std::string_view Address, int Error);

} // namespace ebonyvale

#endif

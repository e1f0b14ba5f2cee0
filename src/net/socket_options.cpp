#include "net/socket_options.h"

#include <algorithm>
#include <cerrno>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/http.h>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

void setLinger(bufferevent *Socket, const linger &Value) {
  setsockopt(bufferevent_getfd(Socket), SOL_SOCKET, SO_LINGER, &Value,
             sizeof(Value));
}

} // namespace

void setNoDelay(bufferevent *Socket) {
  const int On = 1;
  setsockopt(bufferevent_getfd(Socket), IPPROTO_TCP, TCP_NODELAY, &On,
             sizeof(On));
}

void setNoDelay(evhttp_connection *Connection) {
  setNoDelay(evhttp_connection_get_bufferevent(Connection));
}

void setTcpUserTimeout(bufferevent *Socket, span_ns Timeout) {
  const auto Millis = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Timeout).count());
  setsockopt(bufferevent_getfd(Socket), IPPROTO_TCP, TCP_USER_TIMEOUT, &Millis,
             sizeof(Millis));
}

void resetOnClose(bufferevent *Socket) {
  setLinger(Socket, {.l_onoff = 1, .l_linger = 0});
}

void finishOnClose(bufferevent *Socket) {
  setLinger(Socket, {.l_onoff = 0, .l_linger = 0});
}

void resetNow(bufferevent *Socket) {
  sockaddr Unspecified{};
  Unspecified.sa_family = AF_UNSPEC;
  if (connect(bufferevent_getfd(Socket), &Unspecified, sizeof(Unspecified)) !=
      0)
    resetOnClose(Socket);
}

bool isConnected(bufferevent *Socket) {
  sockaddr_storage Peer{};
  socklen_t Length = sizeof(Peer);
  return getpeername(bufferevent_getfd(Socket),
                     reinterpret_cast<sockaddr *>(&Peer), &Length) == 0;
}

bool hasUnreadInput(bufferevent *Socket) {
  char Byte = 0;
  return recv(bufferevent_getfd(Socket), &Byte, sizeof(Byte),
              MSG_PEEK | MSG_DONTWAIT) >= 0 ||
         (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool hasEnded(bufferevent *Socket) {
  pollfd State{bufferevent_getfd(Socket), POLLRDHUP, 0};
  return poll(&State, 1, 0) > 0;
}

std::size_t unacknowledgedBytes(bufferevent *Socket) {
  int Bytes = 0;
  if (ioctl(bufferevent_getfd(Socket), SIOCOUTQ, &Bytes) != 0)
    return 0;
  return static_cast<std::size_t>(std::max(Bytes, 0));
}

failure listenFailure(std::string_view Address, int Error) {
  return {error_kind::SettingsInvalid,
          fmt::format("cannot listen on {}: {}", Address,
                      Error == 0 ? "not an address"
                                 : evutil_socket_error_to_string(Error))};
}

} // namespace ebonyvale

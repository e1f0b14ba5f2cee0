/// \file
/// A TCP relay on the loopback interface that harms the connections through it.
#ifndef EBONYVALE_TESTS_SOAK_LOOPBACK_PROXY_H
#define EBONYVALE_TESTS_SOAK_LOOPBACK_PROXY_H

#include "common/instant.h"
#include "net/event_handles.h"

#include <cstdint>
#include <memory>
#include <set>

#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace ebonyvale {

/// What is done to connections.
enum class proxy_harm {
  None,
  Delay,    ///< bytes pass `DelayTime` later
  Reset,    ///< open connections are reset, new ones too
  CutThere, ///< nothing passes towards the server; it passes after the harm
  CutBack,  ///< nothing passes towards the client; it passes after the harm
  Silence,  ///< open connections go silent for good; new ones work
};
inline constexpr int ProxyHarms = 6;

/// Relays to one port.
class loopback_proxy {
public:
  loopback_proxy(event_base *Base, std::uint16_t Target);
  ~loopback_proxy();
  loopback_proxy(const loopback_proxy &) = delete;
  loopback_proxy &operator=(const loopback_proxy &) = delete;

  std::uint16_t port() const { return Port; }
  /// Connections go to another port from now on.
  void setTarget(std::uint16_t Value) { Target = Value; }
  void setHarm(proxy_harm Value);

  static constexpr span_ns DelayTime = std::chrono::milliseconds(120);

private:
  class relay;

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);

  event_base *Base;
  std::uint16_t Target;
  std::uint16_t Port = 0;
  proxy_harm Harm = proxy_harm::None;
  std::unique_ptr<evconnlistener, releaser<evconnlistener_free>> Listener;
  std::set<std::shared_ptr<relay>> Relays;
};

} // namespace ebonyvale

#endif

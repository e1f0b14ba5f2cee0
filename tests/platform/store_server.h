/// \file
/// HTTP server for a fake store, in the platform's format. Each instance has
/// its own, so that the store's faults for that instance take effect.
#ifndef EBONYVALE_TESTS_PLATFORM_STORE_SERVER_H
#define EBONYVALE_TESTS_PLATFORM_STORE_SERVER_H

#include "gateway/process/fleet_store.h"
#include "net/server_connection.h"

#include <functional>

namespace ebonyvale {

/// Listens on a port of the loopback interface. Leaves a request open if the
/// store does not respond to it.
class store_server final : public request_handler {
public:
  /// \p Store must outlive the server. \p Era returns its era; without it the
  /// server states none. If it cannot listen, it writes why to standard error
  /// and its port is 0.
  store_server(event_base *Base, fleet_store &Store,
               std::function<std::int64_t()> Era = nullptr);

  std::uint16_t port() const { return Links.port(); }

  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override;
  void onRequestError(server_connection &Link, request_error Reason) override;

private:
  /// Returns the revision of the store's own number \p Counter.
  std::int64_t revisionOf(std::int64_t Counter) const;
  /// Sends the response, unless the store does not respond.
  void respond(server_connection &Link, store_status Status,
               const std::string &Body) const;
  void list(const std::shared_ptr<server_connection> &Link,
            std::string_view Query);
  void watch(const std::shared_ptr<server_connection> &Link,
             std::string_view Query);
  void commit(const std::shared_ptr<server_connection> &Link,
              const std::string &Body);

  fleet_store &Store;
  std::function<std::int64_t()> Era;
  connection_listener Links;
};

} // namespace ebonyvale

#endif

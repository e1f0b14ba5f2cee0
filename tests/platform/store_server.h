/// \file
/// The store on the platform's wire, as one instance reaches it: HTTP in front
/// of a store stand-in, whose faults for that instance it shows.
#ifndef EBONYVALE_TESTS_PLATFORM_STORE_SERVER_H
#define EBONYVALE_TESTS_PLATFORM_STORE_SERVER_H

#include "gateway/process/fleet_store.h"
#include "net/server_connection.h"

namespace ebonyvale {

/// One listener; calls that the store does not answer are left open.
class store_server final : public request_handler {
public:
  /// \p Store must outlive the server.
  store_server(event_base *Base, fleet_store &Store);

  std::uint16_t port() const { return Links.port(); }

  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override;
  void onRequestError(server_connection &Link, request_error Reason) override;

private:
  void list(const std::shared_ptr<server_connection> &Link,
            std::string_view Query);
  void watch(const std::shared_ptr<server_connection> &Link,
             std::string_view Query);
  void commit(const std::shared_ptr<server_connection> &Link,
              const std::string &Body);

  fleet_store &Store;
  connection_listener Links;
};

} // namespace ebonyvale

#endif

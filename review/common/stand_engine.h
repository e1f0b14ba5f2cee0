/// \file
/// A model worker that takes orders to load weights, as the platform's pages
/// describe it.
#ifndef EBONYVALE_REVIEW_COMMON_STAND_ENGINE_H
#define EBONYVALE_REVIEW_COMMON_STAND_ENGINE_H

#include "fakes/fake_fleet_store.h"
#include "net/server_connection.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ebonyvale {

/// An order as it arrived at a worker.
struct received_order {
  instant At;
  std::string Owner;
  std::int64_t Fence = 0;
  std::int64_t Version = 0;
  int Status = 0; ///< of the response
};

/// A worker that listens on a loopback port and is registered in the store.
class stand_engine final : public request_handler {
public:
  stand_engine(event_base *Base, fake_fleet_store &Store, std::string Id);

  const std::string &id() const { return Id; }
  /// All orders so far, in the order of their arrival.
  const std::vector<received_order> &orders() const { return Orders; }

  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override;
  void onRequestError(server_connection &Link, request_error Reason) override;

  static constexpr const char *Model = "m0";
  /// Handles the requests of clients.
  std::function<void(const std::shared_ptr<server_connection> &Link,
                     const http_request &Request)>
      OnRequest;

private:
  struct state {
    instant Since;
    std::int64_t Version = 1;
    std::int64_t Accepted = 0;
    bool Busy = false;
  };

  void changeState(std::int64_t Version, std::int64_t Accepted, bool Busy);
  void publish();
  std::string report() const;
  int handleOrder(const std::string &Body);

  event_base *Base;
  fake_fleet_store &Store;
  std::string Id;
  connection_listener Links;
  std::deque<state> States{state{}}; ///< oldest first; the last one holds
  std::vector<received_order> Orders;
};

} // namespace ebonyvale

#endif

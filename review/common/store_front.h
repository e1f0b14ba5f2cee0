/// \file
/// One gateway's access to the store. It can cut watches that wait.
#ifndef EBONYVALE_REVIEW_COMMON_STORE_FRONT_H
#define EBONYVALE_REVIEW_COMMON_STORE_FRONT_H

#include "gateway/process/fleet_store.h"
#include "net/server_connection.h"
#include "platform/store_server.h"

#include <functional>
#include <memory>

namespace ebonyvale {

/// Passes all calls to another store, and tells which watches still wait.
class watched_store final : public fleet_store {
public:
  explicit watched_store(fleet_store &Store) : Store(Store) {}

  void list(const std::string &Prefix, items_callback Done) override {
    Store.list(Prefix, std::move(Done));
  }
  void watch(const std::string &Prefix, std::int64_t Revision, span_ns Wait,
             items_callback Done) override;
  void commit(const store_commit &Commit, result_callback Done) override {
    Store.commit(Commit, std::move(Done));
  }
  void grantLease(span_ns Duration, result_callback Done) override {
    Store.grantLease(Duration, std::move(Done));
  }
  void renewLease(std::int64_t Lease, result_callback Done) override {
    Store.renewLease(Lease, std::move(Done));
  }
  void endLease(std::int64_t Lease, result_callback Done) override {
    Store.endLease(Lease, std::move(Done));
  }

  /// Whether the newest watch has ended. Set it to drop the watch's response.
  std::shared_ptr<bool> NewestEnded;

private:
  fleet_store &Store;
};

/// Listens on a loopback port and passes all calls to a store server.
class store_front final : public request_handler {
public:
  store_front(event_base *Base, fleet_store &Client);

  std::uint16_t port() const { return Links.port(); }

  /// Returns after which time a watch that still waits is cut; zero: never.
  std::function<span_ns()> CutAfter = [] { return span_ns(0); };
  std::size_t Cuts = 0; ///< watches that were cut

  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override;
  void onRequestError(server_connection &Link, request_error Reason) override;

private:
  watched_store Store;
  store_server Server;
  connection_listener Links;
};

} // namespace ebonyvale

#endif

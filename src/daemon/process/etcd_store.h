/// \file
/// Platform store that uses the etcd v3 JSON gateway.
/// Source: etcd documentation, "gRPC gateway".
#ifndef EBONYVALE_DAEMON_PROCESS_ETCD_STORE_H
#define EBONYVALE_DAEMON_PROCESS_ETCD_STORE_H

#include "daemon/process/platform_store.h"
#include "net/upstream_exchange.h"

#include <nlohmann/json_fwd.hpp>

namespace ebonyvale {

/// Calls etcd's JSON gateway over pooled HTTP connections.
class etcd_store final : public platform_store {
public:
  etcd_store(evhttp_connection_pool &Pool, endpoint Server)
      : Pool(Pool), Server(std::move(Server)) {}

  void list(const std::string &Prefix, const std::string &From,
            callback<store_range> Done) override;
  void create(const std::string &Key, std::string_view Value,
              callback<bool> Done) override;
  void put(const std::string &Key, std::string_view Value,
           callback<bool> Done) override;
  void erase(const std::string &From, const std::string &To,
             callback<bool> Done) override;
  std::unique_ptr<store_watch> watch(const std::string &Prefix,
                                     std::int64_t Revision,
                                     store_watch_observer &Observer) override;

private:
  using json_callback = std::function<void(const result<nlohmann::json> &)>;

  void call(const std::string &Path, const nlohmann::json &Body,
            json_callback Done);

  evhttp_connection_pool &Pool;
  endpoint Server;
};

/// Returns the first key after all keys that start with \p Prefix, which is the
/// exclusive end of their range; empty when no such key exists.
std::string prefixEnd(std::string Prefix);

} // namespace ebonyvale

#endif

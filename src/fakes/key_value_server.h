/// \file
/// A fake of the platform's key-value store: the subset of the etcd v3 JSON
/// gateway that the router uses.
/// Source: etcd documentation, "gRPC gateway" and the v3 API reference.
#ifndef EBONYVALE_FAKES_KEY_VALUE_SERVER_H
#define EBONYVALE_FAKES_KEY_VALUE_SERVER_H

#include "fakes/key_value_model.h"
#include "net/http_server.h"
#include "net/response_writer.h"
#include "net/timer.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace ebonyvale {

/// Faults that the store injects. `POST /control` sets them too, as `out`,
/// `slow_ms` and `lose_replies`.
struct key_value_faults {
  bool DropConnections = false; ///< closes connections without a response
  std::int64_t SlowMs = 0;      ///< delay of each request, in ms
  std::int64_t LoseReplies = 0; ///< number of next writes that take effect,
                                ///< but get no response
};

/// A fake key-value store that listens on one port.
class key_value_server {
public:
  explicit key_value_server(event_base *Base);
  ~key_value_server();

  std::optional<failure> listen(const std::string &Address, std::uint16_t Port);
  std::uint16_t port() const { return Server.port(); }

  key_value_faults &faults() { return Faults; }
  key_value_model &model() { return Model; }

  /// Number of calls served, by kind. A watch counts once, when it starts;
  /// every call that is not a range read or a watch counts as a write.
  std::uint64_t reads() const { return Reads; }
  std::uint64_t writes() const { return Writes; }
  std::uint64_t watches() const { return Watches; }

private:
  class watcher;

  void onRequest(evhttp_request *Request);
  void serve(evhttp_request *Request);
  void serveControl(evhttp_request *Request);
  void startWatch(evhttp_request *Request, const nlohmann::json &Body);
  /// Runs the call at \p Path; returns false for an unknown path.
  bool dispatch(std::string_view Path, const nlohmann::json &Body,
                nlohmann::json &Response);
  nlohmann::json runOperation(const nlohmann::json &Operation);
  nlohmann::json runRange(const nlohmann::json &Body);
  nlohmann::json runTransaction(const nlohmann::json &Body);
  /// Returns whether \p Comparison of a transaction is true.
  bool matches(const nlohmann::json &Comparison) const;
  void notify();
  static void breakConnection(evhttp_request *Request);

  event_base *Base;
  key_value_model Model;
  key_value_faults Faults;
  std::list<std::unique_ptr<watcher>> Watchers;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  timer ExpiryTimer;
  http_server Server;
};

} // namespace ebonyvale

#endif

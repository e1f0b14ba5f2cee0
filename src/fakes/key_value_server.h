/// \file
/// A stand-in for the platform's key-value service: the part of the etcd v3
/// JSON gateway that the router uses.
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

/// Faults of the service.
struct key_value_faults {
  bool Out = false;             ///< closes every connection unanswered
  std::int64_t SlowMs = 0;      ///< delay before each answer
  std::int64_t LoseReplies = 0; ///< next writes that take effect unanswered
};

/// The service on one port.
class key_value_server {
public:
  explicit key_value_server(event_base *Base);
  ~key_value_server();

  std::optional<failure> listen(const std::string &Address, std::uint16_t Port);
  std::uint16_t port() const { return Server.port(); }

  key_value_faults &faults() { return Faults; }
  key_value_model &model() { return Model; }

  /// Calls answered, by kind; a waiting watch counts as one.
  std::uint64_t reads() const { return Reads; }
  std::uint64_t writes() const { return Writes; }
  std::uint64_t watches() const { return Watches; }

private:
  class watcher;

  void onRequest(evhttp_request *Request);
  void serve(evhttp_request *Request);
  void serveControl(evhttp_request *Request);
  void startWatch(evhttp_request *Request, const nlohmann::json &Body);
  bool runCall(std::string_view Path, const nlohmann::json &Body,
               nlohmann::json &Answer);
  nlohmann::json runOperation(const nlohmann::json &Operation);
  nlohmann::json runRange(const nlohmann::json &Body);
  nlohmann::json runTransaction(const nlohmann::json &Body);
  bool holds(const nlohmann::json &Comparison) const;
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

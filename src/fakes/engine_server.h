/// \file
/// A fake engine: serves the protocol of `engine_protocol.h` from a simulated
/// engine (`engine_model.h`). Faults can be switched at run time, in the
/// process or with `POST /control`.
#ifndef EBONYVALE_FAKES_ENGINE_SERVER_H
#define EBONYVALE_FAKES_ENGINE_SERVER_H

#include "decisions/request/chat_request.h"
#include "fakes/engine_model.h"
#include "fakes/request_record.h"
#include "net/http_server.h"
#include "net/response_writer.h"
#include "net/timer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace ebonyvale {

/// Faults that a fake engine injects.
struct engine_faults {
  bool Unavailable = false;  ///< responds 503 with `X-Ran: no`
  bool CrossAnswers = false; ///< responds with another `X-Request-Id`
  bool RepeatTokens = false; ///< sends each token event twice
  bool DropTokens = false;   ///< omits every tenth token event
  bool EndEarly = false;     ///< omits usage and `[DONE]` at the end
  bool ServerError = false;  ///< responds 500 without executing
};

/// A fake engine that listens on one port.
class engine_server {
public:
  engine_server(event_base *Base, std::string Name, std::string Version,
                engine_speed Speed);
  ~engine_server();

  std::optional<failure> listen(const std::string &Address, std::uint16_t Port);
  std::uint16_t port() const { return Port; }

  engine_faults &faults() { return Faults; }
  const request_record &record() const { return Record; }

  /// Closes all connections, drops the cache, refuses connections for
  /// \p Downtime and restarts as a new incarnation.
  void crash(span_ns Downtime);

  /// A request whose prompt contains this text crashes the engine; empty
  /// disables this.
  std::string PoisonText;

  /// Returns whether no request is in prefill or decoding.
  bool idle() const { return Model.idle(); }

  /// Returns the number of requests accepted for execution.
  std::uint64_t executions() const { return Executions; }

private:
  class response;

  void open();
  void onRequest(evhttp_request *Request);
  void onChat(evhttp_request *Request, chat_route Route);
  void onControl(evhttp_request *Request);
  void sendState(evhttp_request *Request);
  /// Sends an error response where `If-Match` or a fault demands it; returns
  /// whether it did.
  bool refuseRequest(evhttp_request *Request);
  void onStep();
  void addLoadHeaders(evhttp_request *Request) const;
  std::string incarnation() const;

  event_base *Base;
  std::string Name;
  std::string Version;
  std::string Address;
  std::uint16_t Port = 0;
  engine_speed Speed;
  engine_model Model;
  engine_faults Faults;
  request_record Record;
  std::unique_ptr<http_server> Server;
  std::map<std::uint64_t, std::unique_ptr<response>> Responses;
  std::uint64_t LastNumber = 0;
  std::uint64_t Executions = 0;
  std::uint64_t Incarnations = 1;
  std::uint64_t CachedPieces = 0;
  std::uint64_t PromptPieces = 0;
  timer StepTimer;
  timer RestartTimer;
  span_ns CrashDowntime{0};
  timer CrashTimer;
};

} // namespace ebonyvale

#endif

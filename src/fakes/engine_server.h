/// \file
/// A stand-in for an engine: the wire form of `engine_protocol.h` over the
/// model of `engine_model.h`, with faults that can be switched at run time.
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

/// Faults of an engine.
struct engine_faults {
  bool Unavailable = false;  ///< answers 503 with proof that nothing ran
  bool CrossAnswers = false; ///< stamps answers with another request's id
  bool RepeatTokens = false; ///< sends each stream event twice
  bool DropTokens = false;   ///< leaves out every tenth stream event
  bool EndEarly = false;     ///< ends streams without their last event
  bool ServerError = false;  ///< answers 500
};

/// One engine on one port.
class engine_server {
public:
  engine_server(event_base *Base, std::string Name, std::string Version,
                engine_speed Speed);
  ~engine_server();

  std::optional<failure> listen(const std::string &Address, std::uint16_t Port);
  std::uint16_t port() const { return Port; }

  engine_faults &faults() { return Faults; }
  const request_record &record() const { return Record; }

  /// Breaks all connections, loses the cache, refuses connections for
  /// \p Pause and comes back as a new incarnation.
  void crash(span_ns Pause);

  /// A request whose prompt holds this text crashes the engine; empty for
  /// none.
  std::string PoisonText;

  /// Whether nothing is being answered.
  bool idle() const { return Model.idle(); }

  /// Requests that began to run.
  std::uint64_t executions() const { return Executions; }

private:
  class answer;

  void open();
  void onRequest(evhttp_request *Request);
  void onChat(evhttp_request *Request, chat_route Route);
  void onControl(evhttp_request *Request);
  void describe(evhttp_request *Request);
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
  std::map<std::uint64_t, std::unique_ptr<answer>> Answers;
  std::uint64_t LastNumber = 0;
  std::uint64_t Executions = 0;
  std::uint64_t Incarnations = 1;
  std::uint64_t CachedPieces = 0;
  std::uint64_t PromptPieces = 0;
  timer StepTimer;
  timer ReturnTimer;
  span_ns CrashPause{0};
  timer CrashTimer;
};

} // namespace ebonyvale

#endif

/// \file
/// Session of a request to a language model.
#ifndef EBONYVALE_DAEMON_REQUEST_MODEL_SESSION_H
#define EBONYVALE_DAEMON_REQUEST_MODEL_SESSION_H

#include "daemon/request/caller_session.h"
#include "daemon/request/engine_protocol.h"
#include "decisions/request/sse_events.h"

#include <string>

namespace ebonyvale {

/// Sends the request to the engine chosen for its prompt and forwards the
/// response. When the engine is lost during a stream, resumes the stream on
/// another one.
class model_session final : public caller_session {
public:
  /// \p Model must belong to \p Config; \p Chat is the parsed request body.
  model_session(router_core &Core, evhttp_request *Request,
                configuration_ptr Config, const caller_grant &Grant,
                const model &Model, chat_request Chat);

  /// Returns the tokens to reserve: those of the prompt, estimated from its
  /// size, plus the maximum of the response.
  token_cost cost() const;

  void onHead(const response_head &Head) override;
  void onBody(std::string_view Bytes) override;
  void onComplete() override;

protected:
  dispatch_request makeDispatchRequest() override;
  outgoing_request makeUpstreamRequest(const dispatch_start &Start) override;
  void sendInterruption(const refusal &Refusal) override;
  double usedTokens() const override;
  response_options flowOptions() const override;

private:
  void onStreamBytes(std::string_view Bytes);
  bool processEvent(const sse_event &Event, std::string &Out);
  void recordUsage(std::string_view Json);
  void sendBufferedResponse();
  void onEngineRefusal();
  void recordFirstToken();

  const model &Model;
  chat_route Route;
  chat_request Chat;
  std::string Body;
  piece_chain Chain;
  service_class Class;
  engine_head Head;
  sse_splitter Splitter;
  std::string ResponseBody; ///< body of a response that is not a stream
  std::optional<engine_usage> Usage;
  bool SawStreamEnd = false;
  bool SawFirstToken = false;
};

} // namespace ebonyvale

#endif

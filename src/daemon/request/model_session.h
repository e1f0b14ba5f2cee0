/// \file
/// A request to a language model.
#ifndef EBONYVALE_DAEMON_REQUEST_MODEL_SESSION_H
#define EBONYVALE_DAEMON_REQUEST_MODEL_SESSION_H

#include "daemon/request/caller_session.h"
#include "daemon/request/engine_protocol.h"
#include "decisions/request/sse_events.h"

#include <string>

namespace ebonyvale {

/// Places the prompt, streams the answer and resumes it elsewhere when its
/// engine is lost.
class model_session final : public caller_session {
public:
  /// \p Model belongs to \p Config; \p Chat was read from the body.
  model_session(router_core &Core, evhttp_request *Request,
                configuration_ptr Config, const caller_grant &Grant,
                const model &Model, chat_request Chat);

  /// Tokens to reserve before the request runs.
  token_cost cost() const;

  void onHead(const response_head &Head) override;
  void onBody(std::string_view Bytes) override;
  void onComplete() override;

protected:
  dispatch_request makeSubmission() override;
  outgoing_request makeRequest(const dispatch_start &Start) override;
  void sendInterruption(const refusal &Refusal) override;
  double usedTokens() const override;
  flow_rules rules() const override;

private:
  void onStreamBytes(std::string_view Bytes);
  bool takeEvent(const sse_event &Event, std::string &Out);
  void takeUsage(std::string_view Json);
  void answerWhole();
  void refuseByEngine();
  void noteFirstToken();

  const model &Model;
  chat_route Route;
  chat_request Chat;
  std::string Body;
  piece_chain Chain;
  service_class Class;
  engine_head Head;
  sse_splitter Splitter;
  std::string Whole; ///< body of an answer that is not a stream
  std::optional<engine_usage> Usage;
  bool SawEnd = false;
  bool SawFirst = false;
};

} // namespace ebonyvale

#endif

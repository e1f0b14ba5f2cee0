/// \file
/// A call to a plain upstream on an application route.
#ifndef EBONYVALE_DAEMON_REQUEST_PLAIN_SESSION_H
#define EBONYVALE_DAEMON_REQUEST_PLAIN_SESSION_H

#include "daemon/request/caller_session.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonyvale {

/// Runs a call at most once unless its route says that it may be repeated.
/// The answer is held until it is whole, so that a lost one can be told.
class plain_session final : public caller_session {
public:
  /// \p Route belongs to \p Config.
  plain_session(router_core &Core, evhttp_request *Request,
                configuration_ptr Config, const caller_grant &Grant,
                const route &Route);

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
  void copyRequest(evhttp_request *Request, std::string_view Key);

  const route &Route;
  std::string Method;
  std::string Target;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> AnswerHeaders;
  std::string Answer;
};

} // namespace ebonyvale

#endif

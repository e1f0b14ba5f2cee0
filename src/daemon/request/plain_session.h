/// \file
/// Session of a request to a plain upstream on an application route.
#ifndef EBONYVALE_DAEMON_REQUEST_PLAIN_SESSION_H
#define EBONYVALE_DAEMON_REQUEST_PLAIN_SESSION_H

#include "daemon/request/caller_session.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonyvale {

/// Executes a request at most once unless its route is repeatable. Buffers the
/// response until it is complete, so that a request lost before its end can
/// still be refused.
class plain_session final : public caller_session {
public:
  /// \p Route must belong to \p Config.
  plain_session(router_core &Core, evhttp_request *Request,
                configuration_ptr Config, const caller_grant &Grant,
                const route &Route);

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
  /// Copies the target and the forwarded headers without the caller's key.
  void copyRequest(evhttp_request *Request, std::string_view Key);

  const route &Route;
  std::string Method;
  std::string Target;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  int Status = 0;
  bool EndsWithConnection = false; ///< the upstream's response
  std::vector<std::pair<std::string, std::string>> ResponseHeaders;
  std::string ResponseBody;
};

} // namespace ebonyvale

#endif

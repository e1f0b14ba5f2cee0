/// \file
/// Asks upstreams whether their processes have outlived their responses.
#ifndef EBONYVALE_GATEWAY_CONNECTION_END_VERIFIER_H
#define EBONYVALE_GATEWAY_CONNECTION_END_VERIFIER_H

#include "decisions/process/response_ends.h"
#include "gateway/connection/upstream_call.h"
#include "gateway/process/gateway_core.h"
#include "net/timer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Returns whether only the end of its connection has marked the end of
/// \p Response, a successful one to a request with \p Method.
bool endsWithConnection(const http_head &Response, std::string_view Method);

/// Requests status reports from the processes of responses that ended with
/// their connection, and judges these (`response_ends`).
class end_verifier final : public response_end_verifier {
public:
  explicit end_verifier(gateway_core &Core);
  ~end_verifier() override;

  // response_end_verifier
  void verifyEnd(const upstream_process &Process,
                 std::weak_ptr<end_waiter> Waiter, instant Now) override;

private:
  /// Judges what has waited too long, and asks the processes that are due.
  void proceed();
  void ask(const upstream_process &Process, instant Now);
  void onAnswer(const upstream_process &Asked, instant SentAt,
                const upstream_call &Call, int Status, std::string_view Body);
  process_evidence readEvidence(const upstream_process &Asked, instant SentAt,
                                const upstream_call &Call, int Status,
                                std::int64_t Born);
  void tell(std::span<const response_ends::judged_end> Judged);

  gateway_core &Core;
  response_ends Ends;
  std::map<std::uint64_t, std::weak_ptr<end_waiter>> Waiters; ///< by response
  std::vector<std::shared_ptr<upstream_call>> Calls;
  timer Timer;
};

} // namespace ebonyvale

#endif

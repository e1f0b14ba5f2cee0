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
/// \p Response, which was to a request with \p Method.
bool endsWithConnection(const http_head &Response, std::string_view Method);

/// Requests status reports from the processes of responses that ended with
/// their connection, and judges these (`response_ends`).
class end_verifier final : public response_end_verifier {
public:
  explicit end_verifier(gateway_core &Core);
  ~end_verifier() override;

  // response_end_verifier
  void verifyEnd(const upstream_process &Process, instant AliveAt,
                 std::weak_ptr<end_waiter> Waiter, instant Now) override;
  void onStated(const upstream_process &Listed, std::int64_t Born,
                instant Now) override;

private:
  /// Asks the processes that are due.
  void proceed();
  /// Forgets the responses that nobody waits for any more.
  void dropAbandoned();
  /// Asks \p Process on a new connection.
  void ask(const upstream_process &Process, instant AskedAt);
  /// Asks \p Process on all \p Count idle connections from before its
  /// responses, after \p Answer on a new one has not proven their ends.
  void askOnEarlier(const upstream_process &Process,
                    const response_ends::answer &Answer, std::size_t Count);
  void send(const upstream_process &Process, client_request Request,
            span_ns MaxTime, upstream_call::callback Done);
  void onAnswer(const upstream_process &Asked,
                const response_ends::answer &Answer);
  response_ends::answer readAnswer(const upstream_process &Asked,
                                   const upstream_call &Call, instant AskedAt,
                                   int Status, std::string_view Body);
  void tell(std::span<const response_ends::judged_end> Judged);

  gateway_core &Core;
  response_ends Ends;
  std::map<std::uint64_t, std::weak_ptr<end_waiter>> Waiters; ///< by response
  std::vector<std::shared_ptr<upstream_call>> Calls;
  timer Timer;
};

} // namespace ebonyvale

#endif

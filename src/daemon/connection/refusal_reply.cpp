#include "daemon/connection/refusal_reply.h"

#include "decisions/request/refusal_body.h"

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

void sendRefusal(response_writer &Reply, const refusal &Refusal,
                 span_ns RetryAfter) {
  const error_row &Row = errorRow(Refusal.Kind);
  if (const auto Seconds = retryAfterSeconds(Refusal.Kind, RetryAfter))
    Reply.header("Retry-After", fmt::format("{}", *Seconds));
  Reply.header("X-Refusal-Reference", Refusal.Reference);
  Reply.sendComplete(Row.Status, "application/json", refusalBody(Refusal));
}

std::string streamErrorEvent(const refusal &Refusal) {
  return fmt::format("event: error\ndata: {}\n\n", refusalBody(Refusal));
}

} // namespace ebonyvale

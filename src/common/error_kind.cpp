#include "common/error_kind.h"

#include <algorithm>
#include <string>

namespace ebonyvale {
namespace {

using enum error_kind;
using enum retry_advice;

constexpr ran_state RanNo = ran_state::No;
constexpr ran_state RanYes = ran_state::Yes;
constexpr ran_state RanUnknown = ran_state::Unknown;

constexpr std::array<error_row, ErrorKindCount> Table{{
    {KeyMissing, "key_missing", 401, RanNo, Never,
     "The route needs a key in the authorization header."},
    {KeyUnknown, "key_unknown", 401, RanNo, Never,
     "The key is not in the active configuration."},
    {KeyWithdrawn, "key_withdrawn", 401, RanNo, Never,
     "The key has been withdrawn."},
    {CredentialInBody, "credential_in_body", 400, RanNo, Never,
     "The request body or path contains the caller's key."},
    {RouteUnknown, "route_unknown", 404, RanNo, Never,
     "No route matches the path."},
    {MethodNotAllowed, "method_not_allowed", 405, RanNo, Never,
     "The route does not accept this method."},
    {ModelUnknown, "model_unknown", 404, RanNo, Never,
     "The model is not in the active configuration."},
    {BodyTooLarge, "body_too_large", 413, RanNo, Never,
     "The request body exceeds the size limit."},
    {BodyMalformed, "body_malformed", 400, RanNo, Never,
     "The request body is not valid for this route."},
    {HeadersTooLarge, "headers_too_large", 431, RanNo, Never,
     "The request headers exceed the size limit."},
    {HeaderTimeout, "header_timeout", 408, RanNo, Never,
     "The request was not received in time."},
    {RateExceeded, "rate_exceeded", 429, RanNo, Computed,
     "The team's rate and burst are exhausted."},
    {RequestExceedsBurst, "request_exceeds_burst", 413, RanNo, Never,
     "The request asks for more tokens than the team's burst."},
    {QueueFull, "queue_full", 503, RanNo, Computed,
     "The queue of requests waiting for an upstream is full."},
    {DeadlineTooShort, "deadline_too_short", 503, RanNo, Computed,
     "The request could not start before its deadline."},
    {NoUpstream, "no_upstream", 503, RanNo, Short,
     "No upstream is available for this route."},
    {NotReady, "not_ready", 503, RanNo, Short,
     "This instance has no configuration yet."},
    {Draining, "draining", 503, RanNo, Short,
     "This instance is shutting down."},
    {UpstreamUnreachable, "upstream_unreachable", 502, RanNo, Short,
     "Could not connect to an upstream."},
    {UpstreamRefused, "upstream_refused", 503, RanNo, Short,
     "The upstream reported that it did not run the request."},
    {RetryBudgetSpent, "retry_budget_spent", 503, RanUnknown, Short,
     "The upstream failed and the retry budget is exhausted."},
    {RequestQuarantined, "request_quarantined", 422, RanNo, Never,
     "Earlier copies of this request crashed the upstreams that ran them."},
    {RequestSuspected, "request_suspected", 502, RanUnknown, Never,
     "The upstreams that ran this request crashed while running it."},
    {OutcomeUnknown, "outcome_unknown", 502, RanUnknown, Never,
     "The connection was lost after the request was sent; it may have run."},
    {DeadlineExceeded, "deadline_exceeded", 504, RanUnknown, Never,
     "The deadline passed before the response was complete."},
    {UpstreamBadAnswer, "upstream_bad_answer", 502, RanUnknown, Never,
     "The upstream's response is invalid."},
    {StreamInterrupted, "stream_interrupted", 502, RanYes, Never,
     "The stream was lost and could not be resumed."},
    {KeyCut, "key_cut", 401, RanYes, Never,
     "The key was withdrawn and its running streams were closed."},
    {AdminDenied, "admin_denied", 403, RanNo, Never,
     "The admin credential is missing or wrong."},
    {NoteInvalid, "note_invalid", 400, RanNo, Never,
     "The release note was rejected; no part of it was applied."},
    {NoteConflict, "note_conflict", 409, RanNo, Never,
     "The configuration has changed since the note was written."},
    {PlatformUnavailable, "platform_unavailable", 503, RanNo, Short,
     "The platform service does not respond."},
    {SettingsInvalid, "settings_invalid", 400, RanNo, Never,
     "The settings are not valid."},
    {FormatUnsupported, "format_unsupported", 400, RanNo, Never,
     "The saved state has a format number that this build cannot read."},
    {PeerMessageInvalid, "peer_message_invalid", 400, RanNo, Never,
     "The peer's message is invalid."},
    {ReferenceUnknown, "reference_unknown", 404, RanNo, Never,
     "No refusal with this reference was found."},
}};

constexpr bool tableIsOrdered() {
  for (std::size_t Index = 0; Index < Table.size(); ++Index)
    if (static_cast<std::size_t>(Table[Index].Kind) != Index + 1)
      return false;
  return true;
}
static_assert(tableIsOrdered(),
              "the table must have one row per error kind, in enum order");

class ebonyvale_category final : public std::error_category {
public:
  const char *name() const noexcept override { return "ebonyvale"; }
  std::string message(int Value) const override {
    const auto Index = static_cast<std::size_t>(Value) - 1;
    if (Index >= Table.size())
      return "unknown error kind";
    return std::string(Table[Index].Message);
  }
};

} // namespace

const std::array<error_row, ErrorKindCount> &errorTable() { return Table; }

const error_row &errorRow(error_kind Kind) {
  return Table[static_cast<std::size_t>(Kind) - 1];
}

std::optional<error_kind> errorKindByName(std::string_view Name) {
  const auto *Row = std::ranges::find(Table, Name, &error_row::Name);
  if (Row == Table.end())
    return std::nullopt;
  return Row->Kind;
}

std::string_view ranName(ran_state Ran) {
  switch (Ran) {
  case ran_state::No:
    return "no";
  case ran_state::Yes:
    return "yes";
  case ran_state::Unknown:
    break;
  }
  return "unknown";
}

const std::error_category &errorCategory() {
  static const ebonyvale_category Category;
  return Category;
}

std::error_code make_error_code(error_kind Kind) {
  return {static_cast<int>(Kind), errorCategory()};
}

} // namespace ebonyvale

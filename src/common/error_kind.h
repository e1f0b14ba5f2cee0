/// \file
/// The error kinds and the HTTP response for each of them.
#ifndef EBONYVALE_COMMON_ERROR_KIND_H
#define EBONYVALE_COMMON_ERROR_KIND_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <system_error>

namespace ebonyvale {

/// Lists every reason why a request, a release note, a setting or a peer
/// message is rejected. Starts at one: `std::error_code` uses zero for success.
enum class error_kind {
  KeyMissing = 1,
  KeyUnknown,
  KeyWithdrawn,
  CredentialInBody,
  RouteUnknown,
  MethodNotAllowed,
  ModelUnknown,
  BodyTooLarge,
  BodyMalformed,
  HeadersTooLarge,
  HeaderTimeout,
  RateExceeded,
  RequestExceedsBurst,
  QueueFull,
  DeadlineTooShort,
  NoUpstream,
  NotReady,
  Draining,
  UpstreamUnreachable,
  UpstreamRefused,
  RetryBudgetSpent,
  RequestQuarantined,
  RequestSuspected,
  OutcomeUnknown,
  DeadlineExceeded,
  UpstreamBadAnswer,
  StreamInterrupted,
  KeyCut,
  AdminDenied,
  NoteInvalid,
  NoteConflict,
  PlatformUnavailable,
  SettingsInvalid,
  FormatUnsupported,
  PeerMessageInvalid,
  ReferenceUnknown,
};

/// Number of error kinds. Equals the last enumerator, since they start at one.
inline constexpr std::size_t ErrorKindCount =
    static_cast<std::size_t>(error_kind::ReferenceUnknown);

/// Tells whether the refused request ran on an upstream.
enum class ran_state { No, Yes, Unknown };

/// Tells how the `retry-after` header is set for an error kind.
enum class retry_advice {
  Never,    ///< no header, since repeating the same request cannot succeed
  Computed, ///< the delay computed by the component that refused
  Short,    ///< DefaultRetryAfterSeconds
};

/// Value of `retry-after` in seconds where no delay was computed.
inline constexpr int DefaultRetryAfterSeconds = 1;

/// Describes how one error kind is reported.
struct error_row {
  error_kind Kind;
  std::string_view Name;    ///< stable machine-readable name
  int Status;               ///< HTTP status code
  ran_state Ran;            ///< `ran` field of the response body
  retry_advice Retry;       ///< how `retry-after` is set
  std::string_view Message; ///< one sentence for the caller
};

/// Returns the rows of all error kinds, ordered by kind.
const std::array<error_row, ErrorKindCount> &errorTable();

/// Returns the row of \p Kind.
const error_row &errorRow(error_kind Kind);

/// Returns the kind whose `error_row::Name` is \p Name, if there is one.
std::optional<error_kind> errorKindByName(std::string_view Name);

/// Returns "no", "yes" or "unknown".
std::string_view ranName(ran_state Ran);

/// Returns the error category of `error_kind`, named "ebonyvale".
const std::error_category &errorCategory();

/// Makes `error_kind` convertible to `std::error_code`; found by
/// argument-dependent lookup.
std::error_code make_error_code(error_kind Kind);

} // namespace ebonyvale

template <>
struct std::is_error_code_enum<ebonyvale::error_kind> : std::true_type {};

#endif

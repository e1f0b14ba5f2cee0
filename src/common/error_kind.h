/// \file
/// The closed list of error kinds and the answer that belongs to each.
#ifndef EBONYVALE_COMMON_ERROR_KIND_H
#define EBONYVALE_COMMON_ERROR_KIND_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <system_error>

namespace ebonyvale {

/// Every way in which a request, a note, a setting or a message can fail.
/// Zero is left to `std::error_code` for success.
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

/// Number of kinds; the last enumerator's value, since they start at one.
inline constexpr std::size_t ErrorKindCount =
    static_cast<std::size_t>(error_kind::ReferenceUnknown);

/// Whether the refused request ran on an upstream.
enum class ran_state { No, Yes, Unknown };

/// How `retry-after` is filled in for a kind.
enum class retry_advice {
  Never,    ///< repeating the same request cannot succeed; no header
  Computed, ///< the decision says how long
  Short,    ///< DefaultRetryAfterSeconds
};

/// Seconds advised where the decision has no better figure.
inline constexpr int DefaultRetryAfterSeconds = 1;

/// One row of the table from kind to answer.
struct error_row {
  error_kind Kind;
  std::string_view Name;    ///< stable machine-readable name
  int Status;               ///< HTTP status code
  ran_state Ran;            ///< the `ran` field of the body
  retry_advice Retry;       ///< the `retry-after` header
  std::string_view Message; ///< one sentence for the caller
};

/// The whole table, ordered by kind.
const std::array<error_row, ErrorKindCount> &errorTable();

/// The row of \p Kind.
const error_row &errorRow(error_kind Kind);

/// The kind with the stable name \p Name, if there is one.
std::optional<error_kind> errorKindByName(std::string_view Name);

/// "no", "yes" or "unknown".
std::string_view ranName(ran_state Ran);

/// The error category of `error_kind`, named "ebonyvale".
const std::error_category &errorCategory();

/// Customisation point of `std::error_code`.
std::error_code make_error_code(error_kind Kind);

} // namespace ebonyvale

template <>
struct std::is_error_code_enum<ebonyvale::error_kind> : std::true_type {};

#endif

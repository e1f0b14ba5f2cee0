/// \file
/// Freshness of the configuration: the age of the newest read of the store.
#ifndef EBONYVALE_DECISIONS_PROCESS_FRESHNESS_H
#define EBONYVALE_DECISIONS_PROCESS_FRESHNESS_H

#include "common/instant.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace ebonyvale {

/// Age reported before the store has been read for the first time.
inline constexpr span_ns UnknownAge = std::chrono::milliseconds(-1);

/// Limits on the age of what was read from the store.
struct freshness_options {
  /// No request may run with a withdrawn key if it was sent later than this
  /// after the withdrawal.
  span_ns MaxKeyAge = std::chrono::milliseconds(5000);
  /// Subtracted from `MaxKeyAge` for late timers and the transit time to an
  /// upstream.
  span_ns KeyAgeMargin = std::chrono::milliseconds(300);
  /// Time within which an accepted version is in force on all instances.
  span_ns MaxApplyDelay = std::chrono::milliseconds(2500);
  /// Time within which operators write again what a store that was restored
  /// from an older copy has lost.
  span_ns RewriteTime = std::chrono::milliseconds(2000);
};

/// Tracks the newest read of the store. A read reflects the state at or after
/// the time it was sent, so ages count from then. Instants come from a clock
/// that also advances while the machine is suspended.
class freshness {
public:
  /// Records a successful read that was sent at \p SentAt.
  void onRead(instant SentAt) {
    if (SentAt < ConfirmsFrom)
      return;
    ReadSentAt = ReadSentAt ? std::max(*ReadSentAt, SentAt) : SentAt;
  }

  /// Records that the store was restored from an older copy. Its content
  /// confirms nothing until operators have written again what it lost.
  void onRestored(instant Now, const freshness_options &Options) {
    ConfirmsFrom = Now + Options.RewriteTime;
  }

  /// Records that operators have written again.
  void onWrittenAgain() { ConfirmsFrom = {}; }

  /// Returns the time from which on a read counts.
  instant confirmsFrom() const { return ConfirmsFrom; }

  /// Returns when the newest read was sent, or nothing before the first read.
  std::optional<instant> readAt() const { return ReadSentAt; }

  /// Returns the time since the newest read was sent, or nothing before the
  /// first read.
  std::optional<span_ns> age(instant Now) const {
    if (!ReadSentAt)
      return std::nullopt;
    return Now - *ReadSentAt;
  }

  /// Returns whether the configuration is fresh enough to accept a key that it
  /// lists.
  bool isFreshForKeys(instant Now, const freshness_options &Options) const {
    const auto Age = age(Now);
    return Age && *Age < Options.MaxKeyAge - Options.KeyAgeMargin;
  }

  /// Returns whether the configuration is fresh enough to reject, as unknown,
  /// what it does not list.
  bool isFreshForAbsence(instant Now, const freshness_options &Options) const {
    const auto Age = age(Now);
    return Age && *Age < Options.MaxApplyDelay;
  }

  /// Records that the store holds, or has held, the configuration with
  /// \p Revision.
  void onKnown(std::int64_t Revision, instant Now) {
    KnownRevision = std::max(KnownRevision, Revision);
    if (KnownRevision > HandledRevision && !BehindSince)
      BehindSince = Now;
  }

  /// Records that the configuration with \p Revision was read.
  void onHandled(std::int64_t Revision) {
    HandledRevision = std::max(HandledRevision, Revision);
    if (HandledRevision >= KnownRevision)
      BehindSince.reset();
  }

  /// Returns whether the configuration in force is known to have been replaced
  /// and may have been for too long. An instance that is cut off knows of no
  /// newer one and goes on with the one that it has.
  bool isReplaced(instant Now, const freshness_options &Options) const {
    return BehindSince && !isFreshForAbsence(Now, Options);
  }

  /// Returns for how long a newer configuration than the one in force has been
  /// known to exist; nothing if there is none.
  std::optional<span_ns> behindFor(instant Now) const {
    if (!BehindSince)
      return std::nullopt;
    return Now - *BehindSince;
  }

private:
  std::optional<instant> ReadSentAt;
  instant ConfirmsFrom; ///< unset unless the store was restored
  std::int64_t KnownRevision = 0;
  std::int64_t HandledRevision = 0;
  std::optional<instant> BehindSince;
};

} // namespace ebonyvale

#endif

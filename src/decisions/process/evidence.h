/// \file
/// How old the proof is that the configuration in force is still the newest.
#ifndef EBONYVALE_DECISIONS_PROCESS_EVIDENCE_H
#define EBONYVALE_DECISIONS_PROCESS_EVIDENCE_H

#include "common/instant.h"

#include <algorithm>
#include <optional>

namespace ebonyvale {

/// Shown where nothing has been proved yet.
inline constexpr span_ns UnknownAge = std::chrono::milliseconds(-1);

/// Terms of trust in what was read from the store.
struct evidence_terms {
  /// A withdrawn key must not run a request sent later than this.
  span_ns KeyBound = std::chrono::milliseconds(5000);
  /// Taken off the bound: timer lateness and time on the way to an upstream.
  span_ns KeyMargin = std::chrono::milliseconds(300);
  /// An accepted version is in force everywhere within it.
  span_ns ApplyBound = std::chrono::milliseconds(2500);
};

/// The newest plain read. A read proves the state as of when it was sent, on a
/// clock that counts suspension.
class evidence {
public:
  void onRead(instant SentAt) {
    ReadSentAt = ReadSentAt ? std::max(*ReadSentAt, SentAt) : SentAt;
  }

  /// Time since the state was proved; nothing before the first read.
  std::optional<span_ns> age(instant Now) const {
    if (!ReadSentAt)
      return std::nullopt;
    return Now - *ReadSentAt;
  }

  /// Whether a key that is in the configuration may still be used.
  bool coversKeys(instant Now, const evidence_terms &Terms) const {
    const auto Age = age(Now);
    return Age && *Age < Terms.KeyBound - Terms.KeyMargin;
  }

  /// Whether what is missing from the configuration may be called unknown.
  bool coversAbsence(instant Now, const evidence_terms &Terms) const {
    const auto Age = age(Now);
    return Age && *Age < Terms.ApplyBound;
  }

private:
  std::optional<instant> ReadSentAt;
};

} // namespace ebonyvale

#endif

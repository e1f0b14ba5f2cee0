/// \file
/// An in-memory key-value store with revisions and leases, on virtual time.
#ifndef EBONYVALE_FAKES_KEY_VALUE_MODEL_H
#define EBONYVALE_FAKES_KEY_VALUE_MODEL_H

#include "common/instant.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A stored key with its value and metadata.
struct key_value {
  std::string Key;
  std::string Value;
  std::int64_t CreateRevision = 0; ///< revision that created the key
  std::int64_t ModRevision = 0;    ///< revision that last modified it
  std::int64_t Lease = 0;          ///< 0 for none
};

/// A change as reported to watches.
struct key_change {
  std::int64_t Revision = 0;
  bool Deleted = false;
  key_value Entry; ///< the new entry, or the deleted one
};

/// The store. Each put, and each range deletion that deletes at least one key,
/// raises the revision by 1.
class key_value_model {
public:
  std::int64_t revision() const { return Revision; }

  std::optional<key_value> get(std::string_view Key) const;

  /// Returns the entries with \p From <= key < \p To, ordered by key.
  std::vector<key_value> range(std::string_view From,
                               std::string_view To) const;

  /// Writes \p Key and attaches it to \p Lease; 0 for none.
  void put(const std::string &Key, std::string Value, std::int64_t Lease);

  /// Deletes the keys with \p From <= key < \p To and returns their number.
  std::size_t eraseRange(std::string_view From, std::string_view To);

  /// Grants a lease of \p Duration and returns its id.
  std::int64_t grantLease(span_ns Duration, instant Now);

  /// Renews \p Lease for its duration; returns false if it has expired.
  bool renewLease(std::int64_t Lease, instant Now);

  bool hasLease(std::int64_t Lease) const { return Leases.contains(Lease); }

  /// Grants no lease id again that \p Other has granted.
  void continueLeasesAfter(const key_value_model &Other) {
    LastLease = std::max(LastLease, Other.LastLease);
  }

  /// Revokes \p Lease and deletes its keys.
  void revokeLease(std::int64_t Lease);

  /// Revokes the leases that have expired by \p Now.
  void expire(instant Now);

  /// Returns the changes to keys with \p From <= key < \p To, from revision
  /// \p Since on (inclusive).
  std::vector<key_change> changesSince(std::int64_t Since,
                                       std::string_view From,
                                       std::string_view To) const;

private:
  struct lease {
    span_ns Duration;
    instant ExpiresAt;
  };

  void record(bool Deleted, const key_value &Entry);

  std::map<std::string, key_value, std::less<>> Entries;
  std::map<std::int64_t, lease> Leases;
  std::deque<key_change> History;
  std::int64_t Revision = 1;
  std::int64_t LastLease = 0;
};

} // namespace ebonyvale

#endif

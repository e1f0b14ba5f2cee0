/// \file
/// A key-value store with revisions, compare-and-swap and leases, on virtual
/// time.
#ifndef EBONYVALE_FAKES_KEY_VALUE_MODEL_H
#define EBONYVALE_FAKES_KEY_VALUE_MODEL_H

#include "common/instant.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A key with its value.
struct key_value {
  std::string Key;
  std::string Value;
  std::int64_t CreateRevision = 0;
  std::int64_t ModRevision = 0;
  std::int64_t Lease = 0; ///< 0 for none
};

/// A change, as watches see it.
struct key_change {
  std::int64_t Revision = 0;
  bool Deleted = false;
  key_value Entry;
};

/// The store.
class key_value_model {
public:
  std::int64_t revision() const { return Revision; }

  std::optional<key_value> get(std::string_view Key) const;

  /// Entries with \p From <= key < \p To, in order.
  std::vector<key_value> range(std::string_view From,
                               std::string_view To) const;

  void put(const std::string &Key, std::string Value, std::int64_t Lease);

  /// Deletes \p From <= key < \p To; returns how many there were.
  std::size_t eraseRange(std::string_view From, std::string_view To);

  /// Grants a lease for \p Term.
  std::int64_t grantLease(span_ns Term, instant Now);

  /// Renews a lease; false when it has lapsed.
  bool renewLease(std::int64_t Lease, instant Now);

  bool hasLease(std::int64_t Lease) const { return Leases.contains(Lease); }

  /// Ends a lease and deletes its keys.
  void revokeLease(std::int64_t Lease);

  /// Ends the leases that have lapsed.
  void expire(instant Now);

  /// Changes since \p Revision, that one included.
  std::vector<key_change> changesSince(std::int64_t Since,
                                       std::string_view From,
                                       std::string_view To) const;

private:
  struct lease {
    span_ns Term;
    instant Until;
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

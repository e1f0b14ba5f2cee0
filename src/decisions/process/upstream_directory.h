/// \file
/// The upstreams that the platform's discovery names, and which of them may
/// get new work.
#ifndef EBONYVALE_DECISIONS_PROCESS_UPSTREAM_DIRECTORY_H
#define EBONYVALE_DECISIONS_PROCESS_UPSTREAM_DIRECTORY_H

#include "common/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A discovered upstream, as its own entry describes it.
struct upstream_entry {
  std::string Id; ///< of this process of the upstream, with `Born` unique
  std::int64_t Born = 0; ///< ms since the Unix epoch; 0 where it is not told
  std::string Service;
  std::string Address;
  std::uint16_t Port = 0;
  std::string Domain;
  std::int64_t Slots = 1;
  bool Draining = false;
  std::map<std::string, std::int64_t, std::less<>> Models; ///< name -> weights

  /// Whether both name the same run of the same process.
  bool sameIncarnation(const upstream_entry &Other) const {
    return Id == Other.Id && Born == Other.Born && Address == Other.Address &&
           Port == Other.Port;
  }
};

/// How a listing relates to what was known before it.
enum class listing_kind {
  Continuous, ///< no change can have been missed or be due to an outage
  AfterOutage ///< entries may be missing only because they lapsed
};

/// Keeps the entries over outages of the store.
class upstream_directory {
public:
  /// How long entries that an outage may have removed are kept after the store
  /// is back: living upstreams are listed again by then.
  static constexpr span_ns LapseGrace = std::chrono::milliseconds(2000);

  /// Replaces all entries by a whole listing.
  void setAll(std::vector<upstream_entry> Entries, listing_kind Kind,
              instant Now);

  /// An entry was written. Nothing replaces an entry that cannot be read.
  void put(std::string_view Id, std::optional<upstream_entry> Entry);

  /// An entry was removed.
  void remove(std::string_view Id);

  /// Drops entries whose grace has passed. Returns whether any was dropped.
  bool expire(instant Now);

  const upstream_entry *find(std::string_view Id) const;

  /// Entries that may get new work, by id.
  std::vector<const upstream_entry *> usable(std::string_view Service) const;

  /// Changes with every change of the entries.
  std::uint64_t generation() const { return Generation; }

  const std::map<std::string, upstream_entry, std::less<>> &all() const {
    return Entries;
  }

private:
  std::map<std::string, upstream_entry, std::less<>> Entries;
  std::map<std::string, instant, std::less<>> MissingUntil;
  std::uint64_t Generation = 0;
};

} // namespace ebonyvale

#endif

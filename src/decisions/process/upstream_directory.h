/// \file
/// The discovered upstreams, and which of them may get new requests.
#ifndef EBONYVALE_DECISIONS_PROCESS_UPSTREAM_DIRECTORY_H
#define EBONYVALE_DECISIONS_PROCESS_UPSTREAM_DIRECTORY_H

#include "common/instant.h"
#include "decisions/process/upstream_departures.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A discovered upstream, as registered in the store.
struct upstream_entry {
  std::string Id;        ///< with `Born`, identifies a process
  std::int64_t Born = 0; ///< start in ms since the Unix epoch; 0 if unknown
  std::string Service;
  std::string Software; ///< version of the upstream's software
  std::string Address;
  std::uint16_t Port = 0;
  std::string Domain;
  std::int64_t Slots = 1;
  span_ns ColdFor{0};    ///< time for which it is slow, as the entry says
  instant WarmAt;        ///< end of that time, by when the entry was read
  bool Draining = false; ///< as the entry says
  bool Leaving = false;  ///< as its responses say
  /// Weights version by model name.
  std::map<std::string, std::int64_t, std::less<>> Models;

  upstream_process process() const { return {Id, Born, Address, Port}; }
  /// Returns whether both describe the same process at the same address.
  bool sameIncarnation(const upstream_entry &Other) const {
    return Id == Other.Id && Born == Other.Born && Address == Other.Address &&
           Port == Other.Port;
  }
  /// Returns whether the upstream takes new requests.
  bool isOpen() const { return !Draining && !Leaving; }
};

/// Whether entries that are missing from a listing may have expired during an
/// outage of the store.
enum class listing_kind {
  Continuous,  ///< missing entries were removed
  AfterOutage, ///< leases may have expired because they could not be renewed
  AfterRestore ///< as after an outage, and entries are those of an older copy
};

/// Holds the discovered upstreams, also through outages of the store.
class upstream_directory {
public:
  /// How long entries that may have expired in an outage are kept once the
  /// store is back: live upstreams have registered again by then.
  static constexpr span_ns ExpiryGrace = std::chrono::milliseconds(2000);

  /// How long an upstream that is gone is remembered: until then it may appear
  /// again in an older copy of the store.
  static constexpr span_ns GoneMemory = std::chrono::seconds(60);

  /// Replaces all entries by a complete listing. After an outage, entries
  /// missing from it are kept for `ExpiryGrace`. After a restore, upstreams
  /// that are known to be leaving or gone remain so until `put` has them again.
  void setAll(std::vector<upstream_entry> Entries, listing_kind Kind,
              instant Now);

  /// Records a written entry. One that cannot be parsed, passed as nothing,
  /// removes the upstream.
  void put(std::string_view Id, std::optional<upstream_entry> Entry,
           instant Now);

  /// Removes an entry, if present.
  void remove(std::string_view Id, instant Now);

  /// Records that \p Process has stated in a response that it leaves; holds
  /// whatever entry of it is written later. Returns whether that is news.
  bool onLeaving(const upstream_process &Process, instant Now);
  const upstream_departures &departures() const { return Departures; }

  /// Drops entries whose grace period has ended, and forgets upstreams that
  /// have left. Returns whether any entry was dropped.
  bool expire(instant Now);

  /// Returns an entry, or null if there is none.
  const upstream_entry *find(std::string_view Id) const;

  /// Returns the entries of \p Service that take new requests, ordered by id.
  std::vector<const upstream_entry *> usable(std::string_view Service) const;

  /// Returns a number that increases with every change of the entries.
  std::uint64_t generation() const { return Generation; }

  const std::map<std::string, upstream_entry, std::less<>> &all() const {
    return Entries;
  }

private:
  /// The last entry of the process of an id that went last.
  struct gone_upstream {
    upstream_entry Entry;
    instant At; ///< when it went
  };

  /// Remembers \p Entry as gone if \p Next, listed later under its id, is of
  /// another process.
  void onReplaced(upstream_entry Entry, const upstream_entry &Next,
                  instant Now);
  /// Sets whether each entry's process leaves.
  void updateLeaving();
  /// Corrects an entry of an older copy by what is known. Returns whether the
  /// upstream may exist.
  bool correctCopy(
      upstream_entry &Entry,
      const std::map<std::string, upstream_entry, std::less<>> &Before) const;

  std::map<std::string, upstream_entry, std::less<>> Entries;
  std::map<std::string, instant, std::less<>> KeepUntil;
  std::map<std::string, gone_upstream, std::less<>> Gone;
  upstream_departures Departures;
  std::uint64_t Generation = 0;
};

} // namespace ebonyvale

#endif

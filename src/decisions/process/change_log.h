/// \file
/// The latest changes of the store that an instance has received, for peers
/// that follow it instead of the store.
#ifndef EBONYVALE_DECISIONS_PROCESS_CHANGE_LOG_H
#define EBONYVALE_DECISIONS_PROCESS_CHANGE_LOG_H

#include "common/instant.h"
#include "decisions/process/store_item.h"
#include "decisions/process/upstream_directory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ebonyvale {

/// Changes after a revision, in the order of their revisions.
struct change_batch {
  /// The log does not reach back to the revision: changes may be missing, and
  /// the other fields but `GapKind` are not set.
  bool HasGap = false;
  listing_kind GapKind = listing_kind::Continuous; ///< cause of the gap
  /// The log has the changes, but they are too long for a message.
  bool IsTooLong = false;
  std::vector<store_item> Items;
  std::int64_t Revision = 0; ///< `Items` has all changes up to it
  bool HasMore = false;      ///< later changes did not fit into the batch
};

/// Keeps the last change of each key, for a limited time and size. Earlier
/// changes of a key are dropped, since its last one replaces them.
class change_log {
public:
  /// Time for which a change is kept. Peers poll far more often.
  static constexpr span_ns MaxAge = std::chrono::seconds(20);
  /// Total size of the changes kept.
  static constexpr std::size_t MaxBytes = 2 * 1024 * 1024;

  /// Drops all changes; the log continues after \p Revision. \p Kind tells
  /// whether changes were missed in an outage of the store.
  void restart(std::int64_t Revision, listing_kind Kind);

  /// Adds a change. Its revision must not be below that of an earlier one.
  void append(const store_item &Item, instant Now);

  /// Records that there are no further changes up to \p Revision.
  void advance(std::int64_t Revision, instant Now);

  /// Returns the changes after \p Revision, at least one if there are any, and
  /// otherwise at most \p Limit bytes.
  change_batch since(std::int64_t Revision, std::size_t Limit) const;

  /// Returns the revision up to which all changes are known.
  std::int64_t revision() const { return End; }

private:
  /// Revision of a change and its number in the log: several changes may share
  /// the revision of one write.
  using position = std::pair<std::int64_t, std::uint64_t>;
  struct entry {
    store_item Item;
    instant At;
  };

  void dropOld(instant Now);
  void erase(std::map<position, entry>::iterator Entry);

  std::map<position, entry> Entries;
  std::map<std::string, position, std::less<>> Last; ///< by key
  std::uint64_t Appended = 0;
  std::size_t Bytes = 0;
  std::int64_t Begin = 0; ///< the log reaches back to it
  std::int64_t End = 0;
  listing_kind Kind = listing_kind::Continuous;
};

} // namespace ebonyvale

#endif

/// \file
/// Revisions of a store that may be restored from an older copy.
///
/// The store counts its changes. When it is restored, the counter goes back and
/// its numbers are given out again; its era rises by one. A revision holds the
/// era above the counter, so that it never goes back: a later change always has
/// a higher revision, whatever was lost in between.
#ifndef EBONYVALE_GATEWAY_PROCESS_STORE_REVISION_H
#define EBONYVALE_GATEWAY_PROCESS_STORE_REVISION_H

#include <cstdint>

namespace ebonyvale {

inline constexpr int RevisionCounterBits = 40;
inline constexpr int RevisionEraBits = 22; ///< both fit into 63 bits

/// Returns whether a revision can hold \p Era and \p Counter.
constexpr bool fitsRevision(std::int64_t Era, std::int64_t Counter) {
  return Era >= 0 && Era < std::int64_t{1} << RevisionEraBits && Counter >= 0 &&
         Counter < std::int64_t{1} << RevisionCounterBits;
}

/// Returns the revision of the change \p Counter in \p Era. Requires that
/// `fitsRevision` holds.
constexpr std::int64_t storeRevision(std::int64_t Era, std::int64_t Counter) {
  return (Era << RevisionCounterBits) | Counter;
}

/// Returns the number of restores before \p Revision.
constexpr std::int64_t eraOf(std::int64_t Revision) {
  return Revision >> RevisionCounterBits;
}

/// Returns the store's own number of \p Revision.
constexpr std::int64_t counterOf(std::int64_t Revision) {
  return Revision & ((std::int64_t{1} << RevisionCounterBits) - 1);
}

} // namespace ebonyvale

#endif

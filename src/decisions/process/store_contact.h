/// \file
/// Whether leases of the store may have expired because their owners could not
/// renew them, judged by this instance's own calls.
#ifndef EBONYVALE_DECISIONS_PROCESS_STORE_CONTACT_H
#define EBONYVALE_DECISIONS_PROCESS_STORE_CONTACT_H

#include "common/instant.h"
#include "decisions/process/upstream_directory.h"

#include <optional>

namespace ebonyvale {

/// Tells an outage of the store from a watch that was cut. The store may end a
/// waiting watch at any time while it responds to all other calls.
class store_contact {
public:
  /// No response for this long counts as an outage, whichever call waits.
  static constexpr span_ns MaxSilence = std::chrono::milliseconds(1500);

  /// Records a response of the store.
  void onResponse(instant Now);
  /// Records that a call other than a watch failed.
  void onFailure() { IsOutage = true; }
  /// Records that all changes up to \p Now are known: what expired before has
  /// been seen.
  void onCurrent(instant Now);

  /// Returns the kind of a listing that was received at \p Now.
  listing_kind listingKind(instant Now) const;

private:
  bool isSilent(instant Now) const {
    return RespondedAt && Now - *RespondedAt > MaxSilence;
  }

  std::optional<instant> RespondedAt; ///< the last response
  bool IsOutage = false;              ///< since all changes were known
};

} // namespace ebonyvale

#endif

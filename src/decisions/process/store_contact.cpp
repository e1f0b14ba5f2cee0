#include "decisions/process/store_contact.h"

namespace ebonyvale {

void store_contact::onResponse(instant Now) {
  IsOutage = IsOutage || isSilent(Now);
  RespondedAt = Now;
}

void store_contact::onCurrent(instant Now) {
  IsOutage = false;
  RespondedAt = Now;
}

listing_kind store_contact::listingKind(instant Now) const {
  return IsOutage || isSilent(Now) ? listing_kind::AfterOutage
                                   : listing_kind::Continuous;
}

} // namespace ebonyvale

#include "decisions/process/response_activity.h"

#include <algorithm>

namespace ebonyvale {

void response_activity::onBytes(std::size_t Count, instant Now) {
  Bytes += Count;
  ArrivesAtOnce = ArrivesAtOnce && Bytes <= MaxUnacknowledged;
  if (ArrivesAtOnce)
    AliveAt = std::max(AliveAt, Now - MaxTransit);
}

} // namespace ebonyvale

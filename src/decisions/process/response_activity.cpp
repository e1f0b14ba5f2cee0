#include "decisions/process/response_activity.h"

namespace ebonyvale {

void response_activity::onBytes(std::size_t Count, instant Now) {
  Bytes += Count;
  ArrivesAtOnce = ArrivesAtOnce && Bytes <= MaxUnacknowledged;
  if (!ArrivesAtOnce)
    return;
  if (!ArrivedAt) {
    ArrivedAt = Now;
  } else if (Now - *ArrivedAt >= MinGap) {
    AliveAt = *ArrivedAt;
    ArrivedAt = Now;
  }
}

} // namespace ebonyvale

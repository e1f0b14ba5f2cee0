#include "net/transfer_deadline.h"

#include <algorithm>

namespace ebonyvale {

void transfer_deadline::start(span_ns FirstByte, span_ns MaxSilence) {
  Silence = MaxSilence;
  End = {};
  Expiry.startOnce(FirstByte);
}

void transfer_deadline::onProgress(instant Now) {
  if (End == instant())
    End = Now + MaxTransferTime;
  Expiry.startOnce(std::max(std::min(Silence, End - Now), span_ns(0)));
}

} // namespace ebonyvale

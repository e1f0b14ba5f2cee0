/// \file
/// Messages between instances on releases of software.
#ifndef EBONYVALE_GATEWAY_PROCESS_RELEASE_EXCHANGE_H
#define EBONYVALE_GATEWAY_PROCESS_RELEASE_EXCHANGE_H

#include "decisions/process/service_releases.h"

#include <cstdint>
#include <optional>

namespace ebonyvale {

/// What an instance tells of the release of one service.
struct release_message {
  release_news News;
  std::optional<release_status> Status; ///< as recorded in the store
  std::int64_t StatusRevision = 0;      ///< of the record
  evidence_source Source;
  std::optional<evidence_summary> Evidence;
};

/// Receives the messages of peers.
class release_exchange {
public:
  virtual ~release_exchange() = default;
  virtual void onPeerRelease(const release_message &Message) = 0;
};

} // namespace ebonyvale

#endif

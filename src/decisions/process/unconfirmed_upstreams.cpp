#include "decisions/process/unconfirmed_upstreams.h"

namespace ebonyvale {

bool unconfirmed_upstreams::onConnectionLost(const upstream_process &Process,
                                             instant Now) {
  const auto [Position, Inserted] = Doubts.try_emplace(Process.Id);
  doubt &Doubt = Position->second;
  const bool WasConfirmed = Inserted || Doubt.Process != Process;
  Doubt = {Process, Now};
  return WasConfirmed;
}

bool unconfirmed_upstreams::isConfirmed(const upstream_entry &Entry,
                                        std::optional<instant> ListedAt) const {
  const auto Found = Doubts.find(Entry.Id);
  if (Found == Doubts.end() || Found->second.Process != Entry.process())
    return true;
  return ListedAt && *ListedAt - Found->second.Since >= ListingTime;
}

void unconfirmed_upstreams::expire(instant ListedAt) {
  std::erase_if(Doubts, [ListedAt](const auto &Known) {
    return ListedAt - Known.second.Since >= ListingTime;
  });
}

} // namespace ebonyvale

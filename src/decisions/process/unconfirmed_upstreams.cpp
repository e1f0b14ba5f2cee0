#include "decisions/process/unconfirmed_upstreams.h"

namespace ebonyvale {

bool unconfirmed_upstreams::onConnectionLost(const upstream_process &Process,
                                             instant Now) {
  const auto [Position, Inserted] = Doubts.try_emplace(Process.Id);
  doubt &Doubt = Position->second;
  if (!Inserted && Doubt.Process == Process) {
    Doubt.Since = Now;
    return false;
  }
  Doubt = {Process, Now};
  return true;
}

start_evidence unconfirmed_upstreams::onStarted(const upstream_process &Listed,
                                                std::int64_t Born,
                                                instant SentAt) {
  if (Born == 0 || Listed.Born == 0)
    return start_evidence::None;
  const auto Found = Doubts.find(Listed.Id);
  const bool InDoubt = Found != Doubts.end() && Found->second.Process == Listed;
  if (Born != Listed.Born) {
    if (InDoubt)
      Found->second.IsReplaced = true;
    return start_evidence::OtherProcess;
  }
  if (!InDoubt)
    return start_evidence::Confirmed;
  if (Found->second.IsReplaced || SentAt < Found->second.Since)
    return start_evidence::SameProcess;
  Doubts.erase(Found);
  return start_evidence::Confirmed;
}

bool unconfirmed_upstreams::isConfirmed(const upstream_entry &Entry,
                                        std::optional<instant> ListedAt) const {
  const auto Found = Doubts.find(Entry.Id);
  if (Found == Doubts.end() || Found->second.Process != Entry.process())
    return true;
  return !Found->second.IsReplaced && ListedAt &&
         *ListedAt - Found->second.Since >= ListingTime;
}

void unconfirmed_upstreams::expire(const upstream_directory &Directory,
                                   instant ListedAt) {
  std::erase_if(Doubts, [&](const auto &Known) {
    const doubt &Doubt = Known.second;
    if (!Doubt.IsReplaced)
      return ListedAt - Doubt.Since >= ListingTime;
    const upstream_entry *Entry = Directory.find(Known.first);
    if (Entry)
      return Entry->process() != Doubt.Process;
    // An older copy of the store may list it again.
    return ListedAt - Doubt.Since >= upstream_directory::GoneMemory;
  });
}

} // namespace ebonyvale

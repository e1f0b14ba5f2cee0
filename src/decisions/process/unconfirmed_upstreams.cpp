#include "decisions/process/unconfirmed_upstreams.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {

const unconfirmed_upstreams::doubt *
unconfirmed_upstreams::find(const upstream_process &Process) const {
  const auto Found = Doubts.find(Process.Id);
  if (Found == Doubts.end())
    return nullptr;
  const auto Doubt = std::ranges::find(Found->second, Process, &doubt::Process);
  return Doubt == Found->second.end() ? nullptr : &*Doubt;
}

unconfirmed_upstreams::doubt *
unconfirmed_upstreams::find(const upstream_process &Process) {
  return const_cast<doubt *>(std::as_const(*this).find(Process));
}

bool unconfirmed_upstreams::onConnectionLost(const upstream_process &Process,
                                             instant Now) {
  if (doubt *Doubt = find(Process)) {
    Doubt->Since = Now;
    return false;
  }
  Doubts[Process.Id].push_back({Process, Now, {}, {}});
  return true;
}

start_evidence unconfirmed_upstreams::onStarted(const upstream_process &Listed,
                                                std::int64_t Born,
                                                bool KeepsConnection,
                                                instant SentAt) {
  if (Born == 0 || Listed.Born == 0)
    return start_evidence::None;
  doubt *Doubt = find(Listed);
  if (Born != Listed.Born) {
    if (!Doubt)
      Doubt = &Doubts[Listed.Id].emplace_back(doubt{Listed, SentAt, {}, {}});
    Doubt->ReplacedAt = SentAt;
    return start_evidence::OtherProcess;
  }
  if (!Doubt)
    return start_evidence::Confirmed;
  // Processes follow each other, so the other statement was not of a later one.
  if (Doubt->ReplacedAt && SentAt > *Doubt->ReplacedAt)
    Doubt->ReplacedAt.reset();
  if (Doubt->ReplacedAt || !KeepsConnection || SentAt < Doubt->Since)
    return start_evidence::SameProcess;
  Doubt->StatedAt = SentAt;
  return start_evidence::Confirmed;
}

bool unconfirmed_upstreams::isListed(const upstream_entry &Entry,
                                     std::optional<instant> ListedAt) const {
  const doubt *Doubt = find(Entry.process());
  if (!Doubt)
    return true;
  return !Doubt->ReplacedAt && ListedAt &&
         *ListedAt - Doubt->Since >= ListingTime;
}

bool unconfirmed_upstreams::isConfirmed(const upstream_entry &Entry,
                                        std::optional<instant> ListedAt,
                                        instant Now) const {
  if (isListed(Entry, ListedAt))
    return true;
  const doubt *Doubt = find(Entry.process());
  return !Doubt->ReplacedAt && Doubt->StatedAt &&
         *Doubt->StatedAt >= Doubt->Since &&
         Now - *Doubt->StatedAt < StatementTtl;
}

void unconfirmed_upstreams::expire(const upstream_directory &Directory,
                                   instant ListedAt) {
  for (auto &[Id, Known] : Doubts) {
    const upstream_entry *Entry = Directory.find(Id);
    std::erase_if(Known, [&](const doubt &Doubt) {
      if (!Doubt.ReplacedAt)
        return ListedAt - Doubt.Since >= ListingTime;
      // An older copy of the store may list it again.
      const bool IsListed = Entry && Entry->process() == Doubt.Process;
      return !IsListed &&
             ListedAt - *Doubt.ReplacedAt >= upstream_directory::GoneMemory;
    });
  }
  std::erase_if(Doubts, [](const auto &Known) { return Known.second.empty(); });
}

} // namespace ebonyvale

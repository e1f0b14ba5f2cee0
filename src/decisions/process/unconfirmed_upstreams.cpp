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
  Doubts[Process.Id].push_back({Process, Now, {}});
  return true;
}

start_evidence unconfirmed_upstreams::onStarted(const upstream_process &Listed,
                                                std::int64_t Born,
                                                instant SentAt) {
  if (Born == 0 || Listed.Born == 0)
    return start_evidence::None;
  doubt *Doubt = find(Listed);
  if (Born != Listed.Born) {
    if (!Doubt)
      Doubt = &Doubts[Listed.Id].emplace_back(doubt{Listed, SentAt, {}});
    Doubt->ReplacedAt = SentAt;
    return start_evidence::OtherProcess;
  }
  // Processes follow each other, so the other statement was not of a later one.
  if (Doubt && Doubt->ReplacedAt && SentAt > *Doubt->ReplacedAt)
    Doubt->ReplacedAt.reset();
  return start_evidence::SameProcess;
}

void unconfirmed_upstreams::onStartless(const upstream_process &Process) {
  Startless.insert_or_assign(Process.Id, Process);
}

bool unconfirmed_upstreams::statesStart(const upstream_entry &Entry) const {
  const auto Found = Startless.find(Entry.Id);
  return Entry.Born != 0 &&
         (Found == Startless.end() || Found->second != Entry.process());
}

bool unconfirmed_upstreams::isReplaced(const upstream_entry &Entry) const {
  const doubt *Doubt = find(Entry.process());
  return Doubt && Doubt->ReplacedAt;
}

bool unconfirmed_upstreams::isListed(const upstream_entry &Entry,
                                     std::optional<instant> ListedAt) const {
  const doubt *Doubt = find(Entry.process());
  if (!Doubt)
    return true;
  return !Doubt->ReplacedAt && ListedAt &&
         *ListedAt - Doubt->Since >= ListingTime;
}

void unconfirmed_upstreams::expire(const upstream_directory &Directory,
                                   instant ListedAt) {
  const auto IsListedNow = [&](const upstream_process &Process) {
    const upstream_entry *Entry = Directory.find(Process.Id);
    return Entry && Entry->process() == Process;
  };
  for (auto &[Id, Known] : Doubts)
    std::erase_if(Known, [&](const doubt &Doubt) {
      if (!Doubt.ReplacedAt)
        return ListedAt - Doubt.Since >= ListingTime;
      // An older copy of the store may list it again.
      return !IsListedNow(Doubt.Process) &&
             ListedAt - *Doubt.ReplacedAt >= upstream_directory::GoneMemory;
    });
  std::erase_if(Doubts, [](const auto &Known) { return Known.second.empty(); });
  std::erase_if(Startless,
                [&](const auto &Known) { return !IsListedNow(Known.second); });
}

} // namespace ebonyvale

#include "decisions/process/upstream_directory.h"

#include <utility>

namespace ebonyvale {

void upstream_directory::setAll(std::vector<upstream_entry> Listed,
                                listing_kind Kind, instant Now) {
  auto Before = std::exchange(Entries, {});
  for (upstream_entry &Entry : Listed) {
    if (Kind == listing_kind::AfterRestore && !correctCopy(Entry, Before))
      continue;
    KeepUntil.erase(Entry.Id);
    Entries.insert_or_assign(Entry.Id, std::move(Entry));
  }
  ++Generation;
  for (auto &[Id, Entry] : Before) {
    if (const auto Next = Entries.find(Id); Next != Entries.end()) {
      // What an older copy lists may have run before.
      if (Kind != listing_kind::AfterRestore)
        onReplaced(std::move(Entry), Next->second, Now);
      continue;
    }
    const auto Missing = KeepUntil.find(Id);
    const bool Keep = Missing != KeepUntil.end()
                          ? Now < Missing->second
                          : Kind != listing_kind::Continuous;
    if (!Keep) {
      KeepUntil.erase(Id);
      Gone.insert_or_assign(Id, gone_upstream{std::move(Entry), Now});
      continue;
    }
    KeepUntil.try_emplace(Id, Now + ExpiryGrace);
    Entries.emplace(Id, std::move(Entry));
  }
  updateLeaving();
}

bool upstream_directory::correctCopy(
    upstream_entry &Entry,
    const std::map<std::string, upstream_entry, std::less<>> &Before) const {
  const auto Left = Gone.find(Entry.Id);
  if (Left != Gone.end() && Left->second.Entry.sameIncarnation(Entry))
    return false;
  const auto Known = Before.find(Entry.Id);
  if (Known != Before.end() && Known->second.sameIncarnation(Entry))
    Entry.Draining = Entry.Draining || Known->second.Draining;
  return true;
}

void upstream_directory::put(std::string_view Id,
                             std::optional<upstream_entry> Entry, instant Now) {
  if (!Entry)
    return remove(Id, Now);
  KeepUntil.erase(std::string(Id));
  if (const auto Left = Gone.find(Id);
      Left != Gone.end() && Left->second.Entry.sameIncarnation(*Entry))
    Gone.erase(Left);
  if (const auto Found = Entries.find(Id); Found != Entries.end())
    onReplaced(std::move(Found->second), *Entry, Now);
  Entry->Leaving = Departures.contains(Entry->process());
  Entries.insert_or_assign(std::string(Id), std::move(*Entry));
  ++Generation;
}

void upstream_directory::onReplaced(upstream_entry Entry,
                                    const upstream_entry &Next, instant Now) {
  if (!Entry.sameIncarnation(Next))
    Gone.insert_or_assign(Next.Id, gone_upstream{std::move(Entry), Now});
}

void upstream_directory::remove(std::string_view Id, instant Now) {
  if (const auto Found = KeepUntil.find(Id); Found != KeepUntil.end())
    KeepUntil.erase(Found);
  if (const auto Found = Entries.find(Id); Found != Entries.end()) {
    Gone.insert_or_assign(Found->first,
                          gone_upstream{std::move(Found->second), Now});
    Entries.erase(Found);
    ++Generation;
  }
}

bool upstream_directory::onLeaving(const upstream_process &Process,
                                   instant Now) {
  if (!Departures.add(Process, Now))
    return false;
  updateLeaving();
  return true;
}

void upstream_directory::updateLeaving() {
  for (auto &[Id, Entry] : Entries) {
    const bool Leaving = Departures.contains(Entry.process());
    if (std::exchange(Entry.Leaving, Leaving) != Leaving)
      ++Generation;
  }
}

bool upstream_directory::expire(instant Now) {
  const auto IsListed = [this](const upstream_process &Process) {
    const upstream_entry *Entry = find(Process.Id);
    return Entry && Entry->process() == Process;
  };
  if (Departures.expire(IsListed, Now))
    updateLeaving();
  std::erase_if(Gone, [Now](const auto &Left) {
    return Now - Left.second.At > GoneMemory;
  });
  bool Dropped = false;
  for (auto Next = KeepUntil.begin(); Next != KeepUntil.end();) {
    if (Now < Next->second) {
      ++Next;
      continue;
    }
    if (auto Node = Entries.extract(Next->first))
      Gone.insert_or_assign(Node.key(),
                            gone_upstream{std::move(Node.mapped()), Now});
    Next = KeepUntil.erase(Next);
    ++Generation;
    Dropped = true;
  }
  return Dropped;
}

const upstream_entry *upstream_directory::find(std::string_view Id) const {
  const auto Found = Entries.find(Id);
  return Found == Entries.end() ? nullptr : &Found->second;
}

std::vector<const upstream_entry *>
upstream_directory::usable(std::string_view Service) const {
  std::vector<const upstream_entry *> Found;
  for (const auto &[Id, Entry] : Entries)
    if (Entry.Service == Service && Entry.isOpen())
      Found.push_back(&Entry);
  return Found;
}

} // namespace ebonyvale

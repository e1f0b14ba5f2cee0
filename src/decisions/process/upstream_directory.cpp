#include "decisions/process/upstream_directory.h"

#include <utility>

namespace ebonyvale {

void upstream_directory::setAll(std::vector<upstream_entry> Listed,
                                listing_kind Kind, instant Now) {
  auto Before = std::exchange(Entries, {});
  for (upstream_entry &Entry : Listed) {
    KeepUntil.erase(Entry.Id);
    Entries.insert_or_assign(Entry.Id, std::move(Entry));
  }
  ++Generation;
  for (auto &[Id, Entry] : Before) {
    if (Entries.contains(Id))
      continue;
    const auto Missing = KeepUntil.find(Id);
    const bool Keep = Missing != KeepUntil.end()
                          ? Now < Missing->second
                          : Kind == listing_kind::AfterOutage;
    if (!Keep) {
      KeepUntil.erase(Id);
      continue;
    }
    KeepUntil.try_emplace(Id, Now + ExpiryGrace);
    Entries.emplace(Id, std::move(Entry));
  }
}

void upstream_directory::put(std::string_view Id,
                             std::optional<upstream_entry> Entry) {
  if (!Entry)
    return remove(Id);
  KeepUntil.erase(std::string(Id));
  Entries.insert_or_assign(std::string(Id), std::move(*Entry));
  ++Generation;
}

void upstream_directory::remove(std::string_view Id) {
  if (const auto Found = KeepUntil.find(Id); Found != KeepUntil.end())
    KeepUntil.erase(Found);
  if (const auto Found = Entries.find(Id); Found != Entries.end()) {
    Entries.erase(Found);
    ++Generation;
  }
}

bool upstream_directory::expire(instant Now) {
  bool Dropped = false;
  for (auto Next = KeepUntil.begin(); Next != KeepUntil.end();) {
    if (Now < Next->second) {
      ++Next;
      continue;
    }
    Entries.erase(Next->first);
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
    if (Entry.Service == Service && !Entry.Draining)
      Found.push_back(&Entry);
  return Found;
}

} // namespace ebonyvale

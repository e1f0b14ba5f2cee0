#include "decisions/process/crash_tracker.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Number of different processes lost at which a request is quarantined.
constexpr std::size_t QuarantineLosses = 2;

} // namespace

request_fingerprint fingerprintOf(std::string_view Secret,
                                  std::string_view Team,
                                  std::string_view Body) {
  const std::uint64_t SecretHash = XXH3_64bits(Secret.data(), Secret.size());
  const std::uint64_t TeamHash =
      XXH3_64bits_withSeed(Team.data(), Team.size(), SecretHash);
  return XXH3_64bits_withSeed(Body.data(), Body.size(), TeamHash);
}

bool crash_tracker::addLoss(entry &Entry, lost_process Process,
                            instant Now) const {
  for (auto &[Known, At] : Entry.Lost) {
    if (Known.Upstream != Process.Upstream)
      continue;
    if (Known.Born == 0)
      Known.Born = Process.Born;
    if (Process.Born == 0 || Known.Born == Process.Born)
      return false;
  }
  if (Process.Inferred &&
      std::ranges::any_of(Entry.Lost, [&](const counted_loss &Known) {
        return Now - Known.At < Options.OutageDuration;
      }))
    return false;
  if (Entry.Lost.size() >= QuarantineLosses)
    Entry.Lost.erase(Entry.Lost.begin());
  Entry.Lost.push_back({Process, Now});
  return true;
}

void crash_tracker::quarantine(entry &Entry, instant Now) const {
  constexpr unsigned MaxDoublings = 8;
  const span_ns Duration = std::min<span_ns>(
      Options.QuarantineDuration * (std::int64_t{1} << Entry.Quarantines),
      Options.MaxQuarantineDuration);
  Entry.Quarantines = std::min(Entry.Quarantines + 1, MaxDoublings);
  Entry.QuarantinedUntil = Now + Duration;
  Entry.ExpiresAt = Entry.QuarantinedUntil + Options.MaxQuarantineDuration;
}

suspicion crash_tracker::onLost(request_fingerprint Request,
                                lost_process Process, instant Now) {
  makeRoom(Now);
  entry &Entry = Entries[Request];
  if (Entry.ExpiresAt <= Now)
    Entry = {};
  const bool Counts = addLoss(Entry, Process, Now);
  Entry.ExpiresAt = std::max(Entry.ExpiresAt, Now + Options.SuspicionDuration);
  if (Counts && Entry.QuarantinedUntil <= Now &&
      Entry.Lost.size() + Entry.Quarantines >= QuarantineLosses)
    quarantine(Entry, Now);
  return Entry.QuarantinedUntil > Now ? suspicion::Quarantined
                                      : suspicion::Suspected;
}

void crash_tracker::onPeerQuarantine(request_fingerprint Request, instant Now) {
  makeRoom(Now);
  entry &Entry = Entries[Request];
  if (Entry.ExpiresAt <= Now)
    Entry = {};
  if (Entry.QuarantinedUntil <= Now)
    quarantine(Entry, Now);
}

suspicion crash_tracker::check(request_fingerprint Request, instant Now) {
  const auto Found = Entries.find(Request);
  if (Found == Entries.end())
    return suspicion::None;
  if (Found->second.ExpiresAt <= Now) {
    Entries.erase(Found);
    return suspicion::None;
  }
  return Found->second.QuarantinedUntil > Now ? suspicion::Quarantined
                                              : suspicion::Suspected;
}

void crash_tracker::makeRoom(instant Now) {
  if (Entries.size() < Options.MaxEntries)
    return;
  std::erase_if(Entries, [Now](const auto &Entry) {
    return Entry.second.ExpiresAt <= Now;
  });
  while (Entries.size() >= Options.MaxEntries)
    Entries.erase(std::ranges::min_element(
        Entries, {}, [](const auto &Entry) { return Entry.second.ExpiresAt; }));
}

} // namespace ebonyvale

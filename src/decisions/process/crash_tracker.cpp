#include "decisions/process/crash_tracker.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Number of different upstreams lost at which a request is quarantined.
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

suspicion crash_tracker::onLost(request_fingerprint Request, engine_id Engine,
                                instant Now) {
  makeRoom(Now);
  entry &Entry = Entries[Request];
  if (Entry.ExpiresAt <= Now)
    Entry = {};
  if (std::ranges::find(Entry.LostEngines, Engine) == Entry.LostEngines.end())
    Entry.LostEngines.push_back(Engine);
  Entry.Quarantined =
      Entry.Quarantined || Entry.LostEngines.size() >= QuarantineLosses;
  Entry.ExpiresAt = Now + (Entry.Quarantined ? Options.QuarantineDuration
                                             : Options.SuspicionDuration);
  return Entry.Quarantined ? suspicion::Quarantined : suspicion::Suspected;
}

void crash_tracker::onPeerQuarantine(request_fingerprint Request, instant Now) {
  makeRoom(Now);
  Entries[Request] = {{}, true, Now + Options.QuarantineDuration};
}

suspicion crash_tracker::check(request_fingerprint Request, instant Now) {
  const auto Found = Entries.find(Request);
  if (Found == Entries.end())
    return suspicion::None;
  if (Found->second.ExpiresAt <= Now) {
    Entries.erase(Found);
    return suspicion::None;
  }
  return Found->second.Quarantined ? suspicion::Quarantined
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

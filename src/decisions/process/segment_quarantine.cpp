#include "decisions/process/segment_quarantine.h"

#include <algorithm>
#include <cmath>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Attempts and losses that are assumed before any outcome is known, so that a
/// few outcomes give no extreme share.
constexpr double AssumedAttempts = 10;
constexpr double AssumedLosses = 0.5;

/// Number of crashes from which a request is not retried.
constexpr std::size_t SuspicionCrashes = 2;

} // namespace

std::vector<segment_id> segmentIds(std::string_view Model,
                                   std::span<const named_segment> Segments) {
  const std::uint64_t Seed = XXH3_64bits(Model.data(), Model.size());
  const auto Counted =
      Segments.first(std::min(Segments.size(), MaxCountedSegments));
  std::vector<segment_id> Ids;
  Ids.reserve(Counted.size());
  for (const named_segment &Segment : Counted)
    Ids.push_back(
        XXH3_64bits_withSeed(Segment.Name.data(), Segment.Name.size(), Seed));
  return Ids;
}

void segment_quarantine::rotateOutcomes(instant Now) {
  if (Now - WindowBegan < Options.OutcomeWindow)
    return;
  const bool IsNext = Now - WindowBegan < 2 * Options.OutcomeWindow;
  Outcomes[1] = IsNext ? Outcomes[0] : outcome_counts{};
  Outcomes[0] = {};
  WindowBegan = Now;
}

double segment_quarantine::recordOwnLoss(segment_id Segment, loss_stage Stage,
                                         instant Now) {
  entry &Entry = Entries[Segment];
  if (Entry.ExpiresAt <= Now)
    Entry = {};
  if (Now - Entry.LossesSince >= 2 * Options.OutcomeWindow) {
    Entry.OwnLosses = {};
    Entry.LossesSince = Now;
  }
  const auto Index = static_cast<std::size_t>(Stage);
  ++Entry.OwnLosses[Index];
  double Attempts = -Entry.OwnLosses[0] - Entry.OwnLosses[1];
  double Losses = -Entry.OwnLosses[Index];
  for (const outcome_counts &Counts : Outcomes) {
    Attempts += Counts.Begun + Counts.Lost[0] + Counts.Lost[1];
    Losses += Counts.Lost[Index];
  }
  // The two windows may hold fewer of the segment's losses than its entry.
  return (std::max(Losses, 0.0) + AssumedLosses) /
         (std::max(Attempts, 0.0) + AssumedAttempts);
}

void segment_quarantine::onResponseBegun(instant Now) {
  rotateOutcomes(Now);
  ++Outcomes[0].Begun;
}

std::vector<segment_loss>
segment_quarantine::onLost(std::span<const segment_id> Segments,
                           engine_id Upstream, loss_stage Stage, instant Now) {
  makeRoom(Now);
  rotateOutcomes(Now);
  ++Outcomes[0].Lost[static_cast<std::size_t>(Stage)];
  std::vector<segment_loss> Losses;
  Losses.reserve(Segments.size());
  for (const segment_id Segment : Segments)
    Losses.push_back({Segment, recordOwnLoss(Segment, Stage, Now)});
  onPeerLost(Losses, Upstream, Now);
  return Losses;
}

void segment_quarantine::onPeerLost(std::span<const segment_loss> Losses,
                                    engine_id Upstream, instant Now) {
  makeRoom(Now);
  for (const segment_loss &Loss : Losses)
    addCrash(Loss.Segment, {Upstream, Now, std::clamp(Loss.Chance, 0.0, 1.0)});
}

void segment_quarantine::addCrash(segment_id Segment, const crash &Crash) {
  entry &Entry = Entries[Segment];
  if (Entry.ExpiresAt <= Crash.At)
    Entry = {};
  const auto Known =
      std::ranges::find_if(Entry.Crashes, [&](const crash &Other) {
        const span_ns Distance = Crash.At - Other.At;
        return Distance < Options.OutageDuration ||
               (Other.Upstream == Crash.Upstream &&
                Distance < Options.CrashDuration);
      });
  if (Known != Entry.Crashes.end())
    Known->Chance = std::min(Known->Chance, Crash.Chance);
  else if (Entry.Crashes.size() < 2 * minLosses(Entry))
    Entry.Crashes.push_back(Crash);
  Entry.ExpiresAt =
      std::max(Entry.ExpiresAt, Crash.At + Options.SuspicionDuration);
  if (!Entry.SoundAt && Entry.Crashes.size() >= SuspicionCrashes &&
      chanceOf(Entry) <= Options.MaxHoldChance)
    Entry.HeldUntil = Crash.At + Options.HoldDuration;
  if (Entry.QuarantinedUntil <= Crash.At && isCrashing(Entry))
    quarantine(Segment, Entry,
               std::min<span_ns>(Options.QuarantineDuration *
                                     (std::int64_t{1} << Entry.Quarantines),
                                 Options.MaxQuarantineDuration),
               Crash.At);
}

double segment_quarantine::chanceOf(const entry &Entry) {
  double Chance = 1;
  for (const crash &Counted : Entry.Crashes)
    Chance *= Counted.Chance;
  return Chance;
}

bool segment_quarantine::isCrashing(const entry &Entry) const {
  const double MaxChance =
      Entry.SoundAt ? std::pow(Options.MaxChance, Options.SoundFactor)
                    : Options.MaxChance;
  return Entry.Crashes.size() >= minLosses(Entry) &&
         chanceOf(Entry) <= MaxChance;
}

void segment_quarantine::quarantine(segment_id Segment, entry &Entry,
                                    span_ns Duration, instant Now) {
  constexpr unsigned MaxDoublings = 8;
  Entry.Quarantines = std::min(Entry.Quarantines + 1, MaxDoublings);
  Entry.QuarantinedUntil = Now + Duration;
  Entry.ExpiresAt = std::max(Entry.ExpiresAt, Entry.QuarantinedUntil +
                                                  Options.SuspicionDuration);
  Entry.SoundAt.reset();
  NewIds.push_back(Segment);
}

std::vector<segment_id>
segment_quarantine::onCompleted(std::span<const segment_id> Segments,
                                instant Now) {
  std::vector<segment_id> Suspected;
  for (const segment_id Segment : Segments) {
    const entry *Entry = find(Segment, Now);
    if (Entry && (!Entry->Crashes.empty() || Entry->QuarantinedUntil > Now))
      Suspected.push_back(Segment);
  }
  onPeerCompleted(Segments, Now);
  return Suspected;
}

void segment_quarantine::onPeerCompleted(std::span<const segment_id> Segments,
                                         instant Now) {
  makeRoom(Now);
  for (const segment_id Segment : Segments) {
    entry &Entry = Entries[Segment];
    Entry = {};
    Entry.SoundAt = Now;
    Entry.ExpiresAt = Now + Options.SuspicionDuration;
  }
}

std::vector<segment_id> segment_quarantine::onPeerQuarantine(
    std::span<const quarantined_segment> Segments, instant Now) {
  makeRoom(Now);
  std::vector<segment_id> Sound;
  for (const quarantined_segment &Reported : Segments) {
    const span_ns Left = std::min(Reported.Left, Options.MaxQuarantineDuration);
    const entry *Known = find(Reported.Segment, Now);
    if (Known && Known->SoundAt && Known->Crashes.size() < Options.MinLosses) {
      Sound.push_back(Reported.Segment);
    } else if (Left > span_ns(0) &&
               (!Known || Known->QuarantinedUntil <= Now)) {
      entry &Entry = Entries[Reported.Segment];
      if (!Known)
        Entry = {};
      quarantine(Reported.Segment, Entry, Left, Now);
    }
  }
  return Sound;
}

const segment_quarantine::entry *segment_quarantine::find(segment_id Segment,
                                                          instant Now) const {
  const auto Found = Entries.find(Segment);
  if (Found == Entries.end() || Found->second.ExpiresAt <= Now)
    return nullptr;
  return &Found->second;
}

std::optional<span_ns>
segment_quarantine::blockedFor(std::span<const segment_id> Segments,
                               instant Now) const {
  std::optional<span_ns> Longest;
  for (const segment_id Segment : Segments) {
    const entry *Entry = find(Segment, Now);
    if (Entry && Entry->QuarantinedUntil > Now)
      Longest =
          std::max(Longest.value_or(span_ns(0)), Entry->QuarantinedUntil - Now);
  }
  return Longest;
}

std::optional<span_ns>
segment_quarantine::tryPass(std::span<const segment_id> Segments, instant Now) {
  if (const auto Left = blockedFor(Segments, Now))
    return Left;
  for (const segment_id Segment : Segments) {
    const auto Found = Entries.find(Segment);
    if (Found != Entries.end() && Found->second.HeldUntil != instant() &&
        Found->second.ExpiresAt > Now)
      Found->second.HeldUntil = Now + Options.HoldDuration;
  }
  return std::nullopt;
}

bool segment_quarantine::isSuspected(std::span<const segment_id> Segments,
                                     instant Now) const {
  return std::ranges::any_of(Segments, [&](segment_id Segment) {
    const entry *Entry = find(Segment, Now);
    return Entry && (Entry->Crashes.size() >= SuspicionCrashes ||
                     Entry->QuarantinedUntil > Now);
  });
}

std::vector<quarantined_segment>
segment_quarantine::quarantined(instant Now) const {
  std::vector<quarantined_segment> Found;
  for (const auto &[Segment, Entry] : Entries)
    if (Entry.QuarantinedUntil > Now && Found.size() < MaxCountedSegments)
      Found.push_back({Segment, Entry.QuarantinedUntil - Now});
  return Found;
}

void segment_quarantine::makeRoom(instant Now) {
  if (Entries.size() < Options.MaxEntries)
    return;
  std::erase_if(Entries, [Now](const auto &Entry) {
    return Entry.second.ExpiresAt <= Now;
  });
  if (Entries.size() < Options.MaxEntries)
    return;
  // Many are dropped at once, so that not each new segment costs a search.
  std::vector<instant> Expiries;
  Expiries.reserve(Entries.size());
  for (const auto &[Segment, Entry] : Entries)
    Expiries.push_back(Entry.ExpiresAt);
  const auto Quarter =
      Expiries.begin() + static_cast<std::ptrdiff_t>(Expiries.size() / 4);
  std::ranges::nth_element(Expiries, Quarter);
  std::erase_if(Entries, [Last = *Quarter](const auto &Entry) {
    return Entry.second.ExpiresAt <= Last;
  });
}

} // namespace ebonyvale

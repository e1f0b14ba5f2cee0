#include "decisions/process/refusal_log.h"

#include <charconv>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

wall_ms minuteOf(wall_ms Time) {
  return std::chrono::floor<std::chrono::minutes>(Time);
}

} // namespace

bool matches(const refusal_query &Query, const refusal &Refusal) {
  return Refusal.At >= Query.From && Refusal.At <= Query.To &&
         (Query.Team.empty() || Query.Team == Refusal.Team);
}

refusal_log::refusal_log(std::string_view Instance, std::uint64_t Boot,
                         refusal_log_options Options)
    : ReferencePrefix(fmt::format("{}-{:x}-", Instance, Boot)),
      Instance(Instance), Options(Options) {}

const refusal &refusal_log::record(refusal Refusal) {
  Refusal.Reference = fmt::format("{}{}", ReferencePrefix, ++Sequence);
  Refusal.Instance = Instance;
  const wall_ms Minute = minuteOf(Refusal.At);
  refusal_count &Count = Counts[{Minute, {Refusal.Team, Refusal.Kind}}];
  if (Count.Total == 0)
    Count = {Minute, Refusal.Team, Refusal.Kind};
  ++Count.Total;
  ++Count.Kept;
  if (Ring.size() == Options.Records)
    dropOldest();
  dropExpired(Refusal.At);
  Ring.push_back(std::move(Refusal));
  return Ring.back();
}

const refusal *refusal_log::find(std::string_view Reference) const {
  if (Ring.empty() || !Reference.starts_with(ReferencePrefix))
    return nullptr;
  const std::string_view Digits = Reference.substr(ReferencePrefix.size());
  std::uint64_t Wanted = 0;
  const auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Wanted);
  if (Error != std::errc() || End != Digits.data() + Digits.size())
    return nullptr;
  // Sequence numbers in the ring are consecutive and end with the newest.
  const std::uint64_t First = Sequence - Ring.size() + 1;
  if (Wanted < First || Wanted > Sequence)
    return nullptr;
  return &Ring[Wanted - First];
}

std::vector<refusal> refusal_log::select(const refusal_query &Query) const {
  std::vector<refusal> Found;
  for (const refusal &Refusal : Ring)
    if (matches(Query, Refusal))
      Found.push_back(Refusal);
  return Found;
}

std::vector<refusal_count>
refusal_log::count(const refusal_query &Query) const {
  std::vector<refusal_count> Found;
  for (const auto &[Key, Count] : Counts) {
    const bool Overlaps = Count.Minute <= Query.To &&
                          Count.Minute + std::chrono::minutes(1) > Query.From;
    if (Overlaps && (Query.Team.empty() || Query.Team == Count.Team))
      Found.push_back(Count);
  }
  return Found;
}

void refusal_log::dropOldest() {
  const refusal &Oldest = Ring.front();
  const auto Count =
      Counts.find({minuteOf(Oldest.At), {Oldest.Team, Oldest.Kind}});
  if (Count != Counts.end())
    --Count->second.Kept;
  Ring.pop_front();
}

void refusal_log::dropExpired(wall_ms Now) {
  const wall_ms Oldest = Now - Options.Retention;
  while (!Counts.empty() && Counts.begin()->first.first < minuteOf(Oldest))
    Counts.erase(Counts.begin());
}

} // namespace ebonyvale

#include "decisions/process/request_cost.h"

#include <algorithm>
#include <cmath>

#include <spdlog/fmt/fmt.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Separates the parts of a key; names contain no control characters.
constexpr char Separator = '\n';

/// Returns the number of the size class of a prompt. Each is four times as wide
/// as the one below.
int sizeClass(double Tokens) {
  constexpr double SmallestTokens = 256;
  constexpr double MaxTokens = 1e7;
  if (!(Tokens > SmallestTokens))
    return 0;
  return 1 + static_cast<int>(
                 std::log2(std::min(Tokens, MaxTokens) / SmallestTokens) / 2);
}

/// Longest service time of a request that is believed, in ms.
constexpr double MaxServiceMs = 3'600'000;

bool isPlausible(const expected_cost &Cost) {
  const auto IsTime = [](double Value) {
    return Value > 0 && Value <= MaxServiceMs;
  };
  return IsTime(Cost.MedianMs) && IsTime(Cost.MeanMs) && IsTime(Cost.HighMs) &&
         Cost.MedianMs <= Cost.HighMs && Cost.Weight > 0;
}

expected_cost costOf(const cost_histogram &Times) {
  constexpr double Median = 0.5;
  constexpr double High = 0.9;
  return {Times.mean(), Times.quantile(Median), Times.quantile(High),
          Times.weight()};
}

} // namespace

double request_costs::team_balance::weigh(std::string_view Team) {
  constexpr float Kept = 0.995F; // forgets after about 200 values
  constexpr float MinPresent = 0.05F;
  constexpr float MaxOfMean = 1.5F;
  constexpr float ExcessWeight = 0.05F;
  float &Own = Weights[XXH3_64bits(Team.data(), Team.size()) % Weights.size()];
  float Sum = 0;
  float Present = 0;
  for (float &Weight : Weights) {
    Weight *= Kept;
    Sum += Weight;
    Present += Weight > MinPresent ? 1.0F : 0.0F;
  }
  const bool IsExcess = Present > 1 && Own > MaxOfMean * Sum / Present;
  const float Weight = IsExcess ? ExcessWeight : 1;
  Own += Weight;
  return Weight;
}

std::array<std::string, request_costs::Levels>
request_costs::keysOf(const cost_attributes &Attributes) {
  std::array<std::string, Levels> Keys;
  Keys[0] = Attributes.Service;
  Keys[1] = Keys[0] + Separator + Attributes.Route;
  Keys[2] = fmt::format("{}{}{}", Keys[1], Separator,
                        sizeClass(Attributes.PromptTokens));
  Keys[3] = Keys[2] + Separator + Attributes.Team;
  return Keys;
}

const request_costs::entry *request_costs::find(const std::string &Key) const {
  const auto Found = ByKey.find(Key);
  return Found == ByKey.end() ? nullptr : &*Found->second;
}

request_costs::entry &request_costs::touch(const std::string &Key) {
  if (const auto Known = ByKey.find(Key); Known != ByKey.end()) {
    Entries.splice(Entries.begin(), Entries, Known->second);
    return Entries.front();
  }
  if (Entries.size() >= MaxEntries) {
    ByKey.erase(Entries.back().Key);
    Entries.pop_back();
  }
  Entries.emplace_front().Key = Key;
  ByKey[Key] = Entries.begin();
  return Entries.front();
}

void request_costs::onServed(const cost_attributes &Attributes,
                             double ServiceMs) {
  if (!(ServiceMs >= 0 && ServiceMs <= MaxServiceMs))
    return;
  const auto Keys = keysOf(Attributes);
  // The parents are touched last, so that they are dropped after all others.
  for (std::size_t Level = Keys.size(); Level-- > 0;) {
    entry &Entry = touch(Keys[Level]);
    if (Level == RouteLevel) {
      Entry.Service = Attributes.Service;
      Entry.Route = Attributes.Route;
    }
    const bool IsOfOneTeam = Level + 1 == Keys.size();
    Entry.ServiceMs.record(
        ServiceMs, IsOfOneTeam ? 1 : Entry.Teams.weigh(Attributes.Team));
    Entry.OwnValues = std::min(Entry.OwnValues + 1, MinWeight);
    Entry.Changed = true;
  }
}

std::optional<expected_cost>
request_costs::expectBy(const std::string &Key) const {
  const entry *Entry = find(Key);
  if (!Entry || Entry->ServiceMs.weight() < MinWeight)
    return std::nullopt;
  return costOf(Entry->ServiceMs);
}

std::optional<expected_cost>
request_costs::expect(const cost_attributes &Attributes) const {
  const auto Keys = keysOf(Attributes);
  std::optional<expected_cost> Cost;
  for (std::size_t Level = Keys.size(); Level-- > 0 && !Cost;)
    Cost = expectBy(Keys[Level]);
  return Cost;
}

std::optional<expected_cost>
request_costs::expectAny(std::string_view Service) const {
  return expectBy(std::string(Service));
}

std::vector<cost_summary> request_costs::takeSummaries() {
  std::vector<cost_summary> Taken;
  for (entry &Entry : Entries) {
    // What peers have told is not passed on: it would seem to be learned anew.
    const bool IsTold =
        !Entry.Route.empty() && Entry.Changed && Entry.OwnValues >= MinWeight;
    if (!IsTold)
      continue;
    Entry.Changed = false;
    Taken.push_back({Entry.Service, Entry.Route, costOf(Entry.ServiceMs)});
    if (Taken.size() == MaxSummaries)
      break;
  }
  return Taken;
}

void request_costs::onPeerSummary(const cost_summary &Summary) {
  if (Summary.Service.empty() || !isPlausible(Summary.Cost))
    return;
  cost_attributes Attributes;
  Attributes.Service = Summary.Service;
  Attributes.Route = Summary.Route;
  const auto Keys = keysOf(Attributes);
  for (std::size_t Level = RouteLevel + 1; Level-- > 0;) {
    entry &Entry = touch(Keys[Level]);
    if (Level == RouteLevel) {
      Entry.Service = Summary.Service;
      Entry.Route = Summary.Route;
    }
    if (Entry.OwnValues >= MinWeight)
      continue;
    const auto Count =
        static_cast<int>(std::min(Summary.Cost.Weight, PeerWeight));
    // The values have the median and the 90th percentile of the summary.
    constexpr int HighEvery = 10;
    for (int Index = 0; Index < Count; ++Index)
      Entry.ServiceMs.record(Index % HighEvery == HighEvery / 2
                                 ? Summary.Cost.HighMs
                                 : Summary.Cost.MedianMs);
  }
}

std::vector<cost_summary> request_costs::summaries() const {
  std::vector<cost_summary> All;
  for (const entry &Entry : Entries)
    if (!Entry.Route.empty())
      All.push_back({Entry.Service, Entry.Route, costOf(Entry.ServiceMs)});
  return All;
}

} // namespace ebonyvale

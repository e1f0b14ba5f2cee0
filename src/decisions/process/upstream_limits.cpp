#include "decisions/process/upstream_limits.h"

#include <algorithm>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Requests that an instance with a large part may send at once, as the time in
/// which the part accrues.
constexpr double BurstSeconds = 0.5;
/// Fill of a new part, in requests: the instances neither send one each at once
/// nor leave the upstream without any for long.
constexpr double StartLevel = 0.5;

/// Changes of a limit by less than this factor are no news: an upstream may
/// work its limit out anew for each response.
constexpr double NewsFactor = 1.2;

bool isNews(std::optional<double> Before, std::optional<double> After) {
  if (!Before || !After)
    return Before != After;
  return *After > *Before * NewsFactor || *After * NewsFactor < *Before;
}

std::uint64_t rankOf(std::string_view Name, std::string_view Upstream) {
  return XXH3_64bits_withSeed(Name.data(), Name.size(),
                              XXH3_64bits(Upstream.data(), Upstream.size()));
}

} // namespace

std::size_t limitHolders(double PerSecond, std::size_t Members) {
  constexpr double Extra = 3;
  constexpr double HoldersPerLimit = 1.5;
  const double Holders = std::min(HoldersPerLimit * PerSecond + Extra,
                                  static_cast<double>(Members));
  return std::max<std::size_t>(1, static_cast<std::size_t>(Holders));
}

bool holdsLimit(std::string_view Self, std::string_view Upstream,
                std::string_view Domain, double PerSecond,
                const std::vector<limit_member> &Members) {
  const auto Order = [&](const limit_member &Member) {
    return std::tuple(Member.Domain != Domain, rankOf(Member.Name, Upstream),
                      std::string_view(Member.Name));
  };
  const auto Own = std::ranges::find(Members, Self, &limit_member::Name);
  if (Own == Members.end())
    return false;
  const auto OwnOrder = Order(*Own);
  const auto Before =
      std::ranges::count_if(Members, [&](const limit_member &Member) {
        return Order(Member) < OwnOrder;
      });
  return static_cast<std::size_t>(Before) <
         limitHolders(PerSecond, Members.size());
}

void upstream_limits::setMembers(std::vector<limit_member> NewMembers) {
  if (NewMembers == Members)
    return;
  Members = std::move(NewMembers);
  ++Generation;
}

bool upstream_limits::onResponse(std::string_view Upstream,
                                 std::optional<double> PerSecond,
                                 instant SentAt, instant Now) {
  const auto Known = States.find(Upstream);
  if (Known == States.end() && !PerSecond)
    return false;
  // Responses may overtake each other, and may be read late. One that allows
  // more proves only that the upstream allowed it after the request was sent.
  const auto Limit = limitOf(Upstream);
  const bool AllowsMore = Limit && (!PerSecond || *PerSecond > *Limit);
  const bool News = accept(Upstream, PerSecond, AllowsMore ? SentAt : Now, Now);
  state &State = States[std::string(Upstream)];
  State.IsOwn = State.PerSecond == PerSecond;
  State.OwnAt = Now;
  return News;
}

bool upstream_limits::onPeerLimit(const named_limit &Limit, instant Now) {
  const auto Known = States.find(Limit.Upstream);
  if (Known == States.end() && !Limit.PerSecond)
    return false;
  return accept(Limit.Upstream, Limit.PerSecond, Limit.At, Now);
}

/// Takes over evidence unless there is newer one. Returns whether that is news.
bool upstream_limits::accept(std::string_view Upstream,
                             std::optional<double> PerSecond, instant At,
                             instant Now) {
  const auto [Found, IsNew] = States.try_emplace(std::string(Upstream));
  state &State = Found->second;
  if (!IsNew && At < State.At)
    return false;
  State.At = At;
  if (!IsNew && State.PerSecond == PerSecond)
    return false;
  const bool News = isNews(State.PerSecond, PerSecond);
  accrue(State, Now);
  if (!State.PerSecond)
    State.Level = StartLevel;
  State.LevelAt = Now;
  State.PerSecond = PerSecond;
  State.IsOwn = false;
  State.ChangedAt = Now;
  State.Generation = 0;
  return News;
}

double upstream_limits::partOf(const state &State) const {
  const double Limit = State.PerSecond.value_or(0);
  return std::max(Limit, MinPerSecond) /
         static_cast<double>(limitHolders(Limit, Members.size()));
}

void upstream_limits::accrue(state &State, instant Now) const {
  if (!State.PerSecond || !State.Holds || Now <= State.LevelAt)
    return;
  const double Part = partOf(State);
  const double Most = std::max(1.0, Part * BurstSeconds);
  State.Level =
      std::min(Most, State.Level + Part * toSeconds(Now - State.LevelAt));
  State.LevelAt = Now;
}

instant upstream_limits::availableAt(std::string_view Upstream,
                                     std::string_view Domain, instant Now) {
  const auto Found = States.find(Upstream);
  if (Found == States.end() || !Found->second.PerSecond)
    return Now;
  state &State = Found->second;
  if (State.Generation != Generation) {
    State.Generation = Generation;
    const bool Held = State.Holds;
    State.Holds = holdsLimit(Self, Upstream, Domain, *State.PerSecond, Members);
    if (State.Holds && !Held) {
      State.Level = StartLevel;
      State.LevelAt = Now;
    }
  }
  if (!State.Holds)
    return instant::max();
  accrue(State, Now);
  // A whole request may have accrued to slightly less by rounding.
  constexpr double Rounding = 1e-6;
  if (State.Level >= 1 - Rounding)
    return Now;
  return Now + fromSeconds((1 - State.Level) / partOf(State));
}

void upstream_limits::onSent(std::string_view Upstream, instant Now) {
  const auto Found = States.find(Upstream);
  if (Found == States.end() || !Found->second.PerSecond)
    return;
  accrue(Found->second, Now);
  Found->second.Level = std::max(0.0, Found->second.Level - 1);
}

std::vector<named_limit> upstream_limits::ownSince(instant Since) const {
  std::vector<named_limit> Limits;
  for (const auto &[Upstream, State] : States)
    if (State.IsOwn && State.OwnAt >= Since)
      Limits.push_back({Upstream, State.PerSecond, State.At});
  return Limits;
}

std::optional<double>
upstream_limits::limitOf(std::string_view Upstream) const {
  const auto Known = States.find(Upstream);
  if (Known == States.end())
    return std::nullopt;
  return Known->second.PerSecond;
}

void upstream_limits::expire(instant Now) {
  const span_ns Patience = std::max<span_ns>(
      ForgetAfter,
      ForgetAfterPerMember * static_cast<std::int64_t>(Members.size()));
  std::erase_if(States, [&](const auto &Known) {
    const state &State = Known.second;
    // The end of a limit is repeated to peers for a while.
    return Now - (State.PerSecond ? State.At : State.ChangedAt) > Patience;
  });
}

std::size_t upstream_limits::count() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(States, [](const auto &Known) {
        return Known.second.PerSecond.has_value();
      }));
}

} // namespace ebonyvale

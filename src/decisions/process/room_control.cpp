#include "decisions/process/room_control.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Time after which a service without requests is forgotten.
constexpr span_ns ForgetServiceAfter = std::chrono::seconds(60);
/// Time between two searches for what is to be forgotten.
constexpr span_ns ExpireInterval = std::chrono::seconds(1);
/// Minimum Retry-After: the queues have changed by then.
constexpr span_ns MinReturn = std::chrono::milliseconds(50);
/// Time over which refused requests return for each time that the demand
/// exceeds the room, where the aim cannot be met any more.
constexpr span_ns ReturnSpread = std::chrono::seconds(1);
/// Callers come back within a third of the time that they have left.
constexpr int MaxReturnDivisor = 3;

/// Returns when a refused request may find room. While the aim can still be met
/// later, the return is spread over the time for that; else it is after the
/// queues, spread the wider the more are refused. The spread keeps a crowd from
/// returning at one moment.
span_ns returnAfter(const room_state &Room, const room_request &Request,
                    double Draw) {
  const double SlackMs = toMs(Request.Aim) - Request.WorkMs - Room.DelayMs;
  const span_ns Wanted =
      SlackMs > toMs(MinReturn)
          ? MinReturn + fromMs(Draw * (SlackMs - toMs(MinReturn)))
          : fromMs(Room.DelayMs +
                   Draw * (1 / Room.Fit - 1) * toMs(ReturnSpread));
  const span_ns Latest = Request.TimeLeft / MaxReturnDivisor;
  return std::clamp<span_ns>(Wanted, MinReturn, std::max(MinReturn, Latest));
}

} // namespace

void room_control::setTeams(std::span<const team_entry> Teams) {
  Weights.clear();
  double Sum = 0;
  for (const team_entry &Team : Teams) {
    if (Team.Rate <= 0)
      continue;
    Weights[Team.Name] = Team.Rate;
    Sum += Team.Rate;
  }
  MeanWeight = Weights.empty() ? 1 : Sum / static_cast<double>(Weights.size());
}

double room_control::weightOf(std::string_view Team) const {
  const auto Found = Weights.find(Team);
  return Found == Weights.end() ? MeanWeight : Found->second;
}

std::optional<room_refusal> room_control::admit(const room_request &Request,
                                                instant Now) {
  if (!IsOn)
    return std::nullopt;
  service_room &Service = Services[std::string(Request.Service)];
  Service.LastAt = Now;
  const std::uint64_t Draw = XXH3_64bits(Request.Id.data(), Request.Id.size());
  room_refusal Refusal;
  Refusal.Room = Service.Control.update(Now);
  const bool IsInTime =
      Request.WorkMs + Refusal.Room.DelayMs <= toMs(Request.TimeLeft);
  Refusal.Share = Service.Shares.decide(
      {Request.Team, weightOf(Request.Team), Request.Priority,
       std::max(1.0, Request.WorkMs), Draw, IsInTime},
      Refusal.Room.Fit, Now);
  Refusal.Bound = Refusal.Share.Bound;
  if (Refusal.Share.isAdmitted()) {
    Service.Control.onSent(Request.Number, Request.WorkMs, Request.Aim, Now);
    return std::nullopt;
  }
  constexpr std::uint64_t ReturnSeed = 1;
  constexpr double Range = 18446744073709551616.0; // 2^64
  const double Return = static_cast<double>(XXH3_64bits_withSeed(
                            Request.Id.data(), Request.Id.size(), ReturnSeed)) /
                        Range;
  Refusal.RetryAfter = returnAfter(Refusal.Room, Request, Return);
  return Refusal;
}

void room_control::onFirstChunk(std::string_view Service, std::uint64_t Number,
                                instant Now) {
  if (const auto Found = Services.find(Service); Found != Services.end())
    Found->second.Control.onFirstChunk(Number, Now);
}

void room_control::onEnded(std::string_view Service, std::uint64_t Number) {
  if (const auto Found = Services.find(Service); Found != Services.end())
    Found->second.Control.onEnded(Number);
}

void room_control::onFull(std::string_view Service, instant Now) {
  if (const auto Found = Services.find(Service); Found != Services.end())
    Found->second.Control.onFull(Now);
}

void room_control::onReport(std::string_view Service, std::string_view Upstream,
                            const queue_report &Report, instant At) {
  if (const auto Found = Services.find(Service); Found != Services.end())
    Found->second.Control.onReport(Upstream, Report, At);
}

std::vector<room_change> room_control::takeChanges(instant Now) {
  std::vector<room_change> Changes;
  const bool Expires = Now - ExpiredAt >= ExpireInterval;
  if (Expires)
    ExpiredAt = Now;
  for (auto &[Name, Service] : Services) {
    if (Expires) {
      Service.Control.expire(Now);
      Service.Shares.expire(Now);
    }
    const room_state Room = Service.Control.update(Now);
    if (Room.isShort() != Service.WasShort)
      Changes.push_back({Name, Room});
    Service.WasShort = Room.isShort();
  }
  std::erase_if(Services, [&](const auto &Known) {
    return Now - Known.second.LastAt > ForgetServiceAfter;
  });
  return Changes;
}

std::size_t room_control::shortCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Services, [](const auto &Known) { return Known.second.WasShort; }));
}

std::vector<room_view> room_control::views(instant Now) const {
  std::vector<room_view> Views;
  for (const auto &[Name, Service] : Services) {
    const room_state &Room = Service.Control.state();
    Views.push_back({Name, Room, Service.Shares.teams(Room.Fit, Now)});
  }
  return Views;
}

} // namespace ebonyvale

#include "decisions/process/engine_table.h"

#include <algorithm>

namespace ebonyvale {
namespace {

/// Pause after the first failure; each consecutive failure doubles it.
constexpr span_ns FirstPause = std::chrono::milliseconds(100);
constexpr span_ns LongestPause = std::chrono::seconds(5);
constexpr unsigned MaxPauseDoublings = 8;

/// Weight of a new observation in the residence estimate.
constexpr double ResidenceGain = 0.2;
/// A hit at some age implies a residence of this many times that age.
constexpr double HitAgeFactor = 1.5;
constexpr span_ns ShortestResidence = std::chrono::milliseconds(200);
constexpr span_ns LongestResidence = std::chrono::hours(1);

span_ns scaled(span_ns Duration, double Factor) {
  return fromSeconds(toSeconds(Duration) * Factor);
}

} // namespace

double engine_state::backlogMs(instant Now) const {
  constexpr double MsPerSecond = 1000;
  const double ElapsedMs =
      std::max(0.0, toSeconds(Now - ReportedAt)) * MsPerSecond;
  return std::max(0.0, Report.QueuedMs + SentMs - ElapsedMs);
}

void engine_table::update(const configuration &Config) {
  for (engine_state &Engine : Engines)
    Engine.Listed = false;
  for (const auto &[Name, Upstream] : Config.Upstreams) {
    const auto [Entry, IsNew] =
        Ids.emplace(Name, static_cast<engine_id>(Engines.size()));
    if (IsNew) {
      Engines.emplace_back();
      Engines.back().Id = Entry->second;
      Engines.back().Name = Name;
    }
    engine_state &Engine = Engines[Entry->second];
    const auto Port = static_cast<std::uint16_t>(Upstream.Port);
    if (Engine.Address != Upstream.Address || Engine.Port != Port)
      ++Engine.Epoch;
    Engine.Address = Upstream.Address;
    Engine.Port = Port;
    Engine.Concurrency = Upstream.Concurrency;
    Engine.Leaving = Upstream.Leaving;
    Engine.Listed = true;
    const auto DomainEntry = Config.Domains.find(Upstream.Domain);
    const bool SameRegion = DomainEntry != Config.Domains.end() &&
                            DomainEntry->second.Region == Region;
    Engine.Nearness = SameRegion ? nearness::SameRegion : nearness::OtherRegion;
    if (Upstream.Domain == Domain)
      Engine.Nearness = nearness::SameDomain;
  }
}

engine_id engine_table::idOf(std::string_view Name) const {
  return Ids.find(Name)->second;
}

std::optional<engine_id> engine_table::findId(std::string_view Name) const {
  const auto Found = Ids.find(Name);
  if (Found == Ids.end())
    return std::nullopt;
  return Found->second;
}

void engine_table::onSent(engine_id Id, double PrefillMs) {
  ++Engines[Id].InFlight;
  Engines[Id].SentMs += PrefillMs;
}

void engine_table::onEnded(engine_id Id) { --Engines[Id].InFlight; }

void engine_table::onResponse(engine_id Id, std::string_view Incarnation,
                              const load_report &Report, instant Now) {
  engine_state &Engine = Engines[Id];
  if (!Incarnation.empty() && Engine.Incarnation != Incarnation) {
    if (!Engine.Incarnation.empty())
      ++Engine.Epoch;
    Engine.Incarnation = Incarnation;
  }
  Engine.Report = Report;
  Engine.ReportedAt = Now;
  Engine.SentMs = 0;
  Engine.Failures = 0;
  Engine.DownUntil = Now;
}

void engine_table::onFailure(engine_id Id, instant Now) {
  engine_state &Engine = Engines[Id];
  ++Engine.Epoch;
  Engine.Incarnation.clear();
  Engine.Report = {};
  Engine.SentMs = 0;
  // Requests that fail together count as one failure.
  if (Now < Engine.DownUntil)
    return;
  const unsigned Doublings = std::min(Engine.Failures, MaxPauseDoublings);
  ++Engine.Failures;
  Engine.DownUntil =
      Now + std::min(LongestPause, FirstPause * (1U << Doublings));
}

void engine_table::onStaleIncarnation(engine_id Id) {
  ++Engines[Id].Epoch;
  Engines[Id].Incarnation.clear();
}

void engine_table::onCacheLookup(engine_id Id, span_ns Age, bool Found) {
  span_ns &Residence = Engines[Id].Residence;
  const span_ns Observed = Found
                               ? std::max(Residence, scaled(Age, HitAgeFactor))
                               : std::min(Residence, Age);
  Residence =
      std::clamp(Residence + scaled(Observed - Residence, ResidenceGain),
                 ShortestResidence, LongestResidence);
}

} // namespace ebonyvale

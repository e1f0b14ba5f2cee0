#include "gateway/process/gateway_core.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Part of the operators' tolerance that the instances' parts use. The rest
/// covers tokens spent twice around restarts and changes of membership.
constexpr double UsedExcess = 0.9;
constexpr double UsedSlack = 0.6;

/// Part of a full bucket with which a new process starts. All instances
/// together then start with less than the unused part of the tolerance.
constexpr double StartFraction = 0.1;

/// Taken off the bound on outdated weights: the age at which a version becomes
/// known here, and the time on the way to an upstream.
constexpr span_ns WeightsMargin = std::chrono::milliseconds(2000);

share_rules shareRules() {
  share_rules Rules;
  Rules.StartFraction = StartFraction;
  // Levelling crosses the billed links, so it is kept slow.
  Rules.LevelInterval = std::chrono::seconds(1);
  Rules.LevelPeers = 1;
  return Rules;
}

schedule_terms scheduleTerms(const gateway_settings &Settings) {
  schedule_terms Terms;
  Terms.PrefillTokensPerMs = static_cast<double>(Settings.PrefillTokensPerMs);
  Terms.RecomputeWeight = static_cast<double>(Settings.RecomputeWeight);
  Terms.FetchWeight = static_cast<double>(Settings.FetchWeight);
  Terms.EnginesPerFirstPart =
      static_cast<std::size_t>(Settings.EnginesPerFirstPart);
  Terms.RegionMs = static_cast<double>(Settings.RegionMs);
  Terms.OldWeightsMs = static_cast<double>(Settings.OldWeightsMs);
  Terms.OldWeightsBound =
      std::chrono::milliseconds(Settings.VersionBoundMs) - WeightsMargin;
  return Terms;
}

evidence_terms evidenceTerms(const gateway_settings &Settings) {
  evidence_terms Terms;
  Terms.KeyBound = std::chrono::milliseconds(Settings.KeyBoundMs);
  Terms.ApplyBound = std::chrono::milliseconds(Settings.ApplyBoundMs);
  return Terms;
}

} // namespace

engine_id upstreamNumber(std::string_view Upstream) {
  return static_cast<engine_id>(XXH3_64bits(Upstream.data(), Upstream.size()));
}

gateway_core::gateway_core(event_base *Base, const gateway_settings &Settings,
                           const platform_protocols &Protocols,
                           std::uint64_t Boot)
    : Base(Base), Settings(Settings), Protocols(Protocols), Boot(Boot),
      Started(readBootClock()), KeySecret(fmt::format("{:016x}", Boot)),
      Log(Base, Settings.LogLevel, Settings.LogLinesPerSecond),
      Links(Base, client_pool_options{}),
      Scheduler(scheduleTerms(Settings), Settings.Domain,
                regionsOf(Settings.Domains)),
      Roster(Settings.InstanceName), ProofTerms(evidenceTerms(Settings)),
      Shares(shareRules(), Started, Boot), Crashes(crash_rules{}),
      Refusals(Settings.InstanceName, Boot, refusal_bounds{.Records = 2000}),
      RetryTerms{static_cast<double>(Settings.RetryPercent) / 100,
                 static_cast<double>(Settings.RetrySlack),
                 std::chrono::milliseconds(Settings.RetryWindowMs)},
      ShareTimer(Base, [this] {
        carryOut(Shares.onTick(readBootClock()));
        armShareTimer();
      }) {}

void gateway_core::setRouting(routing_table Table, instant Now) {
  if (Routing && Table.Version <= Routing->Version)
    return;
  const std::uint64_t Before = Routing ? Routing->Version : 0;
  Routing = std::make_shared<const routing_table>(std::move(Table));
  Metrics.RoutingVersion.Set(static_cast<double>(Routing->Version));
  Log.info(event_category::Process, "configuration_in_force",
           {{"version", Routing->Version},
            {"before", Before},
            {"routes", Routing->Routes.size()},
            {"teams", Routing->Teams.size()}});
  describeEngines();
  Sharers = 0;
  updateShares(Now);
}

/// Tells the scheduler what engines hold and how fast parts are copied.
void gateway_core::describeEngines() {
  constexpr double BytesPerMsOfMbps = 125; // 10^6 bits a second
  double TokenBytes = 0;
  for (const auto &[Name, Service] : Routing->Services) {
    if (!Service.Engine)
      continue;
    engine_terms Engine;
    Engine.CacheTokens = static_cast<double>(Service.Engine->CacheTokens);
    if (Service.Engine->TokenBytes > 0)
      Engine.FetchTokensPerMs = Service.Engine->LinkMbps * BytesPerMsOfMbps /
                                Service.Engine->TokenBytes;
    TokenBytes = std::max(TokenBytes, Service.Engine->TokenBytes);
    Scheduler.setEngine(Name, Engine);
  }
  std::vector<cache_store_terms> Stores;
  for (const auto &[Name, Service] : Routing->Services)
    if (Service.CacheStore && TokenBytes > 0)
      Stores.push_back(
          {Service.CacheStore->Address, Service.CacheStore->Domain,
           Service.CacheStore->LinkMbps * BytesPerMsOfMbps / TokenBytes,
           Service.CacheStore->CacheTokens});
  Scheduler.setCacheStores(Stores);
}

void gateway_core::onDirectory() { Scheduler.update(Directory); }

/// The operators judge a window: (rate x window + burst) x (1 + excess) +
/// slack, over all instances.
team_limits gateway_core::limitsOf(const team_entry &Team) const {
  constexpr double Percent = 0.01;
  const double Factor =
      1 +
      UsedExcess * Percent * static_cast<double>(Settings.LimitExcessPercent);
  const double Slack =
      UsedSlack * static_cast<double>(Settings.LimitSlackTokens);
  const double Parts = static_cast<double>(std::max<std::size_t>(1, Sharers));
  return {{Team.Rate * Factor / Parts, (Team.Burst * Factor + Slack) / Parts},
          Sharers <= 1};
}

void gateway_core::onRosterKnown(instant Now) {
  RosterKnown = true;
  updateShares(Now);
}

void gateway_core::updateShares(instant Now) {
  const std::size_t Count = Roster.sharers(Now, Started);
  Metrics.Instances.Set(static_cast<double>(Count));
  if (!Routing || !RosterKnown || Count == Sharers)
    return;
  if (Sharers != 0)
    Log.info(event_category::Peer, "limits_divided",
             {{"instances", Count}, {"before", Sharers}});
  Sharers = Count;
  std::vector<std::string> Names;
  for (const team_entry &Team : Routing->Teams) {
    if (Team.Rate <= 0)
      continue;
    Names.push_back(Team.Name);
    Shares.setTeam(Team.Name, limitsOf(Team), Now);
  }
  carryOut(Shares.keepTeams(Names));
}

void gateway_core::requestTokens(std::uint64_t Number, std::string_view Team,
                                 double Tokens,
                                 const std::weak_ptr<token_waiter> &Waiter) {
  Waiters[Number] = Waiter;
  carryOut(Shares.request(Number, Team, {Tokens, 0}, readBootClock()));
  armShareTimer();
}

void gateway_core::withdrawTokens(std::uint64_t Number, std::string_view Team) {
  Waiters.erase(Number);
  Shares.withdraw(Team, Number);
}

void gateway_core::onShareReply(const std::string &Peer,
                                const share_reply &Reply) {
  carryOut(Shares.onReply(Peer, Reply, readBootClock()));
  armShareTimer();
}

void gateway_core::carryOut(const std::vector<share_action> &Actions) {
  const auto TakeWaiter = [this](request_number Number) {
    const auto Node = Waiters.extract(Number);
    return Node.empty() ? nullptr : Node.mapped().lock();
  };
  for (const share_action &Action : Actions) {
    if (const auto *Admit = std::get_if<share_admit>(&Action)) {
      if (const auto Waiter = TakeWaiter(Admit->Request))
        Waiter->onTokens(Admit->Reserved);
    } else if (const auto *Refuse = std::get_if<share_refuse>(&Action)) {
      if (const auto Waiter = TakeWaiter(Refuse->Request))
        Waiter->onNoTokens(*Refuse);
    } else if (const auto *Ask = std::get_if<share_send_ask>(&Action)) {
      if (Messenger)
        Messenger->sendAsk(Ask->Peer, Ask->Ask);
    } else if (const auto *Return = std::get_if<share_send_return>(&Action)) {
      if (Messenger)
        Messenger->sendReturn(Return->Peer, Return->Return);
    }
  }
}

void gateway_core::armShareTimer() {
  const instant Now = readBootClock();
  if (const auto Next = Shares.nextTick(Now))
    ShareTimer.startOnce(*Next - Now);
  else
    ShareTimer.stop();
}

void gateway_core::countRequest(std::string_view Service, instant Now) {
  Retries[std::string(Service)].onRequest(Now, RetryTerms);
}

bool gateway_core::takeRetry(std::string_view Service, instant Now) {
  return Retries[std::string(Service)].take(Now, RetryTerms,
                                            Roster.sharers(Now, Started));
}

void gateway_core::reportLoss(request_fingerprint Request,
                              std::string_view Upstream, instant Now) {
  const engine_id Number = upstreamNumber(Upstream);
  if (Crashes.onLost(Request, Number, Now) == suspicion::Quarantined)
    Log.warn(event_category::Request, "request_quarantined",
             {{"fingerprint", fmt::format("{:016x}", Request)},
              {"upstream", Upstream}});
  if (Messenger)
    Messenger->sendLoss(Request, Number);
}

void gateway_core::recordRefusal(refusal Refusal, std::string_view RequestId,
                                 int Status, span_ns RetryAfter) {
  Refusal.ConfigurationVersion = Routing ? Routing->Version : 0;
  Refusal.At = readClock().Wall;
  Metrics.onRefusal(Refusal.Kind, Refusal.Team);
  const refusal &Kept = Refusals.record(std::move(Refusal));
  Digest.add(Kept);
  const auto Age = Proof.age(readBootClock());
  Log.info(event_category::Request, "refused",
           {{"id", RequestId},
            {"kind", errorRow(Kept.Kind).Name},
            {"status", Status},
            {"team", Kept.Team},
            {"route", Kept.Route},
            {"reference", Kept.Reference},
            {"detail", Kept.Detail},
            {"version", Kept.ConfigurationVersion},
            {"evidence_age_ms", Age.value_or(UnknownAge)},
            {"retry_after_ms", RetryAfter}});
}

bool gateway_core::ready(instant Now) const {
  return Routing && RosterKnown && !Leaving && !Directory.all().empty() &&
         Proof.coversKeys(Now, ProofTerms);
}

} // namespace ebonyvale

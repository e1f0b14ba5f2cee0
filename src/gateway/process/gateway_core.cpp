#include "gateway/process/gateway_core.h"

#include "net/machine_limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <spdlog/fmt/fmt.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Fractions of the operators' tolerance that the quota shares include. The
/// rest covers tokens spent twice around restarts and membership changes.
constexpr double UsedExcessFraction = 0.9;
constexpr double UsedSlackFraction = 0.6;

/// Fill of a new process's token buckets, as a fraction of the burst. All
/// instances together then start with less than the unused tolerance.
constexpr double StartFraction = 0.1;

/// Subtracted from the bound on outdated weights: the delay until this instance
/// learns of a version, plus the network time to an upstream.
constexpr span_ns WeightsMargin = std::chrono::milliseconds(2000);

constexpr std::size_t BytesPerMb = 1'000'000;

/// Time between two checks of the services' room without requests.
constexpr span_ns RoomInterval = std::chrono::milliseconds(100);

/// Longest delay between the check of a key and the send of the request.
constexpr span_ns LateTimerMargin = std::chrono::milliseconds(100);

quota_ledger_options ledgerOptions() {
  quota_ledger_options Options;
  Options.StartFraction = StartFraction;
  // Rebalancing uses billed links, so it is infrequent.
  Options.RebalanceInterval = std::chrono::seconds(1);
  Options.RebalancePeers = 1;
  return Options;
}

schedule_options schedulerOptions(const gateway_settings &Settings) {
  schedule_options Options;
  Options.PrefillTokensPerMs = static_cast<double>(Settings.PrefillTokensPerMs);
  Options.RecomputeWeight = static_cast<double>(Settings.RecomputeWeight);
  Options.FetchWeight = static_cast<double>(Settings.FetchWeight);
  Options.EnginesPerFirstSegment =
      static_cast<std::size_t>(Settings.EnginesPerFirstSegment);
  Options.RegionMs = static_cast<double>(Settings.RegionMs);
  Options.OldWeightsMs = static_cast<double>(Settings.OldWeightsMs);
  if (Settings.LearnedCosts == "off")
    Options.Learning = cost_learning::Off;
  else if (Settings.LearnedCosts == "on" || hasPressure(Settings))
    Options.Learning = cost_learning::On;
  else
    Options.Learning = cost_learning::Stated;
  Options.WeightsAge.MaxAge =
      std::chrono::milliseconds(Settings.WeightsBoundMs) - WeightsMargin;
  return Options;
}

retry_options retryOptionsOf(const gateway_settings &Settings) {
  return {Settings.RetryRatio, static_cast<double>(Settings.RetrySlack),
          fromSeconds(Settings.RetryWindowSeconds)};
}

release_options releaseOptionsOf(const gateway_settings &Settings) {
  return {Settings.ExposeShare, static_cast<double>(Settings.CanarySlack),
          std::chrono::milliseconds(Settings.RollbackMs)};
}

freshness_options freshnessOptionsOf(const gateway_settings &Settings) {
  freshness_options Options;
  Options.MaxKeyAge = std::chrono::milliseconds(Settings.KeyBoundMs);
  Options.KeyAgeMargin =
      std::chrono::milliseconds(Settings.TransitMs) + LateTimerMargin;
  Options.MaxApplyDelay = std::chrono::milliseconds(Settings.ApplyBoundMs);
  return Options;
}

} // namespace

engine_id upstreamHash(std::string_view Upstream) {
  return static_cast<engine_id>(XXH3_64bits(Upstream.data(), Upstream.size()));
}

gateway_core::gateway_core(event_base *Base, const gateway_settings &Settings,
                           const platform_protocols &Protocols,
                           std::uint64_t Boot, std::string KeySecret)
    : Base(Base), Settings(Settings), Protocols(Protocols), Boot(Boot),
      Started(readBootClock()), KeySecret(std::move(KeySecret)),
      Log(Base, Settings.LogLevel, Settings.LogLinesPerSecond),
      Links(Base, client_pool_options{}),
      ResponseBuffers(static_cast<std::size_t>(Settings.ResponseBufferMb) *
                      BytesPerMb),
      CallerMemory(callerMemoryBytes(Settings.MemoryLimitMb),
                   maxCallerConnections(Settings.MaxDescriptors)),
      Scheduler(schedulerOptions(Settings), Settings.Domain,
                regionsOf(Settings.Domains)),
      UpstreamLimits(Settings.InstanceName),
      UpstreamPaths(Settings.InstanceName, Settings.Domain,
                    regionsOf(Settings.Domains)),
      Releases(Settings.InstanceName, releaseOptionsOf(Settings)),
      Room(hasPressure(Settings)), Roster(Settings.InstanceName),
      FreshnessOptions(freshnessOptionsOf(Settings)),
      Shares(ledgerOptions(), Started, Boot), Crashes(crash_tracker_options{}),
      SegmentQuarantine(segment_quarantine_options{}),
      Refusals(Settings.InstanceName, Boot,
               refusal_log_options{.Records = 2000}),
      RetryOptions(retryOptionsOf(Settings)),
      ShareTimer(Base,
                 [this] {
                   execute(Shares.onTick(readBootClock()));
                   armShareTimer();
                 }),
      RoomTimer(Base, [this] { logRoomChanges(readBootClock()); }) {
  if (Room.isOn())
    RoomTimer.startPeriodic(RoomInterval);
  Scheduler.announcedWeights().setStart(Started);
  Links.observeIdleLosses([this](const endpoint &Server) {
    for (const auto &[Id, Entry] : Directory.all())
      if (Entry.Port == Server.Port && Entry.Address == Server.Address)
        onSoftwareUncertain(Entry.process(), "idle_connection_lost",
                            readBootClock());
  });
}

void gateway_core::setRouting(routing_table Table, instant Now) {
  if (Routing && Table.Version <= Routing->Version)
    return;
  const std::uint64_t Before = Routing ? Routing->Version : 0;
  Routing = std::make_shared<const routing_table>(std::move(Table));
  // Others may have followed versions that this instance has not read.
  if (ConfigFreshness.age(Now) > FreshnessOptions.MaxApplyDelay) {
    RoutingHistory.onGap();
    RoutingGapAt = Now;
  }
  RoutingHistory.onInForce(Routing, Now);
  Metrics.RoutingVersion.Set(static_cast<double>(Routing->Version));
  Log.info(event_category::Process, "configuration_in_force",
           {{"version", Routing->Version},
            {"before", Before},
            {"behind_ms", ConfigFreshness.behindFor(Now).value_or(span_ns(0))},
            {"routes", Routing->Routes.size()},
            {"teams", Routing->Teams.size()}});
  updateEngineOptions();
  Room.setTeams(Routing->Teams);
  DividedBy = 0;
  updateShares(Now);
  if (OnRouting)
    OnRouting->onRoutingChanged(*Routing, Now);
}

/// Passes the cache sizes and transfer rates of engines and cache stores to the
/// scheduler.
void gateway_core::updateEngineOptions() {
  constexpr double BytesPerMsPerMbps = 125; // 1 Mbps is 10^6 bits a second
  double TokenBytes = 0;
  for (const auto &[Name, Service] : Routing->Services) {
    if (!Service.Engine)
      continue;
    engine_spec Engine;
    Engine.CacheTokens = static_cast<double>(Service.Engine->CacheTokens);
    if (Service.Engine->TokenBytes > 0)
      Engine.FetchTokensPerMs = Service.Engine->LinkMbps * BytesPerMsPerMbps /
                                Service.Engine->TokenBytes;
    TokenBytes = std::max(TokenBytes, Service.Engine->TokenBytes);
    Scheduler.setEngine(Name, Engine);
  }
  std::vector<cache_store_spec> Stores;
  for (const auto &[Name, Service] : Routing->Services)
    if (Service.CacheStore && TokenBytes > 0)
      Stores.push_back(
          {Service.CacheStore->Address, Service.CacheStore->Domain,
           Service.CacheStore->LinkMbps * BytesPerMsPerMbps / TokenBytes,
           Service.CacheStore->CacheTokens});
  Scheduler.setCacheStores(Stores);
}

void gateway_core::onSettingsChanged(instant Now) {
  FreshnessOptions = freshnessOptionsOf(Settings);
  RetryOptions = retryOptionsOf(Settings);
  Releases.setOptions(releaseOptionsOf(Settings));
  Scheduler.setMaxWeightsAge(schedulerOptions(Settings).WeightsAge.MaxAge);
  // Quota shares are computed anew; what the instance holds of them stays.
  DividedBy = 0;
  updateShares(Now);
}

void gateway_core::updateScheduler() {
  const std::uint64_t Generation = Directory.generation();
  if (std::exchange(ScheduledGeneration, Generation) == Generation)
    return;
  Scheduler.update(Directory);
  UpstreamPaths.update(Directory);
  SoftwareHistory.update(Directory, readBootClock());
}

void gateway_core::onUpstreamsConfirmed(instant At) {
  if (UpstreamsConfirmedAt && At <= *UpstreamsConfirmedAt)
    return;
  UpstreamsConfirmedAt = At;
  Unconfirmed.expire(Directory, At);
}

/// Returns the quota share of \p Team. Operators tolerate, over all instances
/// and for any window, (rate x window + burst) x (1 + excess) + slack.
team_limits gateway_core::limitsOf(const team_entry &Team) const {
  const double Factor = 1 + UsedExcessFraction * Settings.LimitExcess;
  const double Slack =
      UsedSlackFraction * static_cast<double>(Settings.LimitSlackTokens);
  const double Instances =
      static_cast<double>(std::max<std::size_t>(1, DividedBy));
  return {{Team.Rate * Factor / Instances,
           (Team.Burst * Factor + Slack) / Instances},
          DividedBy <= 1};
}

void gateway_core::onRosterKnown(instant Now) {
  RosterKnown = true;
  updateShares(Now);
}

void gateway_core::updateShares(instant Now) {
  const std::size_t Count = Roster.quotaShareCount(Now, Started);
  Metrics.Instances.Set(static_cast<double>(Count));
  if (!Routing || !RosterKnown || Count == DividedBy)
    return;
  if (DividedBy != 0)
    Log.info(event_category::Peer, "limits_divided",
             {{"instances", Count}, {"before", DividedBy}});
  DividedBy = Count;
  updateUpstreamLimits(Now);
  std::vector<std::string> Names;
  std::vector<quota_action> Admitted;
  for (const team_entry &Team : Routing->Teams) {
    if (Team.Rate <= 0) {
      std::ranges::copy(Shares.liftLimits(Team.Name),
                        std::back_inserter(Admitted));
      continue;
    }
    Names.push_back(Team.Name);
    Shares.setTeam(Team.Name, limitsOf(Team), Now);
  }
  execute(Admitted);
  execute(Shares.keepTeams(Names));
}

void gateway_core::requestStarted(open_request *Request) {
  OpenRequests.insert(Request);
  Metrics.OpenRequests.Set(static_cast<double>(OpenRequests.size()));
}

void gateway_core::requestEnded(open_request *Request) {
  OpenRequests.erase(Request);
  Metrics.OpenRequests.Set(static_cast<double>(OpenRequests.size()));
}

void gateway_core::endOpenRequests() {
  // Requests are destroyed from the event loop, not while they end.
  const std::vector<open_request *> Open(OpenRequests.begin(),
                                         OpenRequests.end());
  for (open_request *Request : Open)
    Request->endForStop();
}

void gateway_core::requestTokens(std::uint64_t Number, std::string_view Team,
                                 double Tokens,
                                 const std::weak_ptr<token_waiter> &Waiter) {
  Waiters[Number] = Waiter;
  execute(Shares.request(Number, Team, {Tokens, 0}, readBootClock()));
  armShareTimer();
}

void gateway_core::withdrawTokens(std::uint64_t Number, std::string_view Team) {
  Waiters.erase(Number);
  Shares.withdraw(Team, Number);
}

void gateway_core::onLendResponse(const std::string &Peer,
                                  const lend_response &Response) {
  execute(Shares.onLendResponse(Peer, Response, readBootClock()));
  armShareTimer();
}

void gateway_core::execute(const std::vector<quota_action> &Actions) {
  const auto TakeWaiter = [this](request_number Number) {
    const auto Node = Waiters.extract(Number);
    return Node.empty() ? nullptr : Node.mapped().lock();
  };
  for (const quota_action &Action : Actions) {
    if (const auto *Admit = std::get_if<admit_action>(&Action)) {
      if (const auto Waiter = TakeWaiter(Admit->Request))
        Waiter->onTokensReserved(Admit->Reserved);
    } else if (const auto *Refuse = std::get_if<refuse_action>(&Action)) {
      if (const auto Waiter = TakeWaiter(Refuse->Request))
        Waiter->onTokensRefused(*Refuse);
    } else if (const auto *Send = std::get_if<send_lend_request>(&Action)) {
      if (Messenger)
        Messenger->sendLendRequest(Send->Peer, Send->LendRequest);
    } else if (const auto *Return = std::get_if<send_lend_return>(&Action)) {
      if (Messenger)
        Messenger->sendLendReturn(Return->Peer, Return->Return);
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
  retryBudget(Service).onRequest(Now, RetryOptions);
}

bool gateway_core::takeRetry(std::string_view Service, instant Now) {
  const std::size_t Instances =
      RosterKnown ? Roster.spendingCount(Now, RetryOptions.Window) : 0;
  return retryBudget(Service).take(Now, RetryOptions, Instances);
}

fleet_retry_budget &gateway_core::retryBudget(std::string_view Service) {
  return Retries.try_emplace(std::string(Service), Started).first->second;
}

void gateway_core::onUpstreamLimit(std::string_view Upstream,
                                   const response_info &Response,
                                   instant SentAt, instant Now) {
  // A malformed limit does not end the one that is known.
  if (Response.NamesLimit && !Response.Limit)
    return Log.warn(event_category::Upstream, "limit_unreadable",
                    {{"upstream", Upstream}});
  // Another process, or a part of the upstream that knows no limit, may have
  // refused the request.
  if (Response.NotRun && !Response.NamesLimit)
    return;
  const auto Before = UpstreamLimits.limitOf(Upstream);
  if (!UpstreamLimits.onResponse(Upstream, Response.Limit, SentAt, Now))
    return;
  onLimitChanged(Upstream, Before, /*FromPeer=*/false, Now);
  if (!Messenger)
    return;
  for (const named_limit &Limit : UpstreamLimits.ownSince(Now))
    if (Limit.Upstream == Upstream)
      Messenger->sendLimit(Limit);
}

void gateway_core::onPeerLimit(const named_limit &Limit, instant Now) {
  const auto Before = UpstreamLimits.limitOf(Limit.Upstream);
  if (UpstreamLimits.onPeerLimit(Limit, Now))
    onLimitChanged(Limit.Upstream, Before, /*FromPeer=*/true, Now);
}

void gateway_core::onLimitChanged(std::string_view Upstream,
                                  std::optional<double> Before, bool FromPeer,
                                  instant Now) {
  updateUpstreamLimits(Now);
  constexpr double None = -1;
  Log.info(event_category::Upstream, "limit_named",
           {{"upstream", Upstream},
            {"per_second", UpstreamLimits.limitOf(Upstream).value_or(None)},
            {"before", Before.value_or(None)},
            {"from_peer", FromPeer}});
}

void gateway_core::updateUpstreamLimits(instant Now) {
  UpstreamPauses.expire(Now);
  Brittle.expire(Now);
  if (!RosterKnown || UpstreamLimits.empty())
    return;
  UpstreamLimits.expire(Now);
  Metrics.LimitedUpstreams.Set(static_cast<double>(UpstreamLimits.count()));
  std::vector<limit_member> Members{{Settings.InstanceName, Settings.Domain}};
  for (const auto &[Name, Domain] : Roster.countedPeers(Now, Started))
    Members.push_back({std::string(Name), std::string(Domain)});
  UpstreamLimits.setMembers(std::move(Members));
}

void gateway_core::recordRefusal(refusal Refusal, std::string_view RequestId,
                                 int Status, span_ns RetryAfter) {
  Refusal.ConfigurationVersion = Routing ? Routing->Version : 0;
  Refusal.At = readClock().Wall;
  Metrics.onRefusal(Refusal.Kind, Refusal.Team);
  const refusal &Recorded = Refusals.record(std::move(Refusal));
  UnwrittenRefusals.add(Recorded);
  const auto Age = ConfigFreshness.age(readBootClock());
  Log.info(event_category::Request, "refused",
           {{"id", RequestId},
            {"kind", errorRow(Recorded.Kind).Name},
            {"status", Status},
            {"team", Recorded.Team},
            {"route", Recorded.Route},
            {"reference", Recorded.Reference},
            {"detail", Recorded.Detail},
            {"version", Recorded.ConfigurationVersion},
            {"evidence_age_ms", Age.value_or(UnknownAge)},
            {"retry_after_ms", RetryAfter}});
}

void gateway_core::onMemoryRefusal() {
  Metrics.MemoryRefusals.Increment();
  Log.info(event_category::Request, "no_memory",
           {{"held_bytes", CallerMemory.used()},
            {"connections", CallerMemory.connections()}});
}

void gateway_core::onConnectionShed(std::string_view Reason) {
  Metrics.ConnectionsShed.Increment();
  Log.info(event_category::Request, "connection_shed",
           {{"reason", Reason},
            {"held_bytes", CallerMemory.used()},
            {"connections", CallerMemory.connections()}});
}

} // namespace ebonyvale

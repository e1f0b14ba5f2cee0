#include "daemon/process/router_core.h"

#include "net/machine_limits.h"

#include "daemon/process/logging.h"
#include "decisions/process/domain_quota.h"

#include <utility>

namespace ebonyvale {
namespace {

quota_ledger_options makeShareOptions(const daemon_settings &Settings) {
  quota_ledger_options Options;
  Options.MaxWait = std::chrono::milliseconds(Settings.AdmissionWaitMs);
  constexpr double Percent = 0.01;
  Options.StartFraction = static_cast<double>(Settings.StartTokens) * Percent;
  return Options;
}

dispatch_options makeDispatchOptions(const daemon_settings &Settings) {
  return {static_cast<std::size_t>(Settings.MaxQueued),
          static_cast<std::size_t>(Settings.IndexEntries)};
}

refusal_log_options makeRefusalOptions(const daemon_settings &Settings) {
  return {static_cast<std::size_t>(Settings.RefusalRecords),
          std::chrono::minutes(Settings.RefusalRetentionMinutes)};
}

} // namespace

router_core::router_core(event_base *Base, const daemon_settings &Settings,
                         std::uint64_t BootId)
    : Base(Base), Settings(Settings), BootId(BootId),
      CallerMemory(callerMemoryBytes(Settings.MemoryLimitMb),
                   maxCallerConnections(Settings.MaxDescriptors)),
      Tracer(makeTracer(Settings.InstanceName, Settings.TraceFile, BootId)),
      Engines(Settings.Domain, Settings.Region),
      Dispatcher(makeDispatchOptions(Settings), Engines,
                 makePlacementPolicy(Settings.PlacementPolicy, BootId)),
      Shares(makeShareOptions(Settings),
             readClock().Now + makeShareOptions(Settings).HoldDuration, BootId),
      Refusals(Settings.InstanceName, BootId, makeRefusalOptions(Settings)),
      Crashes(crash_tracker_options{}),
      ShareTimer(Base,
                 [this] {
                   const instant Now = readClock().Now;
                   execute(Shares.onTick(Now));
                   armShareTimer(Now);
                 }),
      Connections(Base) {}

void router_core::setConfiguration(configuration_ptr Next,
                                   const clock_reading &At) {
  if (Config && Next->Version <= Config->Version)
    return;
  Config = std::move(Next);
  logFor(log_category::Configuration)
      .info("configuration version {} took effect, note {}", Config->Version,
            Config->NoteId);
  Metrics.ConfigurationVersion.Set(static_cast<double>(Config->Version));
  Engines.update(*Config);
  applyLimits(At.Now);
  // Iterates over a copy, since an observer may unregister its request.
  const auto Copy = Requests;
  for (const auto &[Number, Request] : Copy)
    if (const auto Locked = Request.lock())
      Locked->onConfigurationChange(*Config);
  if (Observer)
    Observer->onVersionChange();
}

void router_core::setOwnsQuotaShare(bool Owns) {
  if (std::exchange(OwnsQuotaShare, Owns) == Owns)
    return;
  logFor(log_category::Process)
      .info(Owns ? "owns a quota share" : "owns no quota share");
  if (Config)
    applyLimits(readClock().Now);
}

void router_core::applyLimits(instant Now) {
  const double Fraction =
      OwnsQuotaShare ? instanceQuotaFraction(*Config, Settings.Domain) : 0;
  std::vector<std::string> Names;
  for (const auto &[Name, Team] : Config->Teams) {
    const auto Rate = static_cast<double>(Team.Rate);
    const auto Burst = static_cast<double>(Team.Burst);
    // The last member is set for an instance that owns the whole quota: it has
    // no peer to which an earlier process could have lent tokens.
    Shares.setTeam(Name, {{Rate * Fraction, Burst * Fraction}, Fraction >= 1},
                   Now);
    Names.push_back(Name);
  }
  execute(Shares.keepTeams(Names));
}

std::uint64_t
router_core::registerRequest(const std::weak_ptr<request_observer> &Request) {
  Requests.emplace(++LastRequestNumber, Request);
  Metrics.OpenRequests.Set(static_cast<double>(Requests.size()));
  return LastRequestNumber;
}

void router_core::unregisterRequest(std::uint64_t Number) {
  Requests.erase(Number);
  Metrics.OpenRequests.Set(static_cast<double>(Requests.size()));
}

void router_core::requestTokens(std::uint64_t Number, std::string_view Team,
                                const token_cost &Cost) {
  const instant Now = readClock().Now;
  execute(Shares.request(Number, Team, Cost, Now));
  armShareTimer(Now);
}

void router_core::withdrawTokens(std::uint64_t Number, std::string_view Team) {
  Shares.withdraw(Team, Number);
}

void router_core::submit(dispatch_request Request) {
  execute(Dispatcher.submit(std::move(Request), readClock().Now));
}

void router_core::withdrawSubmission(std::uint64_t Number) {
  Dispatcher.withdraw(Number);
}

void router_core::finishRequest(std::uint64_t Number, double Tokens) {
  execute(Dispatcher.onEnded(Number, Tokens, readClock().Now));
}

void router_core::reportFailure(engine_id Engine) {
  const instant Now = readClock().Now;
  Engines.onFailure(Engine, Now);
  logFor(log_category::Upstream)
      .warn("upstream {} failed, sending no requests for {} ms",
            Engines.at(Engine).Name,
            std::chrono::duration_cast<std::chrono::milliseconds>(
                Engines.at(Engine).DownUntil - Now)
                .count());
  execute(Dispatcher.onUnusable(Engine, Now));
}

bool router_core::tryRetry(const std::string &Team) {
  if (!RetryBudgets[Team].tryRetry())
    return false;
  Metrics.Retries.Increment();
  return true;
}

void router_core::countFirstAttempt(const std::string &Team) {
  RetryBudgets[Team].onRequest();
}

const refusal &router_core::recordRefusal(refusal Refusal) {
  Refusal.ConfigurationVersion = Config ? Config->Version : 0;
  const refusal &Recorded = Refusals.record(std::move(Refusal));
  Metrics.onRefusal(Recorded.Kind, Recorded.Team);
  logFor(log_category::Caller)
      .info("refused {}: {} team '{}' route '{}' {}", Recorded.Reference,
            errorRow(Recorded.Kind).Name, Recorded.Team, Recorded.Route,
            Recorded.Detail);
  if (Observer)
    Observer->onRefusal(Recorded);
  return Recorded;
}

void router_core::onPlacementHint(piece_hash FirstPiece,
                                  std::string_view Engine) {
  if (const auto Id = Engines.findId(Engine))
    Dispatcher.onPeerHint(FirstPiece, *Id, readClock().Now);
}

lend_response router_core::onLendRequest(std::string_view Peer,
                                         const lend_request &Request) {
  return Shares.onLendRequest(Peer, Request, readClock().Now);
}

void router_core::onLendResponse(const std::string &Peer,
                                 const lend_response &Response) {
  const instant Now = readClock().Now;
  Metrics.TokensBorrowed.Increment(Response.Lent);
  execute(Shares.onLendResponse(Peer, Response, Now));
  armShareTimer(Now);
}

void router_core::execute(const std::vector<quota_action> &Actions) {
  struct visitor {
    router_core &Core;
    void operator()(const admit_action &Admit) const {
      const auto Request = Core.findRequest(Admit.Request);
      if (Request)
        Request->onAdmitted(Admit.Reserved);
    }
    void operator()(const refuse_action &Refuse) const {
      if (const auto Request = Core.findRequest(Refuse.Request))
        Request->onAdmissionRefused(Refuse);
    }
    void operator()(const send_lend_request &Send) const {
      Core.Metrics.LendRequestsSent.Increment();
      if (Core.Messenger)
        Core.Messenger->sendLendRequest(Send.Peer, Send.LendRequest);
    }
    void operator()(const send_lend_return &Send) const {
      if (Core.Messenger)
        Core.Messenger->sendLendReturn(Send.Peer, Send.Return);
    }
  };
  for (const quota_action &Action : Actions)
    std::visit(visitor{*this}, Action);
}

void router_core::execute(const dispatch_actions &Actions) {
  struct visitor {
    router_core &Core;
    void operator()(const dispatch_start &Start) const {
      if (const auto Request = Core.findRequest(Start.Number))
        Request->onDispatchStarted(Start);
      else
        Core.finishRequest(Start.Number, 0);
    }
    void operator()(const dispatch_hint &Hint) const {
      if (Core.Messenger)
        Core.Messenger->sendHint(Hint.FirstPiece,
                                 Core.Engines.at(Hint.Engine).Name);
    }
    void operator()(const dispatch_refuse &Refuse) const {
      if (const auto Request = Core.findRequest(Refuse.Number))
        Request->onDispatchRefused(Refuse);
    }
  };
  for (const dispatch_action &Action : Actions)
    std::visit(visitor{*this}, Action);
  Metrics.QueuedRequests.Set(static_cast<double>(Dispatcher.queued()));
}

std::shared_ptr<request_observer>
router_core::findRequest(std::uint64_t Number) const {
  const auto Found = Requests.find(Number);
  return Found == Requests.end() ? nullptr : Found->second.lock();
}

void router_core::armShareTimer(instant Now) {
  if (const auto Next = Shares.nextTick(Now))
    ShareTimer.startOnce(*Next - Now);
}

} // namespace ebonyvale

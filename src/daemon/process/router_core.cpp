#include "daemon/process/router_core.h"

#include "daemon/process/logging.h"
#include "decisions/process/domain_parts.h"

#include <utility>

namespace ebonyvale {
namespace {

share_rules shareRules(const daemon_settings &Settings) {
  share_rules Rules;
  Rules.WaitMax = std::chrono::milliseconds(Settings.AdmissionWaitMs);
  constexpr double Percent = 0.01;
  Rules.StartFraction = static_cast<double>(Settings.StartTokens) * Percent;
  return Rules;
}

dispatch_rules dispatchRules(const daemon_settings &Settings) {
  return {static_cast<std::size_t>(Settings.MaxQueued),
          static_cast<std::size_t>(Settings.IndexEntries)};
}

refusal_bounds refusalBounds(const daemon_settings &Settings) {
  return {static_cast<std::size_t>(Settings.RefusalRecords),
          std::chrono::minutes(Settings.RefusalRetentionMinutes)};
}

} // namespace

router_core::router_core(event_base *Base, const daemon_settings &Settings,
                         std::uint64_t Boot)
    : Base(Base), Settings(Settings), Boot(Boot),
      Tracer(makeTracer(Settings.InstanceName, Settings.TraceFile, Boot)),
      Engines(Settings.Domain, Settings.Region),
      Dispatcher(dispatchRules(Settings), Engines,
                 makePlacementPolicy(Settings.PlacementPolicy, Boot)),
      Shares(shareRules(Settings),
             readClock().Now + shareRules(Settings).HoldTerm, Boot),
      Refusals(Settings.InstanceName, Boot, refusalBounds(Settings)),
      Crashes(crash_rules{}), ShareTimer(Base,
                                         [this] {
                                           const instant Now = readClock().Now;
                                           carryOut(Shares.onTick(Now));
                                           armShareTimer(Now);
                                         }),
      Connections(Base) {}

void router_core::setConfiguration(configuration_ptr Next,
                                   const clock_reading &At) {
  if (Config && Next->Version <= Config->Version)
    return;
  Config = std::move(Next);
  logFor(log_category::Configuration)
      .info("version {} in force, note {}", Config->Version, Config->NoteId);
  Metrics.ConfigurationVersion.Set(static_cast<double>(Config->Version));
  Engines.update(*Config);
  applyLimits(At.Now);
  const auto Present = Parties;
  for (const auto &[Number, Party] : Present)
    if (const auto Alive = Party.lock())
      Alive->onConfiguration(*Config);
  if (Observer)
    Observer->onVersion();
}

void router_core::setOwnsSlot(bool Owns) {
  if (std::exchange(OwnsSlot, Owns) == Owns)
    return;
  logFor(log_category::Process)
      .info(Owns ? "owns a part of the limits" : "owns no part of the limits");
  if (Config)
    applyLimits(readClock().Now);
}

void router_core::applyLimits(instant Now) {
  // The only instance of a fleet can have no peer that was lent tokens.
  const double Fraction =
      OwnsSlot ? instanceFraction(*Config, Settings.Domain) : 0;
  std::vector<std::string> Names;
  for (const auto &[Name, Team] : Config->Teams) {
    const auto Rate = static_cast<double>(Team.Rate);
    const auto Burst = static_cast<double>(Team.Burst);
    Shares.setTeam(Name, {{Rate * Fraction, Burst * Fraction}, Fraction >= 1},
                   Now);
    Names.push_back(Name);
  }
  carryOut(Shares.keepTeams(Names));
}

std::uint64_t router_core::enter(const std::weak_ptr<request_party> &Party) {
  Parties.emplace(++LastNumber, Party);
  Metrics.OpenRequests.Set(static_cast<double>(Parties.size()));
  return LastNumber;
}

void router_core::leave(std::uint64_t Number) {
  Parties.erase(Number);
  Metrics.OpenRequests.Set(static_cast<double>(Parties.size()));
}

void router_core::requestTokens(std::uint64_t Number, std::string_view Team,
                                const token_cost &Cost) {
  const instant Now = readClock().Now;
  carryOut(Shares.request(Number, Team, Cost, Now));
  armShareTimer(Now);
}

void router_core::withdrawTokens(std::uint64_t Number, std::string_view Team) {
  Shares.withdraw(Team, Number);
}

void router_core::submit(dispatch_request Request) {
  carryOut(Dispatcher.submit(std::move(Request), readClock().Now));
}

void router_core::withdrawSubmission(std::uint64_t Number) {
  Dispatcher.withdraw(Number);
}

void router_core::endWork(std::uint64_t Number, double Tokens) {
  carryOut(Dispatcher.onEnded(Number, Tokens, readClock().Now));
}

void router_core::reportFailure(engine_id Engine) {
  const instant Now = readClock().Now;
  Engines.onFailure(Engine, Now);
  logFor(log_category::Upstream)
      .warn("upstream {} failed, no work for {} ms", Engines.at(Engine).Name,
            std::chrono::duration_cast<std::chrono::milliseconds>(
                Engines.at(Engine).DownUntil - Now)
                .count());
  carryOut(Dispatcher.onUnusable(Engine, Now));
}

bool router_core::tryRetry(const std::string &Team) {
  if (!RetryBudgets[Team].tryRetry())
    return false;
  Metrics.Retries.Increment();
  return true;
}

void router_core::countAttempt(const std::string &Team) {
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

void router_core::onPlacementHint(piece_hash Front, std::string_view Engine) {
  if (const auto Id = Engines.findId(Engine))
    Dispatcher.onPeerHint(Front, *Id, readClock().Now);
}

share_reply router_core::onShareAsk(std::string_view Peer,
                                    const share_ask &Ask) {
  return Shares.onAsk(Peer, Ask, readClock().Now);
}

void router_core::onShareReply(const std::string &Peer,
                               const share_reply &Reply) {
  const instant Now = readClock().Now;
  Metrics.TokensBorrowed.Increment(Reply.Lent);
  carryOut(Shares.onReply(Peer, Reply, Now));
  armShareTimer(Now);
}

void router_core::carryOut(const std::vector<share_action> &Actions) {
  struct visitor {
    router_core &Core;
    void operator()(const share_admit &Admit) const {
      const auto Party = Core.party(Admit.Request);
      if (Party)
        Party->onAdmitted(Admit.Reserved);
    }
    void operator()(const share_refuse &Refuse) const {
      if (const auto Party = Core.party(Refuse.Request))
        Party->onLimited(Refuse);
    }
    void operator()(const share_send_ask &Send) const {
      Core.Metrics.SharesAsked.Increment();
      if (Core.Messenger)
        Core.Messenger->sendAsk(Send.Peer, Send.Ask);
    }
    void operator()(const share_send_return &Send) const {
      if (Core.Messenger)
        Core.Messenger->sendReturn(Send.Peer, Send.Return);
    }
  };
  for (const share_action &Action : Actions)
    std::visit(visitor{*this}, Action);
}

void router_core::carryOut(const dispatch_actions &Actions) {
  struct visitor {
    router_core &Core;
    void operator()(const dispatch_start &Start) const {
      if (const auto Party = Core.party(Start.Number))
        Party->onStarted(Start);
      else
        Core.endWork(Start.Number, 0);
    }
    void operator()(const dispatch_hint &Hint) const {
      if (Core.Messenger)
        Core.Messenger->sendHint(Hint.Front, Core.Engines.at(Hint.Engine).Name);
    }
    void operator()(const dispatch_refuse &Refuse) const {
      if (const auto Party = Core.party(Refuse.Number))
        Party->onNotStarted(Refuse);
    }
  };
  for (const dispatch_action &Action : Actions)
    std::visit(visitor{*this}, Action);
  Metrics.QueuedRequests.Set(static_cast<double>(Dispatcher.queued()));
}

std::shared_ptr<request_party> router_core::party(std::uint64_t Number) const {
  const auto Found = Parties.find(Number);
  return Found == Parties.end() ? nullptr : Found->second.lock();
}

void router_core::armShareTimer(instant Now) {
  if (const auto Next = Shares.nextTick(Now))
    ShareTimer.startOnce(*Next - Now);
}

} // namespace ebonyvale

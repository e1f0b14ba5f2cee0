#include "gateway/version/weights_task.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

/// Time between two checks of the claim and the rollout.
constexpr span_ns TickInterval = std::chrono::milliseconds(50);
/// Added to the pause of a new claim holder before its first order: time that
/// an order of the previous holder may take to reach an upstream.
constexpr span_ns IssuerMargin = std::chrono::milliseconds(200);
/// Time from a failed read of the claim to the next one.
constexpr span_ns ReadRetryPause = std::chrono::milliseconds(500);
/// Time between the attempts of two instances to take a free claim, and the
/// longest time that an instance leaves to those before it.
constexpr span_ns ClaimStagger = std::chrono::milliseconds(200);
constexpr span_ns MaxClaimDelay = std::chrono::milliseconds(2000);

rollout_options rolloutOptions(const gateway_settings &Settings) {
  rollout_options Options;
  Options.MaxConcurrent = static_cast<std::size_t>(Settings.MaxWeightLoads);
  Options.PauseLead = std::chrono::milliseconds(Settings.PauseLeadMs);
  return Options;
}

} // namespace

weights_task::weights_task(gateway_core &Core, fleet_store &Store)
    : Core(Core), Store(Store),
      Lease(Core, Store,
            std::chrono::milliseconds(Core.settings().ClaimLeaseMs), "claim",
            [] {}),
      Rollout(rolloutOptions(Core.settings())),
      TickTimer(Core.base(), [this] { onTick(); }) {}

weights_task::~weights_task() = default;

std::string_view weights_task::claimKey() { return "ebonyvale/weights-issuer"; }

void weights_task::start() { TickTimer.startPeriodic(TickInterval); }

void weights_task::leave() { Lease.stop(); }

void weights_task::setTarget(const weights_target &Target) {
  Rollout.setTargetVersion(Target.Model, Target.Version);
}

void weights_task::onUpstreamsChanged() { Rollout.update(Core.directory()); }

void weights_task::onWeights(std::string_view Upstream, std::string_view Model,
                             std::int64_t Version) {
  Rollout.onWeights(Upstream, Model, Version);
}

void weights_task::onClaim(const store_item *Item) {
  const bool Exists = Item && !Item->Removed;
  ClaimKnown = true;
  ClaimHolder = Exists ? Item->Value : "";
  ClaimRevision = Exists ? Item->Revision : 0;
  if (FencingToken != 0 && ClaimRevision != FencingToken) {
    Core.log().warn(event_category::Weights, "claim_lost",
                    {{"fence", FencingToken}, {"holder", ClaimHolder}});
    FencingToken = 0;
    execute(Rollout.abandon());
  }
}

bool weights_task::holdsClaim(instant Now) const {
  return FencingToken != 0 && ClaimLease != 0 && Lease.id(Now) == ClaimLease;
}

void weights_task::tryClaim(instant Now) {
  const bool Free =
      ClaimHolder.empty() || ClaimHolder == Core.settings().InstanceName;
  if (Core.leaving() || (ClaimKnown && !Free)) {
    FreeSince.reset();
    return Lease.stop();
  }
  if (Claiming || !ClaimKnown)
    return FreeSince.reset();
  if (!FreeSince)
    FreeSince = Now;
  const span_ns Delay =
      ClaimStagger * static_cast<std::int64_t>(Core.roster().rank());
  if (Now - *FreeSince < std::min<span_ns>(Delay, MaxClaimDelay))
    return;
  Lease.start();
  const std::int64_t Id = Lease.id(Now);
  if (Id == 0)
    return;
  Claiming = true;
  store_commit Commit;
  Commit.Conditions = {{std::string(claimKey()), ClaimRevision}};
  Commit.Puts = {{std::string(claimKey()), Core.settings().InstanceName, Id}};
  const bool ReplacesOwn = ClaimRevision != 0 && ClaimRevision == LastToken;
  Store.commit(Commit, [this, Id, ReplacesOwn](const store_result &Result) {
    Claiming = false;
    Core.counters().onStoreCall("claim", storeStatusName(Result.Status));
    if (Result.Status == store_status::NotFound)
      Lease.onExpired();
    if (Result.Status != store_status::Ok) {
      // Another instance wrote the claim first, or the outcome of this write is
      // unknown and it may still take effect.
      readClaim();
      return;
    }
    // Listings and changes that peers pass on do not show every holder.
    if (!ReplacesOwn)
      FirstOrderAt =
          readBootClock() + IssuerMargin +
          std::chrono::milliseconds(Core.settings().IssuerHandoverMs);
    FencingToken = LastToken = Result.Revision;
    ClaimLease = Id;
    ClaimRevision = FencingToken;
    ClaimHolder = Core.settings().InstanceName;
    Core.log().info(event_category::Weights, "claim_taken",
                    {{"fence", FencingToken}, {"lease", Id}});
  });
}

void weights_task::readClaim() {
  ClaimKnown = false;
  Store.list(std::string(claimKey()), [this](const store_items &Items) {
    Core.counters().onStoreCall("read_claim", storeStatusName(Items.Status));
    if (Items.Status == store_status::Ok)
      return onClaim(Items.Items.empty() ? nullptr : &Items.Items.front());
    RetryReadAt = readBootClock() + ReadRetryPause;
  });
}

void weights_task::giveUpClaim() {
  if (FencingToken != 0) {
    Core.log().warn(
        event_category::Weights, "claim_given_up",
        {{"fence", FencingToken}, {"reason", "no path to engines"}});
    FencingToken = 0;
    execute(Rollout.abandon());
  }
  FreeSince.reset();
  Lease.stop();
}

void weights_task::onTick() {
  const instant Now = readBootClock();
  // Orders are never sent through a peer: upstreams know an issuer by its
  // address.
  if (Core.isCutFromEngines(Now))
    return giveUpClaim();
  if (!holdsClaim(Now)) {
    if (FencingToken != 0) {
      FencingToken = 0;
      execute(Rollout.abandon());
    }
    if (!ClaimKnown && RetryReadAt && Now >= *RetryReadAt) {
      RetryReadAt.reset();
      return readClaim();
    }
    return tryClaim(Now);
  }
  if (Now < FirstOrderAt || Core.leaving())
    return;
  execute(Rollout.onTick(Now));
}

void weights_task::execute(const rollout_actions &Actions) {
  for (const rollout_action &Action : Actions) {
    if (const auto *Pause = std::get_if<rollout_pause>(&Action)) {
      Core.scheduler().pause(Pause->Upstream,
                             readBootClock() + Pause->PauseTime);
      if (Pause->PauseTime == span_ns(0))
        Core.log().info(event_category::Weights, "work_resumed",
                        {{"upstream", Pause->Upstream}});
      if (Core.messenger())
        Core.messenger()->sendPause(Pause->Upstream, Pause->PauseTime);
    } else if (const auto *Query = std::get_if<rollout_poll>(&Action)) {
      requestReport(Query->Upstream);
    } else if (const auto *Order = std::get_if<rollout_order>(&Action)) {
      sendOrder(*Order);
    }
  }
}

std::optional<client_request>
weights_task::makeRequest(const std::string &Upstream) const {
  const upstream_entry *Entry = Core.directory().find(Upstream);
  if (!Entry)
    return std::nullopt;
  client_request Request;
  Request.Server = {Entry->Address, Entry->Port};
  return Request;
}

void weights_task::requestReport(const std::string &Upstream) {
  auto Request = makeRequest(Upstream);
  if (!Request)
    return;
  Core.protocols().Upstreams.makeReportRequest(Upstream, *Request);
  const upstream_process Asked = Core.directory().find(Upstream)->process();
  const auto Call = std::make_shared<upstream_call>(
      Core, Asked,
      [this, Upstream, Asked,
       SentAt = readBootClock()](const std::shared_ptr<upstream_call> &Done,
                                 int Status, std::string_view Body) {
        Calls.erase(Done);
        constexpr int StatusOk = 200;
        std::optional<upstream_report> Report;
        if (Status == StatusOk)
          Report = Core.protocols().Upstreams.readReport(Body);
        rollout_report Summary;
        if (Report) {
          Core.onUnknownFields("upstream_report", Report->UnknownFields);
          Done->setServerStart(Report->Born);
          Core.onUpstreamStarted(Asked, Report->Born, SentAt);
          Summary = {Report->Busy, Report->AcceptedOrders, Report->Models};
          Core.log().info(event_category::Weights, "report",
                          {{"upstream", Upstream},
                           {"busy", Report->Busy},
                           {"orders", Report->AcceptedOrders}});
          for (const auto &[Model, Version] : Report->Models) {
            Core.scheduler().onWeights(Upstream, Model, Version);
            if (Core.messenger() && !Report->Busy)
              Core.messenger()->sendWeights(Upstream, Model, Version);
          }
        }
        if (FencingToken != 0)
          execute(Rollout.onReport(Upstream, Report ? &Summary : nullptr,
                                   readBootClock()));
      });
  Calls.insert(Call);
  Call->start(*Request);
}

void weights_task::sendOrder(const rollout_order &Order) {
  auto Request = makeRequest(Order.Upstream);
  // No order may be sent once the claim is lost, so it is checked right before
  // sending. The boot clock includes time for which the process or the machine
  // was suspended.
  if (!Request || !holdsClaim(readBootClock()))
    return;
  const std::string Body = Core.protocols().Upstreams.makeOrderRequest(
      {Order.Model, Order.Version, Core.settings().InstanceName, FencingToken,
       Order.AcceptedOrders},
      Order.Upstream, *Request);
  Request->Body = Body;
  Core.counters().OrdersSent.Increment();
  Core.log().info(event_category::Weights, "order_sent",
                  {{"upstream", Order.Upstream},
                   {"model", Order.Model},
                   {"version", Order.Version},
                   {"fence", FencingToken},
                   {"expected", Order.AcceptedOrders}});
  const auto Call = std::make_shared<upstream_call>(
      Core, Core.directory().find(Order.Upstream)->process(),
      [this, Order](const std::shared_ptr<upstream_call> &Done, int Status,
                    std::string_view) {
        Calls.erase(Done);
        const order_result Response =
            Status == 0 ? order_result::Unknown
                        : Core.protocols().Upstreams.readOrderResponse(Status);
        order_outcome Outcome = order_outcome::Unknown;
        if (Response == order_result::Accepted ||
            Response == order_result::AlreadyHolds)
          Outcome = order_outcome::AcceptedOrLoaded;
        else if (Response == order_result::Conflict)
          Outcome = order_outcome::Conflict;
        else if (Response == order_result::Rejected)
          Outcome = order_outcome::Rejected;
        Core.log().info(event_category::Weights, "order_answered",
                        {{"upstream", Order.Upstream},
                         {"version", Order.Version},
                         {"status", Status}});
        execute(
            Rollout.onOrderResponse(Order.Upstream, Outcome, readBootClock()));
      });
  Calls.insert(Call);
  Call->start(*Request);
}

} // namespace ebonyvale

#include "gateway/version/release_task.h"

#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using nlohmann::json;

constexpr std::string_view ClaimKey = "ebonyvale/release-decider";
constexpr std::string_view RecordPrefix = "ebonyvale/releases/";

/// Time between two comparisons of versions.
constexpr span_ns TickInterval = std::chrono::milliseconds(100);
/// Time between two rounds of messages: a message crosses a domain of twelve in
/// two rounds, far within the bound on a roll-back of a few seconds.
constexpr span_ns RoundInterval = std::chrono::milliseconds(250);
/// For how long peers are told how a release has ended, so that those who lost
/// messages or do not reach the store learn of it.
constexpr span_ns TellAfterEnd = std::chrono::seconds(5);

std::optional<release_state> readState(std::string_view Name) {
  for (const release_state State :
       {release_state::Running, release_state::Finishing,
        release_state::Completed, release_state::RolledBack})
    if (toString(State) == Name)
      return State;
  return std::nullopt;
}

} // namespace

release_task::release_task(gateway_core &Core, fleet_store &Store)
    : Core(Core), Store(Store),
      Claim(Core, Store, std::string(ClaimKey),
            [this] { this->Core.releases().onStoreTrouble(); }),
      Receivers(Core.settings().InstanceName, Core.settings().Domain),
      TickTimer(Core.base(), [this] { onTick(); }) {
  Core.setReleaseExchange(this);
}

release_task::~release_task() { Core.setReleaseExchange(nullptr); }

void release_task::leave() { Claim.release(); }

std::string release_task::recordKey(std::string_view Service) {
  return std::string(RecordPrefix).append(Service);
}

std::optional<release_task::record>
release_task::readRecord(const store_item &Item) {
  const json Source = json::parse(Item.Value, nullptr, false);
  if (!Source.is_object())
    return std::nullopt;
  try {
    const auto State = readState(Source.at("state").get<std::string>());
    const std::int64_t AgeMs = Source.at("age_ms");
    if (!State || AgeMs < 0)
      return std::nullopt;
    return record{{*State, Source.at("software"), Source.at("order")},
                  Item.Revision,
                  std::chrono::milliseconds(AgeMs)};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::string release_task::writeRecord(const release_status &Status,
                                      span_ns OrderAge) {
  const auto AgeMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(OrderAge);
  return json{{"state", toString(Status.State)},
              {"software", Status.Software},
              {"order", Status.OrderRevision},
              {"age_ms", AgeMs.count()}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

void release_task::onOrder(std::string_view Service,
                           const std::optional<release_order> &Order,
                           std::int64_t Revision, bool AtStart) {
  const instant Now = readBootClock();
  if (Core.settings().ExposeShare <= 0) {
    if (Order)
      Core.log().info(event_category::Release, "order_ignored",
                      {{"service", Service},
                       {"software", Order->Software},
                       {"reason", "releases.expose_share is 0"}});
    return;
  }
  updateInstances(Now);
  if (!Order) {
    Orders.erase(std::string(Service));
  } else {
    known_order &Known = Orders[std::string(Service)];
    // The same order, as a restored store has it.
    if (Known.Order == *Order) {
      Known.Revision = Revision;
      return;
    }
    Known = {*Order, Revision};
    Core.log().info(event_category::Release, "order_read",
                    {{"service", Service},
                     {"software", Order->Software},
                     {"duration_ms", Order->Duration},
                     {"order", Order->Revision},
                     {"at_start", AtStart}});
  }
  Core.releases().onOrder(Service, Order, AtStart, Now);
  if (const auto Found = Records.find(Service); Found != Records.end())
    applyRecord(Service, Found->second);
  Core.releases().onUpstreams(Core.directory(), Now);
  run(Now);
}

void release_task::run(instant Now) {
  RunUntil = Now + TellAfterEnd;
  TickTimer.startPeriodic(TickInterval);
}

void release_task::onUpstreamsChanged() {
  DirectoryGeneration = Core.directory().generation();
  if (!Core.releases().empty())
    Core.releases().onUpstreams(Core.directory(), readBootClock());
}

bool release_task::onFleetItem(const store_item &Item) {
  if (Item.Key == ClaimKey) {
    Claim.onItem(&Item);
    return true;
  }
  if (!Item.Key.starts_with(RecordPrefix))
    return false;
  const std::string_view Service =
      std::string_view(Item.Key).substr(RecordPrefix.size());
  if (Item.Removed) {
    applyRecord(Service, std::nullopt);
    return true;
  }
  const auto Read = readRecord(Item);
  if (Read)
    applyRecord(Service, *Read);
  else
    Core.log().warn(event_category::Release, "record_unreadable",
                    {{"key", Item.Key}, {"revision", Item.Revision}});
  return true;
}

void release_task::onFleetListing(const store_items &Items) {
  bool HasClaim = false;
  std::set<std::string, std::less<>> Listed;
  for (const store_item &Item : Items.Items) {
    if (!onFleetItem(Item))
      continue;
    HasClaim = HasClaim || Item.Key == ClaimKey;
    Listed.insert(Item.Key);
  }
  if (!HasClaim)
    Claim.onItem(nullptr);
  std::vector<std::string> Missing;
  for (const auto &[Service, Known] : Records)
    if (Known.Revision < Items.Revision && !Listed.contains(recordKey(Service)))
      Missing.push_back(Service);
  for (const std::string &Service : Missing)
    applyRecord(Service, std::nullopt);
}

void release_task::applyRecord(std::string_view Service,
                               const std::optional<record> &New) {
  const instant Now = readBootClock();
  const auto Known = Records.find(Service);
  if (!New) {
    if (Known != Records.end())
      Records.erase(Known);
    return Core.releases().onStatus(Service, std::nullopt, 0);
  }
  if (Known != Records.end() && New->Revision < Known->second.Revision)
    return;
  Records.insert_or_assign(std::string(Service), *New);
  const auto Found = Orders.find(Service);
  if (Found == Orders.end())
    return;
  Core.releases().onStatus(Service, New->Status, New->Revision);
  if (!New->Status.isOf(Found->second.Order))
    return;
  Core.releases().onPeerNews({std::string(Service), New->Status.Software,
                              New->Status.OrderRevision, New->OrderAge,
                              /*Barred=*/false},
                             Now);
  run(Now);
}

void release_task::updateInstances(instant Now) {
  const bool AreKnown = Core.rosterKnown() &&
                        Now - Core.started() >= instance_roster::StartupGrace;
  const std::uint64_t Generation = Core.roster().generation();
  if (Generation == RosterGeneration && AreKnown == InstancesKnown)
    return;
  RosterGeneration = Generation;
  InstancesKnown = AreKnown;
  std::vector<std::string> Names{Core.settings().InstanceName};
  for (const auto &[Name, Domain] :
       Core.roster().countedPeers(Now, Core.started()))
    Names.emplace_back(Name);
  Core.releases().setInstances(std::move(Names), AreKnown);
}

void release_task::onTick() {
  const instant Now = readBootClock();
  updateInstances(Now);
  if (DirectoryGeneration != Core.directory().generation())
    onUpstreamsChanged();
  bool IsUrgent = false;
  for (const release_step &Step : Core.releases().onTick(Now)) {
    log(Step);
    IsUrgent = IsUrgent || Step.Step == "barred";
  }
  const bool IsActive = Core.releases().isActive();
  Core.counters().ActiveReleases.Set(IsActive ? 1 : 0);
  if (IsActive)
    RunUntil = Now + TellAfterEnd;
  if (IsActive && !Core.leaving())
    Claim.tryTake(Now);
  else
    Claim.release();
  if (IsActive && !Core.leaving())
    for (const release_write &Write :
         Core.releases().decide(Now, Claim.isHeld(Now)))
      write(Write, Now);
  if (IsUrgent || Now >= NextRound)
    sendRound(Now);
  if (Now >= RunUntil)
    TickTimer.stop();
}

void release_task::log(const release_step &Step) {
  const release_verdict &Verdict = Step.Verdict;
  if (Step.Step == "barred")
    Core.counters().VersionsBarred.Increment();
  Core.log().info(event_category::Release, Step.Step,
                  {{"service", Step.Service},
                   {"software", Step.Software},
                   {"share", Step.Share},
                   {"requests", Step.Requests},
                   {"sent_to_new", Step.SentToNew},
                   {"reason", Verdict.Reason},
                   {"route", Verdict.Route},
                   {"new_responses", Verdict.NewResponses},
                   {"new_bad", Verdict.NewBad},
                   {"old_responses", Verdict.OldResponses},
                   {"old_bad", Verdict.OldBad},
                   {"log_ratio", Verdict.LogRatio},
                   {"bound", Verdict.Bound}});
}

void release_task::write(const release_write &Write, instant Now) {
  const auto Found = Orders.find(Write.Service);
  if (Found == Orders.end() ||
      Found->second.Order.Revision != Write.ExpectedOrderRevision)
    return Core.releases().onWriteResult(Write.Service,
                                         release_write_outcome::Conflict, Now);
  const document_reader &Documents = Core.protocols().Documents;
  span_ns Age{0};
  for (const release_news &News : Core.releases().news(Now))
    if (News.Service == Write.Service)
      Age = News.Age;
  store_commit Commit;
  Commit.Conditions = {
      {Documents.releaseOrderKey(Write.Service), Found->second.Revision},
      {recordKey(Write.Service), Write.ExpectedStatusRevision}};
  // Without the claim this instance stands in for its holder.
  if (Claim.isHeld(Now))
    Commit.Conditions.push_back({Claim.key(), Claim.revision()});
  Commit.Puts = {{Documents.releaseStatusKey(Write.Service),
                  Documents.writeReleaseStatus(Write.Status), 0},
                 {recordKey(Write.Service), writeRecord(Write.Status, Age), 0}};
  Store.commit(Commit, [this, Write, Age](const store_result &Result) {
    onWritten(Write, Result, Age);
  });
}

void release_task::onWritten(const release_write &Write,
                             const store_result &Result, span_ns OrderAge) {
  const instant Now = readBootClock();
  const release_verdict &Verdict = Write.Verdict;
  Core.counters().onStoreCall("release", storeStatusName(Result.Status));
  Core.log().info(event_category::Release, "state_written",
                  {{"service", Write.Service},
                   {"software", Write.Status.Software},
                   {"state", toString(Write.Status.State)},
                   {"result", storeStatusName(Result.Status)},
                   {"reason", Write.Reason},
                   {"order", Write.Status.OrderRevision},
                   {"order_age_ms", OrderAge},
                   {"route", Verdict.Route},
                   {"new_responses", Verdict.NewResponses},
                   {"new_bad", Verdict.NewBad},
                   {"old_responses", Verdict.OldResponses},
                   {"old_bad", Verdict.OldBad},
                   {"log_ratio", Verdict.LogRatio},
                   {"bound", Verdict.Bound}});
  if (Result.Status == store_status::Ok) {
    Core.counters().onReleaseState(toString(Write.Status.State));
    applyRecord(Write.Service, record{Write.Status, Result.Revision, OrderAge});
    Core.releases().onWriteResult(Write.Service, release_write_outcome::Written,
                                  Now);
    return sendRound(Now);
  }
  Core.releases().onWriteResult(Write.Service,
                                Result.Status == store_status::Conflict
                                    ? release_write_outcome::Conflict
                                    : release_write_outcome::Unknown,
                                Now);
  readRecordBack(Write.Service);
}

void release_task::readRecordBack(const std::string &Service) {
  const std::string Key = recordKey(Service);
  Store.list(Key, [this, Service, Key](const store_items &Items) {
    Core.counters().onStoreCall("read_release", storeStatusName(Items.Status));
    if (Items.Status != store_status::Ok)
      return Core.releases().onStoreTrouble();
    const auto Found = std::ranges::find(Items.Items, Key, &store_item::Key);
    if (Found != Items.Items.end())
      onFleetItem(*Found);
    else if (const auto Known = Records.find(Service);
             Known == Records.end() || Known->second.Revision < Items.Revision)
      applyRecord(Service, std::nullopt);
  });
}

release_message release_task::messageFor(const known_order &Known,
                                         instant Now) const {
  const release_order &Order = Known.Order;
  release_message Message;
  Message.News = {Order.Service, Order.Software, Order.Revision, span_ns(0),
                  false};
  for (const release_news &News : Core.releases().news(Now))
    if (News.Service == Order.Service)
      Message.News = News;
  const auto Found = Records.find(Order.Service);
  if (Found != Records.end() && Found->second.Status.isOf(Order)) {
    Message.Status = Found->second.Status;
    Message.StatusRevision = Found->second.Revision;
  }
  return Message;
}

void release_task::sendRound(instant Now) {
  NextRound = Now + RoundInterval;
  if (!Core.messenger() || Orders.empty())
    return;
  const auto Round = Receivers.next(Core.roster().peers(), Claim.holder());
  const auto Own = Core.releases().ownSummaries();
  const auto OfDomain = Core.releases().domainSummaries();
  const auto Of = [](const std::vector<evidence_summary> &Summaries,
                     std::string_view Service) {
    const auto Found =
        std::ranges::find(Summaries, Service, &evidence_summary::Service);
    return Found == Summaries.end() ? std::optional<evidence_summary>()
                                    : *Found;
  };
  for (const auto &[Service, Known] : Orders) {
    release_message Message = messageFor(Known, Now);
    Message.Source = {Core.settings().InstanceName,
                      static_cast<std::int64_t>(Core.boot() >> 1), false};
    Message.Evidence = Of(Own, Service);
    Core.messenger()->sendRelease(Round.Near, Message);
    Message.Source = {Core.settings().Domain, 0, true};
    Message.Evidence = Of(OfDomain, Service);
    Core.messenger()->sendRelease(Round.Others, Message);
  }
}

void release_task::onPeerRelease(const release_message &Message) {
  const instant Now = readBootClock();
  const auto Found = Orders.find(Message.News.Service);
  if (Found == Orders.end() ||
      Found->second.Order.Revision != Message.News.OrderRevision)
    return;
  const std::string &Service = Message.News.Service;
  Core.releases().onPeerNews(Message.News, Now);
  if (Message.Evidence)
    Core.releases().onPeerSummary(Message.Source, *Message.Evidence, Now);
  const auto Known = Records.find(Service);
  if (!Message.Status || (Known != Records.end() &&
                          Known->second.Revision >= Message.StatusRevision))
    return;
  applyRecord(Service, record{*Message.Status, Message.StatusRevision,
                              Message.News.Age});
  // Passed on at once: the former version may stop as soon as operators read
  // the state.
  NextRound = Now;
}

} // namespace ebonyvale

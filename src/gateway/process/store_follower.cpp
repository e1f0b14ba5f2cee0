#include "gateway/process/store_follower.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

/// Time after which the store ends a watch call without changes.
constexpr span_ns WatchTimeout = std::chrono::milliseconds(1000);
/// Pause after the first failed call; doubles with each further failure.
constexpr span_ns FirstBackOff = std::chrono::milliseconds(150);
constexpr span_ns MaxBackOff = std::chrono::milliseconds(1200);
/// Interval at which expired entries are dropped from the directory.
constexpr span_ns ExpiryCheckInterval = std::chrono::milliseconds(250);
/// Size of the operators' documents in one response to a peer. Peers fetch
/// larger ones (`document_transfer.h`).
constexpr std::size_t MaxRelayedBytes = 16 * 1024;
constexpr std::string_view WatchCall = "watch";

} // namespace

store_follower::store_follower(gateway_core &Core, fleet_store &Store,
                               std::string FleetPrefix,
                               follower_observer &Observer)
    : Core(Core), Store(Store), FleetPrefix(std::move(FleetPrefix)),
      Observer(Observer), Relay(Core, *this),
      ReadTimer(Core.base(), [this] { checkReadAge(); }),
      WatchTimer(Core.base(),
                 [this] {
                   if (Listed)
                     follow();
                   else
                     listAll();
                 }),
      ExpiryTimer(Core.base(), [this] {
        if (this->Core.directory().expire(readBootClock()))
          notifyOfDirectory();
      }) {}

store_follower::~store_follower() { Core.setDocumentProvider(nullptr); }

void store_follower::start() {
  Core.setDocumentProvider(this);
  readOperators();
  listAll();
  ExpiryTimer.startPeriodic(ExpiryCheckInterval);
}

void store_follower::recordCall(std::string_view Call, const store_items &Items,
                                unsigned &Failures, instant Now) {
  const store_status Status = Items.Status;
  Core.counters().onStoreCall(Call, storeStatusName(Status));
  Core.counters().onStoreBytes(Call, storeStatusName(Status), Items.Bytes);
  const bool Reached =
      Status == store_status::Ok || Status == store_status::HistoryGone;
  Failures = Reached ? 0 : Failures + 1;
  if (Reached)
    Contact.onResponse(Now);
  else if (Call != WatchCall)
    Contact.onFailure();
  if (Reached == Connected && AnyCallRecorded)
    return;
  Connected = Reached;
  AnyCallRecorded = true;
  if (Reached)
    Core.log().info(event_category::Store, "store_reached", {{"call", Call}});
  else
    Core.log().warn(event_category::Store, "store_lost",
                    {{"call", Call},
                     {"status", storeStatusName(Status)},
                     {"bytes", Items.Bytes},
                     {"after_ms", Now - Items.SentAt}});
}

void store_follower::checkEra(const store_items &Items) {
  const std::int64_t Seen = eraOf(Items.Revision);
  if (Items.Status != store_status::Ok || (Era && Seen <= *Era))
    return;
  const auto Before = std::exchange(Era, Seen);
  if (!Before)
    return;
  Core.log().warn(event_category::Store, "store_restored",
                  {{"era", Seen},
                   {"before", *Before},
                   {"revision", counterOf(Items.Revision)},
                   {"revision_before", counterOf(Revision)}});
  // Entries of upstreams may be missing until they are written again, as after
  // an outage, and no watch continues from a revision of the earlier era.
  SinceListing = listing_kind::AfterRestore;
  Listed = false;
  if (WrittenEra != Seen)
    Core.configFreshness().onRestored(readBootClock(), Core.freshnessOptions());
  Observer.onStoreRestored();
}

span_ns store_follower::backOff(unsigned Failures) const {
  constexpr unsigned MaxDoublings = 4;
  const unsigned Doublings =
      std::min(Failures > 0 ? Failures - 1 : 0, MaxDoublings);
  const span_ns Base =
      std::min<span_ns>(FirstBackOff * (1U << Doublings), MaxBackOff);
  // Jitter by the boot number, so that the instances do not retry at the same
  // time.
  constexpr std::uint64_t JitterSteps = 16;
  return Base + Base * (Core.boot() % JitterSteps) / JitterSteps / 2;
}

void store_follower::follow() {
  if (!Relay.poll(Revision))
    watch();
}

span_ns store_follower::nextRead(instant Now) {
  const auto Age = Core.configFreshness().age(Now);
  if (!Age)
    return span_ns(0);
  const span_ns MaxAge = Relay.followsPeer(Now) ? maxReadAge(Core.settings())
                                                : readInterval(Core.settings());
  // Until operators have written again what a restored store lost, no read
  // makes the configuration fresher.
  const span_ns Settling = Core.configFreshness().confirmsFrom() - Now;
  return std::max({MaxAge - *Age, Settling, span_ns(0)});
}

void store_follower::checkReadAge() {
  const span_ns Pause = nextRead(readBootClock());
  if (Pause > span_ns(0))
    return ReadTimer.startOnce(Pause);
  readOperators();
}

void store_follower::readOperators() {
  if (std::exchange(Reading, true))
    return;
  const auto Routing =
      OperatorStates.find(Core.protocols().Documents.routingKey());
  if (Routing != OperatorStates.end() && !Routing->second.Value)
    return confirmRouting(Routing->second.Revision);
  readAllOperators();
}

void store_follower::readAllOperators() {
  Store.list(Core.protocols().Documents.operatorPrefix(),
             [this](const store_items &Items) { onOperators(Items); });
}

/// A transaction that only has a condition shows whether a large document has
/// changed, without its bytes. The other documents are read first, so that all
/// of them are known as of that read.
void store_follower::confirmRouting(std::int64_t Known) {
  const document_reader &Documents = Core.protocols().Documents;
  Store.listAfter(Documents.operatorPrefix(), Documents.routingKey(),
                  [this, Known](const store_items &Others) {
                    if (Others.Status != store_status::Ok)
                      return onOperators(Others);
                    const store_condition Unchanged{
                        Core.protocols().Documents.routingKey(), Known};
                    Store.commit({{Unchanged}, {}, {}},
                                 [this, Others](const store_result &Result) {
                                   Core.counters().onStoreCall(
                                       "confirm_routing",
                                       storeStatusName(Result.Status));
                                   onRoutingConfirmed(Others, Result);
                                 });
                  });
}

void store_follower::onRoutingConfirmed(const store_items &Others,
                                        const store_result &Result) {
  if (Result.Status == store_status::Ok)
    return onOperators(Others);
  // A refused or lost transaction is not followed by a larger call.
  if (Result.Status == store_status::Conflict)
    return readAllOperators();
  store_items Failed;
  Failed.Status = Result.Status;
  Failed.SentAt = Others.SentAt;
  onOperators(Failed);
}

void store_follower::onOperators(const store_items &Items) {
  Reading = false;
  recordCall("read_operators", Items, ReadFailures, readBootClock());
  checkEra(Items);
  if (Items.Status == store_status::Ok) {
    for (const store_item &Item : Items.Items)
      handleOperatorItem(Item);
    withdrawMissing(Items);
    OperatorsRevision = Items.Revision;
  }
  if (std::exchange(ListAfterRead, false)) {
    if (Items.Status == store_status::Ok)
      listUpstreams();
    else
      WatchTimer.startOnce(backOff(ReadFailures));
  }
  if (Items.Status != store_status::Ok) {
    ReadTimer.startOnce(backOff(ReadFailures));
    return;
  }
  // The read counts as confirmation only once its documents are applied.
  Core.configFreshness().onRead(Items.SentAt);
  LastRead = {Items.Revision, Items.SentAt};
  confirmByRead();
  ReadTimer.startOnce(nextRead(readBootClock()));
}

void store_follower::listAll() {
  // A listing shows upstreams that an order has started, so the order must be
  // known before.
  if (Core.settings().ExposeShare <= 0)
    return listUpstreams();
  ListAfterRead = true;
  readOperators();
}

void store_follower::listUpstreams() {
  Store.list(Core.protocols().Documents.upstreamPrefix(),
             [this](const store_items &Items) { onUpstreamListing(Items); });
}

void store_follower::onUpstreamListing(const store_items &Items) {
  const instant Now = readBootClock();
  recordCall("list_upstreams", Items, WatchFailures, Now);
  checkEra(Items);
  if (Items.Status != store_status::Ok) {
    WatchTimer.startOnce(backOff(WatchFailures));
    return;
  }
  const document_reader &Documents = Core.protocols().Documents;
  std::vector<upstream_entry> Entries;
  std::vector<std::string> UnknownFields;
  for (const store_item &Item : Items.Items) {
    auto Entry = Documents.readUpstream(Documents.upstreamId(Item.Key),
                                        Item.Value, UnknownFields);
    if (Entry) {
      Entry->WarmAt = Now + Entry->ColdFor;
      Entries.push_back(std::move(*Entry));
    } else
      Core.log().warn(event_category::Upstream, "entry_unreadable",
                      {{"key", Item.Key}, {"revision", Item.Revision}});
  }
  Core.onUnknownFields("upstream_entry", UnknownFields);
  const listing_kind Kind =
      std::max(std::exchange(SinceListing, listing_kind::Continuous),
               Contact.listingKind(Now));
  Contact.onCurrent(Now);
  Core.log().info(event_category::Upstream, "listed",
                  {{"entries", Entries.size()},
                   {"revision", Items.Revision},
                   {"after_outage", Kind != listing_kind::Continuous},
                   {"after_restore", Kind == listing_kind::AfterRestore}});
  // An order that was written between the read of the operators' documents and
  // the listing must be seen before the upstreams that it starts.
  Revision = Core.settings().ExposeShare > 0 &&
                     eraOf(OperatorsRevision) == eraOf(Items.Revision)
                 ? std::min(OperatorsRevision, Items.Revision)
                 : Items.Revision;
  Relay.log().restart(Revision, Kind);
  for (const upstream_entry &Entry : Entries)
    Core.onUpstreamEntry(Entry, Now);
  Core.directory().setAll(std::move(Entries), Kind, Now);
  Core.onUpstreamsListed(Now);
  Core.onUpstreamsConfirmed(Items.SentAt);
  notifyOfDirectory();
  Store.list(FleetPrefix,
             [this](const store_items &Fleet) { onFleetListing(Fleet); });
}

void store_follower::onFleetListing(const store_items &Items) {
  recordCall("list_own", Items, WatchFailures, readBootClock());
  checkEra(Items);
  if (Items.Status != store_status::Ok) {
    WatchTimer.startOnce(backOff(WatchFailures));
    return;
  }
  Observer.onFleetListing(Items);
  Listed = true;
  follow();
}

void store_follower::watch() {
  Store.watch("", Revision, WatchTimeout,
              [this](const store_items &Changes) { onChanges(Changes); });
}

void store_follower::onChanges(const store_items &Changes) {
  recordCall(WatchCall, Changes, WatchFailures, readBootClock());
  checkEra(Changes);
  if (Changes.Status != store_status::Ok) {
    // Changes may have been missed.
    Listed = false;
    if (Changes.Status == store_status::HistoryGone)
      return listAll();
    WatchTimer.startOnce(backOff(WatchFailures));
    return;
  }
  applyChanges(Changes.Items, Changes.Revision);
  Core.onUpstreamsConfirmed(Changes.SentAt);
  confirmByRead();
  notifyOfDirectory();
  WatchTimer.startOnce(watchPause(Core.settings()));
}

void store_follower::applyChanges(std::span<const store_item> Items,
                                  std::int64_t NewRevision) {
  const instant Now = readBootClock();
  for (const store_item &Item : Items) {
    handleItem(Item);
    const document_kind Kind = Core.protocols().Documents.kindOf(Item.Key);
    if (Kind == document_kind::Upstream || Kind == document_kind::Release ||
        Item.Key.starts_with(FleetPrefix))
      Relay.log().append(Item, Now);
  }
  Revision = std::max(Revision, NewRevision);
  Relay.log().advance(Revision, Now);
  Contact.onCurrent(Now);
}

/// A watch without changes is answered only at its end, which is too seldom for
/// the bounds on the age of the list.
void store_follower::confirmByRead() {
  if (!Listed || !LastRead || LastRead->Revision > Revision ||
      eraOf(LastRead->Revision) != eraOf(Revision))
    return;
  Core.onUpstreamsConfirmed(LastRead->SentAt);
  LastRead.reset();
}

void store_follower::notifyOfDirectory() {
  const std::uint64_t Generation = Core.directory().generation();
  if (std::exchange(NotifiedGeneration, Generation) == Generation)
    return;
  Core.updateScheduler();
  Observer.onUpstreamsChanged();
}

std::optional<std::int64_t> store_follower::routingRevision() const {
  const auto Known =
      OperatorStates.find(Core.protocols().Documents.routingKey());
  if (Known == OperatorStates.end())
    return std::nullopt;
  return Known->second.Revision;
}

std::vector<operator_document> store_follower::operatorRevisions() const {
  std::vector<operator_document> Documents;
  for (const auto &[Key, State] : OperatorStates)
    Documents.push_back({Key, State.Revision, std::nullopt});
  return Documents;
}

std::vector<operator_document> store_follower::operatorDocuments(
    std::span<const operator_document> Known) const {
  std::vector<operator_document> Documents = operatorRevisions();
  std::erase_if(Documents, [this](const operator_document &Document) {
    return OperatorStates.find(Document.Key)->second.Removed;
  });
  std::size_t Size = 0;
  for (operator_document &Document : Documents) {
    const auto Held =
        std::ranges::find(Known, Document.Key, &operator_document::Key);
    if (Held != Known.end() && Held->Revision >= Document.Revision)
      continue;
    const auto &Value = OperatorStates.find(Document.Key)->second.Value;
    if (!Value || Size + Value->size() > MaxRelayedBytes)
      continue;
    Size += Value->size();
    Document.Value = Value;
  }
  return Documents;
}

void store_follower::listAfterGap(listing_kind Kind) {
  SinceListing = std::max(SinceListing, Kind);
  Listed = false;
  listAll();
}

void store_follower::onRelayed(const std::string &Peer,
                               const change_response &Response,
                               instant ReadAt) {
  const operator_document *Missing = nullptr;
  for (const operator_document &Document : Response.Documents) {
    if (Document.Value)
      handleOperatorItem(
          {Document.Key, *Document.Value, Document.Revision, false});
    const auto Known = OperatorStates.find(Document.Key);
    if (Known == OperatorStates.end() ||
        Known->second.Revision < Document.Revision) {
      Missing = &Document;
      onNewer(Document);
    }
  }
  // The peer's read confirms this instance's configuration only if it is at
  // least as new. An instance that the store no longer lists must not rely on
  // a peer's read: the others have taken over its quota share.
  if (Missing)
    fetchNewer(Peer, *Missing);
  else if (Observer.isListed(readBootClock()))
    Core.configFreshness().onRead(ReadAt);
  const instant PolledAt = ReadAt + *Response.ReadAge;
  recordAnnouncements(Response, PolledAt);
  const change_batch &Changes = Response.Changes;
  if (Changes.IsTooLong)
    return fetchChanges(Peer);
  if (Changes.HasGap)
    return listAfterGap(Changes.GapKind);
  applyChanges(Changes.Items, Changes.Revision);
  if (Changes.HasMore)
    return follow();
  if (Response.UpstreamsAge)
    Core.onUpstreamsConfirmed(PolledAt - *Response.UpstreamsAge);
  confirmByRead();
  notifyOfDirectory();
  WatchTimer.startOnce(pollInterval(Core.settings()));
}

void store_follower::onNewer(const operator_document &Document) {
  if (Core.protocols().Documents.kindOf(Document.Key) != document_kind::Routing)
    return;
  const instant Now = readBootClock();
  freshness &Freshness = Core.configFreshness();
  const bool WasBehind = Freshness.behindFor(Now).has_value();
  Freshness.onKnown(Document.Revision, Now);
  if (!WasBehind)
    Core.log().info(event_category::Store, "configuration_newer",
                    {{"revision", Document.Revision},
                     {"age_ms", Freshness.age(Now).value_or(UnknownAge)}});
}

void store_follower::recordAnnouncements(const change_response &Response,
                                         instant PolledAt) {
  const instant Now = readBootClock();
  for (const announced_age &Known : Response.Weights) {
    std::optional<instant> NotBefore;
    if (Known.Age)
      NotBefore = PolledAt - *Known.Age;
    Core.scheduler().announcedWeights().onPeer(Known.Model, Known.Version,
                                               NotBefore, Now);
  }
}

void store_follower::onPollFailed() {
  // An instance that changes to the store reads it at the store's pace.
  checkReadAge();
  follow();
}

void store_follower::handleItem(const store_item &Item) {
  const document_kind Kind = Core.protocols().Documents.kindOf(Item.Key);
  if (Kind == document_kind::Upstream)
    handleUpstream(Item);
  else if (Kind != document_kind::Other)
    handleOperatorItem(Item);
  else if (Item.Key.starts_with(FleetPrefix))
    Observer.onFleetItem(Item);
}

void store_follower::handleOperatorItem(const store_item &Item) {
  const bool IsRelease =
      Core.protocols().Documents.kindOf(Item.Key) == document_kind::Release;
  if (IsRelease && Item.Removed)
    return handleRelease(Item);
  operator_state &State = OperatorStates[Item.Key];
  if (Item.Removed || Item.Revision <= State.Revision) {
    if (Item.Revision < State.Revision)
      Core.log().warn(event_category::Store, "document_older",
                      {{"key", Item.Key},
                       {"revision", Item.Revision},
                       {"known", State.Revision}});
    return;
  }
  const std::int64_t Before = std::exchange(State.Revision, Item.Revision);
  State.Value.reset();
  State.Removed = false;
  if (Item.Value.size() <= MaxRelayedBytes)
    State.Value = Item.Value;
  Copies.put(Item.Key, Item.Revision, Item.Value);
  if (IsRelease)
    return handleRelease(Item);
  const document_reader &Documents = Core.protocols().Documents;
  const instant Now = readBootClock();
  if (Documents.kindOf(Item.Key) == document_kind::Routing) {
    auto Table = Documents.readRouting(Item.Value, Core.keySecret());
    if (Table) {
      onRoutingRead(Table->Version, Before, Item.Revision);
      Core.setRouting(std::move(*Table), Now);
      return Core.configFreshness().onHandled(Item.Revision);
    }
    // The one in force stays: no later read makes this one readable.
    Core.configFreshness().onHandled(Item.Revision);
    Core.log().warn(
        event_category::Store, "configuration_unreadable",
        {{"revision", Item.Revision}, {"reason", Table.error().Detail}});
    return;
  }
  const auto Target = Documents.readWeights(Item.Value);
  if (!Target) {
    Core.log().warn(event_category::Weights, "version_unreadable",
                    {{"key", Item.Key}, {"revision", Item.Revision}});
    return;
  }
  const auto Unseen = Core.configFreshness().age(Now);
  Core.log().info(event_category::Weights, "version_named",
                  {{"model", Target->Model},
                   {"version", Target->Version},
                   {"revision", Item.Revision},
                   {"unseen_ms", Unseen.value_or(UnknownAge)}});
  Core.scheduler().announcedWeights().onRead(
      Target->Model, Target->Version, Core.configFreshness().readAt(), Now);
  Observer.onWeightsTarget(*Target);
}

void store_follower::handleRelease(const store_item &Item) {
  const document_reader &Documents = Core.protocols().Documents;
  const std::string_view Service = Documents.releaseService(Item.Key);
  if (Item.Removed) {
    const auto Known = OperatorStates.find(Item.Key);
    if (Known == OperatorStates.end() || Known->second.Removed ||
        Item.Revision <= Known->second.Revision)
      return;
    Known->second = {Item.Revision, std::nullopt, /*Removed=*/true};
    return Observer.onReleaseOrder(Service, std::nullopt, Item.Revision, false);
  }
  auto Order = Documents.readRelease(Service, Item.Value);
  if (!Order)
    return Core.log().warn(event_category::Release, "order_unreadable",
                           {{"key", Item.Key},
                            {"revision", Item.Revision},
                            {"reason", Order.error().Detail}});
  // A copy of a restored store has the order under its number.
  Order->Revision = counterOf(Item.Revision);
  Observer.onReleaseOrder(Service, *Order, Item.Revision,
                          !Core.configFreshness().readAt());
}

void store_follower::withdrawMissing(const store_items &Items) {
  // Operators write again what a restored store has lost.
  if (Items.SentAt < Core.configFreshness().confirmsFrom())
    return;
  std::vector<std::string> Missing;
  for (const auto &[Key, State] : OperatorStates)
    if (!State.Removed && State.Revision < Items.Revision &&
        Core.protocols().Documents.kindOf(Key) == document_kind::Release &&
        std::ranges::find(Items.Items, Key, &store_item::Key) ==
            Items.Items.end())
      Missing.push_back(Key);
  for (const std::string &Key : Missing)
    handleRelease({Key, "", Items.Revision, /*Removed=*/true});
}

/// Operators write the whole configuration. One that replaces another in the
/// restored store was written after the return, and so was the one in force
/// under a new number. Any other one may come from the copy.
void store_follower::onRoutingRead(std::uint64_t Version, std::int64_t Before,
                                   std::int64_t Revision) {
  const bool Replaces = eraOf(Before) == eraOf(Revision);
  const bool IsRewritten = Core.routing() &&
                           Version == Core.routing()->Version &&
                           counterOf(Before) != counterOf(Revision);
  if (!Replaces && !IsRewritten)
    return;
  // A peer's document may arrive before this instance sees the restore itself.
  WrittenEra = eraOf(Revision);
  if (Era != WrittenEra || Core.configFreshness().confirmsFrom() == instant())
    return;
  Core.configFreshness().onWrittenAgain();
  if (!Reading)
    ReadTimer.startOnce(nextRead(readBootClock()));
}

void store_follower::handleUpstream(const store_item &Item) {
  const document_reader &Documents = Core.protocols().Documents;
  const std::string_view Id = Documents.upstreamId(Item.Key);
  const upstream_entry *Before = Core.directory().find(Id);
  if (Item.Removed) {
    if (Before)
      Core.log().info(event_category::Upstream, "gone",
                      {{"upstream", Id}, {"revision", Item.Revision}});
    Core.directory().remove(Id, readBootClock());
    return;
  }
  std::vector<std::string> UnknownFields;
  auto Entry = Documents.readUpstream(Id, Item.Value, UnknownFields);
  Core.onUnknownFields("upstream_entry", UnknownFields);
  if (!Entry)
    Core.log().warn(event_category::Upstream, "entry_unreadable",
                    {{"key", Item.Key}, {"revision", Item.Revision}});
  else if (!Before || Before->Draining != Entry->Draining ||
           !Before->sameIncarnation(*Entry))
    Core.log().info(event_category::Upstream,
                    Entry->Draining ? "draining" : "listed_one",
                    {{"upstream", Id},
                     {"service", Entry->Service},
                     {"born", Entry->Born},
                     {"revision", Item.Revision}});
  const instant Now = readBootClock();
  if (Entry) {
    Entry->WarmAt = Now + Entry->ColdFor;
    Core.softwareHistory().onListed(Entry->Service, Entry->Software, Now);
    Core.onUpstreamEntry(*Entry, Now);
  }
  Core.directory().put(Id, std::move(Entry), Now);
}

} // namespace ebonyvale

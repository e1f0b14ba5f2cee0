#include "fakes/fake_fleet_store.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

constexpr span_ns TickInterval = std::chrono::milliseconds(5);
/// Time after which a call to an unreachable store ends with `NoAnswer`.
constexpr span_ns CallTimeout = std::chrono::milliseconds(30);

/// Returns the exclusive end of the key range of \p Prefix.
std::string prefixEnd(const std::string &Prefix) { return Prefix + '\xff'; }

store_item makeItem(const key_value &Entry, std::int64_t Revision,
                    bool Removed) {
  return {Entry.Key, Removed ? "" : Entry.Value, Revision, Removed};
}

/// Returns the status of a call that \p Fault makes fail.
store_status statusFor(store_fault Fault) {
  return Fault == store_fault::Refuses ? store_status::Refused
                                       : store_status::NoAnswer;
}

} // namespace

fake_fleet_store::fake_fleet_store(event_base *Base)
    : Base(Base), Tick(Base, [this] { tick(); }) {
  Tick.startPeriodic(TickInterval);
}

void fake_fleet_store::put(const std::string &Key, std::string Value) {
  SinceCopy.push_back({Key, Value});
  Model.put(Key, std::move(Value), 0);
}

void fake_fleet_store::saveCopy() {
  Copy = Model;
  SinceCopy.clear();
}

void fake_fleet_store::restoreCopy(span_ns After) {
  Copy.continueLeasesAfter(Model);
  Model = Copy;
  ++Era;
  CompactRevision = std::min(CompactRevision, Model.revision());
  const auto WriteAgain = [this, Writes = std::exchange(SinceCopy, {})] {
    for (const external_write &Write : Writes)
      if (Write.Value)
        put(Write.Key, *Write.Value);
      else
        erase(Write.Key);
  };
  if (After == span_ns(0))
    return WriteAgain();
  callAfter(Base, After, WriteAgain);
}

void fake_fleet_store::erase(const std::string &Key) {
  SinceCopy.push_back({Key, std::nullopt});
  Model.eraseRange(Key, Key + '\0');
}

void fake_fleet_store::setFault(store_fault Fault,
                                const std::string &Instance) {
  if (Instance.empty())
    Faults.clear();
  Faults[Instance] = Fault;
}

store_fault fake_fleet_store::faultFor(const std::string &Instance) const {
  if (const auto Own = Faults.find(Instance); Own != Faults.end())
    return Own->second;
  const auto All = Faults.find("");
  return All == Faults.end() ? store_fault::None : All->second;
}

void fake_fleet_store::tick() {
  const instant Now = readBootClock();
  Model.expire(Now);
  for (auto Next = Watches.begin(); Next != Watches.end();) {
    const auto Watch = Next++;
    pending_watch Current = *Watch;
    if (!finishWatch(Current, Now))
      continue;
    Watches.erase(Watch);
  }
}

bool fake_fleet_store::finishWatch(pending_watch &Watch, instant Now) {
  store_items Found;
  Found.SentAt = Watch.SentAt;
  const store_fault Fault = faultFor(Watch.Instance);
  const bool IsLate = Fault == store_fault::LateWatches;
  if (IsLate && Now < Watch.Deadline + WatchDelay)
    return false;
  if (Fault == store_fault::Down || Fault == store_fault::Refuses) {
    if (Fault == store_fault::Down && Now < Watch.Deadline)
      return false;
    Found.Status = statusFor(Fault);
  } else if (eraOf(Watch.Revision) != Era ||
             counterOf(Watch.Revision) < CompactRevision ||
             counterOf(Watch.Revision) > Model.revision()) {
    Found.Status = store_status::HistoryGone;
  } else {
    Found.Status = store_status::Ok;
    if (Fault == store_fault::EmptyWatches) {
      Found.Revision = Watch.Revision;
    } else {
      Found.Revision = IsLate ? Watch.StoreRevision : revision();
      for (const key_change &Change :
           Model.changesSince(counterOf(Watch.Revision) + 1, Watch.Prefix,
                              prefixEnd(Watch.Prefix)))
        if (storeRevision(Era, Change.Revision) <= Found.Revision)
          Found.Items.push_back(makeItem(Change.Entry,
                                         storeRevision(Era, Change.Revision),
                                         Change.Deleted));
    }
    if (Found.Items.empty() && Now < Watch.Deadline)
      return false;
  }
  callLater(Base, [Done = Watch.Done, Found] { Done(Found); });
  return true;
}

fleet_store::items_callback
fake_fleet_store_client::asSeen(items_callback Done) const {
  if (SeenAs.empty())
    return Done;
  return [Texts = SeenAs, Done = std::move(Done)](store_items Found) {
    for (store_item &Item : Found.Items)
      for (const auto &[From, To] : Texts)
        if (const auto At = Item.Value.find(From); At != std::string::npos)
          Item.Value.replace(At, From.size(), To);
    Done(Found);
  };
}

void fake_fleet_store_client::list(const std::string &Prefix,
                                   items_callback Callback) {
  listAfter(Prefix, "", std::move(Callback));
}

void fake_fleet_store_client::listAfter(const std::string &Prefix,
                                        const std::string &After,
                                        items_callback Callback) {
  items_callback Done = whileAlive(asSeen(std::move(Callback)));
  ++Store.Calls[Instance];
  store_items Found;
  Found.SentAt = readBootClock();
  const store_fault Fault = Store.faultFor(Instance);
  if (Fault == store_fault::Down || Fault == store_fault::Refuses) {
    Found.Status = statusFor(Fault);
    const span_ns After = Fault == store_fault::Down ? CallTimeout : span_ns(0);
    return callAfter(Store.Base, After,
                     [Done = std::move(Done), Found] { Done(Found); });
  }
  ++Store.ListCalls;
  Found.Status = store_status::Ok;
  Found.Revision = Store.revision();
  const std::string Begin = std::max(Prefix, After + '\0');
  for (const key_value &Entry : Store.Model.range(Begin, prefixEnd(Prefix)))
    Found.Items.push_back(
        makeItem(Entry, storeRevision(Store.Era, Entry.ModRevision), false));
  callLater(Store.Base, [Done = std::move(Done), Found] { Done(Found); });
}

void fake_fleet_store_client::watch(const std::string &Prefix,
                                    std::int64_t Revision, span_ns Wait,
                                    items_callback Done) {
  ++Store.Calls[Instance];
  const instant Now = readBootClock();
  Store.Watches.push_back({Instance, Prefix, Revision, Store.revision(), Now,
                           Now + Wait, whileAlive(asSeen(std::move(Done)))});
}

void fake_fleet_store_client::respond(store_result Result, bool IsWrite,
                                      result_callback Done) {
  const store_fault Fault = Store.faultFor(Instance);
  span_ns After{0};
  const bool LosesResponse = Fault == store_fault::LosesWriteResponses ||
                             Fault == store_fault::DelayedWrites;
  if (Fault == store_fault::Down || (LosesResponse && IsWrite)) {
    Result = {};
    After = CallTimeout;
  } else if (Fault == store_fault::Refuses) {
    Result = {};
    Result.Status = store_status::Refused;
  }
  callAfter(Store.Base, After,
            [Done = whileAlive(std::move(Done)), Result] { Done(Result); });
}

store_status fake_fleet_store::execute(const store_commit &Commit) {
  Model.expire(readBootClock());
  for (const store_condition &Condition : Commit.Conditions) {
    const auto Entry = Model.get(Condition.Key);
    const std::int64_t Current =
        Entry ? storeRevision(Era, Entry->ModRevision) : 0;
    if (Current != Condition.Revision)
      return store_status::Conflict;
  }
  for (const store_put &Put : Commit.Puts)
    if (Put.Lease != 0 && !Model.hasLease(Put.Lease))
      return store_status::NotFound;
  for (const store_put &Put : Commit.Puts)
    Model.put(Put.Key, Put.Value, Put.Lease);
  for (const std::string &Key : Commit.Removals)
    Model.eraseRange(Key, Key + '\0');
  return store_status::Ok;
}

void fake_fleet_store_client::commit(const store_commit &Commit,
                                     result_callback Done) {
  store_result Result;
  Result.SentAt = readBootClock();
  ++Store.Commits;
  const store_fault Fault = Store.faultFor(Instance);
  if (Fault == store_fault::DelayedWrites)
    callAfter(Store.Base, fake_fleet_store::WriteDelay,
              [&Store = Store, Commit] { Store.execute(Commit); });
  else if (Fault != store_fault::Down && Fault != store_fault::Refuses)
    Result.Status = Store.execute(Commit);
  if (Result.Status == store_status::Ok)
    Result.Revision = Store.revision();
  respond(Result, /*IsWrite=*/true, std::move(Done));
}

void fake_fleet_store_client::grantLease(span_ns Duration,
                                         result_callback Done) {
  store_result Result;
  Result.SentAt = readBootClock();
  const store_fault Fault = Store.faultFor(Instance);
  if (Fault != store_fault::Down && Fault != store_fault::Refuses) {
    Result.Status = store_status::Ok;
    Result.LeaseDuration = Duration;
    Result.Lease = Store.Model.grantLease(Duration, Result.SentAt);
    Store.LeaseDurations[Result.Lease] = Duration;
  }
  respond(Result, /*IsWrite=*/true, std::move(Done));
}

void fake_fleet_store_client::renewLease(std::int64_t Lease,
                                         result_callback Done) {
  store_result Result;
  Result.SentAt = readBootClock();
  const store_fault Fault = Store.faultFor(Instance);
  const bool Reachable =
      Fault != store_fault::Down && Fault != store_fault::Refuses;
  const bool Renewed =
      Reachable && Store.Model.renewLease(Lease, Result.SentAt);
  Result.Status = Renewed ? store_status::Ok : store_status::NotFound;
  if (Renewed)
    Result.LeaseDuration = Store.LeaseDurations[Lease];
  respond(Result, /*IsWrite=*/false, std::move(Done));
}

void fake_fleet_store_client::endLease(std::int64_t Lease,
                                       result_callback Done) {
  store_result Result;
  Result.Status = store_status::Ok;
  const store_fault Fault = Store.faultFor(Instance);
  if (Fault != store_fault::Down && Fault != store_fault::Refuses)
    Store.Model.revokeLease(Lease);
  respond(Result, /*IsWrite=*/true, std::move(Done));
}

} // namespace ebonyvale

#include "gateway/process/store_claim.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

/// Time from a failed read of the claim to the next one.
constexpr span_ns ReadRetryPause = std::chrono::milliseconds(500);
/// Time between the attempts of two instances to take a free claim, and the
/// longest time that an instance leaves to those before it.
constexpr span_ns Stagger = std::chrono::milliseconds(200);
constexpr span_ns MaxDelay = std::chrono::milliseconds(2000);

} // namespace

store_claim::store_claim(gateway_core &Core, fleet_store &Store,
                         std::string Key, std::function<void()> OnTrouble)
    : Core(Core), Store(Store), Key(std::move(Key)),
      OnTrouble(std::move(OnTrouble)),
      Lease(Core, Store,
            std::chrono::milliseconds(Core.settings().ClaimLeaseMs), "claim",
            [] {}) {}

bool store_claim::isHeld(instant Now) const {
  return OwnRevision != 0 && OwnLease != 0 && Lease.id(Now) == OwnLease;
}

void store_claim::onItem(const store_item *Item) {
  const bool Exists = Item && !Item->Removed;
  if (Item && Item->Revision < OwnRevision)
    return; // an earlier state that a watch reports late
  Known = true;
  Holder = Exists ? Item->Value : "";
  Revision = Exists ? Item->Revision : 0;
  if (OwnRevision == 0 || Revision == OwnRevision)
    return;
  Core.log().warn(
      event_category::Release, "claim_lost",
      {{"key", Key}, {"revision", OwnRevision}, {"holder", Holder}});
  OwnRevision = 0;
}

void store_claim::release() {
  FreeSince.reset();
  OwnRevision = 0;
  Lease.stop();
}

void store_claim::tryTake(instant Now) {
  if (isHeld(Now) || Writing)
    return;
  if (OwnRevision != 0) {
    OwnRevision = 0;
    OnTrouble(); // the lease has expired
  }
  if (!Known) {
    FreeSince.reset();
    if (!ReadAt || Now >= *ReadAt)
      read();
    return;
  }
  if (!Holder.empty() && Holder != Core.settings().InstanceName) {
    FreeSince.reset();
    return Lease.stop();
  }
  if (!FreeSince)
    FreeSince = Now;
  const span_ns Delay =
      Stagger * static_cast<std::int64_t>(Core.roster().rank());
  if (Now - *FreeSince < std::min<span_ns>(Delay, MaxDelay))
    return;
  Lease.start();
  if (const std::int64_t Id = Lease.id(Now))
    write(Id);
}

void store_claim::write(std::int64_t LeaseId) {
  Writing = true;
  store_commit Commit;
  Commit.Conditions = {{Key, Revision}};
  Commit.Puts = {{Key, Core.settings().InstanceName, LeaseId}};
  Store.commit(Commit, [this, LeaseId](const store_result &Result) {
    Writing = false;
    Core.counters().onStoreCall("claim", storeStatusName(Result.Status));
    if (Result.Status == store_status::NotFound)
      Lease.onExpired();
    if (Result.Status != store_status::Ok) {
      // Another instance wrote the claim first, or the outcome of this write is
      // unknown and it may still take effect.
      if (Result.Status != store_status::Conflict)
        OnTrouble();
      return read();
    }
    Revision = OwnRevision = Result.Revision;
    OwnLease = LeaseId;
    Holder = Core.settings().InstanceName;
    Core.log().info(
        event_category::Release, "claim_taken",
        {{"key", Key}, {"revision", OwnRevision}, {"lease", LeaseId}});
  });
}

void store_claim::read() {
  Known = false;
  ReadAt = readBootClock() + ReadRetryPause;
  Store.list(Key, [this](const store_items &Items) {
    Core.counters().onStoreCall("read_claim", storeStatusName(Items.Status));
    if (Items.Status != store_status::Ok)
      return OnTrouble();
    const auto Found = std::ranges::find(Items.Items, Key, &store_item::Key);
    onItem(Found == Items.Items.end() ? nullptr : &*Found);
  });
}

} // namespace ebonyvale

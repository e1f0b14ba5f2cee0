#include "gateway/process/store_barrier.h"

#include "gateway/process/store_revision.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {

store_barrier::store_barrier(gateway_core &Core, fleet_store &Store,
                             const routing_source &Routing)
    : Core(Core), Store(Store), Routing(Routing),
      Timer(Core.base(), [this] { onTimer(); }) {
  Core.setBarrier(this);
}

store_barrier::~store_barrier() { Core.setBarrier(nullptr); }

void store_barrier::awaitRead(const std::weak_ptr<read_waiter> &Waiter) {
  const instant Now = readBootClock();
  const waiting_request Request{Waiter, Now + MaxWait};
  if (Core.directory().all().size() > MaxUpstreams)
    return answer(Request, false);
  Waiting.push_back(Request);
  beginRead();
  armTimer(Now);
}

void store_barrier::beginRead() {
  const instant Now = readBootClock();
  if (Reading || Waiting.empty() || (BegunAt && Now - *BegunAt < MinInterval))
    return;
  Reading = true;
  BegunAt = Now;
  Covered = std::exchange(Waiting, {});
  Store.list(Core.protocols().Documents.upstreamPrefix(),
             [this](const store_items &Items) { onUpstreams(Items); });
}

void store_barrier::onUpstreams(const store_items &Items) {
  Core.counters().onStoreCall("barrier_list", storeStatusName(Items.Status));
  Core.counters().onStoreBytes("barrier_list", storeStatusName(Items.Status),
                               Items.Bytes);
  const auto Known = Routing.routingRevision();
  // A store that was restored lacks what is written again later.
  if (Items.Status != store_status::Ok || !Known ||
      eraOf(Items.Revision) != eraOf(*Known) ||
      Items.SentAt < Core.configFreshness().confirmsFrom())
    return endRead(false);
  const instant Now = readBootClock();
  const document_reader &Documents = Core.protocols().Documents;
  std::vector<std::string> UnknownFields;
  for (const store_item &Item : Items.Items)
    if (const auto Entry = Documents.readUpstream(
            Documents.upstreamId(Item.Key), Item.Value, UnknownFields))
      Core.softwareHistory().onListed(Entry->Service, Entry->Software, Now);
  confirmRouting(*Known);
}

void store_barrier::confirmRouting(std::int64_t Known) {
  const store_condition Unchanged{Core.protocols().Documents.routingKey(),
                                  Known};
  Store.commit({{Unchanged}, {}, {}}, [this](const store_result &Result) {
    Core.counters().onStoreCall("barrier_confirm",
                                storeStatusName(Result.Status));
    endRead(Result.Status == store_status::Ok);
  });
}

void store_barrier::endRead(bool IsCurrent) {
  Reading = false;
  for (const waiting_request &Request : std::exchange(Covered, {}))
    answer(Request, IsCurrent);
  beginRead();
  armTimer(readBootClock());
}

void store_barrier::onTimer() {
  const instant Now = readBootClock();
  for (std::vector<waiting_request> *Requests : {&Covered, &Waiting})
    std::erase_if(*Requests, [&](const waiting_request &Request) {
      if (Request.Until > Now)
        return false;
      answer(Request, false);
      return true;
    });
  beginRead();
  armTimer(Now);
}

void store_barrier::armTimer(instant Now) {
  instant Next = instant::max();
  for (const std::vector<waiting_request> *Requests : {&Covered, &Waiting})
    if (!Requests->empty())
      Next = std::min(Next, Requests->front().Until);
  if (!Reading && !Waiting.empty())
    Next = std::min(Next, *BegunAt + MinInterval);
  if (Next == instant::max())
    return Timer.stop();
  Timer.startOnce(std::max<span_ns>(Next - Now, span_ns(0)));
}

void store_barrier::answer(const waiting_request &Request, bool IsCurrent) {
  const auto Target = Request.Waiter.lock();
  if (!Target)
    return;
  Core.counters().onBarrier(IsCurrent);
  callLater(Core.base(),
            [Target, IsCurrent] { Target->onStoreRead(IsCurrent); });
}

} // namespace ebonyvale

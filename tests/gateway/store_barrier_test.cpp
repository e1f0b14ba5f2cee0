// Reads of the store for requests that need what it holds now.
#include "gateway/gateway_fixture.h"
#include "gateway/process/store_barrier.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <chrono>
#include <memory>
#include <utility>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

class counting_waiter final : public read_waiter {
public:
  void onStoreRead(bool IsCurrent) override {
    ++Calls;
    Current = IsCurrent;
  }

  int Calls = 0;
  bool Current = false;
};

/// A store whose lists are answered when the test says so.
class held_store final : public fleet_store {
public:
  void list(const std::string &, items_callback Done) override {
    Lists.push_back(std::move(Done));
  }
  void listAfter(const std::string &, const std::string &,
                 items_callback) override {}
  void watch(const std::string &, std::int64_t, span_ns,
             items_callback) override {}
  void commit(const store_commit &, result_callback Done) override {
    store_result Result;
    Result.Status = store_status::Ok;
    Done(Result);
  }
  void grantLease(span_ns, result_callback) override {}
  void renewLease(std::int64_t, result_callback) override {}
  void endLease(std::int64_t, result_callback) override {}

  /// Answers the list call \p Index with no items.
  void answer(std::size_t Index) {
    store_items Items;
    Items.Status = store_status::Ok;
    Items.SentAt = readBootClock();
    Lists.at(Index)(Items);
  }

  std::vector<items_callback> Lists;
};

class known_routing final : public routing_source {
public:
  std::optional<std::int64_t> routingRevision() const override { return 1; }
};

/// A barrier of its own beside that of the gateway.
struct held_barrier {
  std::shared_ptr<counting_waiter> wait() {
    auto Waiter = std::make_shared<counting_waiter>();
    Barrier.awaitRead(Waiter);
    return Waiter;
  }

  gateway_fixture Gateway;
  held_store Store;
  known_routing Routing;
  store_barrier Barrier{Gateway.core(), Store, Routing};
};

struct fault_row {
  store_fault Fault;
  bool Current;
};

} // namespace

ParameterizedTestParameters(store_barrier, needs_a_whole_read) {
  static fault_row Rows[] = {
      {store_fault::None, true},
      {store_fault::Down, false},
      {store_fault::Refuses, false},
      {store_fault::LosesWriteResponses, false},
      {store_fault::DelayedWrites, false},
      {store_fault::EmptyWatches, true},
      {store_fault::LateWatches, true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(fault_row *Row, store_barrier, needs_a_whole_read) {
  gateway_fixture Gateway;
  Gateway.Store.setFault(Row->Fault);
  const auto Waiter = std::make_shared<counting_waiter>();
  Gateway.core().awaitRead(Waiter);
  cr_assert(Gateway.waitFor([&] { return Waiter->Calls > 0; }));
  cr_assert(Waiter->Current == Row->Current, "fault %d",
            static_cast<int>(Row->Fault));
}

Test(store_barrier, a_restored_store_confirms_nothing_at_first) {
  gateway_fixture Gateway;
  Gateway.Store.saveCopy();
  Gateway.Store.restoreCopy();
  const auto Waiter = std::make_shared<counting_waiter>();
  Gateway.core().awaitRead(Waiter);
  cr_assert(Gateway.waitFor([&] { return Waiter->Calls > 0; }));
  cr_assert(!Waiter->Current);
}

Test(store_barrier, requests_at_one_time_share_a_read) {
  held_barrier Held;
  std::vector<std::shared_ptr<counting_waiter>> Waiters;
  for (int Request = 0; Request < 40; ++Request)
    Waiters.push_back(Held.wait());
  cr_assert(Held.Store.Lists.size() == 1);
  Held.Store.answer(0);
  cr_assert(Held.Gateway.waitFor([&] { return Waiters[0]->Calls == 1; }));
  runLoopFor(Held.Gateway.Base.get(), 2 * store_barrier::MinInterval);
  // The first one alone had asked when the read began.
  cr_assert(Held.Store.Lists.size() == 2);
  Held.Store.answer(1);
  cr_assert(Held.Gateway.waitFor([&] { return Waiters.back()->Calls == 1; }));
  for (const auto &Waiter : Waiters)
    cr_assert(Waiter->Calls == 1 && Waiter->Current);
}

/// What that read shows may be older than the request.
Test(store_barrier, a_read_that_had_begun_before_proves_nothing) {
  held_barrier Held;
  const auto First = Held.wait();
  const auto Second = Held.wait();
  Held.Store.answer(0);
  cr_assert(Held.Gateway.waitFor([&] { return First->Calls == 1; }));
  cr_assert(First->Current);
  cr_assert(Second->Calls == 0);
  cr_assert(Held.Gateway.waitFor([&] { return Held.Store.Lists.size() == 2; }));
  Held.Store.answer(1);
  cr_assert(Held.Gateway.waitFor([&] { return Second->Calls == 1; }));
  cr_assert(Second->Current);
}

Test(store_barrier, a_wait_ends_without_an_answer) {
  held_barrier Held;
  const instant Start = readBootClock();
  const auto First = Held.wait();
  const auto Second = Held.wait();
  cr_assert(Held.Gateway.waitFor(
      [&] { return First->Calls == 1 && Second->Calls == 1; }));
  cr_assert(readBootClock() - Start >= store_barrier::MaxWait);
  cr_assert(!First->Current && !Second->Current);
  // A late answer tells nobody again, and reads go on.
  Held.Store.answer(0);
  const auto Third = Held.wait();
  cr_assert(Held.Store.Lists.size() == 2);
  Held.Store.answer(1);
  cr_assert(Held.Gateway.waitFor([&] { return Third->Calls == 1; }));
  cr_assert(Third->Current && First->Calls == 1);
}

Test(store_barrier, a_large_list_is_not_read) {
  held_barrier Held;
  for (std::size_t Index = 0; Index <= store_barrier::MaxUpstreams; ++Index)
    Held.Gateway.Store.put("servers/more-" + std::to_string(Index),
                           Held.Gateway.Upstreams[0]->entry("s"));
  cr_assert(Held.Gateway.waitFor([&] {
    return Held.Gateway.core().directory().all().size() >
           store_barrier::MaxUpstreams;
  }));
  const auto Waiter = Held.wait();
  cr_assert(Held.Gateway.waitFor([&] { return Waiter->Calls == 1; }));
  cr_assert(!Waiter->Current);
  cr_assert(Held.Store.Lists.empty());
}

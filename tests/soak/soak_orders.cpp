// Orders of releases, and what reaches the versions that are ordered.
#include "soak/soak_environment.h"

#include <algorithm>
#include <chrono>
#include <string>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

constexpr span_ns OrderTime = 9s; ///< from an order to its deadline
constexpr span_ns OrderGap = 13s; ///< from an order to the next one
/// Time without a fault after which a bound in time holds for a gateway.
constexpr span_ns Contact = 3s;
/// Time until the instances have known each other for long enough.
constexpr span_ns FirstOrder = 9s;
constexpr std::string_view StatusKey = "status/rollout/s";

} // namespace

void soak_environment::orderRelease() {
  endOrder();
  const auto Given = static_cast<std::int64_t>(OrdersGiven);
  if (Recovering || FirstOrder + (Given + 1) * OrderGap > Options.Size.Length)
    return;
  Order.emplace();
  Order->Software = fmt::format("o{}", ++OrdersGiven);
  Order->IsFaulty = Random() % 2 == 0;
  Order->At = readBootClock();
  Store.put("op/rollout/s",
            fmt::format(R"({{"backend":"s","to":"{}","durationS":{}}})",
                        Order->Software, toSeconds(OrderTime)));
  schedule(200ms, [this] { startOrdered(); });
  schedule(OrderGap, [this] { orderRelease(); });
}

void soak_environment::startOrders() {
  schedule(FirstOrder, [this] { orderRelease(); });
}

void soak_environment::startOrdered() {
  for (std::size_t Index = 0; Index < Upstreams.size(); ++Index) {
    OldProcesses.push_back(std::make_unique<fake_upstream>(
        Base.get(), fmt::format("{}-{}", Order->Software, Index)));
    fake_upstream &Process = *OldProcesses.back();
    Process.Software = Order->Software;
    Process.EventsNameSoftware = true;
    Process.Weights = Weights;
    // As fast as the one beside it.
    Process.Delay = Upstreams[Index]->Process->Delay;
    Process.EventInterval = Upstreams[Index]->Process->EventInterval;
    if (Order->IsFaulty)
      Process.Behavior = upstream_behavior::Error;
    observe(Process);
    Order->Processes.push_back(&Process);
    Store.put(Process.key(), Process.entry("s"));
  }
}

/// Called with each run of a request, which the gateway \p Gateway has sent, at
/// the upstream \p Id.
void soak_environment::onOrderedRun(std::string_view Id, std::size_t Gateway,
                                    instant Now) {
  if (!Order || Now > Order->At + OrderTime)
    return;
  ++Order->Runs;
  const bool IsOrdered = Id.starts_with(Order->Software + "-");
  if (!IsOrdered || Order->State == "completed")
    return;
  ++Order->Exposed;
  const auto StoreFault = Store.faultFor(Gateways[Gateway]->Name);
  if (Order->FiftiethAt != instant{} && StoreFault == store_fault::None &&
      Now >
          Order->FiftiethAt + std::chrono::milliseconds(RollbackMs) + Contact &&
      !Gateways[Gateway]->faultedSince(Now - Contact))
    Violations.push_back(fmt::format("EXPOSURE: {} sent a request to faulty {}",
                                     Gateways[Gateway]->Name, Order->Software));
  if (Order->IsFaulty && ++Order->Failures == 50)
    Order->FiftiethAt = Now;
}

void soak_environment::checkOrder(instant Now) {
  const auto Item = Store.model().get(StatusKey);
  if (!Order || !Item || Recovering)
    return;
  for (const char *State : {"completed", "rolled_back"}) {
    if (Order->State == State ||
        Item->Value != fmt::format(R"({{"state":"{}","to":"{}"}})", State,
                                   Order->Software))
      continue;
    if (!Order->State.empty())
      Violations.push_back(fmt::format("release of {} is {} after {}",
                                       Order->Software, State, Order->State));
    Order->State = State;
    if (Now > Order->At + OrderTime)
      Order->State += " late";
  }
  if (Order->State != "completed" || Order->Processes.empty())
    return;
  // The former processes stop at once; others take over their places.
  for (const auto &Upstream : Upstreams) {
    Upstream->Software = Order->Software;
    releaseInPlace(*Upstream, span_ns(0));
  }
  for (fake_upstream *Process : Order->Processes) {
    Store.put(Process->key(), Process->entry("s", /*Draining=*/true));
    schedule(2s, [this, Process] { Store.erase(Process->key()); });
  }
  Order->Processes.clear();
}

void soak_environment::endOrder() {
  if (!Order)
    return;
  for (fake_upstream *Process : Order->Processes)
    Store.erase(Process->key());
  const double Bound =
      ExposeShare * static_cast<double>(Order->Runs) + CanarySlack;
  const bool IsCompleted = Order->State == "completed";
  if (Order->IsFaulty) {
    ++OrderCounts.Faulty;
    OrderCounts.RolledBack += Order->State == "rolled_back" ? 1 : 0;
    OrderCounts.Exposed = std::max(OrderCounts.Exposed, Order->Exposed);
    if (IsCompleted || static_cast<double>(Order->Exposed) > Bound)
      Violations.push_back(fmt::format(
          "EXPOSURE: faulty {} ({}) ran {} of {} requests", Order->Software,
          Order->State, Order->Exposed, Order->Runs));
  } else {
    ++OrderCounts.Sound;
    OrderCounts.Completed += IsCompleted ? 1 : 0;
    if (Order->State.starts_with("rolled_back"))
      Violations.push_back(
          fmt::format("sound {} was rolled back", Order->Software));
  }
  Order.reset();
}

} // namespace ebonyvale

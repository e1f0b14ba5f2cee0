#include "gateway/process/lease_keeper.h"

#include <utility>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Renewals per lease duration, so that a failed one does not expire the lease.
constexpr int RenewalsPerLease = 3;
/// Subtracted from the lease duration: the store's clock may run ahead by this.
constexpr span_ns LeaseMargin = std::chrono::milliseconds(200);
constexpr span_ns RetryPause = std::chrono::milliseconds(300);

} // namespace

lease_keeper::lease_keeper(gateway_core &Core, fleet_store &Store,
                           span_ns Duration, std::string Purpose,
                           granted_callback OnGranted)
    : Core(Core), Store(Store), Duration(Duration), Purpose(std::move(Purpose)),
      OnGranted(std::move(OnGranted)), NextCall(Core.base(), [this] {
        if (Lease == 0)
          grant();
        else
          renew();
      }) {}

void lease_keeper::start() {
  if (std::exchange(Active, true))
    return;
  grant();
}

void lease_keeper::stop() {
  if (!std::exchange(Active, false))
    return;
  NextCall.stop();
  Until = {};
  if (Lease != 0)
    Store.endLease(std::exchange(Lease, 0), [this](const store_result &Result) {
      countCall("end", Result.Status);
    });
}

void lease_keeper::countCall(std::string_view Call, store_status Status) {
  Core.counters().onStoreCall(fmt::format("{}_{}", Call, Purpose),
                              storeStatusName(Status));
}

void lease_keeper::grant() {
  Store.grantLease(Duration, [this](const store_result &Result) {
    countCall("grant", Result.Status);
    if (!Active) {
      // Stopped during the call: nothing may stay under this lease.
      if (Result.Lease != 0)
        Store.endLease(Result.Lease, [](const store_result &) {});
      return;
    }
    if (Result.Status != store_status::Ok || Result.Lease == 0)
      return NextCall.startOnce(RetryPause);
    Lease = Result.Lease;
    scheduleRenewal(Result);
    OnGranted();
  });
}

void lease_keeper::scheduleRenewal(const store_result &Result) {
  Until = Result.SentAt + Result.LeaseDuration - LeaseMargin;
  NextCall.startOnce(Duration / RenewalsPerLease);
}

void lease_keeper::renew() {
  Store.renewLease(Lease, [this, Renewed = Lease](const store_result &Result) {
    countCall("renew", Result.Status);
    if (!Active || Lease != Renewed)
      return;
    if (Result.Status == store_status::NotFound)
      return onExpired();
    if (Result.Status != store_status::Ok)
      return NextCall.startOnce(RetryPause);
    scheduleRenewal(Result);
  });
}

void lease_keeper::onExpired() {
  if (!Active || Lease == 0)
    return;
  Core.log().warn(event_category::Store, "lease_lost",
                  {{"lease", Lease}, {"purpose", Purpose}});
  Lease = 0;
  Until = {};
  NextCall.stop();
  grant();
}

} // namespace ebonyvale

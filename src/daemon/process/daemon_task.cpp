#include "daemon/process/daemon_task.h"

#include "daemon/process/etcd_store.h"
#include "daemon/process/local_configuration.h"
#include "daemon/process/logging.h"
#include "daemon/process/platform_configuration.h"

#include <csignal>
#include <random>

namespace ebonyvale {
namespace {

constexpr span_ns DrainTick = std::chrono::milliseconds(20);

std::uint64_t makeBoot() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

void onSignal(evutil_socket_t, short, void *Self) {
  static_cast<daemon_task *>(Self)->stop();
}

} // namespace

daemon_task::daemon_task(const daemon_settings &Settings)
    : Settings(Settings), Base(event_base_new()),
      Core(Base.get(), Settings, makeBoot()),
      DrainTimer(Base.get(), [this] { onDrainTick(); }) {}

daemon_task::~daemon_task() = default;

std::optional<failure> daemon_task::start() {
  watchSignals();
  if (auto Problem = startConfiguration())
    return Problem;
  Callers = std::make_unique<caller_listener>(Core);
  if (auto Problem = Callers->listen())
    return Problem;
  Admin = std::make_unique<admin_listener>(Core, *Source);
  if (auto Problem = Admin->listen())
    return Problem;
  logFor(log_category::Process)
      .info("instance {} listens: callers {}:{}, admin {}:{}",
            Settings.InstanceName, Settings.CallerAddress, Callers->port(),
            Settings.AdminAddress, Admin->port());
  return std::nullopt;
}

std::optional<failure> daemon_task::startConfiguration() {
  if (!Settings.PlatformAddress.empty()) {
    Store = std::make_unique<etcd_store>(
        Core.connections(),
        endpoint{Settings.PlatformAddress,
                 static_cast<std::uint16_t>(Settings.PlatformPort)});
    Source = std::make_unique<platform_configuration>(Core, *Store);
    Source->start();
    return std::nullopt;
  }
  auto Local = std::make_unique<local_configuration>(Core);
  if (!Settings.ConfigurationFile.empty())
    if (auto Problem = Local->load(Settings.ConfigurationFile))
      return Problem;
  Source = std::move(Local);
  Source->start();
  return std::nullopt;
}

void daemon_task::run() { event_base_dispatch(Base.get()); }

void daemon_task::stop() {
  if (StopRequested) {
    logFor(log_category::Process).warn("stopping at once");
    event_base_loopbreak(Base.get());
    return;
  }
  StopRequested = readClock().Now;
  Core.setLeaving();
  logFor(log_category::Process)
      .info("stopping, {} requests open", Core.openRequests());
  DrainTimer.startPeriodic(DrainTick);
}

void daemon_task::onDrainTick() {
  const span_ns Elapsed = readClock().Now - *StopRequested;
  if (Elapsed < std::chrono::milliseconds(Settings.DrainLagMs))
    return;
  Core.setRefusesNew();
  Callers->stopListening();
  const bool Expired =
      Elapsed >= std::chrono::milliseconds(Settings.DrainMaxMs);
  if (Core.openRequests() > 0 && !Expired)
    return;
  logFor(log_category::Process)
      .info("stopped, {} requests cut", Core.openRequests());
  event_base_loopbreak(Base.get());
}

void daemon_task::watchSignals() {
  TermSignal.reset(evsignal_new(Base.get(), SIGTERM, &onSignal, this));
  IntSignal.reset(evsignal_new(Base.get(), SIGINT, &onSignal, this));
  event_add(TermSignal.get(), nullptr);
  event_add(IntSignal.get(), nullptr);
}

} // namespace ebonyvale

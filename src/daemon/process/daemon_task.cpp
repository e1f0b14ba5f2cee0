#include "daemon/process/daemon_task.h"

#include "daemon/process/etcd_store.h"
#include "daemon/process/local_configuration.h"
#include "daemon/process/logging.h"
#include "daemon/process/platform_configuration.h"
#include "net/response_writer.h"

#include <csignal>
#include <random>

namespace ebonyvale {
namespace {

constexpr span_ns DrainPollInterval = std::chrono::milliseconds(20);

std::uint64_t makeBootId() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

void onSignal(evutil_socket_t, short, void *Self) {
  static_cast<daemon_task *>(Self)->stop();
}

} // namespace

daemon_task::daemon_task(const daemon_settings &Settings)
    : Settings(Settings), Base(event_base_new()),
      Core(Base.get(), Settings, makeBootId()), History(Core),
      Peers(Core, History), DrainTimer(Base.get(), [this] { pollDrain(); }) {}

daemon_task::~daemon_task() { Core.setObserver(nullptr); }

std::optional<failure> daemon_task::start() {
  watchSignals();
  Core.setObserver(this);
  if (auto Problem = startPeers())
    return Problem;
  if (auto Problem = startConfiguration())
    return Problem;
  Callers = std::make_unique<caller_listener>(Core);
  if (auto Problem = Callers->listen())
    return Problem;
  Admin = std::make_unique<admin_listener>(Core, *Source);
  Admin->setRefusalSources(&Peers, Archive.get());
  if (auto Problem = Admin->listen())
    return Problem;
  logFor(log_category::Process)
      .info("instance {} listening: callers {}:{}, admin {}:{}",
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
    Archive = std::make_unique<refusal_archive>(Core, *Store);
    Archive->start();
    auto Created =
        std::make_unique<platform_configuration>(Core, *Store, History);
    PlatformSource = Created.get();
    Source = std::move(Created);
    Source->start();
    return std::nullopt;
  }
  auto Local = std::make_unique<local_configuration>(Core, History);
  if (!Settings.ConfigurationFile.empty())
    if (auto Problem = Local->load(Settings.ConfigurationFile))
      return Problem;
  Source = std::move(Local);
  Source->start();
  return std::nullopt;
}

std::optional<failure> daemon_task::startPeers() {
  if (auto Problem = Peers.listen())
    return Problem;
  if (Settings.ListAddress.empty())
    return std::nullopt;
  List = std::make_unique<instance_list>(
      Core.connections(),
      endpoint{Settings.ListAddress,
               static_cast<std::uint16_t>(Settings.ListPort)},
      [this](const std::vector<member> &Members) { onMembersChange(Members); });
  List->start();
  return std::nullopt;
}

void daemon_task::onMembersChange(const std::vector<member> &Listed) {
  Members = Listed;
  logFor(log_category::Peer)
      .info("instance list changed: {} instances", Members.size());
  Peers.setMembers(Members);
  if (PlatformSource)
    PlatformSource->setWatching(watchesStore(Peers.self(), Members, {}));
  updateQuotaOwnership();
}

void daemon_task::updateQuotaOwnership() {
  const configuration_ptr &Config = Core.currentConfig();
  if (!Config || Members.empty())
    return;
  const auto Domain = Config->Domains.find(Settings.Domain);
  if (Domain != Config->Domains.end())
    Core.setOwnsQuotaShare(ownsQuotaShare(
        Peers.self(), Members, static_cast<std::size_t>(Domain->second.Slots)));
}

void daemon_task::onVersionChange() {
  updateQuotaOwnership();
  Peers.sendHeartbeats();
}

void daemon_task::onRefusal(const refusal &Refusal) {
  Peers.replicateRefusal(Refusal);
  if (Archive)
    Archive->add(Refusal);
}

void daemon_task::writePorts(std::ostream &Out) const {
  Out << "caller " << Callers->port() << "\nadmin " << Admin->port()
      << "\npeer " << Peers.port() << "\n";
}

void daemon_task::run() { event_base_dispatch(Base.get()); }

void daemon_task::stop() {
  if (StopRequestedAt) {
    logFor(log_category::Process)
        .warn("second stop request, stopping immediately");
    event_base_loopbreak(Base.get());
    return;
  }
  StopRequestedAt = readClock().Now;
  Core.setLeaving();
  logFor(log_category::Process)
      .info("stopping: {} open requests", Core.openRequests());
  DrainTimer.startPeriodic(DrainPollInterval);
}

void daemon_task::pollDrain() {
  const span_ns Elapsed = readClock().Now - *StopRequestedAt;
  if (Elapsed < std::chrono::milliseconds(Settings.DrainLagMs))
    return;
  Core.setRefusesNewRequests();
  Callers->stopListening();
  const bool Expired =
      Elapsed >= std::chrono::milliseconds(Settings.DrainMaxMs);
  if (Archive)
    Archive->flush();
  const bool Busy = Core.openRequests() > 0 ||
                    response_writer::unflushedCount() > 0 ||
                    (Archive && !Archive->allWritten());
  if (Busy && !Expired)
    return;
  logFor(log_category::Process)
      .info("stopped: {} open requests aborted", Core.openRequests());
  event_base_loopbreak(Base.get());
}

void daemon_task::watchSignals() {
  TermSignal.reset(evsignal_new(Base.get(), SIGTERM, &onSignal, this));
  IntSignal.reset(evsignal_new(Base.get(), SIGINT, &onSignal, this));
  event_add(TermSignal.get(), nullptr);
  event_add(IntSignal.get(), nullptr);
}

} // namespace ebonyvale

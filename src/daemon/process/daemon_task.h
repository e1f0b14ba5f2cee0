/// \file
/// The daemon as a whole: listeners, core, configuration and graceful stop.
#ifndef EBONYVALE_DAEMON_PROCESS_DAEMON_TASK_H
#define EBONYVALE_DAEMON_PROCESS_DAEMON_TASK_H

#include "daemon/connection/admin_listener.h"
#include "daemon/connection/caller_listener.h"
#include "daemon/connection/peer_hub.h"
#include "daemon/process/configuration_source.h"
#include "daemon/process/instance_list.h"
#include "daemon/process/platform_configuration.h"
#include "daemon/process/platform_store.h"
#include "daemon/process/refusal_archive.h"
#include "daemon/process/router_core.h"
#include "net/event_handles.h"
#include "net/timer.h"

#include <memory>
#include <optional>
#include <ostream>

namespace ebonyvale {

/// Runs one daemon on one event loop.
class daemon_task final : public core_observer {
public:
  explicit daemon_task(const daemon_settings &Settings);
  ~daemon_task() override;

  /// Opens the listeners and starts to look for a configuration.
  std::optional<failure> start();

  /// Serves until it has been stopped.
  void run();

  /// Writes "name port" lines for the listeners.
  void writePorts(std::ostream &Out) const;

  // core_observer
  void onVersion() override;
  void onRefusal(const refusal &Refusal) override;

  /// Begins a graceful shutdown; a second call ends it at once.
  void stop();

private:
  std::optional<failure> startConfiguration();
  std::optional<failure> startPeers();
  void onMembers(const std::vector<member> &Listed);
  void updateSlot();
  void watchSignals();
  void onDrainTick();

  const daemon_settings &Settings;
  event_base_ptr Base;
  router_core Core;
  version_history History;
  peer_hub Peers;
  std::unique_ptr<platform_store> Store;
  std::unique_ptr<refusal_archive> Archive;
  std::unique_ptr<configuration_source> Source;
  platform_configuration *Platform = nullptr; ///< `Source`, if it is one
  std::unique_ptr<instance_list> List;
  std::vector<member> Members; ///< as last listed
  std::unique_ptr<caller_listener> Callers;
  std::unique_ptr<admin_listener> Admin;
  event_ptr TermSignal;
  event_ptr IntSignal;
  std::optional<instant> StopRequested;
  timer DrainTimer;
};

} // namespace ebonyvale

#endif

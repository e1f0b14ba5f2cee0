/// \file
/// The daemon process: listeners, router core, configuration and graceful
/// shutdown.
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

/// Owns the components of one daemon and runs them on one event loop.
class daemon_task final : public core_observer {
public:
  explicit daemon_task(const daemon_settings &Settings);
  ~daemon_task() override;

  /// Opens the listeners and starts to load the configuration. Returns the
  /// failure of a listener or of the local configuration file.
  std::optional<failure> start();

  /// Runs the event loop until the shutdown has completed.
  void run();

  /// Writes a line "name port" for each listener.
  void writePorts(std::ostream &Out) const;

  // core_observer
  void onVersionChange() override;
  void onRefusal(const refusal &Refusal) override;

  /// Starts a graceful shutdown; a second call stops the event loop
  /// immediately.
  void stop();

private:
  std::optional<failure> startConfiguration();
  std::optional<failure> startPeers();
  void onMembersChange(const std::vector<member> &Listed);
  void updateQuotaOwnership();
  void watchSignals();
  void pollDrain();

  const daemon_settings &Settings;
  event_base_ptr Base;
  router_core Core;
  version_history History;
  peer_hub Peers;
  std::unique_ptr<platform_store> Store;
  std::unique_ptr<refusal_archive> Archive;
  std::unique_ptr<configuration_source> Source;
  /// Points to `Source`; null without a platform.
  platform_configuration *PlatformSource = nullptr;
  std::unique_ptr<instance_list> List;
  std::vector<member> Members; ///< most recent instance list
  std::unique_ptr<caller_listener> Callers;
  std::unique_ptr<admin_listener> Admin;
  event_ptr TermSignal;
  event_ptr IntSignal;
  std::optional<instant> StopRequestedAt;
  timer DrainTimer;
};

} // namespace ebonyvale

#endif

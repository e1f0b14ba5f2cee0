/// \file
/// One gateway of the soak with all that stands between it and the others.
#ifndef EBONYVALE_TESTS_SOAK_SOAK_GATEWAY_H
#define EBONYVALE_TESTS_SOAK_SOAK_GATEWAY_H

#include "fakes/fleet_store_stand_in.h"
#include "platform/store_server.h"
#include "soak/daemon_process.h"
#include "soak/loopback_proxy.h"
#include "soak/promise_judge.h"

#include <filesystem>
#include <memory>
#include <string>

namespace ebonyvale {

/// The bounds that the gateways' settings hold and that the judge goes by.
promise_bounds soakBounds();

/// A process, its view of the store, and relays before both.
class soak_gateway {
public:
  /// \p Folder takes its settings and its log.
  soak_gateway(event_base *Base, fleet_store_stand_in &Store,
               const std::string &Daemon, const std::filesystem::path &Folder,
               std::size_t Index);

  /// False where the program cannot be started.
  bool start();
  /// Learns the port for callers once the process has named it.
  void takePorts();
  void kill();

  /// Whether something else than a planned stop may have cost an answer to a
  /// request of the instant \p Asked.
  bool harmedSince(instant Asked) const {
    return Harms > 0 || HarmedAt >= Asked;
  }

  std::size_t Index;
  std::string Name;
  fleet_store_client View;
  store_server Server;
  loopback_proxy StoreProxy;
  loopback_proxy CallerProxy;
  std::unique_ptr<daemon_process> Process;
  bool Listening = false;
  instant StoppingSince; ///< of the planned stop; none before one
  instant RestartAt;
  /// Last instant at which something else than a planned stop was done to it.
  instant HarmedAt;
  unsigned Pauses = 0; ///< that overlap
  unsigned Harms = 0;  ///< of it or its callers' connections, at present

private:
  std::string writeSettings(const std::filesystem::path &Folder) const;

  std::string PortsFile;
};

} // namespace ebonyvale

#endif

/// \file
/// Several instances with peer links and a fake store on one event loop.
#ifndef EBONYVALE_TESTS_DAEMON_FLEET_FIXTURE_H
#define EBONYVALE_TESTS_DAEMON_FLEET_FIXTURE_H

#include "daemon/connection/peer_hub.h"
#include "daemon/process/etcd_store.h"
#include "daemon/process/platform_configuration.h"
#include "daemon/process/refusal_archive.h"
#include "daemon/process/router_core.h"
#include "daemon/process/version_history.h"
#include "fakes/key_value_server.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ebonyvale {

/// One instance without listeners for callers and operators.
class fleet_instance final : public core_observer {
public:
  fleet_instance(event_base *Base, const std::string &Name,
                 const std::string &Domain, std::uint16_t StorePort,
                 std::uint64_t Boot);
  ~fleet_instance() override { Core.setObserver(nullptr); }

  std::uint64_t version() const { return History.version(); }
  void onVersionChange() override { Peers.sendHeartbeats(); }
  void onRefusal(const refusal &Refusal) override {
    Peers.replicateRefusal(Refusal);
    Archive.add(Refusal);
  }

  daemon_settings Settings;
  router_core Core;
  version_history History;
  peer_hub Peers;
  etcd_store Store;
  refusal_archive Archive;
  platform_configuration Source;
};

/// The instances and their store. All instances list each other.
class fleet_fixture {
public:
  /// Creates an instance, named `i0`, `i1` and so on, for each entry of
  /// \p Domains, its failure domain.
  explicit fleet_fixture(const std::vector<std::string> &Domains);

  /// Runs the loop until \p Done returns true; returns false when it times out.
  bool runUntil(const std::function<bool()> &Done);
  void runFor(span_ns Delay);

  /// Applies a note through the instance \p Index and waits for the outcome.
  result<accepted_note> apply(std::size_t Index, const std::string &Note);

  /// Gives every existing instance the list of all existing instances.
  void publishMembers();

  /// Waits until \p Version is the current version of every instance; returns
  /// false when it times out.
  bool waitForVersion(std::uint64_t Version);

  event_base_ptr Base{event_base_new()};
  key_value_server Server{Base.get()};
  std::vector<std::unique_ptr<fleet_instance>> Instances;
};

/// Returns a note that adds the team `team-<Number>`.
std::string teamNote(int Number, const std::string &Extra = "", int Rate = 10,
                     int Burst = 100);

} // namespace ebonyvale

#endif

/// \file
/// Several instances with peer links, a store and a list on one event loop.
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

/// One instance without its caller side.
class fleet_instance final : public core_observer {
public:
  fleet_instance(event_base *Base, const std::string &Name,
                 const std::string &Domain, std::uint16_t StorePort,
                 std::uint64_t Boot);
  ~fleet_instance() override { Core.setObserver(nullptr); }

  std::uint64_t version() const { return History.version(); }
  void onVersion() override { Peers.sendHeartbeats(); }
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

/// The fleet.
class fleet_fixture {
public:
  /// \p Domains gives the domain of each instance.
  explicit fleet_fixture(const std::vector<std::string> &Domains);

  bool runUntil(const std::function<bool()> &Done);
  void runFor(span_ns Delay);

  /// Applies a note through the instance \p Index.
  result<accepted_note> apply(std::size_t Index, const std::string &Note);

  /// Tells all instances the list of those that exist.
  void publishMembers();

  /// Whether every instance has \p Version in force, waiting for it.
  bool waitForVersion(std::uint64_t Version);

  event_base_ptr Base{event_base_new()};
  key_value_server Server{Base.get()};
  std::vector<std::unique_ptr<fleet_instance>> Instances;
};

/// A note that adds team `team-<Number>`.
std::string teamNote(int Number, const std::string &Extra = "", int Rate = 10,
                     int Burst = 100);

} // namespace ebonyvale

#endif

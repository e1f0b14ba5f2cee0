#include "daemon/fleet_fixture.h"

#include <criterion/criterion.h>

using namespace ebonyvale;

namespace {

/// Records whether the requested tokens were granted or refused.
class recording_observer final : public request_observer {
public:
  void onAdmitted(const reservation &) override { Admitted = true; }
  void onAdmissionRefused(const refuse_action &) override { Refused = true; }
  void onDispatchStarted(const dispatch_start &) override {}
  void onDispatchRefused(const dispatch_refuse &) override {}
  void onConfigurationChange(const configuration &) override {}

  bool Admitted = false;
  bool Refused = false;
};

const std::string Domains =
    "[[added.failure_domain]]\nname = \"a\"\nregion = \"region\"\nslots = 2\n"
    "[[added.failure_domain]]\nname = \"b\"\nregion = \"region\"\n";

bool allConnected(const fleet_fixture &Fleet) {
  for (const auto &Instance : Fleet.Instances)
    if (Instance->Peers.livePeers().size() + 1 != Fleet.Instances.size())
      return false;
  return true;
}

} // namespace

Test(peer_hub, versions_reach_an_instance_cut_off_from_the_store) {
  fleet_fixture Fleet({"a", "a", "b"});
  cr_assert(Fleet.runUntil([&Fleet] { return allConnected(Fleet); }));
  // The third instance can receive versions only from its peers.
  Fleet.Instances[2]->Source.setWatching(false);
  cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(1))));
  cr_assert(Fleet.waitForVersion(1));
}

Test(peer_hub, new_instance_gets_versions_from_peers_during_a_store_outage) {
  fleet_fixture Fleet({"a", "a", "b"});
  cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(1))));
  cr_assert(Fleet.waitForVersion(1));
  Fleet.Server.faults().DropConnections = true;
  Fleet.Instances[1].reset();
  Fleet.Instances[1] = std::make_unique<fleet_instance>(
      Fleet.Base.get(), "i1", "a", Fleet.Server.port(), 99);
  cr_assert(Fleet.Instances[1]->version() == 0);
  Fleet.publishMembers();
  cr_assert(Fleet.waitForVersion(1));
}

Test(peer_hub, request_beyond_own_quota_share_borrows_from_peers) {
  fleet_fixture Fleet({"a", "a", "b"});
  cr_assert(
      static_cast<bool>(Fleet.apply(0, teamNote(1, Domains, 8000, 3000))));
  cr_assert(Fleet.waitForVersion(1));
  cr_assert(Fleet.runUntil([&Fleet] { return allConnected(Fleet); }));
  // The quota shares are 750, 750 and 1500 tokens. They start to accrue after
  // one hold duration and are full soon after.
  cr_assert(Fleet.runUntil([&Fleet] {
    const instant Now = readClock().Now;
    double Sum = 0;
    for (const auto &Instance : Fleet.Instances)
      Sum += Instance->Core.shares().available("team-1", Now);
    return Sum > 2990;
  }));
  const auto Observer = std::make_shared<recording_observer>();
  router_core &Core = Fleet.Instances[0]->Core;
  const std::uint64_t Number = Core.registerRequest(Observer);
  Core.requestTokens(Number, "team-1", {2500, 2500});
  cr_assert(!Observer->Admitted);
  cr_assert(Fleet.runUntil(
      [&Observer] { return Observer->Admitted || Observer->Refused; }));
  cr_assert(Observer->Admitted);
}

Test(peer_hub, refusals_survive_the_loss_of_their_instance) {
  fleet_fixture Fleet({"a", "a", "b"});
  cr_assert(Fleet.runUntil([&Fleet] { return allConnected(Fleet); }));
  constexpr std::size_t Count = 500;
  const wall_ms At = readClock().Wall;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    refusal Refusal;
    Refusal.Kind = error_kind::RateExceeded;
    Refusal.Team = "team-1";
    Refusal.At = At;
    Fleet.Instances[0]->Core.recordRefusal(Refusal);
  }
  const refusal_query Query{"team-1", At, At};
  // The backup peer is the one in the other domain.
  cr_assert(Fleet.runUntil([&] {
    return Fleet.Instances[2]
               ->Peers.findReplicatedRefusals(Query)
               .Refusals.size() == Count;
  }));
  Fleet.Instances[0].reset();
  cr_assert(
      Fleet.Instances[2]->Peers.findReplicatedRefusals(Query).Refusals.size() ==
      Count);
}

Test(peer_hub, refusals_are_archived_after_a_store_outage) {
  fleet_fixture Fleet({"a"});
  refusal Refusal;
  Refusal.Kind = error_kind::KeyMissing;
  Refusal.At = readClock().Wall;
  Fleet.Server.faults().DropConnections = true;
  refusal_archive &Archive = Fleet.Instances[0]->Archive;
  Fleet.Instances[0]->Core.recordRefusal(Refusal);
  Archive.flush();
  Fleet.runFor(std::chrono::milliseconds(100));
  cr_assert(!Archive.allWritten());
  Fleet.Server.faults().DropConnections = false;
  cr_assert(Fleet.runUntil([&Archive] {
    Archive.flush();
    return Archive.allWritten();
  }));
  std::size_t Found = 0;
  Archive.query({"", Refusal.At, Refusal.At},
                [&Found](const result<refusal_list> &Stored) {
                  cr_assert(static_cast<bool>(Stored));
                  Found = Stored->Refusals.size();
                });
  cr_assert(Fleet.runUntil([&Found] { return Found != 0; }));
  cr_assert(Found == 1);
}

Test(peer_hub, unauthenticated_and_malformed_messages_are_rejected) {
  fleet_fixture Fleet({"a"});
  const auto Connection = h2_connection::connect(
      Fleet.Base.get(), {"127.0.0.1", Fleet.Instances[0]->Peers.port()}, [] {});
  std::vector<int> Statuses;
  const auto Collect = [&Statuses](const std::optional<h2_response> &Response) {
    Statuses.push_back(Response ? Response->Status : 0);
  };
  const std::string Authorization =
      "Bearer " + toHex(hashKey("fleet-secret", "peer"));
  Connection->request(std::string(HeartbeatPath), "Bearer wrong",
                      encode(heartbeat{}), Collect);
  Connection->request(std::string(LendRequestPath), Authorization, "garbage",
                      Collect);
  Connection->request("/peer/unknown", Authorization, "", Collect);
  cr_assert(Fleet.runUntil([&Statuses] { return Statuses.size() == 3; }));
  cr_assert(Statuses[0] == 403);
  cr_assert(Statuses[1] == 400);
  cr_assert(Statuses[2] == 400);
  Connection->close();
}

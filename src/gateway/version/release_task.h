/// \file
/// Carries out releases of software: tells peers what responses show, and
/// decides while this instance holds the claim. See docs/design/rollouts.md.
#ifndef EBONYVALE_GATEWAY_VERSION_RELEASE_TASK_H
#define EBONYVALE_GATEWAY_VERSION_RELEASE_TASK_H

#include "decisions/process/release_receivers.h"
#include "gateway/process/fleet_store.h"
#include "gateway/process/gateway_core.h"
#include "gateway/process/release_exchange.h"
#include "gateway/process/store_claim.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Does nothing without an order: no timer runs, and no call or message is
/// sent. While one is in force, one instance of the fleet holds the claim and
/// writes the states of releases, and at the end a few others stand in for it;
/// each write is conditional on the order and the record before, and on the
/// claim where it is held.
class release_task final : public release_exchange {
public:
  release_task(gateway_core &Core, fleet_store &Store);
  ~release_task() override;

  /// Gives up the claim if this instance holds it.
  void leave();

  /// Applies the order for \p Service that the store has at \p Revision;
  /// nothing: it was withdrawn. See `service_releases::onOrder`.
  void onOrder(std::string_view Service,
               const std::optional<release_order> &Order, std::int64_t Revision,
               bool AtStart);
  /// Handles a change of the upstream directory.
  void onUpstreamsChanged();

  /// Handles an item of the fleet. Returns whether it is one of releases.
  bool onFleetItem(const store_item &Item);
  /// Handles a listing of all items of the fleet.
  void onFleetListing(const store_items &Items);

  // release_exchange
  void onPeerRelease(const release_message &Message) override;

  /// Returns the instance that decides, as last read, or an empty string.
  const std::string &claimHolder() const { return Claim.holder(); }

private:
  struct known_order {
    release_order Order;
    std::int64_t Revision = 0; ///< of its item, as conditions name it
  };
  /// How far a release is, as the store records it.
  struct record {
    release_status Status;
    std::int64_t Revision = 0;
    span_ns OrderAge{0}; ///< when it was written
  };

  static std::string recordKey(std::string_view Service);
  static std::optional<record> readRecord(const store_item &Item);
  static std::string writeRecord(const release_status &Status,
                                 span_ns OrderAge);
  /// Applies a record, or that there is none.
  void applyRecord(std::string_view Service, const std::optional<record> &New);
  void readRecordBack(const std::string &Service);
  void onTick();
  /// Passes the names of all instances on after a change.
  void updateInstances(instant Now);
  void log(const release_step &Step);
  void write(const release_write &Write, instant Now);
  void onWritten(const release_write &Write, const store_result &Result,
                 span_ns OrderAge);
  /// Tells some peers of all releases.
  void sendRound(instant Now);
  release_message messageFor(const known_order &Known, instant Now) const;
  void run(instant Now);

  gateway_core &Core;
  fleet_store &Store;
  store_claim Claim;
  release_receivers Receivers;
  std::map<std::string, known_order, std::less<>> Orders; ///< by service
  std::map<std::string, record, std::less<>> Records;     ///< by service
  std::uint64_t RosterGeneration = 0;
  bool InstancesKnown = false;
  std::uint64_t DirectoryGeneration = 0;
  instant NextRound;
  instant RunUntil; ///< the timer stops then, without an active release
  timer TickTimer;
};

} // namespace ebonyvale

#endif

/// \file
/// Elects one instance of the fleet by an item of the store.
#ifndef EBONYVALE_GATEWAY_PROCESS_STORE_CLAIM_H
#define EBONYVALE_GATEWAY_PROCESS_STORE_CLAIM_H

#include "gateway/process/fleet_store.h"
#include "gateway/process/gateway_core.h"
#include "gateway/process/lease_keeper.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace ebonyvale {

/// Takes and holds a claim: an item attached to a lease of its holder. What the
/// holder writes is conditional on the revision of the item, so that a former
/// holder writes nothing.
class store_claim {
public:
  /// \p OnTrouble is called after each call of which the store gave no result.
  store_claim(gateway_core &Core, fleet_store &Store, std::string Key,
              std::function<void()> OnTrouble);

  const std::string &key() const { return Key; }

  /// Takes the claim if no other instance holds it; to be called again and
  /// again as long as it is wanted. Instances try one after the other by name,
  /// so that a free claim does not cause a write of each.
  void tryTake(instant Now);
  /// Gives the claim up, or does not want it any more.
  void release();

  /// Handles a new state of the item. \p Item is null if a listing did not
  /// contain it.
  void onItem(const store_item *Item);

  /// Returns whether this process wrote the claim and its lease is still valid.
  bool isHeld(instant Now) const;
  /// Returns the revision of the claim that this process wrote.
  std::int64_t revision() const { return OwnRevision; }
  /// Returns the instance that holds the claim as last read, or an empty
  /// string.
  const std::string &holder() const { return Holder; }

private:
  void write(std::int64_t LeaseId);
  void read();

  gateway_core &Core;
  fleet_store &Store;
  std::string Key;
  std::function<void()> OnTrouble;
  lease_keeper Lease;               ///< active while the claim is held or tried
  std::string Holder;               ///< as last read; empty: no claim
  std::int64_t Revision = 0;        ///< as last read; 0: no claim
  std::optional<instant> FreeSince; ///< when no holder was first seen
  bool Known = false;               ///< false until the item has been read
  bool Writing = false;
  std::optional<instant> ReadAt; ///< when to retry a failed read
  std::int64_t OwnRevision = 0;  ///< of the item that this process wrote
  std::int64_t OwnLease = 0;     ///< that it is attached to
};

} // namespace ebonyvale

#endif

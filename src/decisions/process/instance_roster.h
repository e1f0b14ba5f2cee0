/// \file
/// The instances listed in the store, and the number of quota shares that
/// limits are divided into.
#ifndef EBONYVALE_DECISIONS_PROCESS_INSTANCE_ROSTER_H
#define EBONYVALE_DECISIONS_PROCESS_INSTANCE_ROSTER_H

#include "common/instant.h"

#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonyvale {

/// Address on which an instance receives messages of its peers.
struct instance_endpoint {
  std::string Address;
  std::uint16_t Port = 0;
  std::string Domain;
  /// TCP port for requests that it passes on to upstreams; 0: it does not.
  std::uint16_t RelayPort = 0;

  bool operator==(const instance_endpoint &) const = default;
};

/// Tracks the instances in the store. Each has a persistent entry and a
/// presence, a key that expires with the instance's lease.
class instance_roster {
public:
  /// Time that an instance still counts after its presence has ended: it may
  /// spend its quota shares until it detects that it is cut off from the store.
  static constexpr span_ns PresenceGrace = std::chrono::milliseconds(6000);
  /// Time that a new process counts every instance with an entry: after a
  /// restart of the whole fleet, presences are missing at first.
  static constexpr span_ns StartupGrace = std::chrono::milliseconds(8000);
  /// Time without a presence after which an entry may be removed.
  static constexpr span_ns StaleEntryAge = std::chrono::seconds(30);

  explicit instance_roster(std::string Self) : Self(std::move(Self)) {}

  /// Adds or updates the persistent entry of \p Name.
  void putEntry(std::string_view Name, const instance_endpoint &Entry,
                instant Now);
  /// Handles the removal of the persistent entry: drops \p Name unless it has a
  /// presence.
  void removeEntry(std::string_view Name);
  /// Records that \p Name has a presence.
  void putPresence(std::string_view Name, instant Now);
  /// Records that the presence of \p Name ended at \p Now.
  void removePresence(std::string_view Name, instant Now);

  /// Returns the number of instances that limits are divided over, at least 1.
  /// \p Started is the start of this process.
  std::size_t quotaShareCount(instant Now, instant Started) const;

  /// Returns the number of instances, at least 1, that may have spent a share
  /// within \p Window: also those whose presence has ended since. \p Window is
  /// below `StaleEntryAge`.
  std::size_t spendingCount(instant Now, span_ns Window) const;

  /// Returns the names and failure domains of the other instances that limits
  /// are divided over, in the order of their names. The domain is empty where
  /// it is not known.
  std::vector<std::pair<std::string_view, std::string_view>>
  countedPeers(instant Now, instant Started) const;

  /// Returns the other instances that have an entry and a presence, by name.
  const std::map<std::string, instance_endpoint, std::less<>> &peers() const {
    return Peers;
  }

  /// Returns the number of peers whose names are before this instance's.
  std::size_t rank() const {
    return static_cast<std::size_t>(
        std::distance(Peers.begin(), Peers.lower_bound(Self)));
  }

  /// Returns a number that increases with every change of the peers.
  std::uint64_t generation() const { return Generation; }

  /// Returns the names of other instances without a presence for
  /// `StaleEntryAge` or longer.
  std::vector<std::string> staleEntries(instant Now) const;

private:
  struct state {
    std::optional<instance_endpoint> Entry;
    bool HasPresence = false;
    instant AbsentSince; ///< valid without a presence
  };

  /// Returns whether limits are divided over an instance in \p State.
  static bool counts(const state &State, instant Now, instant Started) {
    return State.HasPresence || Now - Started < StartupGrace ||
           Now - State.AbsentSince < PresenceGrace;
  }

  /// Updates `Peers` after a change of the instance \p Name.
  void updatePeer(std::string_view Name);

  std::string Self;
  std::map<std::string, state, std::less<>> Instances;
  std::map<std::string, instance_endpoint, std::less<>> Peers;
  std::uint64_t Generation = 1;
};

} // namespace ebonyvale

#endif

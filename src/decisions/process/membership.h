/// \file
/// Selects the peers that an instance connects to, the store watchers of a
/// failure domain and the owners of its quota shares.
#ifndef EBONYVALE_DECISIONS_PROCESS_MEMBERSHIP_H
#define EBONYVALE_DECISIONS_PROCESS_MEMBERSHIP_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// An instance on the list that the platform publishes.
struct member {
  std::string Name;
  std::string Address;
  std::uint16_t Port = 0; ///< of the peer listener
  std::string Domain;
  std::string Region;
  bool Leaving = false; ///< about to stop

  bool operator==(const member &) const = default;
};

/// Numbers of links and of store watchers.
struct link_options {
  std::size_t PerNearDomain = 2;  ///< links to each other domain of the region
  std::size_t PerOtherRegion = 1; ///< links to each other region
  std::size_t Watchers = 2;       ///< store watchers in each domain
};

/// Returns the members that \p Self keeps links to, nearest first: all others
/// of its domain, then a few of each other domain in its region and of each
/// other region. Rendezvous hashing selects these few, which spreads the links
/// over the members.
std::vector<member> chooseLinks(const member &Self,
                                const std::vector<member> &Members,
                                const link_options &Options);

/// Returns whether \p Self watches the store for its domain. While instances
/// have different member lists there may be too many or too few watchers; both
/// are harmless, since versions also spread between peers.
bool watchesStore(const member &Self, const std::vector<member> &Members,
                  const link_options &Options);

/// Returns whether \p Self is among the \p OwnerCount members of its domain
/// that own a quota share. Other members own none and borrow all tokens that
/// they spend. While instances have different member lists there may be too
/// many owners.
bool ownsQuotaShare(const member &Self, const std::vector<member> &Members,
                    std::size_t OwnerCount);

} // namespace ebonyvale

#endif

/// \file
/// Which instances this one keeps links to, and who watches the store.
#ifndef EBONYVALE_DECISIONS_PROCESS_MEMBERSHIP_H
#define EBONYVALE_DECISIONS_PROCESS_MEMBERSHIP_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// An instance on the platform's list.
struct member {
  std::string Name;
  std::string Address;
  std::uint16_t Port = 0; ///< of its peer listener
  std::string Domain;
  std::string Region;
  bool Leaving = false;

  bool operator==(const member &) const = default;
};

/// Bounds of the links that one instance keeps.
struct link_rules {
  std::size_t PerNearDomain = 2;  ///< to each other domain of its region
  std::size_t PerOtherRegion = 1; ///< to each other region
  std::size_t Watchers = 2;       ///< of the store, in each domain
};

/// The members that \p Self keeps links to, nearest first: all of its domain, a
/// few of each other domain in its region and of each other region. Which few
/// is decided by rendezvous hashing, so that links spread over the members.
std::vector<member> chooseLinks(const member &Self,
                                const std::vector<member> &Members,
                                const link_rules &Rules);

/// Whether \p Self watches the store for its domain. Lists that differ between
/// instances give too many or too few watchers for a while; either is
/// harmless, since versions also travel between peers.
bool watchesStore(const member &Self, const std::vector<member> &Members,
                  const link_rules &Rules);

/// Whether \p Self is among the \p Slots members of its domain that own a part
/// of the limits. Further members own nothing and borrow what they admit. Lists
/// that differ between instances can name too many owners until they agree.
bool ownsSlot(const member &Self, const std::vector<member> &Members,
              std::size_t Slots);

} // namespace ebonyvale

#endif

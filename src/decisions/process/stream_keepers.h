/// \file
/// Placement of the records on streams: which instances keep them.
#ifndef EBONYVALE_DECISIONS_PROCESS_STREAM_KEEPERS_H
#define EBONYVALE_DECISIONS_PROCESS_STREAM_KEEPERS_H

#include "common/instant.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// An instance that may begin, keep or resume streams.
struct fleet_member {
  std::string Name;
  std::string Domain; ///< failure domain

  bool operator==(const fleet_member &) const = default;
};

/// Peers that may have the record on a stream.
struct lookup_peers {
  std::vector<std::string> First;  ///< asked at once
  std::vector<std::string> Second; ///< asked if none of the first knows
};

/// All instances with the same members agree on the placement without messages
/// (rendezvous hashing). In each failure domain two instances keep the records
/// on a stream that the domain begins. The first of them passes it on to its
/// backup, which is in another domain and the same for all streams.
///
/// The load it is for: many streams begin and few are resumed, so that a record
/// goes to few peers, and the question for one to every failure domain.
class stream_keepers {
public:
  /// In fleets of up to this size all instances are asked.
  static constexpr std::size_t AskAllUpTo = 16;
  /// For this long the placement that a former member was part of is searched.
  static constexpr span_ns FormerFor = std::chrono::seconds(60);

  stream_keepers(std::string Self, std::string Domain)
      : Self(std::move(Self)), Domain(std::move(Domain)) {}

  /// Sets all instances, this one included.
  void setMembers(const std::vector<fleet_member> &NewMembers, instant Now);
  /// Forgets former members.
  void expire(instant Now);

  /// Returns the peers of the own domain that keep what it knows of \p Stream.
  std::vector<std::string_view> nearKeepers(std::uint64_t Stream) const;
  /// Returns whether this instance passes records on \p Stream on to its
  /// backup.
  bool isFirst(std::uint64_t Stream) const;
  /// Returns the backup of this instance, empty if there is no other domain.
  std::string_view backup() const { return Backup; }
  /// Returns whether \p Name is a member of the own domain.
  bool isNear(std::string_view Name) const;
  /// Returns whether all instances are asked for a stream.
  bool asksAll() const { return Listed <= AskAllUpTo; }
  /// Returns whether \p Name is a member.
  bool contains(std::string_view Name) const;

  /// Returns the peers that may have the record on \p Stream, whichever
  /// instance began it.
  lookup_peers peersToAsk(std::uint64_t Stream) const;

private:
  struct member {
    fleet_member Fleet;
    std::uint64_t Hash = 0; ///< of the name
    std::size_t Place = 0;  ///< in `Circle`
    instant GoneAt = instant::max();

    bool isListed() const { return GoneAt == instant::max(); }
  };

  const member *find(std::string_view Name) const;
  /// Returns the members of the domain whose first one has the index \p Begin.
  std::span<const member> domainAt(std::size_t Begin) const;
  /// Returns the two best listed ones of \p Members, those of one domain, in
  /// their order for \p Stream; of former ones too if \p WithFormer.
  static std::vector<const member *> ranked(std::span<const member> Members,
                                            std::uint64_t Stream,
                                            bool WithFormer);
  std::vector<const member *> ownKeepers(std::uint64_t Stream) const;
  /// Returns the next member after \p Member in another domain, or null.
  const member *backupOf(const member &Member, bool WithFormer) const;
  void updateOrder();

  std::string Self;
  std::string Domain;
  std::vector<member> Members;     ///< by domain and name, former ones included
  std::vector<std::size_t> Circle; ///< indexes of `Members` by `Hash`
  std::size_t Listed = 0;          ///< members that are not former
  std::string Backup;
};

} // namespace ebonyvale

#endif

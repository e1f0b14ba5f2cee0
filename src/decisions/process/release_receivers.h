/// \file
/// Decides which peers get the messages of an instance on releases.
#ifndef EBONYVALE_DECISIONS_PROCESS_RELEASE_RECEIVERS_H
#define EBONYVALE_DECISIONS_PROCESS_RELEASE_RECEIVERS_H

#include "decisions/process/instance_roster.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// In each round an instance sends what it has counted to some peers of its
/// failure domain, in turn, and the sum over its domain to some of other ones.
/// What is received is passed on in later rounds, so that it reaches all in a
/// few rounds. The first instance of a domain tells the deciding one in each
/// round, which gets one message a domain.
class release_receivers {
public:
  using peer_map = std::map<std::string, instance_endpoint, std::less<>>;

  /// Receivers in one round, of the own domain and of others.
  static constexpr std::size_t NearFanOut = 8;
  static constexpr std::size_t OtherFanOut = 4;

  release_receivers(std::string Self, std::string Domain)
      : Self(std::move(Self)), Domain(std::move(Domain)) {}

  struct round {
    std::vector<std::string_view> Near; ///< of the own domain
    std::vector<std::string_view> Others;
  };

  /// Returns the receivers of the next round. \p Decider: the instance that
  /// decides, or empty.
  round next(const peer_map &Peers, std::string_view Decider);

private:
  std::vector<std::string_view> take(const peer_map &Peers, bool IsOwn,
                                     std::size_t Count,
                                     std::string &Last) const;

  std::string Self;
  std::string Domain;
  std::string LastNear;
  std::string LastOther;
};

} // namespace ebonyvale

#endif

/// \file
/// Decides which peers get the load messages of an instance.
#ifndef EBONYVALE_DECISIONS_PROCESS_GOSSIP_SCHEDULE_H
#define EBONYVALE_DECISIONS_PROCESS_GOSSIP_SCHEDULE_H

#include "decisions/process/instance_roster.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Receivers of one round.
struct gossip_receivers {
  /// Peers of the own failure domain, or all peers of a small fleet.
  std::vector<std::string_view> Near;
  std::vector<std::string_view> OtherDomains;
};

/// A small fleet sends every message to all peers. A larger one sends to the
/// peers of the failure domain in turn, and rarely to others: messages between
/// domains are billed, and the load that upstreams report in their responses,
/// which the instances of a domain share, includes that of other domains.
class gossip_schedule {
public:
  using peer_map = std::map<std::string, instance_endpoint, std::less<>>;

  /// Receivers in one round, of the own domain and of others.
  static constexpr std::size_t FanOut = 8;
  /// Rounds between two with receivers of other domains.
  static constexpr std::size_t OtherDomainsInterval = 16;

  explicit gossip_schedule(std::string Domain) : Domain(std::move(Domain)) {}

  /// Returns the receivers of the next round.
  gossip_receivers next(const peer_map &Peers);

  /// Returns the number of rounds in which all peers of the domain, or of a
  /// small fleet, get a message.
  std::size_t rounds(const peer_map &Peers) const;

private:
  /// Appends the next \p Count peers after \p Last, in turn, that are in the
  /// own domain or not.
  void append(const peer_map &Peers, bool IsOwn, std::string &Last,
              std::vector<std::string_view> &Receivers) const;

  std::string Domain;
  std::string LastOwn;   ///< last receiver in the own domain
  std::string LastOther; ///< last receiver in another domain
  std::size_t Round = 0;
};

} // namespace ebonyvale

#endif

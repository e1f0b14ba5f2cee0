/// \file
/// What a request is likely to cost, learned from the requests that have ended.
///
/// Requests that look alike can cost very different amounts of work. What they
/// cost is learned for each service, route, prompt size and team, and predicted
/// from the most specific of these that has enough recent values.
#ifndef EBONYVALE_DECISIONS_PROCESS_REQUEST_COST_H
#define EBONYVALE_DECISIONS_PROCESS_REQUEST_COST_H

#include "decisions/process/cost_histogram.h"

#include <array>
#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ebonyvale {

/// Attributes of a request by which its cost is learned.
struct cost_attributes {
  std::string Service;
  std::string Route;
  std::string Team;
  double PromptTokens = 0;
};

/// Expected service time of a request: from the first chunk of its response to
/// the end, or all of it for services without models. Times are those of an
/// upstream of usual speed.
struct expected_cost {
  double MeanMs = 0;
  double MedianMs = 0;
  double HighMs = 0; ///< 90th percentile
  double Weight = 0; ///< of the values behind it
};

/// Service time of a route's requests, as instances tell each other.
struct cost_summary {
  std::string Service;
  std::string Route;
  expected_cost Cost;
};

/// Learns and predicts costs. Its size is bounded: the entries that have
/// learned nothing for the longest time are dropped.
class request_costs {
public:
  /// Entries kept: 510 teams in two prompt sizes, and the routes above them.
  static constexpr std::size_t MaxEntries = 1200;
  /// Sum of weights from which on an entry is used in place of its parent.
  static constexpr double MinWeight = 10;
  /// Entries in one message to peers.
  static constexpr std::size_t MaxSummaries = 4;
  /// Peers' values count as this many own ones, at most.
  static constexpr double PeerWeight = 20;

  /// Records that a request was served completely, in \p ServiceMs at an
  /// upstream of usual speed.
  void onServed(const cost_attributes &Attributes, double ServiceMs);
  /// Returns the expected cost, or nothing if nothing is known of the service.
  std::optional<expected_cost> expect(const cost_attributes &Attributes) const;
  /// Returns the expected cost of any request to \p Service.
  std::optional<expected_cost> expectAny(std::string_view Service) const;

  /// Returns what has been learned here of the routes that were used last.
  /// Unchanged routes are left out.
  std::vector<cost_summary> takeSummaries();
  /// Takes over what a peer has learned of a route of which too little is known
  /// here. Values that are no plausible times are ignored.
  void onPeerSummary(const cost_summary &Summary);

  /// Returns the service times of all routes, for operators.
  std::vector<cost_summary> summaries() const;
  std::size_t size() const { return Entries.size(); }

private:
  /// Bounds the weight of each team in what all teams share: beyond 1.5 times
  /// the mean of the teams, a team's values hardly count.
  class team_balance {
  public:
    /// Returns the weight of a value of \p Team, in (0, 1], and counts it.
    double weigh(std::string_view Team);

  private:
    std::array<float, 16> Weights{}; ///< by the hash of the team
  };
  struct entry {
    std::string Key;
    std::string Service; ///< set for entries of routes
    std::string Route;
    cost_histogram ServiceMs;
    team_balance Teams;
    bool Changed = false; ///< since the last summary
    double OwnValues = 0; ///< recorded here, up to `MinWeight`
  };
  using entries = std::list<entry>;
  /// Levels of keys: service, route, prompt size, team.
  static constexpr std::size_t Levels = 4;
  static constexpr std::size_t RouteLevel = 1;
  /// Keys from the service to the most specific entry.
  static std::array<std::string, Levels>
  keysOf(const cost_attributes &Attributes);
  entry &touch(const std::string &Key);
  const entry *find(const std::string &Key) const;
  std::optional<expected_cost> expectBy(const std::string &Key) const;

  entries Entries; ///< that with the newest value first
  std::unordered_map<std::string, entries::iterator> ByKey;
};

} // namespace ebonyvale

#endif

/// \file
/// Queue of the requests that wait for one upstream, served fairly by team.
#ifndef EBONYVALE_DECISIONS_PROCESS_FAIR_QUEUE_H
#define EBONYVALE_DECISIONS_PROCESS_FAIR_QUEUE_H

#include "common/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Priority class of a request. All interactive requests are served before
/// batch requests.
enum class service_class { Interactive, Batch };

/// A request waiting in a fair_queue.
struct queued_request {
  std::uint64_t Number = 0; ///< chosen by the queue's owner
  std::string Team;
  std::int64_t Weight = 1; ///< of the team
  double Tokens = 0;       ///< size, deducted from the team's deficit
  service_class Class = service_class::Interactive;
};

/// Schedules requests by deficit round robin over teams, in tokens, separately
/// for each service class.
/// Source: Shreedhar and Varghese, "Efficient Fair Queuing Using Deficit
/// Round-Robin", 1996.
class fair_queue {
public:
  /// Appends a request to its team's queue in its class.
  void push(queued_request Request);

  /// Removes and returns the next request, or nothing if the queue is empty.
  std::optional<queued_request> pop();

  /// Removes a request. Returns false if it is not queued.
  bool remove(std::uint64_t Number);

  /// Returns the number of queued requests.
  std::size_t size() const { return Size; }

  /// Returns an upper bound of the tokens served before a new request: those of
  /// higher classes, those of \p Team in \p Class and, for each other team in
  /// the class, at most the tokens that its turns allow meanwhile.
  double tokensAhead(std::string_view Team, service_class Class) const;

  /// Removes and returns all requests, in no particular order.
  std::vector<queued_request> takeAll();

private:
  struct team_queue {
    std::string Team;
    std::int64_t Weight = 1;
    double Deficit = 0;
    std::deque<queued_request> Requests;
  };
  using team_queues = std::deque<team_queue>; ///< next turn first

  static std::optional<queued_request> popFrom(team_queues &Queues);

  std::array<team_queues, 2> Classes;
  std::size_t Size = 0;
};

} // namespace ebonyvale

#endif

/// \file
/// Instances, callers and upstreams of one service in virtual time, for tests
/// of the division of room.
#ifndef EBONYVALE_TESTS_DECISIONS_PROCESS_ROOM_FLEET_H
#define EBONYVALE_TESTS_DECISIONS_PROCESS_ROOM_FLEET_H

#include "decisions/process/room_control.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace ebonyvale {

/// Requests of one team and kind.
struct room_demand {
  std::string Team;
  int Priority = 0;
  double Load = 0; ///< as a fraction of the service's room
  /// For a while, this many times as much.
  double BurstFactor = 1;
  span_ns BurstFrom{0};
  span_ns BurstTo{0};
};

/// What became of the requests of one team and kind in one interval.
struct room_result {
  double Asked = 0;
  double InAim = 0;
  double Late = 0;
  double Refused = 0;
  double share() const { return Asked > 0 ? InAim / Asked : 1; }
};

/// Plays demands against upstreams that work first come first served. Callers
/// that are refused return once, at the stated time.
class room_fleet {
public:
  static constexpr span_ns Aim = std::chrono::milliseconds(400);
  static constexpr span_ns Deadline = std::chrono::seconds(4);
  static constexpr span_ns Interval = std::chrono::milliseconds(250);

  room_fleet(std::size_t Instances, bool IsOn, unsigned Seed);
  void play(const std::vector<room_demand> &Demands, span_ns Length);

  /// Returns the results of the requests of \p Demand, an index, that callers
  /// first sent in [From, To).
  room_result result(std::size_t Demand, span_ns From, span_ns To) const;
  /// Returns the sum over all demands.
  room_result total(span_ns From, span_ns To) const;
  /// Removes this fraction of the upstreams for a while.
  void loseUpstreams(double Fraction, span_ns From, span_ns To);

private:
  struct request {
    std::size_t Demand = 0;
    instant FirstSentAt;
    bool IsRetry = false;
    std::size_t Instance = 0;
    double WorkMs = 0;
    std::function<void()> Finish; ///< when an upstream has worked on it
  };
  struct upstream {
    std::deque<request> Queue;
    std::size_t Running = 0;
  };

  void at(instant When, std::function<void()> Action);
  void sendNext(std::size_t Demand);
  void arrive(request Request);
  void begin(std::size_t Index, const request &Request);
  void exchangeReports();
  std::size_t shortestOfThree();
  room_result &resultOf(const request &Request);

  bool IsOn;
  std::mt19937 Random;
  std::vector<room_control> Controls;
  std::vector<upstream> Upstreams;
  std::vector<queue_report> LastReports;
  std::vector<instant> ReportedAt;
  std::vector<room_demand> Demands;
  std::vector<std::vector<room_result>> Results; ///< by demand and interval
  std::multimap<instant, std::function<void()>> Events;
  instant Now;
  instant End;
  std::uint64_t LastNumber = 0;
  std::size_t Lost = 0; ///< upstreams that are out at the moment
};

} // namespace ebonyvale

#endif

/// \file
/// Load generator for running daemons.
#ifndef EBONYVALE_LOAD_LOAD_GENERATOR_H
#define EBONYVALE_LOAD_LOAD_GENERATOR_H

#include "load/load_test_report.h"
#include "load/load_test_settings.h"
#include "load/workload.h"
#include "net/timer.h"
#include "net/upstream_exchange.h"

#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Returns the error kind in the body of a refusal, or "unreadable".
std::string refusalKind(std::string_view Body);

/// Sends requests with open-loop arrivals: each request is sent when it is due,
/// regardless of how many are still in flight.
class load_generator {
public:
  /// Writes one line per second to \p Progress.
  load_generator(event_base *Base, const load_test_settings &Settings,
                 std::ostream &Progress);
  ~load_generator();

  /// Runs until the arrivals have ended and all responses are complete or have
  /// timed out. Returns the results without those of the warm-up.
  const load_test_report &run();

private:
  class call;

  void arrive();
  void showProgress();
  void onEnded(std::uint64_t Number, const request_outcome &Outcome,
               span_ns StartOffset);
  span_ns elapsed() const;

  event_base *Base;
  const load_test_settings &Settings;
  std::ostream &Progress;
  workload Workload;
  load_test_report Report;
  std::vector<endpoint> Targets;
  instant Start;
  std::uint64_t Sent = 0;
  std::map<std::uint64_t, std::unique_ptr<call>> Calls;
  timer ArrivalTimer;
  timer ProgressTimer;
  evhttp_connection_pool Pool;
};

} // namespace ebonyvale

#endif

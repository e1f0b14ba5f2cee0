/// \file
/// Runs a load experiment against real daemons.
#ifndef EBONYVALE_LOAD_LOAD_RUN_H
#define EBONYVALE_LOAD_LOAD_RUN_H

#include "load/load_report.h"
#include "load/load_settings.h"
#include "load/workload.h"
#include "net/timer.h"
#include "net/upstream_exchange.h"

#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <vector>

namespace ebonyvale {

/// Open-loop arrivals: requests are sent when they are due, however many are
/// still unanswered.
class load_run {
public:
  /// \p Progress gets a line a second.
  load_run(event_base *Base, const load_settings &Settings,
           std::ostream &Progress);
  ~load_run();

  /// Runs to the end of the experiment and of its answers.
  const load_report &run();

private:
  class call;

  void arrive();
  void showProgress();
  void onEnded(std::uint64_t Number, const load_outcome &Outcome,
               span_ns StartedAt);
  span_ns elapsed() const;

  event_base *Base;
  const load_settings &Settings;
  std::ostream &Progress;
  workload Workload;
  load_report Report;
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

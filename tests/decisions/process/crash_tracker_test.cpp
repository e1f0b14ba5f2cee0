// Expiry and bounds of the requests that are suspected of crashing upstreams.
#include "decisions/process/crash_tracker.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// Losses of one request at the same upstream.
struct restart_row {
  std::int64_t Born[3]; ///< of the processes
  suspicion Result;
};

} // namespace

Test(crash_tracker, two_losses_quarantine_a_request) {
  crash_tracker Tracker({});
  cr_assert(Tracker.onLost(1, {10}, instant(1s)) == suspicion::Suspected);
  cr_assert(Tracker.onLost(1, {10}, instant(2s)) == suspicion::Suspected);
  cr_assert(Tracker.onLost(1, {11}, instant(3s)) == suspicion::Quarantined);
}

Test(crash_tracker, an_expired_suspicion_does_not_count) {
  const crash_tracker_options Options;
  crash_tracker Tracker(Options);
  Tracker.onLost(1, {10}, instant(1s));
  const instant Later = instant(1s) + Options.SuspicionDuration;
  cr_assert(Tracker.onLost(1, {11}, Later) == suspicion::Suspected);
}

Test(crash_tracker, the_number_of_requests_is_bounded) {
  crash_tracker Tracker({.MaxEntries = 100});
  Tracker.onLost(7, {10}, instant(1s));
  Tracker.onLost(7, {11}, instant(1s));
  for (request_fingerprint Request = 1000; Request < 2000; ++Request)
    Tracker.onLost(Request, {10}, instant(2s));
  cr_assert(Tracker.size() == 100);
  cr_assert(Tracker.check(7, instant(3s)) == suspicion::Quarantined,
            "expires last");
  cr_assert(Tracker.check(1999, instant(3s)) == suspicion::Suspected);
}

ParameterizedTestParameters(crash_tracker, losses_count_by_process) {
  static restart_row Rows[] = {
      {{1, 1, 1}, suspicion::Suspected}, {{1, 1, 2}, suspicion::Quarantined},
      {{0, 0, 0}, suspicion::Suspected}, {{1, 0, 1}, suspicion::Suspected},
      {{0, 0, 1}, suspicion::Suspected}, {{0, 1, 2}, suspicion::Quarantined}};
  return criterion_test_params(Rows);
}

ParameterizedTest(restart_row *Row, crash_tracker, losses_count_by_process) {
  crash_tracker Tracker({});
  instant Now(1s);
  for (const std::int64_t Born : Row->Born)
    Tracker.onLost(1, {10, Born}, Now += 1s);
  cr_assert(Tracker.check(1, Now) == Row->Result);
}

Test(crash_tracker, two_losses_block_a_sound_target_for_a_minute_only) {
  const crash_tracker_options Options;
  crash_tracker Tracker(Options);
  Tracker.onLost(1, {10}, instant(1s));
  Tracker.onLost(1, {11}, instant(1s));
  instant Now = instant(1s) + 1min;
  cr_assert(Tracker.check(1, Now) == suspicion::Suspected);
  cr_assert(Tracker.onLost(1, {12}, Now) == suspicion::Quarantined);
  cr_assert(Tracker.check(1, Now + 119s) == suspicion::Quarantined);
  Now += 2min;
  cr_assert(Tracker.check(1, Now) == suspicion::Suspected);
  cr_assert(Tracker.onCompleted(1));
  cr_assert(!Tracker.onCompleted(1));
  cr_assert(Tracker.check(1, Now) == suspicion::None);
}

struct inferred_row {
  bool First; ///< whether the loss is inferred
  bool Second;
  span_ns Apart;
  suspicion Result;
};

ParameterizedTestParameters(crash_tracker, an_outage_counts_once) {
  static inferred_row Rows[] = {
      {true, true, 10ms, suspicion::Suspected},
      {false, true, 10ms, suspicion::Suspected},
      {true, false, 10ms, suspicion::Quarantined},
      {false, false, 10ms, suspicion::Quarantined},
      {true, true, 100ms, suspicion::Quarantined},
      {true, true, 5s, suspicion::Quarantined},
  };
  return criterion_test_params(Rows);
}

/// A popular request is under way everywhere when several upstreams end at the
/// same time.
ParameterizedTest(inferred_row *Row, crash_tracker, an_outage_counts_once) {
  crash_tracker Tracker({});
  Tracker.onLost(1, {10, 1, Row->First}, instant(1s));
  cr_assert(Tracker.onLost(1, {11, 1, Row->Second}, instant(1s) + Row->Apart) ==
            Row->Result);
}

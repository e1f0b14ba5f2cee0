// Expiry and bounds of the requests that are suspected of crashing upstreams.
#include "decisions/process/crash_tracker.h"

#include <criterion/criterion.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

Test(crash_tracker, two_losses_quarantine_a_request) {
  crash_tracker Tracker({});
  cr_assert(Tracker.onLost(1, 10, instant(1s)) == suspicion::Suspected);
  cr_assert(Tracker.onLost(1, 10, instant(2s)) == suspicion::Suspected);
  cr_assert(Tracker.onLost(1, 11, instant(3s)) == suspicion::Quarantined);
}

Test(crash_tracker, an_expired_suspicion_does_not_count) {
  const crash_tracker_options Options;
  crash_tracker Tracker(Options);
  Tracker.onLost(1, 10, instant(1s));
  const instant Later = instant(1s) + Options.SuspicionDuration;
  cr_assert(Tracker.onLost(1, 11, Later) == suspicion::Suspected);
}

Test(crash_tracker, the_number_of_requests_is_bounded) {
  crash_tracker Tracker({.MaxEntries = 100});
  Tracker.onLost(7, 10, instant(1s));
  Tracker.onLost(7, 11, instant(1s));
  for (request_fingerprint Request = 1000; Request < 2000; ++Request)
    Tracker.onLost(Request, 10, instant(2s));
  cr_assert(Tracker.size() == 100);
  cr_assert(Tracker.check(7, instant(3s)) == suspicion::Quarantined,
            "expires last");
  cr_assert(Tracker.check(1999, instant(3s)) == suspicion::Suspected);
}

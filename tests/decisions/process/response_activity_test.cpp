// When the process of a response was last known to run.
#include "decisions/process/response_activity.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct activity_row {
  char Name[40];
  int AtMs[4]; ///< arrivals of bytes, after the request was sent; -1: none
  std::size_t Bytes; ///< of each
  bool Paused;       ///< reading was paused before
  int AliveMs;       ///< after the request was sent
};

} // namespace

ParameterizedTestParameters(response_activity,
                            late_bytes_do_not_show_that_a_process_runs) {
  constexpr std::size_t Part = response_activity::MaxUnacknowledged / 4;
  static activity_row Rows[] = {
      {"all at once", {20, 21, 22, 23}, 100, false, 0},
      {"the last ones late", {20, 2000, -1, -1}, 100, false, 20},
      {"the only ones late", {2000, -1, -1, -1}, 100, false, 0},
      {"held up, all at once", {20, 2000, 2001, 2002}, 100, false, 20},
      {"one after the other", {20, 400, 800, 1400}, 100, false, 800},
      {"as much as is sent unasked", {20, 600, 1200, 1800}, Part, false, 1200},
      {"more", {20, 600, 1200, 1800}, Part + 1, false, 600},
      {"after a pause", {20, 600, 1200, 1800}, 100, true, 0},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(activity_row *Row, response_activity,
                  late_bytes_do_not_show_that_a_process_runs) {
  const instant Start(100s);
  response_activity Activity;
  Activity.onSent(Start);
  if (Row->Paused)
    Activity.onPaused();
  for (const int AtMs : Row->AtMs)
    if (AtMs >= 0)
      Activity.onBytes(Row->Bytes, Start + std::chrono::milliseconds(AtMs));
  cr_assert(Activity.aliveAt() ==
                Start + std::chrono::milliseconds(Row->AliveMs),
            "%s", Row->Name);
  Activity.onSent(Start + 5s);
  cr_assert(Activity.aliveAt() == Start + 5s);
}

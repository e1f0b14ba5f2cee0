// When the process of a response was last known to run.
#include "decisions/process/response_activity.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct activity_row {
  char Name[40];
  int AtMs;          ///< arrival of bytes, after the request was sent
  std::size_t Bytes; ///< of them
  bool Paused;       ///< reading was paused before
  int AliveMs;       ///< after the request was sent
};

} // namespace

ParameterizedTestParameters(response_activity,
                            buffered_bytes_do_not_show_that_a_process_runs) {
  constexpr std::size_t Most = response_activity::MaxUnacknowledged;
  static activity_row Rows[] = {
      {"at once", 20, 100, false, 0},
      {"late", 2000, 100, false, 1500},
      {"as much as is sent unasked", 2000, Most, false, 1500},
      {"more", 2000, Most + 1, false, 0},
      {"after a pause", 2000, 100, true, 0},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(activity_row *Row, response_activity,
                  buffered_bytes_do_not_show_that_a_process_runs) {
  const instant Start(100s);
  response_activity Activity;
  Activity.onSent(Start);
  if (Row->Paused)
    Activity.onPaused();
  Activity.onBytes(Row->Bytes, Start + std::chrono::milliseconds(Row->AtMs));
  cr_assert(Activity.aliveAt() ==
                Start + std::chrono::milliseconds(Row->AliveMs),
            "%s", Row->Name);
  Activity.onSent(Start + 5s);
  cr_assert(Activity.aliveAt() == Start + 5s);
}

#include "net/idle_limit.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// A limit that changes from \p Before to \p After at 10 s and to \p Last at
/// 11 s, with a notice of 2 s, and a connection that is idle from \p IdleSince.
struct change_row {
  int Before;
  int After;
  int Last;
  int IdleSince;
  int ClosedAt;
};

} // namespace

ParameterizedTestParameters(idle_limit, a_shorter_limit_gives_notice) {
  static change_row Rows[] = {
      {5, 5, 5, 8, 13},   {5, 20, 20, 8, 28}, {20, 1, 1, 0, 12},
      {20, 1, 1, 10, 12}, {20, 1, 1, 12, 13}, {3, 1, 1, 8, 11},
      {20, 10, 1, 9, 13}, {20, 1, 10, 0, 13}, {20, 1, 10, 9, 19},
      {20, 1, 20, 9, 29},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(change_row *Row, idle_limit, a_shorter_limit_gives_notice) {
  const auto At = [](int Seconds) {
    return instant(std::chrono::seconds(Seconds));
  };
  idle_limit Limit(std::chrono::seconds(Row->Before));
  int Closed = Row->IdleSince;
  for (int Now = 0; Now < 40; ++Now) {
    if (Now == 10)
      Limit.set(std::chrono::seconds(Row->After), 2s, At(Now));
    if (Now == 11)
      Limit.set(std::chrono::seconds(Row->Last), 2s, At(Now));
    if (Now >= Row->IdleSince && !Limit.timeLeft(At(Row->IdleSince), At(Now))) {
      Closed = Now;
      break;
    }
  }
  cr_assert(Closed == Row->ClosedAt, "%d s", Closed);
}

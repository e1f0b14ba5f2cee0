// Settings of a gateway and what follows from them.
#include "gateway/process/gateway_settings.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct pace_row {
  std::int64_t ApplyBoundMs;
  std::int64_t KeyBoundMs;
};

gateway_settings settingsOf(const pace_row &Row) {
  gateway_settings Settings;
  Settings.ApplyBoundMs = Row.ApplyBoundMs;
  Settings.KeyBoundMs = Row.KeyBoundMs;
  return Settings;
}

} // namespace

ParameterizedTestParameters(gateway_settings, pace_of_store_calls) {
  static pace_row Rows[] = {
      {2500, 5000}, {4000, 5000}, {2000, 8000}, {6000, 4000}};
  return criterion_test_params(Rows);
}

/// One call may go unanswered and the next one still be in time.
ParameterizedTest(pace_row *Row, gateway_settings, pace_of_store_calls) {
  const gateway_settings Settings = settingsOf(*Row);
  const span_ns Timeout =
      std::chrono::milliseconds(Settings.StoreCallTimeoutMs);
  const span_ns Apply = std::chrono::milliseconds(Row->ApplyBoundMs);
  const span_ns Key = std::chrono::milliseconds(Row->KeyBoundMs);
  cr_assert(watchPause(Settings) + 2 * Timeout < Apply);
  cr_assert(readInterval(Settings) + Timeout < Key - Timeout);
  // What a read proves absent stays so until the next one.
  cr_assert(readInterval(Settings) < Apply);
}

Test(gateway_settings, a_pace_that_is_set_holds) {
  gateway_settings Settings;
  Settings.StoreWatchPauseMs = 7;
  Settings.StoreReadIntervalMs = 9;
  cr_assert(watchPause(Settings) == 7ms);
  cr_assert(readInterval(Settings) == 9ms);
}

/// A bound that is three fifths longer is watched with fewer calls.
Test(gateway_settings, looser_bounds_need_fewer_calls) {
  const gateway_settings Tight = settingsOf({2500, 5000});
  const gateway_settings Loose = settingsOf({4000, 5000});
  cr_assert(watchPause(Tight) == 600ms);
  cr_assert(watchPause(Loose) > watchPause(Tight));
  cr_assert(readInterval(Loose) > readInterval(Tight));
}

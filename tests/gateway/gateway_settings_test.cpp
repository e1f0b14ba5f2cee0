// Intervals of store calls that are derived from the settings.
#include "gateway/process/gateway_settings.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct bounds_row {
  std::int64_t ApplyBoundMs;
  std::int64_t KeyBoundMs;
};

gateway_settings settingsOf(const bounds_row &Row) {
  gateway_settings Settings;
  Settings.ApplyBoundMs = Row.ApplyBoundMs;
  Settings.KeyBoundMs = Row.KeyBoundMs;
  return Settings;
}

} // namespace

ParameterizedTestParameters(gateway_settings,
                            default_intervals_fit_the_bounds) {
  static bounds_row Rows[] = {
      {2500, 5000}, {4000, 5000}, {2000, 8000}, {6000, 4000}};
  return criterion_test_params(Rows);
}

/// One call may time out and the next one still completes within the bound.
ParameterizedTest(bounds_row *Row, gateway_settings,
                  default_intervals_fit_the_bounds) {
  const gateway_settings Settings = settingsOf(*Row);
  const span_ns Timeout =
      std::chrono::milliseconds(Settings.StoreCallTimeoutMs);
  const span_ns Apply = std::chrono::milliseconds(Row->ApplyBoundMs);
  const span_ns Key = std::chrono::milliseconds(Row->KeyBoundMs);
  cr_assert(watchPause(Settings) + 2 * Timeout < Apply);
  cr_assert(readInterval(Settings) + Timeout < Key - Timeout);
  // A read keeps the configuration fresh until the next read.
  cr_assert(readInterval(Settings) < Apply);
  // An instance that follows a peer, which follows a peer, has a fresh
  // configuration between their reads, and still has time for one of its own.
  cr_assert(readInterval(Settings) + 2 * pollInterval(Settings) <
            maxReadAge(Settings));
  cr_assert(maxReadAge(Settings) + Timeout < std::min(Apply, Key));
  cr_assert(watchPause(Settings) + Timeout + 2 * pollInterval(Settings) +
                4 * pollTimeout(Settings) <
            Apply);
}

Test(gateway_settings, set_intervals_override_the_defaults) {
  gateway_settings Settings;
  Settings.StoreWatchPauseMs = 7;
  Settings.StoreReadIntervalMs = 9;
  cr_assert(watchPause(Settings) == 7ms);
  cr_assert(readInterval(Settings) == 9ms);
}

/// A bound that is 60 % longer leads to fewer calls.
Test(gateway_settings, looser_bounds_need_fewer_calls) {
  const gateway_settings Tight = settingsOf({2500, 5000});
  const gateway_settings Loose = settingsOf({4000, 5000});
  cr_assert(watchPause(Tight) == 300ms);
  cr_assert(watchPause(Loose) > watchPause(Tight));
  cr_assert(readInterval(Loose) > readInterval(Tight));
}

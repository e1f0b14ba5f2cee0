// What the command line of the soak asks for.
#include "soak/soak_plan.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace ebonyvale;

namespace {

struct size_row {
  bool Releases;
  int Gateways; ///< -1: not given
  int Callers;  ///< as well
  std::size_t ExpectedGateways;
  std::size_t ExpectedCallers;
  std::size_t ExpectedStreamers;
};

std::optional<std::size_t> given(int Number) {
  if (Number < 0)
    return std::nullopt;
  return static_cast<std::size_t>(Number);
}

std::size_t countOtherBuilds(const std::vector<soak_event> &Plan) {
  return static_cast<std::size_t>(
      std::ranges::count(Plan, soak_event_kind::OtherBuild, &soak_event::Kind));
}

} // namespace

ParameterizedTestParameters(soak_size, takes_what_is_given) {
  static size_row Rows[] = {
      {false, -1, -1, 3, 24, 0}, {false, 5, -1, 5, 24, 0},
      {false, -1, 7, 3, 7, 0},   {true, -1, -1, 6, 36, 24},
      {true, 4, -1, 4, 36, 24},  {true, -1, 12, 6, 12, 8},
      {true, 2, 60, 2, 60, 40},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(size_row *Row, soak_size, takes_what_is_given) {
  size_request Request;
  Request.Releases = Row->Releases;
  Request.Gateways = given(Row->Gateways);
  Request.Callers = given(Row->Callers);
  const auto Size = chooseSize(Request);
  cr_assert(Size);
  cr_assert(Size->Gateways == Row->ExpectedGateways, "%zu", Size->Gateways);
  cr_assert(Size->Callers == Row->ExpectedCallers, "%zu", Size->Callers);
  cr_assert(Size->Streamers == Row->ExpectedStreamers, "%zu", Size->Streamers);
}

Test(soak_size, refuses_a_run_without_gateways_or_callers) {
  size_request Request;
  Request.Gateways = 0;
  cr_assert(!chooseSize(Request));
  Request.Gateways = 1;
  Request.Callers = 0;
  cr_assert(!chooseSize(Request));
}

/// The other faults of a seed stay as they are.
Test(soak_size, two_builds_only_add_events) {
  constexpr std::uint32_t Seed = 1;
  size_request Request;
  const auto OneBuild = makeSoakPlan(Seed, *chooseSize(Request));
  Request.TwoBuilds = true;
  const auto TwoBuilds = makeSoakPlan(Seed, *chooseSize(Request));
  cr_assert(countOtherBuilds(OneBuild) == 0);
  cr_assert(countOtherBuilds(TwoBuilds) > 0);
  cr_assert(TwoBuilds.size() == OneBuild.size() + countOtherBuilds(TwoBuilds));
}

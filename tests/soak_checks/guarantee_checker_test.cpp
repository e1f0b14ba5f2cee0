// Tests that the soak checker reports each kind of violation and no others.
#include "platform/fake_upstream.h"
#include "soak/guarantee_checker.h"
#include "soak/soak_plan.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

guarantee_bounds bounds() {
  guarantee_bounds Bounds;
  Bounds.Key = 1500ms;
  Bounds.Apply = 800ms;
  Bounds.Rate = 1000;
  Bounds.Burst = 1000;
  Bounds.Slack = 100;
  Bounds.RequestTokens = 200;
  return Bounds;
}

struct response_row {
  char Path[16];
  int Executions;
  int Status;
  bool Complete;
  bool ReportsNotRun;
  bool FromUpstream;
  char Body[48];
  bool Violation;
};

} // namespace

ParameterizedTestParameters(guarantee_checker, checks_responses) {
  static response_row Rows[] = {
      {"/order/", 1, 200, true, false, true, "answer of u to r", false},
      {"/order/", 2, 200, true, false, true, "answer of u to r", true},
      {"/read/", 2, 200, true, false, true, "answer of u to r", false},
      {"/read/", 3, 200, true, false, true, "answer of u to r", true},
      {"/read/", 1, 200, true, false, true, "answer of u to s", true},
      {"/read/", 1, 200, true, false, false, "answer of u to r", true},
      {"/order/", 0, 503, true, true, false, "refused", false},
      {"/order/", 1, 503, true, true, false, "refused", true},
      {"/order/", 1, 502, true, false, false, "unknown", false},
      {"/order/", 0, 401, true, true, false, "refused", true},
      {"/read/", 0, 404, true, true, false, "refused", true},
      {"/order/", 1, 0, false, false, false, "", false},
      {"/stream-on/", 1, 200, false, false, true, "id: 1\ndata: piece 1\n\n",
       false},
      {"/stream-on/", 1, 200, true, false, true, "id: 1\ndata: piece 1\n\n",
       true},
      {"/stream-on/", 1, 200, false, false, true, "id: 1\nda", true},
      {"/stream-once/", 1, 200, false, false, true, "id: 1\nda", false},
      {"/stream-on/", 1, 200, false, false, true, "id: 2\ndata: piece 2\n\n",
       true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(response_row *Row, guarantee_checker, checks_responses) {
  guarantee_checker Checker(bounds());
  Checker.onRequestSent({"r", Row->Path, "key-0", 0, instant(1s)});
  for (int Execution = 0; Execution < Row->Executions; ++Execution)
    Checker.onExecution("r", instant(1s));
  received_response Response;
  Response.Status = Row->Status;
  Response.Complete = Row->Complete;
  Response.ReportsNotRun = Row->ReportsNotRun;
  Response.FromUpstream = Row->FromUpstream;
  Response.Body = Row->Body;
  Checker.onResponse("r", Response, instant(2s));
  Checker.finish();
  cr_assert(Checker.violations().empty() != Row->Violation, "%s %d '%s'",
            Row->Path, Row->Status, Row->Body);
}

Test(guarantee_checker, execution_after_refusal_is_a_violation) {
  guarantee_checker Checker(bounds());
  Checker.onRequestSent({"r", "/order/", "key-0", 0, instant(1s)});
  Checker.onResponse("r", {503, true, true, false, "refused"}, instant(1s));
  cr_assert(Checker.violations().empty());
  Checker.onExecution("r", instant(2s));
  cr_assert(Checker.violations().size() == 1);
}

Test(guarantee_checker, execution_long_after_key_withdrawal_is_a_violation) {
  guarantee_checker Checker(bounds());
  for (const char *Id : {"a", "b", "c"})
    Checker.onRequestSent({Id, "/read/", "key-1", 0, instant(1s)});
  Checker.onRequestSent({"open", "/open/", "key-1", 0, instant(1s)});
  Checker.onKeyWithdrawn("key-1", instant(1s));
  Checker.onExecution("a", instant(2s));
  Checker.onExecution("open", instant(9s)); // the route needs no key
  cr_assert(Checker.violations().empty());
  Checker.onExecution("b", instant(2600ms));
  cr_assert(Checker.violations().size() == 1);
  // A stall of the checker's process is added to the bound, since the execution
  // may have been up to that much earlier.
  Checker.onStall(2s, instant(3s));
  Checker.onExecution("c", instant(3s));
  cr_assert(Checker.violations().size() == 1);
}

/// The bound applies to when a request is sent: a faulty link may deliver it
/// later.
Test(guarantee_checker, requests_delayed_by_a_link_count_from_when_sent) {
  guarantee_checker Checker(bounds());
  Checker.onRequestSent({"early", "/read/", "key-1", 0, instant(1s)});
  Checker.onKeyWithdrawn("key-1", instant(1s));
  Checker.onUpstreamLinkFault(instant(4s));
  Checker.onExecution("early", instant(4s));
  cr_assert(Checker.violations().empty());
  // A request that its caller sends after the bound must not be executed,
  // whether the link is faulty or not.
  Checker.onRequestSent({"late", "/read/", "key-1", 0, instant(3s)});
  Checker.onExecution("late", instant(4s));
  cr_assert(Checker.violations().size() == 1);
  // The same holds for a request sent after the link has recovered.
  Checker.onRequestSent({"after", "/read/", "key-1", 0, instant(5s)});
  Checker.onExecution("after", instant(6s));
  cr_assert(Checker.violations().size() == 2);
}

Test(guarantee_checker, new_key_may_be_denied_until_its_bound) {
  guarantee_checker Checker(bounds());
  Checker.onKeyAdded("key-2", instant(1s));
  Checker.onRequestSent({"a", "/read/", "key-2", 0, instant(1500ms)});
  Checker.onResponse("a", {401, true, true, false, "refused"}, instant(1500ms));
  cr_assert(Checker.violations().empty());
  Checker.onRequestSent({"b", "/read/", "key-2", 0, instant(1900ms)});
  Checker.onResponse("b", {401, true, true, false, "refused"}, instant(1900ms));
  cr_assert(Checker.violations().size() == 1);
}

/// Within 1 s, (1000 + 1000) x 1.1 + 100 tokens are tolerated: eleven requests
/// of 200 tokens.
Test(guarantee_checker, limit_applies_to_each_window) {
  for (const int Requests : {11, 12}) {
    guarantee_checker Checker(bounds());
    for (int Index = 0; Index < Requests; ++Index) {
      const std::string Id = std::to_string(Index);
      Checker.onRequestSent({Id, "/read/", "key-0", 0, instant(1s)});
      Checker.onExecution(Id, instant(1s) + 10ms * Index);
    }
    Checker.finish();
    cr_assert(Checker.violations().empty() == (Requests == 11));
  }
}

Test(soak_plan, plans_are_deterministic_and_cover_all_kinds) {
  std::vector<bool> Seen(SoakEventKinds);
  size_request Request;
  Request.TwoBuilds = true;
  const soak_size Size = *chooseSize(Request);
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    const auto Plan = makeSoakPlan(Seed, Size);
    const auto Again = makeSoakPlan(Seed, Size);
    cr_assert(std::ranges::equal(Plan, Again, {}, describe, describe));
    cr_assert(std::ranges::is_sorted(Plan, {}, &soak_event::At));
    for (const soak_event &Event : Plan)
      Seen[static_cast<std::size_t>(Event.Kind)] = true;
  }
  cr_assert(std::ranges::find(Seen, false) == Seen.end());
}

// The soak's judge must see each kind of broken promise, and nothing else.
#include "platform/fake_upstream.h"
#include "soak/promise_judge.h"
#include "soak/soak_plan.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

promise_bounds bounds() {
  promise_bounds Bounds;
  Bounds.Key = 1500ms;
  Bounds.Apply = 800ms;
  Bounds.Rate = 1000;
  Bounds.Burst = 1000;
  Bounds.Slack = 100;
  Bounds.RequestTokens = 200;
  return Bounds;
}

struct judge_row {
  char Path[16];
  int Runs;
  int Status;
  bool Whole;
  bool SaysNotRun;
  bool Sealed;
  char Body[48];
  bool Broken;
};

} // namespace

ParameterizedTestParameters(promise_judge, sees_what_callers_got) {
  static judge_row Rows[] = {
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

ParameterizedTest(judge_row *Row, promise_judge, sees_what_callers_got) {
  promise_judge Judge(bounds());
  Judge.onAsked({"r", Row->Path, "key-0", 0, instant(1s)});
  for (int Run = 0; Run < Row->Runs; ++Run)
    Judge.onRun("r", instant(1s));
  got_answer Answer;
  Answer.Status = Row->Status;
  Answer.Whole = Row->Whole;
  Answer.SaysNotRun = Row->SaysNotRun;
  Answer.Sealed = Row->Sealed;
  Answer.Body = Row->Body;
  Judge.onAnswer("r", Answer, instant(2s));
  Judge.finish();
  cr_assert(Judge.broken().empty() != Row->Broken, "%s %d '%s'", Row->Path,
            Row->Status, Row->Body);
}

Test(promise_judge, a_run_behind_a_refusal_is_seen_when_it_comes) {
  promise_judge Judge(bounds());
  Judge.onAsked({"r", "/order/", "key-0", 0, instant(1s)});
  Judge.onAnswer("r", {503, true, true, false, "refused"}, instant(1s));
  cr_assert(Judge.broken().empty());
  Judge.onRun("r", instant(2s));
  cr_assert(Judge.broken().size() == 1);
}

Test(promise_judge, a_withdrawn_key_has_its_bound) {
  promise_judge Judge(bounds());
  for (const char *Id : {"a", "b", "c"})
    Judge.onAsked({Id, "/read/", "key-1", 0, instant(1s)});
  Judge.onAsked({"open", "/open/", "key-1", 0, instant(1s)});
  Judge.onWithdrawn("key-1", instant(1s));
  Judge.onRun("a", instant(2s));
  Judge.onRun("open", instant(9s)); // needs no key
  cr_assert(Judge.broken().empty());
  Judge.onRun("b", instant(2600ms));
  cr_assert(Judge.broken().size() == 1);
  // What was seen late, because the judge was held up, is not held against it.
  Judge.onHeldUp(2s, instant(3s));
  Judge.onRun("c", instant(3s));
  cr_assert(Judge.broken().size() == 1);
}

/// The bound is on when a request is sent: a cut link may deliver it later.
Test(promise_judge, bytes_that_a_link_held_back_were_sent_before) {
  promise_judge Judge(bounds());
  Judge.onAsked({"early", "/read/", "key-1", 0, instant(1s)});
  Judge.onWithdrawn("key-1", instant(1s));
  Judge.onUpstreamLinkHarmed(instant(4s));
  Judge.onRun("early", instant(4s));
  cr_assert(Judge.broken().empty());
  // Asked behind the bound it may not run, whatever the link does.
  Judge.onAsked({"late", "/read/", "key-1", 0, instant(3s)});
  Judge.onRun("late", instant(4s));
  cr_assert(Judge.broken().size() == 1);
  // Nor where no link was harmed since it was asked.
  Judge.onAsked({"after", "/read/", "key-1", 0, instant(5s)});
  Judge.onRun("after", instant(6s));
  cr_assert(Judge.broken().size() == 2);
}

Test(promise_judge, a_new_key_may_be_unknown_for_a_while) {
  promise_judge Judge(bounds());
  Judge.onAdded("key-2", instant(1s));
  Judge.onAsked({"a", "/read/", "key-2", 0, instant(1500ms)});
  Judge.onAnswer("a", {401, true, true, false, "refused"}, instant(1500ms));
  cr_assert(Judge.broken().empty());
  Judge.onAsked({"b", "/read/", "key-2", 0, instant(1900ms)});
  Judge.onAnswer("b", {401, true, true, false, "refused"}, instant(1900ms));
  cr_assert(Judge.broken().size() == 1);
}

/// 1 s: (1000 + 1000) x 1.1 + 100 tokens are tolerated, eleven requests.
Test(promise_judge, the_limit_holds_in_each_window) {
  for (const int Requests : {11, 12}) {
    promise_judge Judge(bounds());
    for (int Index = 0; Index < Requests; ++Index) {
      const std::string Id = std::to_string(Index);
      Judge.onAsked({Id, "/read/", "key-0", 0, instant(1s)});
      Judge.onRun(Id, instant(1s) + 10ms * Index);
    }
    Judge.finish();
    cr_assert(Judge.broken().empty() == (Requests == 11));
  }
}

Test(soak_plan, a_seed_gives_one_plan_and_all_kinds_come) {
  std::vector<bool> Seen(SoakKinds);
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    const auto Plan = makeSoakPlan(Seed, {});
    const auto Again = makeSoakPlan(Seed, {});
    cr_assert(std::ranges::equal(Plan, Again, {}, describe, describe));
    cr_assert(std::ranges::is_sorted(Plan, {}, &soak_event::At));
    for (const soak_event &Event : Plan)
      Seen[static_cast<std::size_t>(Event.Kind)] = true;
  }
  cr_assert(std::ranges::find(Seen, false) == Seen.end());
}

#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct outcome_row {
  char Path[24];
  upstream_act First;
  upstream_act Second;
  int Status;
  int Runs;   ///< on both upstreams together
  bool Whole; ///< the answer looked complete
};

using enum upstream_act;

} // namespace

ParameterizedTestParameters(forward_session, what_callers_get) {
  static outcome_row Rows[] = {
      {"/read/1", Answer, Answer, 200, 1, true},
      {"/order/1", Answer, Answer, 200, 1, true},
      // An answer that was lost: only what may be repeated is.
      {"/read/1", LoseAnswer, LoseAnswer, 502, 2, true},
      {"/order/1", LoseAnswer, LoseAnswer, 502, 1, true},
      {"/stream-once/1", LoseAnswer, LoseAnswer, 502, 1, true},
      // The upstream's own failure reaches the caller as it is.
      {"/order/1", Error, Error, 500, 1, true},
      {"/read/1", Error, Error, 500, 2, true},
      // Too large to be held: never a part of it as if it were all.
      {"/order/1", TooLarge, TooLarge, 502, 1, true},
      {"/read/1", TooLarge, TooLarge, 502, 2, true},
      {"/stream-once/1", TooLarge, TooLarge, 200, 1, true},
      // Proved not to have run.
      {"/order/1", Full, Full, 503, 0, true},
      {"/read/1", Full, Full, 503, 0, true},
      {"/order/1", OtherProcess, OtherProcess, 503, 0, true},
      // Streams.
      {"/stream-on/1", Answer, Answer, 200, 1, true},
      {"/stream-once/1", BreakStream, BreakStream, 200, 1, false},
      {"/stream-on/1", BreakStream, BreakStream, 200, 2, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(outcome_row *Row, forward_session, what_callers_get) {
  gateway_fixture Gateway;
  Gateway.Upstreams[0]->Act = Row->First;
  Gateway.Upstreams[1]->Act = Row->Second;
  const caller_result Result = Gateway.ask({.Path = Row->Path});
  cr_assert(Result.Status == Row->Status, "%s: %d", Row->Path, Result.Status);
  cr_assert(Result.Whole == Row->Whole, "%s", Row->Path);
  const int Runs = Gateway.Upstreams[0]->runs() + Gateway.Upstreams[1]->runs();
  cr_assert(Runs == Row->Runs, "%s: %d runs", Row->Path, Runs);
  // A promise of not having run holds, and says when to come back.
  if (Result.Status == 503) {
    cr_assert(Runs == 0);
    cr_assert(Result.Headers.find("Retry-After"));
  }
  const bool Sealed = Result.Headers.find("Ebonyvale-Server-Seal").has_value();
  cr_assert(Sealed == (Result.Status == 200 || Result.Status == 500));
}

/// Found by the soak: the upstream that was to go on with a stream failed, and
/// the part before it looked like the whole.
Test(forward_session, a_stream_that_cannot_go_on_is_never_whole) {
  for (const int Broken : {0, 1}) {
    gateway_fixture Gateway;
    Gateway.Upstreams[Broken]->Act = BreakStream;
    Gateway.Upstreams[1 - Broken]->Act = Error;
    for (int Index = 0; Index < 4; ++Index) {
      const caller_result Result =
          Gateway.ask({.Path = "/stream-on/" + std::to_string(Index),
                       .Id = "id-" + std::to_string(Index)});
      cr_assert(Result.Status != 200 || !Result.Whole, "'%s' as a whole",
                Result.Body.c_str());
    }
  }
}

Test(forward_session, a_broken_stream_goes_on_elsewhere_whole_and_in_order) {
  // Which of the two is asked first is the scheduler's choice.
  for (const int Broken : {0, 1}) {
    gateway_fixture Gateway;
    Gateway.Upstreams[Broken]->Act = BreakStream;
    for (int Index = 0; Index < 4; ++Index) {
      const caller_result Result =
          Gateway.ask({.Path = "/stream-on/" + std::to_string(Index),
                       .Id = "id-" + std::to_string(Index)});
      cr_assert(Result.Status == 200 && Result.Whole);
      cr_assert(Result.Body == upstream_stand_in::events(0), "%s",
                Result.Body.c_str());
    }
  }
}

Test(forward_session, a_caller_resumes_behind_its_last_event) {
  gateway_fixture Gateway;
  const caller_result Result =
      Gateway.ask({.Path = "/stream-on/1", .ResumeAfter = "4"});
  cr_assert(Result.Body == upstream_stand_in::events(4));
}

Test(forward_session, upstreams_get_the_team_and_never_the_key) {
  gateway_fixture Gateway;
  Gateway.ask({.Path = "/read/1?q=key"});
  const upstream_stand_in &First = *Gateway.Upstreams[0];
  const auto &Seen =
      First.Seen.empty() ? Gateway.Upstreams[1]->Seen : First.Seen;
  cr_assert(Seen.size() == 1);
  const http_head &Head = Seen[0].Head;
  cr_assert(Head.Method == "POST" && Head.Target == "/read/1?q=key");
  cr_assert(Seen[0].Body == "the body");
  cr_assert(Head.Headers.find("Ebonyvale-Tenant") == "t");
  cr_assert(!Head.Headers.find("Authorization"));
  for (const http_header &Field : Head.Headers.all())
    cr_assert(Field.Value.find("key-1") == std::string::npos);
}

Test(forward_session, a_caller_that_leaves_ends_the_work) {
  gateway_fixture Gateway;
  for (auto &Upstream : Gateway.Upstreams)
    Upstream->Act = Hold;
  const auto Held = [&] {
    return Gateway.Upstreams[0]->stillHeld() +
           Gateway.Upstreams[1]->stillHeld();
  };
  Gateway.begin({.Path = "/stream-on/1"});
  cr_assert(Gateway.waitFor([&] { return Held() == 1; }));
  Gateway.leave();
  cr_assert(Gateway.waitFor([&] { return Held() == 0; }));
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().openRequests() == 0; }));
}

Test(forward_session, at_the_deadline_nothing_is_promised) {
  gateway_fixture Gateway;
  for (auto &Upstream : Gateway.Upstreams)
    Upstream->Act = Hold;
  const caller_result Result =
      Gateway.ask({.Path = "/order/1", .DeadlineMs = "1000"});
  cr_assert(Result.Status == 504);
  cr_assert(!Result.Headers.find("Retry-After"));
  cr_assert(Gateway.Upstreams[0]->runs() + Gateway.Upstreams[1]->runs() == 1);
}

Test(forward_session, keys_and_routes) {
  gateway_fixture Gateway;
  cr_assert(Gateway.ask({.Path = "/read/1", .Key = "other"}).Status == 401);
  cr_assert(Gateway.ask({.Path = "/read/1", .Key = ""}).Status == 401);
  cr_assert(Gateway.ask({.Path = "/none/1"}).Status == 404);
  cr_assert(Gateway.ask({.Path = "/open/1", .Key = ""}).Status == 200);
}

Test(forward_session, limits_refuse_and_say_when_to_come_back) {
  gateway_fixture Gateway;
  // A request counts 200 tokens; the bucket starts nearly empty.
  Gateway.configure(2, "\"key-1\"", 10);
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 2; }));
  int Limited = 0;
  for (int Index = 0; Index < 12; ++Index) {
    const caller_result Result =
        Gateway.ask({.Path = "/read/1", .Id = "id-" + std::to_string(Index)});
    if (Result.Status != 429)
      continue;
    ++Limited;
    cr_assert(Result.Headers.find("Retry-After"));
  }
  const int Runs = Gateway.Upstreams[0]->runs() + Gateway.Upstreams[1]->runs();
  cr_assert(Limited > 0 && Runs + Limited == 12, "%d and %d", Limited, Runs);
}

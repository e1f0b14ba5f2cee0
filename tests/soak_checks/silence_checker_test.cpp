// Tests that the checker of runs with silences reports each kind of violation.
#include "platform/fake_upstream.h"
#include "soak/silence_checker.h"
#include "soak/silence_plan.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

const instant Start(100s);

/// Returns a request to gateway 0 that ends after \p Time.
ended_request request(const char *Id, const std::string &Path, span_ns Time) {
  ended_request Ended;
  Ended.Request.Id = Id;
  Ended.Request.Path = Path;
  Ended.Request.At = Start;
  Ended.EndedAt = Start + Time;
  return Ended;
}

/// Returns a run from \p From to \p Until after the start, in ms.
upstream_run run(const char *Id, const char *Upstream, int From, int Until) {
  return {Id, Upstream, std::string(Upstream, 1),
          Start + std::chrono::milliseconds(From),
          Start + std::chrono::milliseconds(Until)};
}

/// Adds a configuration written \p Before the start.
void configure(silence_checker &Checker, span_ns Before,
               std::set<std::string, std::less<>> Moved = {}) {
  routing_values Values;
  Values.Moved = std::move(Moved);
  Checker.onConfiguration(Values, Start - Before);
}

/// Returns whether \p Checker reports a violation of \p Rule, or any if it is
/// empty.
bool reports(silence_checker &Checker, std::string_view Rule) {
  return std::ranges::any_of(Checker.finish(),
                             [Rule](const std::string &Violation) {
                               return Violation.starts_with(Rule);
                             });
}

struct loss_row {
  int Status;
  int Ms; ///< from its sending to its end
  bool Reused;
  bool Ran;
  bool GaveUp;
  int FaultMs; ///< of the gateway's fault, from the sending; 0: none
  int StopMs;  ///< of the gateway's stop, as well
  bool Violation;
};

} // namespace

ParameterizedTestParameters(silence_checker, answers_end_whole) {
  static loss_row Rows[] = {
      {0, 700, false, true, false, 0, 0, true},
      {200, 700, false, true, false, 0, 0, true},
      {0, 700, false, false, false, 0, 0, true},
      {0, 50, true, true, false, 0, 0, true},
      {0, 50, false, false, false, 0, 0, true},
      {0, 50, true, false, false, 0, 0, false},     // crossed the close
      {0, 150, true, false, false, 0, 0, true},     // too late for that
      {200, 4000, false, true, false, 0, 0, false}, // the route's timeout
      {200, 3900, false, true, false, 0, 0, true},
      {0, 700, false, true, true, 0, 0, false}, // the caller closed it
      {0, 9000, false, true, true, 0, 0, true}, // long after its deadline
      {200, 9000, true, false, true, 0, 0, true},
      {0, 9000, false, true, true, 4000, 0, false},
      {0, 700, false, true, false, 500, 0, false},
      {0, 700, false, true, false, -40, 0, false},
      {0, 700, false, true, false, -60, 0, true},
      {0, 700, false, true, false, -2500, 0, true},
      {0, 700, false, true, false, 0, -1000, true},
      {0, 700, false, true, false, 0, -2500, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(loss_row *Row, silence_checker, answers_end_whole) {
  silence_checker Checker;
  configure(Checker, 10s);
  ended_request Ended =
      request("r", "/order/", std::chrono::milliseconds(Row->Ms));
  Ended.Response.Status = Row->Status;
  Ended.Response.FromUpstream = true;
  Ended.Reused = Row->Reused;
  Ended.GaveUp = Row->GaveUp;
  Checker.onEnded(Ended);
  if (Row->Ran)
    Checker.onRun(run("r", "s-0", 10, 300));
  const auto After = [](int Ms) {
    return Start + std::chrono::milliseconds(Ms);
  };
  if (Row->FaultMs != 0)
    Checker.onGatewayFault(0, {After(Row->FaultMs), After(Row->FaultMs)});
  if (Row->StopMs != 0)
    Checker.onStop(0, {After(Row->StopMs), After(Row->StopMs) + 6s});
  const bool Found = reports(Checker, "LOST");
  cr_assert(Found == Row->Violation);
}

namespace {

struct idle_row {
  bool Reused;
  int IdleMs;
  bool Violation;
};

} // namespace

ParameterizedTestParameters(silence_checker,
                            faults_touch_idle_connections_only) {
  static idle_row Rows[] = {
      {true, 900, false}, {true, 400, true}, {false, 900, true}};
  return criterion_test_params(Rows);
}

ParameterizedTest(idle_row *Row, silence_checker,
                  faults_touch_idle_connections_only) {
  silence_checker Checker;
  configure(Checker, 10s);
  ended_request Ended = request("r", "/order/", 700ms);
  Ended.Reused = Row->Reused;
  Ended.Idle = std::chrono::milliseconds(Row->IdleMs);
  Checker.onEnded(Ended);
  Checker.onGatewayFault(0, {Start - 800ms, Start - 500ms});
  const bool Found = reports(Checker, "LOST");
  cr_assert(Found == Row->Violation);
}

namespace {

struct kill_row {
  int Status;
  int KillMs;     ///< of an upstream, from the sending of the request
  char Killed[8]; ///< the upstream; s-0 ran the request from 10 ms on
  bool Violation;
};

} // namespace

ParameterizedTestParameters(silence_checker, answers_end_with_their_upstream) {
  static kill_row Rows[] = {
      {200, 690, "s-0", false}, {0, 690, "s-0", false},
      {200, 690, "s-1", true},  {200, -500, "s-0", true},
      {200, 900, "s-0", true},  {0, -500, "s-0", true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(kill_row *Row, silence_checker,
                  answers_end_with_their_upstream) {
  silence_checker Checker;
  configure(Checker, 10s);
  ended_request Ended = request("r", "/stream-on/", 700ms);
  Ended.Response.Status = Row->Status;
  Ended.Response.Body = fake_upstream::events(0, 2, "s-0");
  Checker.onEnded(Ended);
  Checker.onRun(run("r", "s-0", 10, 690));
  Checker.onUpstreamKill(Row->Killed,
                         Start + std::chrono::milliseconds(Row->KillMs));
  const bool Found = reports(Checker, "LOST");
  cr_assert(Found == Row->Violation);
}

namespace {

struct last_run_row {
  int Until[2];   ///< of both runs; they begin at 10 and 300 ms, at s-0 and s-1
  bool Complete;  ///< the second run
  int KillMs;     ///< from the sending of the request
  char Killed[8]; ///< the upstream
  bool Violation; ///< at 3000 ms, its end
};

} // namespace

ParameterizedTestParameters(silence_checker, only_the_last_run_ends_answers) {
  static last_run_row Rows[] = {
      {{200, 2990}, false, 2990, "s-1", false},
      {{200, 2990}, false, 200, "s-0", true},
      {{200, 2990}, false, 1000, "s-0", true},
      {{200, 500}, false, 1000, "s-1", true},
      {{200, 500}, true, 2400, "s-1", false},
      {{200, 500}, true, 2600, "s-1", true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(last_run_row *Row, silence_checker,
                  only_the_last_run_ends_answers) {
  silence_checker Checker;
  configure(Checker, 10s);
  ended_request Ended = request("r", "/stream-on/", 3s);
  Ended.Response.Status = 200;
  Ended.Response.Body = fake_upstream::events(0, 2, "s-0");
  Checker.onEnded(Ended);
  Checker.onRun(run("r", "s-0", 10, Row->Until[0]));
  upstream_run Second = run("r", "s-1", 300, Row->Until[1]);
  Second.Complete = Row->Complete;
  Checker.onRun(Second);
  Checker.onUpstreamKill(Row->Killed,
                         Start + std::chrono::milliseconds(Row->KillMs));
  const bool Found = reports(Checker, "LOST");
  cr_assert(Found == Row->Violation);
}

namespace {

struct reset_row {
  bool Reset[2]; ///< runs of the request
  char Id[8];    ///< the request of the second run, until 2000 ms
  bool Violation;
};

} // namespace

ParameterizedTestParameters(silence_checker, only_a_reset_last_run_is_excused) {
  static reset_row Rows[] = {
      {{false, true}, "r", false},
      {{true, false}, "r", true},
      {{false, false}, "r", true},
      {{false, true}, "other", true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(reset_row *Row, silence_checker,
                  only_a_reset_last_run_is_excused) {
  silence_checker Checker;
  configure(Checker, 10s);
  Checker.onEnded(request("r", "/stream-on/", 3s));
  upstream_run First = run("r", "s-0", 10, 200);
  First.Reset = Row->Reset[0];
  Checker.onRun(First);
  upstream_run Second = run(Row->Id, "s-1", 300, 2000);
  Second.Reset = Row->Reset[1];
  Checker.onRun(Second);
  const bool Found = reports(Checker, "LOST");
  cr_assert(Found == Row->Violation);
}

namespace {

enum class told { Lost, Proven, Unproven }; ///< to a caller about an end

struct truncation_row {
  char Path[16];
  char Body[32]; ///< of a body; of a stream, the writer of two events
  told Told;
  bool CloseDelimited; ///< at the upstream, s-0
  bool Truncated[2];   ///< runs of the request, which both were at s-0
  char Rule[8];        ///< that is broken; empty: none
  bool Counted;        ///< as an unproven end
};

} // namespace

ParameterizedTestParameters(silence_checker, truncated_ends_are_not_proven) {
  using enum told;
  static truncation_row Rows[] = {
      {"/stream-on/", "s-0", Lost, true, {false, true}, "", false},
      {"/stream-on/", "s-0", Lost, false, {false, true}, "", false},
      {"/stream-on/", "s-0", Lost, true, {true, false}, "LOST", false},
      {"/stream-on/", "s-0", Proven, true, {false, true}, "ORDER", false},
      {"/stream-on/", "s-0", Proven, false, {false, true}, "ORDER", false},
      {"/stream-on/", "s-0", Unproven, true, {false, true}, "", true},
      {"/stream-on/", "s-0", Unproven, false, {false, true}, "ORDER", false},
      // Neither a killed upstream's nor that of an earlier or another run.
      {"/stream-on/", "s-0", Unproven, true, {false, false}, "ORDER", false},
      {"/stream-on/", "s-0", Unproven, true, {true, false}, "ORDER", false},
      {"/stream-on/", "s-1", Unproven, true, {false, true}, "ORDER", false},
      {"/read/", "", Lost, false, {false, true}, "", false},
      {"/read/", "answer of s", Proven, true, {false, true}, "MIXED", false},
      {"/read/", "answer of s", Proven, false, {false, true}, "MIXED", false},
      {"/read/", "answer of s", Unproven, true, {false, true}, "", true},
      {"/read/", "answer of s", Unproven, false, {false, true}, "MIXED", false},
      {"/read/", "answer of s", Unproven, true, {false, false}, "MIXED", false},
      {"/read/", "", Unproven, true, {false, true}, "MIXED", false},
      {"/read/", "answer of t", Unproven, true, {false, true}, "MIXED", false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(truncation_row *Row, silence_checker,
                  truncated_ends_are_not_proven) {
  silence_checker Checker;
  configure(Checker, 10s);
  ended_request Ended = request("r", Row->Path, 3s);
  const bool IsStream = std::string_view(Row->Path).starts_with("/stream");
  Ended.Response = {200,
                    Row->Told != told::Lost,
                    false,
                    true,
                    IsStream ? fake_upstream::events(0, 2, Row->Body)
                             : Row->Body,
                    Row->Told != told::Proven};
  Checker.onEnded(Ended);
  for (int Index = 0; Index < 2; ++Index) {
    upstream_run Run = run("r", "s-0", 10 + 290 * Index, 200 + 1800 * Index);
    Run.Truncated = Row->Truncated[Index];
    Run.CloseDelimited = Row->CloseDelimited;
    Checker.onRun(Run);
  }
  const std::vector<std::string> Violations = Checker.finish();
  const bool Found =
      Row->Rule[0] == '\0'
          ? Violations.empty()
          : Violations.size() == 1 && Violations.front().starts_with(Row->Rule);
  cr_assert(Found);
  cr_assert(Checker.counts().Unproven == (Row->Counted ? 1U : 0U));
}

namespace {

struct continued_row {
  char Path[16];
  int Last;            ///< event that the caller has got
  bool CloseDelimited; ///< at the upstream of the last run
  bool CallerChunked;
  bool Runs[2]; ///< whether the first one was there, the last one complete
  bool Violation;
};

} // namespace

ParameterizedTestParameters(silence_checker,
                            only_unproven_ends_of_continued_streams_are_cut) {
  static continued_row Rows[] = {
      {"/stream-on/", 6, true, true, {true, true}, false},
      {"/stream-on/", 5, true, true, {true, true}, true},
      {"/stream-on/", 6, false, true, {true, true}, true},
      {"/stream-on/", 6, true, false, {true, true}, true},
      {"/stream-on/", 6, true, true, {false, true}, true},
      {"/stream-on/", 6, true, true, {true, false}, true},
      {"/stream-once/", 6, true, true, {true, true}, true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(continued_row *Row, silence_checker,
                  only_unproven_ends_of_continued_streams_are_cut) {
  silence_checker Checker;
  configure(Checker, 10s);
  ended_request Ended = request("r", Row->Path, 3s);
  Ended.Response = {200,
                    false,
                    false,
                    true,
                    fake_upstream::events(0, Row->Last, "s-1"),
                    !Row->CallerChunked};
  Checker.onEnded(Ended);
  if (Row->Runs[0])
    Checker.onRun(run("r", "s-0", 10, 200));
  upstream_run Last = run("r", "s-1", 300, 2000);
  Last.CloseDelimited = Row->CloseDelimited;
  Last.Complete = Row->Runs[1];
  Checker.onRun(Last);
  cr_assert(reports(Checker, "LOST") == Row->Violation);
}

namespace {

struct run_row {
  char Path[16];
  char Second[8];    ///< upstream of the second run
  int FirstEnd;      ///< of the first run, in ms; the second begins at 1000
  bool Silent;       ///< the first upstream, from 900 on
  bool OtherAttempt; ///< the second run is that of an attempt to resume
  char Rule[8];      ///< that is broken; empty: none
};

} // namespace

ParameterizedTestParameters(silence_checker, requests_run_once_at_a_time) {
  static run_row Rows[] = {
      {"/read/", "s-1", 900, false, false, ""},
      {"/read/", "s-1", 1390, false, false, ""},
      {"/read/", "s-1", 1410, false, false, "TWICE"},
      {"/read/", "s-1", 1410, true, false, "TWICE"},
      {"/order/", "s-1", 900, false, false, "TWICE"},
      {"/order/", "s-0", 900, false, false, "TWICE"},
      {"/stream-once/", "s-1", 900, false, false, "TWICE"},
      {"/stream-on/", "s-1", 900, false, true, ""},
      {"/stream-on/", "s-1", 1410, false, true, "TWICE"},
      {"/stream-on/", "s-1", 1410, true, true, ""},
      {"/stream-on/", "s-1", 1500, true, true, "TWICE"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(run_row *Row, silence_checker, requests_run_once_at_a_time) {
  silence_checker Checker;
  configure(Checker, 10s);
  ended_request First = request("r", Row->Path, 2s);
  First.Response = {502, true, false, false, ""};
  Checker.onEnded(First);
  if (Row->OtherAttempt) {
    ended_request Second = request("q", Row->Path, 2s);
    Second.Response = {502, true, false, false, ""};
    Second.Request.Resumes = "r";
    Checker.onEnded(Second);
  }
  Checker.onRun(run("r", "s-0", 10, Row->FirstEnd));
  Checker.onRun(run(Row->OtherAttempt ? "q" : "r", Row->Second, 1000, 1100));
  if (Row->Silent) {
    Checker.onSilence("s-0", {Start + 700ms, Start + 1200ms});
    Checker.onSilence("s-0", {Start + 900ms, Start + 1400ms});
    Checker.onSilence("s-0", {Start + 1300ms, Start + 1405ms});
  }
  const bool Found = reports(Checker, Row->Rule);
  cr_assert(Found == (Row->Rule[0] != '\0'));
}

namespace {

struct events_row {
  char Path[16];
  int Ranges[2][2];   ///< numbers of the first and last event of each part
  char Writers[2][8]; ///< upstream of each part; empty: no part
  bool Complete;
  bool Violation;
};

} // namespace

ParameterizedTestParameters(silence_checker, streams_are_whole) {
  static events_row Rows[] = {
      {"/stream-on/", {{1, 6}}, {"s-0"}, true, false},
      {"/stream-on/", {{1, 3}, {4, 6}}, {"s-0", "s-1"}, true, false},
      {"/stream-on/", {{1, 3}, {4, 6}}, {"s-0", "t-1"}, true, true},
      {"/stream-on/", {{1, 3}, {5, 6}}, {"s-0", "s-1"}, true, true},
      {"/stream-on/", {{1, 3}, {3, 6}}, {"s-0", "s-1"}, true, true},
      {"/stream-on/", {{1, 5}}, {"s-0"}, true, true},
      {"/stream-on/", {{2, 6}}, {"s-0"}, true, true},
      {"/stream-once/", {{1, 3}, {4, 6}}, {"s-0", "s-1"}, true, true},
      {"/stream-once/", {{1, 3}}, {"s-0"}, true, true},
      {"/stream-once/", {{1, 3}}, {"s-0"}, false, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(events_row *Row, silence_checker, streams_are_whole) {
  silence_checker Checker;
  configure(Checker, 10s);
  ended_request Ended = request("r", Row->Path, 2s);
  Ended.Response = {200, Row->Complete, false, true, ""};
  for (std::size_t Part = 0; Part < 2; ++Part) {
    if (Row->Writers[Part][0] == '\0')
      continue;
    Ended.Response.Body += fake_upstream::events(
        Row->Ranges[Part][0] - 1, Row->Ranges[Part][1], Row->Writers[Part]);
    Checker.onRun(run("r", Row->Writers[Part], 10, 20));
  }
  Checker.onEnded(Ended);
  cr_assert(reports(Checker, "ORDER") == Row->Violation);
}

Test(silence_checker, streams_stay_at_the_service_that_began_them) {
  for (const char *Second : {"s-1", "t-1"}) {
    silence_checker Checker;
    configure(Checker, 10s);
    ended_request First = request("r", "/stream-on/", 1s);
    First.GaveUp = true;
    First.Response = {200, false, false, true,
                      fake_upstream::events(0, 2, "s-0")};
    Checker.onEnded(First);
    Checker.onRun(run("r", "s-0", 10, 1000));
    ended_request Next = request("q", "/stream-on/", 2s);
    Next.Request.Resumes = "r";
    Next.Request.After = 2;
    Next.Response = {200, true, false, true,
                     fake_upstream::events(2, fake_upstream::Events, Second)};
    Checker.onEnded(Next);
    Checker.onRun(run("q", Second, 1100, 1500));
    cr_assert(reports(Checker, "ORDER") == (Second[0] == 't'), "%s", Second);
  }
}

namespace {

struct service_row {
  int ChangedMs; ///< when the route moved to "t", before the request
  bool MovesBack;
  int StoreFaultMs; ///< from this time before the request on; 0: none
  char Upstream[8];
  char Rule[8]; ///< that is broken; empty: none
};

} // namespace

ParameterizedTestParameters(silence_checker, services_follow_configurations) {
  static service_row Rows[] = {
      {0, false, 0, "s-0", ""},         {0, false, 0, "t-0", "ROUTE"},
      {700, false, 0, "s-0", ""},       {700, false, 0, "t-0", ""},
      {900, false, 0, "s-0", "CONFIG"}, {900, false, 0, "t-0", ""},
      {900, false, 1000, "s-0", ""},    {5000, false, 1000, "s-0", "CONFIG"},
      {5000, true, 0, "t-0", "CONFIG"}, {5000, true, 0, "s-0", ""},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(service_row *Row, silence_checker,
                  services_follow_configurations) {
  silence_checker Checker;
  configure(Checker, 10s);
  if (Row->ChangedMs != 0)
    configure(Checker, std::chrono::milliseconds(Row->ChangedMs), {"read"});
  if (Row->MovesBack)
    configure(Checker, 2s);
  if (Row->StoreFaultMs != 0)
    Checker.onStoreFault(
        0, {Start - std::chrono::milliseconds(Row->StoreFaultMs), Start});
  ended_request Ended = request("r", "/read/", 100ms);
  Ended.Response = {200, true, false, true, "answer of u to r"};
  Checker.onEnded(Ended);
  Checker.onRun(run("r", Row->Upstream, 10, 90));
  const bool Found = reports(Checker, Row->Rule);
  cr_assert(Found == (Row->Rule[0] != '\0'));
}

Test(silence_checker, closed_attempts_may_run_late_and_shortly) {
  for (const int Until : {1390, 1410}) {
    silence_checker Checker;
    configure(Checker, 10s);
    ended_request First = request("r", "/stream-on/", 100ms);
    First.GaveUp = true;
    ended_request Second = request("q", "/stream-on/", 2s);
    Second.Request.At += 200ms;
    Second.Request.Resumes = "r";
    Second.Response = {502, true, false, false, ""};
    Checker.onEnded(First);
    Checker.onEnded(Second);
    Checker.onRun(run("r", "s-0", 1000, Until));
    Checker.onRun(run("q", "s-1", 300, 1900));
    cr_assert(reports(Checker, "TWICE") == (Until > 1400), "%d", Until);
  }
}

struct mixed_row {
  int Streams;      ///< that begin at v1 and are resumed at the other version
  char Software[4]; ///< of the rest
  bool Violation;
};

ParameterizedTestParameters(silence_checker, streams_stay_at_their_version) {
  static mixed_row Rows[] = {
      {2, "v2", false}, {3, "v2", true}, {5, "v1", false}};
  return criterion_test_params(Rows);
}

ParameterizedTest(mixed_row *Row, silence_checker,
                  streams_stay_at_their_version) {
  silence_checker Checker;
  configure(Checker, 10s);
  for (int Stream = 0; Stream < Row->Streams; ++Stream) {
    const std::string Id = "r-" + std::to_string(Stream);
    ended_request First = request(Id.c_str(), "/stream-on/", 200ms);
    First.GaveUp = true;
    First.Response = {200, false, false, true,
                      fake_upstream::events(0, 2, "s-0@v1")};
    ended_request Rest = request(("rest-" + Id).c_str(), "/stream-on/", 2s);
    Rest.Request.Resumes = Id;
    Rest.Request.After = 2;
    Rest.Response = {
        200, true, false, true,
        fake_upstream::events(2, fake_upstream::Events,
                              std::string("s-1@") + Row->Software)};
    Checker.onEnded(First);
    Checker.onEnded(Rest);
  }
  cr_assert(reports(Checker, "ORDER") == Row->Violation, "%d", Row->Streams);
}

Test(silence_checker, refusals_promise_that_nothing_runs) {
  silence_checker Checker;
  configure(Checker, 10s);
  ended_request Ended = request("r", "/order/", 100ms);
  Ended.Response = {503, true, true, false, ""};
  Checker.onEnded(Ended);
  Checker.onRun(run("r", "s-0", 200, 300));
  cr_assert(reports(Checker, "REFUSED"));
}

Test(silence_plan, faults_only_add_events) {
  const auto Quiet = makeSilencePlan(1, 20s, /*Faults=*/false);
  const auto Faulty = makeSilencePlan(1, 20s, /*Faults=*/true);
  std::vector<std::string> QuietLines;
  std::vector<std::string> FaultyLines;
  for (const silence_event &Event : Quiet) {
    cr_assert(Event.Kind <= silence_event_kind::Route);
    QuietLines.push_back(describe(Event));
  }
  for (const silence_event &Event : Faulty)
    if (Event.Kind <= silence_event_kind::Route)
      FaultyLines.push_back(describe(Event));
  cr_assert(QuietLines == FaultyLines);
  cr_assert(Faulty.size() > Quiet.size());
}

#include "platform/messages.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <set>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

const platform::caller_messages Callers;
const platform::upstream_messages Upstreams;

http_head headOf(std::initializer_list<http_header> Headers) {
  http_head Head;
  Head.Method = "POST";
  Head.Target = "/a/b?q=1";
  for (const http_header &Field : Headers)
    Head.Headers.add(Field.Name, Field.Value);
  return Head;
}

struct malformed_case {
  char Name[32];
  char Value[32];
};

struct response_case {
  int Status;
  char Name[32];
  char Value[32];
  bool NotRun;
  bool OtherProcess;
  bool OtherWeights;
};

struct slowness_case {
  char Value[32];
  std::int64_t Percent;
};

struct limit_case {
  char Value[32];
  bool IsNumber;
  double PerSecond;
};

} // namespace

Test(platform_messages, a_request_is_parsed) {
  const auto Request = Callers.parseHead(
      headOf({{"Host", "h.example:80"},
              {"Ebonyvale-Request-Id", "9c41"},
              {"authorization", "bearer key"},
              {"Ebonyvale-Deadline-Ms", "4000"},
              {"Ebonyvale-Model", "m"},
              {"Ebonyvale-Token-Usage", "1460,80"},
              {"Ebonyvale-Prompt-Prefix", "5c1e:800,91bd:410,e440:250"},
              {"Last-Event-Id", "12"}}));
  cr_assert(Request);
  cr_assert(Request->Id == "9c41" && Request->Key == "key");
  cr_assert(Request->Path == "/a/b" && Request->Host == "h.example:80");
  cr_assert(Request->Deadline == 4s);
  cr_assert(Request->PromptTokens == 1460 && Request->ResponseTokens == 80);
  cr_assert(Request->Segments.size() == 3);
  cr_assert(Request->Segments[1].Name == "91bd");
  cr_assert(Request->Segments[1].Tokens == 410);
  cr_assert(Request->ResumeAfter == 12);
}

ParameterizedTestParameters(platform_messages, malformed_requests) {
  static malformed_case Rows[] = {
      {"Ebonyvale-Deadline-Ms", "soon"},  {"Ebonyvale-Deadline-Ms", "-1"},
      {"Ebonyvale-Token-Usage", "1"},     {"Ebonyvale-Token-Usage", "1,x"},
      {"Ebonyvale-Prompt-Prefix", "a"},   {"Ebonyvale-Prompt-Prefix", ":1"},
      {"Ebonyvale-Prompt-Prefix", "a:b"}, {"Last-Event-Id", "x"},
      {"Last-Event-Id", "1.5"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(malformed_case *Row, platform_messages, malformed_requests) {
  const auto Request = Callers.parseHead(headOf({{Row->Name, Row->Value}}));
  cr_assert(!Request);
  cr_assert(Request.error().kind() == error_kind::BodyMalformed);
}

/// Headers that only the gateway may set are dropped from a caller's request.
Test(platform_messages, upstreams_get_no_key_and_no_reserved_headers) {
  header_list Caller;
  for (const char *Name :
       {"Authorization", "Ebonyvale-Tenant", "Ebonyvale-Cache-Salt",
        "Ebonyvale-Hold", "Ebonyvale-Pin-Ms", "Ebonyvale-Kv-Backup", "Kv-From",
        "Ebonyvale-Kv-Source", "Ebonyvale-Kv-Target",
        "Ebonyvale-Expect-Instance", "Ebonyvale-Expect-Version",
        "Ebonyvale-Request-Priority", "Ebonyvale-Deadline-Ms", "Connection",
        "Keep-Alive", "Transfer-Encoding", "Content-Length", "Upgrade"})
    Caller.add(Name, "claimed");
  Caller.set("Connection", "close, X-Private");
  Caller.add("X-Private", "1");
  Caller.add("Ebonyvale-Request-Id", "9c41");
  Caller.add("Ebonyvale-Length-Hint", "60");
  attempt_info Attempt;
  Attempt.Upstream = "i-1";
  Attempt.Team = "t";
  Attempt.TimeLeft = 1234ms;
  const header_list Sent = Upstreams.attemptHeaders(Caller, Attempt);
  for (const http_header &Field : Sent.all())
    cr_assert(Field.Value != "claimed", "%s", Field.Name.c_str());
  cr_assert(!Sent.find("X-Private"));
  cr_assert(Sent.find("Ebonyvale-Request-Id") == "9c41");
  cr_assert(Sent.find("Ebonyvale-Length-Hint") == "60");
  cr_assert(Sent.find("Ebonyvale-Tenant") == "t");
  cr_assert(Sent.find("Ebonyvale-Expect-Instance") == "i-1");
  cr_assert(Sent.find("Ebonyvale-Deadline-Ms") == "1234");
}

ParameterizedTestParameters(platform_messages, not_run_guarantees) {
  static response_case Rows[] = {
      {200, "X", "1", false, false, false},
      {503, "X", "1", false, false, false},
      {503, "Ebonyvale-Not-Executed", "1", true, false, false},
      {429, "Ebonyvale-Not-Executed", "1", true, false, false},
      {421, "Ebonyvale-Instance-Id", "i-2", true, true, false},
      // The expected process refuses because of its weights.
      {421, "Ebonyvale-Instance-Id", "i-1", true, false, true},
      {421, "X", "1", true, false, true},
      {504, "X", "1", false, false, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(response_case *Row, platform_messages, not_run_guarantees) {
  http_head Head = headOf({{Row->Name, Row->Value}});
  Head.Status = Row->Status;
  const response_info Info = Upstreams.readResponse(Head, "i-1");
  cr_assert(Info.NotRun == Row->NotRun);
  cr_assert(Info.OtherProcess == Row->OtherProcess);
  cr_assert(Info.OtherWeights == Row->OtherWeights);
}

/// 408, 421, 429 and 503 guarantee that the request did not run, so a request
/// that may have run must get another status.
Test(platform_messages,
     refusal_statuses_do_not_claim_that_a_request_did_not_run) {
  const std::set<int> NotRunStatuses{408, 421, 429, 503};
  for (const error_row &Row : errorTable()) {
    const int Unknown = Callers.refusalStatus(Row.Kind, /*MayHaveRun=*/true);
    cr_assert(Unknown == 502 || Unknown == 504, "%s: %d", Row.Name.data(),
              Unknown);
    const int NotRun = Callers.refusalStatus(Row.Kind, /*MayHaveRun=*/false);
    cr_assert(NotRun < 500 || NotRun == 503, "%s: %d", Row.Name.data(), NotRun);
  }
  cr_assert(Callers.refusalHeaders(nullptr, 250ms).find("Retry-After") ==
            "0.250");
  cr_assert(!Callers.refusalHeaders(nullptr, 0ms).find("Retry-After"));
}

Test(platform_messages, load_and_weights_in_responses_and_events) {
  http_head Head = headOf({{"Ebonyvale-Server-Load", "3,1,8"},
                           {"Ebonyvale-Weight-Versions", "4"},
                           {"Ebonyvale-Request-Id", "9c41"}});
  const response_info Info = Upstreams.readResponse(Head, "i-1");
  cr_assert(Info.Load->Running == 3 && Info.Load->Waiting == 1);
  cr_assert(Info.Load->Slots == 8 && Info.Weights == 4);
  cr_assert(
      !Upstreams
           .readResponse(headOf({{"Ebonyvale-Server-Load", "3,x,8"}}), "i-1")
           .Load);
  cr_assert(Upstreams.eventWeights(
                "ebonyvale-weight-versions: 5\nid: 1\ndata: x\n\n") == 5);
  cr_assert(!Upstreams.eventWeights("id: 1\ndata: x\n\n"));
}

ParameterizedTestParameters(platform_messages, slowness_in_responses) {
  static slowness_case Rows[] = {
      {"3,1,8", 100},   {"3,1,8,140", 140}, {"3,1,8,140,7", 140},
      {"3,1,8,60", 60}, {"3,1,8,x", 100},   {"3,1,8,", 100},
      {"3,1,8,0", 100}, {"3,1,8,-5", 100},  {"3,1,8,99999999999", 100},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(slowness_case *Row, platform_messages,
                  slowness_in_responses) {
  const response_info Info = Upstreams.readResponse(
      headOf({{"Ebonyvale-Server-Load", Row->Value}}), "i-1");
  cr_assert(Info.Load.has_value(), "%s", Row->Value);
  cr_assert(Info.Load->Running == 3 && Info.Load->Waiting == 1, "%s",
            Row->Value);
  cr_assert(Info.Load->Slots == 8, "%s", Row->Value);
  cr_assert(Info.Load->SlownessPercent == Row->Percent, "%s", Row->Value);
}

ParameterizedTestParameters(platform_messages, limits_in_responses) {
  static limit_case Rows[] = {
      {"1.8", true, 1.8}, {"0", true, 0},     {"25", true, 25},
      {"-1", false, 0},   {"1.8x", false, 0}, {"1e400", false, 0},
      {"inf", false, 0},  {"", false, 0},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(limit_case *Row, platform_messages, limits_in_responses) {
  const response_info Info =
      Upstreams.readResponse(headOf({{"Server-Limit", Row->Value}}), "i-1");
  cr_assert(Info.NamesLimit);
  cr_assert(Info.Limit.has_value() == Row->IsNumber, "%s", Row->Value);
  cr_assert(Info.Limit.value_or(0) == Row->PerSecond, "%s", Row->Value);
  cr_assert(!Upstreams.readResponse(headOf({}), "i-1").NamesLimit);
}

struct leaving_case {
  char Name[32];
  char Value[16];
  bool Leaving;
  bool Unreadable;
};

ParameterizedTestParameters(platform_messages, leaving_in_responses) {
  static leaving_case Rows[] = {
      {"Server-Leaving", "1", true, false},
      {"ebonyvale-server-leaving", "1", true, false},
      {"Server-Leaving", "0", false, false},
      {"Server-Leaving", "soon", false, true},
      {"Server-Leaving", "", false, true},
      {"Server-Leaver", "1", false, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(leaving_case *Row, platform_messages, leaving_in_responses) {
  const response_info Info =
      Upstreams.readResponse(headOf({{Row->Name, Row->Value}}), "i-1");
  cr_assert(Info.Leaving == Row->Leaving, "%s: %s", Row->Name, Row->Value);
  cr_assert(Info.LeavingUnreadable == Row->Unreadable, "%s: %s", Row->Name,
            Row->Value);
}

struct pause_case {
  int Status;
  char Values[2][40]; ///< of the headers; empty: no header
  double Seconds;     ///< negative: none
};

ParameterizedTestParameters(platform_messages, pauses_in_refusals) {
  static pause_case Rows[] = {
      {503, {"2"}, 2},
      {503, {"0.25"}, 0.25},
      {503, {"0"}, 0},
      {503, {"-1"}, -1},
      {503, {"soon"}, -1},
      {503, {"inf"}, -1},
      {503, {"2", "3"}, 3},
      {503, {"soon", "3"}, 3},
      {503, {"2,3"}, -1},
      {503, {"Wed, 21 Oct 2026 07:28:00 GMT"}, -1},
      {503, {"1000000000000000000000"}, 1e9},
      {429, {"2"}, -1},
      {200, {"2"}, -1},
      {503, {""}, -1},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(pause_case *Row, platform_messages, pauses_in_refusals) {
  http_head Head;
  Head.Status = Row->Status;
  std::size_t Stated = 0;
  for (const char *Value : Row->Values)
    if (*Value) {
      Head.Headers.add("Retry-After", Value);
      Stated += Row->Status == 503;
    }
  const response_info Info = Upstreams.readResponse(Head, "i-1");
  cr_assert(Info.PausesStated == Stated);
  cr_assert(Info.Pause.has_value() == (Row->Seconds >= 0), "%s",
            Row->Values[0]);
  if (Info.Pause)
    cr_assert(toSeconds(*Info.Pause) == Row->Seconds, "%s", Row->Values[0]);
}

Test(platform_messages, orders_and_reports) {
  client_request Out;
  const std::string Body =
      Upstreams.makeOrderRequest({"m", 2, "node-7", 41, 3}, "i-1", Out);
  cr_assert(Out.Method == "POST" && Out.Target == "/v1/order");
  cr_assert(Out.Headers.find("Ebonyvale-Expect-Instance") == "i-1");
  for (const char *Member :
       {"\"fencingToken\":41", "\"expected\":3", "\"mode\":\"wait\"",
        "\"owner\":\"node-7\"", "\"version\":2"})
    cr_assert(Body.find(Member) != std::string::npos, "%s", Member);
  cr_assert(Upstreams.readOrderResponse(202) == order_result::Accepted);
  cr_assert(Upstreams.readOrderResponse(200) == order_result::AlreadyHolds);
  cr_assert(Upstreams.readOrderResponse(409) == order_result::Conflict);
  cr_assert(Upstreams.readOrderResponse(400) == order_result::Rejected);
  cr_assert(Upstreams.readOrderResponse(500) == order_result::Unknown);
  const auto Report = Upstreams.readReport(
      R"({"models":[{"name":"m","version":1}],"busy":true,"sequence":2})");
  cr_assert(Report && Report->Busy && Report->AcceptedOrders == 2);
  cr_assert(Report->Models.at("m") == 1);
  cr_assert(!Upstreams.readReport("{}"));
}

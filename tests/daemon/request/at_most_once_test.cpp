#include "daemon/router_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <nlohmann/json.hpp>

using namespace ebonyvale;

namespace {

struct break_case {
  break_stage Stage;
  bool Listening;
  std::uint64_t Executions; ///< expected for three calls
};

std::string reportedRan(const std::string &Body) {
  const auto Json = nlohmann::json::parse(Body, nullptr, false);
  return Json.is_object() && Json.contains("error")
             ? Json["error"].value("ran", "")
             : "yes";
}

} // namespace

ParameterizedTestParameters(at_most_once,
                            non_repeatable_request_runs_at_most_once) {
  static break_case Rows[] = {
      {break_stage::Never, true, 3},
      {break_stage::Never, false, 0},
      {break_stage::AfterAccept, true, 0},
      {break_stage::AfterHead, true, 0},
      {break_stage::AfterExecution, true, 3},
      {break_stage::MidResponse, true, 3},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(break_case *Row, at_most_once,
                  non_repeatable_request_runs_at_most_once) {
  router_fixture Router;
  application_server &Upstream = *Router.Applications[0];
  Upstream.setBreakStage(Row->Stage);
  if (!Row->Listening)
    Upstream.stopListening();
  for (int Call = 1; Call <= 3; ++Call) {
    // A failed upstream is not used again before its pause has ended.
    Router.runUntil([&Router] {
      return Router.Core->engines().at(0).usable(readClock().Now) &&
             Router.Core->engines().at(1).usable(readClock().Now);
    });
    const std::uint64_t Before = Upstream.executions();
    client_call Order;
    Order.Path = "/orders/1";
    Order.Body = "one kit";
    const client_response Response = Router.call(Order);
    const std::uint64_t Ran = Upstream.executions() - Before;
    cr_assert(Ran <= 1);
    const std::string Reported = reportedRan(Response.Body);
    if (Reported == "no")
      cr_assert(Ran == 0);
    if (Reported == "yes")
      cr_assert(Ran == 1);
    if (Row->Stage == break_stage::Never && Row->Listening)
      cr_assert(Response.Status == 200);
  }
  cr_assert(Upstream.executions() == Row->Executions);
}

Test(at_most_once, http_client_does_not_retry_a_post) {
  // With two upstreams, a retry by the HTTP client or by the router would be
  // executed by the second one.
  fixture_options Options;
  Options.Applications = 2;
  router_fixture Router(Options);
  for (const auto &Upstream : Router.Applications)
    Upstream->setBreakStage(break_stage::AfterExecution);
  client_call Order;
  Order.Path = "/orders/1";
  const client_response Response = Router.call(Order);
  cr_assert(refusalKind(Response.Body) == "outcome_unknown");
  Router.runFor(std::chrono::milliseconds(50));
  cr_assert(Router.Applications[0]->executions() +
                Router.Applications[1]->executions() ==
            1);
}

Test(at_most_once, repeatable_request_is_retried_on_another_upstream) {
  fixture_options Options;
  Options.Applications = 2;
  router_fixture Router(Options);
  Router.Applications[0]->setBreakStage(break_stage::AfterExecution);
  for (int Call = 0; Call < 4; ++Call) {
    client_call Stock;
    Stock.Method = "GET";
    Stock.Path = "/stock/kits";
    cr_assert(Router.call(Stock).Status == 200);
  }
}

Test(at_most_once, open_route_needs_no_key_and_forwards_no_credential) {
  router_fixture Router;
  client_call Call;
  Call.Method = "GET";
  Call.Path = "/open/hours?api_key=key-of-alpha-0001&day=1";
  Call.Headers = {{"Cookie", "key-of-alpha-0001"}};
  cr_assert(Router.call(Call).Status == 200);
  Call.Key.clear();
  cr_assert(Router.call(Call).Status == 200);
  for (const std::string &Received : Router.Applications[0]->received()) {
    cr_assert(Received.find("key-of-alpha") == std::string::npos);
    cr_assert(Received.find("day=1") != std::string::npos);
  }
}

Test(at_most_once, immediate_connect_failure_is_reported_as_not_run) {
  router_fixture Router;
  // The kernel fails a TCP connect to the broadcast address immediately.
  Router.applyNote("id = \"broadcast\"\n[[changed.upstream]]\n"
                   "name = \"application-1\"\n"
                   "address = \"255.255.255.255\"\n");
  client_call Order;
  Order.Path = "/orders/1";
  const client_response Response = Router.call(Order);
  cr_assert(refusalKind(Response.Body) == "upstream_unreachable");
}

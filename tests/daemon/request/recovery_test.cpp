#include "daemon/router_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;

namespace {

client_call streamCall(const std::string &Prompt, int Tokens) {
  client_call Call;
  Call.Body = chatBody(Prompt, true, Tokens);
  return Call;
}

fixture_options engines(std::size_t Count) {
  fixture_options Options;
  Options.Engines = Count;
  return Options;
}

/// Returns the streamed text of a router without faults.
std::string faultFreeText(const std::string &Prompt, int Tokens) {
  router_fixture Router;
  return streamText(Router.call(streamCall(Prompt, Tokens)).Body);
}

std::size_t usedEngine(const router_fixture &Router) {
  for (std::size_t Index = 0; Index < Router.Engines.size(); ++Index)
    if (Router.Engines[Index]->executions() > 0)
      return Index;
  return 0;
}

using fault = bool engine_faults::*;

struct fault_case {
  fault Fault;
};

} // namespace

Test(recovery, stream_resumes_on_another_engine_after_a_crash) {
  constexpr int Tokens = 200;
  router_fixture Router(engines(3));
  const auto Exchange = Router.start(streamCall("long manual", Tokens));
  cr_assert(Router.runUntil(
      [&Exchange] { return Exchange->response().Body.size() > 2000; }));
  Router.Engines[usedEngine(Router)]->crash(std::chrono::seconds(60));
  cr_assert(Router.runUntil([&Exchange] { return Exchange->ended(); }));
  const client_response &Response = Exchange->response();
  cr_assert(Response.Completed);
  cr_assert(Response.Body.ends_with("data: [DONE]\n\n"));
  cr_assert(streamText(Response.Body) == faultFreeText("long manual", Tokens));
}

ParameterizedTestParameters(recovery, response_is_complete_and_in_order) {
  static fault_case Rows[] = {
      {&engine_faults::RepeatTokens}, {&engine_faults::DropTokens},
      {&engine_faults::EndEarly},     {&engine_faults::CrossAnswers},
      {&engine_faults::Unavailable},  {&engine_faults::ServerError},
  };
  return criterion_test_params(Rows);
}

/// Two of three engines have the fault. The caller gets the same response as
/// without faults, whichever engine is chosen first.
ParameterizedTest(fault_case *Row, recovery,
                  response_is_complete_and_in_order) {
  constexpr int Tokens = 60;
  router_fixture Router(engines(3));
  Router.Engines[0]->faults().*Row->Fault = true;
  Router.Engines[1]->faults().*Row->Fault = true;
  for (const char *Prompt : {"one", "two", "three", "four"}) {
    const client_response Response = Router.call(streamCall(Prompt, Tokens));
    cr_assert(Response.Completed);
    cr_assert(Response.Body.ends_with("data: [DONE]\n\n"));
    cr_assert(streamText(Response.Body) == faultFreeText(Prompt, Tokens));
    Router.runFor(std::chrono::milliseconds(150));
  }
}

Test(recovery, retries_stay_within_budget_when_every_engine_fails) {
  router_fixture Router(engines(3));
  for (const auto &Engine : Router.Engines)
    Engine->faults().ServerError = true;
  constexpr int Calls = 100;
  std::vector<std::unique_ptr<client_exchange>> Exchanges;
  for (int Call = 0; Call < Calls; ++Call)
    Exchanges.push_back(Router.start(streamCall("prompt", 8)));
  cr_assert(Router.runUntil([&Exchanges] {
    for (const auto &Exchange : Exchanges)
      if (!Exchange->ended())
        return false;
    return true;
  }));
  std::size_t Sent = 0;
  for (const auto &Engine : Router.Engines)
    Sent += Engine->record().seen();
  // First attempts, the reserve of the retry budget, and its ratio of 0.2
  // retries per request.
  const double Bound =
      Calls + retry_budget::MaxBalance + Calls * retry_budget::Ratio;
  cr_assert(static_cast<double>(Sent) <= Bound);
}

Test(recovery, crashing_request_stops_after_two_engines_and_others_complete) {
  router_fixture Router(engines(5));
  for (const auto &Engine : Router.Engines)
    Engine->PoisonText = "poison";
  std::vector<std::unique_ptr<client_exchange>> Others;
  for (int Index = 0; Index < 10; ++Index)
    Others.push_back(
        Router.start(streamCall("regular " + std::to_string(Index), 200)));
  cr_assert(Router.runUntil([&Others] {
    for (const auto &Other : Others)
      if (Other->response().Body.empty())
        return false;
    return true;
  }));
  const client_response Poison = Router.call(streamCall("poison", 8));
  cr_assert(refusalKind(Poison.Body) == "request_suspected");
  std::uint64_t Before = 0;
  for (const auto &Engine : Router.Engines)
    Before += Engine->record().countContaining("poison");
  cr_assert(Before == 2);
  const client_response Again = Router.call(streamCall("poison", 8));
  cr_assert(refusalKind(Again.Body) == "request_quarantined");
  for (int Index = 0; Index < 10; ++Index) {
    const auto &Other = Others[Index];
    cr_assert(Router.runUntil([&Other] { return Other->ended(); }));
    cr_assert(streamText(Other->response().Body) ==
              faultFreeText("regular " + std::to_string(Index), 200));
  }
}

Test(recovery, leaving_upstream_gets_no_new_request_and_finishes_running_ones) {
  router_fixture Router(engines(2));
  const auto Running = Router.start(streamCall("prompt", 300));
  cr_assert(Router.runUntil(
      [&Running] { return !Running->response().Body.empty(); }));
  const std::size_t Leaving = usedEngine(Router);
  Router.applyNote("id = \"leave\"\n[[changed.upstream]]\nname = \"engine-" +
                   std::to_string(Leaving + 1) + "\"\nleaving = true\n");
  const std::uint64_t Before = Router.Engines[Leaving]->executions();
  for (int Call = 0; Call < 5; ++Call)
    cr_assert(Router.call(streamCall("prompt", 4)).Completed);
  cr_assert(Router.Engines[Leaving]->executions() == Before);
  cr_assert(Router.runUntil([&Running] { return Running->ended(); }));
  cr_assert(Running->response().Body.ends_with("data: [DONE]\n\n"));
}

Test(recovery, placement_does_not_rely_on_the_cache_of_a_restarted_engine) {
  router_fixture Router(engines(2));
  const std::string Prompt(20 * 2048, 'p');
  cr_assert(Router.call(streamCall(Prompt, 4)).Completed);
  const std::size_t First = usedEngine(Router);
  // Restarts while nothing is in flight, so that no lost connection reveals the
  // restart to the router.
  Router.Engines[First]->crash(std::chrono::milliseconds(0));
  Router.runFor(std::chrono::milliseconds(60));
  cr_assert(Router.call(streamCall(Prompt, 4)).Completed);
  const engine_state &State = Router.Core->engines().at(
      Router.Core->engines().idOf("engine-" + std::to_string(First + 1)));
  cr_assert(State.Epoch > 0);
}

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

/// The answer that an undisturbed router gives.
std::string undisturbed(const std::string &Prompt, int Tokens) {
  router_fixture Router;
  return streamText(Router.call(streamCall(Prompt, Tokens)).Body);
}

std::size_t busyEngine(const router_fixture &Router) {
  for (std::size_t Index = 0; Index < Router.Engines.size(); ++Index)
    if (Router.Engines[Index]->executions() > 0)
      return Index;
  return 0;
}

using fault = bool engine_faults::*;

struct fault_row {
  fault Fault;
};

} // namespace

Test(recovery, stream_goes_on_elsewhere_when_its_engine_crashes) {
  constexpr int Tokens = 200;
  router_fixture Router(engines(3));
  const auto Exchange = Router.start(streamCall("long manual", Tokens));
  cr_assert(Router.runUntil(
      [&Exchange] { return Exchange->answer().Body.size() > 2000; }));
  Router.Engines[busyEngine(Router)]->crash(std::chrono::seconds(60));
  cr_assert(Router.runUntil([&Exchange] { return Exchange->ended(); }));
  const client_answer &Answer = Exchange->answer();
  cr_assert(Answer.Whole);
  cr_assert(Answer.Body.ends_with("data: [DONE]\n\n"));
  cr_assert(streamText(Answer.Body) == undisturbed("long manual", Tokens));
}

ParameterizedTestParameters(recovery, answer_is_whole_and_in_order) {
  static fault_row Rows[] = {
      {&engine_faults::RepeatTokens}, {&engine_faults::DropTokens},
      {&engine_faults::EndEarly},     {&engine_faults::CrossAnswers},
      {&engine_faults::Unavailable},  {&engine_faults::ServerError},
  };
  return criterion_test_params(Rows);
}

/// Two of three engines have the fault; whichever is chosen first, the caller
/// gets the undisturbed answer.
ParameterizedTest(fault_row *Row, recovery, answer_is_whole_and_in_order) {
  constexpr int Tokens = 60;
  router_fixture Router(engines(3));
  Router.Engines[0]->faults().*Row->Fault = true;
  Router.Engines[1]->faults().*Row->Fault = true;
  for (const char *Prompt : {"one", "two", "three", "four"}) {
    const client_answer Answer = Router.call(streamCall(Prompt, Tokens));
    cr_assert(Answer.Whole);
    cr_assert(Answer.Body.ends_with("data: [DONE]\n\n"));
    cr_assert(streamText(Answer.Body) == undisturbed(Prompt, Tokens));
    Router.runFor(std::chrono::milliseconds(150));
  }
}

Test(recovery, no_storm_when_every_engine_is_out) {
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
  // First attempts, the saved-up retries, and a fifth of the requests.
  const double Bound =
      Calls + retry_budget::Reserve + Calls * retry_budget::Ratio;
  cr_assert(static_cast<double>(Sent) <= Bound);
}

Test(recovery, poison_stops_after_two_engines_and_neighbours_are_answered) {
  router_fixture Router(engines(5));
  for (const auto &Engine : Router.Engines)
    Engine->PoisonText = "poison";
  std::vector<std::unique_ptr<client_exchange>> Neighbours;
  for (int Index = 0; Index < 10; ++Index)
    Neighbours.push_back(
        Router.start(streamCall("innocent " + std::to_string(Index), 200)));
  cr_assert(Router.runUntil([&Neighbours] {
    for (const auto &Neighbour : Neighbours)
      if (Neighbour->answer().Body.empty())
        return false;
    return true;
  }));
  const client_answer Poison = Router.call(streamCall("poison", 8));
  cr_assert(refusalKind(Poison.Body) == "request_suspected");
  std::uint64_t Before = 0;
  for (const auto &Engine : Router.Engines)
    Before += Engine->record().countContaining("poison");
  cr_assert(Before == 2);
  const client_answer Again = Router.call(streamCall("poison", 8));
  cr_assert(refusalKind(Again.Body) == "request_quarantined");
  for (int Index = 0; Index < 10; ++Index) {
    const auto &Neighbour = Neighbours[Index];
    cr_assert(Router.runUntil([&Neighbour] { return Neighbour->ended(); }));
    cr_assert(streamText(Neighbour->answer().Body) ==
              undisturbed("innocent " + std::to_string(Index), 200));
  }
}

Test(recovery, leaving_upstream_gets_no_new_work_and_finishes_its_own) {
  router_fixture Router(engines(2));
  const auto Running = Router.start(streamCall("prompt", 300));
  cr_assert(
      Router.runUntil([&Running] { return !Running->answer().Body.empty(); }));
  const std::size_t Leaving = busyEngine(Router);
  Router.applyNote("id = \"leave\"\n[[changed.upstream]]\nname = \"engine-" +
                   std::to_string(Leaving + 1) + "\"\nleaving = true\n");
  const std::uint64_t Before = Router.Engines[Leaving]->executions();
  for (int Call = 0; Call < 5; ++Call)
    cr_assert(Router.call(streamCall("prompt", 4)).Whole);
  cr_assert(Router.Engines[Leaving]->executions() == Before);
  cr_assert(Router.runUntil([&Running] { return Running->ended(); }));
  cr_assert(Running->answer().Body.ends_with("data: [DONE]\n\n"));
}

Test(recovery, placement_does_not_rely_on_an_engine_that_restarted) {
  router_fixture Router(engines(2));
  const std::string Prompt(20 * 2048, 'p');
  cr_assert(Router.call(streamCall(Prompt, 4)).Whole);
  const std::size_t First = busyEngine(Router);
  // Restarts while nothing is in flight, so that no connection tells of it.
  Router.Engines[First]->crash(std::chrono::milliseconds(0));
  Router.runFor(std::chrono::milliseconds(60));
  cr_assert(Router.call(streamCall(Prompt, 4)).Whole);
  const engine_state &State = Router.Core->engines().at(
      Router.Core->engines().idOf("engine-" + std::to_string(First + 1)));
  cr_assert(State.Epoch > 0);
}

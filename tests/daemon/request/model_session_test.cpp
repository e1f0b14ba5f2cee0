#include "daemon/router_fixture.h"

#include <criterion/criterion.h>

using namespace ebonyvale;

namespace {

client_call streamCall(const std::string &Prompt, int Tokens = 8) {
  client_call Call;
  Call.Body = chatBody(Prompt, true, Tokens);
  return Call;
}

} // namespace

Test(model_session, streams_a_whole_answer) {
  router_fixture Router;
  const client_answer Answer = Router.call(streamCall("hello"));
  cr_assert(Answer.Whole);
  cr_assert(Answer.Status == 200);
  cr_assert(Answer.Headers.at("Content-Type") == "text/event-stream");
  cr_assert(Answer.Body.ends_with("data: [DONE]\n\n"));
  cr_assert(Answer.Body.find("\"usage\"") == std::string::npos);
  const std::string Text = streamText(Answer.Body);
  cr_assert(std::count(Text.begin(), Text.end(), ' ') == 8);
}

Test(model_session, answers_whole_without_streaming) {
  router_fixture Router;
  client_call Call;
  Call.Body = chatBody("hello", false);
  const client_answer Answer = Router.call(Call);
  cr_assert(Answer.Status == 200);
  cr_assert(Answer.Body.find("\"finish_reason\":\"stop\"") !=
            std::string::npos);
}

Test(model_session, refuses_an_unknown_key_and_records_it) {
  router_fixture Router;
  client_call Call = streamCall("hello");
  Call.Key = "key-of-nobody-001";
  const client_answer Answer = Router.call(Call);
  cr_assert(Answer.Status == 401);
  cr_assert(refusalKind(Answer.Body) == "key_unknown");
  const std::string Reference = Answer.Headers.at("X-Refusal-Reference");
  cr_assert(Router.Core->refusals().find(Reference) != nullptr);
  cr_assert(Router.Engines[0]->executions() == 0);
}

Test(model_session, upstream_never_sees_the_key) {
  router_fixture Router;
  client_call Call = streamCall("hello");
  Call.Headers = {{"X-Api-Key", Call.Key},
                  {"Cookie", "session=" + Call.Key},
                  {"X-Other", Call.Key}};
  Call.Path += "?api_key=" + Call.Key;
  cr_assert(Router.call(Call).Status == 200);
  cr_assert(Router.Engines[0]->record().seen() == 1);
  cr_assert(Router.Engines[0]->record().countContaining(Call.Key) == 0);
}

Test(model_session, caller_that_leaves_cancels_the_engines_work) {
  router_fixture Router;
  const auto Exchange = Router.start(streamCall("hello", 100000));
  cr_assert(Router.runUntil(
      [&Exchange] { return !Exchange->answer().Body.empty(); }));
  Exchange->leave();
  cr_assert(Router.runUntil([&Router] {
    return Router.Core->openRequests() == 0 &&
           Router.Core->engines().at(0).InFlight == 0;
  }));
}

Test(model_session, refusal_of_a_withdrawn_key_names_its_team) {
  router_fixture Router;
  Router.applyNote("id = \"second\"\n[[withdrawn.key]]\nid = \"alpha-1\"\n");
  const client_answer Answer = Router.call(streamCall("hello"));
  cr_assert(refusalKind(Answer.Body) == "key_withdrawn");
  const refusal *Recorded =
      Router.Core->refusals().find(Answer.Headers.at("X-Refusal-Reference"));
  cr_assert(Recorded && Recorded->Team == "alpha");
}

Test(model_session, key_withdrawn_under_a_kept_alive_connection_stops) {
  router_fixture Router;
  cr_assert(Router.call(streamCall("hello")).Whole);
  // The client's pool sends the next call over the same connection.
  Router.applyNote("id = \"second\"\n[[withdrawn.key]]\nid = \"alpha-1\"\n");
  cr_assert(refusalKind(Router.call(streamCall("hello")).Body) ==
            "key_withdrawn");
}

Test(model_session, slow_caller_holds_the_engine_back_and_gets_everything) {
  // More than the kernel's socket buffers hold, at about 170 bytes a token.
  constexpr int Tokens = 200'000;
  fixture_options Options;
  Options.Speed = {0.005, 0, 512, 64};
  router_fixture Router(Options);
  Router.applyNote("id = \"long\"\n[[changed.model]]\nname = \"manuals\"\n"
                   "max_tokens = 300000\n");
  const auto Exchange = Router.start(streamCall("hello", Tokens));
  cr_assert(Router.runUntil(
      [&Exchange] { return !Exchange->answer().Body.empty(); }));
  Exchange->pause();
  // The engine has made everything, and the router would have read it all.
  cr_assert(Router.runUntil([&Router] { return Router.Engines[0]->idle(); }));
  const auto Delivered = [&Router] {
    return Router.Core->counters().PiecesDelivered.Value();
  };
  // It has stopped once so many passes of the loop deliver nothing.
  constexpr int QuietPasses = 300;
  double Taken = -1;
  while (Taken != Delivered()) {
    Taken = Delivered();
    for (int Pass = 0; Pass < QuietPasses; ++Pass)
      Router.runFor(std::chrono::milliseconds(1));
  }
  cr_assert(Taken < Tokens * 0.9, "%f of %d taken", Taken, Tokens);
  Exchange->resume();
  cr_assert(Router.runUntil([&Exchange] { return Exchange->ended(); }));
  cr_assert(Exchange->answer().Whole);
  cr_assert(Delivered() == Tokens);
}

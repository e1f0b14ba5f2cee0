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

Test(model_session, streams_a_complete_response) {
  router_fixture Router;
  const client_response Response = Router.call(streamCall("hello"));
  cr_assert(Response.Completed);
  cr_assert(Response.Status == 200);
  cr_assert(Response.Headers.at("Content-Type") == "text/event-stream");
  cr_assert(Response.Body.ends_with("data: [DONE]\n\n"));
  cr_assert(Response.Body.find("\"usage\"") == std::string::npos);
  const std::string Text = streamText(Response.Body);
  cr_assert(std::count(Text.begin(), Text.end(), ' ') == 8);
}

Test(model_session, sends_a_complete_response_without_streaming) {
  router_fixture Router;
  client_call Call;
  Call.Body = chatBody("hello", false);
  const client_response Response = Router.call(Call);
  cr_assert(Response.Status == 200);
  cr_assert(Response.Body.find("\"finish_reason\":\"stop\"") !=
            std::string::npos);
}

Test(model_session, refuses_an_unknown_key_and_records_it) {
  router_fixture Router;
  client_call Call = streamCall("hello");
  Call.Key = "key-of-nobody-001";
  const client_response Response = Router.call(Call);
  cr_assert(Response.Status == 401);
  cr_assert(refusalKind(Response.Body) == "key_unknown");
  const std::string Reference = Response.Headers.at("X-Refusal-Reference");
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

Test(model_session, caller_disconnect_cancels_the_request_at_the_engine) {
  router_fixture Router;
  const auto Exchange = Router.start(streamCall("hello", 100000));
  cr_assert(Router.runUntil(
      [&Exchange] { return !Exchange->response().Body.empty(); }));
  Exchange->disconnect();
  cr_assert(Router.runUntil([&Router] {
    return Router.Core->openRequests() == 0 &&
           Router.Core->engines().at(0).InFlight == 0;
  }));
}

Test(model_session, refusal_of_a_withdrawn_key_names_its_team) {
  router_fixture Router;
  Router.applyNote("id = \"second\"\n[[withdrawn.key]]\nid = \"alpha-1\"\n");
  const client_response Response = Router.call(streamCall("hello"));
  cr_assert(refusalKind(Response.Body) == "key_withdrawn");
  const refusal *Recorded =
      Router.Core->refusals().find(Response.Headers.at("X-Refusal-Reference"));
  cr_assert(Recorded && Recorded->Team == "alpha");
}

Test(model_session, withdrawn_key_is_refused_on_a_kept_alive_connection) {
  router_fixture Router;
  cr_assert(Router.call(streamCall("hello")).Completed);
  // The client's connection pool reuses the connection for the next call.
  Router.applyNote("id = \"second\"\n[[withdrawn.key]]\nid = \"alpha-1\"\n");
  cr_assert(refusalKind(Router.call(streamCall("hello")).Body) ==
            "key_withdrawn");
}

Test(model_session, slow_caller_causes_backpressure_and_gets_the_whole_stream) {
  // At about 170 bytes per token, more than the kernel's socket buffers hold.
  constexpr int Tokens = 200'000;
  fixture_options Options;
  Options.Speed = {0.005, 0, 512, 64};
  router_fixture Router(Options);
  Router.applyNote("id = \"long\"\n[[changed.model]]\nname = \"manuals\"\n"
                   "max_tokens = 300000\n");
  const auto Exchange = Router.start(streamCall("hello", Tokens));
  cr_assert(Router.runUntil(
      [&Exchange] { return !Exchange->response().Body.empty(); }));
  Exchange->pause();
  // Once the engine is idle it has generated all tokens, so that only
  // backpressure keeps the router from reading them all.
  cr_assert(Router.runUntil([&Router] { return Router.Engines[0]->idle(); }));
  const auto Delivered = [&Router] {
    return Router.Core->counters().StreamEventsDelivered.Value();
  };
  // Delivery counts as stopped after so many passes of the loop without
  // progress.
  constexpr int IdlePasses = 300;
  double DeliveredBefore = -1;
  while (DeliveredBefore != Delivered()) {
    DeliveredBefore = Delivered();
    for (int Pass = 0; Pass < IdlePasses; ++Pass)
      Router.runFor(std::chrono::milliseconds(1));
  }
  cr_assert(DeliveredBefore < Tokens * 0.9, "delivered %f of %d tokens",
            DeliveredBefore, Tokens);
  Exchange->resume();
  cr_assert(Router.runUntil([&Exchange] { return Exchange->ended(); }));
  cr_assert(Exchange->response().Completed);
  cr_assert(Delivered() == Tokens);
}

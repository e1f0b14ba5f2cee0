#include "daemon/connection/peer_message.h"
#include "daemon/fleet_fixture.h"
#include "daemon/router_fixture.h"
#include "decisions/version/release_note.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;

namespace {

using enum error_kind;

std::string kindOf(router_fixture &Router, const client_call &Call) {
  return refusalKind(Router.call(Call).Body);
}

client_call chat(const std::string &Prompt = "hello", bool Stream = true,
                 int Tokens = 8) {
  client_call Call;
  Call.Body = chatBody(Prompt, Stream, Tokens);
  return Call;
}

client_call order() {
  client_call Call;
  Call.Path = "/orders/1";
  Call.Body = "one kit";
  return Call;
}

std::string kindWithKey(const std::string &Key) {
  router_fixture Router;
  client_call Call = chat();
  Call.Key = Key;
  return kindOf(Router, Call);
}

std::string kindAfterNote(const std::string &Note, const client_call &Call) {
  router_fixture Router;
  Router.applyNote(Note);
  return kindOf(Router, Call);
}

std::string kindWithFault(bool engine_faults::*Fault) {
  router_fixture Router;
  Router.Engines[0]->faults().*Fault = true;
  return kindOf(Router, chat());
}

/// Options for one engine that runs one request at a time, at 20 ms per token,
/// and a queue of \p MaxQueued requests.
fixture_options slowEngineOptions(std::int64_t MaxQueued) {
  fixture_options Options;
  Options.Speed = {20, 1, 512, 1};
  Options.AdjustSettings = [MaxQueued](daemon_settings &Settings) {
    Settings.MaxQueued = MaxQueued;
  };
  return Options;
}

constexpr const char *ConcurrencyOneNote =
    "id = \"second\"\n[[changed.upstream]]\nname = \"engine-1\"\n"
    "concurrency = 1\n";

std::string provokeKeyError(error_kind Kind) {
  if (Kind == KeyMissing)
    return kindWithKey("");
  if (Kind == KeyUnknown)
    return kindWithKey("key-of-nobody-001");
  if (Kind == KeyWithdrawn)
    return kindAfterNote(
        "id = \"second\"\n[[withdrawn.key]]\nid = \"alpha-1\"\n", chat());
  if (Kind == CredentialInBody)
    return kindAfterNote("id = \"second\"\n", chat("key-of-alpha-0001"));
  router_fixture Router;
  const auto Exchange = Router.start(chat("hello", true, 100000));
  Router.runUntil([&Exchange] { return !Exchange->response().Body.empty(); });
  Router.applyNote("id = \"second\"\n[[withdrawn.key]]\nid = \"alpha-1\"\n"
                   "cut = true\n");
  Router.runUntil([&Exchange] { return Exchange->ended(); });
  const std::string &Body = Exchange->response().Body;
  return Body.find("event: error\n") != std::string::npos &&
                 Body.find("\"key_cut\"") != std::string::npos
             ? "key_cut"
             : Body;
}

std::string provokeRequestError(error_kind Kind) {
  router_fixture Router;
  client_call Call = chat();
  switch (Kind) {
  case RouteUnknown:
    Call.Path = "/nowhere";
    break;
  case MethodNotAllowed:
    Call.Method = "GET";
    break;
  case ModelUnknown:
    Call.Body = chatBody("hello", true, 8, "other");
    break;
  case BodyTooLarge:
    Call.Body = std::string(
        static_cast<std::size_t>(Router.Settings.BodyBytes) + 1, 'x');
    break;
  case BodyMalformed:
    Call.Body = "{\"model\":";
    break;
  case HeadersTooLarge:
    Call.Headers.emplace_back(
        "X-Long",
        std::string(static_cast<std::size_t>(Router.Settings.HeaderBytes),
                    'x'));
    break;
  case RequestExceedsBurst:
    Call.Body = chatBody("hello", true, 2'000'000);
    break;
  case Draining:
    Router.Core->setRefusesNewRequests();
    break;
  default:
    return "";
  }
  return kindOf(Router, Call);
}

std::string provokeHeaderTimeout() {
  fixture_options Options;
  Options.AdjustSettings = [](daemon_settings &Settings) {
    Settings.HeaderTimeoutMs = 50;
  };
  router_fixture Router(Options);
  const std::string Response =
      Router.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n");
  const std::size_t Body = Response.find("\r\n\r\n");
  if (!Response.starts_with("HTTP/1.1 408 ") || Body == std::string::npos)
    return Response;
  const std::string Kind = refusalKind(Response.substr(Body + 4));
  return Kind.empty() ? Response : Kind;
}

std::string provokeRateError() {
  router_fixture Router;
  Router.applyNote("id = \"second\"\n[[changed.team]]\nname = \"alpha\"\n"
                   "rate = 1\nburst = 20\n");
  // Each of the two requests takes nearly the whole burst.
  Router.call(chat("hello", true, 16));
  return kindOf(Router, chat("hello", true, 16));
}

std::string provokeQueueError(error_kind Kind) {
  router_fixture Router(slowEngineOptions(1));
  Router.applyNote(ConcurrencyOneNote);
  const auto First = Router.start(chat("one", true, 1000));
  Router.runUntil([&First] { return !First->response().Body.empty(); });
  if (Kind == DeadlineTooShort)
    Router.applyNote("id = \"third\"\n[[changed.model]]\nname = \"manuals\"\n"
                     "deadline_ms = 150\n");
  const auto Second = Router.start(chat("two"));
  if (Kind == DeadlineTooShort) {
    Router.runUntil([&Second] { return Second->ended(); });
    return refusalKind(Second->response().Body);
  }
  Router.runUntil([&Router] { return Router.Core->openRequests() == 2; });
  return kindOf(Router, chat("three"));
}

std::string provokeUpstreamError(error_kind Kind) {
  if (Kind == UpstreamRefused)
    return kindWithFault(&engine_faults::Unavailable);
  if (Kind == RetryBudgetSpent)
    return kindWithFault(&engine_faults::ServerError);
  if (Kind == NoUpstream)
    return kindAfterNote("id = \"second\"\n[[changed.upstream]]\n"
                         "name = \"engine-1\"\nleaving = true\n",
                         chat());
  if (Kind == DeadlineExceeded) {
    router_fixture Router(slowEngineOptions(10));
    Router.applyNote("id = \"second\"\n[[changed.model]]\n"
                     "name = \"manuals\"\ndeadline_ms = 100\n");
    return kindOf(Router, chat("hello", false, 100));
  }
  if (Kind == UpstreamBadAnswer) {
    fixture_options Options;
    Options.AdjustSettings = [](daemon_settings &Settings) {
      Settings.AnswerBytes = 1024;
    };
    router_fixture Router(Options);
    return kindOf(Router, chat("hello", false, 400));
  }
  router_fixture Router;
  if (Kind == UpstreamUnreachable) {
    Router.Applications[0]->stopListening();
    return kindOf(Router, order());
  }
  if (Kind == OutcomeUnknown) {
    Router.Applications[0]->setBreakStage(break_stage::AfterExecution);
    return kindOf(Router, order());
  }
  const auto Exchange = Router.start(chat("hello", true, 100000));
  Router.runUntil([&Exchange] { return !Exchange->response().Body.empty(); });
  Router.Engines[0]->crash(std::chrono::seconds(60));
  Router.runUntil([&Exchange] { return Exchange->ended(); });
  return Exchange->response().Body.find("\"stream_interrupted\"") !=
                 std::string::npos
             ? "stream_interrupted"
             : Exchange->response().Body;
}

std::string provokeCrashError(error_kind Kind) {
  fixture_options Options;
  Options.Engines = 3;
  router_fixture Router(Options);
  for (const auto &Engine : Router.Engines)
    Engine->PoisonText = "poison";
  const std::string First = kindOf(Router, chat("poison"));
  return Kind == RequestSuspected ? First : kindOf(Router, chat("poison"));
}

std::string provokeAdminError(error_kind Kind) {
  router_fixture Router;
  if (Kind == AdminDenied) {
    Router.Settings.AdminToken = "another";
    const std::string Token = std::exchange(Router.Settings.AdminToken, "x");
    client_exchange Exchange(*Router.ClientPool, Router.Admin->port(),
                             {"GET", "/status", Token, "", {}});
    Router.runUntil([&Exchange] { return Exchange.ended(); });
    return refusalKind(Exchange.response().Body);
  }
  if (Kind == NoteInvalid)
    return refusalKind(
        Router.admin("POST", "/note/apply", "id = \"x\"\n[[added.tem]]\n")
            .Body);
  if (Kind == NoteConflict)
    return refusalKind(
        Router.admin("POST", "/note/apply", "id = \"x\"\nbase = 77\n").Body);
  return refusalKind(Router.admin("GET", "/explain?reference=none").Body);
}

std::string kindName(const failure &Failure) {
  return std::string(errorRow(Failure.kind()).Name);
}

std::string provokeProcessError(error_kind Kind) {
  if (Kind == PlatformUnavailable) {
    fleet_fixture Fleet({"a"});
    Fleet.Server.faults().DropConnections = true;
    return kindName(Fleet.apply(0, teamNote(1)).error());
  }
  if (Kind == SettingsInvalid)
    return kindName(loadDaemonSettings("", {"listen.caller_prt=1"}).error());
  if (Kind == FormatUnsupported)
    return kindName(readSnapshot("format = 99\n").error());
  if (Kind == PeerMessageInvalid)
    return kindName(decodeHeartbeat("garbage").error());
  router_fixture Router;
  router_core Empty(Router.Base.get(), Router.Settings, 2);
  caller_listener Listener(Empty);
  Listener.listen();
  client_exchange Exchange(*Router.ClientPool, Listener.port(), chat());
  Router.runUntil([&Exchange] { return Exchange.ended(); });
  return refusalKind(Exchange.response().Body);
}

/// Causes an error of \p Kind and returns the kind's name in the response.
std::string provokeError(error_kind Kind) {
  switch (Kind) {
  case KeyMissing:
  case KeyUnknown:
  case KeyWithdrawn:
  case CredentialInBody:
  case KeyCut:
    return provokeKeyError(Kind);
  case RouteUnknown:
  case MethodNotAllowed:
  case ModelUnknown:
  case BodyTooLarge:
  case BodyMalformed:
  case HeadersTooLarge:
  case RequestExceedsBurst:
  case Draining:
    return provokeRequestError(Kind);
  case HeaderTimeout:
    return provokeHeaderTimeout();
  case RateExceeded:
    return provokeRateError();
  case QueueFull:
  case DeadlineTooShort:
    return provokeQueueError(Kind);
  case NoUpstream:
  case UpstreamUnreachable:
  case UpstreamRefused:
  case RetryBudgetSpent:
  case OutcomeUnknown:
  case DeadlineExceeded:
  case UpstreamBadAnswer:
  case StreamInterrupted:
    return provokeUpstreamError(Kind);
  case RequestQuarantined:
  case RequestSuspected:
    return provokeCrashError(Kind);
  case AdminDenied:
  case NoteInvalid:
  case NoteConflict:
  case ReferenceUnknown:
    return provokeAdminError(Kind);
  case NotReady:
  case PlatformUnavailable:
  case SettingsInvalid:
  case FormatUnsupported:
  case PeerMessageInvalid:
    return provokeProcessError(Kind);
  }
  return "";
}

} // namespace

ParameterizedTestParameters(error_kinds, each_kind_reaches_its_caller) {
  static error_kind Rows[ErrorKindCount];
  for (std::size_t Index = 0; Index < ErrorKindCount; ++Index)
    Rows[Index] = errorTable()[Index].Kind;
  return criterion_test_params(Rows);
}

ParameterizedTest(error_kind *Kind, error_kinds, each_kind_reaches_its_caller) {
  const std::string Expected(errorRow(*Kind).Name);
  const std::string Actual = provokeError(*Kind);
  cr_assert(Actual == Expected, "expected %s, got %s", Expected.c_str(),
            Actual.c_str());
}

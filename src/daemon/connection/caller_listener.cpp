#include "daemon/connection/caller_listener.h"

#include "daemon/connection/health_endpoints.h"
#include "daemon/connection/refusal_reply.h"
#include "daemon/request/model_session.h"
#include "daemon/request/plain_session.h"
#include "decisions/request/refusal_body.h"

#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <cstring>

namespace ebonyvale {
namespace {

/// Factor by which evhttp's own size limits exceed the configured ones. A
/// request slightly over the configured limit then gets a refusal with a JSON
/// body instead of evhttp's plain error page.
constexpr std::size_t EvhttpLimitFactor = 4;

/// Copies of a request while it is handled: as received, as kept for a further
/// attempt, and as sent.
constexpr std::size_t RequestCopies = 3;

constexpr std::string_view NoMemoryDetail = "connections hold too much memory";

http_bounds evhttpLimits(const daemon_settings &Settings) {
  http_bounds Limits;
  Limits.HeaderBytes =
      static_cast<std::size_t>(Settings.HeaderBytes) * EvhttpLimitFactor;
  Limits.BodyBytes =
      static_cast<std::size_t>(Settings.BodyBytes) * EvhttpLimitFactor;
  Limits.ReadTimeout = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::milliseconds(Settings.HeaderTimeoutMs));
  return Limits;
}

std::size_t headerBytes(evhttp_request *Request) {
  std::size_t Sum = std::strlen(evhttp_request_get_uri(Request));
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
  for (const evkeyval *Header = Headers->tqh_first; Header;
       Header = Header->next.tqe_next)
    Sum += std::strlen(Header->key) + std::strlen(Header->value);
  return Sum;
}

access_request readAccessRequest(evhttp_request *Request) {
  return {inputHeader(Request, "Authorization"),
          inputHeader(Request, "X-Api-Key"), methodName(Request),
          requestPath(Request)};
}

/// Returns the path as it may be recorded: truncated, or `(hidden)` when it
/// contains the caller's key.
std::string redactedPath(evhttp_request *Request) {
  constexpr std::size_t MaxRecordedPath = 200;
  const std::string_view Path = requestPath(Request);
  if (containsKey(Path, presentedKey(readAccessRequest(Request))))
    return "(hidden)";
  return std::string(Path.substr(0, MaxRecordedPath));
}

/// Observer for refusals that are sent before a session exists.
class null_reply_observer final : public response_writer_observer {
public:
  void onClientDisconnected() override {}
  void onDrained() override {}
};

} // namespace

caller_listener::caller_listener(router_core &Core)
    : Core(Core),
      Server(Core.base(), evhttpLimits(Core.settings()),
             [this](evhttp_request *Request) { onRequest(Request); }) {
  Server.setArrivalDeadline(
      std::chrono::milliseconds(Core.settings().HeaderTimeoutMs),
      [this](arrival_failure Reason) { return unreadResponse(Reason); },
      &Core.callerMemory());
}

std::string caller_listener::unreadResponse(arrival_failure Reason) {
  refusal Refusal;
  Refusal.Kind = error_kind::HeaderTimeout;
  std::string RetryAfter;
  if (Reason == arrival_failure::TooManyFields) {
    Refusal.Kind = error_kind::HeadersTooLarge;
    Refusal.Detail = "too many fields";
  } else if (Reason == arrival_failure::NoMemory) {
    Refusal.Kind = error_kind::QueueFull;
    Refusal.Detail = NoMemoryDetail;
    RetryAfter = fmt::format("Retry-After: {}\r\n", DefaultRetryAfterSeconds);
  }
  const int Status = errorRow(Refusal.Kind).Status;
  Refusal.At = readClock().Wall;
  const std::string Body = refusalBody(Core.recordRefusal(std::move(Refusal)));
  return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
                     "Content-Length: {}\r\n{}Connection: close\r\n\r\n{}",
                     Status, reasonPhrase(Status), Body.size(), RetryAfter,
                     Body);
}

std::optional<failure> caller_listener::listen() {
  return Server.listen(Core.settings().CallerAddress,
                       static_cast<std::uint16_t>(Core.settings().CallerPort));
}

void caller_listener::onRequest(evhttp_request *Request) {
  if (serveHealthEndpoint(Request, Core, Core.settings().PublicMetrics))
    return;
  Core.counters().Requests.Increment();
  if (Core.refusesNewRequests())
    return refuse(Request, {error_kind::Draining, ""});
  const configuration_ptr Config = Core.currentConfig();
  if (!Config)
    return refuse(Request, {error_kind::NotReady, ""});
  if (const auto Problem = checkSizes(Request))
    return refuse(Request, *Problem);
  buffer_lease Memory = Core.callerMemory().lease();
  if (!Memory.resize(RequestCopies *
                     (headerBytes(Request) + inputBody(Request).size())))
    return refuse(Request, {error_kind::QueueFull, std::string(NoMemoryDetail)},
                  std::chrono::seconds(DefaultRetryAfterSeconds));
  if (requestPath(Request) == "/v1/models")
    return handleModels(Request, *Config);
  const access_request Access = readAccessRequest(Request);
  const result<caller_grant> Grant =
      checkCaller(*Config, Core.settings().KeySecret, Access);
  if (!Grant)
    return refuse(Request, Grant.error());
  const std::string_view Key = presentedKey(Access);
  if (containsKey(inputBody(Request), Key) || containsKey(Access.Path, Key))
    return refuse(Request, {error_kind::CredentialInBody, ""});
  if (const auto *const *Route = std::get_if<const route *>(&Grant->Target))
    startPlainSession(Request, Config, *Grant, **Route, std::move(Memory));
  else
    startModelSession(Request, Config, *Grant, std::move(Memory));
}

void caller_listener::handleModels(evhttp_request *Request,
                                   const configuration &Config) {
  const std::string_view Key = presentedKey(readAccessRequest(Request));
  const auto Entry = checkKey(Config, Core.settings().KeySecret, Key);
  if (!Entry)
    return refuse(Request, Entry.error());
  nlohmann::json Models = nlohmann::json::array();
  for (const auto &[Name, Model] : Config.Models)
    Models.push_back({{"id", Name},
                      {"object", "model"},
                      {"created", 0},
                      {"owned_by", "ebonyvale"}});
  const nlohmann::json Body{{"object", "list"}, {"data", Models}};
  sendResponse(Request, 200, "application/json", Body.dump());
}

std::optional<failure>
caller_listener::checkSizes(evhttp_request *Request) const {
  const auto HeaderLimit =
      static_cast<std::size_t>(Core.settings().HeaderBytes);
  if (headerBytes(Request) > HeaderLimit)
    return failure{error_kind::HeadersTooLarge,
                   fmt::format("the limit is {} bytes", HeaderLimit)};
  const auto BodyLimit = static_cast<std::size_t>(Core.settings().BodyBytes);
  if (inputBody(Request).size() > BodyLimit)
    return failure{error_kind::BodyTooLarge,
                   fmt::format("the limit is {} bytes", BodyLimit)};
  return std::nullopt;
}

void caller_listener::startModelSession(evhttp_request *Request,
                                        const configuration_ptr &Config,
                                        const caller_grant &Grant,
                                        buffer_lease Memory) {
  result<chat_request> Chat =
      parseChatRequest(std::get<chat_route>(Grant.Target), inputBody(Request));
  if (!Chat)
    return refuse(Request, Chat.error());
  const auto Model = Config->Models.find(Chat->Model);
  if (Model == Config->Models.end())
    return refuse(Request, {error_kind::ModelUnknown, ""});
  const auto Fingerprint = fingerprintOf(Core.settings().FleetSecret,
                                         Grant.team(), inputBody(Request));
  if (Core.crashes().check(Fingerprint, readClock().Now) ==
      suspicion::Quarantined)
    return refuse(Request, {error_kind::RequestQuarantined, ""});
  const auto Session = std::make_shared<model_session>(
      Core, Request, Config, Grant, Model->second, std::move(*Chat));
  Session->holdMemory(std::move(Memory));
  Session->begin(Session->cost());
}

void caller_listener::startPlainSession(evhttp_request *Request,
                                        const configuration_ptr &Config,
                                        const caller_grant &Grant,
                                        const route &Route,
                                        buffer_lease Memory) {
  const auto Session =
      std::make_shared<plain_session>(Core, Request, Config, Grant, Route);
  const auto Tokens = static_cast<double>(Route.Tokens);
  Session->holdMemory(std::move(Memory));
  Session->begin({Tokens, Tokens});
}

void caller_listener::refuse(evhttp_request *Request, const failure &Reason,
                             span_ns RetryAfter) {
  refusal Refusal;
  Refusal.Kind = Reason.kind();
  if (const configuration_ptr &Config = Core.currentConfig())
    Refusal.Team = teamOfKey(*Config, Core.settings().KeySecret,
                             presentedKey(readAccessRequest(Request)));
  Refusal.Route = redactedPath(Request);
  Refusal.At = readClock().Wall;
  Refusal.Detail = Reason.Detail;
  const refusal &Recorded = Core.recordRefusal(std::move(Refusal));
  null_reply_observer Observer;
  response_writer Reply(Request, Observer);
  sendRefusal(Reply, Recorded, RetryAfter);
}

} // namespace ebonyvale

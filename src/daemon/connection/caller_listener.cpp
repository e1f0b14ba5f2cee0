#include "daemon/connection/caller_listener.h"

#include "daemon/connection/health_answers.h"
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

/// What evhttp itself still reads beyond our bounds, so that requests a little
/// over them get our own answer instead of its bare one.
constexpr std::size_t HardBoundFactor = 4;

http_bounds serverBounds(const daemon_settings &Settings) {
  http_bounds Bounds;
  Bounds.HeaderBytes =
      static_cast<std::size_t>(Settings.HeaderBytes) * HardBoundFactor;
  Bounds.BodyBytes =
      static_cast<std::size_t>(Settings.BodyBytes) * HardBoundFactor;
  Bounds.ReadTimeout = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::milliseconds(Settings.HeaderTimeoutMs));
  return Bounds;
}

std::size_t headerBytes(evhttp_request *Request) {
  std::size_t Sum = std::strlen(evhttp_request_get_uri(Request));
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
  for (const evkeyval *Header = Headers->tqh_first; Header;
       Header = Header->next.tqe_next)
    Sum += std::strlen(Header->key) + std::strlen(Header->value);
  return Sum;
}

caller_claim claimOf(evhttp_request *Request) {
  return {inputHeader(Request, "Authorization"),
          inputHeader(Request, "X-Api-Key"), methodName(Request),
          requestPath(Request)};
}

/// The path as it may be recorded: bounded and without the caller's key.
std::string loggedPath(evhttp_request *Request) {
  constexpr std::size_t MaxLoggedPath = 200;
  const std::string_view Path = requestPath(Request);
  if (containsKey(Path, presentedKey(claimOf(Request))))
    return "(hidden)";
  return std::string(Path.substr(0, MaxLoggedPath));
}

/// Ends replies that no session observes.
class silent_observer final : public response_writer_observer {
public:
  void onClientDisconnected() override {}
  void onDrained() override {}
};

} // namespace

caller_listener::caller_listener(router_core &Core)
    : Core(Core),
      Server(Core.base(), serverBounds(Core.settings()),
             [this](evhttp_request *Request) { onRequest(Request); }) {
  Server.setArrivalDeadline(
      std::chrono::milliseconds(Core.settings().HeaderTimeoutMs),
      [this] { return slowRequestAnswer(); });
}

std::string caller_listener::slowRequestAnswer() {
  refusal Refusal;
  Refusal.Kind = error_kind::HeaderTimeout;
  Refusal.At = readClock().Wall;
  const std::string Body = refusalBody(Core.recordRefusal(std::move(Refusal)));
  const int Status = errorRow(error_kind::HeaderTimeout).Status;
  return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
                     "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                     Status, reasonPhrase(Status), Body.size(), Body);
}

std::optional<failure> caller_listener::listen() {
  return Server.listen(Core.settings().CallerAddress,
                       static_cast<std::uint16_t>(Core.settings().CallerPort));
}

void caller_listener::onRequest(evhttp_request *Request) {
  if (answerHealth(Request, Core, Core.settings().PublicMetrics))
    return;
  Core.counters().Requests.Increment();
  if (Core.refusesNew())
    return refuse(Request, {error_kind::Draining, ""});
  const configuration_ptr Config = Core.inForce();
  if (!Config)
    return refuse(Request, {error_kind::NotReady, ""});
  if (const auto Problem = checkBounds(Request))
    return refuse(Request, *Problem);
  if (requestPath(Request) == "/v1/models")
    return answerModels(Request, *Config);
  const caller_claim Claim = claimOf(Request);
  const result<caller_grant> Grant =
      checkCaller(*Config, Core.settings().KeySecret, Claim);
  if (!Grant)
    return refuse(Request, Grant.error());
  const std::string_view Key = presentedKey(Claim);
  if (containsKey(inputBody(Request), Key) || containsKey(Claim.Path, Key))
    return refuse(Request, {error_kind::CredentialInBody, ""});
  if (const auto *const *Route = std::get_if<const route *>(&Grant->Target))
    startPlainSession(Request, Config, *Grant, **Route);
  else
    startModelSession(Request, Config, *Grant);
}

void caller_listener::answerModels(evhttp_request *Request,
                                   const configuration &Config) {
  const std::string_view Key = presentedKey(claimOf(Request));
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
caller_listener::checkBounds(evhttp_request *Request) const {
  const auto HeaderBound =
      static_cast<std::size_t>(Core.settings().HeaderBytes);
  if (headerBytes(Request) > HeaderBound)
    return failure{error_kind::HeadersTooLarge,
                   fmt::format("the bound is {} bytes", HeaderBound)};
  const auto BodyBound = static_cast<std::size_t>(Core.settings().BodyBytes);
  if (inputBody(Request).size() > BodyBound)
    return failure{error_kind::BodyTooLarge,
                   fmt::format("the bound is {} bytes", BodyBound)};
  return std::nullopt;
}

void caller_listener::startModelSession(evhttp_request *Request,
                                        const configuration_ptr &Config,
                                        const caller_grant &Grant) {
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
  Session->begin(Session->cost());
}

void caller_listener::startPlainSession(evhttp_request *Request,
                                        const configuration_ptr &Config,
                                        const caller_grant &Grant,
                                        const route &Route) {
  const auto Session =
      std::make_shared<plain_session>(Core, Request, Config, Grant, Route);
  const auto Tokens = static_cast<double>(Route.Tokens);
  Session->begin({Tokens, Tokens});
}

void caller_listener::refuse(evhttp_request *Request, const failure &Reason) {
  refusal Refusal;
  Refusal.Kind = Reason.kind();
  if (const configuration_ptr &Config = Core.inForce())
    Refusal.Team = teamOfKey(*Config, Core.settings().KeySecret,
                             presentedKey(claimOf(Request)));
  Refusal.Route = loggedPath(Request);
  Refusal.At = readClock().Wall;
  Refusal.Detail = Reason.Detail;
  const refusal &Recorded = Core.recordRefusal(std::move(Refusal));
  silent_observer Observer;
  response_writer Reply(Request, Observer);
  sendRefusal(Reply, Recorded, span_ns(0));
}

} // namespace ebonyvale

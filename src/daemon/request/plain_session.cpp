#include "daemon/request/plain_session.h"

#include "daemon/connection/refusal_reply.h"

#include <array>

namespace ebonyvale {
namespace {

/// Request headers that are forwarded to the upstream. All others are dropped,
/// since any of them may hold a credential.
constexpr std::array<const char *, 8> ForwardedRequestHeaders{
    "Accept",          "Accept-Language",  "Content-Language",
    "Content-Type",    "Content-Encoding", "If-Modified-Since",
    "Idempotency-Key", "If-None-Match"};

/// Response headers that are forwarded to the caller.
constexpr std::array<const char *, 9> ForwardedResponseHeaders{
    "Cache-Control",
    "Content-Disposition",
    "Content-Encoding",
    "Content-Language",
    "ETag",
    "Last-Modified",
    "Location",
    "Retry-After",
    "Vary"};

constexpr std::string_view DefaultContentType = "application/octet-stream";

} // namespace

plain_session::plain_session(router_core &Core, evhttp_request *Request,
                             configuration_ptr Config,
                             const caller_grant &Grant, const route &Route)
    : caller_session(Core, Request, std::move(Config), Grant, Route.Name,
                     std::chrono::milliseconds(Route.DeadlineMs)),
      Route(Route), Method(methodName(Request)), Body(inputBody(Request)) {
  const access_request Access{inputHeader(Request, "Authorization"),
                              inputHeader(Request, "X-Api-Key"), Method, ""};
  copyRequest(Request, presentedKey(Access));
}

void plain_session::copyRequest(evhttp_request *Request, std::string_view Key) {
  Target = requestPath(Request);
  const std::string Query = stripCredentials(requestQuery(Request), Key);
  if (!Query.empty())
    Target += "?" + Query;
  for (const char *Name : ForwardedRequestHeaders) {
    const std::string_view Value = inputHeader(Request, Name);
    if (!Value.empty() && !containsKey(Value, Key))
      Headers.emplace_back(Name, Value);
  }
}

dispatch_request plain_session::makeDispatchRequest() {
  dispatch_request Request;
  Request.Number = number();
  Request.Team = team();
  if (const auto Team = config().Teams.find(team());
      Team != config().Teams.end())
    Request.Weight = Team->second.Weight;
  Request.Tokens = static_cast<double>(Route.Tokens);
  Request.Failed = failedUpstreams();
  Request.Deadline = deadline();
  for (const upstream *Member : config().groupMembers(Route.Group))
    Request.Candidates.push_back(core().engines().idOf(Member->Name));
  return Request;
}

outgoing_request
plain_session::makeUpstreamRequest(const dispatch_start &Start) {
  const engine_state &Upstream = core().engines().at(Start.Engine);
  outgoing_request Request;
  Request.Server = {Upstream.Address, Upstream.Port};
  Request.Method = Method;
  Request.Target = Target;
  Request.Headers = Headers;
  Request.Headers.emplace_back("X-Request-Id", flow().attemptId());
  Request.Headers.emplace_back("traceparent", traceparent());
  Request.Body = {Body};
  // The upstream may already have closed a pooled connection. Whether it read a
  // request sent on it would then be unknown, so a request that must not be
  // repeated gets a new connection.
  Request.Use =
      Route.Repeatable ? connection_use::Pooled : connection_use::AlwaysNew;
  Request.ReadTimeout = timeLeft() + DeadlineMargin;
  return Request;
}

void plain_session::onHead(const response_head &Head) {
  if (!flow().onHead(Head.header("X-Request-Id"))) {
    core().counters().StreamEventsCrossed.Increment();
    failAttempt(exchange_stage::Responding);
    return;
  }
  Status = Head.status();
  EndsWithConnection = Head.endsWithConnection();
  ResponseBody.clear();
  ResponseHeaders.clear();
  ResponseHeaders.emplace_back("Content-Type", Head.header("Content-Type"));
  // It describes the response to GET (RFC 9110, section 8.6).
  if (Method == "HEAD" && !Head.header("Content-Length").empty())
    ResponseHeaders.emplace_back("Content-Length",
                                 Head.header("Content-Length"));
  for (const char *Name : ForwardedResponseHeaders) {
    const std::string_view Value = Head.header(Name);
    if (!Value.empty())
      ResponseHeaders.emplace_back(Name, Value);
  }
  core().engines().onResponse(dispatchStart().Engine, "", {}, readClock().Now);
}

void plain_session::onBody(std::string_view Bytes) {
  bufferResponse(Bytes, ResponseBody);
}

void plain_session::onComplete() {
  const auto Guard = shared_from_this();
  std::string ContentType(DefaultContentType);
  for (const auto &[Name, Value] : ResponseHeaders) {
    if (Name != "Content-Type")
      reply().header(Name.c_str(), Value);
    else if (!Value.empty())
      ContentType = Value;
  }
  // A length would state an end that the upstream has not sent.
  if (EndsWithConnection)
    reply().sendUnframed(Status, ContentType, ResponseBody);
  else
    reply().sendComplete(Status, ContentType, ResponseBody);
  succeed();
}

void plain_session::sendInterruption(const refusal &) {
  // Never called: responses of plain upstreams are sent only when complete.
}

double plain_session::usedTokens() const {
  return dispatchStart().Number == 0 ? 0 : static_cast<double>(Route.Tokens);
}

response_options plain_session::flowOptions() const {
  response_options Options;
  Options.Repeatable = Route.Repeatable;
  return Options;
}

} // namespace ebonyvale

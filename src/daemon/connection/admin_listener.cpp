#include "daemon/connection/admin_listener.h"

#include "daemon/connection/health_endpoints.h"
#include "decisions/process/refusal_json.h"
#include "decisions/request/caller_check.h"
#include "decisions/request/refusal_body.h"
#include "decisions/version/release_note.h"
#include "net/query_parameters.h"

#include <algorithm>
#include <iterator>
#include <memory>

#include <openssl/crypto.h>

namespace ebonyvale {
namespace {

void sendJson(evhttp_request *Request, int Status, const nlohmann::json &Body) {
  sendResponse(
      Request, Status, "application/json",
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::string_view nearnessName(nearness Nearness) {
  switch (Nearness) {
  case nearness::SameDomain:
    return "same_domain";
  case nearness::SameRegion:
    return "same_region";
  case nearness::OtherRegion:
    break;
  }
  return "other_region";
}

/// Keeps one refusal per reference and sorts the result by time.
std::vector<refusal> deduplicateRefusals(std::vector<refusal> Refusals) {
  std::ranges::stable_sort(Refusals, {}, &refusal::Reference);
  const auto Duplicates =
      std::unique(Refusals.begin(), Refusals.end(),
                  [](const refusal &Left, const refusal &Right) {
                    return Left.Reference == Right.Reference;
                  });
  Refusals.erase(Duplicates, Refusals.end());
  std::ranges::stable_sort(Refusals, {}, &refusal::At);
  return Refusals;
}

nlohmann::json acceptedNoteJson(const accepted_note &Accepted) {
  return {{"version", Accepted.Version},
          {"note", Accepted.NoteId},
          {"repeated", Accepted.Repeated}};
}

} // namespace

admin_listener::admin_listener(router_core &Core, configuration_source &Source)
    : Core(Core), Source(Source),
      Server(Core.base(), http_bounds{},
             [this](evhttp_request *Request) { onRequest(Request); }) {
  Server.setArrivalDeadline(
      http_bounds{}.ReadTimeout,
      [](arrival_failure Reason) {
        return std::string("HTTP/1.1 ") +
               (Reason == arrival_failure::TooManyFields
                    ? "431 Request Header Fields Too Large"
                : Reason == arrival_failure::NoMemory
                    ? "503 Service Unavailable\r\nRetry-After: 1"
                    : "408 Request Timeout") +
               "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
      },
      &Core.callerMemory());
}

std::optional<failure> admin_listener::listen() {
  return Server.listen(Core.settings().AdminAddress,
                       static_cast<std::uint16_t>(Core.settings().AdminPort));
}

void admin_listener::onRequest(evhttp_request *Request) {
  if (serveHealthEndpoint(Request, Core, /*WithMetrics=*/true))
    return;
  if (!isAuthorized(Request))
    return sendFailure(Request, {error_kind::AdminDenied, ""});
  const std::string_view Path = requestPath(Request);
  if (Path == "/status")
    return handleStatus(Request);
  if (Path == "/upstreams")
    return handleUpstreams(Request);
  if (Path == "/refusals")
    return handleRefusals(Request);
  if (Path == "/explain")
    return handleExplain(Request);
  if (Path == "/note/check")
    return handleNoteCheck(Request);
  if (Path == "/note/apply")
    return handleNoteApply(Request);
  sendFailure(Request, {error_kind::RouteUnknown, ""});
}

bool admin_listener::isAuthorized(evhttp_request *Request) const {
  const access_request Access{inputHeader(Request, "Authorization"), "", "",
                              ""};
  const std::string_view Presented = presentedKey(Access);
  const std::string &Token = Core.settings().AdminToken;
  return Presented.size() == Token.size() &&
         CRYPTO_memcmp(Presented.data(), Token.data(), Token.size()) == 0;
}

void admin_listener::handleStatus(evhttp_request *Request) {
  const configuration_ptr &Config = Core.currentConfig();
  nlohmann::json Teams = nlohmann::json::object();
  if (Config)
    for (const auto &[Name, Team] : Config->Teams)
      Teams[Name] = {{"rate_tokens_per_second", Team.Rate},
                     {"burst_tokens", Team.Burst},
                     {"available_here_tokens",
                      Core.shares().available(Name, readClock().Now)}};
  sendJson(Request, 200,
           {{"instance", Core.settings().InstanceName},
            {"domain", Core.settings().Domain},
            {"region", Core.settings().Region},
            {"ready", Core.ready()},
            {"version", Config ? Config->Version : 0},
            {"note", Config ? Config->NoteId : ""},
            {"digest", Config ? toHex(Config->Digest) : ""},
            {"open_requests", Core.openRequests()},
            {"teams", Teams}});
}

void admin_listener::handleUpstreams(evhttp_request *Request) {
  const instant Now = readClock().Now;
  nlohmann::json List = nlohmann::json::array();
  for (const engine_state &Engine : Core.engines().all()) {
    if (!Engine.Listed)
      continue;
    List.push_back({{"name", Engine.Name},
                    {"address", Engine.Address},
                    {"port", Engine.Port},
                    {"nearness", nearnessName(Engine.Nearness)},
                    {"usable", Engine.usable(Now)},
                    {"leaving", Engine.Leaving},
                    {"failures", Engine.Failures},
                    {"in_flight", Engine.InFlight},
                    {"backlog_ms", Engine.backlogMs(Now)},
                    {"residence_ms", toSeconds(Engine.Residence) * 1000},
                    {"incarnation", Engine.Incarnation}});
  }
  sendJson(Request, 200, {{"upstreams", List}});
}

void admin_listener::setRefusalSources(const peer_hub *Hub,
                                       refusal_archive *Store) {
  Peers = Hub;
  Archive = Store;
}

std::vector<refusal>
admin_listener::localRefusals(const refusal_query &Query) const {
  std::vector<refusal> Found = Core.refusals().select(Query);
  if (Peers)
    std::ranges::move(Peers->findReplicatedRefusals(Query).Refusals,
                      std::back_inserter(Found));
  return Found;
}

void admin_listener::collectRefusals(const refusal_query &Query,
                                     refusal_callback Done) {
  if (!Archive) {
    Done(deduplicateRefusals(localRefusals(Query)), "none");
    return;
  }
  Archive->query(Query, [this, Query, Done = std::move(Done)](
                            const result<refusal_list> &Stored) {
    std::vector<refusal> Found = localRefusals(Query);
    if (Stored)
      Found.insert(Found.end(), Stored->Refusals.begin(),
                   Stored->Refusals.end());
    Done(deduplicateRefusals(std::move(Found)),
         Stored ? "reached" : "not reached");
  });
}

void admin_listener::handleRefusals(evhttp_request *Request) {
  const query_parameters Parameters(requestQuery(Request));
  const refusal_query Query{Parameters.text("team"),
                            Parameters.time("from", wall_ms::min()),
                            Parameters.time("to", wall_ms::max())};
  const auto Pending = std::make_shared<deferred_response>(Request);
  collectRefusals(
      Query, [this, Query, Pending](const std::vector<refusal> &Found,
                                    std::string_view Store) {
        evhttp_request *PendingRequest = Pending->take();
        if (!PendingRequest)
          return;
        nlohmann::json Records = nlohmann::json::array();
        for (const refusal &Refusal : Found)
          Records.push_back(refusalJson(Refusal));
        nlohmann::json Counts = nlohmann::json::array();
        for (const refusal_count &Count : Core.refusals().count(Query))
          Counts.push_back(refusalCountJson(Count));
        sendJson(PendingRequest, 200,
                 {{"refusals", Records}, {"counts", Counts}, {"store", Store}});
      });
}

void admin_listener::handleExplain(evhttp_request *Request) {
  const query_parameters Parameters(requestQuery(Request));
  const auto Pending = std::make_shared<deferred_response>(Request);
  collectRefusals({"", wall_ms::min(), wall_ms::max()},
                  [Pending, Reference = Parameters.text("reference")](
                      const std::vector<refusal> &All, std::string_view Store) {
                    evhttp_request *PendingRequest = Pending->take();
                    if (!PendingRequest)
                      return;
                    const auto Found =
                        std::ranges::find(All, Reference, &refusal::Reference);
                    if (Found == All.end())
                      return sendFailure(PendingRequest,
                                         {error_kind::ReferenceUnknown,
                                          "store " + std::string(Store)});
                    nlohmann::json Body = refusalJson(*Found);
                    Body["message"] = errorRow(Found->Kind).Message;
                    sendJson(PendingRequest, 200, Body);
                  });
}

void admin_listener::handleNoteCheck(evhttp_request *Request) {
  const configuration_ptr &Base = Core.currentConfig();
  const auto Next =
      applyNote(Base ? *Base : configuration{}, inputBody(Request));
  if (!Next)
    return sendFailure(Request, Next.error());
  sendJson(Request, 200,
           {{"note", Next->NoteId}, {"would_make_version", Next->Version}});
}

void admin_listener::handleNoteApply(evhttp_request *Request) {
  // The outcome may arrive after the client has closed its connection.
  const auto Pending = std::make_shared<deferred_response>(Request);
  Source.apply(inputBody(Request),
               [Pending](const result<accepted_note> &Outcome) {
                 evhttp_request *PendingRequest = Pending->take();
                 if (!PendingRequest)
                   return;
                 if (Outcome)
                   sendJson(PendingRequest, 200, acceptedNoteJson(*Outcome));
                 else
                   sendFailure(PendingRequest, Outcome.error());
               });
}

void admin_listener::sendFailure(evhttp_request *Request,
                                 const failure &Reason) {
  const error_row &Row = errorRow(Reason.kind());
  sendJson(Request, Row.Status,
           {{"error",
             {{"kind", Row.Name},
              {"message", Row.Message},
              {"detail", Reason.Detail},
              {"ran", ranName(Row.Ran)}}}});
}

} // namespace ebonyvale

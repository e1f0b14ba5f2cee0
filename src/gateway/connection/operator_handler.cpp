#include "gateway/connection/operator_handler.h"

#include "decisions/process/refusal_json.h"
#include "net/query_parameters.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusUnavailable = 503;

void sendJson(server_connection &Link, int Status, const json &Body) {
  header_list Headers;
  Headers.add("Content-Type", "application/json");
  Link.writeResponse(Status, Headers,
                     Body.dump(-1, ' ', false, json::error_handler_t::replace));
}

void sendFailure(server_connection &Link, error_kind Kind,
                 const std::string &Detail) {
  const error_row &Row = errorRow(Kind);
  sendJson(
      Link, Row.Status,
      {{"error",
        {{"kind", Row.Name}, {"message", Row.Message}, {"detail", Detail}}}});
}

} // namespace

void operator_handler::onRequest(const std::shared_ptr<server_connection> &Link,
                                 http_request Request) {
  const std::string_view Path = targetPath(Request.Head.Target);
  const std::string_view Query = targetQuery(Request.Head.Target);
  const instant Now = readBootClock();
  header_list Text;
  Text.add("Content-Type", "text/plain; version=0.0.4");
  if (Path == Core.protocols().Callers.readinessPath()) {
    Core.recordReadiness(Now);
    const std::string_view Reason = Core.unreadyReason(Now);
    if (Reason.empty())
      return Link->writeResponse(StatusOk, Text, "ready\n");
    return Link->writeResponse(StatusUnavailable, Text,
                               fmt::format("not ready: {}\n", Reason));
  }
  if (Path == "/metrics") {
    Core.counters().BufferedBytes.Set(
        static_cast<double>(Core.responseBuffers().used()));
    const learned_costs &Costs = Core.scheduler().costs();
    Core.counters().LearnedServices.Set(
        static_cast<double>(Costs.rates().size()));
    Core.counters().LearnedCosts.Set(static_cast<double>(Costs.size()));
    Core.counters().CallerMemoryBytes.Set(
        static_cast<double>(Core.callerMemory().used()));
    Core.counters().CallerConnections.Set(
        static_cast<double>(Core.callerMemory().connections()));
    return Link->writeResponse(StatusOk, Text, Core.counters().text());
  }
  if (Path == "/status")
    return sendJson(*Link, StatusOk, makeStatus(Now));
  if (Path == "/upstreams")
    return sendJson(*Link, StatusOk, makeUpstreams(Now));
  if (Path == "/costs")
    return sendJson(*Link, StatusOk, makeCosts());
  if (Path == "/rooms")
    return sendJson(*Link, StatusOk, makeRooms(Now));
  if (Path == "/refusals")
    return sendRefusals(Link, Query);
  if (Path == "/explain")
    return sendExplanation(Link, Query);
  sendFailure(*Link, error_kind::RouteUnknown, std::string(Path));
}

void operator_handler::onRequestError(server_connection &Link,
                                      request_error Reason) {
  if (Reason != request_error::NoMemory)
    return Link.writeResponse(StatusBadRequest, {}, "");
  Core.onMemoryRefusal();
  header_list Headers;
  Headers.add("Retry-After",
              fmt::format("{:.0f}", toSeconds(NoMemoryRetryAfter)));
  Link.writeResponse(StatusUnavailable, Headers, "");
}

void operator_handler::onConnectionShed(std::string_view Reason) {
  Core.onConnectionShed(Reason);
}

json operator_handler::makeStatus(instant Now) {
  const auto Age = Core.configFreshness().age(Now);
  json Teams = json::object();
  if (Core.routing())
    for (const team_entry &Team : Core.routing()->Teams)
      Teams[Team.Name] = {
          {"rate_tokens_per_second", Team.Rate},
          {"burst_tokens", Team.Burst},
          {"available_here_tokens", Core.shares().available(Team.Name, Now)}};
  json Instances = json::array();
  for (const auto &[Name, Entry] : Core.roster().peers())
    Instances.push_back({{"name", Name}, {"domain", Entry.Domain}});
  json UnknownFields = json::array();
  for (const unknown_field &Field : Core.unknownFields().all())
    UnknownFields.push_back({{"source", Field.Source},
                             {"name", Field.Name},
                             {"count", Field.Count}});
  return {
      {"instance", Core.settings().InstanceName},
      {"domain", Core.settings().Domain},
      {"ready", Core.ready(Now)},
      {"unready_reason", Core.unreadyReason(Now)},
      {"version", Core.routing() ? Core.routing()->Version : 0},
      {"evidence_age_ms", Age ? toMs(*Age) : -1},
      {"open_requests", Core.openRequests()},
      {"limits_divided_by", Core.roster().quotaShareCount(Now, Core.started())},
      {"peers", Instances},
      {"weights_issuer", Weights.claimHolder()},
      {"unknown_fields", UnknownFields},
      {"other_unknown_fields", Core.unknownFields().others()},
      {"teams", Teams}};
}

json operator_handler::makeUpstreams(instant Now) {
  constexpr double NoLimit = -1;
  json List = json::array();
  for (const upstream_view &View : Core.scheduler().views(Now))
    List.push_back(
        {{"name", View.Entry.Id},
         {"service", View.Entry.Service},
         {"address", View.Entry.Address},
         {"port", View.Entry.Port},
         {"nearness", View.Entry.Domain == Core.settings().Domain
                          ? "same_domain"
                          : View.Entry.Domain},
         {"usable",
          View.Usable && Now >= Core.upstreamPauses().endOf(View.Entry)},
         {"leaving", !View.Entry.isOpen()},
         {"failures", View.Failures},
         {"in_flight", View.InFlight},
         {"in_flight_of_peers", View.InFlightOfPeers},
         {"backlog_ms", View.BacklogMs},
         {"uses_learned_costs", View.UsesLearnedCosts},
         {"slowness", View.Slowness},
         {"learned_slowness", View.LearnedSlowness},
         {"rest_ms", View.RestMs},
         {"report_age_ms", View.ReportAge ? toMs(*View.ReportAge) : -1},
         {"pause_ms",
          std::max(0.0, toMs(Core.upstreamPauses().endOf(View.Entry) - Now))},
         {"limit_per_second",
          Core.upstreamLimits().limitOf(View.Entry.Id).value_or(NoLimit)},
         {"weights", View.Weights}});
  return {{"upstreams", List}};
}

json operator_handler::makeCosts() {
  const learned_costs &Costs = Core.scheduler().costs();
  json Services = json::array();
  for (const service_rates &Known : Costs.rates())
    Services.push_back(
        {{"service", Known.Service},
         {"prefill_tokens_per_ms", Known.Rates.PrefillTokensPerMs},
         {"first_token_ms", Known.Rates.FirstTokenMs},
         {"responses", Known.Count}});
  json Routes = json::array();
  for (const cost_summary &Known : Costs.summaries())
    Routes.push_back({{"service", Known.Service},
                      {"route", Known.Route},
                      {"median_ms", Known.Cost.MedianMs},
                      {"mean_ms", Known.Cost.MeanMs},
                      {"p90_ms", Known.Cost.HighMs},
                      {"weight", Known.Cost.Weight}});
  return {{"services", Services}, {"routes", Routes}};
}

json operator_handler::makeRooms(instant Now) {
  json Services = json::object();
  for (const room_view &View : Core.room().views(Now)) {
    json Teams = json::object();
    for (const team_room &Team : View.Teams) {
      json Refused = json::object();
      for (const room_bound Bound : {room_bound::Priority, room_bound::Part,
                                     room_bound::Room, room_bound::Deadline})
        Refused[std::string(roomBoundName(Bound))] =
            Team.Refused[static_cast<std::size_t>(Bound)];
      Teams[Team.Team] = {{"asked_ms_per_second", Team.Asked},
                          {"admitted_ms_per_second", Team.Admitted},
                          {"part_ms_per_second", Team.Part},
                          {"requests", Team.Requests},
                          {"refused", Refused}};
    }
    Services[View.Service] = {{"short", View.Room.isShort()},
                              {"fits", View.Room.Fit},
                              {"delay_ms", View.Room.DelayMs},
                              {"aim_ms", View.Room.AimMs},
                              {"reporting_upstreams", View.Room.Reports},
                              {"busy_share", View.Room.BusyShare},
                              {"teams", Teams}};
  }
  return {{"divided", Core.room().isOn()}, {"services", Services}};
}

void operator_handler::findRefusals(const refusal_query &Query,
                                    rows_callback Done) {
  Writer.query(Query, [this, Query, Done = std::move(Done)](
                          const rows &Stored, store_status Status) {
    rows Found = Stored;
    for (const refusal &Refusal : Core.refusals().select(Query)) {
      const bool IsStored = std::ranges::any_of(Stored, [&](const json &Row) {
        return Row.value("reference", "") == Refusal.Reference;
      });
      if (!IsStored)
        Found.push_back(refusalJson(Refusal));
    }
    std::ranges::stable_sort(
        Found, {}, [](const json &Row) { return Row.value("instant", ""); });
    Done(Found, Status == store_status::Ok ? "reached" : "not reached");
  });
}

void operator_handler::sendRefusals(
    const std::shared_ptr<server_connection> &Link, std::string_view Query) {
  const query_parameters Parameters(Query);
  const refusal_query Wanted{Parameters.text("team"),
                             Parameters.time("from", wall_ms::min()),
                             Parameters.time("to", wall_ms::max())};
  findRefusals(
      Wanted, [this, Wanted, Link](const rows &Found, std::string_view Store) {
        json Counts = json::array();
        for (const refusal_count &Count : Core.refusals().count(Wanted))
          Counts.push_back(refusalCountJson(Count));
        sendJson(*Link, StatusOk,
                 {{"refusals", Found}, {"counts", Counts}, {"store", Store}});
      });
}

void operator_handler::sendExplanation(
    const std::shared_ptr<server_connection> &Link, std::string_view Query) {
  const std::string Reference = query_parameters(Query).text("reference");
  findRefusals({"", wall_ms::min(), wall_ms::max()},
               [Link, Reference](const rows &All, std::string_view Store) {
                 const auto Found =
                     std::ranges::find(All, Reference, [](const json &Row) {
                       return Row.value("reference", "");
                     });
                 if (Found == All.end())
                   return sendFailure(*Link, error_kind::ReferenceUnknown,
                                      "store " + std::string(Store));
                 sendJson(*Link, StatusOk, *Found);
               });
}

} // namespace ebonyvale

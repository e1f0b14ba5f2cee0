#include "common/stand_engine.h"

#include "net/timer.h"

#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// Time to load new weights.
constexpr span_ns LoadTime = 760ms;
/// Age of the values in a report.
constexpr span_ns ReportLag = 200ms;

} // namespace

stand_engine::stand_engine(event_base *Base, fake_fleet_store &Store,
                           std::string Id)
    : Base(Base), Store(Store), Id(std::move(Id)), Links(Base, *this) {
  Links.listen("127.0.0.1", 0);
  publish();
}

void stand_engine::changeState(std::int64_t Version, std::int64_t Accepted,
                               bool Busy) {
  const instant Now = readBootClock();
  States.push_back({Now, Version, Accepted, Busy});
  while (States.size() > 1 && States[1].Since <= Now - ReportLag)
    States.pop_front();
}

void stand_engine::publish() {
  Store.put("servers/" + Id,
            json{{"backend", "saft-llm"},
                 {"address", fmt::format("127.0.0.1:{}", Links.port())},
                 {"zone", "bergen-a"},
                 {"version", "v1"},
                 {"batchSlots", 64},
                 {"state", "ready"},
                 {"coldRemainingMs", 0},
                 {"sequence", 1},
                 {"phase", "colocated"},
                 {"models", json::array({{{"name", Model},
                                          {"version", States.back().Version},
                                          {"adapters", json::array()}}})}}
                .dump());
}

std::string stand_engine::report() const {
  const instant AsOf = readBootClock() - ReportLag;
  const state *Known = &States.front();
  for (const state &State : States)
    if (State.Since <= AsOf)
      Known = &State;
  return json{{"phase", "colocated"},
              {"models", json::array({{{"name", Model},
                                       {"version", Known->Version},
                                       {"adapters", json::array()}}})},
              {"busy", Known->Busy},
              {"sequence", Known->Accepted},
              {"queued", 0},
              {"running", 0},
              {"kvUsed", 0},
              {"kvTotal", 119004},
              {"handles", 0}}
      .dump();
}

int stand_engine::handleOrder(const std::string &Body) {
  const json Order = json::parse(Body, nullptr, false);
  constexpr int Done = 200;
  constexpr int Accepted = 202;
  constexpr int Invalid = 400;
  constexpr int Conflict = 409;
  if (!Order.is_object() || !Order.contains("owner") ||
      !Order.contains("fencingToken") || Order.value("opcode", "") != "version")
    return Invalid;
  const state Now = States.back();
  const std::int64_t Version = Order.value("version", std::int64_t{0});
  int Status = Accepted;
  if (Now.Busy || Order.value("expected", Now.Accepted) != Now.Accepted)
    Status = Conflict;
  else if (Version <= Now.Version)
    Status = Done;
  Orders.push_back({readBootClock(), Order.value("owner", ""),
                    Order.value("fencingToken", std::int64_t{0}), Version,
                    Status});
  if (Status != Accepted)
    return Status;
  changeState(Now.Version, Now.Accepted + 1, true);
  callAfter(Base, LoadTime, [this, Version] {
    changeState(Version, States.back().Accepted, false);
    publish();
  });
  return Status;
}

void stand_engine::onRequest(const std::shared_ptr<server_connection> &Link,
                             http_request Request) {
  const std::string_view Path = targetPath(Request.Head.Target);
  const auto Expected = Request.Head.Headers.find("Ebonyvale-Expect-Instance");
  header_list Headers;
  Headers.add("Ebonyvale-Instance-Id", Id);
  constexpr int Misdirected = 421;
  constexpr int NotFound = 404;
  if (Expected && *Expected != Id)
    return Link->writeResponse(Misdirected, Headers, "");
  if (Path == "/v1/report") {
    Headers.add("Content-Type", "application/json");
    return Link->writeResponse(200, Headers, report());
  }
  if (Path == "/v1/order")
    return Link->writeResponse(handleOrder(Request.Body), Headers, "");
  if (OnRequest)
    return OnRequest(Link, Request);
  Link->writeResponse(NotFound, Headers, "");
}

void stand_engine::onRequestError(server_connection &Link, request_error) {
  constexpr int Invalid = 400;
  Link.writeResponse(Invalid, {}, "");
}

} // namespace ebonyvale

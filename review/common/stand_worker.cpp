#include "common/stand_worker.h"

#include "net/timer.h"

#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

std::int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

stand_worker::stand_worker(event_base *Base, fake_fleet_store &Store,
                           std::string Id, std::string Zone)
    : Base(Base), Store(Store), Id(std::move(Id)), Zone(std::move(Zone)),
      Born(unixMillis()), Links(Base, *this), Proxy(Base, 0) {
  Links.listen("127.0.0.1", 0);
  Proxy.setTarget(Links.port());
}

void stand_worker::publish() {
  Store.put(
      "servers/" + Id,
      nlohmann::json{{"backend", "kit-orders"},
                     {"address", fmt::format("127.0.0.1:{}", Proxy.port())},
                     {"zone", Zone},
                     {"version", "v1"},
                     {"batchSlots", 6},
                     {"state", "ready"},
                     {"coldRemainingMs", 0},
                     {"sequence", 1},
                     {"born", Born}}
          .dump());
}

void stand_worker::end() {
  Running = false;
  ++Process;
  Proxy.setFault(proxy_fault::Unreachable);
}

void stand_worker::restart() {
  Running = true;
  Born = unixMillis();
  Proxy.setFault(proxy_fault::None);
  publish();
}

void stand_worker::onRequest(const std::shared_ptr<server_connection> &Link,
                             http_request Request) {
  const auto Expected = Request.Head.Headers.find("Ebonyvale-Expect-Instance");
  const std::string RequestId(
      Request.Head.Headers.find("Ebonyvale-Request-Id").value_or(""));
  header_list Headers;
  Headers.add("Ebonyvale-Request-Id", RequestId);
  const bool Runs = !Expected || *Expected == Id;
  Arrivals.push_back({readBootClock(), RequestId, Request.Head.Target, Runs});
  constexpr int Misdirected = 421;
  if (!Runs) {
    Headers.add("Ebonyvale-Instance-Id", Id);
    return Link->writeResponse(Misdirected, Headers, "");
  }
  if (OnRun)
    OnRun(Request);
  callAfter(Base, RunTime, [this, Link, Headers, RunsIn = Process]() mutable {
    if (RunsIn != Process)
      return; // the process has ended
    Headers.add("Ebonyvale-Server-Seal", "seal." + Id);
    Headers.add("Ebonyvale-Server-Load", "1,0,6");
    Link->writeResponse(200, Headers, ResponseBody);
  });
}

void stand_worker::onRequestError(server_connection &Link, request_error) {
  constexpr int Invalid = 400;
  Link.writeResponse(Invalid, {}, "");
}

} // namespace ebonyvale

// Streams of which no instance has a record, resumed at an instance that has
// just started.
#include "gateway/gateway_fixture.h"
#include "platform/routing_document.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <chrono>
#include <memory>
#include <string>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct started_row {
  char Name[48];
  char Resumes[16];
  bool Moves;       ///< the route, before the instance starts
  bool FirstIsGone; ///< the instance that has seen the route before
  int Milliseconds; ///< until the stream is resumed
  int Status;
};

/// Leads all routes and upstreams to the service "t".
void moveToOther(gateway_fixture &Gateway) {
  std::string Document = routingDocument(2, "\"key-1\"", 1e6);
  const std::string Before = "\"backend\":\"s\"";
  for (std::size_t At = 0; (At = Document.find(Before)) != std::string::npos;)
    Document.replace(At, Before.size(), "\"backend\":\"t\"");
  for (const auto &Upstream : Gateway.Upstreams)
    Gateway.Store.put(Upstream->key(), Upstream->entry("t"));
  Gateway.Store.put("op/config", Document);
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 2; }));
}

} // namespace

ParameterizedTestParameters(unknown_origin,
                            a_new_instance_joins_no_streams_of_two_services) {
  static started_row Rows[] = {
      {"moved before the start", "s-lost", true, false, 6000, 503},
      {"moved before, names no origin", "", true, false, 6000, 503},
      {"moved before, nobody left who knows", "s-lost", true, true, 6000, 503},
      {"moved before, resumed at once", "s-lost", true, false, 0, 503},
      {"not moved", "s-lost", false, false, 1500, 200},
      {"not moved, names no origin", "", false, false, 1500, 200},
      {"not moved, nobody left who knows", "", false, true, 6000, 503},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(started_row *Row, unknown_origin,
                  a_new_instance_joins_no_streams_of_two_services) {
  gateway_fixture Gateway;
  if (Row->Moves)
    moveToOther(Gateway);
  const auto Started = Gateway.startGatewayInstance("i-2");
  cr_assert(Gateway.waitFor([&] {
    return Started->core().ready(readBootClock()) &&
           Started->core().roster().peers().size() == 1 &&
           Gateway.core().roster().peers().size() == 1;
  }));
  if (Row->FirstIsGone)
    Gateway.kill();
  runLoopFor(Gateway.Base.get(), std::chrono::milliseconds(Row->Milliseconds));
  Gateway.setCallerTarget(*Started);
  const caller_response Response = Gateway.sendRequest(
      {.Path = "/stream-on/1", .ResumeAfter = "2", .Resumes = Row->Resumes});
  cr_assert(Response.Status == Row->Status, "%s: %d", Row->Name,
            Response.Status);
  if (Row->Status == 503)
    cr_assert(Response.Headers.find("Retry-After").has_value());
}

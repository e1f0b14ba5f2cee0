// Upstreams that report long queues: a gateway that divides room serves urgent
// requests first, and says why it refused the others.
#include "gateway/gateway_fixture.h"
#include "platform/routing_document.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <nlohmann/json.hpp>

using namespace ebonyvale;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

struct room_row {
  bool IsDivided;
  char Load[16]; ///< running, waiting and slots, as upstreams report them
  bool IsShort;
};

/// Four requests that wait take a quarter of the target of 500 ms, however fast
/// the machine is.
constexpr span_ns WorkTime = 30ms;

std::string withPriority(std::string Document, const std::string &Route,
                         int Priority) {
  const std::string Name = R"("name":")" + Route + "\"";
  return Document.replace(Document.find(Name), Name.size(),
                          Name + R"(,"priority":)" + std::to_string(Priority));
}

} // namespace

ParameterizedTestParameters(short_room, urgent_requests_are_served_first) {
  static room_row Rows[] = {
      {true, "8,4,8", true},
      {true, "3,0,8", false},
      {false, "8,4,8", false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(room_row *Row, short_room, urgent_requests_are_served_first) {
  gateway_settings Settings = gateway_fixture::testSettings();
  if (Row->IsDivided)
    Settings.Features = {"pressure", "unknown"};
  gateway_fixture Gateway(Settings);
  Gateway.Store.put(
      "op/config",
      withPriority(
          withPriority(routingDocument(2, "\"key-1\"", 1e7), "read", 0),
          "order", 2));
  cr_assert(
      Gateway.waitFor([&] { return Gateway.core().routing()->Version == 2; }));
  for (const auto &Upstream : Gateway.Upstreams) {
    Upstream->Delay = WorkTime;
    Upstream->ExtraHeaders.push_back({"Ebonyvale-Server-Load", Row->Load});
  }
  int Urgent = 0;
  int Others = 0;
  int Refused = 0;
  constexpr int Requests = 100;
  for (int Number = 0; Number < 2 * Requests; ++Number) {
    const bool IsUrgent = Number % 2 == 0;
    const caller_response Result =
        Gateway.sendRequest({.Path = IsUrgent ? "/read/1" : "/order/1",
                             .Id = "id-" + std::to_string(Number)});
    if (Result.Status == 200) {
      ++(IsUrgent ? Urgent : Others);
      continue;
    }
    ++Refused;
    // Nothing was sent, and the refusal says so and when to return.
    cr_assert(Result.Status == 503);
    cr_assert(Result.Headers.find("Retry-After").has_value());
  }
  const int Runs = Gateway.Upstreams[0]->runs() + Gateway.Upstreams[1]->runs();
  cr_assert(Runs == Urgent + Others);
  const json Rooms = json::parse(Gateway.getAsOperator("/rooms").Body);
  cr_assert(Rooms.at("divided") == Row->IsDivided);
  if (!Row->IsShort) {
    cr_assert(Refused == 0, "%d refused", Refused);
    return;
  }
  cr_assert(Refused > 0);
  cr_assert(2 * Urgent > 3 * Others, "%d urgent, %d others", Urgent, Others);
  cr_assert(Others > 0);
  const json &Service = Rooms.at("services").at("s");
  cr_assert(Service.at("short") == true);
  const json &Team = Service.at("teams").at("t");
  int Counted = 0;
  for (const auto &[Bound, Count] : Team.at("refused").items())
    Counted += Count.get<int>();
  cr_assert(Counted == Refused, "%d of %d", Counted, Refused);
  for (const refusal &Refusal :
       Gateway.core().refusals().select({"", wall_ms::min(), wall_ms::max()})) {
    cr_assert(Refusal.Kind == error_kind::QueueFull);
    cr_assert(Refusal.Team == "t");
    cr_assert(Refusal.Detail.starts_with("service s has room for"), "%s",
              Refusal.Detail.c_str());
    cr_assert(Refusal.Detail.find("bound ") != std::string::npos);
  }
  const caller_response Metrics = Gateway.getAsOperator("/metrics");
  cr_assert(Metrics.Body.find("ebonyvale_room_refusals_total{") !=
            std::string::npos);
}

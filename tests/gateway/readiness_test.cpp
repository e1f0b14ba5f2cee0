// What a gateway that is not ready says of the reason.
#include "gateway/captured_output.h"
#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// What the second instance lacks, from its start on or later.
enum class lack {
  Configuration,
  Upstreams,
  Store,
  FreshRead,
  Nothing,
  Stopped
};

struct readiness_row {
  lack Lacks;
  char Reason[32]; ///< empty: it is ready
};

/// Prepares the start of the second instance, which could get what it lacks
/// from the first one.
void prepareSecond(gateway_fixture &Gateway, lack Lacks) {
  Gateway.kill();
  if (Lacks == lack::Configuration)
    Gateway.Store.erase("op/config");
  if (Lacks == lack::Upstreams)
    for (const auto &Upstream : Gateway.Upstreams)
      Gateway.Store.erase(Upstream->key());
  if (Lacks == lack::Store)
    Gateway.Store.setFault(store_fault::Down);
}

} // namespace

ParameterizedTestParameters(readiness, says_what_is_missing) {
  static readiness_row Rows[] = {
      {lack::Configuration, "no_configuration"},
      {lack::Upstreams, "no_upstream"},
      {lack::Store, "no_configuration"},
      {lack::FreshRead, "configuration_not_confirmed"},
      {lack::Stopped, "leaving"},
      {lack::Nothing, ""}};
  return criterion_test_params(Rows);
}

/// A gateway that did not become ready answered probes without a reason and
/// logged none, so that whoever waited for it could not tell why.
ParameterizedTest(readiness_row *Row, readiness, says_what_is_missing) {
  captured_output Log;
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.LogLevel = "info";
  Settings.KeyBoundMs = 1000; // of which 300 are the margin
  gateway_fixture Gateway(Settings);
  prepareSecond(Gateway, Row->Lacks);
  const auto Second = Gateway.startGatewayInstance("i-2");
  Gateway.setOperatorTarget(*Second);
  const auto Answer = [&] { return Gateway.getAsOperator("/v1/ready"); };
  const bool IsReady = Row->Reason[0] == 0;
  const bool WasReady =
      IsReady || Row->Lacks == lack::FreshRead || Row->Lacks == lack::Stopped;
  if (WasReady)
    cr_assert(Gateway.waitFor([&] { return Answer().Status == 200; }));
  if (Row->Lacks == lack::FreshRead)
    Gateway.Store.setFault(store_fault::Down);
  if (Row->Lacks == lack::Stopped)
    Second->stop();
  const std::string Body =
      IsReady ? "ready\n" : std::string("not ready: ") + Row->Reason + "\n";
  std::string Last;
  cr_assert(Gateway.waitFor([&] {
    const caller_response Response = Answer();
    Last = Response.Body;
    return Last == Body && Response.Status == (IsReady ? 200 : 503);
  }),
            "%s instead of %s", Last.c_str(), Body.c_str());
  const std::string Line =
      IsReady ? std::string(R"("event":"ready")")
              : std::string(R"("event":"not_ready","reason":")") + Row->Reason;
  cr_assert(Gateway.waitFor([&] { return Log.linesWith(Line) > 0; }), "%s",
            Line.c_str());
  const caller_response Status = Gateway.getAsOperator("/status");
  cr_assert(Status.Body.find(std::string(R"("unready_reason":")") +
                             Row->Reason + "\"") != std::string::npos,
            "%s", Status.Body.c_str());
}

#include "daemon/router_fixture.h"
#include "decisions/request/trace_context.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>

using namespace ebonyvale;

namespace {

constexpr const char *CallerTraceparent =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

std::vector<nlohmann::json> readSpans(const std::string &Path) {
  std::vector<nlohmann::json> Spans;
  std::ifstream File(Path);
  for (std::string Line; std::getline(File, Line);)
    Spans.push_back(nlohmann::json::parse(
        Line)["resourceSpans"][0]["scopeSpans"][0]["spans"][0]);
  return Spans;
}

} // namespace

Test(tracing, spans_continue_the_trace_of_the_caller) {
  const std::string Path = std::tmpnam(nullptr);
  fixture_options Options;
  Options.AdjustSettings = [&Path](daemon_settings &Settings) {
    Settings.TraceFile = Path;
  };
  {
    router_fixture Router(Options);
    client_call Call;
    Call.Body = chatBody("hello", true);
    Call.Headers = {{"traceparent", CallerTraceparent}};
    cr_assert(Router.call(Call).Completed);
    const auto Spans = readSpans(Path);
    cr_assert(Spans.size() == 2);
    const nlohmann::json &Attempt = Spans[0];
    const nlohmann::json &Request = Spans[1];
    cr_assert(Request["traceId"] == "0af7651916cd43dd8448eb211c80319c");
    cr_assert(Request["parentSpanId"] == "b7ad6b7169203331");
    cr_assert(Attempt["traceId"] == Request["traceId"]);
    cr_assert(Attempt["parentSpanId"] == Request["spanId"]);
    // The engine received the attempt's span as its parent.
    cr_assert(Router.Engines[0]->record().countContaining(
                  "00-0af7651916cd43dd8448eb211c80319c-" +
                  Attempt["spanId"].get<std::string>()) == 1);
  }
  std::remove(Path.c_str());
}

Test(trace_context, rejects_malformed_headers) {
  cr_assert(parseTraceparent(CallerTraceparent)->traceparent() ==
            CallerTraceparent);
  const std::string Valid = CallerTraceparent;
  for (const std::string &Malformed :
       {std::string(), Valid.substr(1), Valid + "0", "01" + Valid.substr(2),
        "00-" + std::string(32, '0') + Valid.substr(35),
        Valid.substr(0, 36) + std::string(16, '0') + "-01",
        Valid.substr(0, 3) + "G" + Valid.substr(4)})
    cr_assert(!parseTraceparent(Malformed), "%s", Malformed.c_str());
}

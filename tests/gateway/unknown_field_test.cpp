// Fields that upstreams state and that the gateway does not know.
#include "gateway/captured_output.h"
#include "gateway/gateway_fleet.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using nlohmann::json;

namespace {

/// Returns the count of the field \p Name of \p Source as operators read it.
std::uint64_t countOf(gateway_fixture &Gateway, const char *Source,
                      const std::string &Name) {
  const json Status = json::parse(Gateway.getAsOperator("/status").Body);
  for (const json &Field : Status.value("unknown_fields", json::array()))
    if (Field.at("source") == Source && Field.at("name") == Name)
      return Field.at("count");
  return 0;
}

} // namespace

/// A statement that nothing reads must be seen on the first day.
Test(unknown_field, of_a_response_is_counted_and_logged_once) {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.LogLevel = "warn";
  gateway_fixture Gateway(Settings);
  captured_output Output;
  for (const auto &Upstream : Gateway.Upstreams)
    Upstream->ExtraHeaders = {{"Server-Mood", "3"}};
  constexpr int Requests = 5;
  for (int Request = 0; Request < Requests; ++Request) {
    const caller_response Response = Gateway.sendRequest(
        {.Path = "/read/1", .Id = fmt::format("id-{}", Request)});
    cr_assert(Response.Status == 200);
    cr_assert(Response.Headers.find("Server-Mood") == "3");
  }
  cr_assert(countOf(Gateway, "upstream", "Server-Mood") == Requests);
  Gateway.core().log().flush();
  cr_assert(Output.linesWith("\"event\":\"field_unknown\"") == 1);
  cr_assert(Output.linesWith("\"name\":\"Server-Mood\"") == 1);
}

/// What the platform is known to state must not hide what is new.
Test(unknown_field, is_none_that_fakes_of_the_platform_state) {
  gateway_fixture Gateway;
  fake_upstream &Stating = *Gateway.Upstreams[0];
  Stating.Limit = 1000;
  Stating.LeavingHeader = "Server-Leaving";
  Gateway.Upstreams[1]->Behavior = upstream_behavior::Full;
  Gateway.Upstreams[1]->RetryAfter = {"0.1"};
  for (const char *Path : {"/read/1", "/stream-on/1", "/order/1"})
    Gateway.sendRequest({.Path = Path, .Id = Path});
  cr_assert(Gateway.core().unknownFields().all().empty(), "%s",
            Gateway.core().unknownFields().all().front().Name.c_str());
}

Test(unknown_field, of_an_entry_is_counted) {
  gateway_fixture Gateway;
  json Entry = json::parse(Gateway.Upstreams[0]->entry("s"));
  Entry["mood"] = 3;
  Gateway.Store.put(Gateway.Upstreams[0]->key(), Entry.dump());
  cr_assert(Gateway.waitFor(
      [&] { return countOf(Gateway, "upstream_entry", "mood") == 1; }));
}

/// Names may be made up anew for each response.
Test(unknown_field, names_are_bounded) {
  unknown_fields Fields;
  std::size_t News = 0;
  constexpr std::size_t Names = 1000;
  for (std::size_t Name = 0; Name < Names; ++Name)
    News += Fields.add("upstream",
                       fmt::format("{}-{}", Name, std::string(Names, 'x')));
  cr_assert(News == unknown_fields::MaxNames);
  cr_assert(Fields.all().size() == unknown_fields::MaxNames);
  cr_assert(Fields.others() == Names - unknown_fields::MaxNames);
  cr_assert(Fields.all().front().Name.size() == unknown_fields::MaxNameLength);
}

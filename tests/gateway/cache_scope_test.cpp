// The scope in which engines cache the prompts of a request that is sent again
// after the set of teams whose cache is isolated has changed.
#include "gateway/gateway_fixture.h"
#include "net/scripted_server.h"
#include "platform/routing_document.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <string_view>
#include <utility>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;

namespace {

/// Returns a configuration whose team "t" has an isolated cache or not.
std::string configuration(int Version, bool IsIsolated) {
  std::string Document = routingDocument(Version, "\"key-1\"", 1e6, {});
  if (IsIsolated) {
    constexpr std::string_view Name = R"("name":"t",)";
    const std::size_t Team = Document.find(Name, Document.find("tenants"));
    Document.insert(Team + Name.size(), R"("dedicated":true,)");
  }
  return Document;
}

struct change_row {
  char Name[32];
  char Path[16];
  bool Before; ///< whether the cache of the team "t" is isolated
  bool After;
  char First[24]; ///< prefix of the scope at the first upstream
  char Second[24];
};

} // namespace

ParameterizedTestParameters(cache_scope, is_that_of_the_version_in_force) {
  static change_row Rows[] = {
      {"others", "/open/1", false, true, "shared:", "shared-"},
      {"others, back", "/open/1", true, false, "shared-", "shared:"},
      {"the team", "/read/1", false, true, "shared:", "team:t:"},
      {"the team, back", "/read/1", true, false, "team:t:", "shared:"},
      {"no change", "/open/1", true, true, "shared-", "shared-"},
  };
  return criterion_test_params(Rows);
}

/// A request that was admitted under an earlier version was sent again with the
/// scope of that version, which holds prompts of the team that has left it.
ParameterizedTest(change_row *Row, cache_scope,
                  is_that_of_the_version_in_force) {
  gateway_fixture Gateway;
  fake_upstream &Second = *Gateway.Upstreams[1];
  Gateway.Store.put("op/config", configuration(2, Row->Before));
  std::string FirstScope;
  std::string Id;
  scripted_server::peer *Waiting = nullptr;
  scripted_server First(Gateway.Base.get(), [&](scripted_server::peer &Peer) {
    if (!Peer.Received.ends_with("the body"))
      return;
    FirstScope = headerIn(Peer.Received, "Ebonyvale-Cache-Salt: ");
    Id = headerIn(Peer.Received, "Ebonyvale-Request-Id: ");
    Waiting = &Peer;
  });
  Gateway.useOnlyUpstream(First.address().Port);
  const auto Follows = [&](std::uint64_t Version) {
    return Gateway.core().routing()->Version == Version;
  };
  cr_assert(Gateway.waitFor([&] { return Follows(2); }));
  Gateway.startRequest(
      {.Path = Row->Path, .Segments = "manual:500,question:20"});
  cr_assert(Gateway.waitFor([&] { return Waiting != nullptr; }));
  Gateway.Store.put("op/config", configuration(3, Row->After));
  Gateway.Store.put(Second.key(), Second.entry("s"));
  cr_assert(Gateway.waitFor(
      [&] { return Follows(3) && Gateway.core().directory().find("u-2"); }));
  Waiting->send(fmt::format("HTTP/1.1 503 x\r\nEbonyvale-Request-Id: {}\r\n"
                            "Ebonyvale-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n",
                            Id));
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  cr_assert(Gateway.result().Status == 200, "%s: %d", Row->Name,
            Gateway.result().Status);
  cr_assert(Second.ReceivedRequests.size() == 1);
  const std::string SecondScope(Second.ReceivedRequests[0]
                                    .Head.Headers.find("Ebonyvale-Cache-Salt")
                                    .value_or(""));
  cr_assert(FirstScope.starts_with(Row->First), "%s: %s", Row->Name,
            FirstScope.c_str());
  cr_assert(SecondScope.starts_with(Row->Second), "%s: %s", Row->Name,
            SecondScope.c_str());
  cr_assert((FirstScope == SecondScope) == (Row->Before == Row->After));
}

// Streams of unknown origin that are resumed at an instance which has not read
// the latest changes of the store yet.
#include "gateway/versions_fleet.h"
#include "platform/routing_document.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <chrono>
#include <memory>
#include <string>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// What happens while the second instance is behind.
enum class unseen_change { None, Software, Service };

/// Two instances before two upstreams of one version. The second one learns of
/// changes late.
class late_fleet {
public:
  late_fleet() : Late(Gateway.startGatewayInstance("i-2")) {
    for (const auto &Upstream : Gateway.Upstreams) {
      Upstream->EventsNameSoftware = true;
      Upstream->EventInterval = 100ms;
    }
    cr_assert(Gateway.waitFor([&] {
      const instant Now = readBootClock();
      return Late->core().ready(Now) && Gateway.core().ready(Now) &&
             Late->core().roster().peers().size() == 1 &&
             Gateway.core().roster().peers().size() == 1 &&
             Late->core().ledOnlyTo("s", "h.example", "/stream-on/1", Now) &&
             Late->core().onlySoftware("s", Now);
    }));
  }

  /// Starts an upstream of another version, which takes all new streams.
  void release() {
    auto Next = std::make_unique<fake_upstream>(Gateway.Base.get(), "u-3");
    Next->Software = "v2";
    Next->EventsNameSoftware = true;
    Next->EventInterval = 100ms;
    for (const auto &Upstream : Gateway.Upstreams)
      Gateway.Store.put(Upstream->key(), Upstream->entry("s", true));
    Gateway.Store.put(Next->key(), Next->entry("s"));
    Gateway.Upstreams.push_back(std::move(Next));
    cr_assert(Gateway.waitFor([&] {
      return Gateway.core().directory().usable("s").size() == 1 &&
             Gateway.core().directory().find("u-3");
    }));
    cr_assert(!Late->core().directory().find("u-3"));
  }

  /// Leads the routes to another service, which the second upstream joins.
  void move() {
    std::string Document = routingDocument(2, "\"key-1\"", 1e6);
    const std::string Before = "\"backend\":\"s\"";
    for (std::size_t At = 0; (At = Document.find(Before)) != std::string::npos;)
      Document.replace(At, Before.size(), "\"backend\":\"t\"");
    Gateway.Upstreams[1]->Software = "v2";
    Gateway.Store.put(Gateway.Upstreams[1]->key(),
                      Gateway.Upstreams[1]->entry("t"));
    Gateway.Store.put("op/config", Document);
    cr_assert(Gateway.waitFor([&] {
      return Gateway.core().routing()->Version == 2 &&
             Gateway.core().directory().usable("t").size() == 1;
    }));
    cr_assert(Late->core().routing()->Version == 1);
  }

  gateway_fixture Gateway;
  std::unique_ptr<gateway_task> Late;
};

struct unseen_row {
  char Name[48];
  unseen_change Change;
  char Resumes[16]; ///< no instance has a record of it
  bool StoreAway;   ///< from the second instance
  int Status;
};

} // namespace

ParameterizedTestParameters(unseen_release, joins_no_streams) {
  static unseen_row Rows[] = {
      {"release, names no stream", unseen_change::Software, "", false, 503},
      {"release, record lost", unseen_change::Software, "s-lost", false, 503},
      {"release, store away", unseen_change::Software, "", true, 503},
      {"moved, names no stream", unseen_change::Service, "", false, 503},
      {"moved, store away", unseen_change::Service, "s-lost", true, 503},
      {"nothing", unseen_change::None, "", false, 200},
      {"nothing, record lost", unseen_change::None, "s-lost", false, 200},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(unseen_row *Row, unseen_release, joins_no_streams) {
  late_fleet Fleet;
  gateway_fixture &Gateway = Fleet.Gateway;
  Gateway.Store.setFault(store_fault::Down, "i-2");
  if (Row->Change == unseen_change::Software)
    Fleet.release();
  if (Row->Change == unseen_change::Service)
    Fleet.move();
  Gateway.startRequest({.Path = "/stream-on/1", .Id = "s-1"});
  cr_assert(Gateway.waitFor([&] {
    return Gateway.result().Body.find("piece 2") != std::string::npos;
  }));
  Gateway.disconnect();
  const std::string Begun = Gateway.result().Body;
  if (!Row->StoreAway)
    Gateway.Store.setFault(store_fault::None, "i-2");
  Gateway.setCallerTarget(*Fleet.Late);
  const caller_response Rest = Gateway.sendRequest({.Path = "/stream-on/1",
                                                    .Id = "rest-1",
                                                    .ResumeAfter = "2",
                                                    .Resumes = Row->Resumes});
  cr_assert(isOfOneVersion(Begun + Rest.Body), "%s: %s and %s", Row->Name,
            Begun.c_str(), Rest.Body.c_str());
  cr_assert(Rest.Status == Row->Status, "%s: %d", Row->Name, Rest.Status);
}

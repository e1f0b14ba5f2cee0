// Upstreams that have started again with another software version under their
// id, of which neither the store nor a lost connection has told yet.
#include "gateway/versions_fleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <chrono>
#include <string>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t FirstStart = 1'770'000'000'000; ///< Unix ms

/// Two instances before two upstreams of one version. No connection to an
/// upstream has been opened yet.
class unlisted_fleet {
public:
  unlisted_fleet() : Other(Gateway.startGatewayInstance("i-2")) {
    for (const auto &Upstream : Gateway.Upstreams) {
      Upstream->EventsNameSoftware = true;
      Upstream->EventInterval = 100ms;
      Upstream->Born = FirstStart;
    }
    FirstEntry = first().entry("s");
    FirstDraining = first().entry("s", /*Draining=*/true);
    use(true, true);
    cr_assert(Gateway.waitFor([&] {
      return Other->core().ready(readBootClock()) &&
             Other->core().roster().peers().size() == 1 &&
             Gateway.core().roster().peers().size() == 1;
    }));
  }

  fake_upstream &first() { return *Gateway.Upstreams[0]; }
  fake_upstream &second() { return *Gateway.Upstreams[1]; }

  /// Starts the first upstream as another version. Its entry stays.
  void restartFirst() {
    first().Software = "v2";
    first().Born += 1000;
  }

  /// Marks the upstreams as draining that are not to be used.
  void use(bool First, bool Second) {
    Gateway.Store.put(first().key(), First ? FirstEntry : FirstDraining);
    Gateway.Store.put(second().key(), second().entry("s", !Second));
    const auto Knows = [&](gateway_core &Core) {
      const upstream_entry *Entries[] = {Core.directory().find("u-1"),
                                         Core.directory().find("u-2")};
      return Entries[0] && Entries[1] && Entries[0]->Born == FirstStart &&
             Entries[1]->Born == FirstStart && Entries[0]->isOpen() == First &&
             Entries[1]->isOpen() == Second;
    };
    cr_assert(Gateway.waitFor(
        [&] { return Knows(Gateway.core()) && Knows(Other->core()); }));
  }

  /// Begins the stream "s-1" at the first instance and leaves after its second
  /// event. Returns what has arrived.
  std::string begin() {
    Gateway.startRequest({.Path = "/stream-on/1", .Id = "s-1"});
    cr_assert(Gateway.waitFor([&] {
      return Gateway.result().Body.find("piece 2") != std::string::npos;
    }));
    Gateway.disconnect();
    return Gateway.result().Body;
  }

  gateway_fixture Gateway;
  std::unique_ptr<gateway_task> Other;

private:
  std::string FirstEntry;
  std::string FirstDraining;
};

struct resumed_row {
  char Name[48];
  bool Restarts;       ///< the first upstream
  bool BeginsThere;    ///< at the first upstream; otherwise it is resumed there
  bool AtOther;        ///< resumed at the other instance
  bool BeginnerIsLost; ///< the instance that began the stream is killed
  int Status;
};

} // namespace

ParameterizedTestParameters(unlisted_process, a_resumed_stream_is_not_joined) {
  static resumed_row Rows[] = {
      {"begun there", true, true, false, false, 503},
      {"begun there, resumed elsewhere", true, true, true, false, 503},
      {"begun there, beginner lost", true, true, true, true, 503},
      {"resumed there", true, false, false, false, 503},
      {"resumed there, elsewhere", true, false, true, false, 503},
      {"not restarted, begun there", false, true, true, false, 200},
      {"not restarted, resumed there", false, false, true, false, 200},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(resumed_row *Row, unlisted_process,
                  a_resumed_stream_is_not_joined) {
  unlisted_fleet Fleet;
  gateway_fixture &Gateway = Fleet.Gateway;
  Fleet.use(Row->BeginsThere, !Row->BeginsThere);
  if (Row->Restarts)
    Fleet.restartFirst();
  const std::string Begun = Fleet.begin();
  Fleet.use(!Row->BeginsThere, Row->BeginsThere);
  if (Row->BeginnerIsLost)
    Gateway.kill();
  if (Row->AtOther)
    Gateway.setCallerTarget(*Fleet.Other);
  const caller_response Rest = Gateway.sendRequest({.Path = "/stream-on/1",
                                                    .Id = "rest-1",
                                                    .ResumeAfter = "2",
                                                    .Resumes = "s-1"});
  cr_assert(isOfOneVersion(Begun + Rest.Body), "%s: %s and %s", Row->Name,
            Begun.c_str(), Rest.Body.c_str());
  cr_assert(Rest.Status == Row->Status, "%s: %d", Row->Name, Rest.Status);
}

struct unnamed_row {
  char Name[32];
  bool Restarts; ///< the upstream that begins the stream
  bool AtOther;  ///< resumed at the other instance
  int Status;
};

ParameterizedTestParameters(unlisted_process,
                            a_stream_without_a_name_is_not_joined) {
  static unnamed_row Rows[] = {
      {"resumed at the same", true, false, 503},
      {"resumed elsewhere", true, true, 503},
      {"not restarted", false, false, 200},
      {"not restarted, elsewhere", false, true, 200},
  };
  return criterion_test_params(Rows);
}

/// The caller does not name the stream that it resumes.
ParameterizedTest(unnamed_row *Row, unlisted_process,
                  a_stream_without_a_name_is_not_joined) {
  unlisted_fleet Fleet;
  gateway_fixture &Gateway = Fleet.Gateway;
  const auto KnowsOrigins = [](gateway_core &Core) {
    const instant Now = readBootClock();
    return Core.onlySoftware("s", Now) &&
           Core.ledOnlyTo("s", "h.example", "/stream-on/1", Now);
  };
  cr_assert(Gateway.waitFor([&] {
    return KnowsOrigins(Gateway.core()) && KnowsOrigins(Fleet.Other->core());
  }));
  Fleet.use(true, false);
  if (Row->Restarts)
    Fleet.restartFirst();
  const std::string Begun = Fleet.begin();
  Fleet.use(false, true);
  if (Row->AtOther)
    Gateway.setCallerTarget(*Fleet.Other);
  const caller_response Rest = Gateway.sendRequest(
      {.Path = "/stream-on/1", .Id = "rest-1", .ResumeAfter = "2"});
  cr_assert(isOfOneVersion(Begun + Rest.Body), "%s: %s and %s", Row->Name,
            Begun.c_str(), Rest.Body.c_str());
  cr_assert(Rest.Status == Row->Status, "%s: %d", Row->Name, Rest.Status);
}

struct continued_row {
  char Name[16];
  bool Restarts; ///< the upstream that may continue the stream
};

ParameterizedTestParameters(unlisted_process, a_response_is_not_joined) {
  static continued_row Rows[] = {{"restarted", true}, {"runs on", false}};
  return criterion_test_params(Rows);
}

/// The gateway itself continues the stream.
ParameterizedTest(continued_row *Row, unlisted_process,
                  a_response_is_not_joined) {
  unlisted_fleet Fleet;
  gateway_fixture &Gateway = Fleet.Gateway;
  Fleet.use(false, true);
  // Retries are a share of the requests.
  for (int Request = 0; Request < 10; ++Request)
    cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
  if (Row->Restarts)
    Fleet.restartFirst();
  Fleet.second().ResetEvery = 1;
  Fleet.second().OnRunEnd = [](std::string_view, bool) {};
  Fleet.second().EventInterval = 200ms;
  Gateway.startRequest({.Path = "/stream-on/1", .Id = "s-1"});
  cr_assert(Gateway.waitFor([&] {
    return Gateway.result().Body.find("piece 1") != std::string::npos;
  }));
  Fleet.use(true, true);
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  cr_assert(isOfOneVersion(Gateway.result().Body), "%s",
            Gateway.result().Body.c_str());
  cr_assert(Gateway.result().IsComplete == !Row->Restarts, "%s: %s", Row->Name,
            Gateway.result().Body.c_str());
}

/// Its entry is read within the pause.
Test(unlisted_process, a_pause_that_it_asks_for_is_kept) {
  unlisted_fleet Fleet;
  gateway_fixture &Gateway = Fleet.Gateway;
  Fleet.use(true, false);
  Fleet.restartFirst();
  Fleet.first().Behavior = upstream_behavior::Full;
  Fleet.first().RetryAfter = {"2"};
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 503);
  runLoopFor(Gateway.Base.get(), 600ms);
  Gateway.Store.put(Fleet.first().key(), Fleet.first().entry("s"));
  cr_assert(Gateway.waitFor([&] {
    return Gateway.core().directory().find("u-1")->Born == Fleet.first().Born;
  }));
  int Arrivals = 0;
  Fleet.first().OnArrival = [&](const http_request &) { ++Arrivals; };
  for (int Request = 0; Request < 4; ++Request)
    cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 503);
  cr_assert(Arrivals == 0, "%d requests", Arrivals);
}

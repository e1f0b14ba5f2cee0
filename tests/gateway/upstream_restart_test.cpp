// Lost connections to upstreams, some of which have started again with another
// software version under their id.
#include "gateway/direct_caller.h"
#include "gateway/proxied_documents.h"
#include "gateway/versions_fleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <memory>
#include <string>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t FirstStart = 1'770'000'000'000; ///< Unix ms

/// Lists u-2 with another version than u-1 for a moment, and then u-1 only.
/// Entries and reports state \p Start, unless it is 0.
void listOtherVersion(gateway_fixture &Gateway, std::int64_t Start) {
  for (const auto &Upstream : Gateway.Upstreams) {
    Upstream->EventsNameSoftware = true;
    Upstream->EventInterval = 10ms;
    Upstream->Born = Start;
    Gateway.Store.put(Upstream->key(), Upstream->entry("s"));
  }
  fake_upstream &Second = *Gateway.Upstreams[1];
  Second.Software = "v0";
  Gateway.Store.put(Second.key(), Second.entry("s"));
  const auto Knows = [&](std::string_view Version) {
    const upstream_entry *Entry = Gateway.core().directory().find("u-2");
    return Entry && Entry->Software == Version;
  };
  cr_assert(Gateway.waitFor([&] { return Knows("v0"); }));
  Gateway.Store.erase(Second.key());
  cr_assert(Gateway.waitFor(
      [&] { return Gateway.core().directory().all().size() == 1; }));
}

/// Leaves u-1 as the only upstream of its version, which states its start and
/// breaks streams off. The first instance has lost a connection to it.
void breakOffAtFirst(versions_fleet &Fleet) {
  fake_upstream &First = *Fleet.Gateway.Upstreams[0];
  First.Born = FirstStart;
  Fleet.useOnly("v1");
  Fleet.Gateway.Store.erase(Fleet.Gateway.Upstreams[2]->key());
  cr_assert(Fleet.Gateway.waitFor([&] {
    return std::ranges::all_of(Fleet.Others, [](const auto &Other) {
      return Other->core().directory().all().size() == 3;
    });
  }));
  First.Behavior = upstream_behavior::TruncateStream;
  cr_assert(not Fleet.request(0, {.Path = "/stream-on/1", .Id = "broken"})
                    .IsComplete);
}

} // namespace

struct restart_row {
  char Name[40];
  bool StatesStart; ///< entries and reports state when a process has started
  bool EndsIdle;    ///< the connections are idle when the upstreams restart
  bool StoreReturns;
};

ParameterizedTestParameters(software_versions,
                            a_restart_under_the_same_id_continues_no_stream) {
  static restart_row Rows[] = {
      {"idle, store away", false, true, false},
      {"refused meanwhile, store away", false, false, false},
      {"store returns", false, true, true},
      {"start stated, idle, store away", true, true, false},
      {"start stated, refused, store away", true, false, false}};
  return criterion_test_params(Rows);
}

/// The upstream starts again as another version under its id and address. The
/// store cannot tell, but the connections were lost.
ParameterizedTest(restart_row *Row, software_versions,
                  a_restart_under_the_same_id_continues_no_stream) {
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          upstream_links::Proxied);
  proxied_documents &Links = Gateway.linksOf("i-1");
  listOtherVersion(Gateway, Row->StatesStart ? FirstStart : 0);
  for (int Stream = 0; Stream < 4; ++Stream)
    cr_assert(Gateway
                  .sendRequest({.Path = "/stream-on/1",
                                .Id = fmt::format("s-{}", Stream)})
                  .Status == 200);
  Gateway.Store.setFault(store_fault::Down);
  if (Row->EndsIdle) {
    Links.setFault(proxy_fault::Reset);
    runLoopFor(Gateway.Base.get(), 50ms);
  } else {
    Links.setFault(proxy_fault::Unreachable);
    cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 503);
  }
  fake_upstream &First = *Gateway.Upstreams[0];
  First.Software = "v2";
  First.Born += Row->StatesStart ? 1000 : 0;
  Links.setFault(proxy_fault::None);
  if (Row->StoreReturns) {
    Gateway.Store.put(First.key(), First.entry("s"));
    Gateway.Store.setFault(store_fault::None);
  }
  for (int Stream = 0; Stream < 4; ++Stream) {
    const caller_response Rest =
        Gateway.sendRequest({.Path = "/stream-on/1",
                             .Id = fmt::format("rest-{}", Stream),
                             .ResumeAfter = "2",
                             .Resumes = fmt::format("s-{}", Stream)});
    cr_assert(Rest.Body.find(" of v2\n") == std::string::npos, "%s: %s",
              Row->Name, Rest.Body.c_str());
    cr_assert(Rest.Status == 503, "%d", Rest.Status);
  }
  // Other requests are served.
  cr_assert(Gateway.waitFor(
      [&] { return Gateway.sendRequest({.Path = "/read/1"}).Status == 200; }));
}

/// Only one of two instances had a connection to the upstream that restarts.
Test(software_versions, a_restart_that_a_peer_has_seen_continues_no_stream) {
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          upstream_links::Proxied);
  const auto Other = Gateway.startGatewayInstance("i-2");
  fake_upstream &First = *Gateway.Upstreams[0];
  First.EventsNameSoftware = true;
  First.EventInterval = 40ms;
  Gateway.Store.erase(Gateway.Upstreams[1]->key());
  cr_assert(Gateway.waitFor([&] {
    return Other->core().ready(readBootClock()) &&
           Other->core().roster().peers().size() == 1 &&
           Gateway.core().roster().peers().size() == 1 &&
           Other->core().directory().all().size() == 1;
  }));
  Gateway.startRequest({.Path = "/stream-on/1", .Id = "s-1"});
  cr_assert(Gateway.waitFor([&] {
    return Gateway.result().Body.find("piece 2") != std::string::npos;
  }));
  Gateway.Store.setFault(store_fault::Down);
  proxied_documents &Links = Gateway.linksOf("i-1");
  Links.setFault(proxy_fault::Reset);
  First.Software = "v2";
  Links.setFault(proxy_fault::None);
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  runLoopFor(Gateway.Base.get(), 20ms);
  Gateway.setCallerTarget(*Other);
  const caller_response Rest = Gateway.sendRequest({.Path = "/stream-on/1",
                                                    .Id = "rest-1",
                                                    .ResumeAfter = "2",
                                                    .Resumes = "s-1"});
  cr_assert(Rest.Body.find(" of v2\n") == std::string::npos, "%s",
            Rest.Body.c_str());
  cr_assert(Rest.Status == 503, "%d", Rest.Status);
}

struct lost_connection_row {
  char Name[40];
  bool BeginsAfterLoss; ///< otherwise the stream was complete before it
  int Losses;
  bool StoreAway;
};

ParameterizedTestParameters(software_versions,
                            a_lost_connection_refuses_no_resumed_stream) {
  static lost_connection_row Rows[] = {
      {"begun before, store away", false, 1, true},
      {"begun after, store away", true, 1, true},
      {"begun after several losses", true, 4, true},
      {"begun before, in touch", false, 1, false},
      {"begun after, in touch", true, 1, false},
  };
  return criterion_test_params(Rows);
}

/// The process that lost its connections goes on running.
ParameterizedTest(lost_connection_row *Row, software_versions,
                  a_lost_connection_refuses_no_resumed_stream) {
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          upstream_links::Proxied);
  proxied_documents &Links = Gateway.linksOf("i-1");
  listOtherVersion(Gateway, FirstStart);
  constexpr int Streams = 4;
  const auto BeginStreams = [&] {
    for (int Stream = 0; Stream < Streams; ++Stream)
      cr_assert(Gateway
                    .sendRequest({.Path = "/stream-on/1",
                                  .Id = fmt::format("s-{}", Stream)})
                    .Status == 200);
  };
  const auto LoseConnections = [&] {
    Links.setFault(proxy_fault::Reset);
    runLoopFor(Gateway.Base.get(), 30ms);
    Links.setFault(proxy_fault::None);
  };
  if (Row->BeginsAfterLoss)
    cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
  else
    BeginStreams();
  if (Row->StoreAway)
    Gateway.Store.setFault(store_fault::Down);
  for (int Loss = 0; Loss < Row->Losses; ++Loss) {
    LoseConnections();
    cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
  }
  if (Row->BeginsAfterLoss)
    BeginStreams();
  else
    LoseConnections();
  int WentOn = 0;
  for (int Stream = 0; Stream < Streams; ++Stream) {
    const caller_response Rest =
        Gateway.sendRequest({.Path = "/stream-on/1",
                             .Id = fmt::format("rest-{}", Stream),
                             .ResumeAfter = "2",
                             .Resumes = fmt::format("s-{}", Stream)});
    WentOn += Rest.Status == 200 && Rest.IsComplete ? 1 : 0;
  }
  cr_assert(WentOn == Streams, "%s: %d of %d streams went on", Row->Name,
            WentOn, Streams);
}

/// Only the first instance has lost a connection, and has told the others.
Test(software_versions, a_loss_that_a_peer_reports_refuses_no_resumed_stream) {
  versions_fleet Fleet(3);
  fake_upstream &First = *Fleet.Gateway.Upstreams[0];
  breakOffAtFirst(Fleet);
  First.Behavior = upstream_behavior::Respond;
  runLoopFor(Fleet.Gateway.Base.get(), 30ms);
  Fleet.Gateway.Store.setFault(store_fault::Down);
  constexpr int Streams = 6;
  int WentOn = 0;
  for (int Stream = 0; Stream < Streams; ++Stream) {
    const std::string Id = fmt::format("s-{}", Stream);
    const std::size_t BeganAt = 1 + Stream % 2;
    const std::string Begun = Fleet.begin(BeganAt, Id);
    WentOn += Fleet.resume(3 - BeganAt, Id, Begun).Status == 200 ? 1 : 0;
  }
  cr_assert(WentOn == Streams, "%d of %d streams went on", WentOn, Streams);
}

/// The upstream breaks a stream off right after it has begun, while peers have
/// put the upstream in doubt already.
Test(software_versions, a_stream_that_breaks_off_at_once_is_resumed) {
  versions_fleet Fleet(3);
  fake_upstream &First = *Fleet.Gateway.Upstreams[0];
  breakOffAtFirst(Fleet);
  runLoopFor(Fleet.Gateway.Base.get(), 30ms);
  const caller_response Begun =
      Fleet.request(1, {.Path = "/stream-on/1", .Id = "s-1"});
  cr_assert(Begun.Body.find("piece 2") != std::string::npos);
  cr_assert(not Begun.IsComplete);
  First.Behavior = upstream_behavior::Respond;
  const caller_response Rest = Fleet.resume(2, "s-1", Begun.Body);
  cr_assert(Rest.Status == 200, "%d", Rest.Status);
}

Test(software_versions, a_stream_whose_origin_is_confirmed_later_goes_on) {
  gateway_fixture Gateway;
  fake_upstream &First = *Gateway.Upstreams[0];
  fake_upstream &Second = *Gateway.Upstreams[1];
  First.Born = Second.Born = FirstStart;
  Gateway.useOnlyUpstream(First.port());
  First.Behavior = upstream_behavior::TruncateStream;
  cr_assert(not Gateway.sendRequest({.Path = "/stream-on/0", .Id = "s-0"})
                    .IsComplete);
  First.Behavior = upstream_behavior::Respond;
  First.EventInterval = 50ms;
  First.ResetEvery = 1;
  First.OnRunEnd = [](std::string_view, bool) {};
  // The upstream is avoided for a while.
  int Tries = 0;
  do {
    runLoopFor(Gateway.Base.get(), 100ms);
    Gateway.startRequest(
        {.Path = "/stream-on/1", .Id = fmt::format("s-{}", ++Tries)});
    cr_assert(Gateway.waitFor([&] { return !Gateway.result().Body.empty(); }));
  } while (Gateway.result().Status != 200 && Tries < 30);
  Gateway.Store.put(Second.key(), Second.entry("s"));
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  cr_assert(Gateway.result().IsComplete, "'%s'", Gateway.result().Body.c_str());
  cr_assert(Gateway.result().Body == fake_upstream::events(0), "'%s'",
            Gateway.result().Body.c_str());
}

/// The instance sends nothing any more once its caller has the first event.
Test(software_versions, a_stream_of_an_instance_lost_at_its_begin_is_resumed) {
  versions_fleet Fleet(3);
  gateway_core &Lost = Fleet.Others[0]->core();
  peer_messenger *Messenger = Lost.messenger();
  constexpr int Streams = 8;
  int WentOn = 0;
  for (int Stream = 0; Stream < Streams; ++Stream) {
    const std::string Id = fmt::format("s-{}", Stream);
    Lost.setMessenger(Messenger);
    Fleet.Gateway.setCallerTarget(*Fleet.Others[0]);
    Fleet.Gateway.startRequest({.Path = "/stream-on/1", .Id = Id});
    cr_assert(Fleet.Gateway.waitFor([&] {
      return Fleet.Gateway.result().Body.find("piece 1") != std::string::npos;
    }));
    Lost.setMessenger(nullptr);
    const std::string Begun = Fleet.Gateway.result().Body;
    Fleet.Gateway.disconnect();
    WentOn += Fleet.resume(0, Id, Begun).Status == 200 ? 1 : 0;
  }
  Lost.setMessenger(Messenger);
  cr_assert(WentOn == Streams, "%d of %d streams went on", WentOn, Streams);
}

ParameterizedTestParameters(software_versions,
                            a_repeated_id_does_not_join_two_streams) {
  static char Ids[][8] = {"", "same"};
  return cr_make_param_array(char[8], Ids, 2);
}

/// An earlier stream with the id is recorded when the upstream has restarted.
ParameterizedTest(char *Id, software_versions,
                  a_repeated_id_does_not_join_two_streams) {
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          upstream_links::Proxied);
  proxied_documents &Links = Gateway.linksOf("i-1");
  listOtherVersion(Gateway, FirstStart);
  fake_upstream &First = *Gateway.Upstreams[0];
  fake_upstream &Second = *Gateway.Upstreams[1];
  cr_assert(Gateway.sendRequest({.Path = "/stream-on/1", .Id = Id}).Status ==
            200);
  Second.Software = "v1";
  Gateway.Store.put(Second.key(), Second.entry("s"));
  cr_assert(Gateway.waitFor(
      [&] { return Gateway.core().directory().all().size() == 2; }));
  Gateway.Store.setFault(store_fault::Down);
  Links.setFault(proxy_fault::Reset, "u-1");
  runLoopFor(Gateway.Base.get(), 50ms);
  Links.setFault(proxy_fault::None, "u-1");
  First.Software = "v2";
  First.Born += 1000;
  First.Behavior = upstream_behavior::TruncateStream;
  for (int Stream = 0; Stream < 8; ++Stream) {
    const caller_response Response =
        Gateway.sendRequest({.Path = "/stream-on/1", .Id = Id});
    cr_assert(isOfOneVersion(Response.Body), "%s", Response.Body.c_str());
  }
}

/// No connection is open that would show the restart.
Test(software_versions, a_restart_after_a_statement_continues_no_stream) {
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          upstream_links::Proxied);
  proxied_documents &Links = Gateway.linksOf("i-1");
  listOtherVersion(Gateway, FirstStart);
  fake_upstream &First = *Gateway.Upstreams[0];
  cr_assert(Gateway.sendRequest({.Path = "/stream-on/1", .Id = "s-1"}).Status ==
            200);
  Gateway.Store.setFault(store_fault::Down);
  Links.setFault(proxy_fault::Reset);
  runLoopFor(Gateway.Base.get(), 50ms);
  Links.setFault(proxy_fault::None);
  First.ExtraHeaders = {{"Connection", "close"}};
  const auto Resume = [&](const std::string &Id) {
    return Gateway.sendRequest({.Path = "/stream-on/1",
                                .Id = Id,
                                .ResumeAfter = "2",
                                .Resumes = "s-1"});
  };
  Resume("rest-1");
  First.Software = "v2";
  First.Born += 1000;
  const caller_response Rest = Resume("rest-2");
  cr_assert(Rest.Body.find(" of v2\n") == std::string::npos, "%s",
            Rest.Body.c_str());
}

/// The service has had one version for as long as streams are remembered.
Test(software_versions, a_restart_with_the_first_other_version_continues_none) {
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          upstream_links::Proxied);
  fake_upstream &Only = *Gateway.Upstreams[0];
  Only.EventsNameSoftware = true;
  Only.Born = FirstStart;
  Gateway.Store.put(Only.key(), Only.entry("s"));
  Gateway.Store.erase(Gateway.Upstreams[1]->key());
  for (int Part = 0; Part < 4; ++Part)
    runLoopFor(Gateway.Base.get(), stream_origins::KeepFor / 4 + 250ms);
  for (int Stream = 0; Stream < 4; ++Stream)
    cr_assert(Gateway
                  .sendRequest({.Path = "/stream-on/1",
                                .Id = fmt::format("s-{}", Stream)})
                  .Status == 200);
  proxied_documents &Links = Gateway.linksOf("i-1");
  Links.setFault(proxy_fault::Reset);
  runLoopFor(Gateway.Base.get(), 50ms);
  Links.setFault(proxy_fault::None);
  Only.Software = "v2";
  Only.Born += 1000;
  for (int Stream = 0; Stream < 4; ++Stream) {
    const caller_response Rest =
        Gateway.sendRequest({.Path = "/stream-on/1",
                             .Id = fmt::format("rest-{}", Stream),
                             .ResumeAfter = "2",
                             .Resumes = fmt::format("s-{}", Stream)});
    cr_assert(Rest.Body.find(" of v2\n") == std::string::npos, "%s",
              Rest.Body.c_str());
    cr_assert(Rest.Status == 503, "%d", Rest.Status);
  }
}

struct cut_row {
  char Name[16];
  bool Restarts; ///< behind the cut path, with other software
};

ParameterizedTestParameters(software_versions,
                            a_restart_behind_a_cut_path_continues_no_stream) {
  static cut_row Rows[] = {{"restarted", true}, {"runs on", false}};
  return criterion_test_params(Rows);
}

/// The path was cut for so long that no connection tells of the restart.
ParameterizedTest(cut_row *Row, software_versions,
                  a_restart_behind_a_cut_path_continues_no_stream) {
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          upstream_links::Proxied);
  const auto Relay = Gateway.startGatewayInstance("i-2");
  proxied_documents &Links = Gateway.linksOf("i-1");
  listOtherVersion(Gateway, FirstStart);
  cr_assert(Gateway.waitFor([&] {
    return Relay->core().ready(readBootClock()) &&
           Gateway.core().roster().peers().size() == 1;
  }));
  cr_assert(Gateway.sendRequest({.Path = "/stream-on/1", .Id = "s-1"}).Status ==
            200);
  const auto IsLost = [&] {
    return Gateway.core()
        .upstreamPaths()
        .lostSince(*Gateway.core().directory().find("u-1"))
        .has_value();
  };
  Links.setFault(proxy_fault::Partition);
  cr_assert(Gateway.waitFor(IsLost));
  runLoopFor(Gateway.Base.get(), 2 * unconfirmed_upstreams::ListingTime);
  if (Row->Restarts) {
    Gateway.Upstreams[0]->Software = "v2";
    Gateway.Upstreams[0]->Born += 1000;
  }
  Links.setFault(proxy_fault::None);
  cr_assert(Gateway.waitFor([&] { return !IsLost(); }));
  const caller_response Rest = Gateway.sendRequest({.Path = "/stream-on/1",
                                                    .Id = "rest-1",
                                                    .ResumeAfter = "2",
                                                    .Resumes = "s-1"});
  cr_assert(Rest.Body.find(" of v2\n") == std::string::npos, "%s: %s",
            Row->Name, Rest.Body.c_str());
  cr_assert(Rest.Status == (Row->Restarts ? 503 : 200), "%s: %d", Row->Name,
            Rest.Status);
}

/// The gateway reads the request before the end of its connection.
Test(software_versions, a_restart_in_a_freeze_continues_no_stream) {
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          upstream_links::Proxied);
  proxied_documents &Links = Gateway.linksOf("i-1");
  listOtherVersion(Gateway, FirstStart);
  const client_request Rest = Gateway.makeRequest({.Path = "/stream-on/1",
                                                   .Id = "rest-1",
                                                   .ResumeAfter = "2",
                                                   .Resumes = "s-1"});
  direct_caller Caller(Rest.Server);
  cr_assert(Gateway.sendRequest({.Path = "/stream-on/1", .Id = "s-1"}).Status ==
            200);
  Caller.send(Rest);
  Links.setFault(proxy_fault::Reset);
  Links.setFault(proxy_fault::None);
  Gateway.Upstreams[0]->Software = "v2";
  Gateway.Upstreams[0]->Born += 1000;
  cr_assert(Gateway.waitFor(
      [&] { return Caller.receive().find("\r\n\r\n") != std::string::npos; }));
  runLoopFor(Gateway.Base.get(), 200ms);
  const std::string Response = Caller.receive();
  cr_assert(Response.starts_with("HTTP/1.1 503") &&
                Response.find(" of v2\n") == std::string::npos,
            "%s", Response.c_str());
}

struct relayed_row {
  char Name[32];
  bool EndsConnections; ///< those of the relay to the upstream
  bool Restarts;        ///< the upstream, with other software
};

ParameterizedTestParameters(software_versions,
                            a_relay_continues_no_stream_at_other_software) {
  static relayed_row Rows[] = {{"nothing lost", false, false},
                               {"connections lost", true, false},
                               {"restarted", true, true}};
  return criterion_test_params(Rows);
}

/// No connection of the resuming instance shows the restart.
ParameterizedTest(relayed_row *Row, software_versions,
                  a_relay_continues_no_stream_at_other_software) {
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          upstream_links::Proxied);
  const auto Relay = Gateway.startGatewayInstance("i-2");
  listOtherVersion(Gateway, FirstStart);
  cr_assert(Gateway.waitFor([&] {
    return Relay->core().ready(readBootClock()) &&
           Gateway.core().roster().peers().size() == 1 &&
           Relay->core().roster().peers().size() == 1 &&
           Relay->core().directory().all().size() == 1;
  }));
  cr_assert(Gateway.sendRequest({.Path = "/stream-on/1", .Id = "s-1"}).Status ==
            200);
  Gateway.linksOf("i-1").setFault(proxy_fault::Partition);
  cr_assert(Gateway.waitFor([&] {
    return Gateway.core()
        .upstreamPaths()
        .lostSince(*Gateway.core().directory().find("u-1"))
        .has_value();
  }));
  runLoopFor(Gateway.Base.get(), 2 * unconfirmed_upstreams::ListingTime);
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
  proxied_documents &Links = Gateway.linksOf("i-2");
  if (Row->EndsConnections) {
    Links.setFault(proxy_fault::Reset);
    runLoopFor(Gateway.Base.get(), 50ms);
    Links.setFault(proxy_fault::None);
  }
  if (Row->Restarts) {
    Gateway.Upstreams[0]->Software = "v2";
    Gateway.Upstreams[0]->Born += 1000;
  }
  const caller_response Rest = Gateway.sendRequest({.Path = "/stream-on/1",
                                                    .Id = "rest-1",
                                                    .ResumeAfter = "2",
                                                    .Resumes = "s-1"});
  cr_assert(Rest.Body.find(" of v2\n") == std::string::npos, "%s: %s",
            Row->Name, Rest.Body.c_str());
  cr_assert(Rest.Status == (Row->Restarts ? 503 : 200), "%s: %d", Row->Name,
            Rest.Status);
}

/// The relay has lost its connections to the upstream that restarted.
Test(software_versions, a_stream_begun_through_a_relay_is_of_one_version) {
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          upstream_links::Proxied);
  const auto Relay = Gateway.startGatewayInstance("i-2");
  listOtherVersion(Gateway, FirstStart);
  fake_upstream &First = *Gateway.Upstreams[0];
  fake_upstream &Second = *Gateway.Upstreams[1];
  Second.Software = "v1";
  Gateway.Store.put(Second.key(), Second.entry("s"));
  const auto Knows = [](gateway_core &Core) {
    const upstream_entry *Entry = Core.directory().find("u-2");
    return Core.ready(readBootClock()) && Core.roster().peers().size() == 1 &&
           Core.directory().find("u-1") && Entry && Entry->Software == "v1";
  };
  cr_assert(Gateway.waitFor(
      [&] { return Knows(Gateway.core()) && Knows(Relay->core()); }));
  Gateway.linksOf("i-1").setFault(proxy_fault::Partition);
  cr_assert(Gateway.waitFor(
      [&] { return Gateway.core().upstreamPaths().lostCount() == 2; }));
  runLoopFor(Gateway.Base.get(), 2 * unconfirmed_upstreams::ListingTime);
  for (int Request = 0; Request < 4; ++Request)
    cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
  Gateway.linksOf("i-2").setFault(proxy_fault::Reset, "u-1");
  runLoopFor(Gateway.Base.get(), 50ms);
  Gateway.linksOf("i-2").setFault(proxy_fault::None, "u-1");
  First.Software = "v2";
  First.Born += 1000;
  First.Behavior = upstream_behavior::TruncateStream;
  for (int Stream = 0; Stream < 8; ++Stream) {
    const caller_response Response = Gateway.sendRequest(
        {.Path = "/stream-on/1", .Id = fmt::format("s-{}", Stream)});
    cr_assert(isOfOneVersion(Response.Body), "%s", Response.Body.c_str());
  }
}

/// The end of the connection on which a stream runs is read last.
Test(software_versions, a_restart_of_two_at_a_time_continues_no_stream) {
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          upstream_links::Proxied);
  proxied_documents &Links = Gateway.linksOf("i-1");
  listOtherVersion(Gateway, FirstStart);
  fake_upstream &Second = *Gateway.Upstreams[1];
  Second.Software = "v1";
  Gateway.Store.put(Second.key(), Second.entry("s"));
  cr_assert(Gateway.waitFor(
      [&] { return Gateway.core().directory().all().size() == 2; }));
  std::vector<std::unique_ptr<direct_caller>> Callers;
  for (const auto &Upstream : Gateway.Upstreams)
    Upstream->EventInterval = 300ms;
  const auto DrainAllBut = [&](const fake_upstream *Used) {
    for (const auto &Upstream : Gateway.Upstreams)
      Gateway.Store.put(
          Upstream->key(),
          Upstream->entry("s", Used != nullptr && Upstream.get() != Used));
    runLoopFor(Gateway.Base.get(), 50ms);
  };
  for (const auto &Upstream : Gateway.Upstreams) {
    DrainAllBut(Upstream.get());
    const client_request Request =
        Gateway.makeRequest({.Path = "/stream-on/1", .Id = Upstream->id()});
    Callers.push_back(std::make_unique<direct_caller>(Request.Server));
    Callers.back()->send(Request);
    cr_assert(Gateway.waitFor([&] {
      return Callers.back()->receive().find("piece 1") != std::string::npos;
    }));
  }
  DrainAllBut(nullptr);
  Links.setFault(proxy_fault::Reset);
  Links.setFault(proxy_fault::None);
  for (const auto &Upstream : Gateway.Upstreams) {
    Upstream->Software = "v2";
    Upstream->Born += 1000;
  }
  runLoopFor(Gateway.Base.get(), 3s);
  for (const auto &Caller : Callers)
    cr_assert(isOfOneVersion(Caller->receive()), "%s",
              Caller->receive().c_str());
}

// Upstreams in processes of their own that are stopped for about a second. The
// system still accepts their connections and takes bytes for them.
#include "gateway/upstream_children.h"
#include "platform/routing_document.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <string>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr span_ns Silence = 1200ms;

/// A fleet whose configuration changes while its upstreams are silent.
class silence_fleet : public child_fleet {
public:
  using child_fleet::child_fleet;

  /// Passes the time of a silence while the bounds of callers change and the
  /// routes move to another service and back.
  void changeConfiguration() {
    event_base *Base = Fleet.Gateway.Base.get();
    configure(R"("idleTimeoutMs":5000)", R"("idleTimeoutMs":2000)");
    runLoopFor(Base, Silence / 4);
    configure(R"("timeoutMs":4000)", R"("timeoutMs":3000)");
    runLoopFor(Base, Silence / 4);
    configure(R"("backend":"s")", R"("backend":"other")");
    runLoopFor(Base, Silence / 4);
    configure("", "");
    runLoopFor(Base, Silence / 4);
  }

  /// Returns whether the first instance has sent a request that it waits for.
  bool isRequestSent() {
    const auto Views = Fleet.core(0).scheduler().views(readBootClock());
    return std::ranges::any_of(
        Views, [](const auto &View) { return View.InFlight > 0; });
  }

  /// Waits until all instances use the last configuration.
  void awaitConfiguration() {
    cr_assert(Fleet.Gateway.waitFor([&] {
      for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
        if (Fleet.core(Index).routing()->Version !=
            static_cast<std::uint64_t>(Version))
          return false;
      return true;
    }));
  }

private:
  void configure(std::string_view From, std::string_view To) {
    std::string Document = routingDocument(++Version, "\"key-1\"", 1e6);
    for (std::size_t At = 0;
         !From.empty() && (At = Document.find(From, At)) != std::string::npos;
         At += To.size())
      Document.replace(At, From.size(), To);
    constexpr std::string_view Services = R"("services":[)";
    Document.insert(Document.find(Services) + Services.size(),
                    R"({"name":"other"},)");
    Fleet.Gateway.Store.put("op/config", Document);
  }

  int Version = 1;
};

enum class silence_stage {
  Connecting, ///< a request that finds no open connection
  Unread,     ///< a request on a connection that was idle
  Running,    ///< before the head of the response
  Streaming,  ///< after two events
};

struct silence_row {
  char Path[16];
  silence_stage Stage;
  bool Relayed;
  bool Unlisted; ///< the entries expire during the silence
};

/// Sends a request and stops all upstreams when it has come to the stage.
void sendAndStop(silence_fleet &Silent, const silence_row &Row) {
  gateway_fixture &Gateway = Silent.Fleet.Gateway;
  const caller_options Request{.Path = Row.Path, .Id = "watched"};
  switch (Row.Stage) {
  case silence_stage::Unread:
    for (std::size_t Index = 0; Index < 4; ++Index)
      cr_assert(Silent.Fleet.requestTo(0, "/read/1").Status == 200);
    [[fallthrough]];
  case silence_stage::Connecting:
    Silent.stopAll();
    return Gateway.startRequest(Request);
  case silence_stage::Running:
    Gateway.startRequest(Request);
    cr_assert(Gateway.waitFor([&] { return Silent.runsOf("watched") > 0; }));
    return Silent.stopAll();
  case silence_stage::Streaming:
    Gateway.startRequest(Request);
    cr_assert(Gateway.waitFor([&] {
      return Gateway.result().Body.find("id: 2") != std::string::npos;
    }));
    return Silent.stopAll();
  }
}

} // namespace

ParameterizedTestParameters(silent_upstream,
                            runs_a_request_once_and_its_answer_is_whole) {
  using enum silence_stage;
  static silence_row Rows[] = {
      {"/read/1", Connecting, false, false},
      {"/read/1", Unread, false, false},
      {"/read/1", Running, false, false},
      {"/order/1", Connecting, false, false},
      {"/order/1", Unread, false, false},
      {"/order/1", Running, false, false},
      {"/stream-on/1", Connecting, false, false},
      {"/stream-on/1", Unread, false, false},
      {"/stream-on/1", Running, false, false},
      {"/stream-on/1", Streaming, false, false},
      {"/stream-once/1", Unread, false, false},
      {"/stream-once/1", Running, false, false},
      {"/stream-once/1", Streaming, false, false},
      {"/read/1", Unread, true, false},
      {"/order/1", Unread, true, false},
      {"/order/1", Running, true, false},
      {"/stream-on/1", Running, true, false},
      {"/stream-on/1", Streaming, true, false},
      {"/stream-once/1", Streaming, true, false},
      {"/read/1", Unread, false, true},
      {"/order/1", Unread, false, true},
      {"/order/1", Running, false, true},
      {"/stream-on/1", Running, false, true},
      {"/stream-on/1", Streaming, false, true},
      {"/stream-once/1", Streaming, false, true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(silence_row *Row, silent_upstream,
                  runs_a_request_once_and_its_answer_is_whole) {
  silence_fleet Silent({.Delay = 200ms, .EventInterval = 60ms},
                       Row->Relayed ? upstream_links::Proxied
                                    : upstream_links::Direct);
  gateway_fleet &Fleet = Silent.Fleet;
  if (Row->Relayed)
    Silent.useRelay();
  Fleet.Gateway.targetFirst();
  sendAndStop(Silent, *Row);
  if (Row->Unlisted) {
    // Without a listed upstream a request that has not been sent is refused.
    cr_assert(Fleet.Gateway.waitFor([&] { return Silent.isRequestSent(); }));
    Silent.unlist();
  }
  Silent.changeConfiguration();
  Silent.resumeAll();
  if (Row->Unlisted)
    Silent.list();
  cr_assert(Fleet.Gateway.waitFor([&] { return Fleet.Gateway.requestDone(); }));
  const caller_response &Result = Fleet.Gateway.result();
  cr_expect(Result.Status == 200, "%s, relayed %d, unlisted %d: %d %s",
            Row->Path, Row->Relayed, Row->Unlisted, Result.Status,
            Result.Body.c_str());
  cr_expect(Result.IsComplete);
  if (std::string_view(Row->Path).find("stream") != std::string_view::npos)
    cr_expect(Result.Body == fake_upstream::events(0), "%s",
              Result.Body.c_str());
  runLoopFor(Fleet.Gateway.Base.get(), 300ms);
  cr_expect(Silent.runsOf("watched") == 1, "%td runs",
            Silent.runsOf("watched"));
}

struct resumed_row {
  std::size_t Instance; ///< at which the caller resumes the stream
};

ParameterizedTestParameters(silent_upstream,
                            a_stream_resumed_meanwhile_goes_on_once) {
  static resumed_row Rows[] = {{0}, {1}};
  return criterion_test_params(Rows);
}

ParameterizedTest(resumed_row *Row, silent_upstream,
                  a_stream_resumed_meanwhile_goes_on_once) {
  silence_fleet Silent({.EventInterval = 60ms});
  gateway_fixture &Gateway = Silent.Fleet.Gateway;
  Gateway.targetFirst();
  sendAndStop(Silent, {"/stream-on/1", silence_stage::Streaming});
  runLoopFor(Gateway.Base.get(), Silence / 2);
  const std::string Had = Gateway.result().Body;
  Gateway.disconnect();
  Silent.Fleet.targetInstance(Row->Instance);
  const int Last = Had.find("id: 3") == std::string::npos ? 2 : 3;
  Gateway.startRequest({.Path = "/stream-on/1",
                        .Id = "resumed",
                        .ResumeAfter = std::to_string(Last),
                        .Resumes = "watched"});
  runLoopFor(Gateway.Base.get(), Silence / 2);
  Silent.resumeAll();
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  cr_expect(Gateway.result().Status == 200, "%d", Gateway.result().Status);
  cr_expect(Gateway.result().IsComplete);
  cr_expect(Had + Gateway.result().Body == fake_upstream::events(0), "%s",
            Gateway.result().Body.c_str());
  cr_expect(Silent.runsOf("watched") == 1);
  cr_expect(Silent.runsOf("resumed") == 1);
}

struct backlog_row {
  char Path[16];
  bool All; ///< whether both upstreams are stopped
};

ParameterizedTestParameters(silent_upstream,
                            with_a_full_backlog_runs_nothing_twice) {
  static backlog_row Rows[] = {
      {"/read/1", false},      {"/order/1", false}, {"/stream-once/1", false},
      {"/stream-on/1", false}, {"/read/1", true},   {"/order/1", true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(backlog_row *Row, silent_upstream,
                  with_a_full_backlog_runs_nothing_twice) {
  constexpr int Backlog = 4;
  silence_fleet Silent({.Backlog = Backlog});
  gateway_fleet &Fleet = Silent.Fleet;
  std::vector<int> Waiting;
  for (const auto &Child : Silent.Children) {
    if (!Row->All && Child != Silent.Children.front())
      continue;
    Child->stop();
    for (int Index = 0; Index < 2 * Backlog; ++Index) {
      sockaddr_in Address{};
      Address.sin_family = AF_INET;
      Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      Address.sin_port = htons(Child->port());
      Waiting.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)connect(Waiting.back(), reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address));
    }
  }
  // Until idle connections, on which requests could still be sent, have
  // expired.
  runLoopFor(Fleet.Gateway.Base.get(), 400ms);
  constexpr std::size_t Requests = 4;
  std::vector<int> Statuses;
  for (std::size_t Index = 0; Index < Requests; ++Index) {
    Fleet.Gateway.targetFirst();
    Statuses.push_back(
        Fleet.Gateway
            .sendRequest({.Path = Row->Path, .Id = fmt::format("r{}", Index)})
            .Status);
  }
  for (const int Socket : Waiting)
    close(Socket);
  Silent.resumeAll();
  runLoopFor(Fleet.Gateway.Base.get(), 1500ms);
  for (std::size_t Index = 0; Index < Requests; ++Index) {
    const std::ptrdiff_t Runs = Silent.runsOf(fmt::format("r{}", Index));
    cr_expect(Runs == (Statuses[Index] == 200 ? 1 : 0), "%d: %td runs",
              Statuses[Index], Runs);
    cr_expect(Statuses[Index] == (Row->All ? 503 : 200), "%d", Statuses[Index]);
  }
}

namespace {

/// A request among many.
class concurrent_caller final : public response_observer {
public:
  response_action onResponseHead(const http_head &Head, bool) override {
    Status = Head.Status;
    return response_action::Take;
  }
  void onResponseBody(std::string_view Bytes) override { Body += Bytes; }
  void onResponseEnd() override { Done = IsComplete = true; }
  void onResponseLost(const exchange_loss &) override { Done = true; }

  std::string Path;
  std::string Id;
  int Status = 0;
  std::string Body;
  bool Done = false;
  bool IsComplete = false;
};

struct load_row {
  std::size_t Silences;
  std::size_t Stopped; ///< upstreams that fall silent
  bool Unlisted;
};

} // namespace

ParameterizedTestParameters(silent_upstream,
                            answers_many_requests_once_at_any_stage) {
  static load_row Rows[] = {{2, 2, false}, {2, 1, false}, {1, 2, true}};
  return criterion_test_params(Rows);
}

ParameterizedTest(load_row *Row, silent_upstream,
                  answers_many_requests_once_at_any_stage) {
  silence_fleet Silent({.Delay = 35ms, .EventInterval = 15ms});
  gateway_fixture &Gateway = Silent.Fleet.Gateway;
  client_connection_pool Links(Gateway.Base.get(), {});
  std::vector<std::unique_ptr<concurrent_caller>> Callers;
  constexpr std::array Paths{"/read/1", "/order/1", "/stream-on/1",
                             "/stream-once/1"};
  const auto SendFor = [&](span_ns Length) {
    for (const instant Start = readBootClock();
         readBootClock() - Start < Length;) {
      concurrent_caller &Caller =
          *Callers.emplace_back(std::make_unique<concurrent_caller>());
      Caller.Path = Paths[Callers.size() % Paths.size()];
      Caller.Id = fmt::format("c{}", Callers.size());
      Silent.Fleet.targetInstance(Callers.size() / Paths.size() %
                                  Silent.Fleet.size());
      Links.start(Gateway.makeRequest({.Path = Caller.Path, .Id = Caller.Id}),
                  Caller);
      runLoopFor(Gateway.Base.get(), 7ms);
    }
  };
  for (std::size_t Count = 0; Count < Row->Silences; ++Count) {
    SendFor(200ms);
    for (std::size_t Index = 0; Index < Row->Stopped; ++Index)
      Silent.Children[Index]->stop();
    if (Row->Unlisted)
      Silent.unlist();
    SendFor(100ms);
    Silent.changeConfiguration();
    Silent.resumeAll();
    Silent.list();
    Silent.awaitConfiguration();
  }
  SendFor(100ms);
  cr_assert(Gateway.waitFor([&] {
    return std::ranges::all_of(Callers,
                               [](const auto &Caller) { return Caller->Done; });
  }));
  for (const auto &Caller : Callers) {
    const std::ptrdiff_t Runs = Silent.runsOf(Caller->Id);
    const bool IsServed = Caller->Status == 200;
    cr_expect(Caller->IsComplete, "%s: no answer", Caller->Id.c_str());
    cr_expect(IsServed || Caller->Status == 503, "%s: %d %s",
              Caller->Id.c_str(), Caller->Status, Caller->Body.c_str());
    cr_expect(Runs == (IsServed ? 1 : 0), "%s %s: %d, %td runs",
              Caller->Id.c_str(), Caller->Path.c_str(), Caller->Status, Runs);
    if (IsServed && Caller->Path.starts_with("/stream"))
      cr_expect(Caller->Body == fake_upstream::events(0), "%s: %s",
                Caller->Id.c_str(), Caller->Body.c_str());
  }
}

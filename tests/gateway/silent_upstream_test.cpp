// Upstreams in processes of their own that are stopped for about a second. The
// system still accepts their connections and takes bytes for them.
#include "gateway/gateway_fleet.h"
#include "platform/routing_document.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include <fcntl.h>
#include <netinet/in.h>
#include <spdlog/fmt/fmt.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr span_ns Silence = 1200ms;

struct upstream_pace {
  span_ns Delay{0};
  span_ns EventInterval{0};
  int Backlog = 0; ///< connections that its system accepts for it; 0: many
};

/// Limits the connections that the system accepts for the listeners of this
/// process.
void setBacklog(int Backlog) {
  constexpr int MaxDescriptor = 256;
  for (int Descriptor = 0; Descriptor < MaxDescriptor; ++Descriptor) {
    int Listens = 0;
    socklen_t Length = sizeof(Listens);
    if (getsockopt(Descriptor, SOL_SOCKET, SO_ACCEPTCONN, &Listens, &Length) ==
            0 &&
        Listens != 0)
      listen(Descriptor, Backlog);
  }
}

/// A fake upstream in a child process.
class child_upstream {
public:
  child_upstream(const std::string &Id, upstream_pace Pace) {
    std::array<int, 2> Ends{};
    cr_assert(pipe(Ends.data()) == 0);
    Child = fork();
    cr_assert(Child >= 0);
    if (Child == 0) {
      close(Ends[0]);
      serve(Id, Pace, Ends[1]);
    }
    close(Ends[1]);
    Reports = Ends[0];
    cr_assert(read(Reports, &Port, sizeof(Port)) == sizeof(Port));
    fcntl(Reports, F_SETFL, O_NONBLOCK);
  }
  ~child_upstream() {
    kill(Child, SIGKILL);
    waitpid(Child, nullptr, 0);
    close(Reports);
  }
  child_upstream(const child_upstream &) = delete;
  child_upstream &operator=(const child_upstream &) = delete;

  /// Returns once the process has stopped.
  void stop() const {
    kill(Child, SIGSTOP);
    waitpid(Child, nullptr, WUNTRACED);
  }
  void resume() const { kill(Child, SIGCONT); }
  std::uint16_t port() const { return Port; }

  /// Returns how often the upstream has run the request \p Id.
  std::ptrdiff_t runsOf(std::string_view Id) {
    std::array<char, 4096> Part{};
    for (ssize_t Length = 0;
         (Length = read(Reports, Part.data(), Part.size())) > 0;)
      Lines.append(Part.data(), static_cast<std::size_t>(Length));
    std::ptrdiff_t Runs = 0;
    const std::string Line = fmt::format("{}\n", Id);
    for (std::size_t At = 0; (At = Lines.find(Line, At)) != std::string::npos;
         At += Line.size())
      ++Runs;
    return Runs;
  }

private:
  [[noreturn]] static void serve(const std::string &Id, upstream_pace Pace,
                                 int Reports) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::signal(SIGPIPE, SIG_IGN);
    const event_base_ptr Base(event_base_new());
    fake_upstream Upstream(Base.get(), Id);
    Upstream.Delay = Pace.Delay;
    Upstream.EventInterval = Pace.EventInterval;
    Upstream.OnRun = [Reports](const http_request &Request) {
      const std::string Line = fmt::format(
          "{}\n", Request.Head.Headers.find("Ebonyvale-Request-Id").value());
      (void)!write(Reports, Line.data(), Line.size());
    };
    if (Pace.Backlog > 0)
      setBacklog(Pace.Backlog);
    const std::uint16_t Port = Upstream.port();
    (void)!write(Reports, &Port, sizeof(Port));
    event_base_loop(Base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
    _exit(0);
  }

  pid_t Child = -1;
  int Reports = -1;
  std::uint16_t Port = 0;
  std::string Lines;
};

/// Two instances and two upstreams in processes of their own.
class silence_fleet {
public:
  explicit silence_fleet(upstream_pace Pace,
                         upstream_links Links = upstream_links::Direct)
      : Fleet(makeChildren(Pace), Links) {
    gateway_fixture &Gateway = Fleet.Gateway;
    list();
    // A request that reaches one of the replaced upstreams may still do so.
    runLoopFor(Gateway.Base.get(), 500ms);
  }

  void stopAll() const {
    for (const auto &Child : Children)
      Child->stop();
  }
  void resumeAll() const {
    for (const auto &Child : Children)
      Child->resume();
  }
  std::ptrdiff_t runsOf(std::string_view Id) const {
    std::ptrdiff_t Runs = 0;
    for (const auto &Child : Children)
      Runs += Child->runsOf(Id);
    return Runs;
  }
  /// Writes the entries of the upstreams to the store.
  void list() {
    for (std::size_t Index = 0; Index < Children.size(); ++Index) {
      const fake_upstream &Listed = *Fleet.Gateway.Upstreams[Index];
      Fleet.Gateway.Store.put(Listed.key(),
                              Listed.entryAt(Children[Index]->port(), "s",
                                             /*Draining=*/false));
    }
  }
  /// Removes the entries, as the store does when their leases have expired.
  void unlist() {
    for (const auto &Listed : Fleet.Gateway.Upstreams)
      Fleet.Gateway.Store.erase(Listed->key());
  }
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

  std::vector<std::unique_ptr<child_upstream>> Children;
  gateway_fleet Fleet;

private:
  /// Before the event loop of this process, which a child must not share.
  std::size_t makeChildren(upstream_pace Pace) {
    for (const char *Id : {"u-1", "u-2"})
      Children.push_back(std::make_unique<child_upstream>(Id, Pace));
    return Children.size();
  }

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
  if (Row->Relayed) {
    Fleet.links(0).setFault(proxy_fault::RefuseNew);
    for (int Sent = 0; Sent < 10; ++Sent)
      Fleet.requestTo(0, "/read/1");
    cr_assert(Fleet.requestTo(0, "/read/1").Status == 200);
  }
  Fleet.Gateway.targetFirst();
  sendAndStop(Silent, *Row);
  if (Row->Unlisted)
    Silent.unlist();
  Silent.changeConfiguration();
  Silent.resumeAll();
  if (Row->Unlisted)
    Silent.list();
  cr_assert(Fleet.Gateway.waitFor([&] { return Fleet.Gateway.requestDone(); }));
  const caller_response &Result = Fleet.Gateway.result();
  cr_expect(Result.Status == 200, "%d", Result.Status);
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

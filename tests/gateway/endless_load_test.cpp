// Memory of the process while an upstream answers hundreds of requests at once
// with bytes without end, and the requests of other callers meanwhile.
#include "gateway/gateway_fixture.h"
#include "net/loopback_listener.h"
#include "platform/routing_document.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace ebonyvale;

namespace {

/// Memory of the smallest instance, with the bytes that sockets hold unread.
constexpr std::size_t MaxProcessBytes = 88'000'000;
constexpr std::size_t EndlessRequests = 200;

std::string repeat(std::string_view Text, std::size_t Count) {
  std::string Out;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Out += Text;
  return Out;
}

/// An upstream in a process of its own, so that its memory does not count. It
/// answers each request, once hundreds have arrived, with a beginning and
/// repeats a text, without end or up to a number of bytes, and is silent then.
class endless_process {
public:
  endless_process(const std::string &Beginning, const std::string &Repeated,
                  std::size_t MaxBytes) {
    int Pipe[2];
    cr_assert(pipe(Pipe) == 0);
    Process = fork();
    cr_assert(Process >= 0);
    if (Process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      serve(Pipe[1], {nullptr, Beginning, Repeated, MaxBytes, {}});
    }
    close(Pipe[1]);
    cr_assert(read(Pipe[0], &Port, sizeof(Port)) == sizeof(Port));
    close(Pipe[0]);
  }
  ~endless_process() {
    kill(Process, SIGKILL);
    waitpid(Process, nullptr, 0);
  }

  std::uint16_t Port = 0;

private:
  struct source {
    event_base *Base;
    std::string Beginning;
    std::string Repeated;
    std::size_t MaxBytes; ///< 0: no limit
    std::vector<std::pair<bufferevent *, void *>> Waiting;
    bool Started = false; ///< all requests have arrived
  };
  struct connection {
    source &Source;
    std::size_t Written = 0;
  };

  [[noreturn]] static void serve(int PortPipe, source Source) {
    std::signal(SIGPIPE, SIG_IGN);
    const event_base_ptr Base(event_base_new());
    Source.Base = Base.get();
    std::uint16_t Port = 0;
    const listener_ptr Listener =
        listenOnLoopback(Base.get(), &endless_process::onAccept, &Source, Port);
    if (write(PortPipe, &Port, sizeof(Port)) == sizeof(Port))
      event_base_dispatch(Base.get());
    _exit(0);
  }
  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Argument) {
    auto &Source = *static_cast<source *>(Argument);
    bufferevent *Link =
        bufferevent_socket_new(Source.Base, Socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(Link, &endless_process::onReadable, nullptr,
                      &endless_process::onEvent, new connection{Source});
    bufferevent_enable(Link, EV_READ | EV_WRITE);
  }
  static void onReadable(bufferevent *Link, void *Argument) {
    source &Source = static_cast<connection *>(Argument)->Source;
    evbuffer *Input = bufferevent_get_input(Link);
    evbuffer_drain(Input, evbuffer_get_length(Input));
    Source.Waiting.emplace_back(Link, Argument);
    Source.Started = Source.Started || Source.Waiting.size() == EndlessRequests;
    if (!Source.Started)
      return;
    for (const auto &[Ready, Connection] : std::exchange(Source.Waiting, {})) {
      bufferevent_setcb(Ready, nullptr, &endless_process::onWritable,
                        &endless_process::onEvent, Connection);
      bufferevent_write(Ready, Source.Beginning.data(),
                        Source.Beginning.size());
      onWritable(Ready, Connection);
    }
  }
  static void onWritable(bufferevent *Link, void *Argument) {
    auto &[Source, Written] = *static_cast<connection *>(Argument);
    if (Source.MaxBytes > 0 && Written >= Source.MaxBytes)
      return;
    Written += Source.Repeated.size();
    bufferevent_write(Link, Source.Repeated.data(), Source.Repeated.size());
  }
  static void onEvent(bufferevent *Link, short, void *Argument) {
    std::erase_if(static_cast<connection *>(Argument)->Source.Waiting,
                  [Link](const auto &Entry) { return Entry.first == Link; });
    bufferevent_free(Link);
    delete static_cast<connection *>(Argument);
  }

  pid_t Process = -1;
};

/// A caller that keeps no bytes of its response.
class counting_caller final : public response_observer {
public:
  response_action onResponseHead(const http_head &Head, bool) override {
    Status = Head.Status;
    return response_action::Take;
  }
  void onResponseBody(std::string_view) override {}
  void onResponseEnd() override { Done = IsComplete = true; }
  void onResponseLost(const exchange_loss &) override { Done = true; }

  int Status = 0;
  bool IsComplete = false;
  bool Done = false;
};

/// Returns the bytes that the process holds in memory and in sockets that it
/// has not read.
std::size_t heldBytes() {
  std::size_t Pages = 0;
  std::ifstream Sizes("/proc/self/statm");
  Sizes >> Pages >> Pages;
  std::size_t Held = Pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  for (const auto &Entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    int Unread = 0;
    const int Handle = std::stoi(Entry.path().filename().string());
    if (Entry.is_socket() && ioctl(Handle, FIONREAD, &Unread) == 0)
      Held += static_cast<std::size_t>(Unread);
  }
  return Held;
}

/// Returns a configuration in which the route "open" has an upstream of its
/// own, and no route limits the requests at an upstream by their latency.
std::string documentWithSoundService() {
  std::string Document = routingDocument(2, "\"key-1\"", 1e6);
  const auto Replace = [&Document](std::string_view After, std::string_view Old,
                                   std::string_view New) {
    const std::size_t At = Document.find(Old, Document.find(After));
    cr_assert(At != std::string::npos);
    Document.replace(At, Old.size(), New);
  };
  Replace(R"("prefix":"/open/")", R"("backend":"s")", R"("backend":"sound")");
  constexpr std::string_view Target = R"("targetLatencyMs":500,)";
  while (Document.find(Target) != std::string::npos)
    Document.erase(Document.find(Target), Target.size());
  Replace(R"("services")", R"({"name":"s"})",
          R"({"name":"s"},{"name":"sound"})");
  return Document;
}

struct load_row {
  char Name[24];
  char Path[16];
  char Beginning[128];
  char Repeated[64];
  std::size_t Count;        ///< of the text in one write
  std::size_t MaxBytes = 0; ///< of the repeated text; 0: without end
};

#define OK_HEAD "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"

} // namespace

ParameterizedTestParameters(endless_load, memory_is_bounded) {
  static load_row Rows[] = {
      {"body", "/order/", "HTTP/1.1 200 OK\r\n\r\n", "x", 65536},
      {"chunks", "/order/", OK_HEAD "\r\n", "8\r\nxxxxxxxx\r\n", 4096},
      {"error body", "/order/", "HTTP/1.1 500 x\r\n\r\n", "x", 65536},
      {"refusal", "/order/",
       "HTTP/1.1 503 x\r\nEbonyvale-Not-Executed: 1\r\n\r\n", "x", 65536},
      {"header value", "/order/", "HTTP/1.1 200 OK\r\nX: ", "x", 4096},
      {"short headers", "/order/", "HTTP/1.1 200 OK\r\n", "X:y\r\n", 1000},
      {"held header value", "/order/", "HTTP/1.1 200 OK\r\nX: ", "x", 4096,
       60000},
      {"held short headers", "/order/", "HTTP/1.1 200 OK\r\n", "X:y\r\n", 1000,
       60000},
      {"held body", "/order/", "HTTP/1.1 200 OK\r\n\r\n", "x", 65536, 1000000},
      {"held event", "/stream-on/",
       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
       "id: 1\ndata: ",
       "x", 65536, 900000},
      {"interim responses", "/order/", "", "HTTP/1.1 102 x\r\nX:y\r\n\r\n",
       200},
      {"chunk extension", "/order/", OK_HEAD "\r\n1;", "x", 4096},
      {"trailers", "/order/", OK_HEAD "\r\n0\r\n", "X:y\r\n", 1000},
      {"event", "/stream-on/",
       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
       "id: 1\ndata: ",
       "x", 65536},
      {"comments", "/stream-on/",
       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", ":x\n",
       20000},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(load_row *Row, endless_load, memory_is_bounded) {
  const endless_process Endless(
      Row->Beginning, repeat(Row->Repeated, Row->Count), Row->MaxBytes);
  gateway_fixture Gateway;
  Gateway.useOnlyUpstream(Endless.Port);
  Gateway.Store.put("op/config", documentWithSoundService());
  Gateway.Store.put(Gateway.Upstreams[1]->key(),
                    Gateway.Upstreams[1]->entry("sound"));
  // One entry alone would not be given all requests.
  std::vector<std::unique_ptr<fake_upstream>> More;
  while (More.size() < 9) {
    More.push_back(std::make_unique<fake_upstream>(
        Gateway.Base.get(), "more-" + std::to_string(More.size())));
    Gateway.Store.put(More.back()->key(),
                      More.back()->entryAt(Endless.Port, "s",
                                           /*Draining=*/false));
  }
  cr_assert(Gateway.waitFor([&] {
    return Gateway.core().directory().find("u-2") &&
           Gateway.core().directory().find("more-8") &&
           Gateway.core().routing()->Services.contains("sound");
  }));
  std::size_t Peak = heldBytes();
  const std::size_t Before = Peak;
  const auto Measure = [&Peak] {
    Peak = std::max(Peak, heldBytes());
    return Peak > MaxProcessBytes;
  };
  client_connection_pool Links(Gateway.Base.get(), {});
  std::vector<counting_caller> Callers(EndlessRequests);
  std::vector<std::shared_ptr<client_connection>> Exchanges;
  for (std::size_t Index = 0; Index < EndlessRequests; ++Index)
    Exchanges.push_back(Links.start(
        Gateway.makeRequest({.Path = Row->Path + std::to_string(Index),
                             .Id = "e-" + std::to_string(Index)}),
        Callers[Index]));
  const auto AllDone = [&] {
    return std::ranges::all_of(Callers, &counting_caller::Done);
  };
  std::size_t Sound = 0;
  std::size_t Served = 0;
  while (Peak <= MaxProcessBytes && (Sound < 20 || !AllDone())) {
    Gateway.startRequest(
        {.Path = "/open/1", .Id = "s-" + std::to_string(++Sound)});
    Gateway.waitFor([&] { return Measure() || Gateway.requestDone(); });
    Served += Gateway.result().Status == 200 && Gateway.result().IsComplete;
  }
  cr_assert(Peak <= MaxProcessBytes, "%s: %zu bytes, %zu before", Row->Name,
            Peak, Before);
  cr_assert(Served == Sound, "%s: %zu of %zu served", Row->Name, Served, Sound);
  for (const counting_caller &Caller : Callers) {
    cr_assert(Caller.Status != 200 || !Caller.IsComplete, "%s", Row->Name);
    cr_assert(Caller.Status != 503, "%s: refused or not sent", Row->Name);
  }
}

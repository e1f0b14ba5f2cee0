/// \file
/// ebonyvale-crowds: starts one process under lowered limits, lets a crowd of
/// clients hold what the limits allow each of them, and checks that the process
/// lives within its machine and answers another client.
#include "crowds/crowd_client.h"
#include "crowds/crowd_server.h"

#include "common/instant.h"
#include "net/timer.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <vector>

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <spdlog/fmt/fmt.h>
#include <sys/resource.h>

namespace {

using namespace ebonyvale;
using namespace std::chrono_literals;
namespace options = boost::program_options;

constexpr std::size_t BytesPerMb = 1'000'000;
/// Every so many clients of a crowd send their requests to the end.
constexpr std::size_t CompleteEvery = 10;

using clients = std::vector<std::unique_ptr<crowd_client>>;
using request_ptr = std::shared_ptr<const crowd_request>;

/// Starts the clients of a crowd, of which \p Part is a part of 1.
struct crowd_target {
  event_base *Base;
  crowd_server &Server;
  double Part;
  clients &Clients;

  std::size_t part(std::size_t Count) const {
    return static_cast<std::size_t>(static_cast<double>(Count) * Part);
  }
  void add(std::uint16_t Port, std::size_t Count, crowd_request Request,
           const std::string &End = "") const {
    const request_ptr Open = std::make_shared<crowd_request>(Request);
    Request.End = End;
    const request_ptr Whole = std::make_shared<crowd_request>(Request);
    for (std::size_t Index = 1; Index <= part(Count); ++Index)
      Clients.push_back(
          startClient(Base, Port, Index % CompleteEvery == 0 ? Whole : Open));
  }
  std::string head(const std::string &More) const {
    return Server.requestHead("POST") + More;
  }
};

/// Heads of 15 KB in lines of seven bytes.
void sendShortLines(const crowd_target &To) {
  for (const std::uint16_t Port :
       {To.Server.ports().Callers, To.Server.ports().Operators})
    To.add(Port, 350,
           {.Begin = To.Server.requestHead("GET"),
            .Middle = "a:bcd\r\nb: \r\n",
            .Repeats = 1150},
           "\r\n");
}

void sendBodies(const crowd_target &To, std::size_t PieceBytes) {
  constexpr std::size_t PartBytes = 999;
  for (const std::uint16_t Port :
       {To.Server.ports().Callers, To.Server.ports().Operators})
    To.add(Port, 60,
           {.Begin = To.head(
                fmt::format("Content-Length: {}\r\n\r\n", MaxBodyBytes)),
            .Middle = std::string(PartBytes, 'x'),
            .Repeats = MaxBodyBytes / PartBytes,
            .PieceBytes = PieceBytes},
           std::string(MaxBodyBytes % PartBytes, 'x'));
}

void sendChunks(const crowd_target &To, std::size_t ChunkBytes,
                std::size_t BodyBytes) {
  for (const std::uint16_t Port :
       {To.Server.ports().Callers, To.Server.ports().Operators})
    To.add(Port, 60,
           {.Begin = To.head("Transfer-Encoding: chunked\r\n\r\n"),
            .Middle = fmt::format("{:x}\r\n{}\r\n", ChunkBytes,
                                  std::string(ChunkBytes, 'x')),
            .Repeats = BodyBytes / ChunkBytes},
           "0\r\n\r\n");
}

/// Requests to the peers' listener, which needs no key to send a body.
void sendToPeers(const crowd_target &To) {
  To.add(To.Server.ports().Peers, 120,
         {.Begin =
              To.head(fmt::format("Content-Length: {}\r\n\r\n", MaxBodyBytes)),
          .Middle = std::string(BytesPerMb / 1000, 'x'),
          .Repeats = 999});
}

void sendH2(const crowd_target &To) {
  constexpr std::size_t Streams = 8;
  constexpr std::size_t BodyBytes = 4'000'000;
  for (std::size_t Index = 0; Index < To.part(6); ++Index)
    To.Clients.push_back(
        startH2Client(To.Base, To.Server.ports().Peers, Streams, BodyBytes));
}

/// Clients that read no response: large ones, and those to many requests in
/// a row.
void readNothing(const crowd_target &To) {
  const std::string Large = To.Server.requestHead("GET") + "\r\n";
  To.add(To.Server.ports().Callers, 120, {.Begin = Large, .Reads = false});
  const std::string Unknown = "GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n";
  To.add(
      To.Server.ports().Callers, 40,
      {.Begin = Unknown, .Middle = Unknown, .Repeats = 10'000, .Reads = false});
  const std::string Metrics = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
  To.add(To.Server.ports().Operators, 40,
         {.Begin = Metrics, .Middle = Metrics, .Repeats = 400, .Reads = false});
}

using crowd_starter = std::function<void(const crowd_target &)>;

struct crowd_row {
  std::string Name;
  crowd_starter Start;
};

std::vector<crowd_row> crowdsOf(bool IsGateway) {
  constexpr std::size_t LargeChunk = 64 * 1024;
  std::vector<crowd_row> Rows{
      {"short_lines", sendShortLines},
      {"bodies", [](const crowd_target &To) { sendBodies(To, 0); }},
      {"bodies_in_pieces",
       [](const crowd_target &To) { sendBodies(To, 20'000); }},
      {"large_chunks",
       [](const crowd_target &To) {
         sendChunks(To, LargeChunk, MaxBodyBytes - LargeChunk);
       }},
      {"small_chunks",
       [](const crowd_target &To) { sendChunks(To, 1, 900'000); }},
      {"peers", IsGateway ? sendToPeers : sendH2},
      {"slow_readers", readNothing}};
  Rows.push_back({"mixed", [Alone = Rows](crowd_target To) {
                    To.Part /= 3;
                    for (const crowd_row &Row : Alone)
                      Row.Start(To);
                  }});
  return Rows;
}

void runLoop(
    event_base *Base, span_ns Time,
    const std::function<bool()> &Done = [] { return false; }) {
  timer Wake(Base, [] {});
  for (const instant Until = readBootClock() + Time;
       !Done() && readBootClock() < Until;) {
    Wake.startOnce(20ms);
    event_base_loop(Base, EVLOOP_ONCE);
  }
}

/// Returns the value of \p Name in the status of \p Process, in bytes.
std::size_t statusBytes(pid_t Process, const std::string &Name) {
  constexpr std::size_t BytesPerKb = 1024;
  std::ifstream File(fmt::format("/proc/{}/status", Process));
  for (std::string Word; File >> Word;)
    if (std::size_t Value = 0; Word == Name + ":" && File >> Value)
      return Value * BytesPerKb;
  return 0;
}

std::size_t descriptorCount(pid_t Process) {
  std::error_code Ignored;
  const std::filesystem::directory_iterator Entries(
      fmt::format("/proc/{}/fd", Process), Ignored);
  return static_cast<std::size_t>(std::distance(begin(Entries), end(Entries)));
}

/// Sends ordinary requests, each on a new connection, until one is answered.
bool isServed(event_base *Base, crowd_server &Server) {
  constexpr span_ns Patience = 60s;
  bool Served = false;
  std::string Request = Server.requestHead("GET") + "\r\n";
  Request.replace(Request.find("large"), std::string_view("large").size(), "1");
  for (const instant Until = readBootClock() + Patience;
       !Served && readBootClock() < Until;) {
    struct state {
      std::string Text;
      bool Closed = false;
    } State;
    const std::unique_ptr<bufferevent, releaser<bufferevent_free>> Socket(
        bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        Socket.get(),
        [](bufferevent *Readable, void *Argument) {
          char Buffer[4096];
          const std::size_t Length =
              bufferevent_read(Readable, Buffer, sizeof(Buffer));
          static_cast<state *>(Argument)->Text.append(Buffer, Length);
        },
        nullptr,
        [](bufferevent *, short Events, void *Argument) {
          if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            static_cast<state *>(Argument)->Closed = true;
        },
        &State);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Server.ports().Callers);
    bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
    bufferevent_write(Socket.get(), Request.data(), Request.size());
    bufferevent_socket_connect(
        Socket.get(), reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    runLoop(Base, 5s, [&State] {
      return State.Closed || State.Text.find("\r\n\r\nok") != std::string::npos;
    });
    Served = State.Text.starts_with("HTTP/1.1 200 ") &&
             State.Text.find("\r\n\r\nok") != std::string::npos;
    if (!Served)
      runLoop(Base, 100ms);
  }
  return Served;
}

/// Returns what did not hold, one line each.
std::vector<std::string> playCrowd(const crowd_row &Row, event_base *Base,
                                   crowd_server &Server) {
  constexpr span_ns SendTime = 60s;
  constexpr span_ns SettleTime = 2s;
  std::vector<std::string> Problems;
  const pid_t Process = Server.process();
  if (!isServed(Base, Server))
    Problems.emplace_back("no ordinary request was answered before the crowd");
  const std::size_t Before = statusBytes(Process, "VmRSS");
  std::size_t Descriptors = 0;
  const auto Count = [&] {
    Descriptors = std::max(Descriptors, descriptorCount(Process));
    return false;
  };
  clients Clients;
  Row.Start({Base, Server, 1, Clients});
  runLoop(Base, SendTime, [&] {
    return Count() || std::ranges::all_of(Clients, [](const auto &Each) {
             return Each->done();
           });
  });
  runLoop(Base, SettleTime, Count);
  const bool Served = isServed(Base, Server);
  const std::size_t Peak = statusBytes(Process, "VmHWM");
  const std::size_t Started = Clients.size();
  Clients.clear();
  runLoop(Base, SettleTime);
  std::cout << fmt::format(
      "{} clients: resident {} MB before, {} MB peak, {} MB after; {} "
      "descriptors; ordinary request {}\n",
      Started, Before / BytesPerMb, Peak / BytesPerMb,
      statusBytes(Process, "VmRSS") / BytesPerMb, Descriptors,
      Served ? "answered" : "not answered");
  if (Server.process() != Process)
    Problems.emplace_back("the process has ended");
  if (Peak > MachineMemoryMb * BytesPerMb)
    Problems.push_back(fmt::format("{} bytes resident, {} MB are allowed", Peak,
                                   MachineMemoryMb));
  if (Descriptors > MachineDescriptors - SpareDescriptors)
    Problems.push_back(fmt::format("{} descriptors, {} are allowed",
                                   Descriptors,
                                   MachineDescriptors - SpareDescriptors));
  if (!Served)
    Problems.emplace_back("no ordinary request was answered afterwards");
  return Problems;
}

void raiseDescriptorLimit() {
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

} // namespace

int main(int Count, char **Arguments) {
  std::string Daemon;
  std::string Crowd;
  std::string Folder;
  options::options_description Description("ebonyvale-crowds");
  Description.add_options()("daemon", options::value(&Daemon)->required(),
                            "path of ebonyvaled")(
      "crowd", options::value(&Crowd)->required(),
      "gateway/NAME or daemon/NAME")(
      "folder", options::value(&Folder)->default_value("crowd-logs"),
      "folder for settings and logs");
  options::variables_map Values;
  try {
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Values);
    options::notify(Values);
  } catch (const options::error &Error) {
    std::cerr << "ebonyvale-crowds: " << Error.what() << "\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  raiseDescriptorLimit();
  const bool IsGateway = Crowd.starts_with("gateway/");
  for (const crowd_row &Row : crowdsOf(IsGateway)) {
    if (Crowd != (IsGateway ? "gateway/" : "daemon/") + Row.Name)
      continue;
    const auto Path = std::filesystem::absolute(Folder);
    std::filesystem::remove_all(Path);
    std::filesystem::create_directories(Path);
    const event_base_ptr Base(event_base_new());
    const auto Server = (IsGateway ? startGateway : startDaemon)(
        Base.get(), std::filesystem::absolute(Daemon).string(), Path);
    if (!Server) {
      std::cerr << "the process does not serve, see " << Path << "\n";
      return 1;
    }
    const auto Problems = playCrowd(Row, Base.get(), *Server);
    for (const std::string &Problem : Problems)
      std::cout << Problem << "\n";
    return Problems.empty() ? 0 : 1;
  }
  std::cerr << "ebonyvale-crowds: no crowd '" << Crowd << "'\n";
  return 2;
}

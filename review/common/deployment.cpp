#include "common/deployment.h"

#include "gateway/settings_template.h"

#include <csignal>
#include <cstdlib>
#include <utility>

#include <unistd.h>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr span_ns ReadyLimit = 15s;

/// Returns a new folder for settings and logs.
std::filesystem::path makeFolder() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "ebonyvale-review-XXXXXX")
          .string();
  return mkdtemp(Name.data()) ? Name : std::string();
}

} // namespace

case_arguments readArguments(int Count, char **Arguments) {
  constexpr int Expected = 4;
  if (Count != Expected)
    std::exit(CouldNotRun);
  return {Arguments[1], Arguments[2], std::string_view(Arguments[3]) != "0"};
}

stand_gateway::stand_gateway(event_base *Base, fake_fleet_store &Store,
                             const std::string &Daemon,
                             const std::filesystem::path &Folder,
                             std::size_t Index, const std::string &Zone)
    : Name(fmt::format("front-{}-{}", Zone, Index + 1)),
      Ip(fmt::format("127.83.{}.{}", getpid() % 250 + 1, Index + 11)),
      StoreClient(Store, Name), Server(Base, StoreClient) {
  Process = std::make_unique<daemon_process>(
      Daemon,
      std::vector<std::string>{"--gateway", "--settings",
                               writeSettings(Folder, Zone)},
      (Folder / (Name + ".log")).string());
}

/// Renders the template of the deploy file with the bounds of the site
/// fjordsaft-kits.
std::string stand_gateway::writeSettings(const std::filesystem::path &Folder,
                                         const std::string &Zone) const {
  const json Fields{
      {"nodeName", Name},
      {"zone", Zone},
      {"ip", Ip},
      {"zones",
       {{"bergen-a", "vestland"},
        {"bergen-b", "vestland"},
        {"trondheim-a", "trondelag"}}},
      {"bind",
       {{"frontend", fmt::format("{}:{}", Ip, CallerPort)},
        {"readiness", fmt::format("{}:{}", Ip, ReadyPort)}}},
      {"provider", {{"address", fmt::format("127.0.0.1:{}", Server.port())}}},
      {"contractParams",
       {{"revokeMs", 5000},
        {"configApplyMs", 2500},
        {"transitMs", 200},
        {"leaseMs", 3000},
        {"versionMs", 10000},
        {"graceS", 8},
        {"budgetRatio", 0.2},
        {"retrySlack", 56},
        {"budgetWindowS", 10},
        {"quotaExcess", 0.1},
        {"quotaSlack", 110000}}}};
  const std::filesystem::path Path = Folder / (Name + ".toml");
  std::ofstream(Path) << renderTemplate(readSettingsTemplate(), Fields);
  return Path.string();
}

deployment::deployment(const case_arguments &Arguments,
                       const std::vector<std::string> &Zones)
    : Base(event_base_new()), Folder(makeFolder()),
      Record(Arguments.RecordFile), Started(readBootClock()), Store(Base.get()),
      Links(Base.get(), {}) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const std::string &Zone : Zones)
    Gateways.push_back(std::make_unique<stand_gateway>(
        Base.get(), Store, Arguments.Daemon, Folder, Gateways.size(), Zone));
}

deployment::~deployment() {
  Gateways.clear();
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(Folder);
  else
    record("logs in " + Folder.string());
}

bool deployment::startAll() {
  for (const auto &Gateway : Gateways)
    if (Gateway->Server.port() == 0 || !Gateway->start())
      return false;
  for (const auto &Gateway : Gateways)
    if (!waitUntilReady(*Gateway, ReadyLimit))
      return false;
  return true;
}

bool deployment::waitFor(const std::function<bool()> &Done, span_ns Limit) {
  const instant Until = readBootClock() + Limit;
  while (!Done() && readBootClock() < Until)
    event_base_loop(Base.get(), EVLOOP_ONCE);
  return Done();
}

void deployment::wait(span_ns Time) {
  waitFor([] { return false; }, Time);
}

bool deployment::waitUntilReady(const stand_gateway &Gateway, span_ns Limit) {
  const instant Until = readBootClock() + Limit;
  while (readBootClock() < Until) {
    client_request Probe;
    Probe.Server = Gateway.readiness();
    Probe.Target = "/v1/ready";
    Probe.NewConnection = true;
    const stand_call Call(Links, Probe);
    waitFor([&Call] { return Call.Ended; }, 500ms);
    constexpr int StatusOk = 200;
    if (Call.Status == StatusOk)
      return true;
    wait(50ms);
  }
  return false;
}

void deployment::record(std::string_view Line) {
  Record << fmt::format("{:8.3f} s  {}\n", toSeconds(readBootClock() - Started),
                        Line)
         << std::flush;
}

stand_call::stand_call(client_connection_pool &Links, client_request Request,
                       std::function<void(const stand_call &)> Done)
    : Done(std::move(Done)), Exchange(Links.start(Request, *this)) {}

stand_call::~stand_call() {
  if (Exchange)
    Exchange->cancel();
}

response_action stand_call::onResponseHead(const http_head &Head, bool) {
  Status = Head.Status;
  Headers = Head.Headers;
  return response_action::Take;
}

void stand_call::onResponseBody(std::string_view Bytes) { Body += Bytes; }

void stand_call::onResponseEnd() { end(true); }

void stand_call::onResponseLost(const exchange_loss &) { end(false); }

void stand_call::end(bool IsComplete) {
  Exchange.reset();
  Ended = true;
  Complete = IsComplete;
  if (const auto Callback = std::exchange(Done, nullptr))
    Callback(*this);
}

} // namespace ebonyvale

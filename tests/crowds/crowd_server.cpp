#include "crowds/crowd_server.h"

#include "fakes/fake_fleet_store.h"
#include "net/server_connection.h"
#include "platform/routing_document.h"
#include "soak/daemon_process.h"
#include "soak/soak_gateway.h"

#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <event2/event.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t ResponseBytes = 1'000'000;
constexpr span_ns StartTimeout = 30s;

/// Answers requests whose target contains "large" in 1 MB, others at once.
class large_upstream final : public request_handler {
public:
  explicit large_upstream(event_base *Base) : Links(Base, *this) {
    Links.listen("127.0.0.1", 0);
    connection_bounds Bounds;
    Bounds.HeadBytes = 4 * MaxHeadBytes;
    Links.setBounds(Bounds, readBootClock());
  }
  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override {
    header_list Headers;
    for (const char *Name : {"Ebonyvale-Request-Id", "X-Request-Id"})
      if (const auto Id = Request.Head.Headers.find(Name))
        Headers.add(Name, *Id);
    Headers.add("Ebonyvale-Server-Seal", "seal");
    const bool Large = Request.Head.Target.find("large") != std::string::npos;
    Link->writeResponse(200, Headers,
                        Large ? std::string(ResponseBytes, 'x') : "ok");
  }
  void onRequestError(server_connection &Link, request_error) override {
    Link.writeResponse(400, {}, "");
  }
  std::uint16_t port() const { return Links.port(); }

private:
  connection_listener Links;
};

std::uint16_t freePort() {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
  close(Socket);
  return ntohs(Address.sin_port);
}

/// Returns a script that runs \p Program with the machine's descriptors.
std::string limitedProgram(const std::string &Program,
                           const std::filesystem::path &Folder) {
  const auto Path = Folder / "limited.sh";
  std::ofstream(Path) << fmt::format(
      "#!/bin/sh\nulimit -n {}\nexec {} \"$@\"\n", MachineDescriptors, Program);
  std::filesystem::permissions(Path, std::filesystem::perms::owner_all);
  return Path.string();
}

/// Returns whether \p Program knows the settings \p Arguments; earlier builds
/// do not know that of the machine's memory.
bool knows(const std::string &Program, std::vector<std::string> Arguments,
           const std::filesystem::path &Folder) {
  Arguments.emplace_back("--check-settings");
  daemon_process Check(Program, Arguments, (Folder / "check.log").string());
  Check.start();
  while (Check.running())
    std::this_thread::sleep_for(5ms);
  return Check.exitStatus() == 0;
}

std::string memorySetting() {
  return fmt::format("memory.limit_mb={}", MachineMemoryMb);
}

/// Waits until \p PortsFile states \p Roles and returns their ports.
std::vector<std::uint16_t> waitForPorts(event_base *Base,
                                        const std::string &PortsFile,
                                        const std::vector<std::string> &Roles) {
  const instant Until = readBootClock() + StartTimeout;
  while (readBootClock() < Until) {
    event_base_loop(Base, EVLOOP_NONBLOCK);
    std::this_thread::sleep_for(1ms);
    std::map<std::string, std::uint16_t> Ports;
    std::ifstream File(PortsFile);
    std::string Role;
    for (std::uint16_t Port = 0; File >> Role >> Port;)
      Ports[Role] = Port;
    std::vector<std::uint16_t> Found;
    for (const std::string &Wanted : Roles)
      if (Ports.contains(Wanted))
        Found.push_back(Ports[Wanted]);
    if (Found.size() == Roles.size())
      return Found;
  }
  return {};
}

class gateway_server final : public crowd_server {
public:
  gateway_server(event_base *Base, const std::string &Program,
                 const std::filesystem::path &Folder)
      : Store(Base), Upstream(Base),
        Gateway(Base, Store, limitedProgram(Program, Folder), Folder, 0) {
    std::string Document = routingDocument(1, R"("key-0")", 1e6);
    const std::string Small = R"("bodyBytes":1000,)";
    Document.replace(Document.find(Small), Small.size(),
                     fmt::format(R"("bodyBytes":{},)", MaxBodyBytes));
    Store.put("op/config", Document);
    Store.put("servers/u-0",
              fmt::format(R"({{"backend":"s","address":"127.0.0.1:{}",)"
                          R"("zone":"z","version":"v1","batchSlots":64,)"
                          R"("state":"ready","models":[],"sequence":1}})",
                          Upstream.port()));
    Ports.Peers = freePort();
    const auto File = Folder / "g-0.toml";
    std::stringstream Text;
    Text << std::ifstream(File).rdbuf();
    std::string Settings = Text.str();
    const std::string AnyPort = "peers = \"127.0.0.1:0\"";
    Settings.replace(Settings.find(AnyPort), AnyPort.size(),
                     fmt::format("peers = \"127.0.0.1:{}\"", Ports.Peers));
    Settings += "[memory]\nresponse_buffer_mb = 8\n";
    std::ofstream(File) << Settings;
    if (knows(Program,
              {"--gateway", "--settings", File.string(), "--set",
               memorySetting()},
              Folder))
      std::ofstream(File, std::ios::app)
          << fmt::format("limit_mb = {}\n", MachineMemoryMb);
    if (!Gateway.start())
      return;
    const auto Found = waitForPorts(Base, (Folder / "g-0.ports").string(),
                                    {"caller", "metrics"});
    if (Found.empty())
      return;
    Ports.Callers = Found[0];
    Ports.Operators = Found[1];
  }
  const crowd_ports &ports() const override { return Ports; }
  pid_t process() override {
    return Gateway.Process->running() ? Gateway.Process->pid() : 0;
  }
  std::string requestHead(const std::string &Method) const override {
    return Method + " /open/large HTTP/1.1\r\nHost: h.example\r\n";
  }

private:
  fake_fleet_store Store;
  large_upstream Upstream;
  soak_gateway Gateway;
  crowd_ports Ports;
};

class daemon_server final : public crowd_server {
public:
  daemon_server(event_base *Base, const std::string &Program,
                const std::filesystem::path &Folder)
      : Upstream(Base) {
    const auto Note = Folder / "note.toml";
    std::ofstream(Note) << fmt::format(
        "id = \"first\"\n[[added.failure_domain]]\nname = \"local\"\n"
        "region = \"local\"\n[[added.upstream]]\nname = \"a\"\n"
        "address = \"127.0.0.1\"\nport = {}\ndomain = \"local\"\n"
        "kind = \"application\"\ngroup = \"shop\"\n"
        "[[added.route]]\nname = \"open\"\nprefix = \"/open\"\n"
        "methods = [\"GET\", \"POST\"]\ngroup = \"shop\"\nopen = true\n"
        "repeatable = true\n",
        Upstream.port());
    std::vector<std::string> Arguments;
    const auto Set = [&Arguments](std::string Value) {
      Arguments.emplace_back("--set");
      Arguments.push_back(std::move(Value));
    };
    for (const char *Value : {"secrets.key_secret=s", "secrets.admin_token=a",
                              "secrets.fleet_secret=f", "listen.caller_port=0",
                              "listen.admin_port=0", "listen.peer_port=0"})
      Set(Value);
    Set(fmt::format("bounds.header_bytes={}", MaxHeadBytes));
    Set(fmt::format("bounds.body_bytes={}", MaxBodyBytes));
    Set("configuration.file=" + Note.string());
    Set(memorySetting());
    if (!knows(Program, Arguments, Folder))
      Arguments.resize(Arguments.size() - 2);
    const std::string PortsFile = (Folder / "d.ports").string();
    std::filesystem::remove(PortsFile);
    Arguments.emplace_back("--ports");
    Arguments.push_back(PortsFile);
    Process = std::make_unique<daemon_process>(limitedProgram(Program, Folder),
                                               Arguments,
                                               (Folder / "d.log").string());
    if (!Process->start())
      return;
    const auto Found =
        waitForPorts(Base, PortsFile, {"caller", "admin", "peer"});
    if (!Found.empty())
      Ports = {Found[0], Found[1], Found[2]};
  }
  const crowd_ports &ports() const override { return Ports; }
  pid_t process() override { return Process->running() ? Process->pid() : 0; }
  std::string requestHead(const std::string &Method) const override {
    return Method + " /open/large HTTP/1.1\r\nHost: d\r\n";
  }

private:
  large_upstream Upstream;
  std::unique_ptr<daemon_process> Process;
  crowd_ports Ports;
};

} // namespace

std::unique_ptr<crowd_server>
startGateway(event_base *Base, const std::string &Program,
             const std::filesystem::path &Folder) {
  auto Server = std::make_unique<gateway_server>(Base, Program, Folder);
  return Server->ports().Callers != 0 ? std::move(Server) : nullptr;
}

std::unique_ptr<crowd_server> startDaemon(event_base *Base,
                                          const std::string &Program,
                                          const std::filesystem::path &Folder) {
  auto Server = std::make_unique<daemon_server>(Base, Program, Folder);
  return Server->ports().Callers != 0 ? std::move(Server) : nullptr;
}

} // namespace ebonyvale

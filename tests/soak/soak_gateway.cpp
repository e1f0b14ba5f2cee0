#include "soak/soak_gateway.h"

#include "platform/routing_document.h"

#include <csignal>
#include <fstream>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Bounds of the gateways, shorter than the platform's so that a run meets
/// them.
constexpr std::int64_t KeyBoundMs = 1500;
constexpr std::int64_t ApplyBoundMs = 800;
constexpr std::int64_t StopGraceMs = 6000;
/// Of the team; callers ask for somewhat more.
constexpr double TeamRate = 30'000;
constexpr double LimitSlack = 20'000;
} // namespace

promise_bounds soakBounds() {
  promise_bounds Bounds;
  Bounds.Key = std::chrono::milliseconds(KeyBoundMs);
  Bounds.Apply = std::chrono::milliseconds(ApplyBoundMs);
  Bounds.Rate = TeamRate;
  Bounds.Burst = TeamRate;
  Bounds.Slack = LimitSlack;
  Bounds.RequestTokens = DefaultRequestTokens;
  return Bounds;
}

soak_gateway::soak_gateway(event_base *Base, fleet_store_stand_in &Store,
                           const std::string &Daemon,
                           const std::filesystem::path &Folder,
                           std::size_t Index)
    : Index(Index), Name(fmt::format("g-{}", Index)), View(Store, Name),
      Server(Base, View), StoreProxy(Base, Server.port()), CallerProxy(Base, 0),
      PortsFile((Folder / (Name + ".ports")).string()) {
  Process = std::make_unique<daemon_process>(
      Daemon,
      std::vector<std::string>{"--gateway", "--settings", writeSettings(Folder),
                               "--ports", PortsFile},
      (Folder / (Name + ".log")).string());
}

std::string
soak_gateway::writeSettings(const std::filesystem::path &Folder) const {
  const std::filesystem::path Path = Folder / (Name + ".toml");
  std::ofstream(Path) << fmt::format(
      "[instance]\nname = \"{}\"\ndomain = \"z\"\ndomains = [\"z=r\"]\n"
      "[listen]\ncallers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"
      "peers = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n"
      "[store]\nendpoint = \"127.0.0.1:{}\"\ncall_timeout_ms = 200\n"
      "lease_ms = 1000\nrefusal_interval_ms = 500\n"
      "[bounds]\nkey_ms = {}\napply_ms = {}\nissuer_ms = 500\n"
      "weights_ms = 4000\n[stop]\ngrace_ms = {}\n"
      "[limits]\nexcess_percent = 10\nslack = {:.0f}\n",
      Name, StoreProxy.port(), KeyBoundMs, ApplyBoundMs, StopGraceMs,
      LimitSlack);
  return Path.string();
}

bool soak_gateway::start() {
  std::filesystem::remove(PortsFile);
  Listening = false;
  StoppingSince = {};
  CallerProxy.setTarget(0);
  return Process->start();
}

void soak_gateway::takePorts() {
  std::ifstream File(PortsFile);
  std::string Role;
  std::uint16_t Port = 0;
  if (!(File >> Role >> Port) || Port == 0)
    return;
  Listening = true;
  CallerProxy.setTarget(Port);
}

void soak_gateway::kill() {
  HarmedAt = readBootClock();
  Listening = false;
  std::filesystem::remove(PortsFile);
  Process->signal(SIGKILL);
}

} // namespace ebonyvale

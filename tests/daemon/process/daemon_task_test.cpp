#include "daemon/process/daemon_task.h"

#include "daemon/loop_runner.h"
#include "daemon/process/logging.h"
#include "daemon/router_fixture.h"

#include <criterion/criterion.h>
#include <spdlog/fmt/fmt.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

using namespace ebonyvale;

namespace {

/// Writes a release note that configures the engine on \p Port. Returns the
/// path of the file.
std::string writeNote(const std::string &KeySecret, std::uint16_t Port) {
  const std::string Path = std::tmpnam(nullptr);
  std::ofstream(Path) << fmt::format(
      "id = \"first\"\n[[added.failure_domain]]\nname = \"local\"\n"
      "region = \"local\"\n[[added.team]]\nname = \"t\"\nrate = 1000000\n"
      "burst = 1000000\n[[added.key]]\nid = \"k\"\nteam = \"t\"\n"
      "hash = \"{}\"\n[[added.model]]\nname = \"manuals\"\nversion = \"v1\"\n"
      "[[added.upstream]]\nname = \"e\"\naddress = \"127.0.0.1\"\nport = {}\n"
      "domain = \"local\"\nmodels = [\"manuals\"]\n",
      toHex(hashKey(KeySecret, "key-of-alpha-0001")), Port);
  return Path;
}

/// Returns the port of the caller listener, the first that `writePorts` lists.
std::uint16_t callerPort(const daemon_task &Daemon) {
  std::ostringstream Ports;
  Daemon.writePorts(Ports);
  std::istringstream Words(Ports.str());
  std::string Name;
  std::uint16_t Port = 0;
  Words >> Name >> Port;
  return Port;
}

} // namespace

Test(daemon_task, graceful_shutdown_completes_open_requests) {
  startLogging("text", "off");
  const event_base_ptr Base(event_base_new());
  engine_server Engine(Base.get(), "e", "v1", {1, 1, 512, 64});
  Engine.listen("127.0.0.1", 0);
  daemon_settings Settings;
  Settings.KeySecret = "s";
  Settings.CallerPort = 0;
  Settings.AdminPort = 0;
  Settings.PeerPort = 0;
  Settings.StartTokens = 100;
  // Long enough to probe readiness even if this thread is delayed.
  Settings.DrainLagMs = 3000;
  Settings.ConfigurationFile = writeNote("s", Engine.port());
  daemon_task Daemon(Settings);
  cr_assert(!Daemon.start());
  std::remove(Settings.ConfigurationFile.c_str());
  const std::uint16_t Port = callerPort(Daemon);
  std::atomic<bool> Stopped = false;
  std::thread Serving([&Daemon, &Stopped] {
    Daemon.run();
    Stopped = true;
  });
  evhttp_connection_pool Pool(Base.get());
  client_call Call;
  Call.Body = chatBody("hello", true, 400);
  client_exchange Running(Pool, Port, Call);
  cr_assert(runLoopUntil(
      Base.get(), [&Running] { return !Running.response().Body.empty(); }));
  // Raises a real signal to cover the daemon's signal handlers.
  std::raise(SIGTERM);
  bool SawNotReady = false;
  cr_assert(runLoopUntil(Base.get(), [&] {
    if (!SawNotReady && !Running.ended()) {
      client_exchange Probe(Pool, Port, {"GET", "/readyz", "", "", {}});
      runLoopUntil(Base.get(), [&Probe] { return Probe.ended(); });
      SawNotReady = Probe.response().Status == 503;
    }
    return Running.ended();
  }));
  cr_assert(SawNotReady);
  cr_assert(Running.response().Completed);
  cr_assert(Running.response().Body.ends_with("data: [DONE]\n\n"));
  cr_assert(runLoopUntil(Base.get(), [&Stopped] { return Stopped.load(); }));
  Serving.join();
}

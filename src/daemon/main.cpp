/// \file
/// Entry point of ebonyvaled, the router daemon: parses the command line, loads
/// the settings and runs the daemon or, with --gateway, the gateway.
#include "common/command_line.h"
#include "daemon/process/daemon_settings.h"
#include "daemon/process/daemon_task.h"
#include "daemon/process/logging.h"
#include "daemon/process/stop_signals.h"
#include "gateway/process/gateway_task.h"
#include "gateway/process/settings_watcher.h"
#include "net/machine_limits.h"
#include "platform/documents.h"
#include "platform/messages.h"
#include "platform/store_client.h"

#include <sys/resource.h>

#include <csignal>
#include <iostream>
#include <sstream>

namespace {

using namespace ebonyvale;
namespace options = boost::program_options;

/// Raises the soft limit of file descriptors to the hard limit, since each open
/// stream takes two descriptors.
void raiseDescriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

int runDaemon(const daemon_settings &Settings,
              const options::variables_map &Values) {
  startLogging(Settings.LogFormat, Settings.LogLevel);
  std::signal(SIGPIPE, SIG_IGN);
  raiseDescriptorLimit();
  daemon_task Daemon(Settings);
  if (const auto Problem = Daemon.start()) {
    std::cerr << "ebonyvaled: " << Problem->Detail << "\n";
    return ExitFailure;
  }
  unblockStopSignals();
  std::ostringstream Ports;
  Daemon.writePorts(Ports);
  writePortsFile(Values, Ports.str());
  Daemon.run();
  return 0;
}

void onTerm(evutil_socket_t, short, void *Argument) {
  static_cast<gateway_task *>(Argument)->stop();
}

/// Stops gracefully on the first SIGINT and immediately on the second.
void onInterrupt(evutil_socket_t, short, void *Argument) {
  auto *Gateway = static_cast<gateway_task *>(Argument);
  if (Gateway->stopping())
    Gateway->stopNow();
  else
    Gateway->stop();
}

void onHangup(evutil_socket_t, short, void *Argument) {
  static_cast<settings_watcher *>(Argument)->reload();
}

int runGateway(const gateway_settings &Loaded,
               const options::variables_map &Values) {
  std::signal(SIGPIPE, SIG_IGN);
  // Until the handler is installed; the file is read at the start anyway.
  std::signal(SIGHUP, SIG_IGN);
  gateway_settings Settings = Loaded;
  raiseDescriptorLimit();
  const platform::documents Documents;
  const platform::caller_messages Callers;
  const platform::upstream_messages Upstreams;
  const event_base_ptr Base(event_base_new());
  gateway_task Gateway(Base.get(), Settings, {Documents, Callers, Upstreams},
                       [](client_connection_pool &Pool, const endpoint &Server,
                          span_ns CallTimeout) {
                         return std::make_unique<platform::store_client>(
                             Pool, Server, CallTimeout);
                       });
  if (const auto Problem = Gateway.start()) {
    std::cerr << "ebonyvaled: " << Problem->Detail << "\n";
    return ExitFailure;
  }
  std::ostringstream Ports;
  Gateway.writePorts(Ports);
  writePortsFile(Values, Ports.str());
  const event_ptr Term(evsignal_new(Base.get(), SIGTERM, &onTerm, &Gateway));
  const event_ptr Interrupt(
      evsignal_new(Base.get(), SIGINT, &onInterrupt, &Gateway));
  event_add(Term.get(), nullptr);
  event_add(Interrupt.get(), nullptr);
  settings_watcher Watcher(
      Base.get(), Gateway.core().log(), settingsFile(Values),
      settingOverrides(Values), Settings,
      [&Gateway] { Gateway.core().onSettingsChanged(readBootClock()); });
  const event_ptr Hangup(evsignal_new(Base.get(), SIGHUP, &onHangup, &Watcher));
  event_add(Hangup.get(), nullptr);
  unblockStopSignals();
  event_base_dispatch(Base.get());
  return 0;
}

/// Prints or checks the loaded settings if the command line asks for it, and
/// calls \p Run otherwise. Returns the exit code: `ExitUsage` when the settings
/// are invalid.
template <typename Settings>
int loadAndRun(result<Settings> Loaded, std::span<const field<Settings>> Fields,
               const options::variables_map &Values,
               int (*Run)(const Settings &, const options::variables_map &)) {
  if (!Loaded) {
    std::cerr << "ebonyvaled: " << Loaded.error().Detail << "\n";
    return ExitUsage;
  }
  if (Values.count("print-settings") != 0)
    std::cout << writeFields(bindFields(Fields, *Loaded),
                             /*WithSecrets=*/false);
  if (Values.count("check-settings") != 0)
    std::cout << "settings are valid\n";
  if (Values.count("print-settings") + Values.count("check-settings") != 0)
    return 0;
  return Run(*Loaded, Values);
}

} // namespace

int main(int Count, char **Arguments) {
  blockStopSignals();
  returnFreedBlocks();
  options::options_description Description(
      "ebonyvaled routes language-model traffic.\n\n"
      "  ebonyvaled --settings router.toml\n"
      "  ebonyvaled --settings router.toml --set listen.caller_port=0\n\n"
      "Options");
  addStandardOptions(Description);
  addPortsOption(Description);
  Description.add_options()(
      "gateway",
      "serve on a platform with its own store, see docs/PLATFORM.md")(
      "check-settings", "check the settings and exit")(
      "print-settings", "print the effective settings and exit");
  options::variables_map Values;
  if (const auto Exit =
          parseCommandLine("ebonyvaled", Description, Count, Arguments, Values))
    return *Exit;
  const std::string File = settingsFile(Values);
  const std::vector<std::string> Overrides = settingOverrides(Values);
  if (Values.count("gateway") != 0)
    return loadAndRun(loadGatewaySettings(File, Overrides),
                      gatewaySettingFields(), Values, &runGateway);
  return loadAndRun(loadDaemonSettings(File, Overrides), daemonSettingFields(),
                    Values, &runDaemon);
}

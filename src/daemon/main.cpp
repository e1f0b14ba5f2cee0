/// \file
/// ebonyvaled: the router daemon.
#include "common/command_line.h"
#include "daemon/process/daemon_settings.h"
#include "daemon/process/daemon_task.h"
#include "daemon/process/logging.h"

#include <sys/resource.h>

#include <csignal>
#include <iostream>
#include <sstream>

namespace {

using namespace ebonyvale;
namespace options = boost::program_options;

/// Each open stream takes two descriptors, so the soft limit goes up to the
/// hard one.
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
  std::ostringstream Ports;
  Daemon.writePorts(Ports);
  writePortsFile(Values, Ports.str());
  Daemon.run();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description Description(
      "ebonyvaled routes language-model traffic.\n\n"
      "  ebonyvaled --settings router.toml\n"
      "  ebonyvaled --settings router.toml --set listen.caller_port=0\n\n"
      "Options");
  addStandardOptions(Description);
  addPortsOption(Description);
  Description.add_options()("check-settings", "check the settings and stop")(
      "print-settings", "print the settings in force and stop");
  options::variables_map Values;
  if (const auto Exit =
          parseCommandLine("ebonyvaled", Description, Count, Arguments, Values))
    return *Exit;
  auto Settings =
      loadDaemonSettings(settingsFile(Values), settingOverrides(Values));
  if (!Settings) {
    std::cerr << "ebonyvaled: " << Settings.error().Detail << "\n";
    return ExitUsage;
  }
  if (Values.count("print-settings") != 0)
    std::cout << writeFields(bindFields(daemonSettingFields(), *Settings),
                             /*WithSecrets=*/false);
  if (Values.count("check-settings") != 0)
    std::cout << "settings are valid\n";
  if (Values.count("print-settings") + Values.count("check-settings") != 0)
    return 0;
  return runDaemon(*Settings, Values);
}

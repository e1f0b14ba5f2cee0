/// \file
/// ebonyvaled: the router daemon.
#include "daemon/process/daemon_settings.h"
#include "daemon/process/daemon_task.h"
#include "daemon/process/logging.h"

#include <boost/program_options.hpp>
#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace {

using namespace ebonyvale;
namespace options = boost::program_options;

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 1;

/// Each open stream takes two descriptors, so the soft limit goes up to the
/// hard one.
void raiseDescriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

int runDaemon(const daemon_settings &Settings, const std::string &PortsFile) {
  startLogging(Settings.LogFormat, Settings.LogLevel);
  std::signal(SIGPIPE, SIG_IGN);
  raiseDescriptorLimit();
  daemon_task Daemon(Settings);
  if (const auto Problem = Daemon.start()) {
    std::cerr << "ebonyvaled: " << Problem->Detail << "\n";
    return ExitFailure;
  }
  if (!PortsFile.empty()) {
    std::ofstream File(PortsFile + ".part");
    Daemon.writePorts(File);
    File.close();
    std::rename((PortsFile + ".part").c_str(), PortsFile.c_str());
  }
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
  Description.add_options()("help", "show this text")(
      "settings", options::value<std::string>()->default_value(""),
      "TOML file with the settings")(
      "set", options::value<std::vector<std::string>>()->default_value({}, ""),
      "name=value, goes before the file; may be repeated")(
      "ports", options::value<std::string>()->default_value(""),
      "file to which 'name port' lines are written once all listen")(
      "check-settings", "check the settings and stop")(
      "print-settings", "print the settings in force and stop");
  options::variables_map Values;
  try {
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Values);
  } catch (const options::error &Error) {
    std::cerr << "ebonyvaled: " << Error.what() << "\n";
    return ExitUsage;
  }
  if (Values.count("help") != 0) {
    std::cout << Description;
    return 0;
  }
  auto Settings =
      loadDaemonSettings(Values["settings"].as<std::string>(),
                         Values["set"].as<std::vector<std::string>>());
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
  return runDaemon(*Settings, Values["ports"].as<std::string>());
}

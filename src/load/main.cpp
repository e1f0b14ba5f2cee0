/// \file
/// ebonyvale-load: drives daemons with prompts that share nested prefixes.
#include "common/command_line.h"
#include "common/settings_loader.h"
#include "ctl/admin_client.h"
#include "load/load_run.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

namespace {

using namespace ebonyvale;
namespace options = boost::program_options;

/// Sends a body to the control path of a fake.
int publish(const std::string &Where, const std::string &Body) {
  const auto Server = parseEndpoint(Where);
  if (!Server)
    return ExitUsage;
  const auto Answer = admin_client(*Server, "").call("POST", "/control", Body);
  return Answer ? 0 : ExitFailure;
}

int runLoad(const load_settings &Settings) {
  std::signal(SIGPIPE, SIG_IGN);
  const event_base_ptr Base(event_base_new());
  load_run Run(Base.get(), Settings, std::cerr);
  const load_report &Report = Run.run();
  Report.print(std::cout);
  if (!Settings.JsonFile.empty())
    std::ofstream(Settings.JsonFile) << Report.json().dump() << "\n";
  if (!Settings.PlotFile.empty())
    std::ofstream(Settings.PlotFile) << Report.plot();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description Description(
      "ebonyvale-load measures daemons before fake engines.\n\n"
      "  ebonyvale-load --settings load.toml --set seed=7\n"
      "  ebonyvale-load --publish 127.0.0.1:9001 --body "
      "'{\"crash_ms\":500}'\n\n"
      "Options");
  addStandardOptions(Description);
  Description.add_options()(
      "publish", options::value<std::string>(),
      "send --body to the control path of a fake and stop")(
      "body", options::value<std::string>()->default_value("{}"), "its body");
  options::variables_map Values;
  if (const auto Exit = parseCommandLine("ebonyvale-load", Description, Count,
                                         Arguments, Values))
    return *Exit;
  if (Values.count("publish") != 0)
    return publish(Values["publish"].as<std::string>(),
                   Values["body"].as<std::string>());
  load_settings Settings;
  if (const auto Problem =
          loadSettings(settingsFile(Values), settingOverrides(Values),
                       bindFields(loadSettingFields(), Settings))) {
    std::cerr << "ebonyvale-load: " << Problem->Detail << "\n";
    return ExitUsage;
  }
  if (Settings.Targets.empty() || Settings.Keys.empty()) {
    std::cerr << "ebonyvale-load: targets and keys are needed\n";
    return ExitUsage;
  }
  return runLoad(Settings);
}

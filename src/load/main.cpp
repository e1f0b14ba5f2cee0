/// \file
/// ebonyvale-load: load generator whose prompts share nested prefixes.
#include "common/command_line.h"
#include "common/settings_loader.h"
#include "ctl/admin_client.h"
#include "load/load_generator.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

namespace {

using namespace ebonyvale;
namespace options = boost::program_options;

/// Posts \p Body to the control path of a fake. Returns the exit code.
int publish(const std::string &Address, const std::string &Body) {
  const auto Server = parseEndpoint(Address);
  if (!Server)
    return ExitUsage;
  const auto Response =
      admin_client(*Server, "").call("POST", "/control", Body);
  return Response && Response->IsWhole ? 0 : ExitFailure;
}

int runLoad(const load_test_settings &Settings) {
  std::signal(SIGPIPE, SIG_IGN);
  const event_base_ptr Base(event_base_new());
  load_generator Run(Base.get(), Settings, std::cerr);
  const load_test_report &Report = Run.run();
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
      "ebonyvale-load runs a load test against daemons.\n\n"
      "  ebonyvale-load --settings load.toml --set seed=7\n"
      "  ebonyvale-load --publish 127.0.0.1:9001 --body "
      "'{\"crash_ms\":500}'\n\n"
      "Options");
  addStandardOptions(Description);
  Description.add_options()(
      "publish", options::value<std::string>(),
      "post --body to the control path of a fake and exit")(
      "body", options::value<std::string>()->default_value("{}"),
      "body for --publish");
  options::variables_map Values;
  if (const auto Exit = parseCommandLine("ebonyvale-load", Description, Count,
                                         Arguments, Values))
    return *Exit;
  if (Values.count("publish") != 0)
    return publish(Values["publish"].as<std::string>(),
                   Values["body"].as<std::string>());
  load_test_settings Settings;
  if (const auto Problem =
          loadSettings(settingsFile(Values), settingOverrides(Values),
                       bindFields(loadTestSettingFields(), Settings))) {
    std::cerr << "ebonyvale-load: " << Problem->Detail << "\n";
    return ExitUsage;
  }
  if (Settings.Targets.empty() || Settings.Keys.empty()) {
    std::cerr << "ebonyvale-load: targets and keys are required\n";
    return ExitUsage;
  }
  return runLoad(Settings);
}

#include "common/command_line.h"

#include <cstdio>
#include <fstream>
#include <iostream>

namespace ebonyvale {

namespace options = boost::program_options;

void addStandardOptions(options::options_description &Options) {
  Options.add_options()("help", "show this text")(
      "settings", options::value<std::string>()->default_value(""),
      "TOML file to read the settings from")(
      "set", options::value<std::vector<std::string>>()->default_value({}, ""),
      "name=value, overrides the settings file; may be repeated");
}

void addPortsOption(options::options_description &Options) {
  Options.add_options()(
      "ports", options::value<std::string>()->default_value(""),
      "file that receives one 'name port' line per listener once all "
      "listeners are bound");
}

std::optional<int> parseCommandLine(const char *Program,
                                    const options::options_description &Options,
                                    int Count, char **Arguments,
                                    options::variables_map &Values) {
  try {
    options::store(options::parse_command_line(Count, Arguments, Options),
                   Values);
  } catch (const options::error &Error) {
    std::cerr << Program << ": " << Error.what() << "\n";
    return ExitUsage;
  }
  if (Values.count("help") == 0)
    return std::nullopt;
  std::cout << Options;
  return 0;
}

std::string settingsFile(const options::variables_map &Values) {
  return Values["settings"].as<std::string>();
}

std::vector<std::string>
settingOverrides(const options::variables_map &Values) {
  return Values["set"].as<std::vector<std::string>>();
}

void writePortsFile(const options::variables_map &Values,
                    const std::string &Lines) {
  const std::string Path = Values["ports"].as<std::string>();
  if (Path.empty())
    return;
  const std::string TemporaryPath = Path + ".part";
  std::ofstream(TemporaryPath) << Lines;
  std::rename(TemporaryPath.c_str(), Path.c_str());
}

} // namespace ebonyvale

/// \file
/// What all our programs do with their command lines.
#ifndef EBONYVALE_COMMON_COMMAND_LINE_H
#define EBONYVALE_COMMON_COMMAND_LINE_H

#include <optional>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

namespace ebonyvale {

/// Exit codes of the daemon, the fakes and the load tool.
inline constexpr int ExitUsage = 2;
inline constexpr int ExitFailure = 1;

/// Adds `help`, `settings` and `set`.
void addStandardOptions(boost::program_options::options_description &Options);

/// Adds `ports`, the file to which a program writes where it listens.
void addPortsOption(boost::program_options::options_description &Options);

/// Parses the command line of \p Program into \p Values. Returns the exit code
/// with which the program has to stop, after help or a wrong option.
std::optional<int>
parseCommandLine(const char *Program,
                 const boost::program_options::options_description &Options,
                 int Count, char **Arguments,
                 boost::program_options::variables_map &Values);

/// The settings file that was given; empty for none.
std::string settingsFile(const boost::program_options::variables_map &Values);

/// The `name=value` settings that were given.
std::vector<std::string>
settingOverrides(const boost::program_options::variables_map &Values);

/// Writes \p Lines to the file given with `ports`, if any. The file appears
/// whole: readers never see a part of it.
void writePortsFile(const boost::program_options::variables_map &Values,
                    const std::string &Lines);

} // namespace ebonyvale

#endif

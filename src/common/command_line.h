/// \file
/// Command-line options shared by the daemon, the fakes and the load tool.
#ifndef EBONYVALE_COMMON_COMMAND_LINE_H
#define EBONYVALE_COMMON_COMMAND_LINE_H

#include <optional>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

namespace ebonyvale {

/// Exit codes shared by these programs.
inline constexpr int ExitUsage = 2;
inline constexpr int ExitFailure = 1;

/// Adds the options `help`, `settings` and `set` to \p Options.
void addStandardOptions(boost::program_options::options_description &Options);

/// Adds the option `ports`, the file that receives the names and ports of the
/// program's listeners.
void addPortsOption(boost::program_options::options_description &Options);

/// Parses the command line of \p Program into \p Values. Returns the exit code
/// when the program has to stop, after printing the help or reporting an
/// invalid option.
std::optional<int>
parseCommandLine(const char *Program,
                 const boost::program_options::options_description &Options,
                 int Count, char **Arguments,
                 boost::program_options::variables_map &Values);

/// Returns the path given with `settings`; empty if there is none.
std::string settingsFile(const boost::program_options::variables_map &Values);

/// Returns the `name=value` arguments given with `set`, in order.
std::vector<std::string>
settingOverrides(const boost::program_options::variables_map &Values);

/// Writes \p Lines to the file given with `ports`, if any. The file is renamed
/// into place, so that readers never see it half written.
void writePortsFile(const boost::program_options::variables_map &Values,
                    const std::string &Lines);

} // namespace ebonyvale

#endif

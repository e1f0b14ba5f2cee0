/// \file
/// Commands of `ebonyvalectl`.
#ifndef EBONYVALE_CTL_COMMANDS_H
#define EBONYVALE_CTL_COMMANDS_H

#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace ebonyvale {

/// Exit codes of `ebonyvalectl`.
enum class exit_code {
  Done = 0,
  Refused = 1,     ///< a daemon refused the request
  Usage = 2,       ///< the command line is wrong
  Unreachable = 3, ///< a daemon cannot be reached, or its response was cut off
};

/// Command-line options, shared by all commands.
struct ctl_options {
  std::vector<std::string> Admins; ///< "address:port" of admin listeners
  std::string Token;
  std::string KeySecret;
  std::string Key;
  std::string Team;
  std::string From;    ///< RFC 3339 in UTC or milliseconds since the epoch
  std::string To;      ///< like `From`
  int WaitSeconds = 0; ///< longest wait for a version to be in force
  std::vector<std::string> Logs; ///< log files, "-" for standard input
  int IntervalSeconds = 0;       ///< covered by one row of `log table`
  bool Json = false;
};

/// A command and its help text.
struct ctl_command {
  std::string_view Name;      ///< one or more words, for example "note apply"
  std::string_view Arguments; ///< names of the required arguments, "FILE"
  std::string_view Help;
  exit_code (*Run)(const ctl_options &Options,
                   const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err);
};

/// Returns all commands in the order of the help text.
std::span<const ctl_command> ctlCommands();

/// Runs the command that \p Words name; the words after its name are its
/// arguments. Prints results to \p Out and errors to \p Err. Returns `Usage` if
/// no command matches.
exit_code runCtl(const ctl_options &Options,
                 const std::vector<std::string> &Words, std::ostream &Out,
                 std::ostream &Err);

} // namespace ebonyvale

#endif

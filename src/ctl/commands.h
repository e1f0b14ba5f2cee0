/// \file
/// The operators' commands.
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
  Refused = 1,     ///< the daemon refused the call
  Usage = 2,       ///< the command line is wrong
  Unreachable = 3, ///< the daemon does not answer
};

/// Options that all commands share.
struct ctl_options {
  std::vector<std::string> Admins; ///< "address:port" of admin listeners
  std::string Token;
  std::string KeySecret;
  std::string Key;
  std::string Team;
  std::string From; ///< RFC 3339 or milliseconds since the epoch
  std::string To;
  int WaitSeconds = 0;
  std::vector<std::string> Logs; ///< files of log lines, "-" for standard input
  int IntervalSeconds = 0;       ///< of a table's rows
  bool Json = false;
};

/// A command and how it is shown to people.
struct ctl_command {
  std::string_view Words;     ///< "note apply"
  std::string_view Arguments; ///< "FILE"
  std::string_view Help;
  exit_code (*Run)(const ctl_options &Options,
                   const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err);
};

/// All commands.
std::span<const ctl_command> ctlCommands();

/// Finds the command that \p Words start with and runs it.
exit_code runCtl(const ctl_options &Options,
                 const std::vector<std::string> &Words, std::ostream &Out,
                 std::ostream &Err);

} // namespace ebonyvale

#endif

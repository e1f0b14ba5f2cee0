/// \file
/// Commands that read log files of gateways instead of querying instances.
#ifndef EBONYVALE_CTL_LOG_COMMANDS_H
#define EBONYVALE_CTL_LOG_COMMANDS_H

#include "ctl/commands.h"

namespace ebonyvale {

/// Prints the history of the request whose id is the first argument.
exit_code logRequest(const ctl_options &Options,
                     const std::vector<std::string> &Arguments,
                     std::ostream &Out, std::ostream &Err);
/// Prints the state changes between --from and --to.
exit_code logChanges(const ctl_options &Options,
                     const std::vector<std::string> &Arguments,
                     std::ostream &Out, std::ostream &Err);
/// Prints the state of each instance at --to.
exit_code logHolders(const ctl_options &Options,
                     const std::vector<std::string> &Arguments,
                     std::ostream &Out, std::ostream &Err);
/// Prints request outcomes by --interval and by instance.
exit_code logTable(const ctl_options &Options,
                   const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err);

} // namespace ebonyvale

#endif

/// \file
/// Commands that read kept log lines of gateways instead of asking instances.
#ifndef EBONYVALE_CTL_LOG_COMMANDS_H
#define EBONYVALE_CTL_LOG_COMMANDS_H

#include "ctl/commands.h"

namespace ebonyvale {

/// What happened to the request named by the first argument.
exit_code logRequest(const ctl_options &Options,
                     const std::vector<std::string> &Arguments,
                     std::ostream &Out, std::ostream &Err);
/// What changed between --from and --to.
exit_code logChanges(const ctl_options &Options,
                     const std::vector<std::string> &Arguments,
                     std::ostream &Out, std::ostream &Err);
/// Who held what at the instant --to.
exit_code logHolders(const ctl_options &Options,
                     const std::vector<std::string> &Arguments,
                     std::ostream &Out, std::ostream &Err);
/// Outcomes by intervals and by instance.
exit_code logTable(const ctl_options &Options,
                   const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err);

} // namespace ebonyvale

#endif

/// \file
/// Keeps stop signals pending until the program handles them.
#ifndef EBONYVALE_DAEMON_PROCESS_STOP_SIGNALS_H
#define EBONYVALE_DAEMON_PROCESS_STOP_SIGNALS_H

namespace ebonyvale {

/// Blocks SIGTERM and SIGINT, also where the program that started this one has
/// not blocked them. To be called first, so that a stop during the start does
/// not end the process by the signal's default action.
void blockStopSignals();

/// Delivers pending and later stop signals. To be called once their handlers
/// are installed.
void unblockStopSignals();

} // namespace ebonyvale

#endif

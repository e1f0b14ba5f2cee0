#include "daemon/process/stop_signals.h"

#include <csignal>

namespace ebonyvale {
namespace {

void changeMask(int How) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigprocmask(How, &Signals, nullptr);
}

} // namespace

void blockStopSignals() { changeMask(SIG_BLOCK); }

void unblockStopSignals() { changeMask(SIG_UNBLOCK); }

} // namespace ebonyvale

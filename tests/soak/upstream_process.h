/// \file
/// A child process that runs one fake upstream.
#ifndef EBONYVALE_TESTS_SOAK_UPSTREAM_PROCESS_H
#define EBONYVALE_TESTS_SOAK_UPSTREAM_PROCESS_H

#include "soak/daemon_process.h"
#include "soak/silence_checker.h"

#include <filesystem>
#include <string>
#include <vector>

namespace ebonyvale {

/// How an upstream process works.
struct upstream_values {
  std::string Id;
  std::string Service;
  int DelayMs = 0;    ///< before each response
  int IntervalMs = 0; ///< between two events of a stream
};

/// Starts and silences one upstream process and reads what it printed.
class upstream_process {
public:
  /// \p Folder receives the ports file and the output.
  upstream_process(const std::string &Program, upstream_values Values,
                   const std::filesystem::path &Folder);

  bool start() { return Process.start(); }
  /// Returns the upstream's entry in the store; empty until it listens.
  std::string entry() const;
  const upstream_values &values() const { return Values; }
  bool running() { return Process.running(); }
  /// Returns the exit code, or the negated number of the signal that ended it.
  int exitStatus() const { return Process.exitStatus(); }

  /// Stops the process with SIGSTOP; overlapping calls add up.
  void beginSilence();
  /// Ends one silence; the process goes on after the last one.
  void endSilence();

  /// Returns the runs that the process has printed.
  std::vector<upstream_run> runs() const;

private:
  upstream_values Values;
  std::string PortsFile;
  std::string LogFile;
  daemon_process Process;
  unsigned Silences = 0;
};

} // namespace ebonyvale

#endif

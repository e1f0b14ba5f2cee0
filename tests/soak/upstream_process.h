/// \file
/// A child process that runs one fake upstream.
#ifndef EBONYVALE_TESTS_SOAK_UPSTREAM_PROCESS_H
#define EBONYVALE_TESTS_SOAK_UPSTREAM_PROCESS_H

#include "soak/daemon_process.h"
#include "soak/silence_checker.h"

#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace ebonyvale {

/// How an upstream process works.
struct upstream_values {
  std::string Id;
  std::string Service;
  int DelayMs = 0;    ///< before each response
  int IntervalMs = 0; ///< between two events of a stream
  /// See `fake_upstream::CloseDelimitedEvery`.
  unsigned CloseDelimitedEvery = 0;
  /// Each start's clock is this much early, right or late, by \c Seed.
  int ClockMs = 0;
  std::uint32_t Seed = 0;
  int SplitMs = 0; ///< between the halves of an event
  /// See `fake_upstream::ResetEvery`.
  unsigned ResetEvery = 0;
  /// See `fake_upstream::TruncateEvery`.
  unsigned TruncateEvery = 0;
  /// See `fake_upstream::ExtraEvery`.
  unsigned ExtraEvery = 0;
  /// See `fake_upstream::RefuseEvery`.
  unsigned RefuseEvery = 0;
  /// Software versions that starts after the first one choose from, by \c Seed;
  /// 0: events state none.
  int Versions = 0;
};

/// Starts, silences and kills one upstream process and reads what it printed.
class upstream_process {
public:
  /// \p Folder receives the ports file and the output.
  upstream_process(const std::string &Program, upstream_values Values,
                   const std::filesystem::path &Folder);

  /// Starts the process, at the port of the one before if \p SamePort.
  bool start(bool SamePort = false);
  /// Returns the upstream's entry in the store; empty until it listens.
  std::string entry() const;
  const upstream_values &values() const { return Values; }
  bool running() { return Process->running(); }
  /// Returns the exit code, or the negated number of the signal that ended it.
  int exitStatus() const { return Process->exitStatus(); }

  /// Ends the process with SIGKILL.
  void kill(instant Now);
  /// Prepares `stop`, from which on the process counts as ending.
  void beginStop() { beginEnd(); }
  /// Returns `entry` as that of an upstream that leaves.
  std::string leavingEntry() const;
  /// Has the process finish its responses and exit.
  void stop();
  /// Returns whether the process was killed or stopped after its start.
  bool ending() const { return Ending; }
  const std::vector<instant> &kills() const { return Kills; }
  /// Returns the number of starts with a clock that is early or late.
  std::size_t shiftedStarts() const { return ShiftedStarts; }

  /// Stops the process with SIGSTOP; overlapping calls add up.
  void beginSilence();
  /// Ends one silence; the process goes on after the last one.
  void endSilence();

  /// Returns the runs that the process has printed.
  std::vector<upstream_run> runs() const;
  /// Returns the number of refusals of which it has sent a copy.
  std::size_t copies() const;

private:
  /// Keeps the port for the next start.
  void beginEnd();
  /// Returns the software version of the next start; empty for none.
  std::string nextSoftware();

  std::string Program;
  upstream_values Values;
  std::string PortsFile;
  std::string LogFile;
  std::string TakenFile; ///< names programs that have taken its port
  std::unique_ptr<daemon_process> Process;
  std::string Port = "0"; ///< of the process before
  bool Ending = false;
  unsigned Silences = 0;
  std::mt19937 Clocks;
  std::mt19937 Releases;
  bool Started = false;
  std::size_t ShiftedStarts = 0;
  std::vector<instant> Kills;
};

} // namespace ebonyvale

#endif

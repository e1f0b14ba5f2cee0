/// \file
/// A child process that runs one gateway.
#ifndef EBONYVALE_TESTS_SOAK_DAEMON_PROCESS_H
#define EBONYVALE_TESTS_SOAK_DAEMON_PROCESS_H

#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace ebonyvale {

/// Starts, signals and reaps one child process. It signals no other process.
/// The destructor kills the child. If this process ends without running the
/// destructor, the system kills the child.
///
/// Writes to standard error, with the last lines of the child's output: that
/// the child has failed or was ended by a signal that this object did not send,
/// as soon as that happens; and that a gateway never became ready, when it is
/// destroyed.
class daemon_process {
public:
  /// The output of the process is appended to \p LogFile.
  daemon_process(std::string Program, std::vector<std::string> Arguments,
                 std::string LogFile);
  ~daemon_process();
  daemon_process(const daemon_process &) = delete;
  daemon_process &operator=(const daemon_process &) = delete;

  /// Sets the program of the next start.
  void setProgram(std::string Next) { Program = std::move(Next); }
  /// Starts the process; returns false, and writes the reason to standard
  /// error, if the program cannot be started. The system ends the child with
  /// the thread that calls this.
  bool start();
  void signal(int Number) const;
  /// Returns whether the process is running. Reaps it if it has ended.
  bool running();
  /// Returns the id of the running process, or 0.
  pid_t pid() const { return Pid; }
  /// Returns the last exit code, or the negated number of the signal that ended
  /// the process.
  int exitStatus() const { return ExitStatus; }

private:
  struct watch;

  /// Takes the end of the process, with the result \p Status of its wait.
  void onEnded(int Status);

  std::string Program;
  std::vector<std::string> Arguments;
  std::string LogFile;
  pid_t Pid = 0;
  int ExitStatus = 0;
  std::shared_ptr<watch> Watch; ///< shared with the thread
  std::thread Watcher;          ///< waits for the end of the process
};

/// Returns what ended a process with the result \p Status, as in "ended with
/// exit code 1".
std::string describeEnd(int Status);

/// Returns whether the gateway that wrote \p Log has not been ready since its
/// last start, and is not stopping. False for other programs.
bool isUnready(std::string_view Log);

/// Returns the last lines of \p Text, each cut to the width of a report.
std::string lastLines(std::string_view Text);

} // namespace ebonyvale

#endif

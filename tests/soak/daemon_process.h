/// \file
/// A child process that runs one gateway.
#ifndef EBONYVALE_TESTS_SOAK_DAEMON_PROCESS_H
#define EBONYVALE_TESTS_SOAK_DAEMON_PROCESS_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace ebonyvale {

/// Starts, signals and reaps one child process. It signals no other process.
/// The destructor kills the child, and the system does if this process ends
/// without it.
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
  /// Starts the process; returns false if the program cannot be started. To be
  /// called by a thread that lives as long as the process, which ends with it.
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
  std::string Program;
  std::vector<std::string> Arguments;
  std::string LogFile;
  pid_t Pid = 0;
  int ExitStatus = 0;
};

} // namespace ebonyvale

#endif

/// \file
/// One gateway as a process of its own.
#ifndef EBONYVALE_TESTS_SOAK_DAEMON_PROCESS_H
#define EBONYVALE_TESTS_SOAK_DAEMON_PROCESS_H

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace ebonyvale {

/// Starts, signals and reaps one process. It ends only what it started.
class daemon_process {
public:
  /// Output goes behind what is in \p LogFile.
  daemon_process(std::string Program, std::vector<std::string> Arguments,
                 std::string LogFile);
  ~daemon_process();
  daemon_process(const daemon_process &) = delete;
  daemon_process &operator=(const daemon_process &) = delete;

  /// False where the program cannot be started.
  bool start();
  void signal(int Number) const;
  /// Looks whether the process still runs; reaps one that has ended.
  bool running();
  /// How it ended last: its exit code, or minus the signal.
  int ended() const { return Ended; }

private:
  std::string Program;
  std::vector<std::string> Arguments;
  std::string LogFile;
  pid_t Pid = 0;
  int Ended = 0;
};

} // namespace ebonyvale

#endif

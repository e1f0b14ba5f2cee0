#include "soak/daemon_process.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT: name set by POSIX

namespace ebonyvale {
namespace {

/// Ends a child that cannot run its program; writes the error to \p Out.
[[noreturn]] void failToRun(int Out) {
  const int Error = errno;
  [[maybe_unused]] const ssize_t Written = write(Out, &Error, sizeof(Error));
  _exit(EXIT_FAILURE);
}

/// Runs the program \p Argv in a child process that \p Parent has just forked.
/// Makes only calls that are safe there. Writes an error to \p Failure, which
/// is closed when the program starts.
[[noreturn]] void runProgram(char *const *Argv, const char *LogFile,
                             pid_t Parent, int Failure) {
  // Below the descriptors that are closed, above those that are replaced.
  constexpr int KeptFailure = STDERR_FILENO + 1;
  if (Failure != KeptFailure && dup3(Failure, KeptFailure, O_CLOEXEC) < 0)
    failToRun(Failure);
  // The parent may be ended before its destructors run. Its end before this
  // call causes no signal.
  if (prctl(PR_SET_PDEATHSIG, SIGKILL) != 0)
    failToRun(KeptFailure);
  if (getppid() != Parent)
    _exit(EXIT_FAILURE);
  constexpr int Mode = 0644;
  const int Log = open(LogFile, O_WRONLY | O_CREAT | O_APPEND, Mode);
  if (Log < 0 || dup2(Log, STDOUT_FILENO) < 0 || dup2(Log, STDERR_FILENO) < 0)
    failToRun(KeptFailure);
  // A socket that the child inherits would stay open after its parent closes
  // it.
  closefrom(KeptFailure + 1);
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigprocmask(SIG_SETMASK, &StopSignals, nullptr);
  execve(Argv[0], Argv, environ);
  failToRun(KeptFailure);
}

} // namespace

daemon_process::daemon_process(std::string Program,
                               std::vector<std::string> Arguments,
                               std::string LogFile)
    : Program(std::move(Program)), Arguments(std::move(Arguments)),
      LogFile(std::move(LogFile)) {}

daemon_process::~daemon_process() {
  if (!running())
    return;
  signal(SIGKILL);
  waitpid(Pid, nullptr, 0);
}

bool daemon_process::start() {
  std::vector<char *> Argv{Program.data()};
  for (std::string &Argument : Arguments)
    Argv.push_back(Argument.data());
  Argv.push_back(nullptr);
  int Failure[2];
  if (pipe2(Failure, O_CLOEXEC) != 0)
    return false;
  // A stop signal between the fork and the start of the program stays pending.
  sigset_t StopSignals;
  sigset_t Before;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigprocmask(SIG_BLOCK, &StopSignals, &Before);
  const pid_t Parent = getpid();
  const pid_t Child = fork();
  int Error = errno;
  if (Child == 0)
    runProgram(Argv.data(), LogFile.c_str(), Parent, Failure[1]);
  sigprocmask(SIG_SETMASK, &Before, nullptr);
  close(Failure[1]);
  if (Child > 0) {
    ssize_t Size = 0;
    do
      Size = read(Failure[0], &Error, sizeof(Error));
    while (Size < 0 && errno == EINTR);
    if (Size == 0)
      Error = 0; // the program runs
    else
      waitpid(Child, nullptr, 0);
  }
  close(Failure[0]);
  Pid = Error == 0 ? Child : 0;
  return Error == 0;
}

void daemon_process::signal(int Number) const {
  if (Pid > 0)
    kill(Pid, Number);
}

bool daemon_process::running() {
  if (Pid == 0)
    return false;
  int Status = 0;
  if (waitpid(Pid, &Status, WNOHANG) == 0)
    return true;
  ExitStatus = WIFSIGNALED(Status) ? -WTERMSIG(Status) : WEXITSTATUS(Status);
  Pid = 0;
  return false;
}

} // namespace ebonyvale

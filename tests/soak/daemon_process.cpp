#include "soak/daemon_process.h"

#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
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

void writeError(const std::string &Text) {
  // One call, so that reports of several processes do not mix.
  [[maybe_unused]] const ssize_t Written =
      write(STDERR_FILENO, Text.data(), Text.size());
}

/// Returns the result of a wait that \p Info describes.
int statusOf(const siginfo_t &Info) {
  constexpr int CodeShift = 8;
  return Info.si_code == CLD_EXITED ? Info.si_status << CodeShift
                                    : Info.si_status;
}

} // namespace

/// What the thread that waits for a process knows of it.
struct daemon_process::watch {
  std::string Name; ///< of the program, with the process id
  std::string LogFile;
  std::atomic<std::uint64_t> Sent = 0; ///< signals, by number
  std::atomic<bool> Reported = false;

  /// Reports the end of the process once, unless that was asked for.
  void report(int Status) {
    if (Reported.exchange(true))
      return;
    const bool Expected =
        WIFSIGNALED(Status)
            ? ((Sent.load() >> unsigned(WTERMSIG(Status))) & 1U) != 0
            : WEXITSTATUS(Status) == 0;
    if (Expected)
      return;
    writeReport(describeEnd(Status), readLog());
  }

  /// Reports a gateway that has not become ready, of which nothing else would
  /// be left.
  void reportUnready() const {
    if (const std::string Log = readLog(); isUnready(Log))
      writeReport("had not become ready when it was ended", Log);
  }

private:
  std::string readLog() const {
    std::ostringstream Log;
    Log << std::ifstream(LogFile).rdbuf();
    return Log.str();
  }

  void writeReport(const std::string &Event, const std::string &Log) const {
    writeError(Name + " " + Event + "; the end of " + LogFile + ":\n" +
               lastLines(Log));
  }
};

std::string describeEnd(int Status) {
  if (!WIFSIGNALED(Status))
    return "ended with exit code " + std::to_string(WEXITSTATUS(Status));
  const int Signal = WTERMSIG(Status);
  return "was ended by signal " + std::to_string(Signal) + " (" +
         strsignal(Signal) + ")";
}

bool isUnready(std::string_view Log) {
  const std::size_t Start = Log.rfind("\"event\":\"started\"");
  if (Start == std::string_view::npos)
    return false;
  const std::string_view Latest = Log.substr(Start);
  const auto Has = [Latest](std::string_view Text) {
    return Latest.find(Text) != std::string_view::npos;
  };
  return !Has("\"event\":\"ready\"") && !Has("\"event\":\"stopping\"");
}

std::string lastLines(std::string_view Text) {
  constexpr int MaxLines = 10;
  constexpr std::size_t MaxWidth = 300;
  if (Text.empty())
    return "  (empty)\n";
  if (Text.ends_with('\n'))
    Text.remove_suffix(1);
  std::string Lines;
  for (int Count = 0; Count < MaxLines && !Text.empty(); ++Count) {
    const std::size_t Break = Text.rfind('\n');
    const std::size_t Begin = Break == std::string_view::npos ? 0 : Break + 1;
    Lines.insert(0, "  " + std::string(Text.substr(Begin, MaxWidth)) + "\n");
    Text = Text.substr(0, Begin == 0 ? 0 : Break);
  }
  return Lines;
}

daemon_process::daemon_process(std::string Program,
                               std::vector<std::string> Arguments,
                               std::string LogFile)
    : Program(std::move(Program)), Arguments(std::move(Arguments)),
      LogFile(std::move(LogFile)) {}

daemon_process::~daemon_process() {
  if (!running())
    return;
  Watch->reportUnready();
  signal(SIGKILL);
  int Status = 0;
  waitpid(Pid, &Status, 0);
  onEnded(Status);
}

bool daemon_process::start() {
  if (running()) {
    writeError(Program + " runs already, as process " + std::to_string(Pid) +
               "\n");
    return false;
  }
  std::vector<char *> Argv{Program.data()};
  for (std::string &Argument : Arguments)
    Argv.push_back(Argument.data());
  Argv.push_back(nullptr);
  const auto Fail = [this](int Error) {
    writeError("cannot start " + Program + " with the log " + LogFile + ": " +
               strerror(Error) + "\n");
    return false;
  };
  int Failure[2];
  if (pipe2(Failure, O_CLOEXEC) != 0)
    return Fail(errno);
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
  if (Error != 0)
    return Fail(Error);
  Pid = Child;
  Watch = std::make_shared<watch>();
  Watch->Name = Program + ", process " + std::to_string(Child) + ",";
  Watch->LogFile = LogFile;
  Watcher = std::thread([Watch = Watch, Child] {
    siginfo_t Info{};
    // The process stays for `running` to reap.
    if (waitid(P_PID, static_cast<id_t>(Child), &Info, WEXITED | WNOWAIT) == 0)
      Watch->report(statusOf(Info));
  });
  return true;
}

void daemon_process::signal(int Number) const {
  if (Pid <= 0)
    return;
  Watch->Sent |= std::uint64_t{1} << unsigned(Number);
  kill(Pid, Number);
}

bool daemon_process::running() {
  if (Pid == 0)
    return false;
  int Status = 0;
  if (waitpid(Pid, &Status, WNOHANG) == 0)
    return true;
  onEnded(Status);
  return false;
}

void daemon_process::onEnded(int Status) {
  // The thread has seen the end, or finds that the process has been reaped.
  Watcher.join();
  Watch->report(Status);
  ExitStatus = WIFSIGNALED(Status) ? -WTERMSIG(Status) : WEXITSTATUS(Status);
  Pid = 0;
}

} // namespace ebonyvale

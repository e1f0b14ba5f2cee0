// Child processes: they end with their parent.
#include "soak/daemon_process.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <optional>
#include <string>
#include <thread>

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// A new folder that is removed at the end of a test.
class test_folder {
public:
  test_folder() {
    char Name[] = "/tmp/daemon-process-XXXXXX";
    cr_assert(mkdtemp(Name));
    Path = Name;
  }
  ~test_folder() { std::filesystem::remove_all(Path); }
  test_folder(const test_folder &) = delete;
  test_folder &operator=(const test_folder &) = delete;

  std::string file(const char *Name) const { return (Path / Name).string(); }

private:
  std::filesystem::path Path;
};

struct end_row {
  char Name[24];
  int Signal; ///< that ends the parent; 0: it exits without its destructors
};

/// Starts a child that would run for a minute, writes its id to \p Out, and
/// ends or waits for the signal that ends it.
[[noreturn]] void runParent(const std::string &LogFile, int Signal, int Out) {
  daemon_process Child("/bin/sleep", {"60"}, LogFile);
  const bool Started = Child.start();
  const pid_t Pid = Started ? Child.pid() : -1;
  const bool Written = write(Out, &Pid, sizeof(Pid)) == sizeof(Pid);
  while (Written && Signal != 0)
    pause();
  _exit(0);
}

/// Waits for the end of the adopted process \p Pid; returns the signal that
/// ended it, or nothing if it goes on.
std::optional<int> waitForSignal(pid_t Pid) {
  for (int Try = 0; Try < 300; ++Try) {
    int Status = 0;
    if (waitpid(Pid, &Status, WNOHANG) == Pid)
      return WIFSIGNALED(Status) ? WTERMSIG(Status) : 0;
    std::this_thread::sleep_for(10ms);
  }
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
  return std::nullopt;
}

} // namespace

ParameterizedTestParameters(daemon_process, ends_with_its_parent) {
  static end_row Rows[] = {{"killed", SIGKILL},
                           {"terminated", SIGTERM},
                           {"aborted", SIGABRT},
                           {"exits", 0}};
  return criterion_test_params(Rows);
}

/// A gateway outlived the program that had started it and held its addresses,
/// so that later programs could not use them.
ParameterizedTest(end_row *Row, daemon_process, ends_with_its_parent) {
  const test_folder Folder;
  cr_assert(prctl(PR_SET_CHILD_SUBREAPER, 1) == 0);
  int Pipe[2];
  cr_assert(pipe(Pipe) == 0);
  const pid_t Parent = fork();
  cr_assert(Parent >= 0);
  if (Parent == 0)
    runParent(Folder.file("log"), Row->Signal, Pipe[1]);
  pid_t Child = 0;
  cr_assert(read(Pipe[0], &Child, sizeof(Child)) == sizeof(Child));
  cr_assert(Child > 0);
  if (Row->Signal != 0)
    kill(Parent, Row->Signal);
  cr_assert(waitpid(Parent, nullptr, 0) == Parent);
  cr_assert(waitForSignal(Child) == SIGKILL, "%s: the child goes on",
            Row->Name);
}

// Child processes: they end with their parent, and an end that nobody asked for
// is reported with its reason.
#include "soak/daemon_process.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

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

namespace {

struct report_row {
  char Name[32];
  char Program[16];
  char Script[64]; ///< for /bin/sh
  int Signal;      ///< sent to the process; 0: none
  char Report[64]; ///< a part of it; empty: none is expected
};

/// Redirects standard error to a file while it exists.
class captured_error {
public:
  explicit captured_error(std::string File)
      : File(std::move(File)), Before(dup(STDERR_FILENO)) {
    cr_assert(std::freopen(this->File.c_str(), "w", stderr));
  }
  ~captured_error() {
    dup2(Before, STDERR_FILENO);
    close(Before);
  }
  captured_error(const captured_error &) = delete;
  captured_error &operator=(const captured_error &) = delete;

  std::string text() const {
    std::ostringstream Text;
    Text << std::ifstream(File).rdbuf();
    return Text.str();
  }

private:
  std::string File;
  int Before;
};

} // namespace

ParameterizedTestParameters(daemon_process, reports_an_unexpected_end) {
  static report_row Rows[] = {
      {"exit code", "/bin/sh", "echo no address; exit 3", 0,
       "ended with exit code 3"},
      {"its output", "/bin/sh", "echo no address; exit 3", 0,
       ":\n  no address\n"},
      {"no output", "/bin/sh", "exit 3", 0, ":\n  (empty)\n"},
      {"error output", "/bin/sh", "echo no address >&2; exit 1", 0,
       ":\n  no address\n"},
      {"signal of its own", "/bin/sh", "kill -ABRT $$", 0,
       "was ended by signal 6 (Aborted)"},
      {"missing program", "/none/daemon", "", 0, "cannot start /none/daemon"},
      {"reason", "/none/daemon", "", 0, "No such file or directory"},
      {"exit code after a stop", "/bin/sh",
       "trap 'exit 4' INT; while sleep 0.01; do :; done", SIGINT,
       "ended with exit code 4"},
      {"done", "/bin/sh", "exit 0", 0, ""},
      {"killed", "/bin/sleep", "9", SIGKILL, ""},
      {"stopped", "/bin/sleep", "9", SIGINT, ""}};
  return criterion_test_params(Rows);
}

/// A gateway that ended at its start left no trace: its log was removed with
/// the folder, and nothing was printed.
ParameterizedTest(report_row *Row, daemon_process, reports_an_unexpected_end) {
  const test_folder Folder;
  const captured_error Error(Folder.file("error"));
  const bool IsShell = std::string_view(Row->Program) == "/bin/sh";
  daemon_process Child(Row->Program,
                       IsShell ? std::vector<std::string>{"-c", Row->Script}
                               : std::vector<std::string>{Row->Script},
                       Folder.file("log"));
  Child.start();
  if (Row->Signal != 0) {
    std::this_thread::sleep_for(50ms);
    Child.signal(Row->Signal);
  }
  // Not by asking whether it runs: a program that waits for something else does
  // not.
  std::this_thread::sleep_for(500ms);
  const std::string Text = Error.text();
  if (Row->Report[0] == 0)
    cr_assert(Text.empty(), "%s: %s", Row->Name, Text.c_str());
  else
    cr_assert(Text.find(Row->Report) != std::string::npos, "%s: %s", Row->Name,
              Text.c_str());
}

Test(daemon_process, reports_the_last_lines) {
  std::string Text;
  for (int Line = 0; Line < 30; ++Line)
    Text += "line " + std::to_string(Line) + "\n";
  const std::string Last = lastLines(Text);
  cr_assert(Last.starts_with("  line 20\n") && Last.ends_with("  line 29\n"),
            "%s", Last.c_str());
  cr_assert(lastLines(std::string(5000, 'x')).size() < 400);
}

namespace {

struct log_row {
  char Name[32];
  char Log[160];
  bool IsUnready;
};

} // namespace

ParameterizedTestParameters(daemon_process,
                            reports_a_gateway_without_readiness) {
  static log_row Rows[] = {{"not ready", R"({"event":"started"}
{"event":"not_ready","reason":"no_upstream"}
)",
                            true},
                           {"hangs", R"({"event":"started"}
)",
                            true},
                           {"ready", R"({"event":"started"}
{"event":"not_ready"}
{"event":"ready"}
)",
                            false},
                           {"ready once", R"({"event":"started"}
{"event":"ready"}
{"event":"not_ready"}
)",
                            false},
                           {"the one before was", R"({"event":"ready"}
{"event":"started"}
{"event":"not_ready"}
)",
                            true},
                           {"stopping", R"({"event":"started"}
{"event":"stopping"}
)",
                            false},
                           {"another program", "listening\n", false},
                           {"no output", "", false}};
  return criterion_test_params(Rows);
}

/// A program that gave up waiting for a gateway removed its log and printed
/// nothing.
ParameterizedTest(log_row *Row, daemon_process,
                  reports_a_gateway_without_readiness) {
  const test_folder Folder;
  const std::string Log = Folder.file("log");
  const captured_error Error(Folder.file("error"));
  std::ofstream(Log) << Row->Log;
  {
    daemon_process Child("/bin/sleep", {"9"}, Log);
    cr_assert(Child.start());
  }
  const std::string Text = Error.text();
  const bool Reported =
      Text.find("had not become ready when it was ended; the end of " + Log) !=
      std::string::npos;
  cr_assert(Reported == Row->IsUnready, "%s: %s", Row->Name, Text.c_str());
}

#include "soak/daemon_process.h"

#include <csignal>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

extern char **environ; // NOLINT: name set by POSIX

namespace ebonyvale {

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
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  constexpr int Mode = 0644;
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, Mode);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  // A socket that the child inherits would stay open after this process closes
  // it.
  posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  // A stop signal between the fork and the start of the program stays pending.
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  posix_spawnattr_t Attributes;
  posix_spawnattr_init(&Attributes);
  posix_spawnattr_setsigmask(&Attributes, &StopSignals);
  posix_spawnattr_setflags(&Attributes, POSIX_SPAWN_SETSIGMASK);
  std::vector<char *> Argv{Program.data()};
  for (std::string &Argument : Arguments)
    Argv.push_back(Argument.data());
  Argv.push_back(nullptr);
  const int Error = posix_spawn(&Pid, Program.c_str(), &Actions, &Attributes,
                                Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  posix_spawnattr_destroy(&Attributes);
  if (Error != 0)
    Pid = 0;
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

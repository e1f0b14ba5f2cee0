#include "soak/early_stop.h"

#include "soak/daemon_process.h"

#include <chrono>
#include <csignal>
#include <memory>
#include <thread>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

std::vector<std::string> stopEarly(const std::string &Daemon,
                                   const std::filesystem::path &Folder,
                                   std::size_t Count) {
  std::vector<std::unique_ptr<daemon_process>> Processes;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    std::vector<std::string> Arguments{"--gateway"};
    // The store need not be reachable for a start or a stop.
    for (const char *Setting :
         {"listen.callers=127.0.0.1:0", "listen.ready=127.0.0.1:0",
          "listen.peers=127.0.0.1:0", "store.endpoint=127.0.0.1:1"}) {
      Arguments.emplace_back("--set");
      Arguments.emplace_back(Setting);
    }
    Processes.push_back(std::make_unique<daemon_process>(
        Daemon, Arguments,
        (Folder / fmt::format("early-{}.log", Index)).string()));
    if (!Processes.back()->start())
      return {fmt::format("{} cannot be started", Daemon)};
    // From before the first instruction of the program to after its start.
    std::this_thread::sleep_for(std::chrono::microseconds(500 * Index));
    Processes.back()->signal(SIGTERM);
  }
  std::vector<std::string> Problems;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    while (Processes[Index]->running())
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    if (const int Status = Processes[Index]->exitStatus(); Status != 0)
      Problems.push_back(
          fmt::format("process {} ended with {}", Index, Status));
  }
  return Problems;
}

} // namespace ebonyvale

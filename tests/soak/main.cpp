/// \file
/// ebonyvale-soak: runs gateway processes under randomly planned faults and
/// checks the guarantees to callers and upstreams.
#include "soak/early_stop.h"
#include "soak/folder_lock.h"
#include "soak/soak_environment.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>

#include <spdlog/fmt/fmt.h>
#include <unistd.h>

namespace {

using namespace ebonyvale;
namespace options = boost::program_options;

/// Runs one seed and returns whether it had no violations. Removes the folder
/// of a seed without violations.
bool runSeed(soak_options Options, const std::filesystem::path &Root) {
  Options.Folder = Root / fmt::format("seed-{}", Options.Seed);
  std::filesystem::remove_all(Options.Folder);
  std::filesystem::create_directories(Options.Folder);
  const soak_result Result = soak_environment(Options).run();
  std::string Statuses;
  for (const auto &[Status, Count] : Result.StatusCounts)
    Statuses += fmt::format(" {}:{}", Status, Count);
  std::cout << fmt::format("seed {}: {} requests;{}; {} violations\n",
                           Options.Seed, Result.RequestCount, Statuses,
                           Result.Violations.size())
            << fmt::format(
                   "  streams: {} of {} new ones began; {} resumed, of "
                   "them {} of {} counted went on; {} mixed; upstreams: "
                   "{} leavings passed on, {} pauses asked for\n",
                   Result.Streams.Begun, Result.Streams.New,
                   Result.Streams.Resumed, Result.Streams.GoOn,
                   Result.Streams.Counted, Result.Streams.Mixed,
                   Result.Leavings, Result.Pauses)
            << (Options.EarlierDaemon.empty()
                    ? ""
                    : fmt::format("  builds: {} gateways upgraded, {} rolled "
                                  "back\n",
                                  Result.Upgrades, Result.Rollbacks))
            << std::flush;
  if (Result.Violations.empty()) {
    std::filesystem::remove_all(Options.Folder);
    return true;
  }
  constexpr std::size_t Shown = 40;
  for (std::size_t Index = 0; Index < std::min(Result.Violations.size(), Shown);
       ++Index)
    std::cout << "  " << Result.Violations[Index] << "\n";
  if (Result.Violations.size() > Shown)
    std::cout << fmt::format("  and {} more\n",
                             Result.Violations.size() - Shown);
  std::cout << "event plan; logs are in " << Options.Folder.string() << "\n";
  for (const soak_event &Event : makeSoakPlan(Options.Seed, Options.Size))
    std::cout << "  " << describe(Event) << "\n";
  return false;
}

} // namespace

int main(int Count, char **Arguments) {
  soak_options RunOptions;
  std::uint32_t Seeds = 1;
  double Seconds = 8;
  size_request Request;
  std::string Folder;
  std::size_t EarlyStops = 0;
  options::options_description Description(
      "ebonyvale-soak --daemon build/ebonyvaled --seed 1 --seeds "
      "50\n\nOptions");
  Description.add_options()("help", "show this text")(
      "daemon", options::value(&RunOptions.Daemon)->required(),
      "path of ebonyvaled")(
      "earlier-daemon", options::value(&RunOptions.EarlierDaemon),
      "path of another build: every second gateway starts with it, and "
      "gateways are replaced in both directions")(
      "seed", options::value(&RunOptions.Seed)->default_value(1), "first seed")(
      "seeds", options::value(&Seeds)->default_value(1),
      "number of seeds")("seconds", options::value(&Seconds)->default_value(8),
                         "traffic time per seed, in seconds")(
      "gateways", options::value<std::size_t>(),
      "number of gateway processes; 3, with --releases 6")(
      "callers", options::value<std::size_t>(),
      "number of concurrent callers; 24, with --releases 36")(
      "releases", options::bool_switch(&Request.Releases),
      "kill gateways while upstreams change their software")(
      "folder", options::value(&Folder)->default_value("soak-logs"),
      "folder for settings and logs")(
      "early-stops", options::value(&EarlyStops)->default_value(0),
      "instead of seeds, stop this many gateways while they start")(
      "judge-times", options::bool_switch(&RunOptions.CheckTimes),
      "check time bounds too");
  options::variables_map Values;
  try {
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Values);
    if (Values.count("help") != 0) {
      std::cout << Description;
      return 0;
    }
    options::notify(Values);
  } catch (const options::error &Error) {
    std::cerr << "ebonyvale-soak: " << Error.what() << "\n";
    return 2;
  }
  const auto Refuse = [](const std::string &Reason) {
    std::cerr << "ebonyvale-soak: " << Reason << "\n";
    return 2;
  };
  Request.Length = fromSeconds(Seconds);
  Request.TwoBuilds = !RunOptions.EarlierDaemon.empty();
  if (Values.count("gateways") != 0)
    Request.Gateways = Values["gateways"].as<std::size_t>();
  if (Values.count("callers") != 0)
    Request.Callers = Values["callers"].as<std::size_t>();
  const auto Size = chooseSize(Request);
  if (!Size)
    return Refuse("--gateways and --callers must be at least 1");
  RunOptions.Size = *Size;
  for (const std::string &Program :
       {RunOptions.Daemon, RunOptions.EarlierDaemon})
    if (!Program.empty() && access(Program.c_str(), X_OK) != 0)
      return Refuse(Program + " cannot be run");
  std::error_code Ignored; // the lock states what cannot be used
  std::filesystem::create_directories(Folder, Ignored);
  const folder_lock Lock(Folder);
  if (!Lock.held())
    return Refuse(Lock.problem());
  std::signal(SIGPIPE, SIG_IGN);
  if (EarlyStops > 0) {
    const auto Root = std::filesystem::absolute(Folder) / "early-stops";
    std::filesystem::create_directories(Root);
    const auto Problems = stopEarly(RunOptions.Daemon, Root, EarlyStops);
    for (const std::string &Problem : Problems)
      std::cout << Problem << "\n";
    std::cout << fmt::format("{} of {} early stops failed\n", Problems.size(),
                             EarlyStops);
    return Problems.empty() ? 0 : 1;
  }
  std::uint32_t Failed = 0;
  for (std::uint32_t Index = 0; Index < Seeds; ++Index, ++RunOptions.Seed)
    Failed += runSeed(RunOptions, std::filesystem::absolute(Folder)) ? 0 : 1;
  std::cout << fmt::format("{} of {} seeds had violations\n", Failed, Seeds);
  return Failed == 0 ? 0 : 1;
}

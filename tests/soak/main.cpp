/// \file
/// ebonyvale-soak: gateways as real processes under random troubles.
#include "soak/soak_world.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

#include <spdlog/fmt/fmt.h>

namespace {

using namespace ebonyvale;
namespace options = boost::program_options;

/// Runs one seed; the folder of one that breaks no promise is removed.
bool runSeed(soak_options Options, const std::filesystem::path &Root) {
  Options.Folder = Root / fmt::format("seed-{}", Options.Seed);
  std::filesystem::remove_all(Options.Folder);
  std::filesystem::create_directories(Options.Folder);
  const soak_result Result = soak_world(Options).run();
  std::string Answers;
  for (const auto &[Status, Count] : Result.Answers)
    Answers += fmt::format(" {}:{}", Status, Count);
  std::cout << fmt::format("seed {}: {} asked;{}; {} promises broken\n",
                           Options.Seed, Result.Asked, Answers,
                           Result.Broken.size())
            << std::flush;
  if (Result.Broken.empty()) {
    std::filesystem::remove_all(Options.Folder);
    return true;
  }
  for (const std::string &Line : Result.Broken)
    std::cout << "  " << Line << "\n";
  std::cout << "the plan; logs are in " << Options.Folder.string() << "\n";
  for (const soak_event &Event : makeSoakPlan(Options.Seed, Options.Size))
    std::cout << "  " << describe(Event) << "\n";
  return false;
}

} // namespace

int main(int Count, char **Arguments) {
  soak_options Given;
  std::uint32_t Seeds = 1;
  double Seconds = 8;
  std::string Folder;
  options::options_description Description(
      "ebonyvale-soak --daemon build/ebonyvaled --seed 1 --seeds "
      "50\n\nOptions");
  Description.add_options()("help", "show this text")(
      "daemon", options::value(&Given.Daemon)->required(), "the daemon to run")(
      "seed", options::value(&Given.Seed)->default_value(1), "first seed")(
      "seeds", options::value(&Seeds)->default_value(1), "number of seeds")(
      "seconds", options::value(&Seconds)->default_value(8), "of each seed")(
      "gateways", options::value(&Given.Size.Gateways)->default_value(3),
      "processes")("callers",
                   options::value(&Given.Size.Callers)->default_value(24),
                   "requests at once")(
      "folder", options::value(&Folder)->default_value("soak-logs"),
      "for settings and logs")("judge-times",
                               options::bool_switch(&Given.JudgeTimes),
                               "judge bounds of time too");
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
  std::signal(SIGPIPE, SIG_IGN);
  Given.Size.Length = fromSeconds(Seconds);
  std::uint32_t Failed = 0;
  for (std::uint32_t Index = 0; Index < Seeds; ++Index, ++Given.Seed)
    Failed += runSeed(Given, std::filesystem::absolute(Folder)) ? 0 : 1;
  std::cout << fmt::format("{} of {} seeds broke a promise\n", Failed, Seeds);
  return Failed == 0 ? 0 : 1;
}

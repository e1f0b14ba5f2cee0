/// \file
/// ebonyvale-soak: runs gateway processes under randomly planned faults and
/// checks the guarantees to callers and upstreams.
#include "soak/early_stop.h"
#include "soak/folder_lock.h"
#include "soak/response_faults.h"
#include "soak/silence_environment.h"
#include "soak/soak_environment.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
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
  std::cout
      << fmt::format("seed {}: {} requests;{}; {} violations\n", Options.Seed,
                     Result.RequestCount, Statuses, Result.Violations.size())
      << fmt::format("  streams: {} of {} new ones began; {} resumed, of "
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
      << (Options.Orders
              ? fmt::format("  orders: {} of {} sound versions completed, "
                            "{} of {} faulty ones rolled back, which ran "
                            "{} requests at most\n",
                            Result.Orders.Completed, Result.Orders.Sound,
                            Result.Orders.RolledBack, Result.Orders.Faulty,
                            Result.Orders.Exposed)
              : "")
      << std::flush;
  if (Result.Violations.empty()) {
    if (!Options.KeepLogs)
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

/// Runs one seed with silent upstreams; otherwise as `runSeed`.
bool runSilences(silence_options Options, const std::filesystem::path &Root) {
  Options.Folder = Root / fmt::format("silences-{}", Options.Seed);
  std::filesystem::remove_all(Options.Folder);
  std::filesystem::create_directories(Options.Folder);
  const silence_result Result = silence_environment(Options).run();
  std::string Text = fmt::format("silences {}: {} requests;", Options.Seed,
                                 Result.Counts.Requests);
  for (const auto &[Status, Count] : Result.Statuses)
    Text += fmt::format(" {}:{}", Status, Count);
  const silence_counts &Counts = Result.Counts;
  Text += fmt::format(
      "; {} violations\n  {} runs; {} requests on idle connections; "
      "incomplete: {} given up, {} crossed a close, {} at the end of their "
      "time, {} beside killed upstreams, {} reset, {} beside "
      "faults; {} early 502 or 504; {} resumed, {} at an earlier service\n",
      Result.Violations.size(), Result.Runs, Counts.Idle, Counts.GaveUp,
      Counts.Crossed, Counts.TimeUsed, Counts.Killed, Counts.Reset,
      Counts.Faulted, Counts.Early, Counts.Resumed, Counts.OldServices);
  if (Options.UpstreamKills)
    Text += fmt::format("  upstreams: {} killed, {} stopped, {} answers cut "
                        "after complete runs, {} starts by a shifted clock; "
                        "{} gateways frozen\n",
                        Result.UpstreamKills, Result.UpstreamStops,
                        Counts.WholeCut, Result.ShiftedStarts, Result.Freezes);
  if (Options.UpstreamVersions > 0)
    Text += fmt::format("  software: {} of {} resumed requests went on, {} "
                        "streams mixed\n",
                        Counts.WentOn, Counts.Resumed, Counts.Mixed);
  if (Options.CloseDelimitedEvery > 0)
    Text += fmt::format("  {} streams broken off after all events, whose end "
                        "nothing has proven\n",
                        Counts.Continued);
  if (Options.TruncateResponses > 0 || Options.ExtraResponses > 0)
    Text += fmt::format(
        "  {} runs truncated, {} of them close-delimited; {} incomplete "
        "answers "
        "of them, {} unproven ends of truncated responses; {} whole responses "
        "cut; {} responses followed by more bytes\n",
        Result.Truncated, Result.TruncatedCloseDelimited, Counts.Truncated,
        Counts.Unproven, Counts.WholeCut, Result.Extras);
  if (Options.CopiedRefusals > 0)
    Text += fmt::format("  {} copies of refusals\n", Result.Copies);
  for (const std::string &Violation : Result.Violations)
    Text += "  " + Violation + "\n";
  if (Result.Violations.empty() && !Options.KeepLogs) {
    std::filesystem::remove_all(Options.Folder);
  } else {
    Text += "event plan; logs are in " + Options.Folder.string() + "\n";
    for (const silence_event &Event :
         makeSilencePlan(Options.Seed, Options.Length, Options.Faults,
                         Options.UpstreamKills))
      Text += "  " + describe(Event) + "\n";
    std::ofstream(Options.Folder / "result.txt") << Text;
  }
  std::cout << Text << std::flush;
  return Result.Violations.empty();
}

} // namespace

int main(int Count, char **Arguments) {
  soak_options RunOptions;
  std::uint32_t Seeds = 1;
  double Seconds = 8;
  size_request Request;
  std::string Folder;
  std::size_t EarlyStops = 0;
  silence_options Silences;
  bool WithSilences = false;
  bool WithoutFaults = false;
  bool UnnamedStreams = false;
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
      "orders", options::bool_switch(&RunOptions.Orders),
      "order releases, half of them of faulty versions, beside faults of "
      "gateways and the store; needs --seconds 30 or more")(
      "slow-restarts", options::bool_switch(&RunOptions.SlowRestarts),
      "upstreams that start again under their ids are away for up to 3 s and "
      "listed up to 1.2 s later")(
      "more-routes", options::value(&RunOptions.MoreRoutes),
      "most routes of a configuration beside the usual ones")(
      "store-rate", options::value(&RunOptions.StoreBytesPerSecond),
      "bytes a second that each gateway receives from the store")(
      "folder", options::value(&Folder)->default_value("soak-logs"),
      "folder for settings and logs")(
      "early-stops", options::value(&EarlyStops)->default_value(0),
      "instead of seeds, stop this many gateways while they start")(
      "judge-times", options::bool_switch(&RunOptions.CheckTimes),
      "check time bounds too");
  Description.add_options()(
      "silences", options::bool_switch(&WithSilences),
      "silence upstream processes while the configuration changes")(
      "upstream", options::value(&Silences.Upstream),
      "path of ebonyvale-soak-upstream, for --silences; else beside this")(
      "without-faults", options::bool_switch(&WithoutFaults),
      "with --silences, no faults of gateways and their links")(
      "kill-upstreams", options::bool_switch(&Silences.UpstreamKills),
      "with --silences, kill and restart upstream processes, too")(
      "keep-logs", options::bool_switch(&RunOptions.KeepLogs),
      "keep the logs of seeds without violations")(
      "close-delimited-every", options::value(&Silences.CloseDelimitedEvery),
      "with --silences, one response of an upstream in so many is delimited by "
      "the close of its connection; 0: none")(
      "restart-ms", options::value<int>(),
      "with --kill-upstreams, restart them at their ports after so many ms")(
      "upstream-clock-ms", options::value(&Silences.UpstreamClockMs),
      "with --silences, upstreams state starts by clocks that are so many ms "
      "early, right or late, anew at each start")(
      "upstream-versions", options::value(&Silences.UpstreamVersions),
      "with --kill-upstreams, restarted upstreams have one of so many software "
      "versions; 0: events state none")(
      "listing-ms", options::value(&Silences.ListingMs),
      "with --kill-upstreams, the entry of a restarted upstream is written up "
      "to so many ms later")("unnamed-streams",
                             options::bool_switch(&UnnamedStreams),
                             "callers do not name the stream that they resume")(
      "freeze-gateways", options::bool_switch(&Silences.FreezeGateways),
      "with --kill-upstreams, stop one gateway in turn for 400 ms at each "
      "kill")(
      "stop-upstreams", options::bool_switch(&Silences.StopUpstreams),
      "with --kill-upstreams, every second kill is a SIGTERM, after which they "
      "finish their responses")(
      "split-events", options::bool_switch(&Silences.SplitEvents),
      "with --silences, each event is sent in two writes 20 ms apart")(
      "reset-responses", options::value(&Silences.ResetResponses),
      "with --silences, one response of an upstream in so many is broken off "
      "within an event; 0: none")(
      "truncate-responses", options::value(&Silences.TruncateResponses),
      "with --silences, one response of an upstream in so many is ended early "
      "by an orderly close; 0: none")(
      "extra-responses", options::value(&Silences.ExtraResponses),
      "with --silences, after one whole response with chunks or a length in so "
      "many more bytes follow; 0: none")(
      "copied-refusals", options::value(&Silences.CopiedRefusals),
      "with --silences, an upstream refuses one request in so many, and sends "
      "a copy of the refusal on its connection; 0: none")(
      "http10-every", options::value(&Silences.Http10Every),
      "with --silences, one caller in so many speaks HTTP/1.0; 0: none")(
      "response-faults", options::value<std::string>()->implicit_value(""),
      "instead of seeds, play each fault of an upstream's response whose "
      "name contains the value, and print what callers got");
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
  if (Values.count("restart-ms") != 0)
    Silences.RestartTime =
        std::chrono::milliseconds(Values["restart-ms"].as<int>());
  RunOptions.NameStreams = !UnnamedStreams;
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
  if (Values.count("response-faults") != 0)
    return playResponseFaults(RunOptions.Daemon,
                              std::filesystem::absolute(Folder),
                              Values["response-faults"].as<std::string>()) == 0
               ? 0
               : 1;
  std::uint32_t Failed = 0;
  if (WithSilences) {
    if (Silences.Upstream.empty())
      Silences.Upstream = (std::filesystem::read_symlink("/proc/self/exe")
                               .replace_filename("ebonyvale-soak-upstream"))
                              .string();
    if (access(Silences.Upstream.c_str(), X_OK) != 0)
      return Refuse(Silences.Upstream + " cannot be run");
    Silences.Daemon = RunOptions.Daemon;
    Silences.Seed = RunOptions.Seed;
    Silences.Gateways = RunOptions.Size.Gateways;
    Silences.Callers = RunOptions.Size.Callers;
    Silences.Length = RunOptions.Size.Length;
    Silences.Faults = !WithoutFaults;
    Silences.NameStreams = RunOptions.NameStreams;
    Silences.KeepLogs = RunOptions.KeepLogs;
    for (std::uint32_t Index = 0; Index < Seeds; ++Index, ++Silences.Seed)
      Failed +=
          runSilences(Silences, std::filesystem::absolute(Folder)) ? 0 : 1;
    std::cout << fmt::format("{} of {} seeds had violations\n", Failed, Seeds);
    return Failed == 0 ? 0 : 1;
  }
  for (std::uint32_t Index = 0; Index < Seeds; ++Index, ++RunOptions.Seed)
    Failed += runSeed(RunOptions, std::filesystem::absolute(Folder)) ? 0 : 1;
  std::cout << fmt::format("{} of {} seeds had violations\n", Failed, Seeds);
  return Failed == 0 ? 0 : 1;
}

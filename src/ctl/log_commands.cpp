#include "ctl/log_commands.h"

#include "ctl/log_report.h"
#include "ctl/timestamp.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>

namespace ebonyvale {
namespace {

/// Reads all files given with --log. The stem of the file name is the instance
/// of lines that have no prefix with its name.
std::optional<merged_log> readLogs(const ctl_options &Options,
                                   std::ostream &Err) {
  merged_log Log;
  if (Options.Logs.empty()) {
    Err << "--log FILE is required, once for each file; '-' for standard "
           "input\n";
    return std::nullopt;
  }
  for (const std::string &Path : Options.Logs) {
    if (Path == "-") {
      Log.read(std::cin, "-");
      continue;
    }
    std::ifstream File(Path);
    if (!File) {
      Err << "cannot read " << Path << "\n";
      return std::nullopt;
    }
    Log.read(File, std::filesystem::path(Path).stem().string());
  }
  if (Log.unreadable() > 0)
    Err << Log.unreadable()
        << " lines are not log lines of a gateway and were skipped\n";
  return Log;
}

/// Parses --from and --to. A missing bound leaves the range open on that side.
std::optional<time_range> readTimeRange(const ctl_options &Options,
                                        std::ostream &Err) {
  time_range Range;
  for (const auto &[Text, Bound] : {std::pair(&Options.From, &Range.From),
                                    std::pair(&Options.To, &Range.To)}) {
    if (Text->empty())
      continue;
    const auto Timestamp = parseTimestamp(*Text);
    if (!Timestamp) {
      Err << *Text
          << ": not a timestamp, expected for example 2026-01-31T12:00:00Z\n";
      return std::nullopt;
    }
    *Bound = *Timestamp;
  }
  return Range;
}

} // namespace

exit_code logRequest(const ctl_options &Options,
                     const std::vector<std::string> &Arguments,
                     std::ostream &Out, std::ostream &Err) {
  const auto Log = readLogs(Options, Err);
  if (!Log)
    return exit_code::Usage;
  if (reportRequest(*Log, Arguments[0], Out))
    return exit_code::Done;
  Err << Arguments[0] << ": no log line has this request id\n";
  return exit_code::Refused;
}

exit_code logChanges(const ctl_options &Options,
                     const std::vector<std::string> &, std::ostream &Out,
                     std::ostream &Err) {
  const auto Range = readTimeRange(Options, Err);
  const auto Log = Range ? readLogs(Options, Err) : std::nullopt;
  if (!Log)
    return exit_code::Usage;
  reportChanges(*Log, *Range, Out);
  return exit_code::Done;
}

exit_code logHolders(const ctl_options &Options,
                     const std::vector<std::string> &, std::ostream &Out,
                     std::ostream &Err) {
  const auto Range = readTimeRange(Options, Err);
  const auto Log = Range ? readLogs(Options, Err) : std::nullopt;
  if (!Log)
    return exit_code::Usage;
  reportState(*Log, Range->To, Out);
  return exit_code::Done;
}

exit_code logTable(const ctl_options &Options, const std::vector<std::string> &,
                   std::ostream &Out, std::ostream &Err) {
  const auto Range = readTimeRange(Options, Err);
  const auto Log = Range ? readLogs(Options, Err) : std::nullopt;
  if (!Log)
    return exit_code::Usage;
  if (Options.IntervalSeconds <= 0) {
    Err << "--interval must be above 0\n";
    return exit_code::Usage;
  }
  reportTable(*Log, *Range, std::chrono::seconds(Options.IntervalSeconds), Out);
  return exit_code::Done;
}

} // namespace ebonyvale

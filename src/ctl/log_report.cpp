#include "ctl/log_report.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

/// State changes up to this long before a request are printed with it, since
/// decisions may depend on a state that is some seconds old.
constexpr std::chrono::milliseconds ContextBefore = 6s;

/// Returns whether a line reports a change of an instance's state rather than
/// an event of a request.
bool isStateChange(const log_line &Line) { return Line.Category != "request"; }

std::string timeOf(wall_ms At) {
  const auto Millis = At.time_since_epoch().count();
  constexpr std::int64_t PerSecond = 1000;
  return fmt::format("{:%H:%M:%S}.{:03}",
                     fmt::gmtime(static_cast<std::time_t>(Millis / PerSecond)),
                     Millis % PerSecond);
}

void print(const log_line &Line, std::ostream &Out) {
  static const std::set<std::string_view> Omitted{"time", "level", "category",
                                                  "event"};
  Out << fmt::format("{}  {:<18} {}", timeOf(Line.At), Line.Instance,
                     Line.Event);
  for (const auto &[Name, Value] : Line.Fields.items())
    if (!Omitted.contains(Name))
      Out << fmt::format(" {}={}", Name, Line.text(Name));
  Out << "\n";
}

/// Outcomes of the requests of one interval or instance.
struct outcome_counts {
  std::map<std::string, std::size_t> Outcomes;
  std::map<std::string, std::size_t> Refusals; ///< by kind
  std::size_t LostAttempts = 0;
  std::vector<double> FirstMs; ///< time to the first byte of a response
  std::set<std::string> Versions;

  void add(const log_line &Line) {
    if (Line.Event == "refused")
      ++Refusals[Line.text("kind")];
    if (Line.Event == "attempt_ended")
      ++LostAttempts;
    if (const std::string Version = Line.text("version");
        !Version.empty() && Line.Category == "request")
      Versions.insert(Version);
    if (Line.Event != "ended")
      return;
    const std::string Outcome = Line.text("outcome");
    ++Outcomes[Outcome];
    if (Outcome == "answered" || Outcome == "streamed")
      FirstMs.push_back(Line.number("first_ms", 0));
  }

  double percentile(double Fraction) const {
    if (FirstMs.empty())
      return 0;
    std::vector<double> Sorted = FirstMs;
    std::ranges::sort(Sorted);
    return Sorted[static_cast<std::size_t>(
        Fraction * static_cast<double>(Sorted.size() - 1))];
  }

  std::size_t count(const char *Outcome) const {
    const auto Found = Outcomes.find(Outcome);
    return Found == Outcomes.end() ? 0 : Found->second;
  }
};

void printHeader(std::string_view First, std::ostream &Out) {
  Out << fmt::format("{:<20} {:>7} {:>8} {:>7} {:>5} {:>5} {:>8} {:>8}  {}\n",
                     First, "served", "refused", "broken", "gone", "again",
                     "p50 ms", "p99 ms", "versions; refusals by kind");
}

void print(std::string_view Name, const outcome_counts &Counts,
           std::ostream &Out) {
  constexpr double Median = 0.5;
  constexpr double Tail = 0.99;
  std::string Details = fmt::format("{}", fmt::join(Counts.Versions, ","));
  for (const auto &[Kind, Count] : Counts.Refusals)
    Details += fmt::format("; {} {}", Kind, Count);
  Out << fmt::format(
      "{:<20} {:>7} {:>8} {:>7} {:>5} {:>5} {:>8.1f} {:>8.1f}  {}\n", Name,
      Counts.count("answered") + Counts.count("streamed"),
      Counts.count("refused"), Counts.count("broken_off"),
      Counts.count("caller_gone"), Counts.LostAttempts,
      Counts.percentile(Median), Counts.percentile(Tail), Details);
}

/// State of an instance as of its latest log lines.
struct reported_state {
  std::string Version = "-";
  std::string Store = "-";
  std::string DividedBy = "-";
  std::string WeightsClaim = "-";
  std::string State = "-";

  void update(const log_line &Line) {
    if (Line.Event == "started" || Line.Event == "stopping" ||
        Line.Event == "stopped")
      State = Line.Event;
    if (Line.Event == "started")
      *this = {.State = State}; // a new process starts without earlier state
    if (Line.Event == "configuration_in_force")
      Version = Line.text("version");
    if (Line.Event == "store_reached" || Line.Event == "store_lost")
      Store = fmt::format("{} at {}",
                          Line.Event == "store_lost" ? "lost" : "reached",
                          timeOf(Line.At));
    if (Line.Event == "limits_divided")
      DividedBy = Line.text("instances");
    if (Line.Event == "claim_taken")
      WeightsClaim =
          fmt::format("fence {} since {}", Line.text("fence"), timeOf(Line.At));
    if (Line.Event == "claim_lost")
      WeightsClaim = fmt::format("lost at {}", timeOf(Line.At));
  }
};

} // namespace

bool reportRequest(const merged_log &Log, std::string_view Id,
                   std::ostream &Out) {
  std::set<std::string> Instances;
  std::set<std::string> Upstreams;
  time_range Active{wall_ms::max(), wall_ms::min()};
  for (const log_line &Line : Log.lines()) {
    if (Line.text("id") != Id)
      continue;
    Instances.insert(Line.Instance);
    Upstreams.insert(Line.text("upstream"));
    Active = {std::min(Active.From, Line.At), std::max(Active.To, Line.At)};
  }
  Upstreams.erase("");
  if (Instances.empty())
    return false;
  const time_range Context{Active.From - ContextBefore, Active.To};
  for (const log_line &Line : Log.lines()) {
    const bool OfRequest = Line.text("id") == Id;
    const bool OfInstance =
        isStateChange(Line) && Line.Category != "upstream" &&
        Line.Category != "weights" && Instances.contains(Line.Instance);
    const bool OfUpstream =
        isStateChange(Line) && Upstreams.contains(Line.text("upstream")) &&
        (Line.Category == "weights" || Instances.contains(Line.Instance));
    if (OfRequest || (Context.contains(Line.At) && (OfInstance || OfUpstream)))
      print(Line, Out);
  }
  return true;
}

void reportChanges(const merged_log &Log, const time_range &Range,
                   std::ostream &Out) {
  std::map<std::string, std::size_t> Others;
  for (const log_line &Line : Log.lines()) {
    if (!Range.contains(Line.At))
      continue;
    if (isStateChange(Line))
      print(Line, Out);
    else
      ++Others[Line.Event];
  }
  for (const auto &[Event, Count] : Others)
    Out << fmt::format("{} request events: {}\n", Count, Event);
}

void reportState(const merged_log &Log, wall_ms At, std::ostream &Out) {
  std::map<std::string, reported_state> Instances;
  std::map<std::string, const log_line *> Upstreams;
  for (const log_line &Line : Log.lines()) {
    if (Line.At > At)
      break;
    Instances[Line.Instance].update(Line);
    if (Line.Event == "order_answered")
      Upstreams[Line.text("upstream")] = &Line;
  }
  Out << fmt::format("{:<20} {:<9} {:<9} {:<8} {:<24} {}\n", "instance",
                     "state", "version", "divided", "store", "weights claim");
  for (const auto &[Name, Reported] : Instances)
    Out << fmt::format("{:<20} {:<9} {:<9} {:<8} {:<24} {}\n", Name,
                       Reported.State, Reported.Version, Reported.DividedBy,
                       Reported.Store, Reported.WeightsClaim);
  for (const auto &[Name, Line] : Upstreams)
    Out << fmt::format(
        "upstream {} responded to an order for version {} with {} at "
        "{} ({})\n",
        Name, Line->text("version"), Line->text("status"), timeOf(Line->At),
        Line->Instance);
}

void reportTable(const merged_log &Log, const time_range &Range,
                 std::chrono::milliseconds Interval, std::ostream &Out) {
  std::map<wall_ms, outcome_counts> Intervals;
  std::map<std::string, outcome_counts> Instances;
  for (const log_line &Line : Log.lines()) {
    if (!Range.contains(Line.At) || Line.Category != "request")
      continue;
    const auto Since = Line.At.time_since_epoch();
    Intervals[wall_ms(Since - Since % Interval)].add(Line);
    Instances[Line.Instance].add(Line);
  }
  printHeader("from", Out);
  for (const auto &[From, Counts] : Intervals)
    print(timeOf(From), Counts, Out);
  Out << "\n";
  printHeader("instance", Out);
  for (const auto &[Name, Counts] : Instances)
    print(Name, Counts, Out);
}

} // namespace ebonyvale

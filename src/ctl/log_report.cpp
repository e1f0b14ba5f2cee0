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

/// Lines of a belief that are shown before a request began: it may have been
/// decided by what was known some seconds earlier.
constexpr std::chrono::milliseconds Before = 6s;
/// Events that say what an instance believes rather than what it did with a
/// request.
bool isBelief(const log_line &Line) { return Line.Category != "request"; }

std::string timeOf(wall_ms At) {
  const auto Millis = At.time_since_epoch().count();
  constexpr std::int64_t PerSecond = 1000;
  return fmt::format("{:%H:%M:%S}.{:03}",
                     fmt::gmtime(static_cast<std::time_t>(Millis / PerSecond)),
                     Millis % PerSecond);
}

void print(const log_line &Line, std::ostream &Out) {
  static const std::set<std::string_view> Shown{"time", "level", "category",
                                                "event"};
  Out << fmt::format("{}  {:<18} {}", timeOf(Line.At), Line.Instance,
                     Line.Event);
  for (const auto &[Name, Value] : Line.Fields.items())
    if (!Shown.contains(Name))
      Out << fmt::format(" {}={}", Name, Line.text(Name));
  Out << "\n";
}

/// Counts of one interval or instance.
struct tally {
  std::map<std::string, std::size_t> Outcomes;
  std::map<std::string, std::size_t> Refusals; ///< by kind
  std::size_t LostAttempts = 0;
  std::vector<double> AfterMs; ///< of what was answered
  std::set<std::string> Versions;

  void take(const log_line &Line) {
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
      AfterMs.push_back(Line.number("first_ms", 0));
  }

  double percentile(double Part) const {
    if (AfterMs.empty())
      return 0;
    std::vector<double> Sorted = AfterMs;
    std::ranges::sort(Sorted);
    return Sorted[static_cast<std::size_t>(
        Part * static_cast<double>(Sorted.size() - 1))];
  }

  std::size_t of(const char *Outcome) const {
    const auto Found = Outcomes.find(Outcome);
    return Found == Outcomes.end() ? 0 : Found->second;
  }
};

void printHead(std::string_view First, std::ostream &Out) {
  Out << fmt::format("{:<20} {:>7} {:>8} {:>7} {:>5} {:>5} {:>8} {:>8}  {}\n",
                     First, "served", "refused", "broken", "gone", "again",
                     "p50 ms", "p99 ms", "versions; refusals by kind");
}

void print(std::string_view Name, const tally &Tally, std::ostream &Out) {
  constexpr double Median = 0.5;
  constexpr double Worst = 0.99;
  std::string Notes = fmt::format("{}", fmt::join(Tally.Versions, ","));
  for (const auto &[Kind, Count] : Tally.Refusals)
    Notes += fmt::format("; {} {}", Kind, Count);
  Out << fmt::format(
      "{:<20} {:>7} {:>8} {:>7} {:>5} {:>5} {:>8.1f} {:>8.1f}  {}\n", Name,
      Tally.of("answered") + Tally.of("streamed"), Tally.of("refused"),
      Tally.of("broken_off"), Tally.of("caller_gone"), Tally.LostAttempts,
      Tally.percentile(Median), Tally.percentile(Worst), Notes);
}

/// What an instance has last said of itself.
struct last_words {
  std::string Version = "-";
  std::string Store = "-";
  std::string Divided = "-";
  std::string Claim = "-";
  std::string State = "-";

  void take(const log_line &Line) {
    if (Line.Event == "started" || Line.Event == "stopping" ||
        Line.Event == "stopped")
      State = Line.Event;
    if (Line.Event == "started")
      *this = {.State = State}; // a new process knows nothing of before
    if (Line.Event == "configuration_in_force")
      Version = Line.text("version");
    if (Line.Event == "store_reached" || Line.Event == "store_lost")
      Store = fmt::format("{} at {}",
                          Line.Event == "store_lost" ? "lost" : "reached",
                          timeOf(Line.At));
    if (Line.Event == "limits_divided")
      Divided = Line.text("instances");
    if (Line.Event == "claim_taken")
      Claim =
          fmt::format("fence {} since {}", Line.text("fence"), timeOf(Line.At));
    if (Line.Event == "claim_lost")
      Claim = fmt::format("lost at {}", timeOf(Line.At));
  }
};

} // namespace

bool reportRequest(const log_book &Book, std::string_view Id,
                   std::ostream &Out) {
  std::set<std::string> Instances;
  std::set<std::string> Upstreams;
  log_span Life{wall_ms::max(), wall_ms::min()};
  for (const log_line &Line : Book.lines()) {
    if (Line.text("id") != Id)
      continue;
    Instances.insert(Line.Instance);
    Upstreams.insert(Line.text("upstream"));
    Life = {std::min(Life.From, Line.At), std::max(Life.To, Line.At)};
  }
  Upstreams.erase("");
  if (Instances.empty())
    return false;
  const log_span Around{Life.From - Before, Life.To};
  for (const log_line &Line : Book.lines()) {
    const bool Own = Line.text("id") == Id;
    const bool OfInstance = isBelief(Line) && Line.Category != "upstream" &&
                            Line.Category != "weights" &&
                            Instances.contains(Line.Instance);
    const bool OfUpstream =
        isBelief(Line) && Upstreams.contains(Line.text("upstream")) &&
        (Line.Category == "weights" || Instances.contains(Line.Instance));
    if (Own || (Around.holds(Line.At) && (OfInstance || OfUpstream)))
      print(Line, Out);
  }
  return true;
}

void reportChanges(const log_book &Book, const log_span &Span,
                   std::ostream &Out) {
  std::map<std::string, std::size_t> Others;
  for (const log_line &Line : Book.lines()) {
    if (!Span.holds(Line.At))
      continue;
    if (isBelief(Line))
      print(Line, Out);
    else
      ++Others[Line.Event];
  }
  for (const auto &[Event, Count] : Others)
    Out << fmt::format("{} lines of requests: {}\n", Count, Event);
}

void reportHolders(const log_book &Book, wall_ms At, std::ostream &Out) {
  std::map<std::string, last_words> Instances;
  std::map<std::string, const log_line *> Upstreams;
  for (const log_line &Line : Book.lines()) {
    if (Line.At > At)
      break;
    Instances[Line.Instance].take(Line);
    if (Line.Event == "order_answered")
      Upstreams[Line.text("upstream")] = &Line;
  }
  Out << fmt::format("{:<20} {:<9} {:<9} {:<8} {:<24} {}\n", "instance",
                     "state", "version", "divided", "store",
                     "claim on the weights");
  for (const auto &[Name, Said] : Instances)
    Out << fmt::format("{:<20} {:<9} {:<9} {:<8} {:<24} {}\n", Name, Said.State,
                       Said.Version, Said.Divided, Said.Store, Said.Claim);
  for (const auto &[Name, Line] : Upstreams)
    Out << fmt::format(
        "upstream {} answered an order for version {} with {} at "
        "{} ({})\n",
        Name, Line->text("version"), Line->text("status"), timeOf(Line->At),
        Line->Instance);
}

void reportTable(const log_book &Book, const log_span &Span,
                 std::chrono::milliseconds Interval, std::ostream &Out) {
  std::map<wall_ms, tally> Intervals;
  std::map<std::string, tally> Instances;
  for (const log_line &Line : Book.lines()) {
    if (!Span.holds(Line.At) || Line.Category != "request")
      continue;
    const auto Since = Line.At.time_since_epoch();
    Intervals[wall_ms(Since - Since % Interval)].take(Line);
    Instances[Line.Instance].take(Line);
  }
  printHead("from", Out);
  for (const auto &[From, Tally] : Intervals)
    print(timeOf(From), Tally, Out);
  Out << "\n";
  printHead("instance", Out);
  for (const auto &[Name, Tally] : Instances)
    print(Name, Tally, Out);
}

} // namespace ebonyvale

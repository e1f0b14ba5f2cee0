#include "ctl/log_commands.h"

#include "ctl/instant_text.h"
#include "ctl/log_report.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>

namespace ebonyvale {
namespace {

/// Reads all files that were named; the stem of a file's name is its instance
/// unless its lines name one.
std::optional<log_book> readLogs(const ctl_options &Options,
                                 std::ostream &Err) {
  log_book Book;
  if (Options.Logs.empty()) {
    Err << "--log FILE is needed, once for each file; '-' for standard input\n";
    return std::nullopt;
  }
  for (const std::string &Path : Options.Logs) {
    if (Path == "-") {
      Book.read(std::cin, "-");
      continue;
    }
    std::ifstream File(Path);
    if (!File) {
      Err << "cannot read " << Path << "\n";
      return std::nullopt;
    }
    Book.read(File, std::filesystem::path(Path).stem().string());
  }
  if (Book.unreadable() > 0)
    Err << Book.unreadable() << " lines are no log lines of a gateway\n";
  return Book;
}

/// Reads --from and --to; whatever is not given is open.
std::optional<log_span> readSpan(const ctl_options &Options,
                                 std::ostream &Err) {
  log_span Span;
  for (const auto &[Text, Bound] : {std::pair(&Options.From, &Span.From),
                                    std::pair(&Options.To, &Span.To)}) {
    if (Text->empty())
      continue;
    const auto Instant = parseInstant(*Text);
    if (!Instant) {
      Err << *Text << ": not an instant, write 2026-01-31T12:00:00Z\n";
      return std::nullopt;
    }
    *Bound = *Instant;
  }
  return Span;
}

} // namespace

exit_code logRequest(const ctl_options &Options,
                     const std::vector<std::string> &Arguments,
                     std::ostream &Out, std::ostream &Err) {
  const auto Book = readLogs(Options, Err);
  if (!Book)
    return exit_code::Usage;
  if (reportRequest(*Book, Arguments[0], Out))
    return exit_code::Done;
  Err << Arguments[0] << ": no line is about this request\n";
  return exit_code::Refused;
}

exit_code logChanges(const ctl_options &Options,
                     const std::vector<std::string> &, std::ostream &Out,
                     std::ostream &Err) {
  const auto Span = readSpan(Options, Err);
  const auto Book = Span ? readLogs(Options, Err) : std::nullopt;
  if (!Book)
    return exit_code::Usage;
  reportChanges(*Book, *Span, Out);
  return exit_code::Done;
}

exit_code logHolders(const ctl_options &Options,
                     const std::vector<std::string> &, std::ostream &Out,
                     std::ostream &Err) {
  const auto Span = readSpan(Options, Err);
  const auto Book = Span ? readLogs(Options, Err) : std::nullopt;
  if (!Book)
    return exit_code::Usage;
  reportHolders(*Book, Span->To, Out);
  return exit_code::Done;
}

exit_code logTable(const ctl_options &Options, const std::vector<std::string> &,
                   std::ostream &Out, std::ostream &Err) {
  const auto Span = readSpan(Options, Err);
  const auto Book = Span ? readLogs(Options, Err) : std::nullopt;
  if (!Book)
    return exit_code::Usage;
  if (Options.IntervalSeconds <= 0) {
    Err << "--interval must be above 0\n";
    return exit_code::Usage;
  }
  reportTable(*Book, *Span, std::chrono::seconds(Options.IntervalSeconds), Out);
  return exit_code::Done;
}

} // namespace ebonyvale

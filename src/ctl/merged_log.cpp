#include "ctl/merged_log.h"

#include "ctl/timestamp.h"

#include <algorithm>

namespace ebonyvale {
namespace {

using nlohmann::json;

constexpr std::string_view Separators = " \t|:";

/// Replaces the "+00:00" that ends the timestamps of log lines by "Z", which
/// `parseTimestamp` expects.
std::string normalizeUtcSuffix(std::string Text) {
  constexpr std::string_view Offset = "+00:00";
  if (Text.ends_with(Offset))
    Text.replace(Text.size() - Offset.size(), Offset.size(), "Z");
  return Text;
}

std::string_view lastWord(std::string_view Text) {
  const std::size_t End = Text.find_last_not_of(Separators);
  if (End == std::string_view::npos)
    return {};
  const std::size_t Before = Text.find_last_of(Separators, End);
  const std::size_t Begin = Before == std::string_view::npos ? 0 : Before + 1;
  return Text.substr(Begin, End + 1 - Begin);
}

std::string stringField(const json &Source, const char *Name) {
  const auto Found = Source.find(Name);
  return Found != Source.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

} // namespace

std::string log_line::text(std::string_view Name) const {
  const auto Found = Fields.find(std::string(Name));
  if (Found == Fields.end())
    return {};
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

double log_line::number(std::string_view Name, double Default) const {
  const auto Found = Fields.find(std::string(Name));
  return Found != Fields.end() && Found->is_number() ? Found->get<double>()
                                                     : Default;
}

void merged_log::read(std::istream &Source, std::string_view Instance) {
  std::string Text;
  while (std::getline(Source, Text))
    addLine(Text, Instance);
  std::ranges::stable_sort(Lines, {}, &log_line::At);
}

void merged_log::addLine(std::string_view Text, std::string_view Instance) {
  const std::size_t Brace = Text.find('{');
  if (Brace == std::string_view::npos) {
    Unreadable += Text.empty() ? 0 : 1;
    return;
  }
  log_line Line;
  Line.Fields = json::parse(Text.substr(Brace), nullptr, false);
  const auto At =
      Line.Fields.is_object()
          ? parseTimestamp(normalizeUtcSuffix(stringField(Line.Fields, "time")))
          : std::nullopt;
  if (!At) {
    ++Unreadable;
    return;
  }
  Line.At = *At;
  const std::string_view Word = lastWord(Text.substr(0, Brace));
  Line.Instance = Word.empty() ? Instance : Word;
  Line.Category = stringField(Line.Fields, "category");
  Line.Event = stringField(Line.Fields, "event");
  Lines.push_back(std::move(Line));
}

} // namespace ebonyvale

#include "decisions/process/refusal_json.h"

#include "decisions/request/refusal_body.h"

#include <algorithm>

namespace ebonyvale {
namespace {

bool hasText(const nlohmann::json &Row, const char *Name) {
  const auto Found = Row.find(Name);
  return Found != Row.end() && Found->is_string();
}

/// Returns whether \p Row is a refusal. Its members have none themselves:
/// copying a deeply nested one would exhaust the stack.
bool isRefusalRow(const nlohmann::json &Row) {
  return Row.is_object() &&
         std::ranges::all_of(
             Row, [](const auto &Member) { return Member.is_primitive(); }) &&
         hasText(Row, "team") && hasText(Row, "reference") &&
         hasText(Row, "instant") && Row.contains("at_ms") &&
         Row["at_ms"].is_number_integer();
}

} // namespace

nlohmann::json refusalJson(const refusal &Refusal) {
  const error_row &Row = errorRow(Refusal.Kind);
  return {{"reference", Refusal.Reference},
          {"kind", Row.Name},
          {"status", Row.Status},
          {"ran", ranName(Row.Ran)},
          {"team", Refusal.Team},
          {"route", Refusal.Route},
          {"instance", Refusal.Instance},
          {"instant", formatInstant(Refusal.At)},
          {"version", Refusal.ConfigurationVersion},
          {"asked_tokens", Refusal.Figures.Requested},
          {"level_tokens", Refusal.Figures.Level},
          {"part_tokens", Refusal.Figures.ShareBurst},
          {"detail", Refusal.Detail}};
}

nlohmann::json refusalCountJson(const refusal_count &Count) {
  return {{"minute", formatInstant(Count.Minute)},
          {"team", Count.Team},
          {"kind", errorRow(Count.Kind).Name},
          {"total", Count.Total},
          {"kept", Count.Kept}};
}

std::string serializeRefusalBatch(const refusal_batch &Batch) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const refusal_row &Row : Batch.Rows) {
    nlohmann::json Entry = refusalJson(Row.Latest);
    Entry["count"] = Row.Count;
    Entry["at_ms"] = Row.Latest.At.time_since_epoch().count();
    Rows.push_back(std::move(Entry));
  }
  return nlohmann::json{{"rows", Rows}, {"unlisted", Batch.Unlisted}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json matchingRows(std::string_view Text, const refusal_query &Query) {
  nlohmann::json Found = nlohmann::json::array();
  const auto Batch = nlohmann::json::parse(Text, nullptr, false);
  if (!Batch.is_object() || !Batch.contains("rows") ||
      !Batch["rows"].is_array())
    return Found;
  for (const nlohmann::json &Row : Batch["rows"]) {
    if (!isRefusalRow(Row))
      continue;
    const wall_ms At{std::chrono::milliseconds(Row["at_ms"])};
    const bool Matches = (Query.Team.empty() || Row["team"] == Query.Team) &&
                         Query.From <= At && At <= Query.To;
    if (Matches)
      Found.push_back(Row);
  }
  return Found;
}

} // namespace ebonyvale

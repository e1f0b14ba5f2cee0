#include "decisions/request/refusal_body.h"

#include <cmath>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

std::optional<int> retryAfterSeconds(error_kind Kind, span_ns Computed) {
  switch (errorRow(Kind).Retry) {
  case retry_advice::Never:
    return std::nullopt;
  case retry_advice::Short:
    return DefaultRetryAfterSeconds;
  case retry_advice::Computed:
    break;
  }
  const auto Seconds = static_cast<int>(std::ceil(toSeconds(Computed)));
  return std::max(Seconds, DefaultRetryAfterSeconds);
}

std::string formatInstant(wall_ms Time) {
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(Time);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(Seconds)),
                     (Time - Seconds).count());
}

std::string refusalBody(const refusal &Refusal) {
  const error_row &Row = errorRow(Refusal.Kind);
  std::string Message(Row.Message);
  if (!Refusal.Detail.empty())
    Message += " (" + Refusal.Detail + ")";
  const nlohmann::json Body{{"error",
                             {{"message", Message},
                              {"type", Row.Name},
                              {"code", Row.Name},
                              {"param", nullptr},
                              {"kind", Row.Name},
                              {"reference", Refusal.Reference},
                              {"instant", formatInstant(Refusal.At)},
                              {"ran", ranName(Row.Ran)}}}};
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace ebonyvale

#include "daemon/process/logging.h"

#include <array>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace ebonyvale {
namespace {

constexpr std::array<const char *, 5> CategoryNames{
    "process", "caller", "upstream", "configuration", "peer"};

/// Formats the message as a JSON string, so that quotes and line breaks in it
/// cannot corrupt the log line.
class json_message_flag final : public spdlog::custom_flag_formatter {
public:
  void format(const spdlog::details::log_msg &Message, const std::tm &,
              spdlog::memory_buf_t &Target) override {
    const std::string Text =
        nlohmann::json(
            std::string(Message.payload.data(), Message.payload.size()))
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    Target.append(Text.data(), Text.data() + Text.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<json_message_flag>();
  }
};

std::unique_ptr<spdlog::formatter> makeFormatter(std::string_view Format) {
  auto Formatter = std::make_unique<spdlog::pattern_formatter>();
  Formatter->add_flag<json_message_flag>('*');
  if (Format == "json")
    Formatter->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",)"
                           R"("category":"%n","message":%*})");
  else
    Formatter->set_pattern("%Y-%m-%d %H:%M:%S.%e %l %n: %v");
  return Formatter;
}

struct logger_set {
  std::shared_ptr<spdlog::sinks::sink> Sink =
      std::make_shared<spdlog::sinks::stderr_sink_mt>();
  std::array<std::unique_ptr<spdlog::logger>, CategoryNames.size()> Loggers;

  logger_set() {
    for (std::size_t Index = 0; Index < CategoryNames.size(); ++Index) {
      Loggers[Index] =
          std::make_unique<spdlog::logger>(CategoryNames[Index], Sink);
      Loggers[Index]->flush_on(spdlog::level::info);
    }
  }
};

logger_set &loggers() {
  static logger_set Set;
  return Set;
}

} // namespace

void startLogging(std::string_view Format, std::string_view Level) {
  loggers().Sink->set_formatter(makeFormatter(Format));
  for (const auto &Logger : loggers().Loggers)
    Logger->set_level(spdlog::level::from_str(std::string(Level)));
}

spdlog::logger &logFor(log_category Category) {
  return *loggers().Loggers[static_cast<std::size_t>(Category)];
}

} // namespace ebonyvale

/// \file
/// Structured log lines on standard output: one JSON object for each decision.
/// Writing never blocks; what cannot be written or is above the rate is counted
/// and the count is logged.
#ifndef EBONYVALE_GATEWAY_PROCESS_EVENT_LOG_H
#define EBONYVALE_GATEWAY_PROCESS_EVENT_LOG_H

#include "common/instant.h"
#include "net/timer.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <spdlog/logger.h>

namespace ebonyvale {

/// One member of a line.
struct log_field {
  std::string_view Name;
  std::variant<std::string_view, std::int64_t, double, bool> Value;

  log_field(std::string_view Name, std::string_view Value)
      : Name(Name), Value(Value) {}
  log_field(std::string_view Name, const std::string &Value)
      : Name(Name), Value(std::string_view(Value)) {}
  log_field(std::string_view Name, const char *Value)
      : Name(Name), Value(std::string_view(Value)) {}
  log_field(std::string_view Name, bool Value) : Name(Name), Value(Value) {}
  template <std::integral Number>
  log_field(std::string_view Name, Number Value)
      : Name(Name), Value(static_cast<std::int64_t>(Value)) {}
  log_field(std::string_view Name, double Value) : Name(Name), Value(Value) {}
  /// In ms.
  log_field(std::string_view Name, span_ns Value)
      : Name(Name),
        Value(std::chrono::duration<double, std::milli>(Value).count()) {}
};

/// Which subsystem a line is about.
enum class event_category { Process, Request, Store, Upstream, Peer, Weights };

/// The log of one process.
class event_log {
public:
  /// \p LinesPerSecond bounds the lines of the category `Request`.
  event_log(event_base *Base, std::string_view Level,
            std::int64_t LinesPerSecond);
  ~event_log();
  event_log(const event_log &) = delete;
  event_log &operator=(const event_log &) = delete;

  void info(event_category Category, std::string_view Event,
            std::initializer_list<log_field> Fields);
  void warn(event_category Category, std::string_view Event,
            std::initializer_list<log_field> Fields);

  /// Writes what is buffered, as far as standard output takes it at once.
  void flush();

private:
  class sink;

  void write(event_category Category, spdlog::level::level_enum Level,
             std::string_view Event, std::initializer_list<log_field> Fields);
  bool withinRate();

  std::shared_ptr<sink> Sink;
  std::unique_ptr<spdlog::logger> Logger;
  timer FlushTimer;
  std::int64_t LinesPerSecond;
  std::int64_t LinesLeft = 0;
  std::uint64_t Dropped = 0;
  instant RefilledAt;
};

} // namespace ebonyvale

#endif

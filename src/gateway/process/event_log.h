/// \file
/// Structured log on standard output, one JSON object a line. Writing never
/// blocks; lines that exceed the buffer or the rate limit are dropped, and
/// their number is logged.
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

/// A named value in a log line.
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
  /// Logs \p Value in ms.
  log_field(std::string_view Name, span_ns Value)
      : Name(Name),
        Value(std::chrono::duration<double, std::milli>(Value).count()) {}
};

/// Subsystem that a log line belongs to.
enum class event_category {
  Process,
  Request,
  Store,
  Upstream,
  Peer,
  Weights,
  Release
};

/// Writes the log of one process; used from its event loop only.
class event_log {
public:
  /// Logs lines of at least \p Level. \p LinesPerSecond limits the lines of the
  /// category `Request` only.
  event_log(event_base *Base, std::string_view Level,
            std::int64_t LinesPerSecond);
  ~event_log();
  event_log(const event_log &) = delete;
  event_log &operator=(const event_log &) = delete;

  void info(event_category Category, std::string_view Event,
            std::initializer_list<log_field> Fields);
  void warn(event_category Category, std::string_view Event,
            std::initializer_list<log_field> Fields);

  /// Writes as much of the buffer as standard output accepts without blocking.
  void flush();

private:
  class sink;

  void write(event_category Category, spdlog::level::level_enum Level,
             std::string_view Event, std::initializer_list<log_field> Fields);
  bool takeLine();

  std::shared_ptr<sink> Sink;
  std::unique_ptr<spdlog::logger> Logger;
  timer FlushTimer;
  std::int64_t LinesPerSecond;
  std::int64_t LinesLeft = 0; ///< request lines until the next refill
  std::uint64_t Dropped = 0;  ///< by the rate limit, since the last flush
  instant RefilledAt;
};

} // namespace ebonyvale

#endif

/// \file
/// Loggers by category, with text or JSON output.
#ifndef EBONYVALE_DAEMON_PROCESS_LOGGING_H
#define EBONYVALE_DAEMON_PROCESS_LOGGING_H

#include <string_view>

#include <spdlog/logger.h>
#include <spdlog/spdlog.h>

namespace ebonyvale {

/// Subsystem that a log line belongs to.
enum class log_category { Process, Caller, Upstream, Configuration, Peer };

/// Sets the format ("text" or "json") and the minimum level of all categories.
/// Lines are written to standard error.
void startLogging(std::string_view Format, std::string_view Level);

/// Returns the logger of \p Category. Messages state the event and the ids
/// involved; they must not contain a caller's key or a request body.
spdlog::logger &logFor(log_category Category);

} // namespace ebonyvale

#endif

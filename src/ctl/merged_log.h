/// \file
/// Log lines of several gateways, merged in the order of their timestamps.
#ifndef EBONYVALE_CTL_MERGED_LOG_H
#define EBONYVALE_CTL_MERGED_LOG_H

#include "common/instant.h"

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace ebonyvale {

/// One JSON log line of an instance.
struct log_line {
  wall_ms At{}; ///< by the instance's clock, which may be skewed
  std::string Instance;
  std::string Category;
  std::string Event;
  nlohmann::json Fields; ///< all fields of the line

  /// Returns the field \p Name: a string without quotes, any other value as
  /// JSON text, and an empty string if the field is missing.
  std::string text(std::string_view Name) const;
  /// Returns the numeric field \p Name, or \p Default if it is missing or not a
  /// number.
  double number(std::string_view Name, double Default) const;
};

/// Log lines of all instances.
class merged_log {
public:
  /// Adds the lines of \p Source. A log collector may have put a prefix before
  /// the JSON of a line; its last word is taken as the name of the instance.
  /// Lines without a prefix get the name \p Instance. Lines without JSON or a
  /// valid timestamp are skipped and counted.
  void read(std::istream &Source, std::string_view Instance);

  /// Returns all lines in the order of their timestamps; lines with the same
  /// timestamp stay in the order in which they were read.
  const std::vector<log_line> &lines() const { return Lines; }
  /// Returns the number of lines that were skipped.
  std::size_t unreadable() const { return Unreadable; }

private:
  void addLine(std::string_view Text, std::string_view Instance);

  std::vector<log_line> Lines;
  std::size_t Unreadable = 0;
};

} // namespace ebonyvale

#endif

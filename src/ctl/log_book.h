/// \file
/// Log lines of many gateways, read from files and put in order.
#ifndef EBONYVALE_CTL_LOG_BOOK_H
#define EBONYVALE_CTL_LOG_BOOK_H

#include "common/instant.h"

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace ebonyvale {

/// One line as an instance wrote it.
struct log_line {
  wall_ms At{}; ///< by the instance's own time of day, which may be off
  std::string Instance;
  std::string Category;
  std::string Event;
  nlohmann::json Fields; ///< the whole line

  /// A member as text; numbers as written, nothing where it is missing.
  std::string text(std::string_view Name) const;
  double number(std::string_view Name, double Default) const;
};

/// Lines of all instances by their instants.
class log_book {
public:
  /// Reads lines of \p Source. A collector may have put words before each
  /// line's JSON; the last of them is taken for the instance, \p Instance where
  /// there is none. What holds no line of ours is counted and passed over.
  void read(std::istream &Source, std::string_view Instance);

  /// In the order of their instants; those of one instance as they came.
  const std::vector<log_line> &lines() const { return Lines; }
  std::size_t unreadable() const { return Unreadable; }

private:
  void take(std::string_view Text, std::string_view Instance);

  std::vector<log_line> Lines;
  std::size_t Unreadable = 0;
};

} // namespace ebonyvale

#endif

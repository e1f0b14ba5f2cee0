#include "ctl/timestamp.h"

#include <charconv>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace ebonyvale {

std::optional<wall_ms> parseTimestamp(const std::string &Text) {
  std::int64_t Millis = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  if (Error == std::errc() && End == Text.data() + Text.size())
    return wall_ms(std::chrono::milliseconds(Millis));
  std::tm Parts{};
  std::istringstream Stream(Text);
  Stream >> std::get_time(&Parts, "%Y-%m-%dT%H:%M:%S");
  if (Stream.fail())
    return std::nullopt;
  double Fraction = 0;
  if (Stream.peek() == '.')
    Stream >> Fraction;
  if (Stream.get() != 'Z' || Stream.peek() != EOF)
    return std::nullopt;
  const auto Seconds = std::chrono::seconds(timegm(&Parts));
  return wall_ms(Seconds +
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     fromSeconds(Fraction)));
}

} // namespace ebonyvale

#include "net/query_parameters.h"

#include <charconv>

#include <event2/http.h>

namespace ebonyvale {

query_parameters::query_parameters(std::string_view Query) {
  evhttp_parse_query_str(std::string(Query).c_str(), &Values);
}

query_parameters::~query_parameters() { evhttp_clear_headers(&Values); }

std::string query_parameters::text(const char *Name) const {
  const char *Value = evhttp_find_header(&Values, Name);
  return Value ? Value : "";
}

wall_ms query_parameters::time(const char *Name, wall_ms Default) const {
  const std::string Text = text(Name);
  std::int64_t Millis = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  if (Error != std::errc() || Text.empty())
    return Default;
  return wall_ms(std::chrono::milliseconds(Millis));
}

} // namespace ebonyvale

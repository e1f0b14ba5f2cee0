#include "net/upstream_exchange.h"

#include <charconv>

namespace ebonyvale {

std::optional<endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return std::nullopt;
  endpoint Server;
  Server.Address = Text.substr(0, Colon);
  const std::string_view Port = Text.substr(Colon + 1);
  const auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Server.Port);
  if (Error != std::errc() || End != Port.data() + Port.size())
    return std::nullopt;
  return Server;
}

} // namespace ebonyvale

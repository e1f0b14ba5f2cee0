/// \file
/// Parsing of URL query strings.
#ifndef EBONYVALE_NET_QUERY_PARAMETERS_H
#define EBONYVALE_NET_QUERY_PARAMETERS_H

#include "common/instant.h"

#include <string>
#include <string_view>

#include <event2/keyvalq_struct.h>

namespace ebonyvale {

/// A parsed query string such as "a=1&b=two%20words".
class query_parameters {
public:
  explicit query_parameters(std::string_view Query);
  ~query_parameters();
  query_parameters(const query_parameters &) = delete;
  query_parameters &operator=(const query_parameters &) = delete;

  /// Returns the decoded value of \p Name; empty if it is absent.
  std::string text(const char *Name) const;

  /// Returns the value of \p Name, a time in milliseconds since the Unix epoch,
  /// or \p Default if it is absent or does not start with a number.
  wall_ms time(const char *Name, wall_ms Default) const;

private:
  evkeyvalq Values{};
};

} // namespace ebonyvale

#endif

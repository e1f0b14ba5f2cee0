/// \file
/// The query part of a request's target.
#ifndef EBONYVALE_NET_QUERY_PARAMETERS_H
#define EBONYVALE_NET_QUERY_PARAMETERS_H

#include "common/instant.h"

#include <string>
#include <string_view>

#include <event2/keyvalq_struct.h>

namespace ebonyvale {

/// A parsed query string, "a=1&b=two%20words".
class query_parameters {
public:
  explicit query_parameters(std::string_view Query);
  ~query_parameters();
  query_parameters(const query_parameters &) = delete;
  query_parameters &operator=(const query_parameters &) = delete;

  /// The decoded value of \p Name; empty where there is none.
  std::string text(const char *Name) const;

  /// A time in milliseconds since the epoch, or \p Default.
  wall_ms time(const char *Name, wall_ms Default) const;

private:
  evkeyvalq Values{};
};

} // namespace ebonyvale

#endif

/// \file
/// Calls to a daemon's admin listener.
#ifndef EBONYVALE_CTL_ADMIN_CLIENT_H
#define EBONYVALE_CTL_ADMIN_CLIENT_H

#include "net/upstream_exchange.h"

#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// An answer of the admin listener.
struct admin_answer {
  int Status = 0;
  std::string Body;
};

/// Makes one call after the other.
class admin_client {
public:
  admin_client(endpoint Server, std::string Token);

  /// Nothing when the daemon cannot be reached.
  std::optional<admin_answer> call(const std::string &Method,
                                   const std::string &Target,
                                   std::string_view Body = {});

private:
  endpoint Server;
  std::string Token;
  event_base_ptr Base;
  evhttp_connection_pool Pool;
};

} // namespace ebonyvale

#endif

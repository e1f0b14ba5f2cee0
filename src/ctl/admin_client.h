/// \file
/// Client of a daemon's admin listener.
#ifndef EBONYVALE_CTL_ADMIN_CLIENT_H
#define EBONYVALE_CTL_ADMIN_CLIENT_H

#include "net/upstream_exchange.h"

#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Response of the admin listener.
struct admin_response {
  int Status = 0; ///< HTTP status code
  std::string Body;
  /// Whether all of the body was received, as its length or its last chunk
  /// proves. The end of the connection alone proves nothing.
  bool IsWhole = false;
};

/// Sends requests to one admin listener, one at a time, and blocks until each
/// response has ended.
class admin_client {
public:
  admin_client(endpoint Server, std::string Token);

  /// Sends a request with the given HTTP method, target and body. Returns
  /// nothing if the daemon cannot be reached or the connection is lost before
  /// the head of the response is complete.
  std::optional<admin_response> call(const std::string &Method,
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

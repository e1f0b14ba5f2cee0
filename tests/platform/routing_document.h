/// \file
/// A configuration as operators write it, for tests of the gateway.
#ifndef EBONYVALE_TESTS_PLATFORM_ROUTING_DOCUMENT_H
#define EBONYVALE_TESTS_PLATFORM_ROUTING_DOCUMENT_H

#include <string>

namespace ebonyvale {

/// Tokens that a request counts for, when it does not tell.
inline constexpr int PlainTokens = 200;

/// Five routes to the service "s" on the host "h.example": /read/, /order/,
/// /stream-on/, /stream-once/ and, open to all, /open/. \p Keys are those of
/// the team "t", quoted and separated by commas; \p Rate is its rate in tokens
/// a second and its burst.
std::string routingDocument(int Version, const std::string &Keys, double Rate);

} // namespace ebonyvale

#endif

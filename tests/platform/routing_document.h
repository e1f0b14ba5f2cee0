/// \file
/// Builds a configuration as operators write it, for tests of the gateway.
#ifndef EBONYVALE_TESTS_PLATFORM_ROUTING_DOCUMENT_H
#define EBONYVALE_TESTS_PLATFORM_ROUTING_DOCUMENT_H

#include <string>

namespace ebonyvale {

/// Tokens charged for a request that does not state its own.
inline constexpr int DefaultRequestTokens = 200;

/// Returns a configuration with five routes to the service "s" on the host
/// "h.example": /read/, /order/, /stream-on/, /stream-once/ and, without a key,
/// /open/. \p Keys are the keys of the team "t", quoted and separated by
/// commas; \p Rate is its rate in tokens per second and its burst in tokens.
std::string routingDocument(int Version, const std::string &Keys, double Rate);

} // namespace ebonyvale

#endif

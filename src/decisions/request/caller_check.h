/// \file
/// Who the caller is and what it may reach, judged at every request.
#ifndef EBONYVALE_DECISIONS_REQUEST_CALLER_CHECK_H
#define EBONYVALE_DECISIONS_REQUEST_CALLER_CHECK_H

#include "common/result.h"
#include "decisions/request/chat_request.h"
#include "decisions/version/configuration.h"

#include <string>
#include <string_view>
#include <variant>

namespace ebonyvale {

/// What a caller shows of itself.
struct caller_claim {
  std::string_view Authorization; ///< the authorization header
  std::string_view ApiKey;        ///< the x-api-key header
  std::string_view Method;
  std::string_view Path;
};

/// A model route or the route to plain upstreams. Pointers belong to the
/// configuration that was asked.
using target_route = std::variant<chat_route, const route *>;

/// An accepted caller.
struct caller_grant {
  const key_entry *Key = nullptr; ///< null on a route open to all
  target_route Target;

  /// Team that the request runs for; empty on a route open to all.
  std::string_view team() const {
    return Key ? std::string_view(Key->Team) : std::string_view();
  }
};

/// The key that a caller shows, without its scheme; empty for none.
std::string_view presentedKey(const caller_claim &Claim);

/// The team of the key shown, or why it is refused.
result<const key_entry *> checkKey(const configuration &Config,
                                   std::string_view KeySecret,
                                   std::string_view Key);

/// The team behind a key, withdrawn ones included, for the record of a
/// refusal; empty for a key that is not known.
std::string_view teamOfKey(const configuration &Config,
                           std::string_view KeySecret, std::string_view Key);

/// Finds the route and checks method and key.
result<caller_grant> checkCaller(const configuration &Config,
                                 std::string_view KeySecret,
                                 const caller_claim &Claim);

/// Whether \p Text holds \p Key; keys too short to be told from ordinary text
/// never match.
bool containsKey(std::string_view Text, std::string_view Key);

/// The query without parameters that commonly carry credentials and without
/// any that hold \p Key.
std::string stripCredentials(std::string_view Query, std::string_view Key);

} // namespace ebonyvale

#endif

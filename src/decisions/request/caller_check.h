/// \file
/// Authentication and authorization of each request by its key and route.
#ifndef EBONYVALE_DECISIONS_REQUEST_CALLER_CHECK_H
#define EBONYVALE_DECISIONS_REQUEST_CALLER_CHECK_H

#include "common/result.h"
#include "decisions/request/chat_request.h"
#include "decisions/version/configuration.h"

#include <string>
#include <string_view>
#include <variant>

namespace ebonyvale {

/// The fields of a request that authorization depends on.
struct access_request {
  std::string_view Authorization; ///< the authorization header
  std::string_view ApiKey;        ///< the x-api-key header
  std::string_view Method;
  std::string_view Path;
};

/// A model route or a route to plain upstreams. Pointers are owned by the
/// configuration that was searched.
using target_route = std::variant<chat_route, const route *>;

/// The result of a successful check. Pointers are owned by the configuration.
struct caller_grant {
  const key_entry *Key = nullptr; ///< null on an open route
  target_route Target;

  /// Returns the team that the request is charged to; empty on an open route.
  std::string_view team() const {
    return Key ? std::string_view(Key->Team) : std::string_view();
  }
};

/// Returns the bearer token, or else the x-api-key header; empty without both.
std::string_view presentedKey(const access_request &Access);

/// Returns the entry of \p Key, or fails with KeyMissing, KeyUnknown or
/// KeyWithdrawn. \p KeySecret is the secret of the keyed hashes.
result<const key_entry *> checkKey(const configuration &Config,
                                   std::string_view KeySecret,
                                   std::string_view Key);

/// Returns the team of \p Key, also of a withdrawn key, to record it with a
/// refusal; empty for an unknown key.
std::string_view teamOfKey(const configuration &Config,
                           std::string_view KeySecret, std::string_view Key);

/// Finds the route of \p Access and checks its method and key.
result<caller_grant> checkCaller(const configuration &Config,
                                 std::string_view KeySecret,
                                 const access_request &Access);

/// Returns whether \p Text contains \p Key. Keys under 8 bytes never match,
/// since ordinary text could contain them by accident.
bool containsKey(std::string_view Text, std::string_view Key);

/// Returns \p Query without the parameters that commonly carry credentials and
/// those that contain \p Key.
std::string stripCredentials(std::string_view Query, std::string_view Key);

} // namespace ebonyvale

#endif

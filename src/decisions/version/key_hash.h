/// \file
/// Keyed hashes of callers' keys, and digests of configuration versions.
#ifndef EBONYVALE_DECISIONS_VERSION_KEY_HASH_H
#define EBONYVALE_DECISIONS_VERSION_KEY_HASH_H

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Length of SHA-256 output in bytes.
inline constexpr std::size_t DigestBytes = 32;

/// A SHA-256 or HMAC-SHA-256 value.
using digest = std::array<unsigned char, DigestBytes>;

/// Returns the HMAC-SHA-256 (RFC 2104) of \p Key with the fleet's \p Secret.
digest hashKey(std::string_view Secret, std::string_view Key);

/// Returns the SHA-256 of \p Text.
digest hashText(std::string_view Text);

/// Compares two digests in constant time.
bool sameDigest(const digest &Left, const digest &Right);

/// Returns \p Value in lower-case hex.
std::string toHex(const digest &Value);

/// Parses the format that `toHex` writes; returns nothing for any other text.
std::optional<digest> digestFromHex(std::string_view Hex);

} // namespace ebonyvale

#endif

/// \file
/// Base64 with padding (RFC 4648, section 4).
#ifndef EBONYVALE_NET_BASE64_H
#define EBONYVALE_NET_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Returns \p Bytes encoded as base64.
std::string toBase64(std::string_view Bytes);

/// Returns the decoded bytes, or nothing if \p Text is not valid base64.
std::optional<std::string> fromBase64(std::string_view Text);

} // namespace ebonyvale

#endif

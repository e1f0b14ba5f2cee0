/// \file
/// Compresses documents, or what distinguishes them from an earlier version.
#ifndef EBONYVALE_DECISIONS_VERSION_DOCUMENT_ENCODING_H
#define EBONYVALE_DECISIONS_VERSION_DOCUMENT_ENCODING_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Largest document that is encoded or decoded, in bytes.
inline constexpr std::size_t MaxDocumentBytes = 4 * 1024 * 1024;

/// Returns \p Value compressed for a reader that has \p Base, an earlier
/// version of it or nothing: parts that occur in it take few bytes. Returns
/// nothing if one of them is too large.
std::optional<std::string> encodeDocument(std::string_view Value,
                                          std::string_view Base);

/// Returns the document that \p Encoded holds. Returns nothing if it is
/// damaged, was encoded with another base or is too large.
std::optional<std::string> decodeDocument(std::string_view Encoded,
                                          std::string_view Base);

} // namespace ebonyvale

#endif

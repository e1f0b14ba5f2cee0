/// \file
/// Copies of the operators' documents, for peers that have earlier ones.
#ifndef EBONYVALE_DECISIONS_PROCESS_DOCUMENT_COPIES_H
#define EBONYVALE_DECISIONS_PROCESS_DOCUMENT_COPIES_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// A document as it is sent to a peer.
struct encoded_document {
  std::int64_t Revision = 0;
  std::int64_t Base = 0; ///< revision that the peer needs; 0: none
  std::shared_ptr<const std::string> Bytes;
};

/// Keeps the last versions of each document, so that a peer that has one of
/// them gets what differs. Revisions identify versions, also across a restore
/// of the store.
class document_copies {
public:
  /// Versions of a document that are kept, and their total size. The newest
  /// one is kept whatever its size.
  static constexpr std::size_t MaxVersions = 4;
  static constexpr std::size_t MaxBytes = 4 * 1024 * 1024;

  /// Adds \p Value, the document \p Key at \p Revision.
  void put(std::string_view Key, std::int64_t Revision, std::string Value);

  /// Returns the newest version of \p Key for a peer that has the version
  /// \p Known; nothing if there is none that is newer.
  std::optional<encoded_document> encodeFor(std::string_view Key,
                                            std::int64_t Known);

  /// Returns the newest version of \p Key that \p Received holds; nothing if
  /// it is damaged, or its base is not kept here.
  std::optional<std::string> decode(std::string_view Key,
                                    const encoded_document &Received) const;

private:
  struct document {
    std::map<std::int64_t, std::string> Versions; ///< by revision
    /// The newest version, by the revision of its base.
    std::map<std::int64_t, std::shared_ptr<const std::string>> Encoded;
  };

  std::map<std::string, document, std::less<>> Documents;
};

} // namespace ebonyvale

#endif

/// \file
/// One version of the configuration and all that is compiled from it.
#ifndef EBONYVALE_DECISIONS_VERSION_CONFIGURATION_H
#define EBONYVALE_DECISIONS_VERSION_CONFIGURATION_H

#include "common/error_kind.h"
#include "decisions/version/entities.h"
#include "decisions/version/key_hash.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ebonyvale {

/// Entities of one sort by their key.
template <typename Entity>
using entity_map = std::map<std::string, Entity, std::less<>>;

/// A version in force. Requests share its ownership, so that all which they
/// look up stays valid until the last of them has ended.
class configuration {
public:
  std::uint64_t Version = 0;
  std::string NoteId; ///< note that made this version
  digest Digest{};    ///< chained over all notes up to this version

  entity_map<team> Teams;
  entity_map<key_entry> Keys;
  entity_map<route> Routes;
  entity_map<model> Models;
  entity_map<upstream> Upstreams;
  entity_map<failure_domain> Domains;
  entity_map<applied_note> AppliedNotes; ///< the newest ones

  /// Rebuilds the look-up structures after the maps above have changed.
  void compile();

  /// The key entry whose hash is \p Hash, withdrawn ones included.
  const key_entry *findKey(const digest &Hash) const;

  /// The route with the longest prefix of \p Path that ends at a path
  /// separator or at the end of \p Path.
  const route *findRoute(std::string_view Path) const;

  /// The upstreams of an application group, in name order.
  std::vector<const upstream *> groupMembers(std::string_view Group) const;

  /// The engines that serve \p Model, in name order.
  std::vector<const upstream *> modelEngines(std::string_view Model) const;

private:
  // Names, not pointers: a copied configuration must not refer to its source.
  std::unordered_map<std::string, std::string> KeyIdsByHash;
  std::vector<std::string> RoutesByLength;
};

/// Shared ownership of an immutable version.
using configuration_ptr = std::shared_ptr<const configuration>;

/// Digest of the version that follows \p Previous by the note \p NoteText.
digest chainDigest(const digest &Previous, std::string_view NoteText);

} // namespace ebonyvale

#endif

/// \file
/// A version of the configuration and the lookup indexes built from it.
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

/// Entities of one kind by key.
template <typename Entity>
using entity_map = std::map<std::string, Entity, std::less<>>;

/// A version of the configuration. Requests share its ownership, so that the
/// entities they look up stay valid until the last of these requests has ended.
class configuration {
public:
  std::uint64_t Version = 0;
  std::string NoteId; ///< id of the note that created this version
  digest Digest{};    ///< chained over all notes up to this version

  entity_map<team> Teams;
  entity_map<key_entry> Keys;
  entity_map<route> Routes;
  entity_map<model> Models;
  entity_map<upstream> Upstreams;
  entity_map<failure_domain> Domains;
  entity_map<applied_note> AppliedNotes; ///< the newest notes only

  /// Rebuilds the lookup indexes after the maps above have changed.
  void rebuildIndexes();

  /// Returns the key entry with the hash \p Hash, even if it is withdrawn; null
  /// for none.
  const key_entry *findKey(const digest &Hash) const;

  /// Returns the route with the longest prefix of \p Path that ends at a path
  /// separator or at the end of \p Path; null for none.
  const route *findRoute(std::string_view Path) const;

  /// Returns the upstreams of an application group, ordered by name.
  std::vector<const upstream *> groupMembers(std::string_view Group) const;

  /// Returns the engines that serve \p Model, ordered by name.
  std::vector<const upstream *> modelEngines(std::string_view Model) const;

private:
  // Names instead of pointers, which would refer to the original in a copy.
  std::unordered_map<std::string, std::string> KeyIdsByHash;
  std::vector<std::string> RoutesByLength;
};

/// Shared ownership of an immutable version.
using configuration_ptr = std::shared_ptr<const configuration>;

/// Returns the digest of the version that the note \p NoteText creates from the
/// version with the digest \p Previous.
digest chainDigest(const digest &Previous, std::string_view NoteText);

} // namespace ebonyvale

#endif

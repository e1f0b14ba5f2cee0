/// \file
/// Software versions that the upstreams of a service have had lately.
#ifndef EBONYVALE_DECISIONS_PROCESS_SOFTWARE_HISTORY_H
#define EBONYVALE_DECISIONS_PROCESS_SOFTWARE_HISTORY_H

#include "common/instant.h"
#include "decisions/process/upstream_directory.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Remembers which software versions were listed, and until when. While a
/// service has had a single one, it began all streams.
class software_history {
public:
  /// The only version that can have begun streams of a service since a time.
  struct sole_version {
    std::string Service;
    std::string Version;
    instant Since; ///< `instant::min()` for ever
  };

  /// How long a version that is no longer listed is remembered: for as long as
  /// a stream may last, and while a listing is applied.
  static constexpr span_ns Memory = std::chrono::seconds(80);

  /// Applies the discovered upstreams; called with each change of them.
  void update(const upstream_directory &Directory, instant Now);

  /// Records that an upstream with \p Version was listed, if only for a moment.
  void onListed(std::string_view Service, std::string_view Version,
                instant Now);

  /// Records that versions may have come and gone unseen until \p Now.
  void onGap(instant Now);

  /// Records that no instance has served before this one: no stream has begun
  /// at an upstream that it has not known.
  void onFirstInstance();

  /// Returns the versions that are listed alone, for peers.
  std::vector<sole_version> soleVersions() const;

  /// Records that a peer knows \p Known. Requires that this instance has known
  /// the upstreams since before the peer said so.
  void onPeerKnows(const sole_version &Known);

  /// Returns whether the services that have upstreams are all known since
  /// \p Since, in the sense of `onlyOrigin`.
  bool knowsOrigins(instant Since) const;

  /// Returns the only version that the upstreams of \p Service have had since
  /// \p Since. Returns nothing if there were several or none, or if the
  /// upstreams are known for a shorter time.
  std::optional<std::string> only(std::string_view Service,
                                  instant Since) const;

  /// Returns the only version that can have begun a stream of \p Service since
  /// \p Since. In contrast to `only`, this counts what peers know as well, and
  /// what cannot have been used before the first instance.
  std::optional<std::string> onlyOrigin(std::string_view Service,
                                        instant Since) const;

private:
  struct service_state {
    instant KnownSince;
    /// Since when only upstreams of remembered versions can have been used; not
    /// after `KnownSince`.
    instant OriginsSince;
    /// When each version was last listed; `instant::max()` for those that are.
    std::map<std::string, instant, std::less<>> LastListed;
  };

  service_state &stateOf(std::string_view Service, instant Now);
  /// Returns the only version listed at \p Since or later.
  static std::optional<std::string> onlyListed(const service_state &State,
                                               instant Since);

  std::map<std::string, service_state, std::less<>> Services;
  std::optional<instant> GapAt; ///< the last one
  bool IsFirst = false;         ///< no instance has served before this one
};

} // namespace ebonyvale

#endif

/// \file
/// A version of the routing configuration: routes by host and path prefix, the
/// services behind them, and the teams with their keys and limits.
#ifndef EBONYVALE_DECISIONS_VERSION_ROUTING_TABLE_H
#define EBONYVALE_DECISIONS_VERSION_ROUTING_TABLE_H

#include "common/instant.h"
#include "decisions/version/key_hash.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ebonyvale {

/// How many times one request of a caller may run.
enum class repeat_policy {
  Idempotent, ///< any number of times
  AtMostOnce,
};

/// A service and its share of a route's requests.
struct weighted_service {
  std::string Service;
  double Weight = 1; ///< relative to the route's other services
};

/// A route for a path prefix of a host.
struct forward_route {
  std::string Name;
  std::string Host;
  std::string Prefix; ///< begins and ends with a slash
  std::vector<weighted_service> Split;
  repeat_policy Repeat = repeat_policy::AtMostOnce;
  bool Streams = false;       ///< responses are server-sent events
  bool Resumable = false;     ///< another upstream can continue a stream
  bool Open = false;          ///< served without a key
  bool SharedPrompts = false; ///< requests name the segments of their prompt
  int MaxAttempts = 1;        ///< upstreams that a request may be sent to
  int Priority = 5;           ///< 0 is the most urgent
  span_ns Timeout = std::chrono::seconds(30);
  /// Target time to the first response chunk.
  span_ns Target = std::chrono::seconds(1);
};

/// Capacity of each engine of a service.
struct engine_limits {
  std::int64_t Slots = 1;       ///< requests that run concurrently
  std::int64_t CacheTokens = 0; ///< KV cache of running and cached prompts
  double LinkMbps = 0;          ///< bandwidth for copying cached segments
  double TokenBytes = 0;        ///< bytes of a token in the KV cache
  std::vector<std::string> Models;
};

/// A store of cached prompt segments, which is not the target of any route.
struct cache_store_entry {
  std::string Address; ///< "IP:PORT"
  std::string Domain;
  double LinkMbps = 0;
  double CacheTokens = 0;
};

/// A group of interchangeable upstreams.
struct service_entry {
  std::string Name;
  std::string HealthPath;
  std::int64_t MaxConnections = 0; ///< per upstream, over all callers
  std::optional<engine_limits> Engine;
  std::optional<cache_store_entry> CacheStore;
};

/// A team, its keys and its fleet-wide limits.
struct team_entry {
  std::string Name;
  std::vector<digest> Keys;
  std::optional<int> Priority; ///< overrides the route's
  bool CountsTokens = false;   ///< limits count tokens instead of requests
  double DefaultTokens = 0;    ///< cost of requests without token counts
  bool IsolatedCache = false;  ///< shares no cached prompts with other teams
  double Rate = 0;             ///< per second; 0 for no limit
  double Burst = 0;
};

/// Limits on requests of callers.
struct caller_bounds {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 4 * 1024 * 1024;
  span_ns HeaderTimeout = std::chrono::seconds(10);
  span_ns IdleTimeout = std::chrono::seconds(30);
};

/// The contents of a version. Fill it, call `index`, then share it as const.
class routing_table {
public:
  std::uint64_t Version = 0;
  std::vector<forward_route> Routes;
  std::map<std::string, service_entry, std::less<>> Services;
  std::vector<team_entry> Teams;
  caller_bounds Bounds;

  /// Builds the lookup indexes after the members above have been filled.
  void index();

  /// Returns the route of \p Host with the longest prefix of \p Path; null for
  /// none. Case and port of \p Host are ignored.
  const forward_route *findRoute(std::string_view Host,
                                 std::string_view Path) const;

  /// Returns the team of the key with the hash \p Hash; null for none.
  const team_entry *findTeam(const digest &Hash) const;

  /// Returns the scope of the prompts that are cached for all teams whose cache
  /// is not isolated. It depends on which teams are isolated: in the scope of a
  /// table no instance has ever cached a prompt of a team that is isolated in
  /// the table.
  const std::string &sharedCacheScope() const { return SharedCacheScope; }

  /// Returns whether teams are configured, so that requests need a key.
  bool hasTeams() const { return !Teams.empty(); }

private:
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesByHost;
  std::unordered_map<std::string, std::size_t> TeamsByKey;
  std::string SharedCacheScope;
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

/// Returns the service for a request by the weights of \p Route. \p Fraction,
/// in [0, 1), is the request's position in the cumulative weights. Returns an
/// empty name if no weight is positive.
std::string_view chooseService(const forward_route &Route, double Fraction);

} // namespace ebonyvale

#endif

/// \file
/// One version of a routing document: routes by host and path prefix, the
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

/// How often a request may run.
enum class repeat_rule {
  Idempotent, ///< any number of times
  AtMostOnce, ///< once for each request of a caller
};

/// A service and its part of a route's requests.
struct weighted_service {
  std::string Service;
  double Weight = 1;
};

/// A path prefix of a host.
struct forward_route {
  std::string Name;
  std::string Host;
  std::string Prefix; ///< begins and ends with a slash
  std::vector<weighted_service> Split;
  repeat_rule Repeat = repeat_rule::AtMostOnce;
  bool Streams = false;       ///< answers are server-sent events
  bool Resumable = false;     ///< streams may go on elsewhere after an event
  bool Open = false;          ///< served without a key
  bool SharedPrompts = false; ///< requests name the parts of their prompt
  int MaxAttempts = 1;        ///< upstreams that one request may be sent to
  int Priority = 5;           ///< 0 is the most urgent
  span_ns Timeout = std::chrono::seconds(30);
  span_ns Target = std::chrono::seconds(1); ///< to the first part of an answer
};

/// What a service's engines can hold.
struct engine_limits {
  std::int64_t Slots = 1;       ///< requests that run at once
  std::int64_t CacheTokens = 0; ///< memory for running and cached prompts
  double LinkMbps = 0;          ///< of one engine, for copies of cached parts
  double TokenBytes = 0;        ///< of one token in the cache
  std::vector<std::string> Models;
};

/// A store of cached prompt parts, which no route leads to.
struct cache_store_entry {
  std::string Address; ///< "IP:PORT"
  std::string Domain;
  double LinkMbps = 0;
  double CacheTokens = 0;
};

/// A group of equal upstreams.
struct service_entry {
  std::string Name;
  std::string HealthPath;
  std::int64_t MaxConnections = 0; ///< of one upstream, for all callers
  std::optional<engine_limits> Engine;
  std::optional<cache_store_entry> CacheStore;
};

/// A customer, its keys and its limits over the whole fleet.
struct team_entry {
  std::string Name;
  std::vector<digest> Keys;
  std::optional<int> Priority; ///< goes before the route's
  bool CountsTokens = false;   ///< limits are in tokens, not requests
  double DefaultTokens = 0;    ///< of requests that do not say their size
  bool OwnCache = false;       ///< shares no cached prompt with other teams
  double Rate = 0;             ///< per second; 0 for no limit
  double Burst = 0;
};

/// Bounds on what callers may send.
struct caller_bounds {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 4 * 1024 * 1024;
  span_ns HeaderTimeout = std::chrono::seconds(10);
  span_ns IdleTimeout = std::chrono::seconds(30);
};

/// Everything that a version holds. Build it, call `index`, then share it.
class routing_table {
public:
  std::uint64_t Version = 0;
  std::vector<forward_route> Routes;
  std::map<std::string, service_entry, std::less<>> Services;
  std::vector<team_entry> Teams;
  caller_bounds Bounds;

  /// Builds the look-ups after the members above have been filled.
  void index();

  /// The route of \p Host with the longest prefix of \p Path; null for none.
  const forward_route *findRoute(std::string_view Host,
                                 std::string_view Path) const;

  /// The team that holds the key with \p Hash; null for none.
  const team_entry *findTeam(const digest &Hash) const;

  bool limitsTeams() const { return !Teams.empty(); }

private:
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesByHost;
  std::unordered_map<std::string, std::size_t> TeamsByKey;
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

/// The service for a request: \p Point, in [0, 1), falls into one of the
/// route's weights. Empty when no weight is above zero.
std::string_view chooseService(const forward_route &Route, double Point);

} // namespace ebonyvale

#endif

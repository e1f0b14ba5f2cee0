#include "decisions/request/forward_admission.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Retry delay while no fresh configuration is known; about the duration of two
/// store calls.
constexpr span_ns StaleConfigurationRetry = std::chrono::milliseconds(700);

admission refuse(error_kind Kind, std::string Detail = {},
                 span_ns RetryAfter = span_ns(0)) {
  admission Outcome;
  Outcome.Refusal = forward_refusal{Kind, std::move(Detail), RetryAfter, {}};
  return Outcome;
}

} // namespace

admission admitForward(const admission_context &Context,
                       const caller_request &Request, instant Now) {
  if (!Context.Routing)
    return refuse(error_kind::NotReady, "no configuration has been read yet",
                  StaleConfigurationRetry);
  if (Context.Freshness.isReplaced(Now, Context.Options))
    return refuse(error_kind::NotReady,
                  "the configuration was replaced by one that has not been "
                  "read yet",
                  StaleConfigurationRetry);
  admission Outcome;
  Outcome.Route = Context.Routing->findRoute(Request.Host, Request.Path);
  const bool AbsenceIsFresh =
      Context.Freshness.isFreshForAbsence(Now, Context.Options);
  if (!Outcome.Route && !AbsenceIsFresh)
    return refuse(error_kind::NotReady,
                  "no route matches, but a newer configuration may have one",
                  StaleConfigurationRetry);
  if (!Outcome.Route)
    return refuse(error_kind::RouteUnknown);
  if (!Context.Routing->hasTeams() || Outcome.Route->Open)
    return Outcome;
  if (!Context.Freshness.isFreshForKeys(Now, Context.Options))
    return refuse(error_kind::NotReady,
                  "the configuration is too old to accept keys",
                  StaleConfigurationRetry);
  if (Request.Key.empty())
    return refuse(error_kind::KeyMissing);
  Outcome.Team =
      Context.Routing->findTeam(hashKey(Context.KeySecret, Request.Key));
  if (!Outcome.Team && !AbsenceIsFresh)
    return refuse(error_kind::NotReady,
                  "the key is unknown, but a newer configuration may have it",
                  StaleConfigurationRetry);
  if (!Outcome.Team)
    return refuse(error_kind::KeyUnknown);
  return Outcome;
}

double limitCost(const team_entry &Team, const caller_request &Request) {
  if (!Team.CountsTokens)
    return 1;
  if (Request.HasTokenCounts)
    return static_cast<double>(Request.PromptTokens + Request.ResponseTokens);
  return Team.DefaultTokens;
}

std::string cacheScope(const routing_table &Routing, const team_entry *Team,
                       const caller_request &Request) {
  if (Request.Segments.empty())
    return {};
  if (!Team)
    return Routing.sharedCacheScope();
  const auto Current =
      std::ranges::find(Routing.Teams, Team->Name, &team_entry::Name);
  const bool Shares = Current != Routing.Teams.end() && !Current->IsolatedCache;
  return Shares ? Routing.sharedCacheScope() : "team:" + Team->Name;
}

std::vector<prompt_segment> promptSegments(std::string_view Scope,
                                           const caller_request &Request) {
  std::vector<prompt_segment> Segments;
  std::uint64_t Chain = XXH3_64bits_withSeed(
      Scope.data(), Scope.size(),
      XXH3_64bits(Request.Model.data(), Request.Model.size()));
  for (const named_segment &Segment : Request.Segments) {
    Chain =
        XXH3_64bits_withSeed(Segment.Name.data(), Segment.Name.size(), Chain);
    Segments.push_back({Chain, Segment.Tokens});
  }
  return Segments;
}

} // namespace ebonyvale

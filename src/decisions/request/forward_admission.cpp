#include "decisions/request/forward_admission.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Advice while nothing is known of the configuration or it cannot be proved:
/// about two of the store's calls.
constexpr span_ns ProofRetry = std::chrono::milliseconds(700);

admission refuse(error_kind Kind, std::string Detail = {},
                 span_ns RetryAfter = span_ns(0)) {
  admission Outcome;
  Outcome.Refusal = forward_refusal{Kind, std::move(Detail), RetryAfter, {}};
  return Outcome;
}

} // namespace

admission admitForward(const admission_view &View,
                       const caller_request &Request, instant Now) {
  if (!View.Routing)
    return refuse(error_kind::NotReady, "no configuration is known",
                  ProofRetry);
  admission Outcome;
  Outcome.Route = View.Routing->findRoute(Request.Host, Request.Path);
  const bool AbsenceProved = View.Proof.isFreshForAbsence(Now, View.Terms);
  if (!Outcome.Route && !AbsenceProved)
    return refuse(error_kind::NotReady,
                  "no route is known and a newer version may have one",
                  ProofRetry);
  if (!Outcome.Route)
    return refuse(error_kind::RouteUnknown);
  if (!View.Routing->limitsTeams() || Outcome.Route->Open)
    return Outcome;
  if (!View.Proof.isFreshForKeys(Now, View.Terms))
    return refuse(error_kind::NotReady,
                  "the configuration could not be proved lately", ProofRetry);
  if (Request.Key.empty())
    return refuse(error_kind::KeyMissing);
  Outcome.Team = View.Routing->findTeam(hashKey(View.KeySecret, Request.Key));
  if (!Outcome.Team && !AbsenceProved)
    return refuse(error_kind::NotReady,
                  "the key is unknown and a newer version may have it",
                  ProofRetry);
  if (!Outcome.Team)
    return refuse(error_kind::KeyUnknown);
  return Outcome;
}

double limitCost(const team_entry &Team, const caller_request &Request) {
  if (!Team.CountsTokens)
    return 1;
  if (Request.TellsTokens)
    return static_cast<double>(Request.PromptTokens + Request.AnswerTokens);
  return Team.DefaultTokens;
}

std::string cacheScope(const team_entry *Team, const caller_request &Request) {
  if (Request.Parts.empty())
    return {};
  return Team && Team->OwnCache ? "team:" + Team->Name : "shared";
}

std::vector<prompt_segment> promptParts(std::string_view Scope,
                                        const caller_request &Request) {
  std::vector<prompt_segment> Parts;
  std::uint64_t Chain = XXH3_64bits_withSeed(
      Scope.data(), Scope.size(),
      XXH3_64bits(Request.Model.data(), Request.Model.size()));
  for (const named_part &Part : Request.Parts) {
    Chain = XXH3_64bits_withSeed(Part.Name.data(), Part.Name.size(), Chain);
    Parts.push_back({Chain, Part.Tokens});
  }
  return Parts;
}

} // namespace ebonyvale

#include "decisions/request/forward_admission.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct admission_row {
  char Path[16];
  char Key[16];
  int ProofAgeMs; ///< negative: nothing was ever proved
  bool Admitted;
  error_kind Kind;
};

using enum error_kind;

routing_table tableOf() {
  routing_table Table;
  forward_route Closed;
  Closed.Host = "h";
  Closed.Prefix = "/closed/";
  forward_route Open = Closed;
  Open.Prefix = "/open/";
  Open.Open = true;
  Table.Routes = {Closed, Open};
  Table.Teams = {{.Name = "t", .Keys = {hashKey("s", "key")}}};
  Table.index();
  return Table;
}

} // namespace

ParameterizedTestParameters(forward_admission, by_what_is_proved) {
  // Keys hold for 4.7 s after a proof, absence for 2.5 s.
  static admission_row Rows[] = {
      {"/closed/1", "key", 0, true, {}},
      {"/closed/1", "key", 4600, true, {}},
      {"/closed/1", "key", 4700, false, NotReady},
      {"/closed/1", "key", -1, false, NotReady},
      {"/closed/1", "other", 2400, false, KeyUnknown},
      {"/closed/1", "other", 2600, false, NotReady},
      {"/closed/1", "", 100, false, KeyMissing},
      {"/none/1", "key", 100, false, RouteUnknown},
      {"/none/1", "key", 2600, false, NotReady},
      {"/none/1", "key", -1, false, NotReady},
      {"/open/1", "", 60000, true, {}},
      {"/open/1", "", -1, true, {}},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(admission_row *Row, forward_admission, by_what_is_proved) {
  const routing_table Table = tableOf();
  const freshness_options Terms;
  freshness Proof;
  const instant Now(100s);
  if (Row->ProofAgeMs >= 0)
    Proof.onRead(Now - std::chrono::milliseconds(Row->ProofAgeMs));
  caller_request Request;
  Request.Host = "h";
  Request.Path = Row->Path;
  Request.Key = Row->Key;
  const admission Outcome =
      admitForward({&Table, Proof, Terms, "s"}, Request, Now);
  cr_assert(!Outcome.Refusal.has_value() == Row->Admitted, "%s %s %d",
            Row->Path, Row->Key, Row->ProofAgeMs);
  if (Row->Admitted)
    return;
  cr_assert(Outcome.Refusal->Kind == Row->Kind);
  // Ignorance ends by itself; a wrong key does not.
  cr_assert((Outcome.Refusal->RetryAfter > 0s) == (Row->Kind == NotReady));
}

Test(forward_admission, without_a_configuration_nothing_is_unknown) {
  const freshness_options Terms;
  const freshness Proof;
  const admission Outcome =
      admitForward({nullptr, Proof, Terms, "s"}, {}, instant(1s));
  cr_assert(Outcome.Refusal->Kind == NotReady);
}

Test(forward_admission, costs_follow_the_teams_unit) {
  caller_request Told;
  Told.TellsTokens = true;
  Told.PromptTokens = 100;
  Told.AnswerTokens = 10;
  const team_entry Counts{
      .Name = "t", .CountsTokens = true, .DefaultTokens = 200};
  cr_assert(limitCost(Counts, Told) == 110);
  cr_assert(limitCost(Counts, {}) == 200);
  cr_assert(limitCost({.Name = "t"}, Told) == 1);
}

/// No part of a prompt may be found under another team's name where one of the
/// two shares nothing, nor under another model's.
Test(forward_admission, parts_never_cross_a_wall) {
  caller_request Request;
  Request.Model = "m";
  Request.Parts = {{"a", 10}, {"b", 20}};
  const team_entry Walled{.Name = "w", .OwnCache = true};
  const team_entry Other{.Name = "v", .OwnCache = true};
  const team_entry Shared{.Name = "s"};
  const team_entry Sharer{.Name = "r"};
  cr_assert(cacheScope(&Walled, Request) != cacheScope(&Other, Request));
  cr_assert(cacheScope(&Walled, Request) != cacheScope(&Shared, Request));
  cr_assert(cacheScope(&Shared, Request) == cacheScope(&Sharer, Request));
  const auto Parts = promptParts("shared", Request);
  cr_assert(Parts.size() == 2 && Parts[1].Tokens == 20);
  cr_assert(promptParts("team:w", Request)[0].Chain != Parts[0].Chain);
  caller_request OtherModel = Request;
  OtherModel.Model = "n";
  cr_assert(promptParts("shared", OtherModel)[0].Chain != Parts[0].Chain);
  // The same part behind another one is another part.
  caller_request Swapped = Request;
  Swapped.Parts = {{"x", 10}, {"b", 20}};
  cr_assert(promptParts("shared", Swapped)[1].Chain != Parts[1].Chain);
}

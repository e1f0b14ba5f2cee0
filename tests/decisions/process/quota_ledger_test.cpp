#include "decisions/process/quota_ledger.h"

#include <criterion/criterion.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

Test(quota_ledger, requests_that_wait_are_admitted_when_their_limit_is_lifted) {
  quota_ledger Ledger({}, instant(0s), 1);
  Ledger.setTeam("t", {{100, 100}, true}, instant(1s));
  cr_assert(Ledger.request(7, "t", {20, 0}, instant(1s)).empty());
  const auto Actions = Ledger.liftLimits("t");
  cr_assert(Actions.size() == 1);
  const auto *Admit = std::get_if<admit_action>(&Actions[0]);
  cr_assert(Admit && Admit->Request == 7 && Admit->Reserved.Tokens == 0);
  cr_assert(Ledger.liftLimits("t").empty());
}

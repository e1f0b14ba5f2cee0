#include "decisions/process/store_contact.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string_view>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct contact_row {
  /// One letter for each 100 ms: a call is answered (r), a call other than a
  /// watch fails (f), all changes are known (c), a watch waits or is cut (.).
  char Calls[48];
  listing_kind Kind; ///< of a listing received in the next 100 ms
};

} // namespace

ParameterizedTestParameters(store_contact, an_outage_is_no_cut_watch) {
  static contact_row Rows[] = {
      {"", listing_kind::Continuous},
      {"c", listing_kind::Continuous},
      {"c.......", listing_kind::Continuous},
      {"c..............", listing_kind::Continuous},
      {"c...............", listing_kind::AfterOutage},
      {"c....r.........r", listing_kind::Continuous},
      {"c...............r...", listing_kind::AfterOutage},
      {"c...............c...", listing_kind::Continuous},
      {"c.f", listing_kind::AfterOutage},
      {"c.fr", listing_kind::AfterOutage},
      {"c.frc..", listing_kind::Continuous},
      {"f", listing_kind::AfterOutage},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(contact_row *Row, store_contact, an_outage_is_no_cut_watch) {
  store_contact Contact;
  instant Now(10s);
  for (const char Call : std::string_view(Row->Calls)) {
    if (Call == 'r')
      Contact.onResponse(Now);
    else if (Call == 'f')
      Contact.onFailure();
    else if (Call == 'c')
      Contact.onCurrent(Now);
    Now += 100ms;
  }
  cr_assert(Contact.listingKind(Now) == Row->Kind, "%s", Row->Calls);
}

// The choice of an upstream while a release decides on versions of its
// software.
#include "decisions/process/upstream_scheduler.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>
#include <string_view>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// Allows what a test says, by the version.
class given_choice final : public software_choice {
public:
  given_choice(software_use Former, software_use New)
      : Former(Former), New(New) {}

  software_use useOf(std::string_view, std::string_view Software,
                     std::string_view, bool, instant) const override {
    return Software == "v2" ? New : Former;
  }

private:
  software_use Former;
  software_use New;
};

struct choice_row {
  char Name[48];
  software_use Former;
  software_use New;
  bool FormerIsTried;
  bool NewIsTried;
  char Chosen[4]; ///< empty: none
};

upstream_entry entryOf(const char *Id, const char *Software) {
  upstream_entry Entry;
  Entry.Id = Id;
  Entry.Service = "s";
  Entry.Software = Software;
  Entry.Address = "10.0.0.1";
  Entry.Port = 80;
  Entry.Domain = "a";
  return Entry;
}

} // namespace

ParameterizedTestParameters(software_choice, decides_on_versions) {
  using enum software_use;
  static choice_row Rows[] = {
      {"barred", Allowed, Barred, false, false, "u-1"},
      {"barred, no other", Allowed, Barred, true, false, ""},
      {"due", Allowed, Preferred, false, false, "u-2"},
      {"due, but tried", Allowed, Preferred, false, true, "u-1"},
      {"the former one stops", LastResort, Allowed, false, false, "u-2"},
      {"the former one stops, no other", LastResort, Allowed, false, true,
       "u-1"},
      {"all barred", Barred, Barred, false, false, ""},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(choice_row *Row, software_choice, decides_on_versions) {
  upstream_directory Directory;
  Directory.setAll({entryOf("u-1", "v1"), entryOf("u-2", "v2")},
                   listing_kind::Continuous, instant{});
  upstream_scheduler Scheduler({}, "a", {});
  Scheduler.update(Directory);
  const given_choice Choice(Row->Former, Row->New);
  std::vector<std::string> Tried;
  if (Row->FormerIsTried)
    Tried.emplace_back("u-1");
  if (Row->NewIsTried)
    Tried.emplace_back("u-2");
  schedule_query Query;
  Query.Service = "s";
  Query.TimeLeft = 1s;
  Query.Tried = Tried;
  Query.Releases = &Choice;
  const auto Outcome = Scheduler.choose(Query, instant{});
  const std::string Chosen = Outcome.Choice ? Outcome.Choice->Upstream : "";
  cr_assert(Chosen == Row->Chosen, "%s: %s", Row->Name, Chosen.c_str());
  // Requests that come back find what is not barred.
  Query.Tried = {};
  const bool IsAllBarred = Row->Former == software_use::Barred;
  cr_assert((Scheduler.availableIn(Query, instant{}) == span_ns(0)) !=
            IsAllBarred);
}

/// A version that is due, but busy, does not keep a request from the others.
Test(software_choice, a_busy_version_leaves_requests_to_the_others) {
  upstream_directory Directory;
  upstream_entry Engine = entryOf("u-2", "v2");
  Engine.Models = {{"m", 1}};
  upstream_entry Former = entryOf("u-1", "v1");
  Former.Models = Engine.Models;
  Directory.setAll({Former, Engine}, listing_kind::Continuous, instant{});
  upstream_scheduler Scheduler({}, "a", {});
  Scheduler.update(Directory);
  schedule_query Query;
  Query.Service = "s";
  Query.Model = "m";
  Query.PromptTokens = 9000;
  Query.TimeLeft = 4s;
  Query.Target = 300ms;
  const given_choice Due(software_use::Barred, software_use::Preferred);
  Query.Releases = &Due;
  // Fill the engine of the new version until it is refused.
  int Sent = 0;
  for (; Sent < 1000; ++Sent) {
    const auto Outcome = Scheduler.choose(Query, instant{});
    if (!Outcome.Choice)
      break;
    Scheduler.onSent(*Outcome.Choice, Query, instant{});
  }
  cr_assert(Sent > 0 && Sent < 1000);
  const given_choice Either(software_use::Allowed, software_use::Preferred);
  Query.Releases = &Either;
  const auto Outcome = Scheduler.choose(Query, instant{});
  cr_assert(Outcome.Choice && Outcome.Choice->Upstream == "u-1");
}

#include "decisions/process/origin_lookup.h"
#include "decisions/process/stream_origins.h"

#include <criterion/criterion.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {
using names = std::vector<std::string>;
} // namespace

Test(origin_lookup, asks_the_others_when_the_first_know_nothing) {
  origin_lookup Lookup({{"a", "b"}, {"c"}}, instant(1s));
  cr_assert(Lookup.takeToAsk(instant(1s)) == names({"a", "b"}));
  cr_assert(Lookup.takeToAsk(instant(1s)).empty());
  Lookup.onAnswer("a", std::nullopt);
  cr_assert(Lookup.takeToAsk(instant(1s) + 1ms).empty());
  Lookup.onAnswer("b", std::nullopt);
  cr_assert(Lookup.takeToAsk(instant(1s) + 2ms) == names({"c"}));
  cr_assert(Lookup.state(instant(1s) + 2ms) == lookup_state::Pending);
  Lookup.onAnswer("c", std::nullopt);
  cr_assert(Lookup.state(instant(1s) + 3ms) == lookup_state::Unknown);
}

Test(origin_lookup, asks_again_those_that_have_not_answered) {
  origin_lookup Lookup({{"a", "b"}, {"c"}}, instant(1s));
  Lookup.takeToAsk(instant(1s));
  Lookup.onAnswer("a", std::nullopt);
  cr_assert(Lookup.nextAt() == instant(1s) + origin_lookup::RepeatAfter);
  cr_assert(Lookup.takeToAsk(Lookup.nextAt()) == names({"b", "c"}));
  Lookup.onAnswer("c", std::nullopt);
  cr_assert(Lookup.takeToAsk(Lookup.nextAt()) == names({"b"}));
  cr_assert(Lookup.nextAt() == instant(1s) + origin_lookup::Timeout);
  cr_assert(Lookup.state(Lookup.nextAt() - 1ms) == lookup_state::Pending);
  cr_assert(Lookup.state(Lookup.nextAt()) == lookup_state::Unknown);
  cr_assert(Lookup.takeToAsk(Lookup.nextAt()).empty());
}

Test(origin_lookup, ends_with_the_first_positive_answer) {
  origin_lookup Lookup({{"a", "b"}, {"c"}}, instant(1s));
  Lookup.takeToAsk(instant(1s));
  Lookup.onAnswer("b", "v-1");
  Lookup.onAnswer("a", "v-2");
  cr_assert(Lookup.state(instant(9s)) == lookup_state::Known);
  cr_assert(Lookup.software() == "v-1");
  cr_assert(Lookup.takeToAsk(instant(9s)).empty());
}

Test(origin_lookup, without_peers_is_unknown_at_once) {
  const origin_lookup Lookup({}, instant(1s));
  cr_assert(Lookup.state(instant(1s)) == lookup_state::Unknown);
}

Test(origin_lookup, a_record_without_a_version_does_not_end_it) {
  const std::string Unknown = "s\n" + std::string(UnknownSoftware);
  origin_lookup Lookup({{"a", "b", "c"}, {}}, instant(1s));
  Lookup.takeToAsk(instant(1s));
  Lookup.onAnswer("a", Unknown);
  cr_assert(Lookup.state(instant(1s)) == lookup_state::Pending);
  Lookup.onAnswer("b", std::nullopt);
  origin_lookup Answered = Lookup;
  Lookup.onAnswer("c", std::nullopt);
  cr_assert(Lookup.state(instant(1s)) == lookup_state::Uncertain);
  cr_assert(Answered.state(instant(1s) + origin_lookup::Timeout) ==
            lookup_state::Uncertain);
  Answered.onAnswer("c", "s\nv-1");
  cr_assert(Answered.state(instant(1s)) == lookup_state::Known);
  cr_assert(Answered.software() == "s\nv-1");
}

#include "decisions/process/unconfirmed_upstreams.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <optional>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t Born = 1000;
const instant Start{100s};

upstream_entry entryOf(std::int64_t EntryBorn) {
  upstream_entry Entry;
  Entry.Id = "u-1";
  Entry.Born = EntryBorn;
  Entry.Service = "s";
  Entry.Address = "10.0.0.1";
  Entry.Port = 80;
  return Entry;
}

struct start_row {
  char Name[40];
  std::int64_t Listed; ///< start that the entry states; 0: none
  std::int64_t Stated; ///< by the process, in its report
  bool IsLost;         ///< a connection was lost before
  int SentMs;          ///< after the loss; the time of the question
  int ListedMs;        ///< after the loss; the last read of the list
  start_evidence Evidence;
  bool MayBeCurrent;
};

instant after(int Ms) { return Start + std::chrono::milliseconds(Ms); }

} // namespace

ParameterizedTestParameters(unconfirmed_upstreams, what_a_start_tells) {
  using enum start_evidence;
  static start_row Rows[] = {
      {"the process of the entry", Born, Born, true, 1, 0, SameProcess, true},
      {"asked at the loss", Born, Born, true, 0, 0, SameProcess, true},
      {"asked before the loss", Born, Born, true, -1, 0, SameProcess, true},
      {"another process", Born, Born + 1, true, 1, 0, OtherProcess, false},
      {"another process, listed later", Born, Born + 1, true, 1, 5000,
       OtherProcess, false},
      {"another process, nothing lost", Born, Born + 1, false, 1, 5000,
       OtherProcess, false},
      {"no start stated yet", Born, 0, true, 1, 0, None, true},
      {"no start listed", 0, Born, true, 1, 0, None, false},
      {"no start, listed too early", 0, 0, true, 1, 1499, None, false},
      {"no start, listed later", 0, 0, true, 1, 1500, None, true},
      {"no start, nothing lost", 0, 0, false, 1, 0, None, true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(start_row *Row, unconfirmed_upstreams, what_a_start_tells) {
  const upstream_entry Entry = entryOf(Row->Listed);
  unconfirmed_upstreams Doubts;
  if (Row->IsLost)
    cr_assert(Doubts.onConnectionLost(Entry.process(), Start));
  cr_assert(Doubts.onStarted(Entry.process(), Row->Stated,
                             after(Row->SentMs)) == Row->Evidence,
            "%s", Row->Name);
  const instant ListedAt = after(Row->ListedMs);
  cr_assert(Doubts.statesStart(Entry) == (Row->Listed != 0));
  cr_assert(Doubts.mayBeCurrent(Entry, ListedAt) == Row->MayBeCurrent, "%s",
            Row->Name);
  upstream_directory Directory;
  Directory.put(Entry.Id, Entry, Start);
  Doubts.expire(Directory, ListedAt);
  cr_assert(Doubts.mayBeCurrent(Entry, ListedAt) == Row->MayBeCurrent,
            "%s, after expire", Row->Name);
}

Test(unconfirmed_upstreams, a_later_loss_puts_it_in_doubt_again) {
  const upstream_entry Entry = entryOf(0);
  unconfirmed_upstreams Doubts;
  Doubts.onConnectionLost(Entry.process(), Start);
  cr_assert(Doubts.isListed(Entry, after(1500)));
  cr_assert(not Doubts.onConnectionLost(Entry.process(), after(2)));
  cr_assert(not Doubts.isListed(Entry, after(1500)));
}

Test(unconfirmed_upstreams, one_that_does_not_answer_with_a_start_is_listed) {
  const upstream_entry Entry = entryOf(Born);
  unconfirmed_upstreams Doubts;
  Doubts.onStartless(Entry.process());
  cr_assert(not Doubts.statesStart(Entry));
  cr_assert(Doubts.statesStart(entryOf(Born + 1)), "the next process");
  Doubts.onConnectionLost(Entry.process(), Start);
  cr_assert(not Doubts.mayBeCurrent(Entry, after(1499)));
  cr_assert(Doubts.mayBeCurrent(Entry, after(1500)));
  upstream_directory Directory;
  Doubts.expire(Directory, after(1500));
  cr_assert(Doubts.statesStart(Entry), "forgotten once it is gone");
}

Test(unconfirmed_upstreams, the_entry_of_the_next_process_is_current) {
  const upstream_entry Before = entryOf(Born);
  const upstream_entry After = entryOf(Born + 1);
  unconfirmed_upstreams Doubts;
  Doubts.onConnectionLost(Before.process(), Start);
  Doubts.onStarted(Before.process(), Born + 1, after(1));
  cr_assert(not Doubts.mayBeCurrent(Before, Start));
  cr_assert(Doubts.mayBeCurrent(After, Start));
}

Test(unconfirmed_upstreams, a_restored_copy_does_not_confirm_a_replaced_one) {
  const upstream_entry Before = entryOf(Born);
  const upstream_entry After = entryOf(Born + 1);
  unconfirmed_upstreams Doubts;
  upstream_directory Directory;
  Doubts.onConnectionLost(Before.process(), Start);
  Doubts.onStarted(Before.process(), Born + 1, after(1));
  Directory.put(After.Id, After, after(2));
  Doubts.expire(Directory, after(3000));
  Doubts.onConnectionLost(After.process(), after(3100));
  cr_assert(not Doubts.mayBeCurrent(Before, after(6000)));
}

Test(unconfirmed_upstreams, its_own_start_ends_a_wrong_statement) {
  const upstream_entry Entry = entryOf(Born);
  unconfirmed_upstreams Doubts;
  Doubts.onStarted(Entry.process(), Born + 1, after(1));
  cr_assert(Doubts.onStarted(Entry.process(), Born, after(2)) ==
            start_evidence::SameProcess);
  cr_assert(Doubts.mayBeCurrent(Entry, Start));
}

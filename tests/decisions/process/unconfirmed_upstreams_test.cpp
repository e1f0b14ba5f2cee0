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
  bool Keeps;          ///< whether its connection stays open
  int SentMs;          ///< after the loss; the time of the question
  int ListedMs;        ///< after the loss; the last read of the list
  int NowMs;           ///< after the loss
  start_evidence Evidence;
  bool IsConfirmed;
};

instant after(int Ms) { return Start + std::chrono::milliseconds(Ms); }

} // namespace

ParameterizedTestParameters(unconfirmed_upstreams, what_confirms_an_entry) {
  using enum start_evidence;
  static start_row Rows[] = {
      {"the process of the entry", Born, Born, true, 1, 0, 150, Confirmed,
       true},
      {"some time after its statement", Born, Born, true, 1, 0, 151, Confirmed,
       false},
      {"its connection ends", Born, Born, false, 1, 0, 2, SameProcess, false},
      {"asked at the loss", Born, Born, true, 0, 0, 2, Confirmed, true},
      {"asked before the loss", Born, Born, true, -1, 0, 2, SameProcess, false},
      {"another process", Born, Born + 1, true, 1, 0, 2, OtherProcess, false},
      {"another process, listed later", Born, Born + 1, true, 1, 5000, 5000,
       OtherProcess, false},
      {"no start stated", Born, 0, true, 1, 0, 2, None, false},
      {"no start listed", 0, Born, true, 1, 0, 2, None, false},
      {"no start, listed too early", 0, 0, true, 1, 1499, 1500, None, false},
      {"no start, listed later", 0, 0, true, 1, 1500, 1500, None, true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(start_row *Row, unconfirmed_upstreams,
                  what_confirms_an_entry) {
  const upstream_entry Entry = entryOf(Row->Listed);
  unconfirmed_upstreams Doubts;
  cr_assert(Doubts.onConnectionLost(Entry.process(), Start));
  cr_assert(Doubts.onStarted(Entry.process(), Row->Stated, Row->Keeps,
                             after(Row->SentMs)) == Row->Evidence,
            "%s", Row->Name);
  const instant ListedAt = after(Row->ListedMs);
  const instant Now = after(Row->NowMs);
  cr_assert(Doubts.isConfirmed(Entry, ListedAt, Now) == Row->IsConfirmed, "%s",
            Row->Name);
  upstream_directory Directory;
  Directory.put(Entry.Id, Entry, Start);
  Doubts.expire(Directory, ListedAt);
  cr_assert(Doubts.isConfirmed(Entry, ListedAt, Now) == Row->IsConfirmed,
            "%s, after expire", Row->Name);
}

Test(unconfirmed_upstreams, a_later_loss_puts_it_in_doubt_again) {
  const upstream_entry Entry = entryOf(Born);
  unconfirmed_upstreams Doubts;
  Doubts.onConnectionLost(Entry.process(), Start);
  cr_assert(Doubts.onStarted(Entry.process(), Born, true, after(1)) ==
            start_evidence::Confirmed);
  Doubts.onConnectionLost(Entry.process(), after(2));
  cr_assert(not Doubts.isConfirmed(Entry, Start, after(2)));
}

Test(unconfirmed_upstreams, the_entry_of_the_next_process_is_confirmed) {
  const upstream_entry Before = entryOf(Born);
  const upstream_entry After = entryOf(Born + 1);
  unconfirmed_upstreams Doubts;
  Doubts.onConnectionLost(Before.process(), Start);
  Doubts.onStarted(Before.process(), Born + 1, true, after(1));
  cr_assert(not Doubts.isConfirmed(Before, Start, after(2)));
  cr_assert(Doubts.isConfirmed(After, Start, after(2)));
}

Test(unconfirmed_upstreams, another_process_counts_without_a_loss) {
  const upstream_entry Entry = entryOf(Born);
  unconfirmed_upstreams Doubts;
  Doubts.onStarted(Entry.process(), Born + 1, true, after(1));
  cr_assert(not Doubts.isConfirmed(Entry, after(5000), after(5000)));
}

Test(unconfirmed_upstreams, a_restored_copy_does_not_confirm_a_replaced_one) {
  const upstream_entry Before = entryOf(Born);
  const upstream_entry After = entryOf(Born + 1);
  unconfirmed_upstreams Doubts;
  upstream_directory Directory;
  Doubts.onConnectionLost(Before.process(), Start);
  Doubts.onStarted(Before.process(), Born + 1, true, after(1));
  Directory.put(After.Id, After, after(2));
  Doubts.expire(Directory, after(3000));
  Doubts.onConnectionLost(After.process(), after(3100));
  cr_assert(not Doubts.isConfirmed(Before, after(6000), after(6000)));
}

Test(unconfirmed_upstreams, its_own_start_ends_a_wrong_statement) {
  const upstream_entry Entry = entryOf(Born);
  unconfirmed_upstreams Doubts;
  Doubts.onConnectionLost(Entry.process(), Start);
  Doubts.onStarted(Entry.process(), Born + 1, true, after(1));
  cr_assert(Doubts.onStarted(Entry.process(), Born, true, after(2)) ==
            start_evidence::Confirmed);
  cr_assert(Doubts.isConfirmed(Entry, Start, after(3)));
}

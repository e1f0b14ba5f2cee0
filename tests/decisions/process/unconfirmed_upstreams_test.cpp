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
  int SentMs;          ///< after the loss; the time of the question
  start_evidence Evidence;
  int ListedMs; ///< after the loss; the last read of the list
  bool IsConfirmed;
};

} // namespace

ParameterizedTestParameters(unconfirmed_upstreams, what_confirms_an_entry) {
  static start_row Rows[] = {
      {"the process of the entry", Born, Born, 1, start_evidence::Confirmed, 0,
       true},
      {"asked at the loss", Born, Born, 0, start_evidence::Confirmed, 0, true},
      {"asked before the loss", Born, Born, -1, start_evidence::SameProcess, 0,
       false},
      {"another process", Born, Born + 1, 1, start_evidence::OtherProcess, 0,
       false},
      {"another process, listed later", Born, Born + 1, 1,
       start_evidence::OtherProcess, 5000, false},
      {"no start stated", Born, 0, 1, start_evidence::None, 0, false},
      {"no start listed", 0, Born, 1, start_evidence::None, 0, false},
      {"no start, listed too early", 0, 0, 1, start_evidence::None, 1499,
       false},
      {"no start, listed later", 0, 0, 1, start_evidence::None, 1500, true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(start_row *Row, unconfirmed_upstreams,
                  what_confirms_an_entry) {
  const upstream_entry Entry = entryOf(Row->Listed);
  unconfirmed_upstreams Doubts;
  cr_assert(Doubts.onConnectionLost(Entry.process(), Start));
  cr_assert(Doubts.onStarted(Entry.process(), Row->Stated,
                             Start + std::chrono::milliseconds(Row->SentMs)) ==
                Row->Evidence,
            "%s", Row->Name);
  const instant ListedAt = Start + std::chrono::milliseconds(Row->ListedMs);
  cr_assert(Doubts.isConfirmed(Entry, ListedAt) == Row->IsConfirmed, "%s",
            Row->Name);
  upstream_directory Directory;
  Directory.put(Entry.Id, Entry, Start);
  Doubts.expire(Directory, ListedAt);
  cr_assert(Doubts.isConfirmed(Entry, ListedAt) == Row->IsConfirmed,
            "%s, after expire", Row->Name);
}

Test(unconfirmed_upstreams, a_later_loss_puts_it_in_doubt_again) {
  const upstream_entry Entry = entryOf(Born);
  unconfirmed_upstreams Doubts;
  Doubts.onConnectionLost(Entry.process(), Start);
  cr_assert(Doubts.onStarted(Entry.process(), Born, Start + 1ms) ==
            start_evidence::Confirmed);
  cr_assert(Doubts.onConnectionLost(Entry.process(), Start + 2ms));
  cr_assert(not Doubts.isConfirmed(Entry, Start));
}

Test(unconfirmed_upstreams, the_entry_of_the_next_process_is_confirmed) {
  const upstream_entry Before = entryOf(Born);
  const upstream_entry After = entryOf(Born + 1);
  unconfirmed_upstreams Doubts;
  Doubts.onConnectionLost(Before.process(), Start);
  Doubts.onStarted(Before.process(), Born + 1, Start + 1ms);
  cr_assert(not Doubts.isConfirmed(Before, Start));
  cr_assert(Doubts.isConfirmed(After, Start));
}

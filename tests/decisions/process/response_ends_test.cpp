// Responses without length or chunks, judged by what becomes of their process.
#include "decisions/process/response_ends.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

const instant Start(100s);
const upstream_process Process{"u-1", 7, "127.0.0.1", 80};

instant at(int Ms) { return Start + std::chrono::milliseconds(Ms); }

struct evidence_row {
  char Name[40];
  int AskedMs; ///< after the end of the response
  int AnsweredMs;
  process_evidence Evidence;
  int Judged; ///< an `end_verdict`; -1: still open
};

} // namespace

ParameterizedTestParameters(response_ends, a_process_that_ends_proves_nothing) {
  constexpr int Whole = static_cast<int>(end_verdict::Whole);
  constexpr int Broken = static_cast<int>(end_verdict::Broken);
  static evidence_row Rows[] = {
      {"runs", 0, 5, process_evidence::Running, Whole},
      {"runs, answered late", 0, 400, process_evidence::Running, Whole},
      {"gone", 0, 5, process_evidence::Gone, Broken},
      {"silent or cut off", 0, 5, process_evidence::None, -1},
      {"unnamed, at once", 0, 99, process_evidence::Unnamed, Whole},
      {"unnamed, it may have restarted", 0, 100, process_evidence::Unnamed, -1},
      {"unnamed, asked late", 90, 110, process_evidence::Unnamed, -1},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(evidence_row *Row, response_ends,
                  a_process_that_ends_proves_nothing) {
  response_ends Ends;
  const std::uint64_t Number = Ends.add(Process, Start);
  cr_assert(Ends.takeQuestions(at(Row->AskedMs)).size() == 1);
  const auto Judged =
      Ends.onEvidence(Process, Row->Evidence, at(Row->AnsweredMs));
  if (Row->Judged < 0) {
    cr_assert(Judged.empty() && Ends.count() == 1, "%s", Row->Name);
    return;
  }
  cr_assert(Judged.size() == 1 && Judged[0].Number == Number, "%s", Row->Name);
  cr_assert(static_cast<int>(Judged[0].Verdict) == Row->Judged, "%s",
            Row->Name);
  cr_assert(Ends.count() == 0 && !Ends.nextAt());
}

Test(response_ends, an_answer_serves_what_ended_before_its_question) {
  response_ends Ends;
  for (int Ms : {0, 1, 2})
    Ends.add(Process, at(Ms));
  cr_assert(Ends.takeQuestions(at(2)).size() == 1);
  const std::uint64_t Later = Ends.add(Process, at(3));
  cr_assert(Ends.takeQuestions(at(3)).empty());
  cr_assert(Ends.onEvidence(Process, process_evidence::Running, at(5)).size() ==
            3);
  cr_assert(*Ends.nextAt() == at(5));
  cr_assert(Ends.takeQuestions(at(5)).size() == 1);
  const auto Judged =
      Ends.onEvidence(Process, process_evidence::Running, at(8));
  cr_assert(Judged.size() == 1 && Judged[0].Number == Later);
}

Test(response_ends, the_end_of_a_process_breaks_all_its_responses) {
  response_ends Ends;
  const upstream_process Other{"u-1", 8, "127.0.0.1", 80};
  Ends.add(Process, at(0));
  const std::uint64_t OfOther = Ends.add(Other, at(0));
  cr_assert(Ends.takeQuestions(at(0)).size() == 2);
  Ends.add(Process, at(1));
  const auto Judged = Ends.onEvidence(Process, process_evidence::Gone, at(2));
  cr_assert(Judged.size() == 2);
  cr_assert(std::ranges::all_of(Judged, [&](const auto &End) {
    return End.Verdict == end_verdict::Broken && End.Number != OfOther;
  }));
  cr_assert(Ends.count() == 1);
}

Test(response_ends, a_silent_process_is_asked_again_until_its_time_is_over) {
  response_ends Ends;
  Ends.add(Process, Start);
  int Questions = 0;
  for (instant Now = Start; Now < Start + response_ends::MaxWait;
       Now = *Ends.nextAt()) {
    cr_assert(Ends.expire(Now).empty());
    if (Ends.takeQuestions(Now).empty())
      continue;
    ++Questions;
    cr_assert(
        Ends.onEvidence(Process, process_evidence::None, Now + 450ms).empty());
  }
  cr_assert(Questions == 4, "%d", Questions);
  const auto Judged = Ends.expire(Start + response_ends::MaxWait);
  cr_assert(Judged.size() == 1 && Judged[0].Verdict == end_verdict::Unproven);
  cr_assert(Ends.takeQuestions(Start + 2s).empty());
}

// Responses without length or chunks, judged by what becomes of their process.
#include "decisions/process/response_ends.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

const instant Start(100s);
constexpr std::int64_t SentAtMs = 1000;
/// Its clock is ahead.
const upstream_process Process{"u-1", 5000, "127.0.0.1", 80};

instant at(int Ms) { return Start + std::chrono::milliseconds(Ms); }

struct answer_row {
  char Name[40];
  int AskedMs; ///< after the end of the response
  int AnsweredMs;
  process_evidence Evidence;
  std::int64_t Born;
  int Verdict; ///< an `end_verdict`; -1: still open
};

constexpr int Whole = static_cast<int>(end_verdict::Whole);
constexpr int Broken = static_cast<int>(end_verdict::Broken);
constexpr int Open = -1;

} // namespace

ParameterizedTestParameters(response_ends, a_process_that_ends_proves_nothing) {
  using enum process_evidence;
  static answer_row Rows[] = {
      {"runs", 0, 5, Started, 5000, Whole},
      {"runs, silent for a second", 0, 1300, Started, 5000, Whole},
      {"runs, asked late", 3000, 3005, Started, 5000, Whole},
      {"runs since before the request", 0, 5, Started, 1000, Whole},
      {"started after the request", 0, 5, Started, 1001, Broken},
      {"started again", 0, 5, Started, 6000, Broken},
      {"gone", 0, 5, Gone, 0, Broken},
      {"silent or cut off", 0, 2000, None, 0, Open},
      {"unnamed, asked at once", 0, 99, Unnamed, 0, Whole},
      {"unnamed, asked at once, slow", 99, 600, Unnamed, 0, Whole},
      {"unnamed, it may have restarted", 100, 105, Unnamed, 0, Open},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(answer_row *Row, response_ends,
                  a_process_that_ends_proves_nothing) {
  response_ends Ends;
  const std::uint64_t Number = Ends.add(Process, SentAtMs, Start);
  cr_assert(Ends.takeQuestions(at(Row->AskedMs)).size() == 1);
  cr_assert(!Ends.nextAt());
  const auto Judged =
      Ends.onAnswer(Process, {at(Row->AskedMs), Row->Evidence, Row->Born},
                    at(Row->AnsweredMs));
  if (Row->Verdict == Open) {
    cr_assert(Judged.empty() && Ends.count() == 1, "%s", Row->Name);
    cr_assert(*Ends.nextAt() == at(Row->AnsweredMs) + response_ends::AskAgain);
    return;
  }
  cr_assert(Judged.size() == 1 && Judged[0].Number == Number, "%s", Row->Name);
  cr_assert(static_cast<int>(Judged[0].Verdict) == Row->Verdict, "%s",
            Row->Name);
  cr_assert(Ends.count() == 0 && !Ends.nextAt());
}

Test(response_ends, an_answer_serves_what_ended_before_its_question) {
  response_ends Ends;
  for (int Ms : {0, 1, 2})
    Ends.add(Process, SentAtMs, at(Ms));
  cr_assert(Ends.takeQuestions(at(2)).size() == 1);
  const std::uint64_t Later = Ends.add(Process, SentAtMs, at(3));
  cr_assert(Ends.takeQuestions(at(3)).empty());
  const auto Answer = [](int AskedMs) {
    return response_ends::answer{at(AskedMs), process_evidence::Started, 5000};
  };
  cr_assert(Ends.onAnswer(Process, Answer(2), at(5)).size() == 3);
  cr_assert(*Ends.nextAt() == at(5));
  cr_assert(Ends.takeQuestions(at(5)).size() == 1);
  const auto Judged = Ends.onAnswer(Process, Answer(5), at(8));
  cr_assert(Judged.size() == 1 && Judged[0].Number == Later);
}

Test(response_ends, the_end_of_a_process_breaks_all_its_responses) {
  response_ends Ends;
  const upstream_process Other{"u-1", 8, "127.0.0.1", 80};
  Ends.add(Process, SentAtMs, at(0));
  const std::uint64_t OfOther = Ends.add(Other, SentAtMs, at(0));
  cr_assert(Ends.takeQuestions(at(0)).size() == 2);
  Ends.add(Process, SentAtMs, at(1));
  const auto Judged =
      Ends.onAnswer(Process, {at(0), process_evidence::Gone}, at(2));
  cr_assert(Judged.size() == 2);
  cr_assert(std::ranges::all_of(Judged, [&](const auto &End) {
    return End.Verdict == end_verdict::Broken && End.Number != OfOther;
  }));
  cr_assert(Ends.count() == 1);
}

Test(response_ends, an_answer_from_before_the_end_proves_nothing) {
  response_ends Ends;
  const std::uint64_t Abandoned = Ends.add(Process, SentAtMs, at(0));
  cr_assert(Ends.takeQuestions(at(0)).size() == 1);
  Ends.withdraw(Abandoned);
  Ends.add(Process, SentAtMs, at(100));
  cr_assert(Ends.takeQuestions(at(100)).size() == 1);
  cr_assert(
      Ends.onAnswer(Process, {at(0), process_evidence::Started, 5000}, at(101))
          .empty());
  cr_assert(Ends.takeQuestions(at(101)).empty());
}

Test(response_ends, an_open_question_is_the_only_one) {
  response_ends Ends;
  Ends.add(Process, SentAtMs, at(0));
  cr_assert(Ends.takeQuestions(at(0)).size() == 1);
  cr_assert(
      Ends.onAnswer(Process, {at(0), process_evidence::None}, at(10)).empty());
  Ends.add(Process, SentAtMs, at(20));
  cr_assert(Ends.takeQuestions(at(59)).empty());
  cr_assert(Ends.takeQuestions(at(60)).size() == 1);
}

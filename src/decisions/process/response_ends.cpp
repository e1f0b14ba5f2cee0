#include "decisions/process/response_ends.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {

std::string_view endVerdictName(end_verdict Verdict) {
  switch (Verdict) {
  case end_verdict::Whole:
    return "whole";
  case end_verdict::Broken:
    return "broken";
  case end_verdict::Unproven:
    break;
  }
  return "unproven";
}

std::vector<response_ends::waiting_process>::iterator
response_ends::find(const upstream_process &Process) {
  return std::ranges::find(Processes, Process, &waiting_process::Process);
}

std::uint64_t response_ends::add(const upstream_process &Process, instant Now) {
  auto Waiting = find(Process);
  if (Waiting == Processes.end())
    Waiting = Processes.insert(Waiting, {Process, {}, {}, Now});
  Waiting->AskFrom = Now;
  Waiting->Ends.push_back({++LastNumber, Now});
  return LastNumber;
}

std::vector<upstream_process> response_ends::takeQuestions(instant Now) {
  std::vector<upstream_process> Asked;
  for (waiting_process &Waiting : Processes)
    if (!Waiting.AskedAt && Now >= Waiting.AskFrom) {
      Waiting.AskedAt = Now;
      Asked.push_back(Waiting.Process);
    }
  return Asked;
}

void response_ends::judge(waiting_process &Waiting, instant After,
                          instant Until, end_verdict Verdict,
                          std::vector<judged_end> &Judged) {
  std::erase_if(Waiting.Ends, [&](const waiting_end &End) {
    if (End.At <= After || End.At > Until)
      return false;
    Judged.push_back({End.Number, Verdict});
    return true;
  });
}

void response_ends::dropEmpty() {
  std::erase_if(Processes,
                [](const auto &Waiting) { return Waiting.Ends.empty(); });
}

std::vector<response_ends::judged_end>
response_ends::onEvidence(const upstream_process &Process,
                          process_evidence Evidence, instant Now) {
  std::vector<judged_end> Judged;
  const auto Waiting = find(Process);
  if (Waiting == Processes.end() || !Waiting->AskedAt)
    return Judged;
  const instant AskedAt = *std::exchange(Waiting->AskedAt, std::nullopt);
  Waiting->AskFrom = Now;
  constexpr instant Always = instant::min();
  switch (Evidence) {
  case process_evidence::Gone:
    judge(*Waiting, Always, Now, end_verdict::Broken, Judged);
    break;
  case process_evidence::Running:
    judge(*Waiting, Always, AskedAt, end_verdict::Whole, Judged);
    break;
  case process_evidence::Unnamed:
    judge(*Waiting, Now - MinStartTime, AskedAt, end_verdict::Whole, Judged);
    [[fallthrough]];
  case process_evidence::None:
    Waiting->AskFrom = Now + AskAgain;
    break;
  }
  dropEmpty();
  return Judged;
}

std::vector<response_ends::judged_end> response_ends::expire(instant Now) {
  std::vector<judged_end> Judged;
  for (waiting_process &Waiting : Processes)
    judge(Waiting, instant::min(), Now - MaxWait, end_verdict::Unproven,
          Judged);
  dropEmpty();
  return Judged;
}

std::optional<instant> response_ends::nextAt() const {
  std::optional<instant> Next;
  for (const waiting_process &Waiting : Processes) {
    instant At = Waiting.Ends.front().At + MaxWait;
    if (!Waiting.AskedAt)
      At = std::min(At, Waiting.AskFrom);
    Next = std::min(Next.value_or(At), At);
  }
  return Next;
}

std::size_t response_ends::count() const {
  std::size_t Sum = 0;
  for (const waiting_process &Waiting : Processes)
    Sum += Waiting.Ends.size();
  return Sum;
}

} // namespace ebonyvale

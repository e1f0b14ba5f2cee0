#include "decisions/process/response_ends.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

end_verdict verdictOf(end_proof Proof) {
  const bool IsBroken =
      Proof == end_proof::OtherStart || Proof == end_proof::Gone;
  return IsBroken ? end_verdict::Broken : end_verdict::Plausible;
}

} // namespace

std::string_view endVerdictName(end_verdict Verdict) {
  switch (Verdict) {
  case end_verdict::Plausible:
    return "plausible";
  case end_verdict::Broken:
    break;
  }
  return "broken";
}

std::string_view endProofName(end_proof Proof) {
  switch (Proof) {
  case end_proof::ListedStart:
    return "listed_start";
  case end_proof::StartStatedBefore:
    return "start_stated_before";
  case end_proof::EarlierConnection:
    return "earlier_connection";
  case end_proof::AskedAtOnce:
    return "asked_at_once";
  case end_proof::OtherStart:
    return "other_start";
  case end_proof::Left:
    return "left";
  case end_proof::Gone:
    break;
  }
  return "gone";
}

std::vector<response_ends::waiting_process>::iterator
response_ends::find(const upstream_process &Process) {
  return std::ranges::find(Processes, Process, &waiting_process::Process);
}

std::uint64_t response_ends::add(const upstream_process &Process,
                                 instant AliveAt, bool IsLeaving, instant Now) {
  auto Waiting = find(Process);
  if (Waiting == Processes.end())
    Waiting = Processes.insert(Waiting, {Process, {}, {}, Now});
  Waiting->Ends.push_back({++LastNumber, AliveAt, Now, IsLeaving});
  return LastNumber;
}

void response_ends::withdraw(std::uint64_t Number) {
  for (waiting_process &Waiting : Processes)
    std::erase_if(Waiting.Ends, [Number](const waiting_end &End) {
      return End.Number == Number;
    });
  dropEmpty();
}

void response_ends::dropEmpty() {
  std::erase_if(Processes,
                [](const auto &Waiting) { return Waiting.Ends.empty(); });
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

void response_ends::onStated(const upstream_process &Listed, std::int64_t Born,
                             instant Now) {
  if (Now - StatedExpiredAt > KeepStated) {
    StatedExpiredAt = Now;
    std::erase_if(Stated, [Now](const auto &Known) {
      return Now - Known.second.At > KeepStated;
    });
  }
  if (Born == 0)
    return;
  const auto Known =
      Stated.try_emplace({Listed.Id, Listed.Address, Listed.Port}).first;
  if (Known->second.Born != Born)
    Known->second = {Born, Now, Now};
  Known->second.At = Now;
}

bool response_ends::wasStatedBefore(const upstream_process &Process,
                                    std::int64_t Born, instant AliveAt) const {
  const auto Known = Stated.find({Process.Id, Process.Address, Process.Port});
  return Known != Stated.end() && Known->second.Born == Born &&
         Known->second.Since <= AliveAt;
}

std::optional<instant>
response_ends::earlierConnection(const upstream_process &Process,
                                 const answer &Answer, instant Now) const {
  std::optional<instant> Latest;
  const auto Waiting =
      std::ranges::find(Processes, Process, &waiting_process::Process);
  if (Waiting == Processes.end() || Answer.Evidence == process_evidence::None)
    return Latest;
  for (const waiting_end &End : Waiting->Ends) {
    const auto Proof = judge(Process, End, Answer, Now);
    if (!Proof || verdictOf(*Proof) == end_verdict::Broken)
      Latest = std::max(Latest.value_or(End.AliveAt), End.AliveAt);
  }
  return Latest;
}

std::optional<end_proof> response_ends::judge(const upstream_process &Process,
                                              const waiting_end &End,
                                              const answer &Answer,
                                              instant Now) const {
  if (Answer.Evidence == process_evidence::Gone &&
      End.At <= Answer.GoneAt.value_or(Now))
    return End.IsLeaving ? end_proof::Left : end_proof::Gone;
  if (End.At > Answer.AskedAt)
    return std::nullopt;
  if (Answer.ConnectedAt && *Answer.ConnectedAt <= End.AliveAt)
    return end_proof::EarlierConnection;
  const bool IsAskedAtOnce =
      Process.Born == 0 && Answer.AskedAt - End.At < MinStartTime;
  switch (Answer.Evidence) {
  case process_evidence::Started:
    if (Answer.Born == Process.Born)
      return end_proof::ListedStart;
    // The entry may be that of an earlier process than the one that was sent
    // the request.
    if (wasStatedBefore(Process, Answer.Born, End.AliveAt))
      return end_proof::StartStatedBefore;
    return IsAskedAtOnce ? end_proof::AskedAtOnce : end_proof::OtherStart;
  case process_evidence::Unnamed:
    if (IsAskedAtOnce)
      return end_proof::AskedAtOnce;
    return std::nullopt;
  case process_evidence::None:
  case process_evidence::Gone:
    break;
  }
  return std::nullopt;
}

std::vector<response_ends::judged_end>
response_ends::onAnswer(const upstream_process &Process, const answer &Answer,
                        instant Now) {
  std::vector<judged_end> Judged;
  const auto Waiting = find(Process);
  if (Waiting == Processes.end())
    return Judged;
  std::erase_if(Waiting->Ends, [&](const waiting_end &End) {
    const auto Proof = judge(Process, End, Answer, Now);
    if (Proof)
      Judged.push_back({End.Number, verdictOf(*Proof), *Proof});
    return Proof.has_value();
  });
  if (Waiting->AskedAt == Answer.AskedAt) {
    Waiting->AskedAt.reset();
    Waiting->AskFrom = Judged.empty() ? Now + Waiting->Pause : Now;
    Waiting->Pause = Judged.empty()
                         ? std::min<span_ns>(2 * Waiting->Pause, MaxAskAgain)
                         : span_ns(AskAgain);
  }
  dropEmpty();
  return Judged;
}

std::optional<instant> response_ends::nextAt() const {
  std::optional<instant> Next;
  for (const waiting_process &Waiting : Processes)
    if (!Waiting.AskedAt)
      Next = std::min(Next.value_or(Waiting.AskFrom), Waiting.AskFrom);
  return Next;
}

std::size_t response_ends::count() const {
  std::size_t Sum = 0;
  for (const waiting_process &Waiting : Processes)
    Sum += Waiting.Ends.size();
  return Sum;
}

} // namespace ebonyvale

#include "gateway/connection/end_verifier.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

/// Longest wait for an answer; upstreams may be silent for more than a second.
constexpr span_ns MaxAnswerTime = std::chrono::seconds(2);
constexpr int StatusOk = 200;

std::string_view evidenceName(process_evidence Evidence) {
  switch (Evidence) {
  case process_evidence::Started:
    return "started";
  case process_evidence::Unnamed:
    return "unnamed";
  case process_evidence::Gone:
    return "gone";
  case process_evidence::None:
    break;
  }
  return "none";
}

} // namespace

bool endsWithConnection(const http_head &Response, std::string_view Method) {
  return Response.CloseDelimited && Method != "HEAD";
}

end_verifier::end_verifier(gateway_core &Core)
    : Core(Core), Timer(Core.base(), [this] { proceed(); }) {
  Core.setEndVerifier(this);
}

end_verifier::~end_verifier() { Core.setEndVerifier(nullptr); }

void end_verifier::verifyEnd(const upstream_process &Process, instant AliveAt,
                             std::weak_ptr<end_waiter> Waiter, instant Now) {
  const upstream_entry *Entry = Core.directory().find(Process.Id);
  const bool IsLeaving = !Entry || !Entry->isOpen();
  const std::uint64_t Number = Ends.add(Process, AliveAt, IsLeaving, Now);
  Waiters[Number] = std::move(Waiter);
  // One question serves all responses whose ends the loop is about to read.
  Timer.startOnce(span_ns(0));
}

void end_verifier::onStated(const upstream_process &Listed, std::int64_t Born,
                            instant Now) {
  Ends.onStated(Listed, Born, Now);
}

void end_verifier::proceed() {
  const instant Now = readBootClock();
  dropAbandoned();
  for (const upstream_process &Process : Ends.takeQuestions(Now))
    ask(Process, Now);
  if (const auto Next = Ends.nextAt())
    Timer.startOnce(std::max<span_ns>(*Next - Now, span_ns(0)));
}

void end_verifier::dropAbandoned() {
  std::erase_if(Waiters, [this](const auto &Entry) {
    if (!Entry.second.expired())
      return false;
    Ends.withdraw(Entry.first);
    return true;
  });
}

void end_verifier::send(const upstream_process &Process, client_request Request,
                        span_ns MaxTime, upstream_call::callback Done) {
  Request.Server = {Process.Address, Process.Port};
  Core.protocols().Upstreams.makeReportRequest(Process.Id, Request);
  const auto Call = std::make_shared<upstream_call>(
      Core, Process,
      [this,
       Done = std::move(Done)](const std::shared_ptr<upstream_call> &Ended,
                               int Status, std::string_view Body) {
        std::erase(Calls, Ended);
        Done(Ended, Status, Body);
      });
  Calls.push_back(Call);
  Call->start(Request, MaxTime);
}

void end_verifier::ask(const upstream_process &Process, instant AskedAt) {
  client_request Request;
  // An idle connection may be one that has ended with the process.
  Request.NewConnection = true;
  send(Process, std::move(Request), MaxAnswerTime,
       [this, Process, AskedAt](const std::shared_ptr<upstream_call> &Call,
                                int Status, std::string_view Body) {
         const response_ends::answer Answer =
             readAnswer(Process, *Call, AskedAt, Status, Body);
         const auto Before =
             Ends.earlierConnection(Process, Answer, readBootClock());
         const std::size_t Count =
             Before ? Core.links().idleBefore({Process.Address, Process.Port},
                                              *Before)
                    : 0;
         if (Count == 0)
           return onAnswer(Process, Answer);
         askOnEarlier(Process, Answer, Count);
       });
}

void end_verifier::askOnEarlier(const upstream_process &Process,
                                const response_ends::answer &Answer,
                                std::size_t Count) {
  struct round {
    response_ends::answer Answer;
    std::size_t Left;
    bool Silent = false; ///< a connection has neither answered nor ended
    bool Answered = false;
  };
  const auto Round = std::make_shared<round>(round{Answer, Count});
  for (std::size_t Index = 0; Index < Count; ++Index) {
    client_request Request;
    Request.OldestConnection = true;
    send(Process, std::move(Request), MaxAnswerTime,
         [this, Process, Round](const std::shared_ptr<upstream_call> &Call,
                                int Status, std::string_view Body) {
           if (Round->Answered)
             return;
           const instant AskedAt = Round->Answer.AskedAt;
           if (Status != 0 && Call->connectedAt()) {
             Round->Answered = true;
             return onAnswer(Process,
                             readAnswer(Process, *Call, AskedAt, Status, Body));
           }
           Round->Silent |= !Call->isLost();
           if (--Round->Left > 0)
             return;
           // Silence proves nothing, whatever answers on new connections.
           if (Round->Silent)
             Round->Answer = {AskedAt, process_evidence::None};
           onAnswer(Process, Round->Answer);
         });
  }
}

response_ends::answer end_verifier::readAnswer(const upstream_process &Asked,
                                               const upstream_call &Call,
                                               instant AskedAt, int Status,
                                               std::string_view Body) {
  if (Call.isRefused() || Call.isFromOtherProcess()) {
    response_ends::answer Answer{AskedAt, process_evidence::Gone};
    Answer.GoneAt = readBootClock();
    return Answer;
  }
  if (Status == 0)
    return {AskedAt, process_evidence::None};
  std::int64_t Born = 0;
  if (Status == StatusOk)
    if (const auto Report = Core.protocols().Upstreams.readReport(Body))
      Born = Report->Born;
  if (Born == 0)
    return {AskedAt, process_evidence::Unnamed, 0, Call.connectedAt()};
  Call.setServerStart(Born);
  Core.onUpstreamStarted(Asked, Born, AskedAt);
  return {AskedAt, process_evidence::Started, Born, Call.connectedAt()};
}

void end_verifier::onAnswer(const upstream_process &Asked,
                            const response_ends::answer &Answer) {
  const instant Now = readBootClock();
  const auto Judged = Ends.onAnswer(Asked, Answer, Now);
  Core.log().info(event_category::Upstream, "ends_verified",
                  {{"upstream", Asked.Id},
                   {"born", Asked.Born},
                   {"stated", Answer.Born},
                   {"evidence", evidenceName(Answer.Evidence)},
                   {"earlier_connection", Answer.ConnectedAt.has_value()},
                   {"responses", Judged.size()},
                   {"waiting", Ends.count()},
                   {"after_ms", Now - Answer.AskedAt}});
  tell(Judged);
  proceed();
}

void end_verifier::tell(std::span<const response_ends::judged_end> Judged) {
  for (const response_ends::judged_end &End : Judged) {
    Core.counters().onEndJudged(End.Verdict);
    const auto Entry = Waiters.extract(End.Number);
    if (Entry.empty())
      continue;
    if (const auto Waiter = Entry.mapped().lock())
      callLater(Core.base(),
                [Waiter, End] { Waiter->onEndJudged(End.Verdict, End.Proof); });
  }
}

} // namespace ebonyvale

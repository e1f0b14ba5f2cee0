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

/// Returns \p At in ms since the Unix epoch.
std::int64_t unixMs(instant At, instant Now) {
  const auto Time = std::chrono::system_clock::now() - (Now - At);
  return std::chrono::floor<std::chrono::milliseconds>(Time)
      .time_since_epoch()
      .count();
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

void end_verifier::verifyEnd(const upstream_process &Process, instant SentAt,
                             std::weak_ptr<end_waiter> Waiter, instant Now) {
  const std::uint64_t Number = Ends.add(Process, unixMs(SentAt, Now), Now);
  Waiters[Number] = std::move(Waiter);
  // One question serves all responses whose ends the loop is about to read.
  Timer.startOnce(span_ns(0));
}

void end_verifier::proceed() {
  const instant Now = readBootClock();
  dropAbandoned();
  // An idle connection may be one that has ended with the process.
  for (const upstream_process &Process : Ends.takeQuestions(Now))
    ask(Process, /*OnNewConnection=*/true, Now);
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

void end_verifier::ask(const upstream_process &Process, bool OnNewConnection,
                       instant AskedAt) {
  client_request Request;
  Request.Server = {Process.Address, Process.Port};
  Request.NewConnection = OnNewConnection;
  Core.protocols().Upstreams.makeReportRequest(Process.Id, Request);
  const auto Call = std::make_shared<upstream_call>(
      Core, Process,
      [this, Process, AskedAt](const std::shared_ptr<upstream_call> &Ended,
                               int Status, std::string_view Body) {
        std::erase(Calls, Ended);
        if (mayHaveStoppedListening(Process, *Ended))
          return ask(Process, /*OnNewConnection=*/false, AskedAt);
        onAnswer(Process, *Ended, AskedAt, Status, Body);
      });
  Calls.push_back(Call);
  Call->start(Request, MaxAnswerTime);
}

bool end_verifier::mayHaveStoppedListening(const upstream_process &Process,
                                           const upstream_call &Call) const {
  return Call.isRefused() &&
         Core.links().hasIdle({Process.Address, Process.Port});
}

response_ends::answer end_verifier::readAnswer(const upstream_process &Asked,
                                               const upstream_call &Call,
                                               instant AskedAt, int Status,
                                               std::string_view Body) {
  if (Call.isRefused() || Call.isFromOtherProcess())
    return {AskedAt, process_evidence::Gone};
  if (Status == 0)
    return {AskedAt, process_evidence::None};
  std::int64_t Born = 0;
  if (Status == StatusOk)
    if (const auto Report = Core.protocols().Upstreams.readReport(Body))
      Born = Report->Born;
  if (Born == 0)
    return {AskedAt, process_evidence::Unnamed};
  Core.onUpstreamStarted(Asked, Born, Call.keepsConnection(), AskedAt);
  return {AskedAt, process_evidence::Started, Born};
}

void end_verifier::onAnswer(const upstream_process &Asked,
                            const upstream_call &Call, instant AskedAt,
                            int Status, std::string_view Body) {
  const instant Now = readBootClock();
  const response_ends::answer Answer =
      readAnswer(Asked, Call, AskedAt, Status, Body);
  const auto Judged = Ends.onAnswer(Asked, Answer, Now);
  Core.log().info(event_category::Upstream, "ends_verified",
                  {{"upstream", Asked.Id},
                   {"born", Asked.Born},
                   {"stated", Answer.Born},
                   {"status", Status},
                   {"evidence", evidenceName(Answer.Evidence)},
                   {"responses", Judged.size()},
                   {"waiting", Ends.count()},
                   {"after_ms", Now - AskedAt}});
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

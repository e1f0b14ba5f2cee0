#include "gateway/connection/end_verifier.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

constexpr int StatusOk = 200;
constexpr int FirstRedirection = 300;

std::string_view evidenceName(process_evidence Evidence) {
  switch (Evidence) {
  case process_evidence::Running:
    return "running";
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
  return Response.CloseDelimited && Method != "HEAD" &&
         Response.Status >= StatusOk && Response.Status < FirstRedirection;
}

end_verifier::end_verifier(gateway_core &Core)
    : Core(Core), Timer(Core.base(), [this] { proceed(); }) {
  Core.setEndVerifier(this);
}

end_verifier::~end_verifier() { Core.setEndVerifier(nullptr); }

void end_verifier::verifyEnd(const upstream_process &Process,
                             std::weak_ptr<end_waiter> Waiter, instant Now) {
  Waiters[Ends.add(Process, Now)] = std::move(Waiter);
  // One question serves all responses whose ends the loop is about to read.
  Timer.startOnce(span_ns(0));
}

void end_verifier::proceed() {
  const instant Now = readBootClock();
  tell(Ends.expire(Now));
  for (const upstream_process &Process : Ends.takeQuestions(Now))
    ask(Process, Now);
  if (const auto Next = Ends.nextAt())
    Timer.startOnce(std::max<span_ns>(*Next - Now, span_ns(0)));
}

void end_verifier::ask(const upstream_process &Process, instant Now) {
  client_request Request;
  Request.Server = {Process.Address, Process.Port};
  // An idle connection may be one that has ended with the process.
  Request.NewConnection = true;
  Core.protocols().Upstreams.makeReportRequest(Process.Id, Request);
  const auto Call = std::make_shared<upstream_call>(
      Core, Process,
      [this, Process, Now](const std::shared_ptr<upstream_call> &Ended,
                           int Status, std::string_view Body) {
        std::erase(Calls, Ended);
        onAnswer(Process, Now, *Ended, Status, Body);
      });
  Calls.push_back(Call);
  Call->start(Request);
}

process_evidence end_verifier::readEvidence(const upstream_process &Asked,
                                            instant SentAt,
                                            const upstream_call &Call,
                                            int Status, std::int64_t Born) {
  if (Call.loss() == loss_reason::ConnectFailed) {
    Core.onConnectFailed(Asked, *Call.loss(), readBootClock());
    return process_evidence::Gone;
  }
  if (Call.isFromOtherProcess())
    return process_evidence::Gone;
  if (Status == 0)
    return process_evidence::None;
  switch (Core.onUpstreamStarted(Asked, Born, Call.keepsConnection(), SentAt)) {
  case start_evidence::OtherProcess:
    return process_evidence::Gone;
  case start_evidence::SameProcess:
  case start_evidence::Confirmed:
    return process_evidence::Running;
  case start_evidence::None:
    break;
  }
  return process_evidence::Unnamed;
}

void end_verifier::onAnswer(const upstream_process &Asked, instant SentAt,
                            const upstream_call &Call, int Status,
                            std::string_view Body) {
  const instant Now = readBootClock();
  std::int64_t Born = 0;
  if (Status == StatusOk)
    if (const auto Report = Core.protocols().Upstreams.readReport(Body))
      Born = Report->Born;
  const process_evidence Evidence =
      readEvidence(Asked, SentAt, Call, Status, Born);
  const auto Judged = Ends.onEvidence(Asked, Evidence, Now);
  Core.log().info(event_category::Upstream, "ends_verified",
                  {{"upstream", Asked.Id},
                   {"born", Asked.Born},
                   {"stated", Born},
                   {"status", Status},
                   {"evidence", evidenceName(Evidence)},
                   {"responses", Judged.size()},
                   {"waiting", Ends.count()},
                   {"after_ms", Now - SentAt}});
  tell(Judged);
  proceed();
}

void end_verifier::tell(std::span<const response_ends::judged_end> Judged) {
  for (const auto &[Number, Verdict] : Judged) {
    Core.counters().onEndJudged(Verdict);
    const auto Entry = Waiters.extract(Number);
    if (const auto Waiter = Entry.mapped().lock())
      callLater(Core.base(),
                [Waiter, Verdict = Verdict] { Waiter->onEndJudged(Verdict); });
  }
}

} // namespace ebonyvale

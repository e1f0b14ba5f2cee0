#include "gateway/connection/upstream_verifier.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {

upstream_verifier::upstream_verifier(gateway_core &Core) : Core(Core) {
  Core.setVerifier(this);
}

upstream_verifier::~upstream_verifier() { Core.setVerifier(nullptr); }

bool upstream_verifier::verify(std::string_view Upstream,
                               const std::weak_ptr<verification_waiter> &Waiter,
                               instant Since, instant Now) {
  if (const auto Found = Questions.find(Upstream); Found != Questions.end()) {
    Found->second.Since = std::max(Found->second.Since, Since);
    if (!Waiter.expired())
      Found->second.Waiters.push_back(Waiter);
    return true;
  }
  std::erase_if(Unanswered, [Now](const auto &Known) {
    return Now - Known.second.At >= RetryPause;
  });
  const upstream_entry *Entry = Core.directory().find(Upstream);
  // An upstream that states no start cannot be confirmed by it.
  if (!Entry || Entry->Born == 0 || Core.upstreamPaths().lostSince(*Entry) ||
      wasUnanswered(*Entry) || Questions.size() >= MaxQuestions)
    return false;
  question &Question = Questions[Entry->Id];
  Question.AskedAt = Now;
  if (!Waiter.expired())
    Question.Waiters.push_back(Waiter);
  ask(*Entry, Question, Now);
  return true;
}

bool upstream_verifier::wasUnanswered(const upstream_entry &Entry) const {
  const auto Found = Unanswered.find(Entry.Id);
  return Found != Unanswered.end() && Found->second.Process == Entry.process();
}

void upstream_verifier::ask(const upstream_entry &Entry, question &Question,
                            instant Now) {
  client_request Request;
  Request.Server = {Entry.Address, Entry.Port};
  // Any other idle connection may be one that has ended with its process.
  if (Core.links().hasIdleTo(Request.Server, Entry.Born))
    Request.ServerStart = Entry.Born;
  else
    Request.NewConnection = true;
  Core.protocols().Upstreams.makeReportRequest(Entry.Id, Request);
  Question.Call = std::make_shared<upstream_call>(
      Core, Entry.process(),
      [this, Asked = Entry.process(),
       Now](const std::shared_ptr<upstream_call> &Call, int Status,
            std::string_view Body) {
        onAnswer(Asked, Now, *Call, Status, Body);
      });
  Question.Call->start(Request);
}

void upstream_verifier::onAnswer(const upstream_process &Asked, instant SentAt,
                                 const upstream_call &Call, int Status,
                                 std::string_view Body) {
  constexpr int StatusOk = 200;
  constexpr int StatusNotFound = 404;
  const instant Now = readBootClock();
  std::optional<upstream_report> Report;
  if (Status == StatusOk)
    Report = Core.protocols().Upstreams.readReport(Body);
  if (Report)
    Core.onUnknownFields("upstream_report", Report->UnknownFields);
  start_evidence Evidence = start_evidence::None;
  if (Report) {
    Call.setServerStart(Report->Born);
    Evidence = Core.onUpstreamStarted(Asked, Report->Born, SentAt);
  }
  if (!Call.isFromOtherProcess() &&
      (Report ? Report->Born == 0 : Status == StatusNotFound))
    Core.onUpstreamStartless(Asked);
  Core.log().info(event_category::Upstream, "software_verified",
                  {{"upstream", Asked.Id},
                   {"born", Asked.Born},
                   {"stated", Report ? Report->Born : 0},
                   {"status", Status},
                   {"same", Evidence == start_evidence::SameProcess},
                   {"after_ms", Now - SentAt}});
  const bool IsSame = Evidence == start_evidence::SameProcess;
  if (!IsSame)
    Unanswered[Asked.Id] = {Asked, Now};
  const auto Question = Questions.extract(Asked.Id);
  if (Question.empty())
    return;
  for (const auto &Waiter : Question.mapped().Waiters)
    if (const auto Target = Waiter.lock())
      callLater(Core.base(),
                [Target, Id = Asked.Id] { Target->onVerified(Id); });
  if (IsSame && Question.mapped().AskedAt < Question.mapped().Since)
    verify(Asked.Id, {}, Question.mapped().Since, Now);
}

} // namespace ebonyvale

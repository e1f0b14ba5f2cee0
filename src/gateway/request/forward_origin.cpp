// Streams that callers resume: only the software version that began a stream
// may continue it.
#include "gateway/request/forward_session.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Retry-After where no upstream may continue a stream: peers may answer later.
constexpr span_ns OriginRetryAfter = std::chrono::milliseconds(250);
/// Longest wait for an upstream to state which process it runs; above a round
/// trip between regions. Then the next one is asked.
constexpr span_ns MaxAnswerTime = std::chrono::milliseconds(100);
/// Longest wait for upstreams to do so.
constexpr span_ns MaxVerification = std::chrono::milliseconds(300);

} // namespace

void forward_session::findOrigin() {
  const bool Resumes = ParsedRequest.ResumeAfter.value_or(0) > 0 ||
                       !ParsedRequest.Resumes.empty();
  if (!Route->Resumable || !Resumes)
    return schedule();
  if (!Core.origins())
    return onOrigin(std::nullopt);
  if (ParsedRequest.Resumes.empty())
    return Core.origins()->findUnnamed(Fingerprint, weak_from_this());
  Core.origins()->find(ParsedRequest.Resumes, weak_from_this());
}

void forward_session::onOrigin(const std::optional<stream_writer> &Known) {
  const auto Guard = shared_from_this();
  if (Ended)
    return;
  if (Known && Known->Software == UnknownSoftware)
    return refuse({error_kind::NoUpstream,
                   fmt::format("stream '{}' began at a process that has not "
                               "stated its start",
                               ParsedRequest.Resumes),
                   OriginRetryAfter});
  // Other streams may have begun with the same request at another version.
  const bool IsOrigin = Known && !ParsedRequest.Resumes.empty();
  if (IsOrigin && Known->Service != Service)
    return refuse({error_kind::NoUpstream,
                   fmt::format("stream '{}' began at service {}, the route "
                               "leads to {}",
                               ParsedRequest.Resumes, Known->Service, Service),
                   OriginRetryAfter});
  if (IsOrigin)
    return continueStream(Known->Software);
  // Other instances may already follow changes that this one has not read.
  if (onlyOrigin(readBootClock()))
    Core.awaitRead(weak_from_this());
}

void forward_session::onStoreRead(bool IsCurrent) {
  const auto Guard = shared_from_this();
  if (Ended)
    return;
  const instant Now = readBootClock();
  if (!IsCurrent)
    return refuse({error_kind::NoUpstream,
                   fmt::format("what can have begun stream '{}' is not known: "
                               "the store has not confirmed it",
                               ParsedRequest.Resumes),
                   OriginRetryAfter});
  auto Only = onlyOrigin(Now);
  if (!Only)
    return;
  Core.log().info(event_category::Request, "origin_assumed",
                  {{"id", ParsedRequest.Id},
                   {"resumes", ParsedRequest.Resumes},
                   {"service", Service},
                   {"software", *Only},
                   {"waited_ms", Now - ArrivedAt}});
  continueStream(std::move(*Only));
}

void forward_session::continueStream(std::string Software) {
  StreamSoftware = std::move(Software);
  if (Core.origins() && !ParsedRequest.Resumes.empty())
    Core.origins()->onResumed(ParsedRequest.Resumes, {Service, StreamSoftware});
  schedule();
}

std::optional<std::string> forward_session::onlyOrigin(instant Now) {
  if (!Core.ledOnlyTo(Service, ParsedRequest.Host, ParsedRequest.Path, Now)) {
    refuse({error_kind::NoUpstream,
            fmt::format("the service that began stream '{}' is not known",
                        ParsedRequest.Resumes),
            OriginRetryAfter});
    return std::nullopt;
  }
  std::optional<std::string> Only = Core.onlySoftware(Service, Now);
  if (!Only)
    refuse({error_kind::NoUpstream,
            fmt::format("the software version that began stream '{}' is not "
                        "known",
                        ParsedRequest.Resumes),
            OriginRetryAfter});
  return Only;
}

std::string forward_session::scheduleDetail() const {
  if (StreamSoftware.empty())
    return fmt::format("service {}", Service);
  return fmt::format("service {}, software {}, {} upstreams not reached or of "
                     "unknown process",
                     Service, StreamSoftware, Unreached.size());
}

bool forward_session::lacksProof(const schedule_choice &Chosen) const {
  // A relay asks for the process by itself.
  if (StreamSoftware.empty() || !Chosen.Relay.empty())
    return false;
  const upstream_entry *Entry = Core.directory().find(Chosen.Upstream);
  return !Entry || !Core.isProven(*Entry);
}

bool forward_session::askForProof(const schedule_choice &Chosen, instant Now) {
  if (!VerifyUntil)
    VerifyUntil = Now + std::min(MaxVerification, timeLeft(Now));
  if (Now >= *VerifyUntil ||
      !Core.verifyUpstream(Chosen.Upstream, weak_from_this(), Now))
    return false;
  AskedUpstream = Chosen.Upstream;
  VerifyTimer.startOnce(std::min<span_ns>(MaxAnswerTime, *VerifyUntil - Now));
  return true;
}

void forward_session::onVerified(std::string_view Upstream) {
  const auto Guard = shared_from_this();
  // An upstream may answer after another one has been asked.
  if (Ended || AskedUpstream.empty() || Upstream != AskedUpstream)
    return;
  VerifyTimer.stop();
  const upstream_entry *Asked = Core.directory().find(AskedUpstream);
  if (!Asked || !Core.isProven(*Asked))
    Unreached.push_back(AskedUpstream);
  AskedUpstream.clear();
  schedule();
}

void forward_session::recordOrigin(instant Now) {
  const upstream_entry *Entry = Core.directory().find(Choice->Upstream);
  const stream_writer Writer{Service, StreamSoftware};
  // A relay has asked for the process before it sent the request.
  OriginCertain =
      Entry && Entry->process() == Target &&
      (isRelayed() ||
       Core.isFromProcessOf(*Entry, Exchange ? Exchange->serverStart() : 0));
  if (!OriginCertain) {
    Core.counters().UncertainStreams.Increment();
    Core.log().info(event_category::Request, "origin_uncertain",
                    {{"id", ParsedRequest.Id},
                     {"upstream", Choice->Upstream},
                     {"software", StreamSoftware}});
  }
  // Without an id a stream cannot be resumed.
  if (!Core.origins() || ParsedRequest.Id.empty())
    return;
  if (OriginCertain)
    return Core.origins()->onBegun(ParsedRequest.Id, Writer);
  const instant OpenedAt = Exchange ? Exchange->openedAt().value_or(Now) : Now;
  OriginConfirmed = Core.origins()->onBegunUnconfirmed(
      ParsedRequest.Id, Fingerprint, Writer, Target, OpenedAt);
  Core.verifyConnections(Choice->Upstream, OpenedAt, Now);
}

void forward_session::onConnectionOpened() {
  // Asked while the upstream works on the request, so that the process is known
  // when the stream begins.
  if (Route->Resumable && !isRelayed() && Exchange->serverStart() == 0)
    Core.verifyConnections(Choice->Upstream, *Exchange->openedAt(),
                           readBootClock());
}

bool forward_session::isSoftwareReplaced() const {
  const upstream_entry *Entry = Core.directory().find(Choice->Upstream);
  return Route->Resumable && Entry && Entry->Software != AttemptSoftware;
}

} // namespace ebonyvale

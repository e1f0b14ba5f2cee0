#include "gateway/connection/upstream_call.h"

#include <utility>

namespace ebonyvale {
namespace {

/// Longest response body that is kept.
constexpr std::size_t MaxResponseBytes = 256 * 1024;

} // namespace

upstream_call::upstream_call(gateway_core &Core, upstream_process Target,
                             callback Done)
    : Core(Core), Target(std::move(Target)), Done(std::move(Done)),
      Deadline(Core.base(), [this] { finish(0); }) {}

upstream_call::~upstream_call() {
  if (Link)
    Link->cancel();
}

void upstream_call::start(const client_request &Request, span_ns MaxTime) {
  Link = Core.links().start(Request, *this);
  Used = Link;
  ConnectedAt = Link->openedAt();
  Deadline.startOnce(MaxTime);
}

response_action upstream_call::onResponseHead(const http_head &Head, bool) {
  // The call has no id; a response with one answers a forwarded request.
  const response_info Info = Core.protocols().Upstreams.readResponse(Head, "");
  if (!Info.RequestId.empty()) {
    Core.log().warn(event_category::Upstream, "answer_crossed",
                    {{"answer_id", Info.RequestId}, {"status", Head.Status}});
    return response_action::Skip;
  }
  Status = Head.Status;
  const response_info Stated =
      Core.protocols().Upstreams.readResponse(Head, Target.Id);
  FromOtherProcess = Stated.OtherProcess;
  Core.onUpstreamStatement(Target, Stated, readBootClock());
  return response_action::Take;
}

void upstream_call::onResponseBody(std::string_view Bytes) {
  if (Body.size() + Bytes.size() > MaxResponseBytes)
    return finish(0);
  Body += Bytes;
}

void upstream_call::onResponseEnd() {
  Link.reset();
  finish(Status);
}

void upstream_call::onResponseLost(const exchange_loss &Loss) {
  Link.reset();
  Lost = true;
  Refused = Loss.Refused;
  if (Loss.Stage != exchange_stage::NotSent)
    Core.onSoftwareUncertain(Target, lossName(Loss.Reason), readBootClock());
  finish(0);
}

void upstream_call::setServerStart(std::int64_t Start) const {
  if (const auto Connection = Used.lock())
    Connection->setServerStart(Start);
}

void upstream_call::finish(int Result) {
  const auto Guard = shared_from_this();
  Deadline.stop();
  if (const auto Running = std::exchange(Link, nullptr))
    Running->cancel();
  Done(Guard, Result, Body);
}

} // namespace ebonyvale

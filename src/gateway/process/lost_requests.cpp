// Requests and prompt segments that are suspected of crashing upstreams.
#include "gateway/process/gateway_core.h"

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

void gateway_core::reportLoss(request_fingerprint Request,
                              const upstream_process &Upstream,
                              std::span<const segment_id> Segments,
                              std::optional<loss_stage> Stage, bool IsInferred,
                              instant Now) {
  const lost_process Lost{upstreamHash(Upstream.Id), Upstream.Born, IsInferred};
  if (Crashes.onLost(Request, Lost, Now) == suspicion::Quarantined)
    Log.warn(event_category::Request, "request_quarantined",
             {{"fingerprint", fmt::format("{:016x}", Request)},
              {"upstream", Upstream.Id}});
  std::vector<segment_loss> Losses;
  if (Stage && !Segments.empty())
    Losses = SegmentQuarantine.onLost(Segments, Lost.Upstream, *Stage, Now);
  logQuarantinedSegments();
  if (Messenger)
    Messenger->sendLoss(Request, Lost, Losses);
}

void gateway_core::onPeerLoss(engine_id Upstream, instant Now) {
  for (const auto &[Id, Entry] : Directory.all())
    if (upstreamHash(Id) == Upstream)
      onSoftwareUncertain(Entry.process(), "lost_by_peer", Now);
}

void gateway_core::reportCompletion(request_fingerprint Request,
                                    std::span<const segment_id> Segments,
                                    instant Now) {
  LossInquiries.onCompleted(Request);
  const bool WasSuspected = Crashes.onCompleted(Request);
  const auto Suspected = SegmentQuarantine.onCompleted(Segments, Now);
  if (Messenger && (WasSuspected || !Suspected.empty()))
    Messenger->sendSound(WasSuspected ? std::optional(Request) : std::nullopt,
                         Suspected);
}

void gateway_core::logQuarantinedSegments() {
  for (const segment_id Segment : SegmentQuarantine.takeNew()) {
    Metrics.SegmentsQuarantined.Increment();
    Log.warn(event_category::Request, "segment_quarantined",
             {{"segment", fmt::format("{:016x}", Segment)}});
  }
}

} // namespace ebonyvale

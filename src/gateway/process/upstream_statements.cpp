// What upstreams state about themselves in their responses.
#include "gateway/process/gateway_core.h"

namespace ebonyvale {

void gateway_core::onUpstreamStatement(const upstream_process &Upstream,
                                       const response_info &Response,
                                       instant Now) {
  onUnknownFields("upstream", Response.UnknownHeaders);
  if (Response.LeavingUnreadable)
    Log.warn(event_category::Upstream, "leaving_unreadable",
             {{"upstream", Upstream.Id}});
  // Another process has responded, not the one that the request was meant for.
  if (Response.OtherProcess)
    return;
  onBrittleStated(Upstream, Response, Now);
  onPauseAsked(Upstream, Response, Now);
  if (Response.Leaving && onLeaving(Upstream, /*FromPeer=*/false, Now) &&
      Messenger)
    Messenger->sendLeaving(Upstream);
}

void gateway_core::onUnknownFields(std::string_view Source,
                                   std::span<const std::string> Names) {
  for (const std::string &Name : Names) {
    Metrics.UnknownFields.Increment();
    if (UnknownFields.add(Source, Name))
      Log.warn(event_category::Upstream, "field_unknown",
               {{"source", Source}, {"name", Name}});
  }
}

void gateway_core::onPeerLeaving(const upstream_process &Upstream,
                                 instant Now) {
  onLeaving(Upstream, /*FromPeer=*/true, Now);
}

bool gateway_core::onLeaving(const upstream_process &Upstream, bool FromPeer,
                             instant Now) {
  if (!Directory.onLeaving(Upstream, Now))
    return false;
  Log.info(event_category::Upstream, "leaving",
           {{"upstream", Upstream.Id},
            {"born", Upstream.Born},
            {"from_peer", FromPeer}});
  return true;
}

void gateway_core::onBrittleStated(const upstream_process &Upstream,
                                   const response_info &Response, instant Now) {
  // A malformed statement does not end one that is known.
  if (Response.StatesBrittle && !Response.ToleratedRefusals)
    return Log.warn(event_category::Upstream, "brittle_unreadable",
                    {{"upstream", Upstream.Id}});
  // Responses to orders and status requests may not state it.
  if (!Response.StatesBrittle && Response.RequestId.empty())
    return;
  constexpr std::int64_t None = -1;
  if (Brittle.onStated(Upstream, Response.ToleratedRefusals, Now))
    Log.info(event_category::Upstream, "brittle",
             {{"upstream", Upstream.Id},
              {"tolerated", Response.ToleratedRefusals.value_or(None)}});
}

void gateway_core::onUpstreamFull(const upstream_process &Upstream,
                                  instant Now) {
  Scheduler.onFull(Upstream.Id, Now);
  if (const upstream_entry *Entry = Directory.find(Upstream.Id))
    Room.onFull(Entry->Service, Now);
  const auto Refusal = Brittle.onRefused(Upstream, Roster.peers().size(), Now);
  if (Refusal && Messenger)
    Messenger->sendBrittleRefusal(*Refusal);
}

void gateway_core::onUpstreamLoad(std::string_view Upstream,
                                  const reported_load &Load, instant At) {
  const upstream_entry *Entry =
      Room.isOn() ? Directory.find(Upstream) : nullptr;
  if (!Entry)
    return;
  // An engine reads one prompt after the other.
  const std::int64_t Parallel = Entry->Models.empty() ? Load.Slots : 1;
  Room.onReport(Entry->Service, Upstream,
                {Load.Running, Load.Waiting, Load.Slots, Parallel}, At);
}

void gateway_core::logRoomChanges(instant Now) {
  for (const room_change &Change : Room.takeChanges(Now))
    Log.info(event_category::Upstream,
             Change.Room.isShort() ? "room_short" : "room_enough",
             {{"service", Change.Service},
              {"fits", Change.Room.Fit},
              {"delay_ms", Change.Room.DelayMs},
              {"aim_ms", Change.Room.AimMs},
              {"reports", Change.Room.Reports},
              {"busy_share", Change.Room.BusyShare}});
  Metrics.ShortServices.Set(static_cast<double>(Room.shortCount()));
}

void gateway_core::onPeerRefused(const brittle_refusal &Refusal, instant Now) {
  if (const upstream_entry *Entry = Directory.find(Refusal.Upstream))
    Brittle.onPeerRefused(*Entry, Refusal, Roster.peers().size(), Now);
}

void gateway_core::onPauseAsked(const upstream_process &Upstream,
                                const response_info &Response, instant Now) {
  if (Response.PausesStated == 0)
    return;
  if (!Response.Pause || Response.PausesStated > 1)
    Log.warn(event_category::Upstream, "pause_unreadable",
             {{"upstream", Upstream.Id},
              {"values", Response.PausesStated},
              {"used_ms", Response.Pause.value_or(span_ns(0))}});
  if (!Response.Pause)
    return;
  if (*Response.Pause > upstream_pauses::MaxPause)
    Log.warn(event_category::Upstream, "pause_too_long",
             {{"upstream", Upstream.Id},
              {"asked_ms", *Response.Pause},
              {"used_ms", span_ns(upstream_pauses::MaxPause)}});
  const instant End = UpstreamPauses.onAsked(Upstream, *Response.Pause, Now);
  // The process of a later entry may have asked.
  verifyConnections(Upstream.Id, Now, Now);
  Metrics.PausesAsked.Increment();
  Log.info(event_category::Upstream, "pause_asked",
           {{"upstream", Upstream.Id},
            {"born", Upstream.Born},
            {"asked_ms", *Response.Pause},
            {"left_ms", End - Now}});
}

} // namespace ebonyvale

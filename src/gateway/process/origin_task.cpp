#include "gateway/process/origin_task.h"

#include "gateway/process/gateway_core.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Time between two attempts to send records that wait.
constexpr span_ns SendDelay = std::chrono::milliseconds(5);
constexpr span_ns TickInterval = std::chrono::milliseconds(500);
/// Streams that wait for the confirmation of their upstream; of more the oldest
/// get no record.
constexpr std::size_t MaxUnconfirmed = 2000;
/// Peers that are asked for their history at a time.
constexpr std::size_t HistoryPeers = 3;
/// Between service and version in a record.
constexpr char WriterSeparator = '\n';

/// Requests have ids that are unique over all services.
std::uint64_t streamOf(std::string_view RequestId) {
  return streamId("", RequestId);
}

/// Returns an id for a stream that is known by the request that began it. The
/// prefix keeps it apart from the ids of callers.
std::string unnamedId(request_fingerprint Request) {
  return fmt::format("\n{:016x}", Request);
}

std::string encodeWriter(const stream_writer &Writer) {
  return Writer.Service + WriterSeparator + Writer.Software;
}

stream_writer decodeWriter(std::string_view Text) {
  const std::size_t End = Text.find(WriterSeparator);
  if (End == std::string_view::npos)
    return {"", std::string(Text)};
  return {std::string(Text.substr(0, End)), std::string(Text.substr(End + 1))};
}

} // namespace

origin_task::origin_task(gateway_core &Core)
    : Core(Core), Origins(Core.settings().InstanceName, Core.settings().Domain),
      SendTimer(Core.base(), [this] { sendRecords(); }),
      LookupTimer(Core.base(), [this] { onLookupTimer(); }),
      TickTimer(Core.base(), [this] { onTick(); }) {
  Core.setOrigins(this);
}

origin_task::~origin_task() { Core.setOrigins(nullptr); }

void origin_task::start() { TickTimer.startPeriodic(TickInterval); }

void origin_task::onBegun(std::string_view RequestId,
                          const stream_writer &Writer) {
  record(RequestId, Writer);
  // The caller must not have the event before the peers have its origin: this
  // process may end at any time.
  sendRecords();
}

void origin_task::record(std::string_view RequestId,
                         const stream_writer &Writer) {
  const std::string Software = encodeWriter(Writer);
  const instant Now = readBootClock();
  updateMembers(Now);
  const std::uint64_t Stream = streamOf(RequestId);
  if (Origins.onBegun(Stream, Software, Now) == record_result::Conflict)
    logConflict(Stream, Software);
}

std::shared_ptr<const bool> origin_task::onBegunUnconfirmed(
    std::string_view RequestId, request_fingerprint Request,
    const stream_writer &Writer, const upstream_process &Process,
    instant OpenedAt) {
  const std::string UnnamedId = unnamedId(Request);
  for (const std::string_view Id : {RequestId, std::string_view(UnnamedId)})
    record(Id, {Writer.Service, std::string(UnknownSoftware)});
  sendRecords();
  if (Unconfirmed.size() >= MaxUnconfirmed)
    Unconfirmed.erase(Unconfirmed.begin());
  Unconfirmed.push_back({std::string(RequestId), UnnamedId, Writer, Process,
                         readBootClock(), OpenedAt,
                         std::make_shared<bool>(false)});
  return Unconfirmed.back().IsConfirmed;
}

// Processes of an upstream follow each other. A connection that was opened
// under the entry of a process leads to it if that is still running later.
void origin_task::recordConfirmed(const upstream_process &Running, instant At) {
  std::erase_if(Unconfirmed, [&](const unconfirmed_stream &Stream) {
    if (Stream.Process != Running || Stream.OpenedAt > At)
      return false;
    recordOf(Stream);
    return true;
  });
  sendRecords();
}

void origin_task::recordOf(const unconfirmed_stream &Stream) {
  record(Stream.RequestId, Stream.Writer);
  record(Stream.UnnamedId, Stream.Writer);
  *Stream.IsConfirmed = true;
}

void origin_task::settleUnconfirmed(instant Now) {
  std::erase_if(Unconfirmed, [&](const unconfirmed_stream &Stream) {
    const upstream_entry *Entry = Core.directory().find(Stream.Process.Id);
    const bool IsSame = Entry && Entry->process() == Stream.Process;
    if (IsSame && !Core.unconfirmedUpstreams().statesStart(*Entry) &&
        Core.isListed(*Entry)) {
      recordOf(Stream);
      return true;
    }
    if (IsSame && Now - Stream.BegunAt < stream_origins::KeepFor) {
      Core.verifyConnections(Stream.Process.Id, Stream.OpenedAt, Now);
      return false;
    }
    Core.log().info(event_category::Request, "origin_unknown",
                    {{"id", Stream.RequestId},
                     {"upstream", Stream.Process.Id},
                     {"software", Stream.Writer.Software}});
    return true;
  });
  sendRecords();
}

void origin_task::armSendTimer() {
  if (Origins.hasQueued() && !std::exchange(SendArmed, true))
    SendTimer.startOnce(SendDelay);
}

void origin_task::sendRecords() {
  SendArmed = false;
  if (!Core.messenger())
    return;
  for (const auto &[Peer, Records] : Origins.takeForKeepers(readBootClock()))
    Core.messenger()->sendOrigins(Peer, encodeOrigins(Records));
  armSendTimer();
}

void origin_task::find(std::string_view RequestId,
                       const std::weak_ptr<origin_waiter> &Waiter) {
  const instant Now = readBootClock();
  updateMembers(Now);
  const std::uint64_t Stream = streamOf(RequestId);
  const auto Known = Origins.find(Stream, Now);
  if (Known && !isUnknownSoftware(*Known)) {
    // The waiter may record a stream, which ends the validity of a view.
    const stream_writer Writer = decodeWriter(*Known);
    if (const auto Target = Waiter.lock())
      Target->onOrigin(Writer);
    return;
  }
  const auto Position =
      Lookups
          .try_emplace(Stream,
                       pending_lookup{
                           origin_lookup(Origins.peersToAsk(Stream), Now), {}})
          .first;
  Position->second.Waiters.push_back(Waiter);
  if (Known)
    Position->second.Lookup.onAnswer("", *Known);
  advance(Position, Now);
  armLookupTimer(Now);
}

void origin_task::findUnnamed(request_fingerprint Request,
                              const std::weak_ptr<origin_waiter> &Waiter) {
  find(unnamedId(Request), Waiter);
}

origin_task::lookup_map::iterator
origin_task::advance(lookup_map::iterator Lookup, instant Now) {
  auto &[Stream, Pending] = *Lookup;
  if (Core.messenger())
    for (const std::string &Peer : Pending.Lookup.takeToAsk(Now))
      Core.messenger()->sendOriginQuestion(Peer, Stream);
  const lookup_state State = Pending.Lookup.state(Now);
  if (State == lookup_state::Pending && Core.messenger())
    return std::next(Lookup);
  const bool IsKnown = State == lookup_state::Known;
  Core.counters().onOriginLookup(IsKnown);
  Core.log().info(event_category::Request, "origin_lookup",
                  {{"stream", fmt::format("{:012x}", Stream)},
                   {"software", Pending.Lookup.software()},
                   {"unanswered", Pending.Lookup.unanswered()}});
  std::optional<stream_writer> Writer;
  if (IsKnown)
    Writer = decodeWriter(Pending.Lookup.software());
  else if (State == lookup_state::Uncertain)
    Writer = {"", std::string(UnknownSoftware)};
  const auto Waiters = std::move(Pending.Waiters);
  const auto Next = Lookups.erase(Lookup);
  for (const std::weak_ptr<origin_waiter> &Waiter : Waiters)
    if (const auto Target = Waiter.lock())
      callLater(Core.base(), [Target, Writer] { Target->onOrigin(Writer); });
  return Next;
}

void origin_task::onLookupTimer() {
  const instant Now = readBootClock();
  for (auto Next = Lookups.begin(); Next != Lookups.end();)
    Next = advance(Next, Now);
  armLookupTimer(Now);
}

void origin_task::armLookupTimer(instant Now) {
  if (Lookups.empty())
    return LookupTimer.stop();
  instant Next = instant::max();
  for (const auto &[Stream, Pending] : Lookups)
    Next = std::min(Next, Pending.Lookup.nextAt());
  LookupTimer.startOnce(std::max<span_ns>(Next - Now, span_ns(0)));
}

void origin_task::onPeerRecords(std::string_view From, std::string_view Text) {
  const auto Records = decodeOrigins(Text);
  if (!Records)
    return Core.log().warn(event_category::Peer, "origins_unreadable",
                           {{"peer", From}, {"bytes", Text.size()}});
  for (const stream_origin &Conflict :
       Origins.onPeerRecords(From, *Records, readBootClock()))
    logConflict(Conflict.Stream, Conflict.Software);
  armSendTimer();
}

void origin_task::onPeerQuestion(std::uint64_t Stream) {
  if (Core.messenger())
    Core.messenger()->sendOriginAnswer(Stream,
                                       Origins.find(Stream, readBootClock()));
}

void origin_task::onPeerAnswer(std::string_view From, std::uint64_t Stream,
                               std::optional<std::string_view> Software) {
  const auto Pending = Lookups.find(Stream);
  if (Pending == Lookups.end())
    return;
  const instant Now = readBootClock();
  Pending->second.Lookup.onAnswer(From, Software);
  advance(Pending, Now);
  armLookupTimer(Now);
}

void origin_task::onTick() {
  const instant Now = readBootClock();
  updateMembers(Now);
  askForHistory(Now);
  settleUnconfirmed(Now);
  Origins.expire(Now);
  Core.counters().StreamOrigins.Set(static_cast<double>(Origins.count()));
}

void origin_task::askForHistory(instant Now) {
  const auto Version = Core.versionToAskAbout(Now);
  const auto &Peers = Core.roster().peers();
  if (!Version || !Core.messenger() || Peers.empty())
    return;
  HistoryAskedAt = Now;
  ++HistoryNumber;
  for (std::size_t Count = std::min(HistoryPeers, Peers.size()); Count > 0;
       --Count)
    Core.messenger()->sendHistoryQuestion(
        std::next(Peers.begin(),
                  static_cast<std::ptrdiff_t>(NextPeer++ % Peers.size()))
            ->first,
        HistoryNumber, *Version);
}

void origin_task::onPeerHistory(std::uint64_t Number,
                                const stream_history &Known) {
  if (Number == HistoryNumber)
    Core.onPeerHistory(Known, HistoryAskedAt);
}

void origin_task::updateMembers(instant Now) {
  const instance_roster &Roster = Core.roster();
  if (!Core.rosterKnown() ||
      std::exchange(MembersGeneration, Roster.generation()) ==
          Roster.generation())
    return;
  std::vector<fleet_member> Members{
      {Core.settings().InstanceName, Core.settings().Domain}};
  for (const auto &[Name, Entry] : Roster.peers())
    Members.push_back({Name, Entry.Domain});
  Origins.setMembers(Members, Now);
}

void origin_task::logConflict(std::uint64_t Stream, std::string_view Software) {
  Core.log().warn(
      event_category::Peer, "origin_conflict",
      {{"stream", fmt::format("{:012x}", Stream)}, {"software", Software}});
}

} // namespace ebonyvale

#include "gateway/process/change_relay.h"

namespace ebonyvale {
namespace {

/// Size of the changes in one response. Together with the operators' documents
/// it fits into a datagram.
constexpr std::size_t MaxBatchBytes = 12 * 1024;

/// Returns \p Changes, or a gap if they are too long for a message. The peer
/// then fetches them, and does not take this instance for silent. One of an
/// earlier build lists the store.
change_batch sendable(change_batch Changes) {
  std::size_t Bytes = 0;
  for (const store_item &Item : Changes.Items)
    Bytes += Item.Key.size() + Item.Value.size();
  if (Bytes <= MaxBatchBytes)
    return Changes;
  change_batch Gap;
  Gap.HasGap = true;
  Gap.IsTooLong = true;
  return Gap;
}

change_source_options sourceOptions(const gateway_settings &Settings) {
  change_source_options Options;
  Options.MaxReadAge = maxReadAge(Settings);
  return Options;
}

} // namespace

change_relay::change_relay(gateway_core &Core, change_receiver &Receiver)
    : Core(Core), Receiver(Receiver), Source(sourceOptions(Core.settings())),
      ResponseTimer(Core.base(), [this] {
        Source.onTimeout(readBootClock());
        this->Receiver.onPollFailed();
      }) {
  Core.setChangeExchange(this);
}

change_relay::~change_relay() { Core.setChangeExchange(nullptr); }

/// Passes the candidates to the source after a change of the peers.
void change_relay::updatePeers() {
  const instance_roster &Roster = Core.roster();
  if (PeersGeneration == Roster.generation())
    return;
  PeersGeneration = Roster.generation();
  Source.setCandidates(followCandidates(
      Core.settings().InstanceName, Core.settings().Domain, Roster.peers()));
}

bool change_relay::followsPeer(instant Now) {
  updatePeers();
  const auto Chosen = Core.messenger() ? Source.choose(Now) : std::nullopt;
  const std::string_view Name = Chosen.value_or(std::string_view());
  if (Name != Followed) {
    Core.log().info(event_category::Store, "follows",
                    {{"peer", Name}, {"before", Followed}});
    Followed = Name;
  }
  return Chosen.has_value();
}

bool change_relay::poll(std::int64_t Revision) {
  const instant Now = readBootClock();
  Source.setMaxReadAge(maxReadAge(Core.settings()));
  if (!followsPeer(Now))
    return false;
  const auto &Poll = Source.startPoll(Followed, Now);
  ResponseTimer.startOnce(pollTimeout(Core.settings()));
  Core.messenger()->sendChangePoll(
      Followed, {Poll.Number, Revision, Receiver.operatorRevisions()});
  return true;
}

std::vector<announced_age> change_relay::announcedAges(instant Now) const {
  std::vector<announced_age> Ages;
  for (const weights_announcement &Known :
       Core.scheduler().announcedWeights().recent(Now)) {
    std::optional<span_ns> Age;
    if (Known.NotBefore)
      Age = Now - *Known.NotBefore;
    Ages.push_back({Known.Model, Known.Version, Age});
  }
  return Ages;
}

void change_relay::onChangePoll(const std::string &From,
                                const change_poll &Poll) {
  const instant Now = readBootClock();
  std::optional<span_ns> UpstreamsAge;
  if (const auto ConfirmedAt = Core.upstreamsConfirmedAt())
    UpstreamsAge = Now - *ConfirmedAt;
  Core.messenger()->sendChanges(
      From, {Poll.Number, Core.configFreshness().age(Now), UpstreamsAge,
             Receiver.operatorDocuments(Poll.Documents), announcedAges(Now),
             sendable(Log.since(Poll.Revision, MaxBatchBytes))});
}

void change_relay::onChangeResponse(const std::string &From,
                                    const change_response &Response) {
  const auto &Pending = Source.pending();
  if (!Pending || Pending->Peer != From || Pending->Number != Response.Number)
    return;
  ResponseTimer.stop();
  const auto ReadAt = Source.onResponse(From, Response.Number, Response.ReadAge,
                                        readBootClock());
  if (ReadAt)
    return Receiver.onRelayed(From, Response, *ReadAt);
  Receiver.onPollFailed();
}

} // namespace ebonyvale

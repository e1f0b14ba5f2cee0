#include "daemon/connection/peer_hub.h"

#include "daemon/process/logging.h"

#include <arpa/inet.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

constexpr span_ns BeatInterval = std::chrono::seconds(1);
/// Links that leave the domain get every fifth beat; a new version is announced
/// on all of them at once.
constexpr unsigned FarBeats = 5;
/// Refusals that are recorded within it travel together.
constexpr span_ns CopyDelay = std::chrono::milliseconds(50);
/// Placements that are made within it travel together.
constexpr span_ns HintDelay = std::chrono::milliseconds(10);
/// Copies kept for other instances.
constexpr std::size_t MaxCopies = 50'000;

constexpr int StatusOk = 200;

/// Body of an answer that says no more than that the message arrived.
constexpr std::string_view Acknowledged = "ok";

} // namespace

peer_hub::peer_hub(router_core &Core, version_exchange &Versions)
    : Core(Core), Versions(Versions),
      BeatTimer(Core.base(), [this] { beat(); }),
      CopyTimer(Core.base(), [this] { flushRefusals(); }),
      HintTimer(Core.base(), [this] { flushHints(); }) {
  Core.setMessenger(this);
}

peer_hub::~peer_hub() {
  *Alive = false;
  Core.setMessenger(nullptr);
  for (auto &[Name, Link] : Links)
    if (Link.Connection)
      Link.Connection->close();
  for (const auto &Weak : Accepted)
    if (const auto Connection = Weak.lock())
      Connection->close();
}

std::optional<failure> peer_hub::listen() {
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_port = htons(static_cast<std::uint16_t>(Core.settings().PeerPort));
  const std::string &Address = Core.settings().PeerAddress;
  if (inet_pton(AF_INET, Address.c_str(), &Where.sin_addr) == 1)
    Listener.reset(evconnlistener_new_bind(
        Core.base(), &peer_hub::onAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr *>(&Where), sizeof(Where)));
  if (!Listener)
    return failure{error_kind::SettingsInvalid,
                   "cannot listen for peers on " + Address};
  socklen_t Length = sizeof(Where);
  getsockname(evconnlistener_get_fd(Listener.get()),
              reinterpret_cast<sockaddr *>(&Where), &Length);
  BoundPort = ntohs(Where.sin_port);
  BeatTimer.startPeriodic(BeatInterval);
  return std::nullopt;
}

member peer_hub::self() const {
  const daemon_settings &Settings = Core.settings();
  return {Settings.InstanceName, Settings.PeerAddress, BoundPort,
          Settings.Domain,       Settings.Region,      !Core.ready()};
}

void peer_hub::setMembers(const std::vector<member> &Members) {
  const std::vector<member> Chosen = chooseLinks(self(), Members, {});
  std::map<std::string, link> Kept;
  Order.clear();
  for (const member &Peer : Chosen) {
    Order.push_back(Peer.Name);
    auto Node = Links.extract(Peer.Name);
    const bool Same = !Node.empty() &&
                      Node.mapped().Peer.Address == Peer.Address &&
                      Node.mapped().Peer.Port == Peer.Port;
    link &Link = Kept[Peer.Name];
    if (Same)
      Link = std::move(Node.mapped());
    else if (!Node.empty())
      Links.insert(std::move(Node));
    Link.Peer = Peer;
  }
  const auto Gone = std::exchange(Links, std::move(Kept));
  for (const auto &[Name, Link] : Gone)
    if (Link.Connection)
      Link.Connection->close();
  updateSharePeers();
  announce();
}

void peer_hub::announce() {
  for (auto &[Name, Link] : Links)
    beatOne(Link);
}

void peer_hub::beat() {
  const bool IsFarBeat = Beats++ % FarBeats == 0;
  for (auto &[Name, Link] : Links) {
    const bool IsNear = Link.Peer.Domain == Core.settings().Domain;
    const span_ns Interval = IsNear ? BeatInterval : BeatInterval * FarBeats;
    if ((IsNear || IsFarBeat) && !beatsForBoth(Link, Interval))
      beatOne(Link);
  }
  flushRefusals();
}

/// A heartbeat and its answer tell both sides all there is to tell. Of two
/// instances the one whose name comes first beats, as long as it is heard.
bool peer_hub::beatsForBoth(const link &Link, span_ns Interval) const {
  const bool IsHeard = Link.HeardAt != instant{} &&
                       readClock().Now - Link.HeardAt < Interval * 2;
  return IsHeard && Link.Peer.Name < Core.settings().InstanceName;
}

void peer_hub::beatOne(link &Link) {
  send(Link, HeartbeatPath, encode(ownHeartbeat()),
       [this, Name = Link.Peer.Name](std::string_view Bytes) {
         onHeartbeat(Name, Bytes);
       });
}

void peer_hub::onHeartbeat(const std::string &Peer, std::string_view Bytes) {
  const auto Heard = decodeHeartbeat(Bytes);
  const auto Found = Links.find(Peer);
  if (!Heard || Found == Links.end())
    return;
  Found->second.Version = Heard->ConfigurationVersion;
  if (!std::exchange(Found->second.Alive, true))
    updateSharePeers();
  const std::uint64_t Own = Core.inForce() ? Core.inForce()->Version : 0;
  if (Heard->ConfigurationVersion > Own)
    pullVersions(Peer);
}

void peer_hub::pullVersions(const std::string &Peer) {
  const auto Found = Links.find(Peer);
  if (Pulling || Found == Links.end())
    return;
  Pulling = true;
  const std::uint64_t Own = Core.inForce() ? Core.inForce()->Version : 0;
  send(Found->second, SnapshotPath, encodeNumber(Own),
       [this](std::string_view Bytes) {
         Pulling = false;
         if (!Bytes.empty())
           Versions.onVersions(Bytes);
       });
}

void peer_hub::updateSharePeers() { Core.shares().setPeers(livePeers()); }

std::vector<std::string> peer_hub::livePeers() const {
  std::vector<std::string> Names;
  for (const std::string &Name : Order) {
    const auto Found = Links.find(Name);
    if (Found != Links.end() && Found->second.Alive)
      Names.push_back(Name);
  }
  return Names;
}

std::uint64_t peer_hub::controlBytes() const {
  std::uint64_t Sum = ClosedBytes;
  for (const auto &[Name, Link] : Links)
    if (Link.Connection)
      Sum += Link.Connection->bytesIn() + Link.Connection->bytesOut();
  for (const auto &Weak : Accepted)
    if (const auto Connection = Weak.lock())
      Sum += Connection->bytesIn() + Connection->bytesOut();
  return Sum;
}

void peer_hub::sendAsk(const std::string &Peer, const share_ask &Ask) {
  const auto Found = Links.find(Peer);
  if (Found == Links.end())
    return;
  send(Found->second, ShareAskPath,
       encode(from_instance<share_ask>{Core.settings().InstanceName, Ask}),
       [this, Peer](std::string_view Bytes) {
         if (const auto Reply = decodeShareReply(Bytes))
           Core.onShareReply(Peer, *Reply);
       });
}

void peer_hub::sendReturn(const std::string &Peer, const share_return &Return) {
  const auto Found = Links.find(Peer);
  if (Found == Links.end())
    return;
  send(
      Found->second, ShareReturnPath,
      encode(from_instance<share_return>{Core.settings().InstanceName, Return}),
      [](std::string_view) {});
}

void peer_hub::sendQuarantine(request_fingerprint Request) {
  for (auto &[Name, Link] : Links)
    send(Link, QuarantinePath, encodeNumber(Request), [](std::string_view) {});
}

void peer_hub::sendHint(piece_hash Front, const std::string &Engine) {
  Hints.Hints.push_back({Front, Engine});
  if (Hints.Hints.size() == 1)
    HintTimer.startOnce(HintDelay);
}

void peer_hub::flushHints() {
  const std::string Message = encode(std::exchange(Hints, {}));
  for (auto &[Name, Link] : Links)
    if (Link.Alive && Link.Peer.Domain == Core.settings().Domain)
      send(Link, HintsPath, Message, [](std::string_view) {});
}

void peer_hub::copyRefusal(const refusal &Refusal) {
  if (Uncopied.size() >= MaxCopies)
    return;
  Uncopied.push_back(Refusal);
  if (Uncopied.size() == 1)
    CopyTimer.startOnce(CopyDelay);
}

peer_hub::link *peer_hub::copyKeeper() {
  link *Fallback = nullptr;
  for (const std::string &Name : Order) {
    link &Link = Links.at(Name);
    if (!Link.Alive)
      continue;
    const bool OtherDomain = Link.Peer.Domain != Core.settings().Domain;
    if (OtherDomain && Link.Peer.Region == Core.settings().Region)
      return &Link;
    if (!Fallback)
      Fallback = &Link;
  }
  return Fallback;
}

void peer_hub::flushRefusals() {
  link *Keeper = copyKeeper();
  if (!Keeper || Uncopied.empty())
    return;
  auto Batch = std::make_shared<refusal_copies>(
      refusal_copies{std::exchange(Uncopied, {})});
  send(*Keeper, RefusalsPath, encode(*Batch),
       [this, Batch](std::string_view Bytes) {
         if (!Bytes.empty())
           return;
         // Not acknowledged: another keeper gets them with the next beat.
         Batch->Refusals.insert(Batch->Refusals.end(), Uncopied.begin(),
                                Uncopied.end());
         Uncopied = std::move(Batch->Refusals);
       });
}

refusal_copies peer_hub::copiesMatching(const refusal_query &Query) const {
  refusal_copies Found;
  for (const refusal &Refusal : Copies)
    if (matches(Query, Refusal))
      Found.Refusals.push_back(Refusal);
  return Found;
}

void peer_hub::send(link &Link, std::string_view Path, std::string Body,
                    answer_handler OnAnswer) {
  const std::string Name = Link.Peer.Name;
  if (!Link.Connection)
    Link.Connection = h2_connection::connect(
        Core.base(), {Link.Peer.Address, Link.Peer.Port},
        [this, Name, Watch = Alive] {
          const auto Found = *Watch ? Links.find(Name) : Links.end();
          if (!*Watch || Found == Links.end() || !Found->second.Connection)
            return;
          ClosedBytes += Found->second.Connection->bytesIn() +
                         Found->second.Connection->bytesOut();
          Found->second.Connection.reset();
          if (std::exchange(Found->second.Alive, false))
            updateSharePeers();
        });
  const auto Connection = Link.Connection;
  Connection->request(std::string(Path), authorization(), std::move(Body),
                      [Watch = Alive, OnAnswer = std::move(OnAnswer)](
                          const std::optional<h2_response> &Answer) {
                        if (!*Watch)
                          return;
                        const bool Good = Answer && Answer->Status == StatusOk;
                        OnAnswer(Good ? std::string_view(Answer->Body)
                                      : std::string_view());
                      });
}

h2_response peer_hub::onRequest(const h2_request &Request) {
  const std::string Expected = authorization();
  const bool Authentic = Request.Authorization.size() == Expected.size() &&
                         CRYPTO_memcmp(Request.Authorization.data(),
                                       Expected.data(), Expected.size()) == 0;
  if (!Authentic)
    return {errorRow(error_kind::AdminDenied).Status, ""};
  const result<std::string> Answer = serve(Request);
  if (Answer)
    return {StatusOk, *Answer};
  logFor(log_category::Peer)
      .warn("a peer's message to {} was refused: {}", Request.Path,
            Answer.error().Detail);
  return {errorRow(Answer.error().kind()).Status, Answer.error().Detail};
}

result<std::string> peer_hub::serve(const h2_request &Request) {
  if (Request.Path == HeartbeatPath) {
    const auto Heard = decodeHeartbeat(Request.Body);
    if (!Heard)
      return Heard.error();
    if (const auto Found = Links.find(Heard->Instance); Found != Links.end())
      Found->second.HeardAt = readClock().Now;
    onHeartbeat(Heard->Instance, Request.Body);
    return encode(ownHeartbeat());
  }
  if (Request.Path == ShareAskPath) {
    const auto Ask = decodeShareAsk(Request.Body);
    if (!Ask)
      return Ask.error();
    return encode(Core.onShareAsk(Ask->Instance, Ask->Content));
  }
  if (Request.Path == ShareReturnPath) {
    const auto Return = decodeShareReturn(Request.Body);
    if (!Return)
      return Return.error();
    Core.shares().onReturn(Return->Instance, Return->Content, readClock().Now);
    return std::string();
  }
  if (Request.Path == SnapshotPath) {
    const auto Version = decodeNumber(Request.Body);
    if (!Version)
      return Version.error();
    return Versions.versionsSince(*Version);
  }
  if (Request.Path == QuarantinePath) {
    const auto Fingerprint = decodeNumber(Request.Body);
    if (!Fingerprint)
      return Fingerprint.error();
    Core.crashes().onPeerQuarantine(*Fingerprint, readClock().Now);
    return std::string();
  }
  if (Request.Path == HintsPath) {
    const auto Given = decodeHints(Request.Body);
    if (!Given)
      return Given.error();
    for (const placement_hints::hint &Hint : Given->Hints)
      Core.onPlacementHint(Hint.Front, Hint.Engine);
    return std::string();
  }
  if (Request.Path == RefusalsPath) {
    auto Given = decodeRefusals(Request.Body);
    if (!Given)
      return Given.error();
    std::ranges::move(Given->Refusals, std::back_inserter(Copies));
    while (Copies.size() > MaxCopies)
      Copies.pop_front();
    return std::string(Acknowledged);
  }
  return failure{error_kind::PeerMessageInvalid, "unknown path"};
}

std::string peer_hub::authorization() const {
  return "Bearer " + toHex(hashKey(Core.settings().FleetSecret, "peer"));
}

heartbeat peer_hub::ownHeartbeat() const {
  return {Core.settings().InstanceName, Core.boot(),
          Core.inForce() ? Core.inForce()->Version : 0, !Core.ready()};
}

void peer_hub::onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                        int, void *Argument) {
  auto *Hub = static_cast<peer_hub *>(Argument);
  std::erase_if(Hub->Accepted, [](const auto &Weak) { return Weak.expired(); });
  Hub->Accepted.push_back(h2_connection::serve(
      Hub->Core.base(), Socket,
      [Hub, Watch = Hub->Alive](const h2_request &Request) {
        return *Watch ? Hub->onRequest(Request) : h2_response{};
      },
      [] {}));
}

} // namespace ebonyvale

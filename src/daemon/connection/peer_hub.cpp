#include "daemon/connection/peer_hub.h"

#include "daemon/process/logging.h"

#include <arpa/inet.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

constexpr span_ns HeartbeatInterval = std::chrono::seconds(1);
/// Links to other domains get a heartbeat on every fifth tick only. A new
/// version is still announced on all links at once, by `sendHeartbeats`.
constexpr unsigned OtherDomainTicks = 5;
/// Time for which recorded refusals are batched into one message.
constexpr span_ns ReplicationDelay = std::chrono::milliseconds(50);
/// Time for which placement hints are batched into one message.
constexpr span_ns HintDelay = std::chrono::milliseconds(10);
/// Maximum number of replicas kept for peers, and of refusals waiting to be
/// replicated.
constexpr std::size_t MaxReplicas = 50'000;

constexpr int StatusOk = 200;

/// Response body that confirms the receipt of a message. Senders treat an
/// empty body as a failure.
constexpr std::string_view Acknowledged = "ok";

} // namespace

peer_hub::peer_hub(router_core &Core, version_exchange &Versions)
    : Core(Core), Versions(Versions),
      HeartbeatTimer(Core.base(), [this] { onHeartbeatTimer(); }),
      ReplicationTimer(Core.base(), [this] { flushRefusals(); }),
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
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port =
      htons(static_cast<std::uint16_t>(Core.settings().PeerPort));
  const std::string &Address = Core.settings().PeerAddress;
  if (inet_pton(AF_INET, Address.c_str(), &SocketAddress.sin_addr) == 1)
    Listener.reset(evconnlistener_new_bind(
        Core.base(), &peer_hub::onAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr *>(&SocketAddress), sizeof(SocketAddress)));
  if (!Listener)
    return failure{error_kind::SettingsInvalid,
                   "cannot listen for peers on " + Address};
  socklen_t Length = sizeof(SocketAddress);
  getsockname(evconnlistener_get_fd(Listener.get()),
              reinterpret_cast<sockaddr *>(&SocketAddress), &Length);
  BoundPort = ntohs(SocketAddress.sin_port);
  HeartbeatTimer.startPeriodic(HeartbeatInterval);
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
    const bool SameAddress = !Node.empty() &&
                             Node.mapped().Peer.Address == Peer.Address &&
                             Node.mapped().Peer.Port == Peer.Port;
    link &Link = Kept[Peer.Name];
    if (SameAddress)
      Link = std::move(Node.mapped());
    else if (!Node.empty()) // address changed: the old link is closed below
      Links.insert(std::move(Node));
    Link.Peer = Peer;
  }
  const auto Removed = std::exchange(Links, std::move(Kept));
  for (const auto &[Name, Link] : Removed)
    if (Link.Connection)
      Link.Connection->close();
  updateSharePeers();
  sendHeartbeats();
}

void peer_hub::sendHeartbeats() {
  for (auto &[Name, Link] : Links)
    sendHeartbeatTo(Link);
}

void peer_hub::onHeartbeatTimer() {
  const bool IncludeOtherDomains = HeartbeatTicks++ % OtherDomainTicks == 0;
  for (auto &[Name, Link] : Links) {
    const bool SameDomain = Link.Peer.Domain == Core.settings().Domain;
    const span_ns Interval =
        SameDomain ? HeartbeatInterval : HeartbeatInterval * OtherDomainTicks;
    if ((SameDomain || IncludeOtherDomains) &&
        !isHeartbeatRedundant(Link, Interval))
      sendHeartbeatTo(Link);
  }
  flushRefusals();
}

/// Returns whether the peer's own heartbeats make ours redundant. A heartbeat
/// and its response inform both sides, so of two instances only the one whose
/// name sorts first sends, as long as its heartbeats arrive.
bool peer_hub::isHeartbeatRedundant(const link &Link, span_ns Interval) const {
  const bool IsRecent = Link.LastHeartbeatAt != instant{} &&
                        readClock().Now - Link.LastHeartbeatAt < Interval * 2;
  return IsRecent && Link.Peer.Name < Core.settings().InstanceName;
}

void peer_hub::sendHeartbeatTo(link &Link) {
  send(Link, HeartbeatPath, encode(ownHeartbeat()),
       [this, Name = Link.Peer.Name](std::string_view Bytes) {
         onHeartbeat(Name, Bytes);
       });
}

void peer_hub::onHeartbeat(const std::string &Peer, std::string_view Bytes) {
  const auto Heartbeat = decodeHeartbeat(Bytes);
  const auto Found = Links.find(Peer);
  if (!Heartbeat || Found == Links.end())
    return;
  Found->second.Version = Heartbeat->ConfigurationVersion;
  if (!std::exchange(Found->second.Alive, true))
    updateSharePeers();
  const std::uint64_t OwnVersion =
      Core.currentConfig() ? Core.currentConfig()->Version : 0;
  if (Heartbeat->ConfigurationVersion > OwnVersion)
    pullVersions(Peer);
}

void peer_hub::pullVersions(const std::string &Peer) {
  const auto Found = Links.find(Peer);
  if (Pulling || Found == Links.end())
    return;
  Pulling = true;
  const std::uint64_t OwnVersion =
      Core.currentConfig() ? Core.currentConfig()->Version : 0;
  send(Found->second, SnapshotPath, encodeNumber(OwnVersion),
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

std::uint64_t peer_hub::peerTrafficBytes() const {
  std::uint64_t Sum = ClosedBytes;
  for (const auto &[Name, Link] : Links)
    if (Link.Connection)
      Sum += Link.Connection->bytesIn() + Link.Connection->bytesOut();
  for (const auto &Weak : Accepted)
    if (const auto Connection = Weak.lock())
      Sum += Connection->bytesIn() + Connection->bytesOut();
  return Sum;
}

void peer_hub::sendLendRequest(const std::string &Peer,
                               const lend_request &Request) {
  const auto Found = Links.find(Peer);
  if (Found == Links.end())
    return;
  send(
      Found->second, LendRequestPath,
      encode(message_from<lend_request>{Core.settings().InstanceName, Request}),
      [this, Peer](std::string_view Bytes) {
        if (const auto Response = decodeLendResponse(Bytes))
          Core.onLendResponse(Peer, *Response);
      });
}

void peer_hub::sendLendReturn(const std::string &Peer,
                              const lend_return &Return) {
  const auto Found = Links.find(Peer);
  if (Found == Links.end())
    return;
  send(Found->second, LendReturnPath,
       encode(message_from<lend_return>{Core.settings().InstanceName, Return}),
       [](std::string_view) {});
}

void peer_hub::sendQuarantine(request_fingerprint Request) {
  for (auto &[Name, Link] : Links)
    send(Link, QuarantinePath, encodeNumber(Request), [](std::string_view) {});
}

void peer_hub::sendHint(piece_hash FirstPiece, const std::string &Engine) {
  Hints.Hints.push_back({FirstPiece, Engine});
  if (Hints.Hints.size() == 1)
    HintTimer.startOnce(HintDelay);
}

void peer_hub::flushHints() {
  const std::string Message = encode(std::exchange(Hints, {}));
  for (auto &[Name, Link] : Links)
    if (Link.Alive && Link.Peer.Domain == Core.settings().Domain)
      send(Link, HintsPath, Message, [](std::string_view) {});
}

void peer_hub::replicateRefusal(const refusal &Refusal) {
  if (Unreplicated.size() >= MaxReplicas)
    return;
  Unreplicated.push_back(Refusal);
  if (Unreplicated.size() == 1)
    ReplicationTimer.startOnce(ReplicationDelay);
}

peer_hub::link *peer_hub::chooseBackupPeer() {
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
  link *BackupPeer = chooseBackupPeer();
  if (!BackupPeer || Unreplicated.empty())
    return;
  auto Batch = std::make_shared<refusal_list>(
      refusal_list{std::exchange(Unreplicated, {})});
  send(*BackupPeer, RefusalsPath, encode(*Batch),
       [this, Batch](std::string_view Bytes) {
         if (!Bytes.empty())
           return;
         // Not acknowledged: the next heartbeat tick sends them again, to
         // another peer if this one is no longer alive.
         Batch->Refusals.insert(Batch->Refusals.end(), Unreplicated.begin(),
                                Unreplicated.end());
         Unreplicated = std::move(Batch->Refusals);
       });
}

refusal_list
peer_hub::findReplicatedRefusals(const refusal_query &Query) const {
  refusal_list Found;
  for (const refusal &Refusal : Replicas)
    if (matches(Query, Refusal))
      Found.Refusals.push_back(Refusal);
  return Found;
}

void peer_hub::send(link &Link, std::string_view Path, std::string Body,
                    response_handler OnResponse) {
  const std::string Name = Link.Peer.Name;
  if (!Link.Connection)
    Link.Connection = h2_connection::connect(
        Core.base(), {Link.Peer.Address, Link.Peer.Port},
        [this, Name, HubAlive = Alive] {
          const auto Found = *HubAlive ? Links.find(Name) : Links.end();
          if (!*HubAlive || Found == Links.end() || !Found->second.Connection)
            return;
          ClosedBytes += Found->second.Connection->bytesIn() +
                         Found->second.Connection->bytesOut();
          Found->second.Connection.reset();
          if (std::exchange(Found->second.Alive, false))
            updateSharePeers();
        });
  const auto Connection = Link.Connection;
  Connection->request(std::string(Path), authorization(), std::move(Body),
                      [HubAlive = Alive, OnResponse = std::move(OnResponse)](
                          const std::optional<h2_response> &Response) {
                        if (!*HubAlive)
                          return;
                        const bool Succeeded =
                            Response && Response->Status == StatusOk;
                        OnResponse(Succeeded ? std::string_view(Response->Body)
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
  const result<std::string> Response = serve(Request);
  if (Response)
    return {StatusOk, *Response};
  logFor(log_category::Peer)
      .warn("rejected a peer message to {}: {}", Request.Path,
            Response.error().Detail);
  return {errorRow(Response.error().kind()).Status, Response.error().Detail};
}

result<std::string> peer_hub::serve(const h2_request &Request) {
  if (Request.Path == HeartbeatPath) {
    const auto Heartbeat = decodeHeartbeat(Request.Body);
    if (!Heartbeat)
      return Heartbeat.error();
    if (const auto Found = Links.find(Heartbeat->Instance);
        Found != Links.end())
      Found->second.LastHeartbeatAt = readClock().Now;
    onHeartbeat(Heartbeat->Instance, Request.Body);
    return encode(ownHeartbeat());
  }
  if (Request.Path == LendRequestPath) {
    const auto LendRequest = decodeLendRequest(Request.Body);
    if (!LendRequest)
      return LendRequest.error();
    return encode(
        Core.onLendRequest(LendRequest->Instance, LendRequest->Payload));
  }
  if (Request.Path == LendReturnPath) {
    const auto Return = decodeLendReturn(Request.Body);
    if (!Return)
      return Return.error();
    Core.shares().onLendReturn(Return->Instance, Return->Payload,
                               readClock().Now);
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
    const auto Received = decodeHints(Request.Body);
    if (!Received)
      return Received.error();
    for (const placement_hints::hint &Hint : Received->Hints)
      Core.onPlacementHint(Hint.FirstPiece, Hint.Engine);
    return std::string();
  }
  if (Request.Path == RefusalsPath) {
    auto Received = decodeRefusals(Request.Body);
    if (!Received)
      return Received.error();
    std::ranges::move(Received->Refusals, std::back_inserter(Replicas));
    while (Replicas.size() > MaxReplicas)
      Replicas.pop_front();
    return std::string(Acknowledged);
  }
  return failure{error_kind::PeerMessageInvalid, "unknown path"};
}

std::string peer_hub::authorization() const {
  return "Bearer " + toHex(hashKey(Core.settings().FleetSecret, "peer"));
}

heartbeat peer_hub::ownHeartbeat() const {
  return {Core.settings().InstanceName, Core.bootId(),
          Core.currentConfig() ? Core.currentConfig()->Version : 0,
          !Core.ready()};
}

void peer_hub::onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                        int, void *Argument) {
  auto *Hub = static_cast<peer_hub *>(Argument);
  caller_memory &Memory = Hub->Core.callerMemory();
  if (!Memory.admits(/*Internal=*/true, readBootClock())) {
    evutil_closesocket(Socket);
    return;
  }
  std::erase_if(Hub->Accepted, [](const auto &Weak) { return Weak.expired(); });
  Hub->Accepted.push_back(h2_connection::serve(
      Hub->Core.base(), Socket,
      [Hub, HubAlive = Hub->Alive](const h2_request &Request) {
        return *HubAlive ? Hub->onRequest(Request) : h2_response{};
      },
      [] {}, &Memory));
}

} // namespace ebonyvale

/// \file
/// Connections to other instances: heartbeats, lending of tokens, configuration
/// versions, replicated refusals, quarantines and placement hints.
#ifndef EBONYVALE_DAEMON_CONNECTION_PEER_HUB_H
#define EBONYVALE_DAEMON_CONNECTION_PEER_HUB_H

#include "daemon/connection/peer_message.h"
#include "daemon/process/router_core.h"
#include "decisions/process/membership.h"
#include "net/h2_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <event2/listener.h>

namespace ebonyvale {

/// Supplies configuration versions to peers and applies those received from
/// them.
class version_exchange {
public:
  virtual ~version_exchange() = default;
  /// Returns an encoded `version_bundle` with what an instance at \p Version is
  /// missing.
  virtual std::string versionsSince(std::uint64_t Version) = 0;

  /// Applies the result of a peer's `versionsSince`.
  virtual void onVersions(std::string_view Bytes) = 0;
};

/// Owns the listener for peers and the links to them.
class peer_hub final : public peer_message_sender {
public:
  peer_hub(router_core &Core, version_exchange &Versions);
  ~peer_hub() override;

  /// Binds the configured address and starts to send heartbeats. Fails with
  /// `SettingsInvalid` when the address cannot be bound.
  std::optional<failure> listen();
  std::uint16_t port() const { return BoundPort; }

  /// Sets the instances that the platform lists and chooses the links among
  /// them. Links to all others are closed.
  void setMembers(const std::vector<member> &Members);

  /// Returns the entry of this instance for the platform's list.
  member self() const;

  /// Sends a heartbeat to every peer now, so that peers learn of a new version
  /// without waiting for the next tick.
  void sendHeartbeats();

  /// Queues a recorded refusal for replication to the backup peer. Refusals are
  /// sent in batches and again until a peer acknowledges them; a refusal that
  /// finds the queue full is not replicated.
  void replicateRefusal(const refusal &Refusal);

  /// Returns the refusals replicated here by peers that match \p Query.
  refusal_list findReplicatedRefusals(const refusal_query &Query) const;

  /// Returns the names of the peers whose links are alive, nearest first. A
  /// link is alive from the first heartbeat on it until its connection closes.
  std::vector<std::string> livePeers() const;

  /// Returns the bytes sent and received on all peer connections since the
  /// start.
  std::uint64_t peerTrafficBytes() const;

  // peer_message_sender
  void sendLendRequest(const std::string &Peer,
                       const lend_request &Request) override;
  void sendLendReturn(const std::string &Peer,
                      const lend_return &Return) override;
  void sendQuarantine(request_fingerprint Request) override;
  void sendHint(piece_hash FirstPiece, const std::string &Engine) override;

private:
  struct link {
    member Peer;
    std::shared_ptr<h2_connection> Connection;
    bool Alive = false;
    std::uint64_t Version = 0; ///< last reported configuration version
    instant LastHeartbeatAt;   ///< last heartbeat that the peer initiated
  };
  using response_handler = std::function<void(std::string_view)>;

  void onHeartbeatTimer();
  bool isHeartbeatRedundant(const link &Link, span_ns Interval) const;
  void sendHeartbeatTo(link &Link);
  void onHeartbeat(const std::string &Peer, std::string_view Bytes);
  void pullVersions(const std::string &Peer);
  void updateSharePeers();
  void flushRefusals();
  void flushHints();
  /// Returns the link to the peer that gets the refusals: the nearest one in
  /// another domain of this region, so that they survive the loss of the
  /// domain, else the nearest of all; null when no link is alive.
  link *chooseBackupPeer();
  /// Sends a request on \p Link, connecting it first if need be. \p OnResponse
  /// gets the response body, or an empty one after any failure.
  void send(link &Link, std::string_view Path, std::string Body,
            response_handler OnResponse);
  h2_response onRequest(const h2_request &Request);
  result<std::string> serve(const h2_request &Request);
  std::string authorization() const;
  heartbeat ownHeartbeat() const;
  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);

  router_core &Core;
  version_exchange &Versions;
  std::unique_ptr<evconnlistener, releaser<evconnlistener_free>> Listener;
  std::uint16_t BoundPort = 0;
  std::map<std::string, link> Links;
  std::vector<std::string> Order; ///< names of the links, nearest first
  std::vector<std::weak_ptr<h2_connection>> Accepted;
  std::uint64_t ClosedBytes = 0; ///< traffic of connections that have closed
  bool Pulling = false;          ///< a request for versions is in flight
  unsigned HeartbeatTicks = 0;
  std::vector<refusal> Unreplicated; ///< recorded here, not sent yet
  std::deque<refusal> Replicas;      ///< of peers' refusals, oldest first
  placement_hints Hints;             ///< not sent yet
  timer HeartbeatTimer;
  timer ReplicationTimer;
  timer HintTimer;
  /// False once the hub is destroyed; checked by callbacks of connections that
  /// may outlive it.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace ebonyvale

#endif

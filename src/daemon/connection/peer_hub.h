/// \file
/// Links to other instances: heartbeats, tokens, versions and refusals.
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

/// What the hub needs of the configuration.
class version_exchange {
public:
  virtual ~version_exchange() = default;
  /// What an instance at \p Version is missing.
  virtual std::string versionsSince(std::uint64_t Version) = 0;
  /// An answer of `versionsSince` from a peer.
  virtual void onVersions(std::string_view Bytes) = 0;
};

/// Owns the peer listener and all links.
class peer_hub final : public share_messenger {
public:
  peer_hub(router_core &Core, version_exchange &Versions);
  ~peer_hub() override;

  std::optional<failure> listen();
  std::uint16_t port() const { return BoundPort; }

  /// Takes the platform's list. Links to members that are gone are closed.
  void setMembers(const std::vector<member> &Members);

  /// This instance as a member.
  member self() const;

  /// Tells all peers the version in force, without waiting for the next beat.
  void announce();

  /// Sends newly recorded refusals to the peer that keeps copies.
  void copyRefusal(const refusal &Refusal);

  /// Refusals that peers have left here.
  refusal_copies copiesMatching(const refusal_query &Query) const;

  /// Peers that answered their last heartbeat.
  std::vector<std::string> livePeers() const;

  /// Bytes sent and received on all links since the start.
  std::uint64_t controlBytes() const;

  // share_messenger
  void sendAsk(const std::string &Peer, const share_ask &Ask) override;
  void sendReturn(const std::string &Peer, const share_return &Return) override;
  void sendQuarantine(request_fingerprint Request) override;
  void sendHint(piece_hash Front, const std::string &Engine) override;

private:
  struct link {
    member Peer;
    std::shared_ptr<h2_connection> Connection;
    bool Alive = false;
    std::uint64_t Version = 0;
    instant HeardAt; ///< when the peer last beat of its own accord
  };
  using answer_handler = std::function<void(std::string_view)>;

  void beat();
  bool beatsForBoth(const link &Link, span_ns Interval) const;
  void beatOne(link &Link);
  void onHeartbeat(const std::string &Peer, std::string_view Bytes);
  void pullVersions(const std::string &Peer);
  void updateSharePeers();
  void flushRefusals();
  void flushHints();
  link *copyKeeper();
  void send(link &Link, std::string_view Path, std::string Body,
            answer_handler OnAnswer);
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
  std::vector<std::string> Order; ///< of the links, nearest first
  std::vector<std::weak_ptr<h2_connection>> Accepted;
  std::uint64_t ClosedBytes = 0;
  bool Pulling = false;
  unsigned Beats = 0;
  std::vector<refusal> Uncopied;
  std::deque<refusal> Copies;
  placement_hints Hints; ///< not sent yet
  timer BeatTimer;
  timer CopyTimer;
  timer HintTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace ebonyvale

#endif

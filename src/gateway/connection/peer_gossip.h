/// \file
/// UDP messages between instances: upstream load, token loans, upstreams lost
/// while running a request, upstream pauses, new weights and changes of the
/// store.
#ifndef EBONYVALE_GATEWAY_CONNECTION_PEER_GOSSIP_H
#define EBONYVALE_GATEWAY_CONNECTION_PEER_GOSSIP_H

#include "decisions/process/gossip_schedule.h"
#include "decisions/process/hint_exchange.h"
#include "gateway/process/gateway_core.h"

#include <netinet/in.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Sends and receives peer messages over one UDP socket. Delivery is not
/// guaranteed, and nothing is resent on loss.
class peer_gossip final : public peer_messenger {
public:
  explicit peer_gossip(gateway_core &Core);
  ~peer_gossip() override;

  /// Binds the socket to the peer endpoint and starts the periodic load
  /// messages. Fails with `SettingsInvalid` when the endpoint cannot be bound.
  std::optional<failure> listen();

  // peer_messenger
  void sendLendRequest(const std::string &Peer,
                       const lend_request &Request) override;
  void sendLendReturn(const std::string &Peer,
                      const lend_return &Return) override;
  void sendLoss(request_fingerprint Request, lost_process Upstream,
                std::span<const segment_loss> Losses) override;
  void sendEnded(const lost_process &Upstream) override;
  void sendSound(std::optional<request_fingerprint> Request,
                 std::span<const segment_id> Segments) override;
  void sendPause(const std::string &Upstream, span_ns For) override;
  void sendChangePoll(const std::string &Peer,
                      const change_poll &Poll) override;
  void sendChanges(const std::string &Peer,
                   const change_response &Response) override;
  void sendWeights(const std::string &Upstream, const std::string &Model,
                   std::int64_t Version) override;
  void sendLimit(const named_limit &Limit) override;
  void sendOrigins(const std::string &Peer, std::string_view Origins) override;
  void sendOriginQuestion(const std::string &Peer,
                          std::uint64_t Stream) override;
  void sendOriginAnswer(std::uint64_t Stream,
                        std::optional<std::string_view> Software) override;
  void sendHistoryQuestion(const std::string &Peer, std::uint64_t Number,
                           std::uint64_t Version) override;
  void sendHistoryAnswer(std::uint64_t Number,
                         const stream_history &Known) override;
  void sendBrittleRefusal(const brittle_refusal &Refusal) override;
  void sendLeaving(const upstream_process &Upstream) override;
  void sendRelease(std::span<const std::string_view> Peers,
                   const release_message &Message) override;

private:
  /// Sends \p Message to the sender of the one that is being handled.
  void reply(const nlohmann::json &Message);
  static void onReadable(evutil_socket_t, short, void *Self);
  void onDatagram(std::string_view Bytes);
  void onOtherVersion(const nlohmann::json &Message);
  void handleMessage(const std::string &From, const nlohmann::json &Message);
  void handleHints(const std::string &From, const nlohmann::json &Message);
  /// Handles a message on origins of streams. Returns whether \p Kind is one.
  bool handleOrigins(const std::string &From, std::string_view Kind,
                     const nlohmann::json &Message);
  void handleLimits(const nlohmann::json &Listed, instant Now);
  void handleLeaving(const nlohmann::json &Listed, instant Now);
  void handleQuarantined(const std::string &From, const nlohmann::json &Listed);
  void sendLoad();
  /// Adds what has been learned of costs.
  void addCosts(nlohmann::json &Message);
  /// Sends the hints of the failure domain to other domains, if this instance
  /// is the one that does.
  void sendDomainHints();
  std::vector<std::uint8_t> encode(nlohmann::json Message) const;
  void sendBytes(const instance_endpoint &Peer,
                 std::span<const std::uint8_t> Bytes);
  void sendTo(const std::string &Peer, const nlohmann::json &Message);
  void sendToAll(const nlohmann::json &Message);

  gateway_core &Core;
  evutil_socket_t Socket = -1;
  sockaddr_in Sender{}; ///< of the message that is being handled
  event_ptr Readable;
  timer LoadTimer;
  gossip_schedule Schedule;
  hint_exchange Hints;
  std::size_t Round = 0; ///< of load messages
  bool IdleSent = false; ///< the last load message listed no load
  /// Versions of peers whose messages are dropped, by name.
  std::map<std::string, std::string, std::less<>> OtherVersions;
};

} // namespace ebonyvale

#endif

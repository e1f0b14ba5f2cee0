/// \file
/// Follows the store through a peer, and answers the polls of peers that follow
/// this instance.
#ifndef EBONYVALE_GATEWAY_PROCESS_CHANGE_RELAY_H
#define EBONYVALE_GATEWAY_PROCESS_CHANGE_RELAY_H

#include "decisions/process/change_log.h"
#include "decisions/process/change_source.h"
#include "gateway/process/change_exchange.h"
#include "gateway/process/gateway_core.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace ebonyvale {

/// State of the store that a relay passes on, and that it updates from peers.
class change_receiver {
public:
  virtual ~change_receiver() = default;
  /// Returns the operators' documents that were handled, with the values of
  /// those that are newer than in \p Known.
  virtual std::vector<operator_document>
  operatorDocuments(std::span<const operator_document> Known) const = 0;
  /// Returns the keys and revisions of the operators' documents.
  virtual std::vector<operator_document> operatorRevisions() const = 0;
  /// Handles the response of \p Peer, which is followed. It has read the
  /// operators' documents at \p ReadAt or later.
  virtual void onRelayed(const std::string &Peer,
                         const change_response &Response, instant ReadAt) = 0;
  /// A poll was lost, or the peer is out of date.
  virtual void onPollFailed() = 0;
};

/// Polls at most one peer at a time.
class change_relay final : public change_exchange {
public:
  change_relay(gateway_core &Core, change_receiver &Receiver);
  ~change_relay() override;

  /// The changes that this instance has received, from the store or a peer.
  change_log &log() { return Log; }

  /// Returns whether this instance follows a peer and not the store.
  bool followsPeer(instant Now);

  /// Polls the followed peer for the changes after \p Revision. The receiver is
  /// called once with the outcome. Returns false if there is no such peer.
  bool poll(std::int64_t Revision);

  // change_exchange
  void onChangePoll(const std::string &From, const change_poll &Poll) override;
  void onChangeResponse(const std::string &From,
                        const change_response &Response) override;

private:
  /// Returns the versions of weights that peers should know, with their ages.
  std::vector<announced_age> announcedAges(instant Now) const;
  void updatePeers();

  gateway_core &Core;
  change_receiver &Receiver;
  change_log Log;
  change_source Source;
  std::uint64_t PeersGeneration = 0;
  std::string Followed; ///< empty: the store
  timer ResponseTimer;
};

} // namespace ebonyvale

#endif

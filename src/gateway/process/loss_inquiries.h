/// \file
/// Finds out which unexplained losses were crashes of their upstreams.
#ifndef EBONYVALE_GATEWAY_PROCESS_LOSS_INQUIRIES_H
#define EBONYVALE_GATEWAY_PROCESS_LOSS_INQUIRIES_H

#include "decisions/process/unexplained_losses.h"
#include "net/timer.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>

namespace ebonyvale {

class gateway_core;

/// Asks the processes whether they have outlived the losses. The callers of the
/// lost requests do not wait for that.
class loss_inquiries {
public:
  explicit loss_inquiries(gateway_core &Core);
  ~loss_inquiries();
  loss_inquiries(const loss_inquiries &) = delete;
  loss_inquiries &operator=(const loss_inquiries &) = delete;

  /// Asks the process of \p Loss. If it has ended, the loss of an own request
  /// is reported, and the peers are told of one of theirs.
  void ask(unexplained_loss Loss);

  /// Keeps \p Loss, of a request that a peer has passed on, until the peer
  /// tells that the process has ended.
  void awaitPeer(unexplained_loss Loss);

  /// Tells the peers that \p Process has ended within the response to a request
  /// of one of them.
  void tellPeers(const upstream_process &Process);

  /// A peer has found out that \p Process has ended.
  void onPeerEnded(const lost_process &Process, instant Now);

  /// \p Request has run to a complete response.
  void onCompleted(request_fingerprint Request) { Losses.onCompleted(Request); }

private:
  class inquiry;
  struct ended_process {
    lost_process Process;
    instant At; ///< when the peer told
  };

  std::uint64_t add(unexplained_loss Loss);
  void onJudged(std::uint64_t Number, bool HasEnded);
  void report(const unexplained_loss &Loss, instant Now);
  /// Reports the losses of own requests at \p Process.
  void reportAll(const lost_process &Process, instant Now);
  void expire();

  gateway_core &Core;
  unexplained_losses Losses;
  std::map<std::uint64_t, std::shared_ptr<inquiry>> Open; ///< by loss
  /// Processes of which peers have told lately: a message may arrive before the
  /// loss is noticed.
  std::deque<ended_process> Ended;
  timer ExpiryTimer;
};

} // namespace ebonyvale

#endif

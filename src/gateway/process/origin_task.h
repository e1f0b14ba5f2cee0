/// \file
/// Tells peers which software version began a stream, and asks them.
#ifndef EBONYVALE_GATEWAY_PROCESS_ORIGIN_TASK_H
#define EBONYVALE_GATEWAY_PROCESS_ORIGIN_TASK_H

#include "decisions/process/crash_tracker.h"
#include "decisions/process/origin_lookup.h"
#include "decisions/process/stream_origins.h"
#include "decisions/process/upstream_directory.h"
#include "net/timer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

class gateway_core;
struct stream_history;

/// The service and the software version of the upstream that began a stream.
struct stream_writer {
  std::string Service;
  std::string Software;
};

/// Receives the outcome of a question for the origin of a stream.
class origin_waiter {
public:
  virtual ~origin_waiter() = default;
  /// \p Known has begun the stream; nothing if neither this instance nor a peer
  /// that answered knows it. Its version is `UnknownSoftware` if they only know
  /// that the stream has begun.
  virtual void onOrigin(const std::optional<stream_writer> &Known) = 0;
};

/// Carries out what `stream_origins` and `origin_lookup` decide.
class origin_task {
public:
  explicit origin_task(gateway_core &Core);
  ~origin_task();

  void start();

  /// Records that this instance has passed on the first event of the stream
  /// that the request \p RequestId began at \p Writer.
  void onBegun(std::string_view RequestId, const stream_writer &Writer);

  /// As `onBegun`, but \p Process may have been replaced under its entry. The
  /// record names no version until the entry is confirmed; the result is true
  /// from then on. A second record is found by \p Request, which callers repeat
  /// that resume a stream without naming it.
  std::shared_ptr<const bool>
  onBegunUnconfirmed(std::string_view RequestId, request_fingerprint Request,
                     const stream_writer &Writer,
                     const upstream_process &Process, instant OpenedAt);
  /// Records the streams of connections to \p Running that were opened by
  /// \p At, when that process was running.
  void recordConfirmed(const upstream_process &Running, instant At);

  /// Finds out what began the stream of \p RequestId. \p Waiter is called once,
  /// possibly before the function returns, unless it has been destroyed.
  void find(std::string_view RequestId,
            const std::weak_ptr<origin_waiter> &Waiter);

  /// As `find`, for a stream that \p Request began and its caller does not
  /// name. Of such streams only those are known that began at an unconfirmed
  /// process.
  void findUnnamed(request_fingerprint Request,
                   const std::weak_ptr<origin_waiter> &Waiter);

  /// Records that the stream of \p RequestId, which \p Writer began, goes on.
  void onResumed(std::string_view RequestId, const stream_writer &Writer) {
    onBegun(RequestId, Writer);
  }

  /// Handles the answer of a peer to the question \p Number what can have begun
  /// streams.
  void onPeerHistory(std::uint64_t Number, const stream_history &Known);

  /// Handles the records that the peer \p From has sent.
  void onPeerRecords(std::string_view From, std::string_view Text);
  /// Handles a question of a peer.
  void onPeerQuestion(std::uint64_t Stream);
  /// Handles the answer of the peer \p From.
  void onPeerAnswer(std::string_view From, std::uint64_t Stream,
                    std::optional<std::string_view> Software);

private:
  struct pending_lookup {
    origin_lookup Lookup;
    std::vector<std::weak_ptr<origin_waiter>> Waiters;
  };
  struct unconfirmed_stream {
    std::string RequestId;
    std::string UnnamedId; ///< see `unnamedId`
    stream_writer Writer;
    upstream_process Process;
    instant BegunAt;
    instant OpenedAt; ///< its connection
    std::shared_ptr<bool> IsConfirmed;
  };
  using lookup_map = std::map<std::uint64_t, pending_lookup>;

  void armSendTimer();
  void sendRecords();
  /// Asks peers, or ends the lookup. Returns the next lookup.
  lookup_map::iterator advance(lookup_map::iterator Lookup, instant Now);
  void onLookupTimer();
  void armLookupTimer(instant Now);
  void record(std::string_view RequestId, const stream_writer &Writer);
  /// Records \p Stream, which has been confirmed.
  void recordOf(const unconfirmed_stream &Stream);
  /// Asks the upstreams of streams without a record again. Records the streams
  /// whose upstreams the store has confirmed, and drops those whose process
  /// will not become known.
  void settleUnconfirmed(instant Now);
  void onTick();
  /// Asks some peers what can have begun streams, if this instance does not
  /// know.
  void askForHistory(instant Now);
  /// Passes the instances on after a change of them.
  void updateMembers(instant Now);
  void logConflict(std::uint64_t Stream, std::string_view Software);

  gateway_core &Core;
  stream_origins Origins;
  std::vector<unconfirmed_stream> Unconfirmed; ///< the oldest first
  lookup_map Lookups;                          ///< by stream
  std::uint64_t MembersGeneration = 0;         ///< of the roster
  std::size_t NextPeer = 0;                    ///< to ask for its history
  std::uint64_t HistoryNumber = 0;             ///< of the last question
  instant HistoryAskedAt;
  bool SendArmed = false;
  timer SendTimer;
  timer LookupTimer;
  timer TickTimer;
};

} // namespace ebonyvale

#endif

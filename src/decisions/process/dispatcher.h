/// \file
/// Dispatches admitted requests to upstreams: chooses an upstream, queues
/// requests fairly while it is busy, and moves its queue to other upstreams
/// when it becomes unusable.
#ifndef EBONYVALE_DECISIONS_PROCESS_DISPATCHER_H
#define EBONYVALE_DECISIONS_PROCESS_DISPATCHER_H

#include "common/error_kind.h"
#include "decisions/process/engine_table.h"
#include "decisions/process/fair_queue.h"
#include "decisions/process/placement.h"
#include "decisions/process/prefix_index.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace ebonyvale {

/// A request to be run on one of several upstreams.
struct dispatch_request {
  std::uint64_t Number = 0;
  std::string Team;
  std::int64_t Weight = 1;
  double Tokens = 0; ///< size, for fair queueing
  service_class Class = service_class::Interactive;
  piece_chain Chain;
  double PieceMs = 0; ///< time to prefill one piece
  std::vector<engine_id> Candidates;
  std::vector<engine_id> Failed; ///< tried before; retried as a last resort
  bool Suspected = false; ///< must not share an upstream with another suspect
  instant Deadline;
};

/// Tells the owner of the dispatcher to send the request now.
struct dispatch_start {
  std::uint64_t Number;
  engine_id Engine;
  std::size_t ExpectedPieces; ///< leading pieces expected in the cache
  span_ns ExpectedAge;        ///< since the last of them was used
};

/// Tells the owner to refuse the request.
struct dispatch_refuse {
  std::uint64_t Number;
  error_kind Kind;
  span_ns RetryAfter;
};

/// Tells the owner to announce to peers that a prefix with no known holder was
/// placed, so that they do not place it on another engine.
struct dispatch_hint {
  piece_hash FirstPiece; ///< first piece of the prefix
  engine_id Engine;
};

using dispatch_action =
    std::variant<dispatch_start, dispatch_refuse, dispatch_hint>;
using dispatch_actions = std::vector<dispatch_action>;

/// Limits of the queues and the prefix index.
struct dispatch_options {
  std::size_t MaxQueued = 1000; ///< requests queued for one upstream
  std::size_t MaxIndexEntries = 400'000;
};

/// Dispatches requests to upstreams and tracks which of them are running.
class dispatcher {
public:
  dispatcher(dispatch_options Options, engine_table &Engines,
             std::unique_ptr<placement_policy> Policy)
      : Options(Options), Engines(Engines), Policy(std::move(Policy)),
        Index(Options.MaxIndexEntries) {}

  /// Starts, queues or refuses a request.
  dispatch_actions submit(dispatch_request Request, instant Now);

  /// Records that a started request has ended after using \p Tokens, and starts
  /// requests that waited for it.
  dispatch_actions onEnded(std::uint64_t Number, double Tokens, instant Now);

  /// Moves the queue of an upstream that has become unusable to other
  /// upstreams, or refuses its requests if there is none.
  dispatch_actions onUnusable(engine_id Engine, instant Now);

  /// Removes a request that has not been started; does nothing for others.
  void withdraw(std::uint64_t Number);

  /// Records the cache usage that a response reported: \p Cached leading pieces
  /// of the prompt were found, where \p Start expected its `ExpectedPieces`.
  void onUsage(const dispatch_start &Start, std::size_t Cached);

  /// Records that a peer has placed a prefix with no known holder on \p Engine.
  void onPeerHint(piece_hash FirstPiece, engine_id Engine, instant Now);

  /// Returns the number of waiting requests, over all upstreams.
  std::size_t queued() const { return Waiting.size(); }

  const prefix_index &index() const { return Index; }

private:
  struct engine_queue {
    fair_queue Queue;
    double ServedTokens = 0; ///< decayed sums that yield the drain rate
    double ServedSeconds = 0;
    instant LastEnded;
    unsigned SuspectsRunning = 0;
  };
  struct running_request {
    engine_id Engine;
    bool Suspected;
  };

  std::vector<engine_id> usable(const dispatch_request &Request,
                                instant Now) const;
  void place(dispatch_request Request, instant Now, dispatch_actions &Actions);
  void enqueue(dispatch_request Request, engine_id Engine, instant Now,
               dispatch_actions &Actions);
  void start(const dispatch_request &Request, const placement_choice &Choice,
             instant Now, dispatch_actions &Actions);
  void startQueued(engine_id Engine, instant Now, dispatch_actions &Actions);
  void retrySuspects(instant Now, dispatch_actions &Actions);
  engine_queue &queueOf(engine_id Engine);

  dispatch_options Options;
  engine_table &Engines;
  std::unique_ptr<placement_policy> Policy;
  prefix_index Index;
  std::vector<engine_queue> Queues; ///< by engine id
  std::unordered_map<std::uint64_t, dispatch_request> Waiting;
  std::unordered_map<std::uint64_t, running_request> Running;
  /// Suspected requests that wait for an upstream without another suspect.
  std::vector<std::uint64_t> DeferredSuspects;
};

} // namespace ebonyvale

#endif

/// \file
/// Gives admitted requests to upstreams: placement, the fair queues before
/// busy upstreams, and what happens to a queue when its upstream is lost.
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

/// A request that is to run on one of several upstreams.
struct dispatch_request {
  std::uint64_t Number = 0;
  std::string Team;
  std::int64_t Weight = 1;
  double Tokens = 0;
  service_class Class = service_class::Interactive;
  piece_chain Chain;
  double PieceMs = 0;
  std::vector<engine_id> Candidates;
  std::vector<engine_id> Failed; ///< tried before; used again as a last resort
  bool Suspected = false; ///< must not run beside another suspected request
  instant Deadline;
};

/// Send the request now.
struct dispatch_start {
  std::uint64_t Number;
  engine_id Engine;
  std::size_t ExpectedPieces;
  span_ns ExpectedAge;
};

/// The request cannot run.
struct dispatch_refuse {
  std::uint64_t Number;
  error_kind Kind;
  span_ns RetryAfter;
};

/// A prefix was placed where nobody is known to have it: peers should hear of
/// it, so that they do not place it somewhere else.
struct dispatch_hint {
  piece_hash Front; ///< first piece of the prefix
  engine_id Engine;
};

using dispatch_action =
    std::variant<dispatch_start, dispatch_refuse, dispatch_hint>;
using dispatch_actions = std::vector<dispatch_action>;

/// Bounds of the queues.
struct dispatch_rules {
  std::size_t MaxQueued = 1000; ///< before one upstream
  std::size_t MaxIndexEntries = 400'000;
};

/// Dispatches the requests of one process.
class dispatcher {
public:
  dispatcher(dispatch_rules Rules, engine_table &Engines,
             std::unique_ptr<placement_policy> Policy)
      : Rules(Rules), Engines(Engines), Policy(std::move(Policy)),
        Index(Rules.MaxIndexEntries) {}

  /// Starts, queues or refuses a request.
  dispatch_actions submit(dispatch_request Request, instant Now);

  /// A started request has ended; \p Tokens is what it used.
  dispatch_actions onEnded(std::uint64_t Number, double Tokens, instant Now);

  /// An upstream gets no more work for now; its queue goes elsewhere.
  dispatch_actions onUnusable(engine_id Engine, instant Now);

  /// Forgets a request that has not been started.
  void withdraw(std::uint64_t Number);

  /// What an answer said of the cache: of the pieces of \p Chain, \p Cached
  /// were found where \p Start expected them.
  void onUsage(const dispatch_start &Start, std::size_t Cached);

  /// A peer has placed a prefix that nobody was known to have.
  void onPeerHint(piece_hash Front, engine_id Engine, instant Now);

  /// Requests that wait before all upstreams.
  std::size_t queued() const { return Waiting.size(); }

  const prefix_index &index() const { return Index; }

private:
  struct engine_queue {
    fair_queue Queue;
    double ServedTokens = 0; ///< decayed sums behind the drain rate
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

  dispatch_rules Rules;
  engine_table &Engines;
  std::unique_ptr<placement_policy> Policy;
  prefix_index Index;
  std::vector<engine_queue> Queues; ///< by engine id
  std::unordered_map<std::uint64_t, dispatch_request> Waiting;
  std::unordered_map<std::uint64_t, running_request> Running;
  std::vector<std::uint64_t> HeldSuspects; ///< wait for an upstream alone
};

} // namespace ebonyvale

#endif

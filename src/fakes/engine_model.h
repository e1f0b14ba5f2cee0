/// \file
/// Simulates a language-model engine on virtual time: continuous batching, an
/// LRU block cache of bounded size, and a prefill cost per uncached piece.
#ifndef EBONYVALE_FAKES_ENGINE_MODEL_H
#define EBONYVALE_FAKES_ENGINE_MODEL_H

#include "common/instant.h"
#include "decisions/request/prompt_pieces.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace ebonyvale {

/// Speed and capacity of a simulated engine.
struct engine_speed {
  double StepMs = 5;   ///< per decode step: one token per running request
  double PieceMs = 20; ///< prefill time per uncached piece
  std::size_t CachePieces = 512; ///< capacity of the block cache, in pieces
  std::size_t MaxRunning = 64;   ///< largest decode batch, in requests
};

/// A request as the simulated engine runs it.
struct engine_job {
  std::uint64_t Number = 0;     ///< identifies the request to its engine
  piece_chain Chain;            ///< the prompt
  std::uint64_t TextSeed = 0;   ///< determines the generated text
  std::int64_t Tokens = 0;      ///< length of the complete response
  std::int64_t ResumeAfter = 0; ///< generation starts after this token
  bool Urgent = true; ///< prefilled before requests that are not urgent
};

/// A generated token.
struct engine_token {
  std::uint64_t Number = 0;  ///< of the `engine_job`
  std::int64_t Sequence = 0; ///< position in the complete response, from 1
  std::string Text;
  bool Last = false;
};

/// A block cache with LRU eviction.
class block_cache {
public:
  explicit block_cache(std::size_t MaxPieces) : MaxPieces(MaxPieces) {}

  /// Returns the number of leading pieces of \p Chain that are cached.
  std::size_t leadingHits(const piece_chain &Chain) const;

  /// Inserts all pieces of \p Chain, or marks them as recently used, and
  /// returns the pieces evicted.
  std::vector<piece_hash> store(const piece_chain &Chain);

  void clear();

private:
  std::size_t MaxPieces;
  std::list<piece_hash> LruOrder; ///< most recently used first
  std::unordered_map<piece_hash, std::list<piece_hash>::iterator> Positions;
};

/// A simulated engine. It reads no clock: `advance` moves its time forward.
class engine_model {
public:
  explicit engine_model(engine_speed Speed)
      : Speed(Speed), Cache(Speed.CachePieces) {}

  /// Queues \p Job for prefill and returns the number of its leading pieces
  /// that were cached.
  std::size_t submit(const engine_job &Job, instant Now);

  /// Drops the request \p Number, whose client has disconnected.
  void cancel(std::uint64_t Number);

  /// Runs all steps that are due by \p Now and returns the generated tokens in
  /// order.
  std::vector<engine_token> advance(instant Now);

  /// Returns the prefill backlog, in ms.
  double queuedMs() const;
  /// Returns the number of requests in prefill or decoding.
  std::size_t running() const { return Running.size() + PrefillQueue.size(); }
  bool idle() const { return Running.empty() && PrefillQueue.empty(); }

  /// Drops all requests and the cache, as a crash does.
  void reset();

private:
  struct queued_job {
    engine_job Job;
    double RemainingMs = 0;
  };
  struct running_job {
    engine_job Job;
    std::int64_t NextSequence = 1; ///< of the next token
  };

  /// Spends \p Ms on the prefill queue.
  void prefill(double Ms);
  static std::string tokenText(std::uint64_t Seed, std::int64_t Sequence);

  engine_speed Speed;
  block_cache Cache;
  std::deque<queued_job> PrefillQueue;
  std::vector<running_job> Running;
  instant LastStep;
};

} // namespace ebonyvale

#endif

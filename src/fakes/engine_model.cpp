#include "fakes/engine_model.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {

std::size_t block_cache::leadingHits(const piece_chain &Chain) const {
  const auto Miss = std::ranges::find_if(
      Chain, [this](piece_hash Piece) { return !Positions.contains(Piece); });
  return static_cast<std::size_t>(Miss - Chain.begin());
}

std::vector<piece_hash> block_cache::store(const piece_chain &Chain) {
  // Stored in reverse, so that the first piece is the most recently used and
  // the last piece is evicted first: a piece is only usable if all pieces
  // before it are cached.
  for (auto Piece = Chain.rbegin(); Piece != Chain.rend(); ++Piece) {
    const auto Found = Positions.find(*Piece);
    if (Found != Positions.end())
      LruOrder.erase(Found->second);
    LruOrder.push_front(*Piece);
    Positions[*Piece] = LruOrder.begin();
  }
  std::vector<piece_hash> Evicted;
  while (LruOrder.size() > MaxPieces) {
    Evicted.push_back(LruOrder.back());
    Positions.erase(LruOrder.back());
    LruOrder.pop_back();
  }
  return Evicted;
}

void block_cache::clear() {
  LruOrder.clear();
  Positions.clear();
}

std::size_t engine_model::submit(const engine_job &Job, instant Now) {
  if (idle())
    LastStep = Now;
  const std::size_t Cached = Cache.leadingHits(Job.Chain);
  const double PrefillMs =
      static_cast<double>(Job.Chain.size() - Cached) * Speed.PieceMs;
  Cache.store(Job.Chain);
  auto Position = PrefillQueue.end();
  if (Job.Urgent)
    Position = std::ranges::find_if(PrefillQueue, [](const queued_job &Queued) {
      return !Queued.Job.Urgent;
    });
  PrefillQueue.insert(Position, {Job, PrefillMs});
  return Cached;
}

void engine_model::cancel(std::uint64_t Number) {
  std::erase_if(PrefillQueue, [Number](const queued_job &Queued) {
    return Queued.Job.Number == Number;
  });
  std::erase_if(Running, [Number](const running_job &Entry) {
    return Entry.Job.Number == Number;
  });
}

std::vector<engine_token> engine_model::advance(instant Now) {
  std::vector<engine_token> Tokens;
  constexpr double MsPerSecond = 1000;
  const span_ns Step = fromSeconds(Speed.StepMs / MsPerSecond);
  while (Now - LastStep >= Step) {
    LastStep += Step;
    prefill(Speed.StepMs);
    for (running_job &Entry : Running) {
      const bool Last = Entry.NextSequence >= Entry.Job.Tokens;
      Tokens.push_back({Entry.Job.Number, Entry.NextSequence,
                        tokenText(Entry.Job.TextSeed, Entry.NextSequence),
                        Last});
      ++Entry.NextSequence;
    }
    std::erase_if(Running, [](const running_job &Entry) {
      return Entry.NextSequence > Entry.Job.Tokens;
    });
    if (idle())
      break;
  }
  return Tokens;
}

void engine_model::prefill(double Ms) {
  while (!PrefillQueue.empty() && Running.size() < Speed.MaxRunning) {
    queued_job &Front = PrefillQueue.front();
    if (Front.RemainingMs > Ms) {
      Front.RemainingMs -= Ms;
      return;
    }
    Ms -= Front.RemainingMs;
    Running.push_back({Front.Job, Front.Job.ResumeAfter + 1});
    PrefillQueue.pop_front();
  }
}

double engine_model::queuedMs() const {
  double Sum = 0;
  for (const queued_job &Queued : PrefillQueue)
    Sum += Queued.RemainingMs;
  return Sum;
}

void engine_model::reset() {
  Cache.clear();
  PrefillQueue.clear();
  Running.clear();
}

std::string engine_model::tokenText(std::uint64_t Seed, std::int64_t Sequence) {
  constexpr std::uint64_t Vocabulary = 10000;
  const std::uint64_t Word =
      XXH3_64bits_withSeed(&Sequence, sizeof(Sequence), Seed) % Vocabulary;
  return fmt::format("w{} ", Word);
}

} // namespace ebonyvale

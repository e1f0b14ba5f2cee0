#include "decisions/process/placement.h"

#include <algorithm>
#include <limits>
#include <random>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Fractions of the pieces that the first and second engine in rendezvous order
/// are assumed to hold if no holder is known: other instances choose by the
/// same order.
constexpr double FirstRankPrior = 0.5;
constexpr double SecondRankPrior = 0.25;

/// Fraction of the pieces that an engine holding the first one is assumed to
/// hold.
constexpr double HolderPrior = 0.75;

/// Cost of recomputing a piece relative to waiting as long: it also delays the
/// requests queued behind this one and evicts other pieces.
constexpr double RecomputeWeight = 4;

/// Delay that each running request adds to a new one.
constexpr double DelayPerRunningMs = 0.5;

/// Cost of an engine outside the instance's failure domain.
constexpr double SameRegionMs = 1;
constexpr double OtherRegionMs = 40;

double distanceMs(nearness Nearness) {
  switch (Nearness) {
  case nearness::SameDomain:
    return 0;
  case nearness::SameRegion:
    return SameRegionMs;
  case nearness::OtherRegion:
    break;
  }
  return OtherRegionMs;
}

double loadMs(const engine_state &Engine, instant Now) {
  const double Running = std::max<double>(Engine.Report.Running,
                                          static_cast<double>(Engine.InFlight));
  return Engine.backlogMs(Now) + Running * DelayPerRunningMs +
         distanceMs(Engine.Nearness);
}

/// Returns the rendezvous weight. Hashes the name because ids differ between
/// processes.
std::uint64_t rendezvousWeight(piece_hash Key, const engine_state &Engine) {
  return XXH3_64bits_withSeed(Engine.Name.data(), Engine.Name.size(), Key);
}

/// First and second engine in the rendezvous order of a key.
struct rendezvous_order {
  engine_id First = std::numeric_limits<engine_id>::max();
  engine_id Second = std::numeric_limits<engine_id>::max();
};

rendezvous_order rendezvous(piece_hash Key, const placement_query &Query,
                            const engine_table &Engines) {
  rendezvous_order Order;
  std::uint64_t FirstWeight = 0;
  std::uint64_t SecondWeight = 0;
  for (const engine_id Id : Query.Candidates) {
    const std::uint64_t Weight = rendezvousWeight(Key, Engines.at(Id));
    if (Weight >= FirstWeight) {
      Order.Second = std::exchange(Order.First, Id);
      SecondWeight = std::exchange(FirstWeight, Weight);
    } else if (Weight >= SecondWeight) {
      Order.Second = Id;
      SecondWeight = Weight;
    }
  }
  return Order;
}

placement_choice choiceOf(engine_id Engine) {
  placement_choice Choice;
  Choice.Engine = Engine;
  return Choice;
}

class prefix_policy final : public placement_policy {
public:
  placement_choice choose(const placement_query &Query,
                          const engine_table &Engines,
                          const prefix_index &Index, instant Now) override {
    const rendezvous_order Order =
        Query.Chain.empty() ? rendezvous_order{}
                            : rendezvous(Query.Chain.front(), Query, Engines);
    placement_choice Best;
    Best.CostMs = std::numeric_limits<double>::infinity();
    for (const engine_id Id : Query.Candidates) {
      const engine_state &Engine = Engines.at(Id);
      placement_choice Choice = expectedPieces(Query.Chain, Engine, Index, Now);
      Choice.CostMs = costMs(Query, Choice, Order) + loadMs(Engine, Now);
      if (Choice.CostMs < Best.CostMs)
        Best = Choice;
    }
    return Best;
  }

private:
  static double costMs(const placement_query &Query,
                       const placement_choice &Choice,
                       const rendezvous_order &Order) {
    const auto Pieces = static_cast<double>(Query.Chain.size());
    double Prior = 0;
    // An engine that holds the first piece probably holds most of the rest,
    // since other instances also send the prefix there.
    if (Choice.ExpectedPieces > 0)
      Prior = HolderPrior;
    else if (Choice.Engine == Order.First)
      Prior = FirstRankPrior;
    else if (Choice.Engine == Order.Second)
      Prior = SecondRankPrior;
    const double Held =
        std::max(static_cast<double>(Choice.ExpectedPieces), Prior * Pieces);
    return (Pieces - Held) * Query.PieceMs * RecomputeWeight;
  }
};

class random_policy final : public placement_policy {
public:
  explicit random_policy(std::uint64_t Seed) : Generator(Seed) {}

  placement_choice choose(const placement_query &Query, const engine_table &,
                          const prefix_index &, instant) override {
    std::uniform_int_distribution<std::size_t> Distribution(
        0, Query.Candidates.size() - 1);
    return choiceOf(Query.Candidates[Distribution(Generator)]);
  }

private:
  std::mt19937_64 Generator;
};

class least_loaded_policy final : public placement_policy {
public:
  placement_choice choose(const placement_query &Query,
                          const engine_table &Engines, const prefix_index &,
                          instant Now) override {
    const auto Least = std::ranges::min_element(
        Query.Candidates, {},
        [&Engines, Now](engine_id Id) { return loadMs(Engines.at(Id), Now); });
    return choiceOf(*Least);
  }
};

class consistent_hash_policy final : public placement_policy {
public:
  placement_choice choose(const placement_query &Query,
                          const engine_table &Engines, const prefix_index &,
                          instant) override {
    const piece_hash Key = Query.Chain.empty() ? 0 : Query.Chain.front();
    return choiceOf(rendezvous(Key, Query, Engines).First);
  }
};

} // namespace

placement_choice expectedPieces(std::span<const piece_hash> Chain,
                                const engine_state &Engine,
                                const prefix_index &Index, instant Now) {
  placement_choice Choice = choiceOf(Engine.Id);
  for (const piece_hash Piece : Chain) {
    const auto Holders = Index.holders(Piece);
    const auto Found =
        std::ranges::find(Holders, Engine.epoch(), &piece_holder::Engine);
    if (Found == Holders.end() || Now - Found->Touched > Engine.Residence)
      break;
    ++Choice.ExpectedPieces;
    Choice.ExpectedAge = Now - Found->Touched;
  }
  return Choice;
}

std::unique_ptr<placement_policy> makePlacementPolicy(std::string_view Name,
                                                      std::uint64_t Seed) {
  if (Name == "prefix")
    return std::make_unique<prefix_policy>();
  if (Name == "random")
    return std::make_unique<random_policy>(Seed);
  if (Name == "least_loaded")
    return std::make_unique<least_loaded_policy>();
  if (Name == "consistent_hash")
    return std::make_unique<consistent_hash_policy>();
  return nullptr;
}

} // namespace ebonyvale

/// \file
/// Simulates requests with shared prompt segments, instances and engines on
/// virtual time. The model of an engine is independent of the schedulers'
/// estimates: prompts are prefilled one after another, cached segments are
/// evicted by LRU, and running requests pin their segments.
#ifndef EBONYVALE_TESTS_DECISIONS_PROCESS_FLEET_SIMULATION_H
#define EBONYVALE_TESTS_DECISIONS_PROCESS_FLEET_SIMULATION_H

#include "decisions/process/upstream_scheduler.h"

#include <cstdint>
#include <vector>

namespace ebonyvale {

/// Policy that chooses the engine of a request.
enum class simulation_policy {
  Scheduler,
  RoundRobin,
  LeastLoaded,   ///< shortest prefill queue, which no instance can know exactly
  PlainAffinity, ///< by hash of the document, whatever the load
  Oracle ///< earliest end, by the exact costs and speeds of all requests
};

/// Parameters of the fleet and of the requests sent to it.
struct simulated_load {
  std::size_t Instances = 8;
  std::size_t Engines = 9;
  double PerSecond = 34; ///< prompts per second, over the whole fleet
  span_ns Length = std::chrono::seconds(30);
  std::size_t Documents = 200;
  std::size_t DocumentGroups = 4; ///< each with a common first segment
  double HotFraction = 0; ///< fraction of the requests that use one document
  /// Time between two load reports of an instance.
  span_ns GossipInterval = std::chrono::milliseconds(80);
  std::size_t GossipPeers = 1000; ///< peers that get one load report
  std::size_t Slots = 64;         ///< requests that an engine runs at a time
  std::size_t EnginesDown = 0;    ///< unresponsive after a third of `Length`
  /// After a third of `Length`, new weights are rolled out to the engines in
  /// five batches of one second each. They empty the cache of an engine.
  bool NewWeights = false;
  std::uint32_t Seed = 1;
  schedule_options SchedulerOptions;
  bool IsPlain = false;        ///< upstreams without models, prompts or chunks
  double ServiceMs = 160;      ///< after the first token, or of a plain request
  double OwnTokens = 2890;     ///< of a prompt's last segment
  double LongTokensFactor = 1; ///< of `OwnTokens`, for half of the prompts
  double PrefillTokensPerMs = 81.9; ///< of an engine
  double FirstTokenMs = 41;         ///< of an empty prompt
  span_ns Target = std::chrono::milliseconds(500);
  /// Fraction of the requests that take `HeavyFactor` times `ServiceMs`. Their
  /// team is the only difference that an instance sees.
  double HeavyFraction = 0;
  double HeavyFactor = 10;
  /// Factor by which all work takes longer on the fastest and the slowest
  /// engine; the others lie between.
  double MinSlowness = 1;
  double MaxSlowness = 1;
  /// Whether responses state the load and the slowness.
  bool StatesLoad = false;
};

/// Totals over all prompts of a simulation.
struct simulation_result {
  std::size_t PromptCount = 0; ///< without retries
  std::size_t OnTime = 0;      ///< first token within 500 ms of placement
  std::size_t Refused = 0;
  std::size_t EngineRejections = 0; ///< attempts rejected by a full engine
  /// Prompts started on old weights 1.5 s or more after the rollout began.
  std::size_t OnOldWeights = 0;
  double PrefillTokens = 0; ///< tokens prefilled by all engines
  /// Requests of the busiest engine, relative to an equal share.
  double MaxEngineShare = 0;
  std::vector<double> FirstMs; ///< time to the first chunk of each response

  /// Returns the quantile \p Fraction of the times in `FirstMs`.
  double firstMs(double Fraction);
};

/// Runs the simulation that \p Load describes.
simulation_result simulateFleet(simulation_policy Policy,
                                const simulated_load &Load);

} // namespace ebonyvale

#endif

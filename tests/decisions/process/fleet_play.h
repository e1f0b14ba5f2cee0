/// \file
/// Plays requests with shared prompts against a fleet of instances and engines
/// on virtual time. The engines' model is independent of the schedulers'
/// estimates: prompts are read one after another, cached parts yield by least
/// recent use, running requests hold memory.
#ifndef EBONYVALE_TESTS_DECISIONS_PROCESS_FLEET_PLAY_H
#define EBONYVALE_TESTS_DECISIONS_PROCESS_FLEET_PLAY_H

#include "decisions/process/upstream_scheduler.h"

#include <cstdint>

namespace ebonyvale {

/// Who chooses the engine.
enum class play_policy { Scheduler, RoundRobin, LeastLoaded, PlainAffinity };

/// The load.
struct play_load {
  std::size_t Instances = 8;
  std::size_t Engines = 9;
  double PerSecond = 34; ///< prompts over the whole fleet
  span_ns Length = std::chrono::seconds(30);
  std::size_t Documents = 200;
  std::size_t Groups = 4; ///< of documents with the same first part
  double HotShare = 0;    ///< part of the requests about one document
  span_ns PeerDelay = std::chrono::milliseconds(80);
  std::size_t PeersTold = 1000; ///< that one instance tells of its load at once
  std::size_t Slots = 64;       ///< requests that an engine runs at once
  std::size_t EnginesDown = 0;  ///< silent from a third of the time on
  /// From a third of the time on, a fifth of the engines after the other takes
  /// new weights, a second each, and forgets what it has read.
  bool NewWeights = false;
  std::uint32_t Seed = 1;
  schedule_options Terms;
};

/// What callers got.
struct play_result {
  std::size_t Asked = 0;
  std::size_t InAim = 0; ///< first token within 500 ms
  std::size_t Refused = 0;
  std::size_t Full = 0;       ///< attempts that an engine turned away
  std::size_t Outdated = 0;   ///< begun on old weights 1.5 s after newer ones
  double TokensRead = 0;      ///< by all engines
  double MostOnOneEngine = 0; ///< of the requests, relative to an equal share
};

play_result playFleet(play_policy Policy, const play_load &Load);

} // namespace ebonyvale

#endif

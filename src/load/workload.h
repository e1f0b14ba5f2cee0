/// \file
/// Prompts that share nested prefixes: manual, product, question.
#ifndef EBONYVALE_LOAD_WORKLOAD_H
#define EBONYVALE_LOAD_WORKLOAD_H

#include "common/instant.h"
#include "load/load_settings.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace ebonyvale {

/// One request of the workload.
struct load_request {
  std::size_t Key = 0;    ///< index of the key that it shows
  std::size_t Target = 0; ///< index of the instance that gets it
  bool Batch = false;
  std::string Prompt;
};

/// Draws requests; the same seed draws the same ones.
class workload {
public:
  explicit workload(const load_settings &Settings);

  /// Time until the next request.
  span_ns nextGap();

  /// The request that arrives \p Elapsed after the start.
  load_request next(span_ns Elapsed);

private:
  std::size_t drawKey();
  std::size_t drawManual(span_ns Elapsed);
  static std::string text(std::uint64_t Seed, std::size_t Bytes);

  const load_settings &Settings;
  std::mt19937_64 Random;
  std::discrete_distribution<std::size_t> ManualRanks;
  std::vector<std::string> Manuals;
  std::uint64_t LastQuestion = 0;
};

} // namespace ebonyvale

#endif

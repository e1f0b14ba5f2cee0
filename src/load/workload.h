/// \file
/// Generates prompts that share nested prefixes: manual, product, question.
#ifndef EBONYVALE_LOAD_WORKLOAD_H
#define EBONYVALE_LOAD_WORKLOAD_H

#include "common/instant.h"
#include "load/load_test_settings.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace ebonyvale {

/// A request of the workload.
struct generated_request {
  std::size_t Key = 0;    ///< index into the keys of the settings
  std::size_t Target = 0; ///< index into the targets of the settings
  bool Batch = false;
  std::string Prompt;
};

/// Draws random requests; the same seed gives the same sequence.
class workload {
public:
  explicit workload(const load_test_settings &Settings);

  /// Returns the time until the next arrival, exponentially distributed.
  span_ns nextGap();

  /// Returns the request that arrives \p Elapsed after the start.
  generated_request next(span_ns Elapsed);

private:
  std::size_t drawKey();
  std::size_t drawManual(span_ns Elapsed);
  /// Returns \p Bytes bytes of random words that depend only on \p Seed.
  static std::string generateText(std::uint64_t Seed, std::size_t Bytes);

  const load_test_settings &Settings;
  std::mt19937_64 Random;
  std::discrete_distribution<std::size_t> ManualRanks;
  std::vector<std::string> Manuals;
  std::uint64_t LastQuestion = 0;
};

} // namespace ebonyvale

#endif

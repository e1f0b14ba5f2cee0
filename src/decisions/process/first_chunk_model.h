/// \file
/// Time in which an idle enough engine of a service responds with the first
/// chunk, learned from its responses.
#ifndef EBONYVALE_DECISIONS_PROCESS_FIRST_CHUNK_MODEL_H
#define EBONYVALE_DECISIONS_PROCESS_FIRST_CHUNK_MODEL_H

#include "decisions/process/cost_histogram.h"

#include <array>
#include <cstddef>

namespace ebonyvale {

/// Prefill rate and time to the first token of an empty prompt.
struct first_chunk_rates {
  double PrefillTokensPerMs = 0;
  double FirstTokenMs = 0;
};

/// Regression of the time to the first chunk on the prompt tokens that are
/// prefilled and on the fraction of the engine's slots that are taken.
///
/// Waiting only ever adds to that time, and odd values are frequent. So the
/// time of each class of prompts is a low quantile, and the line through the
/// classes is that of Theil and Sen: the median of the slopes of all pairs.
/// Starts from given rates, which hold until enough values are known.
class first_chunk_model {
public:
  /// Factor by which learned rates may differ from those at the start.
  static constexpr double MaxChange = 4;

  explicit first_chunk_model(const first_chunk_rates &Start) : Start(Start) {
    Fitted.fill(Start);
  }

  /// Records that an engine of usual speed, of whose slots the fraction
  /// \p Occupied was taken, has responded after \p Ms to a prompt of which
  /// \p Tokens had to be prefilled.
  void onFirstChunk(double Tokens, double Occupied, double Ms);

  /// Returns the rates at an engine of whose slots \p Occupied are taken.
  const first_chunk_rates &rates(double Occupied) const {
    return Fitted[occupancyClass(Occupied)];
  }
  /// Returns how many values have been recorded.
  std::size_t count() const { return Count; }

private:
  static constexpr std::size_t TokenClasses = 14;
  static constexpr std::size_t OccupancyClasses = 4;
  /// Values between two fits of the line.
  static constexpr std::size_t FitInterval = 16;
  struct cell {
    cost_histogram Ms;
    double Tokens = 0; ///< mean
  };

  static std::size_t occupancyClass(double Occupied);
  void fit();

  first_chunk_rates Start;
  std::array<std::array<cell, TokenClasses>, OccupancyClasses> Cells;
  std::array<first_chunk_rates, OccupancyClasses> Fitted{};
  std::size_t Count = 0;
};

} // namespace ebonyvale

#endif

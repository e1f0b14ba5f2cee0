/// \file
/// Distribution of a cost figure, in which recent values weigh more.
#ifndef EBONYVALE_DECISIONS_PROCESS_COST_HISTOGRAM_H
#define EBONYVALE_DECISIONS_PROCESS_COST_HISTOGRAM_H

#include <array>
#include <cstddef>

namespace ebonyvale {

/// Counts values in buckets whose bounds grow by a constant factor. Each new
/// value lowers the weight of the earlier ones, so that the distribution
/// follows changes. Values are limited to a multiple of the known upper
/// quantile, so that few odd ones do not move the others.
class cost_histogram {
public:
  /// Factor between the bounds of a bucket.
  static constexpr double Growth = 1.15;
  /// Values below count as this one, in ms.
  static constexpr double MinValue = 0.1;
  /// Enough buckets for an hour in ms.
  static constexpr std::size_t Buckets = 126;
  /// Values after which an earlier one has lost two thirds of its weight. The
  /// sum of all weights never exceeds it.
  static constexpr double Memory = 200;
  /// Sum of weights from which on values are limited.
  static constexpr double MinWeightToLimit = 20;
  /// Multiple of the 95th percentile to which values are limited.
  static constexpr double MaxExcess = 4;

  /// Records \p Value with \p Weight in (0, 1]. Values that are not finite or
  /// negative are ignored.
  void record(double Value, double Weight = 1);

  /// Returns the quantile \p Fraction in [0, 1]; 0 if there are no values.
  double quantile(double Fraction) const;
  /// Returns the mean; 0 if there are no values.
  double mean() const { return Weights > 0 ? Sum / Weights : 0; }
  /// Returns the sum of the weights of the values, at most `Memory`.
  double weight() const { return Weights; }

private:
  static std::size_t bucketOf(double Value);

  std::array<float, Buckets> Counts{};
  double Weights = 0;
  double Sum = 0;
};

} // namespace ebonyvale

#endif

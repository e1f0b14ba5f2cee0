#include "decisions/process/cost_histogram.h"

#include <algorithm>
#include <cmath>

namespace ebonyvale {

std::size_t cost_histogram::bucketOf(double Value) {
  static const double LogGrowth = std::log(Growth);
  const double Index =
      std::log(std::max(Value, MinValue) / MinValue) / LogGrowth;
  return std::min(static_cast<std::size_t>(Index), Buckets - 1);
}

void cost_histogram::record(double Value, double Weight) {
  if (!std::isfinite(Value) || Value < 0)
    return;
  constexpr double UpperQuantile = 0.95;
  if (Weights >= MinWeightToLimit)
    Value = std::min(Value, MaxExcess * quantile(UpperQuantile));
  const double Kept = 1 - Weight / Memory;
  for (float &Count : Counts)
    Count *= static_cast<float>(Kept);
  const std::size_t Bucket = bucketOf(Value);
  Counts[Bucket] += static_cast<float>(Weight);
  Weights = Weights * Kept + Weight;
  Sum = Sum * Kept + std::max(Value, MinValue) * Weight;
}

double cost_histogram::quantile(double Fraction) const {
  if (Weights <= 0)
    return 0;
  double Left = Fraction * Weights;
  double Last = 0;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    if (Counts[Bucket] <= 0)
      continue;
    // Values are taken to be spread evenly over a bucket.
    const double Within = std::clamp(Left / Counts[Bucket], 0.0, 1.0);
    Last = static_cast<double>(Bucket) + Within;
    if (Left <= Counts[Bucket])
      break;
    Left -= Counts[Bucket];
  }
  return MinValue * std::pow(Growth, Last);
}

} // namespace ebonyvale

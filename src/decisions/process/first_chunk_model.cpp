#include "decisions/process/first_chunk_model.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace ebonyvale {
namespace {

/// Quantile of the times of a class that counts: most have waited somewhere.
constexpr double LowQuantile = 0.2;
/// Weight from which on a class counts.
constexpr double MinCellWeight = 8;
/// Classes closer than this factor tell little about the slope.
constexpr double MinTokenRatio = 2;

std::optional<double> median(std::vector<double> &Values) {
  if (Values.empty())
    return std::nullopt;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::ranges::nth_element(Values, Middle);
  return *Middle;
}

} // namespace

std::size_t first_chunk_model::occupancyClass(double Occupied) {
  const double Scaled =
      std::clamp(Occupied, 0.0, 1.0) * static_cast<double>(OccupancyClasses);
  return std::min(static_cast<std::size_t>(Scaled), OccupancyClasses - 1);
}

void first_chunk_model::onFirstChunk(double Tokens, double Occupied,
                                     double Ms) {
  const bool IsUsable = std::isfinite(Tokens) && Tokens >= 0 &&
                        std::isfinite(Occupied) && std::isfinite(Ms) && Ms > 0;
  if (!IsUsable)
    return;
  constexpr double SmallestTokens = 32;
  const auto Class = static_cast<std::size_t>(
      std::log2(std::max(Tokens, SmallestTokens) / SmallestTokens));
  cell &Cell =
      Cells[occupancyClass(Occupied)][std::min(Class, TokenClasses - 1)];
  Cell.Ms.record(Ms);
  Cell.Tokens += (Tokens - Cell.Tokens) / Cell.Ms.weight();
  if (++Count % FitInterval == 0)
    fit();
}

void first_chunk_model::fit() {
  const auto IsKnown = [](const cell &Cell) {
    return Cell.Ms.weight() >= MinCellWeight;
  };
  std::vector<double> Slopes;
  for (const auto &Row : Cells)
    for (std::size_t Low = 0; Low < TokenClasses; ++Low)
      for (std::size_t High = Low + 1; High < TokenClasses; ++High) {
        const cell &Less = Row[Low];
        const cell &More = Row[High];
        if (!IsKnown(Less) || !IsKnown(More) ||
            More.Tokens < MinTokenRatio * Less.Tokens)
          continue;
        Slopes.push_back(
            (More.Ms.quantile(LowQuantile) - Less.Ms.quantile(LowQuantile)) /
            (More.Tokens - Less.Tokens));
      }
  const double StartSlope = 1 / Start.PrefillTokensPerMs;
  const double Slope =
      std::clamp(median(Slopes).value_or(StartSlope), StartSlope / MaxChange,
                 StartSlope * MaxChange);
  first_chunk_rates Rates{1 / Slope, Start.FirstTokenMs};
  for (std::size_t Index = 0; Index < OccupancyClasses; ++Index) {
    std::vector<double> Rests;
    for (const cell &Cell : Cells[Index])
      if (IsKnown(Cell))
        Rests.push_back(Cell.Ms.quantile(LowQuantile) - Cell.Tokens * Slope);
    // A class without values has the time of the one below.
    if (const auto Rest = median(Rests))
      Rates.FirstTokenMs = std::clamp(*Rest, Start.FirstTokenMs / MaxChange,
                                      Start.FirstTokenMs * MaxChange);
    Fitted[Index] = Rates;
  }
}

} // namespace ebonyvale

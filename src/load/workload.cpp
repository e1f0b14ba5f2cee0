#include "load/workload.h"

#include <cmath>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::size_t PieceBytes = 2048;
constexpr double Percent = 100;

/// Offsets of the text seeds, far enough apart that texts of different levels
/// never share a seed.
constexpr std::uint64_t ProductSeed = 1ULL << 32;
constexpr std::uint64_t QuestionSeed = 1ULL << 48;

/// Returns Zipf weights of the manuals by rank.
std::vector<double> popularity(const load_test_settings &Settings) {
  std::vector<double> Weights;
  const double Exponent = static_cast<double>(Settings.SkewPercent) / Percent;
  for (std::int64_t Rank = 1; Rank <= Settings.Manuals; ++Rank)
    Weights.push_back(1 / std::pow(static_cast<double>(Rank), Exponent));
  return Weights;
}

} // namespace

workload::workload(const load_test_settings &Settings)
    : Settings(Settings), Random(static_cast<std::uint64_t>(Settings.Seed)) {
  const std::vector<double> Weights = popularity(Settings);
  ManualRanks = {Weights.begin(), Weights.end()};
  for (std::int64_t Index = 0; Index < Settings.Manuals; ++Index)
    Manuals.push_back(generateText(
        static_cast<std::uint64_t>(Index + 1),
        static_cast<std::size_t>(Settings.ManualPieces) * PieceBytes));
}

span_ns workload::nextGap() {
  return fromSeconds(std::exponential_distribution<double>(
      static_cast<double>(Settings.RequestsPerSecond))(Random));
}

generated_request workload::next(span_ns Elapsed) {
  generated_request Request;
  Request.Key = drawKey();
  Request.Target = std::uniform_int_distribution<std::size_t>(
      0, Settings.Targets.size() - 1)(Random);
  Request.Batch = std::uniform_int_distribution<std::int64_t>(0, 99)(Random) <
                  Settings.BatchPercent;
  const std::size_t Manual = drawManual(Elapsed);
  const auto Product = std::uniform_int_distribution<std::uint64_t>(
      0, static_cast<std::uint64_t>(Settings.Products) - 1)(Random);
  Request.Prompt =
      Manuals[Manual] +
      generateText(
          ProductSeed + Manual * static_cast<std::uint64_t>(Settings.Products) +
              Product,
          static_cast<std::size_t>(Settings.ProductPieces) * PieceBytes) +
      generateText(QuestionSeed + ++LastQuestion,
                   static_cast<std::size_t>(Settings.QuestionBytes));
  return Request;
}

std::size_t workload::drawKey() {
  std::vector<double> Weights(Settings.Keys.size(), 1);
  Weights.front() = static_cast<double>(Settings.FirstKeyFactor);
  return std::discrete_distribution<std::size_t>(Weights.begin(),
                                                 Weights.end())(Random);
}

std::size_t workload::drawManual(span_ns Elapsed) {
  const std::size_t Rank = ManualRanks(Random);
  if (Settings.ShiftSeconds == 0)
    return Rank;
  // Each shift assigns the highest ranks to manuals that were rarely used.
  const auto Shifts = static_cast<std::size_t>(
      toSeconds(Elapsed) / static_cast<double>(Settings.ShiftSeconds));
  return (Rank + Shifts * (Manuals.size() / 2 + 1)) % Manuals.size();
}

std::string workload::generateText(std::uint64_t Seed, std::size_t Bytes) {
  std::mt19937_64 Words(Seed);
  std::string Text;
  Text.reserve(Bytes + sizeof("0123456789abcdef "));
  while (Text.size() < Bytes)
    Text += fmt::format("{:x} ", Words());
  Text.resize(Bytes);
  return Text;
}

} // namespace ebonyvale

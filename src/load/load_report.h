/// \file
/// What a load experiment saw.
#ifndef EBONYVALE_LOAD_LOAD_REPORT_H
#define EBONYVALE_LOAD_LOAD_REPORT_H

#include "common/instant.h"

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace ebonyvale {

/// The end of one request.
struct load_outcome {
  std::size_t Key = 0;
  bool Batch = false;
  bool Whole = false;  ///< the answer was complete and as expected
  std::string Refusal; ///< kind; empty for none
  span_ns FirstToken{0};
  double PromptTokens = 0;
  double CachedTokens = 0;
};

/// Collects outcomes.
class load_report {
public:
  explicit load_report(std::size_t Keys) : FirstTokens(Keys) {}

  void add(const load_outcome &Outcome);

  /// Requests that have ended.
  std::uint64_t ended() const { return Ended; }

  nlohmann::json json() const;
  void print(std::ostream &Out) const;

  /// An SVG with the cumulative distribution of the time to the first token.
  std::string plot() const;

private:
  std::vector<double> interactiveMs() const;

  std::uint64_t Ended = 0;
  std::uint64_t Whole = 0;
  std::uint64_t Broken = 0;
  std::map<std::string, std::uint64_t> Refusals;
  std::vector<std::vector<double>> FirstTokens; ///< ms, by key, interactive
  std::vector<double> BatchFirstTokens;         ///< ms
  double PromptTokens = 0;
  double CachedTokens = 0;
};

/// The value below which \p Part of the sorted \p Values lie; 0 for none.
double quantile(const std::vector<double> &Sorted, double Part);

} // namespace ebonyvale

#endif

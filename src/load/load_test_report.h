/// \file
/// Results of a load test.
#ifndef EBONYVALE_LOAD_LOAD_TEST_REPORT_H
#define EBONYVALE_LOAD_LOAD_TEST_REPORT_H

#include "common/instant.h"

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace ebonyvale {

/// Outcome of one request.
struct request_outcome {
  std::size_t Key = 0;
  bool Batch = false;
  bool Completed = false; ///< the response was complete and as expected
  std::string Refusal;    ///< error kind; empty unless the request was refused
  span_ns FirstToken{0};
  double PromptTokens = 0;
  double CachedTokens = 0;
};

/// Collects outcomes and summarizes them.
class load_test_report {
public:
  /// \p Keys is the number of keys of the load test.
  explicit load_test_report(std::size_t Keys) : FirstTokens(Keys) {}

  void add(const request_outcome &Outcome);

  /// Returns the number of requests that have ended.
  std::uint64_t ended() const { return Ended; }

  /// Returns the summary as JSON, with latencies in milliseconds.
  nlohmann::json json() const;
  /// Writes the summary as text.
  void print(std::ostream &Out) const;

  /// Returns an SVG with the cumulative distribution of the time to the first
  /// token.
  std::string plot() const;

private:
  /// Returns the sorted times to the first token, without batch requests.
  std::vector<double> interactiveMs() const;

  std::uint64_t Ended = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;
  std::map<std::string, std::uint64_t> Refusals;
  std::vector<std::vector<double>> FirstTokens; ///< ms, by key, interactive
  std::vector<double> BatchFirstTokens;         ///< ms
  double PromptTokens = 0;
  double CachedTokens = 0;
};

/// Returns the \p Fraction quantile of the values \p Sorted by the nearest-rank
/// method, or 0 if there are none.
double quantile(const std::vector<double> &Sorted, double Fraction);

} // namespace ebonyvale

#endif

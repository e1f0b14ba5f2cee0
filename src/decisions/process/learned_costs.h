/// \file
/// What an instance has learned of the costs of requests, by service, and for
/// which services that is used.
#ifndef EBONYVALE_DECISIONS_PROCESS_LEARNED_COSTS_H
#define EBONYVALE_DECISIONS_PROCESS_LEARNED_COSTS_H

#include "decisions/process/first_chunk_model.h"
#include "decisions/process/request_cost.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// For which services learned costs replace the configured ones.
enum class cost_learning {
  Off,
  Stated, ///< those whose upstreams state how long work takes on them
  On
};

/// Rates of a service's engines, as instances tell each other and operators.
struct service_rates {
  std::string Service;
  first_chunk_rates Rates; ///< at half occupied engines
  std::size_t Count = 0;   ///< responses behind it
};

/// What is learned of one service as a whole.
class service_costs {
public:
  service_costs(bool IsUsed, const first_chunk_rates &Start)
      : IsUsed(IsUsed), Start(Start) {}

  /// Returns whether learned costs replace the configured ones.
  bool isUsed() const { return IsUsed; }
  /// Returns the rates of engines of whose slots \p Occupied are taken.
  const first_chunk_rates &rates(double Occupied) const {
    return Model ? Model->rates(Occupied) : Start;
  }
  /// Returns the mean service time of all requests; nothing if too little is
  /// known.
  const std::optional<double> &meanServiceMs() const { return MeanServiceMs; }
  /// Returns the number of responses behind the rates.
  std::size_t responses() const { return Model ? Model->count() : 0; }

  void use() { IsUsed = true; }
  void onFirstChunk(double Tokens, double Occupied, double Ms);
  void onMeanServiceMs(std::optional<double> Ms) { MeanServiceMs = Ms; }
  /// Takes over the rates of a peer, unless some are known here.
  void onPeerRates(const first_chunk_rates &Rates);

private:
  bool IsUsed;
  first_chunk_rates Start;
  std::optional<first_chunk_model> Model; ///< since the first response
  std::optional<double> MeanServiceMs;
};

/// Costs learned for all services.
class learned_costs {
public:
  /// Services that costs are learned for. Learned costs are not used for
  /// others.
  static constexpr std::size_t MaxServices = 64;
  /// Responses from which on own rates are told to peers.
  static constexpr std::size_t MinResponses = 64;

  learned_costs(cost_learning Mode, const first_chunk_rates &Start)
      : Mode(Mode), Start(Start) {}

  /// Returns the costs of a service, which stay at their address; null if there
  /// are too many services.
  service_costs *service(std::string_view Service);
  /// Records that an upstream of \p Service has stated that work takes longer
  /// or shorter on it than usual.
  void onSlownessStated(service_costs &Service) const;

  /// Records that a request was served completely, in \p ServiceMs at an
  /// upstream of usual speed.
  void onServed(const cost_attributes &Attributes, double ServiceMs);
  std::optional<expected_cost> expect(const cost_attributes &Attributes) const {
    return Requests.expect(Attributes);
  }

  /// Returns what has been learned here that may help peers. Routes that have
  /// not changed since are left out.
  std::vector<cost_summary> takeSummaries() { return Requests.takeSummaries(); }
  std::vector<service_rates> ownRates() const;
  /// Take over what a peer has learned, where little is known here. Values out
  /// of range are ignored.
  void onPeerSummary(const cost_summary &Summary);
  void onPeerRates(const service_rates &Told);

  /// Return what is known of routes and services, for operators.
  std::vector<cost_summary> summaries() const { return Requests.summaries(); }
  std::vector<service_rates> rates() const;
  /// Returns the number of entries kept.
  std::size_t size() const { return Requests.size(); }

private:
  void updateMean(std::string_view Service);

  cost_learning Mode;
  first_chunk_rates Start;
  request_costs Requests;
  std::map<std::string, service_costs, std::less<>> Services;
};

} // namespace ebonyvale

#endif

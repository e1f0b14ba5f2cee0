#include "decisions/process/learned_costs.h"

namespace ebonyvale {
namespace {

constexpr double HalfOccupied = 0.5;

bool isInRange(double Value, double Start) {
  return Value >= Start / first_chunk_model::MaxChange &&
         Value <= Start * first_chunk_model::MaxChange;
}

} // namespace

void service_costs::onFirstChunk(double Tokens, double Occupied, double Ms) {
  if (!Model)
    Model.emplace(Start);
  Model->onFirstChunk(Tokens, Occupied, Ms);
}

void service_costs::onPeerRates(const first_chunk_rates &Rates) {
  const bool IsPlausible =
      isInRange(Rates.PrefillTokensPerMs, Start.PrefillTokensPerMs) &&
      isInRange(Rates.FirstTokenMs, Start.FirstTokenMs);
  if (IsPlausible && responses() == 0)
    Model.emplace(Rates);
}

service_costs *learned_costs::service(std::string_view Service) {
  if (const auto Known = Services.find(Service); Known != Services.end())
    return &Known->second;
  if (Services.size() >= MaxServices)
    return nullptr;
  return &Services
              .try_emplace(std::string(Service), Mode == cost_learning::On,
                           Start)
              .first->second;
}

void learned_costs::onSlownessStated(service_costs &Service) const {
  if (Mode == cost_learning::Stated)
    Service.use();
}

void learned_costs::updateMean(std::string_view Service) {
  const auto Known = Services.find(Service);
  if (Known == Services.end())
    return;
  const auto Cost = Requests.expectAny(Service);
  Known->second.onMeanServiceMs(Cost ? std::optional(Cost->MeanMs)
                                     : std::nullopt);
}

void learned_costs::onServed(const cost_attributes &Attributes,
                             double ServiceMs) {
  Requests.onServed(Attributes, ServiceMs);
  updateMean(Attributes.Service);
}

std::vector<service_rates> learned_costs::rates() const {
  std::vector<service_rates> Rates;
  for (const auto &[Name, Service] : Services)
    if (Service.isUsed())
      Rates.push_back({Name, Service.rates(HalfOccupied), Service.responses()});
  return Rates;
}

std::vector<service_rates> learned_costs::ownRates() const {
  std::vector<service_rates> Rates = rates();
  std::erase_if(Rates, [](const service_rates &Known) {
    return Known.Count < MinResponses;
  });
  return Rates;
}

void learned_costs::onPeerSummary(const cost_summary &Summary) {
  const auto Known = Services.find(Summary.Service);
  if (Known == Services.end() || !Known->second.isUsed())
    return;
  Requests.onPeerSummary(Summary);
  updateMean(Summary.Service);
}

void learned_costs::onPeerRates(const service_rates &Told) {
  const auto Known = Services.find(Told.Service);
  if (Known != Services.end() && Known->second.isUsed())
    Known->second.onPeerRates(Told.Rates);
}

} // namespace ebonyvale

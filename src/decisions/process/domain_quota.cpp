#include "decisions/process/domain_quota.h"

namespace ebonyvale {

double instanceQuotaFraction(const configuration &Config,
                             std::string_view Domain) {
  if (Config.Domains.empty())
    return 1;
  std::int64_t Weights = 0;
  for (const auto &[Name, Entry] : Config.Domains)
    Weights += Entry.Weight;
  const auto Own = Config.Domains.find(Domain);
  if (Own == Config.Domains.end())
    return 0;
  return static_cast<double>(Own->second.Weight) /
         static_cast<double>(Weights) / static_cast<double>(Own->second.Slots);
}

} // namespace ebonyvale

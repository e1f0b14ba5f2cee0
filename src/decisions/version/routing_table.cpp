#include "decisions/version/routing_table.h"

#include <algorithm>
#include <set>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Returns \p Host in lower case and without its port.
std::string hostName(std::string_view Host) {
  const std::size_t Colon = Host.rfind(':');
  std::string Name(Host.substr(0, Colon));
  std::ranges::transform(Name, Name.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  });
  return Name;
}

std::string sharedScopeOf(const std::vector<team_entry> &Teams) {
  std::set<std::string_view> Isolated;
  for (const team_entry &Team : Teams)
    if (Team.IsolatedCache)
      Isolated.insert(Team.Name);
  // Earlier releases have this scope, whichever teams are isolated.
  if (Isolated.empty())
    return "shared";
  std::string Names;
  for (const std::string_view Name : Isolated)
    Names += fmt::format("{}:{}", Name.size(), Name);
  constexpr std::size_t HexDigits = 16;
  return "shared-" + toHex(hashText(Names)).substr(0, HexDigits);
}

} // namespace

void routing_table::index() {
  RoutesByHost.clear();
  TeamsByKey.clear();
  for (std::size_t Index = 0; Index < Routes.size(); ++Index)
    RoutesByHost[hostName(Routes[Index].Host)].push_back(Index);
  for (auto &[Host, Indices] : RoutesByHost)
    std::ranges::stable_sort(
        Indices, [this](std::size_t Left, std::size_t Right) {
          return Routes[Left].Prefix.size() > Routes[Right].Prefix.size();
        });
  for (std::size_t Index = 0; Index < Teams.size(); ++Index)
    for (const digest &Key : Teams[Index].Keys)
      TeamsByKey.emplace(toHex(Key), Index);
  SharedCacheScope = sharedScopeOf(Teams);
}

const forward_route *routing_table::findRoute(std::string_view Host,
                                              std::string_view Path) const {
  const auto Found = RoutesByHost.find(hostName(Host));
  if (Found == RoutesByHost.end())
    return nullptr;
  for (const std::size_t Index : Found->second)
    if (Path.starts_with(Routes[Index].Prefix))
      return &Routes[Index];
  return nullptr;
}

const team_entry *routing_table::findTeam(const digest &Hash) const {
  const auto Found = TeamsByKey.find(toHex(Hash));
  return Found == TeamsByKey.end() ? nullptr : &Teams[Found->second];
}

std::string_view chooseService(const forward_route &Route, double Fraction) {
  double Sum = 0;
  for (const weighted_service &Candidate : Route.Split)
    Sum += std::max(0.0, Candidate.Weight);
  double Left = Fraction * Sum;
  for (const weighted_service &Candidate : Route.Split) {
    Left -= std::max(0.0, Candidate.Weight);
    if (Left < 0)
      return Candidate.Service;
  }
  return {};
}

} // namespace ebonyvale

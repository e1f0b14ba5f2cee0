#include "decisions/process/software_history.h"

#include <algorithm>

namespace ebonyvale {

void software_history::update(const upstream_directory &Directory,
                              instant Now) {
  for (auto &[Service, State] : Services) {
    for (auto &[Version, Last] : State.LastListed)
      Last = std::min(Last, Now);
    std::erase_if(State.LastListed, [Now](const auto &Known) {
      return Now - Known.second > Memory;
    });
  }
  for (const auto &[Id, Entry] : Directory.all())
    stateOf(Entry.Service, Now).LastListed[Entry.Software] = instant::max();
}

software_history::service_state &
software_history::stateOf(std::string_view Service, instant Now) {
  const instant OriginsSince = IsFirst ? instant::min() : GapAt.value_or(Now);
  return Services
      .try_emplace(std::string(Service), service_state{Now, OriginsSince, {}})
      .first->second;
}

void software_history::onListed(std::string_view Service,
                                std::string_view Version, instant Now) {
  instant &Last = stateOf(Service, Now).LastListed[std::string(Version)];
  Last = std::max(Last, Now);
}

void software_history::onGap(instant Now) {
  IsFirst = false;
  GapAt = Now;
  for (auto &[Service, State] : Services)
    State.KnownSince = State.OriginsSince = Now;
}

void software_history::onFirstInstance() {
  IsFirst = true;
  for (auto &[Service, State] : Services)
    State.OriginsSince = instant::min();
}

std::vector<software_history::sole_version>
software_history::soleVersions() const {
  std::vector<sole_version> Known;
  for (const auto &[Service, State] : Services) {
    sole_version Sole{Service, "", State.OriginsSince};
    std::size_t Listed = 0;
    for (const auto &[Version, Last] : State.LastListed) {
      if (Last == instant::max()) {
        ++Listed;
        Sole.Version = Version;
      } else {
        Sole.Since = std::max(Sole.Since, Last + span_ns(1));
      }
    }
    if (Listed == 1)
      Known.push_back(std::move(Sole));
  }
  return Known;
}

void software_history::onPeerKnows(const sole_version &Known) {
  const auto Found = Services.find(Known.Service);
  if (Found == Services.end() ||
      !Found->second.LastListed.contains(Known.Version))
    return;
  instant &Since = Found->second.OriginsSince;
  Since = std::min(Since, Known.Since);
}

bool software_history::knowsOrigins(instant Since) const {
  return std::ranges::all_of(Services, [Since](const auto &Service) {
    return Service.second.OriginsSince <= Since;
  });
}

std::optional<std::string> software_history::only(std::string_view Service,
                                                  instant Since) const {
  const auto State = Services.find(Service);
  if (State == Services.end() || State->second.KnownSince > Since)
    return std::nullopt;
  return onlyListed(State->second, Since);
}

std::optional<std::string>
software_history::onlyOrigin(std::string_view Service, instant Since) const {
  const auto State = Services.find(Service);
  if (State == Services.end() || State->second.OriginsSince > Since)
    return std::nullopt;
  return onlyListed(State->second, Since);
}

std::optional<std::string>
software_history::onlyListed(const service_state &State, instant Since) {
  std::optional<std::string> Only;
  for (const auto &[Version, Last] : State.LastListed) {
    if (Last < Since)
      continue;
    if (Only)
      return std::nullopt;
    Only = Version;
  }
  return Only;
}

} // namespace ebonyvale

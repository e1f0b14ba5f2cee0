#include "decisions/version/announced_weights.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {

weights_announcement &announced_weights::entry(std::string_view Model,
                                               std::int64_t Version,
                                               instant GraceEnd) {
  std::vector<weights_announcement> &Versions = Known[std::string(Model)];
  const auto Position = std::ranges::lower_bound(
      Versions, Version, {}, &weights_announcement::Version);
  if (Position != Versions.end() && Position->Version == Version)
    return *Position;
  return *Versions.insert(
      Position, {std::string(Model), Version, std::nullopt, GraceEnd, false});
}

void announced_weights::onRead(std::string_view Model, std::int64_t Version,
                               std::optional<instant> NotBefore, instant Now) {
  const instant GraceEnd = NotBefore
                               ? Now + Options.LearningGrace
                               : Started.value_or(Now) + Options.StartupGrace;
  const weights_announcement *Newer = firstNewer(Model, Version);
  weights_announcement &Entry = entry(Model, Version, GraceEnd);
  if (std::exchange(Entry.Read, true) || Newer)
    return;
  // Nothing compares less than any time.
  Entry.NotBefore = std::max(Entry.NotBefore, NotBefore);
}

void announced_weights::onPeer(std::string_view Model, std::int64_t Version,
                               std::optional<instant> NotBefore, instant Now) {
  weights_announcement &Entry =
      entry(Model, Version, Now + Options.LearningGrace);
  Entry.NotBefore = std::max(Entry.NotBefore, NotBefore);
}

std::vector<weights_announcement> announced_weights::recent(instant Now) const {
  std::vector<weights_announcement> Recent;
  for (const auto &[Model, Versions] : Known)
    if (!Versions.empty() && age(Versions.back(), Now) < Options.GossipPeriod)
      Recent.insert(Recent.end(), Versions.begin(), Versions.end());
  return Recent;
}

const weights_announcement *
announced_weights::firstNewer(std::string_view Model, std::int64_t Held) const {
  const auto Versions = Known.find(Model);
  if (Versions == Known.end())
    return nullptr;
  const auto Newer = std::ranges::upper_bound(Versions->second, Held, {},
                                              &weights_announcement::Version);
  return Newer == Versions->second.end() ? nullptr : &*Newer;
}

const weights_announcement *
announced_weights::newest(std::string_view Model) const {
  const auto Versions = Known.find(Model);
  return Versions == Known.end() || Versions->second.empty()
             ? nullptr
             : &Versions->second.back();
}

instant
announced_weights::usableUntil(const weights_announcement &Announcement) const {
  if (!Announcement.NotBefore)
    return Announcement.GraceEnd;
  return std::max(*Announcement.NotBefore + Options.MaxAge,
                  Announcement.GraceEnd);
}

instant
announced_weights::startBy(const weights_announcement &Announcement) const {
  const instant InGrace = Announcement.GraceEnd + Options.MaxWaitInGrace;
  if (!Announcement.NotBefore)
    return InGrace;
  return std::max(*Announcement.NotBefore + Options.MaxAge + Options.MaxWait,
                  InGrace);
}

const weights_announcement *
announced_weights::firstOptional(std::string_view Model, instant Now) const {
  const auto Versions = Known.find(Model);
  if (Versions == Known.end())
    return nullptr;
  const auto First = std::ranges::find_if(
      Versions->second, [&](const weights_announcement &Announcement) {
        return Now <= usableUntil(Announcement);
      });
  return First == Versions->second.end() ? nullptr : &*First;
}

bool announced_weights::isAnyRequired(std::string_view Model,
                                      instant Now) const {
  const auto Versions = Known.find(Model);
  return Versions != Known.end() &&
         std::ranges::any_of(Versions->second,
                             [&](const weights_announcement &Announcement) {
                               return Now > usableUntil(Announcement);
                             });
}

} // namespace ebonyvale

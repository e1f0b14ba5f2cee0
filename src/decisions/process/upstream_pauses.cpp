#include "decisions/process/upstream_pauses.h"

#include <algorithm>

namespace ebonyvale {

instant upstream_pauses::onAsked(const upstream_process &Process, span_ns For,
                                 instant Now) {
  std::vector<pause> &OfId = Pauses[Process.Id];
  const auto Found = std::ranges::find(OfId, Process, &pause::Process);
  pause Pause = Found == OfId.end() ? pause{Process, instant()} : *Found;
  if (Found != OfId.end())
    OfId.erase(Found);
  else if (OfId.size() >= MaxOfId)
    OfId.erase(OfId.begin());
  Pause.End = std::max(Pause.End, Now + std::min(For, MaxPause));
  OfId.push_back(Pause);
  return Pause.End;
}

instant upstream_pauses::endOf(const upstream_entry &Entry) const {
  const auto OfId = Pauses.find(Entry.Id);
  if (OfId == Pauses.end())
    return instant();
  const auto Found =
      std::ranges::find(OfId->second, Entry.process(), &pause::Process);
  return Found == OfId->second.end() ? instant() : Found->End;
}

void upstream_pauses::expire(instant Now) {
  for (auto &[Id, OfId] : Pauses)
    std::erase_if(OfId, [Now](const pause &Pause) { return Now >= Pause.End; });
  std::erase_if(Pauses, [](const auto &OfId) { return OfId.second.empty(); });
}

std::size_t upstream_pauses::size() const {
  std::size_t Size = 0;
  for (const auto &[Id, OfId] : Pauses)
    Size += OfId.size();
  return Size;
}

} // namespace ebonyvale

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

void upstream_pauses::onReplaced(const upstream_process &Process,
                                 const upstream_process &Next, instant Now) {
  const instant End = endOf(Process);
  if (End > Now)
    onAsked(Next, End - Now, Now);
}

instant upstream_pauses::endOf(const upstream_process &Process) const {
  const auto OfId = Pauses.find(Process.Id);
  if (OfId == Pauses.end())
    return instant();
  const auto Found = std::ranges::find(OfId->second, Process, &pause::Process);
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

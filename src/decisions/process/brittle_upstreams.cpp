#include "decisions/process/brittle_upstreams.h"

#include <algorithm>

namespace ebonyvale {

brittle_upstreams::state &
brittle_upstreams::stateOf(const upstream_process &Process) {
  state &State = States[Process.Id];
  if (State.Process != Process) {
    State = {};
    State.Process = Process;
  }
  return State;
}

void brittle_upstreams::add(state &State, std::size_t Peers, instant Now) {
  while (!State.Refusals.empty() && Now - State.Refusals.front() >= Window)
    State.Refusals.pop_front();
  State.Refusals.push_back(Now);
  // Half of what is tolerated: requests that are on their way to a full
  // upstream are refused as well.
  const bool IsSmall = Peers <= SmallFleet;
  const auto Threshold = std::max<std::int64_t>(1, State.Tolerated / 2);
  if (IsSmall && static_cast<std::int64_t>(State.Refusals.size()) < Threshold)
    return;
  constexpr std::size_t PeersPerWindow = 128;
  const auto Windows =
      static_cast<std::int64_t>(IsSmall ? 1 : 1 + Peers / PeersPerWindow);
  State.PausedUntil = std::max(State.PausedUntil, Now + Window * Windows);
}

bool brittle_upstreams::takeMessage(std::size_t Peers, instant Now) {
  if (Peers <= SmallFleet)
    return Peers > 0;
  const double PerSecond = ToldPerSecond / static_cast<double>(Peers + 1);
  Messages =
      std::min(ToldAtOnce, Messages + PerSecond * toSeconds(Now - MessagesAt));
  MessagesAt = Now;
  if (Messages < 1)
    return false;
  Messages -= 1;
  return true;
}

bool brittle_upstreams::onStated(const upstream_process &Process,
                                 std::optional<std::int64_t> Tolerated,
                                 instant Now) {
  const auto Known = States.find(Process.Id);
  const bool IsKnown =
      Known != States.end() && Known->second.Process == Process;
  if (!Tolerated) {
    if (IsKnown)
      States.erase(Known);
    return IsKnown;
  }
  state &State = stateOf(Process);
  State.StatedAt = Now;
  const bool IsNews = !IsKnown || State.Tolerated != *Tolerated;
  State.Tolerated = *Tolerated;
  return IsNews;
}

std::optional<brittle_refusal>
brittle_upstreams::onRefused(const upstream_process &Process, std::size_t Peers,
                             instant Now) {
  const auto Known = States.find(Process.Id);
  if (Known == States.end() || Known->second.Process != Process)
    return std::nullopt;
  state &State = Known->second;
  add(State, Peers, Now);
  if (takeMessage(Peers, Now))
    return brittle_refusal{Process.Id, State.Tolerated};
  // Time in which all other instances may be refused once.
  const auto Turns = static_cast<std::int64_t>(Peers + 1) /
                     std::max<std::int64_t>(1, State.Tolerated);
  if (Peers > SmallFleet)
    State.PausedUntil =
        Now + std::clamp<span_ns>(Window * (Turns + 1), Window, MaxPause);
  return std::nullopt;
}

void brittle_upstreams::onPeerRefused(const upstream_entry &Entry,
                                      const brittle_refusal &Refusal,
                                      std::size_t Peers, instant Now) {
  state &State = stateOf(Entry.process());
  State.Tolerated = Refusal.Tolerated;
  State.StatedAt = Now;
  add(State, Peers, Now);
}

instant brittle_upstreams::availableAt(const upstream_entry &Entry,
                                       instant Now) const {
  const auto Known = States.find(Entry.Id);
  if (Known == States.end() || Known->second.Process != Entry.process())
    return Now;
  return std::max(Now, Known->second.PausedUntil);
}

void brittle_upstreams::expire(instant Now) {
  std::erase_if(States, [Now](const auto &Known) {
    return Now - Known.second.StatedAt >= ForgetAfter;
  });
}

} // namespace ebonyvale

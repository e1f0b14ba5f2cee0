#include "decisions/version/weights_rollout.h"

#include <algorithm>

namespace ebonyvale {

void weights_rollout::want(std::string_view Model, std::int64_t Version) {
  std::int64_t &Known = Wanted[std::string(Model)];
  Known = std::max(Known, Version);
}

void weights_rollout::update(const upstream_directory &Directory) {
  std::erase_if(
      States, [&](const auto &Known) { return !Directory.find(Known.first); });
  for (const auto &[Id, Entry] : Directory.all()) {
    if (Entry.Models.empty())
      continue;
    target_state &State = States[Id];
    if (State.Born != Entry.Born)
      State = {};
    State.Born = Entry.Born;
    State.Draining = Entry.Draining;
    for (const auto &[Model, Version] : Entry.Models) {
      std::int64_t &Known = State.Models[Model];
      Known = std::max(Known, Version);
    }
  }
}

void weights_rollout::onWeights(std::string_view Upstream,
                                std::string_view Model, std::int64_t Version) {
  const auto Found = States.find(Upstream);
  if (Found == States.end())
    return;
  std::int64_t &Known = Found->second.Models[std::string(Model)];
  Known = std::max(Known, Version);
}

std::string_view weights_rollout::outdated(const target_state &State) const {
  if (State.Draining)
    return {};
  for (const auto &[Model, Version] : State.Models) {
    const auto Newest = Wanted.find(Model);
    if (Newest != Wanted.end() && Version < Newest->second)
      return Model;
  }
  return {};
}

/// Versions by which the upstream is behind, over all its models.
std::int64_t weights_rollout::lowestLag(const target_state &State) const {
  std::int64_t Lag = 0;
  for (const auto &[Model, Version] : State.Models)
    if (const auto Newest = Wanted.find(Model); Newest != Wanted.end())
      Lag = std::max(Lag, Newest->second - Version);
  return Lag;
}

std::size_t weights_rollout::pending() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(States, [this](const auto &Known) {
        return !outdated(Known.second).empty();
      }));
}

std::size_t weights_rollout::atOnce() const {
  const double Part = Terms.PartAtOnce * static_cast<double>(States.size());
  return std::max(Terms.AtOnce, static_cast<std::size_t>(Part));
}

rollout_actions weights_rollout::onTick(instant Now) {
  rollout_actions Actions;
  std::size_t Working = 0;
  for (auto &[Id, State] : States) {
    if (State.Phase == phase::Idle)
      continue;
    ++Working;
    if (Now < State.NextAt)
      continue;
    if (State.Phase == phase::Ordering) {
      // The answer is overdue; the order may have been taken.
      State.Phase = phase::Loading;
      State.OrderedAt = Now;
    }
    if (State.Phase == phase::Pausing)
      State.Phase = phase::Looking;
    State.NextAt = Now + Terms.RetryPause;
    Actions.push_back(rollout_pause{Id, Terms.PauseTerm});
    Actions.push_back(rollout_look{Id});
  }
  const std::size_t Most = atOnce();
  while (Working < Most) {
    target_state *Next = nullptr;
    std::string_view NextId;
    for (auto &[Id, State] : States) {
      if (State.Phase != phase::Idle || Now < State.NextAt ||
          outdated(State).empty())
        continue;
      if (Next && lowestLag(State) <= lowestLag(*Next))
        continue;
      Next = &State;
      NextId = Id;
    }
    if (!Next)
      break;
    ++Working;
    Next->Phase = phase::Pausing;
    Next->NextAt = Now + Terms.PauseLead;
    Actions.push_back(rollout_pause{std::string(NextId), Terms.PauseTerm});
  }
  return Actions;
}

rollout_actions weights_rollout::finish(std::string_view Upstream,
                                        target_state &State) {
  State.Phase = phase::Idle;
  return {rollout_pause{std::string(Upstream), span_ns(0)}};
}

rollout_actions weights_rollout::onReport(std::string_view Upstream,
                                          const rollout_report *Report,
                                          instant Now) {
  const auto Found = States.find(Upstream);
  if (Found == States.end() || Found->second.Phase == phase::Idle)
    return {};
  target_state &State = Found->second;
  if (!Report) {
    State.NextAt = Now + Terms.RetryPause;
    return finish(Upstream, State);
  }
  for (const auto &[Model, Version] : Report->Models) {
    std::int64_t &Known = State.Models[Model];
    Known = std::max(Known, Version);
  }
  const std::string_view Model = outdated(State);
  if (Model.empty())
    return finish(Upstream, State);
  if (Report->Busy) {
    State.Phase = phase::Loading;
    State.NextAt = Now + Terms.LookInterval;
    return {};
  }
  const bool MayBeOlder =
      State.Phase == phase::Loading && Now - State.OrderedAt < Terms.ReportLag;
  if (MayBeOlder) {
    State.NextAt = Now + Terms.LookInterval;
    return {};
  }
  State.Phase = phase::Ordering;
  State.NextAt = Now + Terms.RetryPause;
  return {rollout_order{std::string(Upstream), std::string(Model),
                        Wanted.find(Model)->second, Report->AcceptedOrders}};
}

void weights_rollout::onOrderAnswer(std::string_view Upstream,
                                    order_outcome Outcome, instant Now) {
  const auto Found = States.find(Upstream);
  if (Found == States.end() || Found->second.Phase != phase::Ordering)
    return;
  target_state &State = Found->second;
  switch (Outcome) {
  case order_outcome::Taken:
  case order_outcome::Unknown:
    State.Phase = phase::Loading;
    State.OrderedAt = Now;
    State.NextAt = Now + Terms.FirstLook;
    return;
  case order_outcome::Conflict:
    State.Phase = phase::Looking;
    State.NextAt = Now + Terms.LookInterval;
    return;
  case order_outcome::Rejected:
    State.Phase = phase::Idle;
    State.NextAt = Now + Terms.RetryPause;
    return;
  }
}

rollout_actions weights_rollout::abandon() {
  rollout_actions Actions;
  for (auto &[Id, State] : States) {
    if (State.Phase == phase::Idle)
      continue;
    State.Phase = phase::Idle;
    Actions.push_back(rollout_pause{Id, span_ns(0)});
  }
  return Actions;
}

} // namespace ebonyvale

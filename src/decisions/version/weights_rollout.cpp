#include "decisions/version/weights_rollout.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {

void weights_rollout::setTargetVersion(std::string_view Model,
                                       std::int64_t Version) {
  std::int64_t &Known = TargetVersions[std::string(Model)];
  Known = std::max(Known, Version);
}

void weights_rollout::update(const upstream_directory &Directory) {
  std::erase_if(
      States, [&](const auto &Known) { return !Directory.find(Known.first); });
  for (const auto &[Id, Entry] : Directory.all()) {
    if (Entry.Models.empty())
      continue;
    upstream_state &State = States[Id];
    if (State.Born != Entry.Born)
      State = {};
    State.Born = Entry.Born;
    State.Draining = !Entry.isOpen();
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

std::string_view
weights_rollout::outdatedModel(const upstream_state &State) const {
  if (State.Draining)
    return {};
  for (const auto &[Model, Version] : State.Models) {
    const auto Newest = TargetVersions.find(Model);
    if (Newest != TargetVersions.end() && Version < Newest->second)
      return Model;
  }
  return {};
}

std::int64_t weights_rollout::versionLag(const upstream_state &State) const {
  std::int64_t Lag = 0;
  for (const auto &[Model, Version] : State.Models)
    if (const auto Newest = TargetVersions.find(Model);
        Newest != TargetVersions.end())
      Lag = std::max(Lag, Newest->second - Version);
  return Lag;
}

std::size_t weights_rollout::pending() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(States, [this](const auto &Known) {
        return !outdatedModel(Known.second).empty();
      }));
}

std::size_t weights_rollout::maxConcurrent() const {
  const double Share =
      Options.ConcurrentFraction * static_cast<double>(States.size());
  return std::max(Options.MaxConcurrent, static_cast<std::size_t>(Share));
}

rollout_actions weights_rollout::onTick(instant Now) {
  rollout_actions Actions;
  std::size_t Active = 0;
  std::size_t Waiting = 0;
  for (auto &[Id, State] : States) {
    if (State.Phase == phase::Idle)
      continue;
    ++(State.Unanswered ? Waiting : Active);
    if (Now < State.NextAt)
      continue;
    if (State.Phase == phase::Ordering) {
      // No response arrived in time; the order may have been accepted.
      State.Phase = phase::Loading;
      State.OrderedAt = Now;
      State.Unanswered = true;
      Actions.push_back(rollout_pause{Id, span_ns(0)});
    }
    if (State.Phase == phase::Pausing)
      State.Phase = phase::Polling;
    State.NextAt = Now + Options.RetryDelay;
    if (!State.Unanswered)
      Actions.push_back(rollout_pause{Id, Options.PauseDuration});
    Actions.push_back(rollout_poll{Id});
  }
  const std::size_t Limit = maxConcurrent();
  while (Active < Limit && Active + Waiting < 2 * Limit) {
    upstream_state *Next = nullptr;
    std::string_view NextId;
    for (auto &[Id, State] : States) {
      if (State.Phase != phase::Idle || Now < State.NextAt ||
          outdatedModel(State).empty())
        continue;
      if (Next && versionLag(State) <= versionLag(*Next))
        continue;
      Next = &State;
      NextId = Id;
    }
    if (!Next)
      break;
    ++Active;
    Next->Phase = phase::Pausing;
    Next->NextAt = Now + Options.PauseLead;
    Actions.push_back(
        rollout_pause{std::string(NextId), Options.PauseDuration});
  }
  return Actions;
}

rollout_actions weights_rollout::finish(std::string_view Upstream,
                                        upstream_state &State) {
  State.Phase = phase::Idle;
  State.Unanswered = false;
  return {rollout_pause{std::string(Upstream), span_ns(0)}};
}

void weights_rollout::onFirstPoll(bool Completed) {
  FirstPollDelay = Completed ? FirstPollDelay * 9 / 10
                             : FirstPollDelay + Options.FirstPollStep;
  FirstPollDelay = std::clamp(FirstPollDelay, Options.MinFirstPollDelay,
                              Options.FirstPollDelay);
}

rollout_actions weights_rollout::onReport(std::string_view Upstream,
                                          const rollout_report *Report,
                                          instant Now) {
  const auto Found = States.find(Upstream);
  if (Found == States.end() || Found->second.Phase == phase::Idle)
    return {};
  upstream_state &State = Found->second;
  if (!Report) {
    State.NextAt = Now + Options.RetryDelay;
    return finish(Upstream, State);
  }
  for (const auto &[Model, Version] : Report->Models) {
    std::int64_t &Known = State.Models[Model];
    Known = std::max(Known, Version);
  }
  const std::string_view Model = outdatedModel(State);
  const bool IsFirstPoll = State.Phase == phase::Loading && !State.Unanswered &&
                           !std::exchange(State.Polled, true);
  if (IsFirstPoll)
    onFirstPoll(Model.empty());
  if (Model.empty())
    return finish(Upstream, State);
  if (Report->Busy) {
    State.Phase = phase::Loading;
    State.NextAt = Now + Options.NextPollDelay;
    if (!std::exchange(State.Unanswered, false))
      return {};
    return {rollout_pause{std::string(Upstream), Options.PauseDuration}};
  }
  const bool MayBeOlder = State.Phase == phase::Loading &&
                          Now - State.OrderedAt < Options.ReportLag;
  if (MayBeOlder) {
    State.NextAt = Now + Options.NextPollDelay;
    return {};
  }
  State.Phase = phase::Ordering;
  State.NextAt = Now + Options.RetryDelay;
  return {rollout_order{std::string(Upstream), std::string(Model),
                        TargetVersions.find(Model)->second,
                        Report->AcceptedOrders}};
}

rollout_actions weights_rollout::onOrderResponse(std::string_view Upstream,
                                                 order_outcome Outcome,
                                                 instant Now) {
  const auto Found = States.find(Upstream);
  if (Found == States.end() || Found->second.Phase != phase::Ordering)
    return {};
  upstream_state &State = Found->second;
  switch (Outcome) {
  case order_outcome::AcceptedOrLoaded:
  case order_outcome::Unknown:
    State.Phase = phase::Loading;
    State.OrderedAt = Now;
    State.NextAt = Now + FirstPollDelay;
    State.Polled = false;
    State.Unanswered = Outcome == order_outcome::Unknown;
    // The order may take effect seconds later; until then it can serve.
    if (State.Unanswered)
      return {rollout_pause{std::string(Upstream), span_ns(0)}};
    return {};
  case order_outcome::Conflict:
    State.Unanswered = false;
    State.Phase = phase::Polling;
    State.NextAt = Now + Options.NextPollDelay;
    return {};
  case order_outcome::Rejected:
    State.NextAt = Now + Options.RetryDelay;
    return finish(Upstream, State);
  }
  return {};
}

rollout_actions weights_rollout::abandon() {
  rollout_actions Actions;
  for (auto &[Id, State] : States) {
    if (State.Phase == phase::Idle)
      continue;
    State.Phase = phase::Idle;
    State.Unanswered = false;
    Actions.push_back(rollout_pause{Id, span_ns(0)});
  }
  return Actions;
}

} // namespace ebonyvale

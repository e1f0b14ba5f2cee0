#include "decisions/process/dispatcher.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

/// Factor by which each observation decays the previous ones in the drain rate.
constexpr double DrainRateDecay = 0.9;

/// Retry-After where no drain rate is known.
constexpr span_ns DefaultRetryAfter = std::chrono::seconds(1);

bool contains(const std::vector<engine_id> &Ids, engine_id Id) {
  return std::ranges::find(Ids, Id) != Ids.end();
}

} // namespace

dispatch_actions dispatcher::submit(dispatch_request Request, instant Now) {
  dispatch_actions Actions;
  place(std::move(Request), Now, Actions);
  return Actions;
}

dispatch_actions dispatcher::onEnded(std::uint64_t Number, double Tokens,
                                     instant Now) {
  dispatch_actions Actions;
  const auto Found = Running.find(Number);
  if (Found == Running.end())
    return Actions;
  const running_request Ended = Found->second;
  Running.erase(Found);
  Engines.onEnded(Ended.Engine);
  engine_queue &Queue = queueOf(Ended.Engine);
  if (Queue.Queue.size() > 0) {
    Queue.ServedTokens = Queue.ServedTokens * DrainRateDecay + Tokens;
    Queue.ServedSeconds =
        Queue.ServedSeconds * DrainRateDecay + toSeconds(Now - Queue.LastEnded);
  }
  Queue.LastEnded = Now;
  if (Ended.Suspected)
    --Queue.SuspectsRunning;
  startQueued(Ended.Engine, Now, Actions);
  retrySuspects(Now, Actions);
  return Actions;
}

dispatch_actions dispatcher::onUnusable(engine_id Engine, instant Now) {
  dispatch_actions Actions;
  for (const queued_request &Queued : queueOf(Engine).Queue.takeAll()) {
    auto Node = Waiting.extract(Queued.Number);
    place(std::move(Node.mapped()), Now, Actions);
  }
  return Actions;
}

void dispatcher::withdraw(std::uint64_t Number) {
  if (Waiting.erase(Number) == 0)
    return;
  std::erase(DeferredSuspects, Number);
  for (engine_queue &Queue : Queues)
    if (Queue.Queue.remove(Number))
      return;
}

void dispatcher::onUsage(const dispatch_start &Start, std::size_t Cached) {
  if (Start.ExpectedPieces == 0)
    return;
  Engines.onCacheLookup(Start.Engine, Start.ExpectedAge,
                        Cached >= Start.ExpectedPieces);
}

std::vector<engine_id> dispatcher::usable(const dispatch_request &Request,
                                          instant Now) const {
  std::vector<engine_id> Untried;
  std::vector<engine_id> Tried;
  for (const engine_id Id : Request.Candidates) {
    if (!Engines.at(Id).usable(Now))
      continue;
    auto &List = contains(Request.Failed, Id) ? Tried : Untried;
    List.push_back(Id);
  }
  return Untried.empty() ? Tried : Untried;
}

void dispatcher::place(dispatch_request Request, instant Now,
                       dispatch_actions &Actions) {
  std::vector<engine_id> Candidates = usable(Request, Now);
  if (Candidates.empty()) {
    Actions.push_back(dispatch_refuse{Request.Number, error_kind::NoUpstream,
                                      DefaultRetryAfter});
    return;
  }
  if (Request.Suspected) {
    std::erase_if(Candidates, [this](engine_id Id) {
      return queueOf(Id).SuspectsRunning > 0;
    });
    if (Candidates.empty()) {
      DeferredSuspects.push_back(Request.Number);
      Waiting.emplace(Request.Number, std::move(Request));
      return;
    }
  }
  const placement_choice Choice = Policy->choose(
      {Request.Chain, Request.PieceMs, Candidates}, Engines, Index, Now);
  const engine_state &Engine = Engines.at(Choice.Engine);
  if (Engine.InFlight < Engine.Concurrency)
    start(Request, Choice, Now, Actions);
  else
    enqueue(std::move(Request), Choice.Engine, Now, Actions);
}

void dispatcher::enqueue(dispatch_request Request, engine_id Engine,
                         instant Now, dispatch_actions &Actions) {
  engine_queue &Queue = queueOf(Engine);
  const double Rate =
      Queue.ServedSeconds > 0 ? Queue.ServedTokens / Queue.ServedSeconds : 0;
  const double Ahead = Queue.Queue.tokensAhead(Request.Team, Request.Class);
  const span_ns Wait = Rate > 0 ? fromSeconds(Ahead / Rate) : span_ns(0);
  if (Queue.Queue.size() >= Options.MaxQueued) {
    Actions.push_back(dispatch_refuse{Request.Number, error_kind::QueueFull,
                                      std::max(Wait, DefaultRetryAfter)});
    return;
  }
  if (Now + Wait >= Request.Deadline) {
    Actions.push_back(
        dispatch_refuse{Request.Number, error_kind::DeadlineTooShort, Wait});
    return;
  }
  Queue.Queue.push({Request.Number, Request.Team, Request.Weight,
                    Request.Tokens, Request.Class});
  Waiting.emplace(Request.Number, std::move(Request));
}

void dispatcher::start(const dispatch_request &Request,
                       const placement_choice &Choice, instant Now,
                       dispatch_actions &Actions) {
  const engine_id Id = Choice.Engine;
  const std::size_t Missing = Request.Chain.size() - Choice.ExpectedPieces;
  Engines.onSent(Id, static_cast<double>(Missing) * Request.PieceMs);
  Index.touch(Request.Chain, Engines.at(Id).epoch(), Now);
  Running.emplace(Request.Number, running_request{Id, Request.Suspected});
  if (Request.Suspected)
    ++queueOf(Id).SuspectsRunning;
  Actions.push_back(dispatch_start{Request.Number, Id, Choice.ExpectedPieces,
                                   Choice.ExpectedAge});
  if (!Request.Chain.empty() && Choice.ExpectedPieces == 0)
    Actions.push_back(dispatch_hint{Request.Chain.front(), Id});
}

void dispatcher::onPeerHint(piece_hash FirstPiece, engine_id Engine,
                            instant Now) {
  Index.touch({&FirstPiece, 1}, Engines.at(Engine).epoch(), Now);
}

void dispatcher::startQueued(engine_id Engine, instant Now,
                             dispatch_actions &Actions) {
  const engine_state &State = Engines.at(Engine);
  while (State.InFlight < State.Concurrency && State.usable(Now)) {
    const auto Next = queueOf(Engine).Queue.pop();
    if (!Next)
      return;
    auto Node = Waiting.extract(Next->Number);
    const dispatch_request &Request = Node.mapped();
    if (Request.Suspected && queueOf(Engine).SuspectsRunning > 0) {
      DeferredSuspects.push_back(Next->Number);
      Waiting.insert(std::move(Node));
      continue;
    }
    start(Request, expectedPieces(Request.Chain, State, Index, Now), Now,
          Actions);
  }
}

void dispatcher::retrySuspects(instant Now, dispatch_actions &Actions) {
  for (const std::uint64_t Number : std::exchange(DeferredSuspects, {})) {
    auto Node = Waiting.extract(Number);
    place(std::move(Node.mapped()), Now, Actions);
  }
}

dispatcher::engine_queue &dispatcher::queueOf(engine_id Engine) {
  if (Engine >= Queues.size())
    Queues.resize(Engine + 1);
  return Queues[Engine];
}

} // namespace ebonyvale

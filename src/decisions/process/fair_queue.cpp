#include "decisions/process/fair_queue.h"

#include <algorithm>

namespace ebonyvale {
namespace {

/// Tokens that a team of weight one may send each round.
constexpr double Quantum = 2048;

std::size_t classIndex(service_class Class) {
  return Class == service_class::Interactive ? 0 : 1;
}

double queuedTokens(const auto &Queue) {
  double Sum = 0;
  for (const queued_request &Request : Queue.Requests)
    Sum += Request.Tokens;
  return Sum;
}

} // namespace

void fair_queue::push(queued_request Request) {
  team_queues &Queues = Classes[classIndex(Request.Class)];
  auto Queue = std::ranges::find(Queues, Request.Team, &team_queue::Team);
  if (Queue == Queues.end()) {
    Queues.push_back({Request.Team, Request.Weight, 0, {}});
    Queue = std::prev(Queues.end());
  }
  Queue->Weight = Request.Weight;
  Queue->Requests.push_back(std::move(Request));
  ++Size;
}

std::optional<queued_request> fair_queue::pop() {
  for (team_queues &Queues : Classes) {
    auto Request = popFrom(Queues);
    if (!Request)
      continue;
    --Size;
    return Request;
  }
  return std::nullopt;
}

std::optional<queued_request> fair_queue::popFrom(team_queues &Queues) {
  while (!Queues.empty()) {
    team_queue &First = Queues.front();
    if (First.Deficit >= First.Requests.front().Tokens) {
      queued_request Request = std::move(First.Requests.front());
      First.Requests.pop_front();
      First.Deficit -= Request.Tokens;
      if (First.Requests.empty())
        Queues.pop_front();
      return Request;
    }
    First.Deficit += Quantum * static_cast<double>(First.Weight);
    Queues.push_back(std::move(First));
    Queues.pop_front();
  }
  return std::nullopt;
}

bool fair_queue::remove(std::uint64_t Number) {
  for (team_queues &Queues : Classes)
    for (auto Queue = Queues.begin(); Queue != Queues.end(); ++Queue) {
      const auto Removed =
          std::erase_if(Queue->Requests, [Number](const queued_request &Entry) {
            return Entry.Number == Number;
          });
      if (Removed == 0)
        continue;
      --Size;
      if (Queue->Requests.empty())
        Queues.erase(Queue);
      return true;
    }
  return false;
}

double fair_queue::tokensAhead(std::string_view Team,
                               service_class Class) const {
  double Ahead = 0;
  for (std::size_t Index = 0; Index < classIndex(Class); ++Index)
    for (const team_queue &Queue : Classes[Index])
      Ahead += queuedTokens(Queue);
  const team_queues &Queues = Classes[classIndex(Class)];
  const auto Own = std::ranges::find(Queues, Team, &team_queue::Team);
  const double OwnTokens = Own == Queues.end() ? 0 : queuedTokens(*Own);
  const double OwnWeight =
      Own == Queues.end() ? 1 : static_cast<double>(Own->Weight);
  for (const team_queue &Queue : Queues) {
    if (Queue.Team == Team)
      continue;
    const double Turns =
        (OwnTokens + Quantum) * static_cast<double>(Queue.Weight) / OwnWeight;
    Ahead += std::min(queuedTokens(Queue), Turns);
  }
  return Ahead + OwnTokens;
}

std::vector<queued_request> fair_queue::takeAll() {
  std::vector<queued_request> All;
  for (team_queues &Queues : Classes) {
    for (team_queue &Queue : Queues)
      std::ranges::move(Queue.Requests, std::back_inserter(All));
    Queues.clear();
  }
  Size = 0;
  return All;
}

} // namespace ebonyvale

#include "decisions/process/unexplained_losses.h"

#include <iterator>
#include <utility>

namespace ebonyvale {

std::uint64_t unexplained_losses::add(unexplained_loss Loss) {
  if (Losses.size() >= MaxLosses)
    Losses.erase(Losses.begin());
  Losses.emplace(++LastNumber, std::move(Loss));
  return LastNumber;
}

std::optional<unexplained_loss> unexplained_losses::take(std::uint64_t Number) {
  auto Node = Losses.extract(Number);
  if (Node.empty())
    return std::nullopt;
  return std::move(Node.mapped());
}

std::vector<unexplained_loss>
unexplained_losses::takeOf(const lost_process &Process) {
  std::vector<unexplained_loss> Taken;
  for (auto Next = Losses.begin(); Next != Losses.end();) {
    unexplained_loss &Loss = Next->second;
    const bool IsOf = Loss.Request && Loss.Lost.Upstream == Process.Upstream &&
                      Loss.Lost.Born == Process.Born;
    if (IsOf)
      Taken.push_back(std::move(Loss));
    Next = IsOf ? Losses.erase(Next) : std::next(Next);
  }
  return Taken;
}

void unexplained_losses::onCompleted(request_fingerprint Request) {
  std::erase_if(Losses, [Request](const auto &Entry) {
    return Entry.second.Request == Request;
  });
}

void unexplained_losses::expire(instant Now) {
  std::erase_if(Losses, [Now](const auto &Entry) {
    return Now - Entry.second.At >= KeepFor;
  });
}

} // namespace ebonyvale

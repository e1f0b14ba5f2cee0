#include "decisions/process/change_source.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ebonyvale {

std::vector<std::string> followCandidates(
    std::string_view Self, std::string_view Domain,
    const std::map<std::string, instance_endpoint, std::less<>> &Peers) {
  std::vector<std::string> Own;
  std::map<std::string_view, std::string_view> FirstOf;
  for (const auto &[Name, Entry] : Peers) {
    if (Entry.Domain != Domain)
      FirstOf.try_emplace(Entry.Domain, Name);
    else if (Name < Self && Own.size() < MaxOwnCandidates)
      Own.push_back(Name);
  }
  std::vector<std::string> Other;
  for (const auto &[OtherDomain, Name] : FirstOf)
    if (!Own.empty() || Name < Self)
      Other.emplace_back(Name);
  std::ranges::sort(Other);
  if (Other.size() > MaxOtherCandidates)
    Other.resize(MaxOtherCandidates);
  Own.insert(Own.end(), Other.begin(), Other.end());
  return Own;
}

std::optional<std::string_view> change_source::choose(instant Now) const {
  const auto Usable = [&](const std::string &Peer) {
    const auto Avoided = AvoidUntil.find(Peer);
    return Avoided == AvoidUntil.end() || Now >= Avoided->second;
  };
  const auto Found = std::ranges::find_if(Candidates, Usable);
  if (Found == Candidates.end())
    return std::nullopt;
  return std::string_view(*Found);
}

const change_source::poll &change_source::startPoll(std::string_view Peer,
                                                    instant Now) {
  return Pending.emplace(poll{std::string(Peer), ++LastNumber, Now});
}

std::optional<instant> change_source::onResponse(std::string_view Peer,
                                                 std::uint64_t Number,
                                                 std::optional<span_ns> ReadAge,
                                                 instant Now) {
  if (!Pending || Pending->Peer != Peer || Pending->Number != Number)
    return std::nullopt;
  const poll Answered = *std::exchange(Pending, std::nullopt);
  LostPolls = 0;
  // The response was made after the poll was sent, so the peer's read is at
  // most `ReadAge` older than the poll, however long the response took.
  if (!ReadAge || Now - (Answered.SentAt - *ReadAge) > Options.MaxReadAge) {
    avoid(Peer, Now);
    return std::nullopt;
  }
  AvoidUntil.erase(std::string(Peer));
  return Answered.SentAt - *ReadAge;
}

void change_source::onTimeout(instant Now) {
  if (!Pending)
    return;
  const poll Lost = *std::exchange(Pending, std::nullopt);
  if (++LostPolls >= Options.MaxLostPolls)
    avoid(Lost.Peer, Now);
}

void change_source::avoid(std::string_view Peer, instant Now) {
  LostPolls = 0;
  AvoidUntil.insert_or_assign(std::string(Peer), Now + Options.AvoidTime);
  std::erase_if(AvoidUntil,
                [Now](const auto &Entry) { return Now >= Entry.second; });
}

} // namespace ebonyvale

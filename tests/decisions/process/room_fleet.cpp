#include "decisions/process/room_fleet.h"

#include <algorithm>

namespace ebonyvale {
namespace {

constexpr std::size_t UpstreamCount = 20;
constexpr std::int64_t Slots = 6;
constexpr double WorkMs = 60;
constexpr span_ns ReportInterval = std::chrono::milliseconds(60);
/// Requests a second that keep all slots busy.
constexpr double RoomPerSecond =
    static_cast<double>(UpstreamCount) * Slots / WorkMs * 1000;
const instant Start{std::chrono::hours(1)};

} // namespace

room_fleet::room_fleet(std::size_t Instances, bool IsOn, unsigned Seed)
    : IsOn(IsOn), Random(Seed), Upstreams(UpstreamCount),
      LastReports(UpstreamCount), ReportedAt(UpstreamCount), Now(Start) {
  for (std::size_t Index = 0; Index < Instances; ++Index)
    Controls.emplace_back(IsOn);
}

void room_fleet::at(instant When, std::function<void()> Action) {
  Events.emplace(When, std::move(Action));
}

void room_fleet::loseUpstreams(double Fraction, span_ns From, span_ns To) {
  const auto Count = static_cast<std::size_t>(Fraction * UpstreamCount);
  at(Start + From, [this, Count] { Lost = Count; });
  at(Start + To, [this] { Lost = 0; });
}

void room_fleet::play(const std::vector<room_demand> &Wanted, span_ns Length) {
  Demands = Wanted;
  End = Start + Length;
  Results.assign(Demands.size(),
                 std::vector<room_result>(
                     static_cast<std::size_t>(Length / Interval) + 1));
  std::vector<team_entry> Teams;
  for (const room_demand &Demand : Demands) {
    auto Known = std::ranges::find(Teams, Demand.Team, &team_entry::Name);
    if (Known == Teams.end()) {
      Known = Teams.insert(Teams.end(), team_entry());
      Known->Name = Demand.Team;
    }
    Known->Rate += Demand.Load;
  }
  for (room_control &Control : Controls)
    Control.setTeams(Teams);
  for (std::size_t Demand = 0; Demand < Demands.size(); ++Demand)
    sendNext(Demand);
  exchangeReports();
  while (!Events.empty()) {
    const auto Next = Events.begin();
    Now = Next->first;
    const auto Action = std::move(Next->second);
    Events.erase(Next);
    Action();
  }
}

void room_fleet::sendNext(std::size_t Index) {
  const room_demand &Demand = Demands[Index];
  const bool InBurst =
      Now - Start >= Demand.BurstFrom && Now - Start < Demand.BurstTo;
  const double PerSecond =
      RoomPerSecond * Demand.Load * std::max(1.0, Demand.BurstFactor);
  std::exponential_distribution<double> Gap(PerSecond);
  // Thinned outside the burst, so that a burst begins on time.
  const bool IsSent = InBurst || std::uniform_real_distribution<double>(
                                     0, Demand.BurstFactor)(Random) < 1;
  if (IsSent && Now > Start) {
    std::uniform_real_distribution<double> Work(0.5 * WorkMs, 1.5 * WorkMs);
    request Request{Index,        Now, false, Random() % Controls.size(),
                    Work(Random), {}};
    ++resultOf(Request).Asked;
    arrive(Request);
  }
  const instant When = Now + fromSeconds(Gap(Random));
  if (When < End)
    at(When, [this, Index] { sendNext(Index); });
}

room_result &room_fleet::resultOf(const request &Request) {
  return Results[Request.Demand][static_cast<std::size_t>(
      (Request.FirstSentAt - Start) / Interval)];
}

std::size_t room_fleet::shortestOfThree() {
  std::size_t Best = UpstreamCount;
  for (int Try = 0; Try < 3; ++Try) {
    const std::size_t Index = Lost + Random() % (UpstreamCount - Lost);
    if (Best == UpstreamCount ||
        Upstreams[Index].Queue.size() + Upstreams[Index].Running <
            Upstreams[Best].Queue.size() + Upstreams[Best].Running)
      Best = Index;
  }
  return Best;
}

void room_fleet::arrive(request Request) {
  const room_demand &Demand = Demands[Request.Demand];
  const std::uint64_t Number = ++LastNumber;
  const std::string Id = std::to_string(Number);
  const span_ns Left = Request.FirstSentAt + Deadline - Now;
  const auto Refusal = Controls[Request.Instance].admit(
      {"s", Demand.Team, Id, Number, Demand.Priority, WorkMs, Aim, Left}, Now);
  if (Refusal) {
    if (Request.IsRetry) {
      ++resultOf(Request).Refused;
      return;
    }
    Request.IsRetry = true;
    Request.Instance = Random() % Controls.size();
    return at(Now + Refusal->RetryAfter, [this, Request] { arrive(Request); });
  }
  const std::size_t Index = shortestOfThree();
  upstream &Upstream = Upstreams[Index];
  request Sent = Request;
  Sent.Finish = [this, Index, Sent = Request, Number] {
    upstream &Done = Upstreams[Index];
    --Done.Running;
    room_result &Result = resultOf(Sent);
    ++(Now - Sent.FirstSentAt <= Aim ? Result.InAim : Result.Late);
    LastReports[Index] = {static_cast<std::int64_t>(Done.Running),
                          static_cast<std::int64_t>(Done.Queue.size()), Slots,
                          Slots};
    ReportedAt[Index] = Now;
    Controls[Sent.Instance].onFirstChunk("s", Number, Now);
    Controls[Sent.Instance].onReport("s", std::to_string(Index),
                                     LastReports[Index], Now);
    if (!Done.Queue.empty()) {
      const request Next = Done.Queue.front();
      Done.Queue.pop_front();
      begin(Index, Next);
    }
  };
  if (Upstream.Running < Slots)
    begin(Index, Sent);
  else
    Upstream.Queue.push_back(Sent);
}

void room_fleet::begin(std::size_t Index, const request &Request) {
  ++Upstreams[Index].Running;
  at(Now + fromMs(Request.WorkMs), Request.Finish);
}

void room_fleet::exchangeReports() {
  for (room_control &Control : Controls) {
    Control.takeChanges(Now);
    for (std::size_t Index = 0; Index < UpstreamCount; ++Index)
      if (ReportedAt[Index] > Now - 2 * ReportInterval)
        Control.onReport("s", std::to_string(Index), LastReports[Index],
                         ReportedAt[Index]);
  }
  if (Now < End)
    at(Now + ReportInterval, [this] { exchangeReports(); });
}

room_result room_fleet::result(std::size_t Demand, span_ns From,
                               span_ns To) const {
  room_result Sum;
  for (span_ns At = From; At < To; At += Interval) {
    const room_result &Part =
        Results[Demand][static_cast<std::size_t>(At / Interval)];
    Sum.Asked += Part.Asked;
    Sum.InAim += Part.InAim;
    Sum.Late += Part.Late;
    Sum.Refused += Part.Refused;
  }
  return Sum;
}

room_result room_fleet::total(span_ns From, span_ns To) const {
  room_result Sum;
  for (std::size_t Demand = 0; Demand < Demands.size(); ++Demand) {
    const room_result Part = result(Demand, From, To);
    Sum.Asked += Part.Asked;
    Sum.InAim += Part.InAim;
    Sum.Late += Part.Late;
    Sum.Refused += Part.Refused;
  }
  return Sum;
}

} // namespace ebonyvale

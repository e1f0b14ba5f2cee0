// A fleet that carries out one release, in virtual time.
#ifndef EBONYVALE_TESTS_DECISIONS_PROCESS_RELEASED_FLEET_H
#define EBONYVALE_TESTS_DECISIONS_PROCESS_RELEASED_FLEET_H

#include "decisions/process/service_releases.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

using namespace std::chrono_literals;

inline constexpr release_options Bounds{0.1, 50, 5s};
inline constexpr std::size_t UpstreamCount = 12; ///< of each version
inline constexpr double BaseFailures = 0.005;

struct version_kind {
  const char *Name;
  bool IsBad;
  double Failures = BaseFailures;
  double Slower = 1;
  double From = 0;        ///< share of the duration after which it is faulty
  bool UnderLoad = false; ///< only at four fifths of its later load
  bool OneRoute = false;
  bool OneUpstream = false;
  bool IsSmall = false;
};

inline constexpr version_kind Versions[] = {
    {"good", false},
    {"one upstream", false, 0.3, 1, 0, false, false, true},
    {"3% failures", true, 0.03, 1, 0, false, false, false, true},
    {"10% failures", true, 0.1},
    {"50% failures", true, 0.5},
    {"3 times slower", true, BaseFailures, 3},
    {"20% later", true, 0.2, 1, 0.5},
    {"30% under load", true, 0.3, 1, 0, true},
    {"20%, one route", true, 0.2, 1, 0, false, true},
};

enum class trouble { None, DeciderKilled, HalfCutOff, MessagesLost, StoreDown };
inline constexpr const char *TroubleNames[] = {
    "none", "decider killed", "half cut off", "messages lost", "store down"};

/// What happened to one release.
struct outcome {
  release_state State = release_state::Running;
  std::size_t Requests = 0;
  std::size_t Exposed = 0;
  /// Sent to the version more than the bound on roll-backs after its 50th bad
  /// response, or after an instance that was told has stopped.
  std::size_t Late = 0;
  double EndedAt = 0;
  std::string Reason;
};

/// One service's release in a fleet.
class released_fleet {
public:
  released_fleet(const version_kind &Version, std::size_t Count,
                 trouble Trouble, span_ns Duration, unsigned Seed)
      : Version(Version), Trouble(Trouble), Duration(Duration), Random(Seed),
        RequestsPerSecond(std::max(240.0, 4.0 * static_cast<double>(Count))) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Names.push_back(fmt::format("i-{}", Index));
    DomainCount = Count > 100 ? 20 : std::min<std::size_t>(Count, 6);
    std::vector<upstream_entry> Entries;
    for (std::size_t Index = 0; Index < 2 * UpstreamCount; ++Index) {
      upstream_entry Entry;
      Entry.Id = fmt::format("u-{}", Index);
      Entry.Service = "shop";
      Entry.Software = Index < UpstreamCount ? "v1" : "v2";
      Entries.push_back(Entry);
    }
    Directory.setAll(std::move(Entries), listing_kind::Continuous, Now);
    for (std::size_t Index = 0; Index < Count; ++Index)
      Instances.push_back(instance{start(Index, /*AtStart=*/false), 1, Now});
  }

  outcome run() {
    constexpr span_ns Step = 10ms;
    constexpr span_ns Extra = 6s; // for ends after the deadline
    const std::int64_t StepsPerTick = Instances.size() > 100 ? 50 : 25;
    for (std::int64_t Count = 0; Now < instant() + Duration + Extra; ++Count) {
      std::poisson_distribution<int> Arrivals(RequestsPerSecond *
                                              toSeconds(Step));
      if (!isPast(1))
        for (int Left = Arrivals(Random); Left > 0; --Left)
          send();
      if (Count % 1000 == 999 && Trouble == trouble::DeciderKilled)
        kill(Holder);
      if (Count % StepsPerTick == 0)
        tick();
      Now += Step;
    }
    Result.State = Status ? Status->State : release_state::Running;
    return Result;
  }

private:
  struct instance {
    service_releases Releases;
    std::int64_t Boot;
    instant DownUntil;
  };

  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }
  std::size_t any(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  }
  double elapsed() const { return toSeconds(Now - instant()); }
  bool isPast(double Share) const {
    return elapsed() >= Share * toSeconds(Duration);
  }
  std::size_t domainOf(std::size_t Index) const { return Index % DomainCount; }
  bool isCut(std::size_t Index) const {
    return Trouble == trouble::HalfCutOff && isPast(0.2) && Index % 2 == 1;
  }
  bool isStoreDown() const {
    return Trouble == trouble::StoreDown && isPast(0.2) && !isPast(0.75);
  }

  service_releases start(std::size_t Index, bool AtStart) {
    service_releases Releases(Names[Index], Bounds);
    Releases.setInstances(Names, !AtStart);
    Releases.onOrder("shop", Order, AtStart, Now);
    Releases.onStatus("shop", Status, Revision);
    Releases.onUpstreams(Directory, Now);
    // The age that the record of the release shows.
    Releases.onPeerNews({"shop", "v2", Order.Revision, Now - instant()}, Now);
    return Releases;
  }

  void send() {
    ++Result.Requests;
    std::size_t Index = any(Instances.size());
    if (Instances[Index].DownUntil > Now)
      return;
    service_releases &Releases = Instances[Index].Releases;
    std::vector<std::size_t> Usable;
    for (std::size_t Id = UpstreamCount; Id < 2 * UpstreamCount; ++Id)
      if (const auto Use = Releases.useOf("shop", "v2", idOf(Id), false, Now);
          Use == software_use::Preferred || Use == software_use::Allowed)
        Usable.push_back(Id);
    const std::size_t Chosen =
        Usable.empty() ? any(UpstreamCount) : Usable[any(Usable.size())];
    const bool IsNew = Chosen >= UpstreamCount;
    const char *Software = IsNew ? "v2" : "v1";
    Releases.onSent("shop", Software, /*IsFirst=*/true, Now);
    const bool IsSecondRoute = chance(0.4);
    const bool IsFaulty = IsNew && isFaulty(Chosen, IsSecondRoute);
    const double Failures = IsFaulty ? Version.Failures : BaseFailures;
    const double Ms = std::lognormal_distribution<double>(3, 0.4)(Random) *
                      (IsFaulty ? Version.Slower : 1);
    const bool Fails = chance(Failures);
    if (IsNew)
      onExposed(IsFaulty && (Fails || Version.Slower > 1));
    Releases.onResponse("shop", Software, idOf(Chosen),
                        IsSecondRoute ? "/order" : "/stock",
                        {Fails, fromMs(Ms)}, Now);
  }

  static std::string idOf(std::size_t Index) {
    return fmt::format("u-{}", Index);
  }

  bool isFaulty(std::size_t Upstream, bool IsSecondRoute) {
    std::deque<instant> &Last = Arrivals[Upstream % UpstreamCount];
    Last.push_back(Now);
    while (Last.front() < Now - 1s)
      Last.pop_front();
    const double Later = RequestsPerSecond / UpstreamCount;
    return isPast(Version.From) && (!Version.OneRoute || IsSecondRoute) &&
           (!Version.OneUpstream || Upstream == faultyUpstream()) &&
           (!Version.UnderLoad ||
            static_cast<double>(Last.size()) >= 0.8 * Later);
  }

  /// One of those that get requests.
  std::size_t faultyUpstream() const {
    std::vector<std::string> Ids;
    for (std::size_t Index = 0; Index < UpstreamCount; ++Index)
      Ids.push_back(idOf(UpstreamCount + Index));
    const std::string Id = loadedUpstreams(Ids, "v2", 0).Ids.front();
    return static_cast<std::size_t>(std::stoul(Id.substr(2)));
  }

  void onExposed(bool IsBadResponse) {
    ++Result.Exposed;
    if (FiftiethAt && Now > *FiftiethAt + Bounds.RollbackTime)
      ++Result.Late;
    BadResponses += IsBadResponse;
    if (BadResponses == 50 && !FiftiethAt)
      FiftiethAt = Now;
  }

  void tick() {
    for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
      instance &Instance = Instances[Index];
      if (Instance.DownUntil > Now)
        continue;
      if (!isStoreDown() && !isCut(Index))
        Instance.Releases.onStatus("shop", Status, Revision);
      Instance.Releases.onTick(Now);
    }
    gossip();
    decide();
  }

  /// Sends summaries within each domain, and sums between domains.
  void gossip() {
    for (std::size_t From = 0; From < Instances.size(); ++From) {
      if (Instances[From].DownUntil > Now)
        continue;
      const auto Own = Instances[From].Releases.ownSummaries();
      const auto News = Instances[From].Releases.news(Now);
      const bool IsFirst = From < DomainCount;
      const auto Sum = IsFirst ? Instances[From].Releases.domainSummaries()
                               : std::vector<evidence_summary>{};
      for (std::size_t To = 0; To < Instances.size(); ++To) {
        const bool IsNear = domainOf(From) == domainOf(To);
        if (To == From || (!IsNear && !IsFirst) ||
            Instances[To].DownUntil > Now || isCut(From) != isCut(To) ||
            (Trouble == trouble::MessagesLost && chance(0.5)))
          continue;
        service_releases &Peer = Instances[To].Releases;
        for (const evidence_summary &Summary : IsNear ? Own : Sum)
          Peer.onPeerSummary(
              {IsNear ? Names[From] : fmt::format("d-{}", domainOf(From)),
               IsNear ? Instances[From].Boot : 0, !IsNear},
              Summary, Now);
        for (const release_news &Item : News)
          Peer.onPeerNews(Item, Now);
      }
    }
  }

  void kill(std::size_t Index) {
    instance &Instance = Instances[Index];
    Instance.Releases = start(Index, /*AtStart=*/true);
    ++Instance.Boot;
    Instance.DownUntil = Now + 300ms;
    // The claim is free once its lease has ended.
    Holder =
        (Index + (Trouble == trouble::HalfCutOff ? 2 : 1)) % Instances.size();
    HolderFrom = Now + 2500ms;
  }

  void decide() {
    for (std::size_t Index = 0; Index < Instances.size(); ++Index)
      if (!isStoreDown() && !isCut(Index) && Instances[Index].DownUntil <= Now)
        write(Index, Index == Holder && Now >= HolderFrom);
  }

  void write(std::size_t Index, bool HoldsClaim) {
    service_releases &Decider = Instances[Index].Releases;
    for (const release_write &Write : Decider.decide(Now, HoldsClaim)) {
      if (Write.ExpectedStatusRevision != Revision) {
        Decider.onWriteResult("shop", release_write_outcome::Conflict, Now);
        continue;
      }
      cr_assert(!Status || !Status->isFinal());
      Status = Write.Status;
      ++Revision;
      Result.Reason = Write.Reason;
      if (Status->isFinal())
        Result.EndedAt = elapsed();
      // Between writing and telling.
      if (Trouble == trouble::DeciderKilled && HoldsClaim) {
        kill(Index);
        return;
      }
      Decider.onStatus("shop", Status, Revision);
      Decider.onWriteResult("shop", release_write_outcome::Written, Now);
    }
  }

  version_kind Version;
  trouble Trouble;
  span_ns Duration;
  std::mt19937 Random;
  double RequestsPerSecond;
  std::size_t DomainCount = 1;
  instant Now;
  upstream_directory Directory;
  release_order Order{"shop", "v2", Duration, 7};
  std::optional<release_status> Status;
  std::int64_t Revision = 0;
  std::vector<std::string> Names;
  std::vector<instance> Instances;
  std::size_t Holder = 0;
  instant HolderFrom;
  std::array<std::deque<instant>, UpstreamCount> Arrivals;
  std::size_t BadResponses = 0;
  std::optional<instant> FiftiethAt;
  outcome Result;
};

} // namespace ebonyvale

#endif

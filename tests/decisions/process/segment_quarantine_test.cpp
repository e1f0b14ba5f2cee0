// Segments that crash upstreams, played on a fleet in virtual time: instances
// that see a part of the requests each and tell each other by messages that
// take time and get lost.
#include "decisions/process/segment_quarantine.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct fleet_row {
  char Name[32];
  std::size_t Instances;
  std::size_t Engines;
  double RequestsPerSecond;
  double CrashingShare; ///< of the requests, from 4 s on
  double LossRate;      ///< of messages between instances
  bool HeadFirst;       ///< engines send the head before the first event
  bool Outage;          ///< all engines are lost again and again, by themselves
};

/// A fleet before engines that crash when they begin a response to a prompt
/// with the segment "crashing".
class fleet_simulation {
public:
  fleet_simulation(const fleet_row &Row, unsigned Seed)
      : Row(Row), Random(Seed), Engines(Row.Engines) {
    Instances.assign(Row.Instances, segment_quarantine({}));
    for (engine &Engine : Engines)
      Engine.Id = ++LastEngine;
  }

  void run() {
    constexpr span_ns Length = 30s;
    constexpr std::size_t OutageSeconds = 2;
    for (span_ns At{0}; At < Length;
         At += fromSeconds(1.0 / Row.RequestsPerSecond))
      schedule(At, [this] { arrive(); });
    if (Row.Outage)
      for (std::size_t Second = 4; Second < 20; Second += OutageSeconds)
        schedule(std::chrono::seconds(Second), [this] {
          for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine)
            crash(Engine, 500ms);
        });
    for (span_ns At{0}; At < Length; At += GossipInterval)
      schedule(At, [this] { gossip(); });
    while (!Events.empty()) {
      const auto Next = Events.begin();
      Now = Next->first;
      const auto Action = std::move(Next->second);
      Events.erase(Next);
      Action();
    }
  }

  /// Times at which requests with the segment were sent to an engine.
  std::vector<instant> CrashingSent;
  std::vector<instant> Crashes; ///< by the segment
  std::size_t Sound = 0;        ///< requests, from 10 s on
  std::size_t SoundRefused = 0; ///< of those, as quarantined

private:
  static constexpr span_ns GossipInterval = 250ms;

  struct request {
    std::vector<segment_id> Segments;
    bool Crashing = false;
    std::size_t Instance = 0;
    std::size_t Engine = 0;
    bool Begun = false;
    int Attempts = 0;
  };
  struct engine {
    engine_id Id = 0;
    bool Up = true;
    std::set<std::shared_ptr<request>> Running;
  };

  void schedule(span_ns In, std::function<void()> Action) {
    Events.emplace(Now + In, std::move(Action));
  }

  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  }
  bool happens(double Share) {
    return std::uniform_real_distribution<>(0, 1)(Random) < Share;
  }
  span_ns between(span_ns Low, span_ns High) {
    return span_ns(std::uniform_int_distribution<std::int64_t>(
        Low.count(), High.count())(Random));
  }

  /// Each instance sends its quarantined segments to some peers.
  void gossip() {
    constexpr std::size_t Receivers = 4;
    for (segment_quarantine &Instance : Instances)
      for (std::size_t Index = 0; Index < Receivers; ++Index) {
        const std::size_t Peer = pick(Instances.size());
        if (happens(Row.LossRate))
          continue;
        const auto Sound =
            Instances[Peer].onPeerQuarantine(Instance.quarantined(Now), Now);
        Instance.onPeerCompleted(Sound, Now);
      }
  }

  void arrive() {
    auto Request = std::make_shared<request>();
    Request->Instance = pick(Instances.size());
    Request->Crashing = Now >= instant(4s) && happens(Row.CrashingShare);
    constexpr std::size_t Popular = 3;
    constexpr std::size_t Rare = 300;
    // All segments but the crashing one and the last are shared.
    const std::string First = "first-" + std::to_string(pick(Popular));
    const std::string Middle = "middle-" + std::to_string(pick(Rare));
    std::vector<named_segment> Named{{First, 500}, {Middle, 100}};
    if (Request->Crashing)
      Named.push_back({"crashing", 100});
    Named.push_back({"own-" + std::to_string(++Number), 20});
    Request->Segments = segmentIds("model", Named);
    send(Request);
  }

  void send(const std::shared_ptr<request> &Request) {
    segment_quarantine &Instance = Instances[Request->Instance];
    const bool Refused = Instance.tryPass(Request->Segments, Now).has_value();
    if (!Request->Crashing && Now >= instant(10s) && Request->Attempts == 0) {
      ++Sound;
      SoundRefused += Refused ? 1 : 0;
    }
    std::vector<std::size_t> Up;
    for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine)
      if (Engines[Engine].Up)
        Up.push_back(Engine);
    if (Refused || Up.empty())
      return;
    ++Request->Attempts;
    Request->Engine = Up[pick(Up.size())];
    Request->Begun = false;
    if (Request->Crashing)
      CrashingSent.push_back(Now);
    engine &Engine = Engines[Request->Engine];
    Engine.Running.insert(Request);
    schedule(between(20ms, 400ms), [this, Request, Id = Engine.Id] {
      if (Engines[Request->Engine].Running.contains(Request) &&
          Engines[Request->Engine].Id == Id)
        begin(Request);
    });
  }

  void begin(const std::shared_ptr<request> &Request) {
    if (Request->Crashing) {
      Crashes.push_back(Now);
      return crash(Request->Engine, 3s);
    }
    Request->Begun = true;
    Instances[Request->Instance].onResponseBegun(Now);
    schedule(between(50ms, 2000ms), [this, Request] {
      if (Engines[Request->Engine].Running.erase(Request) > 0)
        complete(*Request);
    });
  }

  void complete(const request &Request) {
    const auto Suspected =
        Instances[Request.Instance].onCompleted(Request.Segments, Now);
    if (!Suspected.empty())
      tellPeers(Request.Instance, [Suspected](auto &Peer, instant At) {
        Peer.onPeerCompleted(Suspected, At);
      });
  }

  void crash(std::size_t Number, span_ns Down) {
    engine &Engine = Engines[Number];
    Engine.Up = false;
    const engine_id Id = Engine.Id;
    const auto Lost = std::exchange(Engine.Running, {});
    for (const auto &Request : Lost)
      schedule(between(1ms, 10ms), [this, Request, Id] { lose(Request, Id); });
    schedule(Down, [this, Number] {
      Engines[Number].Up = true;
      Engines[Number].Id = ++LastEngine;
    });
  }

  void lose(const std::shared_ptr<request> &Request, engine_id Engine) {
    if (Request->Begun)
      return;
    segment_quarantine &Instance = Instances[Request->Instance];
    const auto Stage = Request->Crashing && Row.HeadFirst ? loss_stage::Begun
                                                          : loss_stage::Waiting;
    const auto Losses = Instance.onLost(Request->Segments, Engine, Stage, Now);
    tellPeers(Request->Instance, [Losses, Engine](auto &Peer, instant At) {
      Peer.onPeerLost(Losses, Engine, At);
    });
    if (Request->Attempts < 2 && !Instance.isSuspected(Request->Segments, Now))
      send(Request);
  }

  void
  tellPeers(std::size_t From,
            const std::function<void(segment_quarantine &, instant)> &What) {
    for (std::size_t Peer = 0; Peer < Instances.size(); ++Peer)
      if (Peer != From && !happens(Row.LossRate))
        schedule(between(5ms, 40ms),
                 [this, Peer, What] { What(Instances[Peer], Now); });
  }

  const fleet_row &Row;
  std::mt19937 Random;
  std::vector<segment_quarantine> Instances;
  std::vector<engine> Engines;
  std::multimap<instant, std::function<void()>> Events;
  instant Now;
  std::size_t Number = 0;
  engine_id LastEngine = 1000;
};

const segment_id Bad[] = {7};
const segment_id BadAndPopular[] = {1, 7};
const segment_id Popular[] = {1};
const segment_loss UnlikelyLoss[] = {{7, 0.01}};

/// Records three crashes of segment 7 among enough begun responses, the last at
/// \p Now.
void quarantineBad(segment_quarantine &Quarantine, instant Now) {
  for (int Begun = 0; Begun < 100; ++Begun)
    Quarantine.onResponseBegun(Now - 3s);
  for (const int Index : {2, 1, 0})
    Quarantine.onLost(Bad, static_cast<engine_id>(Index), loss_stage::Begun,
                      Now - Index * 1s);
}

} // namespace

ParameterizedTestParameters(segment_quarantine, played_on_a_fleet) {
  static fleet_row Rows[] = {
      {"small fleet", 8, 9, 70, 0.03, 0, true, false},
      {"without an early head", 8, 9, 70, 0.03, 0, false, false},
      {"lost messages", 8, 9, 70, 0.03, 0.1, true, false},
      {"a tenth crashes", 8, 9, 70, 0.1, 0, true, false},
      {"a fifth crashes", 8, 9, 70, 0.2, 0, true, false},
      {"one instance", 1, 9, 70, 0.03, 0, true, false},
      {"large fleet", 100, 60, 500, 0.03, 0.03, true, false},
      {"outages", 8, 9, 70, 0, 0, true, true},
      {"outages, no early head", 8, 9, 70, 0, 0, false, true},
  };
  return criterion_test_params(Rows);
}

/// At most three requests with the segment may reach engines later than 3 s
/// after the fifth crash. Sound ones are not refused.
ParameterizedTest(fleet_row *Row, segment_quarantine, played_on_a_fleet) {
  constexpr std::size_t KnownCrashes = 5;
  constexpr span_ns KnownAfter = 3s;
  constexpr std::ptrdiff_t MaxLater = 3;
  constexpr double MaxRefusedShare = 0.01;
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    fleet_simulation Fleet(*Row, Seed);
    Fleet.run();
    cr_assert(Fleet.CrashingSent.empty() == (Row->CrashingShare == 0));
    if (Fleet.Crashes.size() >= KnownCrashes) {
      const instant Bound = Fleet.Crashes[KnownCrashes - 1] + KnownAfter;
      const auto Later = std::ranges::count_if(
          Fleet.CrashingSent, [Bound](instant At) { return At > Bound; });
      cr_assert(Later <= MaxLater, "%s, seed %u: %td later, %zu crashes",
                Row->Name, Seed, Later, Fleet.Crashes.size());
    }
    cr_assert(static_cast<double>(Fleet.SoundRefused) <=
                  MaxRefusedShare * static_cast<double>(Fleet.Sound),
              "%s, seed %u: %zu of %zu sound requests refused", Row->Name, Seed,
              Fleet.SoundRefused, Fleet.Sound);
  }
}

Test(segment_quarantine, a_complete_response_clears_its_segments) {
  segment_quarantine Quarantine({});
  const instant Now(10s);
  quarantineBad(Quarantine, Now);
  cr_assert(Quarantine.blockedFor(BadAndPopular, Now) == 60s);
  cr_assert(!Quarantine.blockedFor(Popular, Now));
  cr_assert(Quarantine.takeNew() == std::vector<segment_id>{7});
  cr_assert(Quarantine.onCompleted(BadAndPopular, Now) ==
            std::vector<segment_id>{7});
  cr_assert(!Quarantine.blockedFor(Bad, Now));
  cr_assert(!Quarantine.isSuspected(Bad, Now));
}

Test(segment_quarantine, losses_at_one_upstream_are_one_crash) {
  segment_quarantine Quarantine({});
  const instant Now(10s);
  for (int Loss = 0; Loss < 10; ++Loss)
    Quarantine.onPeerLost(UnlikelyLoss, 1, Now);
  cr_assert(!Quarantine.isSuspected(Bad, Now));
  // The upstream was restarted at its address and crashed again.
  Quarantine.onPeerLost(UnlikelyLoss, 1, Now + 5s);
  cr_assert(Quarantine.isSuspected(Bad, Now + 5s));
}

Test(segment_quarantine, a_crash_after_a_quarantine_doubles_it) {
  segment_quarantine Quarantine({});
  instant Now(10s);
  quarantineBad(Quarantine, Now);
  span_ns Expected = 60s;
  for (engine_id Engine = 10; Engine < 20; ++Engine) {
    cr_assert(Quarantine.blockedFor(Bad, Now) == Expected);
    Now += Expected;
    cr_assert(!Quarantine.blockedFor(Bad, Now));
    Quarantine.onPeerLost(UnlikelyLoss, Engine, Now);
    Expected = std::min<span_ns>(2 * Expected, 10min);
  }
  // After a quarantine and a minute without a crash nothing is left.
  cr_assert(!Quarantine.isSuspected(Bad, Now + Expected + 60s));
}

Test(segment_quarantine, a_peers_quarantine_is_adopted_unless_found_sound) {
  const instant Now(10s);
  const quarantined_segment Reported[] = {{7, 20s}};
  segment_quarantine Unknowing({});
  cr_assert(Unknowing.onPeerQuarantine(Reported, Now).empty());
  cr_assert(Unknowing.blockedFor(Bad, Now) == 20s);
  cr_assert(Unknowing.quarantined(Now).size() == 1);
  segment_quarantine Sound({});
  Sound.onPeerLost(UnlikelyLoss, 1, Now);
  Sound.onCompleted(Bad, Now);
  cr_assert(Sound.onPeerQuarantine(Reported, Now) ==
            std::vector<segment_id>{7});
  cr_assert(!Sound.blockedFor(Bad, Now));
  // Crashes after the complete response count again.
  for (const engine_id Engine : {1, 2, 3, 4, 5}) {
    Sound.onPeerLost(UnlikelyLoss, Engine, Now + Engine * 1s);
    cr_assert(!Sound.blockedFor(Bad, Now + Engine * 1s));
  }
  Sound.onPeerLost(UnlikelyLoss, 6, Now + 6s);
  cr_assert(Sound.blockedFor(Bad, Now + 6s) == 60s);
  cr_assert(Sound.onPeerQuarantine(Reported, Now + 6s).empty());
}

Test(segment_quarantine, the_first_segments_of_a_prompt_are_counted) {
  const std::vector<named_segment> Many(10000, {"s", 1});
  cr_assert(segmentIds("m", Many).size() == MaxCountedSegments);
}

Test(segment_quarantine, the_number_of_segments_is_bounded) {
  segment_quarantine Quarantine({.MaxEntries = 100});
  const instant Now(10s);
  quarantineBad(Quarantine, Now);
  for (segment_id Segment = 1000; Segment < 3000; ++Segment) {
    const segment_loss Lost[] = {{Segment, 0.5}};
    Quarantine.onPeerLost(Lost, 1, Now + 1s);
  }
  cr_assert(Quarantine.size() <= 100);
  cr_assert(Quarantine.blockedFor(Bad, Now + 1s).has_value(), "expires last");
}

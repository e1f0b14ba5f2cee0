/// \file
/// Finds prompt segments that crash the upstreams which begin to respond to
/// them, whatever else the prompt holds.
///
/// A crash loses all requests on an upstream, so one loss says little about a
/// segment. Each loss before the response has begun, with its first event or
/// byte, counts with the share of the instance's other attempts that end in
/// this way: in an outage losses are common and count for little. A complete
/// response proves that its segments are sound. A segment is quarantined when
/// its losses, at several upstreams and without a complete response in between,
/// cannot be chance.
#ifndef EBONYVALE_DECISIONS_PROCESS_SEGMENT_QUARANTINE_H
#define EBONYVALE_DECISIONS_PROCESS_SEGMENT_QUARANTINE_H

#include "common/instant.h"
#include "decisions/process/prefix_index.h"
#include "decisions/request/caller_request.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ebonyvale {

/// Hash of a model and the name of a prompt segment; the same on all instances.
using segment_id = std::uint64_t;

/// Returns the ids of \p Segments in prompts for \p Model, of the first
/// `MaxCountedSegments` only: callers choose how many there are.
std::vector<segment_id> segmentIds(std::string_view Model,
                                   std::span<const named_segment> Segments);

/// Segments of one prompt that are counted, and quarantined ones in a message.
inline constexpr std::size_t MaxCountedSegments = 64;

/// How far an attempt had come when its upstream was lost.
enum class loss_stage {
  Waiting, ///< without a response head; it may not have begun to run
  Begun,   ///< with a response head only
};

/// A segment of a request that was lost, and the probability that a request
/// without the segment is lost in this way.
struct segment_loss {
  segment_id Segment = 0;
  double Chance = 1;
};

/// A segment and the time that it stays quarantined.
struct quarantined_segment {
  segment_id Segment = 0;
  span_ns Left{0};
};

/// Options of `segment_quarantine`.
struct segment_quarantine_options {
  /// Fewest crashes before a segment is quarantined.
  std::size_t MinLosses = 3;
  /// Largest probability that the losses of a quarantined segment are chance.
  double MaxChance = 2e-5;
  /// Losses at one upstream within this time are one crash.
  span_ns CrashDuration = std::chrono::seconds(1);
  /// Crashes of several upstreams within this time count once, since they may
  /// have a common cause that is not a request.
  span_ns OutageDuration = std::chrono::milliseconds(100);
  /// Of the requests with a segment that has had two crashes, which are chance
  /// with at most this probability, one may pass in each `HoldDuration`. If it
  /// is served, the segment is sound.
  double MaxHoldChance = 2e-3;
  span_ns HoldDuration = std::chrono::seconds(1);
  /// How many times as many crashes, each as unlikely, a segment takes that was
  /// served within `SuspicionDuration` before them. While a segment crashes all
  /// upstreams, sound ones that many prompts share are not served either.
  std::size_t SoundFactor = 2;
  /// Time that a segment stays suspected after its last loss.
  span_ns SuspicionDuration = std::chrono::minutes(1);
  /// Duration of the first quarantine; each further one takes twice as long.
  span_ns QuarantineDuration = std::chrono::minutes(1);
  span_ns MaxQuarantineDuration = std::chrono::minutes(10);
  /// Attempts of the last one to two times this long give the share of losses.
  span_ns OutcomeWindow = std::chrono::seconds(5);
  /// Largest number of segments that are remembered.
  std::size_t MaxEntries = 4096;
};

/// Records losses and complete responses by prompt segment.
class segment_quarantine {
public:
  explicit segment_quarantine(segment_quarantine_options Options)
      : Options(Options) {}

  /// Records that the response to an attempt of this instance has begun.
  void onResponseBegun(instant Now);

  /// Records that \p Upstream was lost during an attempt of this instance.
  /// Returns what `onPeerLost` takes at the peers.
  std::vector<segment_loss> onLost(std::span<const segment_id> Segments,
                                   engine_id Upstream, loss_stage Stage,
                                   instant Now);

  /// Records that \p Upstream was lost during an attempt of a peer.
  void onPeerLost(std::span<const segment_loss> Losses, engine_id Upstream,
                  instant Now);

  /// Records a complete response. Returns the segments that were suspected, to
  /// be reported to the peers.
  std::vector<segment_id> onCompleted(std::span<const segment_id> Segments,
                                      instant Now);

  /// Records that a peer received a complete response.
  void onPeerCompleted(std::span<const segment_id> Segments, instant Now);

  /// Adopts the quarantine of a peer. Returns the segments that have been found
  /// sound after they were suspected, to be reported to the peer.
  std::vector<segment_id>
  onPeerQuarantine(std::span<const quarantined_segment> Segments, instant Now);

  /// Returns the longest time that one of \p Segments stays quarantined or is
  /// held back, or nothing if none is.
  std::optional<span_ns> blockedFor(std::span<const segment_id> Segments,
                                    instant Now) const;

  /// Returns like `blockedFor`. If a request may pass that has a segment which
  /// was held back, further ones are held back until it has shown more.
  std::optional<span_ns> tryPass(std::span<const segment_id> Segments,
                                 instant Now);

  /// Returns whether several crashes and no complete response suggest that a
  /// request with \p Segments crashes its upstream.
  bool isSuspected(std::span<const segment_id> Segments, instant Now) const;

  /// Returns quarantined segments, at most `MaxCountedSegments`.
  std::vector<quarantined_segment> quarantined(instant Now) const;

  /// Returns the segments quarantined since the last call.
  std::vector<segment_id> takeNew() { return std::exchange(NewIds, {}); }

  /// Returns the number of segments that are remembered.
  std::size_t size() const { return Entries.size(); }

private:
  struct crash {
    engine_id Upstream{};
    instant At;
    double Chance = 1;
  };
  struct entry {
    std::vector<crash> Crashes; ///< since the last complete response
    /// Attempts of this instance that were lost, since `LossesSince`.
    std::array<double, 2> OwnLosses{}; ///< by `loss_stage`
    instant LossesSince;
    instant HeldUntil;
    instant QuarantinedUntil;
    unsigned Quarantines = 0;
    std::optional<instant> SoundAt; ///< last complete response
    instant ExpiresAt;
  };
  struct outcome_counts {
    double Begun = 0;
    std::array<double, 2> Lost{}; ///< by `loss_stage`
  };

  void rotateOutcomes(instant Now);
  /// Records a loss of this instance with \p Segment. Returns the share of the
  /// attempts without the segment that were lost in \p Stage.
  double recordOwnLoss(segment_id Segment, loss_stage Stage, instant Now);
  const entry *find(segment_id Segment, instant Now) const;
  /// Returns the probability that all crashes of \p Entry are chance.
  static double chanceOf(const entry &Entry);
  void addCrash(segment_id Segment, const crash &Crash);
  /// Returns whether the crashes of \p Entry are not chance.
  bool isCrashing(const entry &Entry) const;
  std::size_t minLosses(const entry &Entry) const {
    return Options.MinLosses * (Entry.SoundAt ? Options.SoundFactor : 1);
  }
  void quarantine(segment_id Segment, entry &Entry, span_ns Duration,
                  instant Now);
  void makeRoom(instant Now);

  segment_quarantine_options Options;
  std::unordered_map<segment_id, entry> Entries;
  std::vector<segment_id> NewIds;
  std::array<outcome_counts, 2> Outcomes{}; ///< current and previous window
  instant WindowBegan;
};

} // namespace ebonyvale

#endif

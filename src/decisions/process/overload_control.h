/// \file
/// Sees that the room of one service is short, and tells which fraction of the
/// demand fits.
#ifndef EBONYVALE_DECISIONS_PROCESS_OVERLOAD_CONTROL_H
#define EBONYVALE_DECISIONS_PROCESS_OVERLOAD_CONTROL_H

#include "common/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ebonyvale {

/// Options of the control. Delays are fractions of the aim, the time to the
/// first response chunk that callers are promised.
struct overload_options {
  /// Queueing delay that is kept while room is short. It also leaves room for
  /// requests that work beside the ones before them.
  double TargetDelay = 1.0 / 8;
  /// Factor by which demand is taken to exceed the room, added for each aim of
  /// delay beyond the target: at once, and for each second that it lasts. With
  /// these the control is stable while reports take up to 150 ms.
  double ProportionalGain = 3;
  double IntegralGain = 4;
  /// Delay beyond the target up to which these apply.
  double MaxExcess = 1;
  /// Queueing delay that a refusal of a full upstream stands for.
  double FullDelay = 1.0 / 2;
  /// Least fraction that fits. Of three times the room, with every refused
  /// caller returning once, somewhat more than a sixth fits.
  double MinFit = 0.15;
  /// Fraction of the upstreams that must report waiting or full slots before
  /// delays are taken for a lack of room.
  double BusyFraction = 1.0 / 3;
  /// Time constant with which everything fits again without any delay.
  span_ns ReleaseTime = std::chrono::milliseconds(200);
  /// Age up to which responses and reports count.
  span_ns SampleTtl = std::chrono::milliseconds(1000);
  span_ns ReportTtl = std::chrono::milliseconds(700);
  /// Time between two looks at the reports of all upstreams.
  span_ns ReportRefresh = std::chrono::milliseconds(40);
  /// The newest responses that count, and how many are needed.
  std::size_t MaxSamples = 9;
  std::size_t MinSamples = 3;
};

/// Load of an upstream that bears on the queueing delay there.
struct queue_report {
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
  std::int64_t Slots = 0;
  /// Requests that it works on at the same time: its slots, or 1 for an engine,
  /// which reads one prompt after the other.
  std::int64_t Parallel = 1;
};

/// What is known of a service's room.
struct room_state {
  double Fit = 1;          ///< fraction of the demand that fits
  double DelayMs = 0;      ///< queueing delay beyond the work itself
  double AimMs = 0;        ///< tightest aim of the recent requests; 0: none
  double BusyShare = 0;    ///< of the reporting upstreams, full or with a queue
  std::size_t Reports = 0; ///< upstreams that have reported lately
  bool isShort() const { return Fit < 1; }
};

/// Measures the queueing delay of one service and derives the fraction of the
/// demand that fits, by proportional-integral control of that delay.
///
/// The load it is for: demand of up to three times the room, or room that
/// shrinks at once. The delay is that of the instance's own requests, also of
/// those that are overdue, and that of the queues which upstreams have reported
/// to any instance. The median of each is used, so a few dark or slow upstreams
/// are no lack of room; nor is a slow instance, since upstreams must report
/// that they are busy. The fraction depends on the present delay only: when the
/// queues are gone everything fits again.
class overload_control {
public:
  explicit overload_control(overload_options Options = {}) : Options(Options) {}

  /// Records that the request \p Number was sent, whose first chunk is expected
  /// after \p WorkMs if it does not wait. \p Aim is its time to the first
  /// chunk, or 0.
  void onSent(std::uint64_t Number, double WorkMs, span_ns Aim, instant Now);
  /// Records the first chunk of the response to the request \p Number.
  void onFirstChunk(std::uint64_t Number, instant Now);
  /// Forgets the request \p Number.
  void onEnded(std::uint64_t Number) { Outstanding.erase(Number); }
  /// Records that a request was turned away as full, by an upstream or since
  /// the queues of all are too long for it.
  void onFull(instant Now);
  /// Records what \p Upstream has reported to any instance.
  void onReport(std::string_view Upstream, const queue_report &Report,
                instant At);
  /// Forgets upstreams that have not reported for long.
  void expire(instant Now);

  /// Updates the fraction that fits. Called before each request, and several
  /// times a second without any.
  room_state update(instant Now);
  /// Returns the state as of the last update.
  const room_state &state() const { return State; }

private:
  struct sent_request {
    instant At;
    double WorkMs = 0;
  };
  struct sample {
    instant At;
    double DelayMs = 0;
    bool Full = false;
  };
  /// What the reports show together.
  struct reported_queues {
    instant ReadAt;
    double DelayMs = 0;
    double BusyShare = 0;
    std::size_t Reports = 0;
  };
  struct kept_report {
    queue_report Report;
    instant At;
  };

  void addSample(const sample &Sample);
  double ownDelayMs(double AimMs, instant Now) const;
  /// Renews `Reported` from the reports.
  void readReports(instant Now);

  overload_options Options;
  std::unordered_map<std::uint64_t, sent_request> Outstanding;
  std::deque<sample> Samples; ///< the oldest first
  std::map<std::string, kept_report, std::less<>> Reports;
  double MeanWorkMs = 0;
  double AimMs = 0;
  instant AimAt;
  /// Integrated part of the factor by which demand exceeds the room, at
  /// least 1.
  double Pressure = 1;
  instant UpdatedAt;
  reported_queues Reported;
  room_state State;
};

} // namespace ebonyvale

#endif

#include "decisions/process/overload_control.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace ebonyvale {
namespace {

/// Time for which the tightest aim counts after its last request.
constexpr span_ns AimTtl = std::chrono::seconds(5);
/// Time after which an upstream that has not reported is forgotten.
constexpr span_ns ForgetReportAfter = std::chrono::seconds(10);
/// Longest time since the last update that is integrated over.
constexpr span_ns MaxUpdateInterval = std::chrono::milliseconds(200);
/// Weight of the newest request in the moving average of the work.
constexpr double NewestWeight = 0.05;

/// Returns the median of \p Values, which it reorders; the lower one of two.
double medianOf(std::vector<double> &Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::ranges::nth_element(Values, Middle);
  return *Middle;
}

} // namespace

void overload_control::onSent(std::uint64_t Number, double WorkMs, span_ns Aim,
                              instant Now) {
  Outstanding[Number] = {Now, WorkMs};
  MeanWorkMs = MeanWorkMs == 0
                   ? WorkMs
                   : MeanWorkMs + NewestWeight * (WorkMs - MeanWorkMs);
  if (Aim <= span_ns(0))
    return;
  if (AimMs == 0 || toMs(Aim) <= AimMs || Now - AimAt > AimTtl) {
    AimMs = toMs(Aim);
    AimAt = Now;
  }
}

void overload_control::onFirstChunk(std::uint64_t Number, instant Now) {
  const auto Node = Outstanding.extract(Number);
  if (!Node.empty())
    addSample(
        {Now,
         std::max(0.0, toMs(Now - Node.mapped().At) - Node.mapped().WorkMs),
         false});
}

void overload_control::onFull(instant Now) { addSample({Now, 0, true}); }

void overload_control::addSample(const sample &Sample) {
  Samples.push_back(Sample);
  if (Samples.size() > Options.MaxSamples)
    Samples.pop_front();
}

void overload_control::onReport(std::string_view Upstream,
                                const queue_report &Report, instant At) {
  const auto Known = Reports.find(Upstream);
  if (Known == Reports.end())
    Reports.emplace(std::string(Upstream), kept_report{Report, At});
  else if (Known->second.At <= At)
    Known->second = {Report, At};
}

void overload_control::expire(instant Now) {
  std::erase_if(Reports, [&](const auto &Known) {
    return Now - Known.second.At > ForgetReportAfter;
  });
}

/// Returns the median delay of the newest responses, among them the requests
/// that are still without one after longer than that.
double overload_control::ownDelayMs(double Aim, instant Now) const {
  std::vector<double> Delays;
  for (const sample &Sample : Samples)
    if (Now - Sample.At <= Options.SampleTtl)
      Delays.push_back(Sample.Full ? Options.FullDelay * Aim : Sample.DelayMs);
  const double Answered = Delays.empty() ? 0 : medianOf(Delays);
  for (const auto &[Number, Sent] : Outstanding) {
    const double Overdue = toMs(Now - Sent.At) - Sent.WorkMs;
    if (Overdue > Answered && Overdue <= toMs(Options.SampleTtl))
      Delays.push_back(Overdue);
  }
  return Delays.size() < Options.MinSamples ? 0 : medianOf(Delays);
}

void overload_control::readReports(instant Now) {
  if (Now - Reported.ReadAt < Options.ReportRefresh)
    return;
  Reported = {};
  Reported.ReadAt = Now;
  std::vector<double> Delays;
  std::size_t Busy = 0;
  for (const auto &[Upstream, Known] : Reports) {
    if (Now - Known.At > Options.ReportTtl)
      continue;
    const queue_report &Report = Known.Report;
    Busy += Report.Waiting > 0 || Report.Running >= Report.Slots ? 1 : 0;
    Delays.push_back(
        static_cast<double>(Report.Waiting) * MeanWorkMs /
        static_cast<double>(std::max<std::int64_t>(1, Report.Parallel)));
  }
  Reported.Reports = Delays.size();
  if (Delays.empty())
    return;
  Reported.BusyShare =
      static_cast<double>(Busy) / static_cast<double>(Delays.size());
  Reported.DelayMs = medianOf(Delays);
}

room_state overload_control::update(instant Now) {
  const double Elapsed =
      toSeconds(std::min<span_ns>(Now - UpdatedAt, MaxUpdateInterval));
  UpdatedAt = Now;
  State = {};
  State.AimMs = AimMs;
  if (AimMs <= 0)
    return State;
  readReports(Now);
  State.Reports = Reported.Reports;
  State.BusyShare = Reported.BusyShare;
  State.DelayMs = std::max(Reported.DelayMs, ownDelayMs(AimMs, Now));
  // Upstreams that report no load cannot show that they have room.
  const bool HasRoom =
      State.Reports > 0 && State.BusyShare < Options.BusyFraction;
  const double Excess =
      HasRoom ? -Options.TargetDelay
              : std::min(State.DelayMs / AimMs - Options.TargetDelay,
                         Options.MaxExcess);
  // With room, the demand that was refused is let in within a short time, not
  // at once, or it would fill the queues again.
  // Below the target the factor decays in proportion, or a factor that a long
  // delay has left would outlast the queues by seconds.
  const double Growth =
      Excess < 0 ? Excess / Options.TargetDelay / toSeconds(Options.ReleaseTime)
                 : Options.IntegralGain * Excess;
  Pressure = std::clamp(Pressure * std::exp(Growth * Elapsed), 1.0,
                        1 / Options.MinFit);
  State.Fit = std::clamp(
      1 / (Pressure * std::max(1 + Options.ProportionalGain * Excess, 0.1)),
      Options.MinFit, 1.0);
  return State;
}

} // namespace ebonyvale

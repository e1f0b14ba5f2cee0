/// \file
/// Metrics of the gateway.
#ifndef EBONYVALE_GATEWAY_PROCESS_GATEWAY_METRICS_H
#define EBONYVALE_GATEWAY_PROCESS_GATEWAY_METRICS_H

#include "decisions/process/response_ends.h"
#include "telemetry/metric_registry.h"

#include <string_view>

namespace ebonyvale {

/// Counters, gauges and latency histograms of a gateway. Metric names include
/// the unit.
class gateway_metrics : public metric_registry {
public:
  gateway_metrics();

  /// Counts a call to the store; \p Status is the name of a `store_status`.
  void onStoreCall(std::string_view Call, std::string_view Status);
  /// Counts bytes that a call to the store has received, also of a response
  /// that was given up.
  void onStoreBytes(std::string_view Call, std::string_view Status,
                    std::size_t Bytes);
  /// Counts an attempt that ended without a complete response.
  void onUpstreamLoss(std::string_view Reason);
  /// Counts a question to peers for the origin of a stream.
  void onOriginLookup(bool IsKnown);
  /// Counts a request that has waited for a read of the store.
  void onBarrier(bool IsCurrent);
  /// Counts a response that ended with its connection.
  void onEndJudged(end_verdict Verdict);
  /// Counts a state of a release that this instance has written to the store.
  void onReleaseState(std::string_view State);
  /// Counts a request without room at \p Service; \p Bound is the name of a
  /// `room_bound`.
  void onRoomRefusal(std::string_view Service, std::string_view Bound);

private:
  counter_family &StoreCalls;
  counter_family &StoreBytes;
  counter_family &UpstreamLosses;
  counter_family &OriginLookups;
  counter_family &Barriers;
  counter_family &JudgedEnds;
  counter_family &ReleaseStates;
  counter_family &RoomRefusals;

public:
  prometheus::Counter &Requests;
  prometheus::Counter &CompletedResponses;
  prometheus::Counter &CallersGone;
  prometheus::Counter &Retries;
  prometheus::Counter &StreamsResumed;
  prometheus::Counter &UncertainStreams;
  prometheus::Counter &SegmentsQuarantined;
  prometheus::Counter &OrdersSent;
  prometheus::Counter &PausesAsked;
  prometheus::Counter &UnknownFields;
  prometheus::Counter &SentThroughRelays;
  prometheus::Counter &RelayedForPeers;
  prometheus::Counter &BuffersRefused;
  prometheus::Counter &IdleConnectionsClosed;
  prometheus::Counter &VersionsBarred;
  prometheus::Gauge &ActiveReleases;
  prometheus::Counter &DocumentBytesFetched;
  prometheus::Counter &MemoryRefusals;
  prometheus::Counter &ConnectionsShed;
  prometheus::Gauge &OpenRequests;
  prometheus::Gauge &RoutingVersion;
  prometheus::Gauge &ConfigurationAgeSeconds;
  prometheus::Gauge &ConfigurationBehindSeconds;
  prometheus::Gauge &Instances;
  prometheus::Gauge &LimitedUpstreams;
  prometheus::Gauge &ShortServices;
  prometheus::Gauge &UnreachableUpstreams;
  prometheus::Gauge &StreamOrigins;
  prometheus::Gauge &BufferedBytes;
  prometheus::Gauge &LearnedServices;
  prometheus::Gauge &LearnedCosts;
  prometheus::Gauge &CallerMemoryBytes;
  prometheus::Gauge &CallerConnections;
  prometheus::Histogram &FirstChunkSeconds;
  prometheus::Histogram &FirstChunkErrorSeconds;
  prometheus::Histogram &ResponseSeconds;
};

} // namespace ebonyvale

#endif

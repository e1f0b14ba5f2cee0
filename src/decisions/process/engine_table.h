/// \file
/// State of each upstream as this process knows it: address, availability, load
/// and how long its cache retains pieces.
#ifndef EBONYVALE_DECISIONS_PROCESS_ENGINE_TABLE_H
#define EBONYVALE_DECISIONS_PROCESS_ENGINE_TABLE_H

#include "common/instant.h"
#include "decisions/process/prefix_index.h"
#include "decisions/version/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Network distance from this instance to an upstream.
enum class nearness { SameDomain, SameRegion, OtherRegion };

/// Load of an engine, as reported in a response.
struct load_report {
  double QueuedMs = 0; ///< queued prefill time
  double Running = 0;  ///< requests in progress
};

/// Configuration and observed state of one upstream.
struct engine_state {
  engine_id Id = 0;
  std::string Name;
  std::string Address;
  std::uint16_t Port = 0;
  nearness Nearness = nearness::SameDomain;
  std::uint32_t Epoch = 0; ///< see `engine_epoch`
  std::string Incarnation; ///< last reported; empty if unknown
  std::int64_t Concurrency = 1;
  bool Leaving = false;
  bool Listed = false; ///< in the current configuration

  std::int64_t InFlight = 0; ///< requests sent by this process
  double SentMs = 0; ///< prefill time sent by this process since the report
  load_report Report;
  instant ReportedAt;

  unsigned Failures = 0; ///< consecutive
  instant DownUntil;     ///< gets no requests before

  /// Estimated time for which the cache retains an unused piece, learned from
  /// responses.
  span_ns Residence = std::chrono::seconds(30);

  /// Returns whether new requests may be sent to the upstream.
  bool usable(instant Now) const {
    return Listed && !Leaving && Now >= DownUntil;
  }

  /// Returns the engine in its current incarnation.
  engine_epoch epoch() const { return {Id, Epoch}; }

  /// Returns the prefill time in ms that is queued ahead of a new request: what
  /// was reported plus what was sent since, less the time elapsed.
  double backlogMs(instant Now) const;
};

/// Holds all upstreams of the configurations seen so far. Ids stay valid for
/// the life of the process.
class engine_table {
public:
  /// \p Domain and \p Region are those of this instance.
  engine_table(std::string Domain, std::string Region)
      : Domain(std::move(Domain)), Region(std::move(Region)) {}

  /// Applies the upstreams of a configuration that takes effect.
  void update(const configuration &Config);

  engine_state &at(engine_id Id) { return Engines[Id]; }
  const engine_state &at(engine_id Id) const { return Engines[Id]; }
  const std::vector<engine_state> &all() const { return Engines; }

  /// Returns the id of an upstream. Undefined unless `update` has seen \p Name.
  engine_id idOf(std::string_view Name) const;

  /// Returns the id of an upstream, or nothing if `update` has not seen it.
  std::optional<engine_id> findId(std::string_view Name) const;

  /// Records a request sent, with its expected prefill time.
  void onSent(engine_id Id, double PrefillMs);

  /// Records that a request has ended, successfully or not.
  void onEnded(engine_id Id);

  /// Records that a response has begun. A changed incarnation invalidates what
  /// is known of the cache.
  void onResponse(engine_id Id, std::string_view Incarnation,
                  const load_report &Report, instant Now);

  /// Records that a connection failed or broke. The engine may have restarted,
  /// so what is known of its cache is invalidated.
  void onFailure(engine_id Id, instant Now);

  /// Records that the engine rejected a request because it is not the expected
  /// incarnation.
  void onStaleIncarnation(engine_id Id);

  /// Updates the residence estimate with a cache lookup that a response
  /// reported: \p Age is the time since the pieces were last used, \p Found
  /// whether they were still cached.
  void onCacheLookup(engine_id Id, span_ns Age, bool Found);

private:
  std::string Domain;
  std::string Region;
  std::vector<engine_state> Engines;
  std::map<std::string, engine_id, std::less<>> Ids;
};

} // namespace ebonyvale

#endif

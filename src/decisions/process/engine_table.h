/// \file
/// What this process knows of each upstream: where it is, whether it answers,
/// how loaded it is and how long its cache keeps pieces.
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

/// How near an upstream is to this instance.
enum class nearness { SameDomain, SameRegion, OtherRegion };

/// Load of an engine as it reports it with an answer.
struct load_report {
  double QueuedMs = 0; ///< prefill work that waits, in ms
  double Running = 0;  ///< requests that are being answered
};

/// One upstream.
struct engine_state {
  engine_id Id = 0;
  std::string Name;
  std::string Address;
  std::uint16_t Port = 0;
  nearness Nearness = nearness::SameDomain;
  std::uint32_t Epoch = 0;
  std::string Incarnation; ///< as last reported, empty while unknown
  std::int64_t Concurrency = 1;
  bool Leaving = false;
  bool Listed = false; ///< in the configuration in force

  std::int64_t InFlight = 0; ///< requests of this process
  double SentMs = 0; ///< prefill work sent by this process since the report
  load_report Report;
  instant ReportedAt;

  unsigned Failures = 0; ///< consecutive
  instant DownUntil;     ///< no work before it

  /// Age up to which cached pieces are found again, learnt from answers.
  span_ns Residence = std::chrono::seconds(30);

  /// Whether new work may go there.
  bool usable(instant Now) const {
    return Listed && !Leaving && Now >= DownUntil;
  }

  /// The engine in its present incarnation.
  engine_epoch epoch() const { return {Id, Epoch}; }

  /// Prefill work that waits before a new request, in ms: what was reported,
  /// less what has been worked off since, and what was sent since.
  double backlogMs(instant Now) const;
};

/// All upstreams of the configurations seen so far. Ids stay valid for the
/// life of the process.
class engine_table {
public:
  /// \p Domain and \p Region are those of this instance.
  engine_table(std::string Domain, std::string Region)
      : Domain(std::move(Domain)), Region(std::move(Region)) {}

  /// Takes the upstreams of a version that comes into force.
  void update(const configuration &Config);

  engine_state &at(engine_id Id) { return Engines[Id]; }
  const engine_state &at(engine_id Id) const { return Engines[Id]; }
  const std::vector<engine_state> &all() const { return Engines; }

  /// The number of an upstream that `update` has seen.
  engine_id idOf(std::string_view Name) const;

  /// The number of an upstream, if `update` has seen it.
  std::optional<engine_id> findId(std::string_view Name) const;

  /// Work was sent.
  void onSent(engine_id Id, double PrefillMs);

  /// Work has ended, however it went.
  void onEnded(engine_id Id);

  /// An answer began. A changed incarnation voids what is known of the cache.
  void onAnswer(engine_id Id, std::string_view Incarnation,
                const load_report &Report, instant Now);

  /// The connection failed or broke: the engine may be a new one by now, so
  /// what is known of its cache is void.
  void onFailure(engine_id Id, instant Now);

  /// The engine said that it is not the incarnation that was asked for.
  void onStaleIncarnation(engine_id Id);

  /// An answer told how much was found in the cache: \p Age is how long ago
  /// the pieces in question had been used, \p Found whether they were there.
  void onCacheEvidence(engine_id Id, span_ns Age, bool Found);

private:
  std::string Domain;
  std::string Region;
  std::vector<engine_state> Engines;
  std::map<std::string, engine_id, std::less<>> Ids;
};

} // namespace ebonyvale

#endif

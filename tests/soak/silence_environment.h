/// \file
/// The environment of a soak run with silent upstreams. Gateways and upstreams
/// are child processes; this process simulates the store and the callers.
#ifndef EBONYVALE_TESTS_SOAK_SILENCE_ENVIRONMENT_H
#define EBONYVALE_TESTS_SOAK_SILENCE_ENVIRONMENT_H

#include "fakes/fake_fleet_store.h"
#include "net/client_connection.h"
#include "soak/silence_checker.h"
#include "soak/silence_plan.h"
#include "soak/soak_gateway.h"
#include "soak/upstream_process.h"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ebonyvale {

/// Options of a run.
struct silence_options {
  std::string Daemon;   ///< path of ebonyvaled
  std::string Upstream; ///< path of ebonyvale-soak-upstream
  std::uint32_t Seed = 1;
  std::size_t Gateways = 3;
  std::size_t Callers = 24;
  span_ns Length = std::chrono::seconds(8);
  bool Faults = true; ///< of gateways and their links
  bool UpstreamKills = false;
  /// See `fake_upstream::CloseDelimitedEvery`.
  unsigned CloseDelimitedEvery = 0;
  /// Time from the kill of an upstream to its restart at its port; nothing: as
  /// planned, at its port or another.
  std::optional<span_ns> RestartTime;
  bool SplitEvents = false;       ///< in two writes, 20 ms apart
  unsigned ResetResponses = 0;    ///< see `fake_upstream::ResetEvery`
  unsigned TruncateResponses = 0; ///< see `fake_upstream::TruncateEvery`
  unsigned ExtraResponses = 0;    ///< see `fake_upstream::ExtraEvery`
  unsigned CopiedRefusals = 0;    ///< see `fake_upstream::RefuseEvery`
  int UpstreamClockMs = 0;        ///< see `upstream_values::ClockMs`
  int UpstreamVersions = 0;       ///< see `upstream_values::Versions`
  int ListingMs = 0; ///< longest time from an upstream's restart to its entry
  bool NameStreams = true; ///< callers name the stream that they resume
  /// Every second kill of upstreams is a stop that finishes their responses.
  bool StopUpstreams = false;
  bool FreezeGateways = false; ///< one in turn at each kill of upstreams
  unsigned Http10Every = 0; ///< one caller in so many speaks HTTP/1.0; 0: none
  bool KeepLogs = false;    ///< of runs without violations, too
  std::filesystem::path Folder;
};

/// The outcome of a run.
struct silence_result {
  std::vector<std::string> Violations; ///< one line each
  silence_counts Counts;
  std::map<int, std::size_t> Statuses;     ///< number of responses by status
  std::size_t Runs = 0;                    ///< at all upstreams
  std::size_t Truncated = 0;               ///< runs
  std::size_t TruncatedCloseDelimited = 0; ///< of them
  std::size_t Copies = 0;                  ///< of refusals
  std::size_t Extras = 0;                  ///< runs, see `upstream_run::Extra`
  std::size_t UpstreamKills = 0;
  std::size_t UpstreamStops = 0;
  std::size_t ShiftedStarts = 0; ///< see `upstream_process::shiftedStarts`
  std::size_t Freezes = 0;       ///< of gateways, at kills of upstreams
};

/// Runs the plan of one seed and checks it.
class silence_environment {
public:
  explicit silence_environment(const silence_options &Options);
  ~silence_environment();

  silence_result run();

private:
  class caller;

  void startUpstreams();
  void publishConfiguration();
  void tick();
  void applyEvent(const silence_event &Event);
  void silence(const silence_event &Event);
  void killUpstreams(const silence_event &Event);
  /// Starts \p Upstream as soon as the process before has ended, at the latest
  /// at \p Until.
  void stop(upstream_process &Upstream);
  void restart(upstream_process &Upstream, bool SamePort, instant Until);
  /// Puts the entry of \p Upstream into the store as soon as it listens, but
  /// not before \p From.
  void registerUpstream(upstream_process &Upstream, instant From);
  void applyToGateway(const silence_event &Event);
  void pause(soak_gateway &Gateway, span_ns Duration);
  bool waitFor(const std::function<bool()> &Done, span_ns Timeout);
  /// Returns the index of a gateway that listens, other than \p Avoided if
  /// there is one; nothing if none listens.
  std::optional<std::size_t> chooseGateway(std::optional<std::size_t> Avoided);
  int anyNumber(int Least, int Most);

  silence_options Options;
  std::mt19937 Random;
  event_base_ptr Base;
  fake_fleet_store Store;
  silence_checker Checker;
  std::vector<std::unique_ptr<upstream_process>> Upstreams;
  std::vector<std::unique_ptr<soak_gateway>> Gateways;
  std::vector<std::unique_ptr<caller>> Callers;
  routing_values Routing;
  int EarlierIdleMs = 0; ///< idle timeout before the present one
  int Version = 0;
  std::size_t LastId = 0;
  std::size_t KillEvents = 0; ///< of upstreams, with those that stop them
  std::size_t UpstreamStops = 0;
  std::size_t Freezes = 0;
  bool TrafficEnabled = false;
  std::map<int, std::size_t> Statuses;
  std::vector<std::string> Violations; ///< besides those of the checker
  timer TickTimer;
};

} // namespace ebonyvale

#endif

/// \file
/// The environment of one soak run. Gateways are child processes; this process
/// simulates the store, the upstreams and the callers, and injects faults.
#ifndef EBONYVALE_TESTS_SOAK_SOAK_ENVIRONMENT_H
#define EBONYVALE_TESTS_SOAK_SOAK_ENVIRONMENT_H

#include "fakes/fake_fleet_store.h"
#include "net/client_connection.h"
#include "platform/fake_upstream.h"
#include "soak/guarantee_checker.h"
#include "soak/leaving_checker.h"
#include "soak/limit_checker.h"
#include "soak/loopback_proxy.h"
#include "soak/pause_checker.h"
#include "soak/soak_gateway.h"
#include "soak/soak_plan.h"
#include "soak/version_checker.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace ebonyvale {

/// Options of a run.
struct soak_options {
  std::string Daemon; ///< path of ebonyvaled
  /// Path of the ebonyvaled that every second gateway starts with; may be empty
  std::string EarlierDaemon;
  std::uint32_t Seed = 1;
  soak_size Size;
  std::filesystem::path Folder; ///< for settings and logs
  /// Order releases of software, half of them of faulty versions, beside faults
  /// of gateways and the store only.
  bool Orders = false;
  /// Upstreams that start again under their ids are away for up to three
  /// seconds, and the store lists the new process up to 1.2 s after its start.
  bool SlowRestarts = false;
  bool NameStreams = true; ///< callers name the stream that they resume
  bool KeepLogs = false;   ///< of runs without violations, too
  /// Most routes that a configuration has beside the usual ones.
  int MoreRoutes = 0;
  /// Rate at which each gateway receives from the store; 0: unlimited.
  std::size_t StoreBytesPerSecond = 0;
  /// Whether time bounds are checked too. They can fail on an overloaded
  /// machine.
  bool CheckTimes = false;
};

/// An order of a release, until the next one.
struct soak_order {
  std::string Software;
  bool IsFaulty = false;
  instant At;
  std::size_t Runs = 0;    ///< at all upstreams until the deadline
  std::size_t Exposed = 0; ///< of them at the ordered version
  std::size_t Failures = 0;
  instant FiftiethAt;
  std::string State;                        ///< last one that was read
  std::vector<fake_upstream *> Processes{}; ///< of the version
};

/// What became of the orders of releases.
struct order_counts {
  std::size_t Sound = 0; ///< orders of sound versions
  std::size_t Completed = 0;
  std::size_t Faulty = 0; ///< orders of faulty versions
  std::size_t RolledBack = 0;
  std::size_t Exposed = 0; ///< most runs by a faulty version
};

/// The outcome of a run.
struct soak_result {
  std::vector<std::string> Violations; ///< one line each
  std::size_t RequestCount = 0;
  std::map<int, std::size_t> StatusCounts; ///< number of responses by status
  stream_counts Streams;                   ///< that can be resumed
  std::size_t Leavings = 0;  ///< of which a gateway passed on a response
  std::size_t Pauses = 0;    ///< that upstreams asked gateways for
  std::size_t Upgrades = 0;  ///< gateways replaced by the later build
  std::size_t Rollbacks = 0; ///< and by the earlier one
  order_counts Orders;
};

/// Runs the event plan of one seed and checks the guarantees.
class soak_environment {
public:
  explicit soak_environment(const soak_options &Options);
  ~soak_environment();

  /// Runs the plan to its end, then checks that all gateways recover.
  soak_result run();

private:
  struct upstream {
    std::string Id;
    std::unique_ptr<fake_upstream> Process;
    std::unique_ptr<loopback_proxy> Proxy;
    unsigned Starts = 0; ///< of processes; part of their ids
    bool Draining = false;
    std::string Software = "v1"; ///< version of the next process
    bool Published = false;      ///< the store has the entry of the process
  };
  class caller;
  void startOrders();
  /// Orders a release, and the next one after that.
  void orderRelease();
  void startOrdered();
  /// Does what operators do at the state of the present order.
  void checkOrder(instant Now);
  void endOrder();
  void onOrderedRun(std::string_view Id, std::size_t Gateway, instant Now);

  void startGateway(soak_gateway &Gateway);
  void tick();
  void publishConfiguration();
  void applyEvent(const soak_event &Event);
  void applyToGateway(const soak_event &Event, soak_gateway &Gateway);
  void stopGateway(soak_gateway &Gateway);
  void applyToUpstream(const soak_event &Event, upstream &Upstream);
  void schedule(span_ns After, std::function<void()> Action);
  void injectFault(loopback_proxy &Proxy, const soak_event &Event);
  void publishUpstream(upstream &Upstream, bool Draining);
  /// Copies the store; it is down \p After that and returns from the copy.
  void restoreStore(span_ns After);
  /// Starts a process in the place of the present one, with a new id.
  void startUpstream(upstream &Upstream);
  /// As above, with \p Id, which may be that of the present process.
  void startUpstreamAs(upstream &Upstream, const std::string &Id);
  /// Reports what \p Process receives and states to the checkers.
  void observe(fake_upstream &Process);
  void leave(upstream &Upstream, const soak_event &Event);
  void pauseUpstreams(upstream &Upstream, const soak_event &Event);
  /// Replaces upstreams one after the other by another version of the software.
  void releaseSoftware(const soak_event &Event);
  void releaseInPlace(upstream &Upstream, span_ns After);
  void releaseBeside(upstream &Upstream);
  void restartSameId(upstream &Upstream);
  void restartSlowly(upstream &Upstream);
  void reportState(instant Now, bool StoreFault = false);
  std::set<std::string> servedSoftware() const;
  /// Lets \p Process name \p PerSecond, or no limit.
  void nameLimit(fake_upstream &Process, std::optional<double> PerSecond);
  /// Runs the event loop until \p Done returns true, at most for \p Timeout;
  /// returns the last result of \p Done.
  bool waitFor(const std::function<bool()> &Done, span_ns Timeout);
  client_request requestFor(const sent_request &Sent) const;
  void sendRequest(caller &Caller);
  /// Sends \p Next to the next other gateway that listens; returns whether
  /// there is one.
  bool resumeElsewhere(caller &Caller, sent_request Next);
  void recover();

  soak_options Options;
  std::mt19937 Random;
  event_base_ptr Base;
  fake_fleet_store Store;
  client_connection_pool Pool;
  guarantee_checker Checker;
  limit_checker LimitChecker;
  version_checker VersionChecker;
  leaving_checker LeavingChecker;
  pause_checker PauseChecker;
  std::vector<std::unique_ptr<soak_gateway>> Gateways;
  std::vector<std::unique_ptr<upstream>> Upstreams;
  /// Replaced upstream processes, kept for requests still on their way to them.
  std::vector<std::unique_ptr<fake_upstream>> OldProcesses;
  std::vector<std::unique_ptr<loopback_proxy>> OldProxies; ///< as well
  std::vector<std::unique_ptr<caller>> Callers;
  std::vector<std::string> Keys; ///< valid; the first is never withdrawn
  std::size_t KeysCreated = 0;
  int Version = 0;
  std::int64_t Weights = 1;
  std::size_t Upgrades = 0;
  std::size_t Rollbacks = 0;
  std::size_t LastId = 0;
  bool TrafficEnabled = false;
  bool Recovering = false;
  bool CopyPending = false;            ///< the store is to return from its copy
  std::vector<std::string> Violations; ///< besides those of the checker
  std::optional<soak_order> Order;
  std::size_t OrdersGiven = 0;
  order_counts OrderCounts;
  instant LastTick;
  timer TickTimer;
};

} // namespace ebonyvale

#endif

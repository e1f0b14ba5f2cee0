/// \file
/// One run of the soak: gateways as processes, and around them, in this
/// process, the platform's store, upstreams, callers and whatever harms them.
#ifndef EBONYVALE_TESTS_SOAK_SOAK_WORLD_H
#define EBONYVALE_TESTS_SOAK_SOAK_WORLD_H

#include "fakes/fleet_store_stand_in.h"
#include "net/client_connection.h"
#include "platform/fake_upstream.h"
#include "soak/loopback_proxy.h"
#include "soak/promise_judge.h"
#include "soak/soak_gateway.h"
#include "soak/soak_plan.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ebonyvale {

/// How a run is made.
struct soak_options {
  std::string Daemon; ///< path of ebonyvaled
  std::uint32_t Seed = 1;
  soak_size Size;
  std::filesystem::path Folder; ///< for settings and logs
  /// Bounds of time are judged too; not where the machine may be overloaded.
  bool JudgeTimes = false;
};

/// What came of a run.
struct soak_result {
  std::vector<std::string> Broken;
  std::size_t Asked = 0;
  std::map<int, std::size_t> Answers;
};

/// Plays one plan.
class soak_world {
public:
  explicit soak_world(const soak_options &Options);
  ~soak_world();

  soak_result run();

private:
  struct upstream;
  class caller;

  void startGateway(soak_gateway &Gateway);
  void noticeHoldUp(instant Now);
  void tick();
  void configure();
  void apply(const soak_event &Event);
  void applyToGateway(const soak_event &Event, soak_gateway &Gateway);
  void applyToUpstream(const soak_event &Event, upstream &Upstream);
  void later(span_ns After, std::function<void()> Action);
  void harm(loopback_proxy &Proxy, const soak_event &Event);
  void list(upstream &Upstream, bool Draining);
  void startUpstream(upstream &Upstream);
  bool waitFor(const std::function<bool()> &Done, span_ns Most);
  client_request requestFor(const asked_request &Asked) const;
  void ask(caller &Caller);
  void recover();

  soak_options Options;
  std::mt19937 Random;
  event_base_ptr Base;
  fleet_store_stand_in Store;
  client_connection_pool Links;
  promise_judge Judge;
  std::vector<std::unique_ptr<soak_gateway>> Gateways;
  std::vector<std::unique_ptr<upstream>> Upstreams;
  /// Those that were replaced; requests may still be on their way to them.
  std::vector<std::unique_ptr<fake_upstream>> Replaced;
  std::vector<std::unique_ptr<caller>> Callers;
  std::vector<std::string> Keys; ///< in force; the first one always is
  std::size_t KeysMade = 0;
  int Version = 0;
  std::int64_t Weights = 1;
  std::size_t LastId = 0;
  bool Asking = false;
  bool Recovering = false;
  std::vector<std::string> Broken; ///< besides what the judge found
  instant LastTick;
  timer TickTimer;
};

} // namespace ebonyvale

#endif

/// \file
/// A gateway between a store and upstreams of the tests, all on one loop.
#ifndef EBONYVALE_TESTS_GATEWAY_GATEWAY_FIXTURE_H
#define EBONYVALE_TESTS_GATEWAY_GATEWAY_FIXTURE_H

#include "daemon/loop_runner.h"
#include "fakes/fake_fleet_store.h"
#include "gateway/process/gateway_task.h"
#include "platform/documents.h"
#include "platform/messages.h"
#include "platform/upstream_stand_in.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ebonyvale {

/// What a caller got.
struct caller_result {
  int Status = 0; ///< 0: no answer
  std::string Body;
  bool Whole = false;
  header_list Headers;
};

/// How a caller asks.
struct caller_ask {
  std::string Path;
  std::string Key = "key-1";
  std::string Id = "id-1";
  std::string Method = "POST";
  std::string DeadlineMs = "4000";
  std::string ResumeAfter;
};

/// One gateway with two upstreams of the service "s".
class gateway_fixture {
public:
  explicit gateway_fixture(gateway_settings Settings = quickSettings());
  ~gateway_fixture();

  /// Settings whose intervals suit a test.
  static gateway_settings quickSettings();

  /// Writes a configuration; \p Keys of the team "t", quoted and separated by
  /// commas.
  void configure(int Version, const std::string &Keys = "\"key-1\"",
                 double Rate = 1e6);

  /// Asks and waits for the outcome.
  caller_result ask(const caller_ask &Ask);

  /// What `ebonyvalectl` reads at \p Target.
  caller_result askAsOperator(const std::string &Target);

  /// Starts another instance on the same store.
  std::unique_ptr<gateway_task> startAnother(const std::string &Name);
  /// Operators ask \p Other from now on.
  void useOperatorPortOf(const gateway_task &Other);
  /// The gateway ends without a word; the store keeps what it wrote.
  void kill() { Gateway.reset(); }

  /// Asks without waiting.
  void begin(const caller_ask &Ask);
  bool over() const;
  /// What the caller that began last has got.
  const caller_result &result() const;
  /// The caller closes its connection.
  void leave();

  bool waitFor(const std::function<bool()> &Done) {
    return runLoopUntil(Base.get(), Done);
  }
  void stop() { Gateway->stop(); }
  bool stopped() const { return Stopped; }
  gateway_core &core() { return Gateway->core(); }

  event_base_ptr Base{event_base_new()};
  fake_fleet_store Store{Base.get()};
  std::vector<std::unique_ptr<upstream_stand_in>> Upstreams;

private:
  class caller;

  platform::documents Documents;
  platform::caller_messages Callers;
  platform::upstream_messages Messages;
  gateway_settings Settings;
  std::vector<std::unique_ptr<gateway_settings>> InstanceSettings;
  std::unique_ptr<gateway_task> Gateway;
  std::uint16_t Port = 0;
  std::uint16_t OperatorPort = 0;
  client_links Links{Base.get(), {}};
  std::unique_ptr<caller> Present;
  std::shared_ptr<client_link> Exchange;
  bool Stopped = false;
};

} // namespace ebonyvale

#endif

/// \file
/// A small deployment on loopback addresses: the store, gateways as processes
/// and a record of what was seen.
#ifndef EBONYVALE_REVIEW_COMMON_DEPLOYMENT_H
#define EBONYVALE_REVIEW_COMMON_DEPLOYMENT_H

#include "common/store_front.h"
#include "fakes/fake_fleet_store.h"
#include "net/client_connection.h"
#include "soak/daemon_process.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Exit codes of a case.
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CouldNotRun = 2;

/// Arguments of a case's program.
struct case_arguments {
  std::string Daemon;
  std::string RecordFile;
  bool Trouble = true; ///< whether the disruption takes place
};

/// Reads the arguments "DAEMON RECORD TROUBLE".
case_arguments readArguments(int Count, char **Arguments);

/// One gateway process on a loopback address of its own, with its own access to
/// the store.
class stand_gateway {
public:
  stand_gateway(event_base *Base, fake_fleet_store &Store,
                const std::string &Daemon, const std::filesystem::path &Folder,
                std::size_t Index, const std::string &Zone);

  bool start() { return Process->start(); }
  endpoint callers() const { return {Ip, CallerPort}; }
  endpoint readiness() const { return {Ip, ReadyPort}; }

  static constexpr std::uint16_t CallerPort = 8606;
  static constexpr std::uint16_t ReadyPort = 8605;

  std::string Name;
  std::string Ip;
  fake_fleet_store_client StoreClient;
  store_front Server;
  std::unique_ptr<daemon_process> Process;

private:
  std::string writeSettings(const std::filesystem::path &Folder,
                            const std::string &Zone) const;
};

/// The store and the gateways of a case. Ends the processes when destroyed.
class deployment {
public:
  /// Has one gateway in each of \p Zones, which may repeat.
  deployment(const case_arguments &Arguments,
             const std::vector<std::string> &Zones);
  ~deployment();
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  /// Starts all gateways and waits until each says that it is ready. Returns
  /// whether they did.
  bool startAll();
  /// Runs the event loop until \p Done returns true or \p Limit has passed.
  bool waitFor(const std::function<bool()> &Done, span_ns Limit);
  void wait(span_ns Time);
  /// Waits until \p Gateway answers its readiness probe with 200.
  bool waitUntilReady(const stand_gateway &Gateway, span_ns Limit);

  /// Appends a line with the time since the start to the record.
  void record(std::string_view Line);

  event_base *base() { return Base.get(); }
  fake_fleet_store &store() { return Store; }
  client_connection_pool &links() { return Links; }
  stand_gateway &gateway(std::size_t Index) { return *Gateways[Index]; }

private:
  event_base_ptr Base;
  std::filesystem::path Folder; ///< of settings and logs
  std::ofstream Record;
  instant Started;
  fake_fleet_store Store;
  client_connection_pool Links;
  std::vector<std::unique_ptr<stand_gateway>> Gateways;
};

/// A request of a client, with its response.
class stand_call final : public response_observer {
public:
  /// Sends \p Request; \p Done is called once, with this call.
  stand_call(client_connection_pool &Links, client_request Request,
             std::function<void(const stand_call &)> Done = {});
  ~stand_call() override;

  response_action onResponseHead(const http_head &Head, bool) override;
  void onResponseBody(std::string_view Bytes) override;
  void onResponseEnd() override;
  void onResponseLost(const exchange_loss &Loss) override;

  bool Ended = false;
  bool Complete = false;
  int Status = 0; ///< 0: no response
  header_list Headers;
  std::string Body;

private:
  void end(bool IsComplete);

  std::function<void(const stand_call &)> Done;
  std::shared_ptr<client_connection> Exchange;
};

} // namespace ebonyvale

#endif

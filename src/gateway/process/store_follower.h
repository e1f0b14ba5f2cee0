/// \file
/// Follows the platform's store: the routing document, named weights, upstreams
/// and the fleet's own items.
#ifndef EBONYVALE_GATEWAY_PROCESS_STORE_FOLLOWER_H
#define EBONYVALE_GATEWAY_PROCESS_STORE_FOLLOWER_H

#include "gateway/process/fleet_store.h"
#include "gateway/process/gateway_core.h"

#include <map>
#include <string>

namespace ebonyvale {

/// Hears of the fleet's own items, and of weights.
class follower_observer {
public:
  virtual ~follower_observer() = default;
  virtual void onOwnItem(const store_item &Item) = 0;
  /// All own items have been read; those not listed do not exist.
  virtual void onOwnListing(const store_items &Items) = 0;
  virtual void onWeightsWanted(const weights_target &Target) = 0;
  virtual void onUpstreams() = 0;
};

/// Two loops: a watch over everything, paused between calls so that changes
/// travel together, and plain reads of the operators' documents. Only plain
/// reads count as proof of the configuration: a watch can be silent while
/// there are changes.
class store_follower {
public:
  store_follower(gateway_core &Core, fleet_store &Store, std::string OwnPrefix,
                 follower_observer &Observer);

  void start();

  /// Whether the last call was answered.
  bool connected() const { return Connected; }

private:
  void readOperators();
  void onOperators(const store_items &Items);
  void listAll();
  void onUpstreamListing(const store_items &Items);
  void onOwnListing(const store_items &Items);
  void watch();
  void onChanges(const store_items &Changes);
  void takeItem(const store_item &Item);
  void takeOperatorItem(const store_item &Item);
  void takeUpstream(const store_item &Item);
  void note(std::string_view Call, store_status Status);
  span_ns backOff();

  gateway_core &Core;
  fleet_store &Store;
  std::string OwnPrefix;
  follower_observer &Observer;
  std::int64_t Revision = 0; ///< up to which changes are known
  bool Listed = false;
  bool Connected = false;
  bool EverConnected = false;
  bool OutageSinceListing = false;
  unsigned Failures = 0;
  std::map<std::string, std::int64_t> OperatorRevisions; ///< by key
  timer ReadTimer;
  timer WatchTimer;
  timer LapseTimer;
};

} // namespace ebonyvale

#endif

/// \file
/// The platform's key-value store as the gateway uses it: plain reads, a watch
/// by revision, conditional writes over several keys, and leases.
#ifndef EBONYVALE_GATEWAY_PROCESS_FLEET_STORE_H
#define EBONYVALE_GATEWAY_PROCESS_FLEET_STORE_H

#include "common/instant.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// How a call ended. Only `Ok` and `Conflict` say what the store holds.
enum class store_status {
  Ok,
  NotFound,    ///< no such key or lease
  Conflict,    ///< a condition did not hold; nothing was written
  HistoryGone, ///< the watch cannot go on from that revision; list again
  Refused,     ///< the store is up and did nothing: too many calls, overload
  NoAnswer,    ///< down, cut off or too slow; a write may still happen
};

/// The name of \p Status for logs.
std::string_view storeStatusName(store_status Status);

/// A key with its value, or its removal.
struct store_item {
  std::string Key;
  std::string Value;
  std::int64_t Revision = 0; ///< of its last change
  bool Removed = false;
};

/// Items and the store's revision when they were read.
struct store_items {
  store_status Status = store_status::NoAnswer;
  std::vector<store_item> Items;
  std::int64_t Revision = 0;
  instant SentAt; ///< when the call was sent
};

/// A key must have this revision; 0: it must not exist.
struct store_condition {
  std::string Key;
  std::int64_t Revision = 0;
};

/// A value to write; it goes when \p Lease ends (0: none).
struct store_put {
  std::string Key;
  std::string Value;
  std::int64_t Lease = 0;
};

/// An all-or-nothing write.
struct store_commit {
  std::vector<store_condition> Conditions;
  std::vector<store_put> Puts;
  std::vector<std::string> Removals;
};

/// What became of a write or a lease.
struct store_result {
  store_status Status = store_status::NoAnswer;
  std::int64_t Revision = 0; ///< of a write
  std::int64_t Lease = 0;
  span_ns Term{0}; ///< of a lease, from when the call was sent
  instant SentAt;
};

/// Every call ends in exactly one callback, from the event loop.
class fleet_store {
public:
  using items_callback = std::function<void(const store_items &)>;
  using result_callback = std::function<void(const store_result &)>;

  virtual ~fleet_store() = default;

  /// Plain (linearizable) read of all items under \p Prefix.
  virtual void list(const std::string &Prefix, items_callback Done) = 0;

  /// Changes under \p Prefix after \p Revision, as soon as there is one, at
  /// most after \p Wait. An answer without items proves nothing.
  virtual void watch(const std::string &Prefix, std::int64_t Revision,
                     span_ns Wait, items_callback Done) = 0;

  virtual void commit(const store_commit &Commit, result_callback Done) = 0;
  virtual void grantLease(span_ns Term, result_callback Done) = 0;
  virtual void renewLease(std::int64_t Lease, result_callback Done) = 0;
  virtual void endLease(std::int64_t Lease, result_callback Done) = 0;
};

} // namespace ebonyvale

#endif

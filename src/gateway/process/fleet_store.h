/// \file
/// Interface to the platform's key-value store: linearizable reads, watches by
/// revision, conditional writes of several keys, and leases. Revisions are
/// those of `store_revision.h`.
#ifndef EBONYVALE_GATEWAY_PROCESS_FLEET_STORE_H
#define EBONYVALE_GATEWAY_PROCESS_FLEET_STORE_H

#include "common/instant.h"
#include "decisions/process/store_item.h"
#include "gateway/process/store_revision.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Outcome of a call. After any but `Ok` and `Conflict` the content of the
/// store is unknown.
enum class store_status {
  Ok,
  NotFound,    ///< the key or lease does not exist
  Conflict,    ///< a condition was not met; nothing was written
  HistoryGone, ///< the revision is compacted: list again before watching
  Refused,     ///< rejected without effect: rate limit or overload
  NoAnswer,    ///< unreachable or timed out; a write may still happen
};

/// Returns the name of \p Status for logs and metrics.
std::string_view storeStatusName(store_status Status);

/// Result of a read or a watch.
struct store_items {
  store_status Status = store_status::NoAnswer;
  std::vector<store_item> Items;
  std::int64_t Revision = 0; ///< of the store at the read
  instant SentAt;            ///< when the call was sent
  /// Received, also of a response that was given up.
  std::size_t Bytes = 0;
};

/// Requires that \p Key has \p Revision; 0: that it does not exist.
struct store_condition {
  std::string Key;
  std::int64_t Revision = 0;
};

/// A value to write; the key is removed when \p Lease expires (0: no lease).
struct store_put {
  std::string Key;
  std::string Value;
  std::int64_t Lease = 0;
};

/// An atomic write: all puts and removals are applied if all conditions hold,
/// otherwise none.
struct store_commit {
  std::vector<store_condition> Conditions;
  std::vector<store_put> Puts;
  std::vector<std::string> Removals;
};

/// Result of a write or a lease call.
struct store_result {
  store_status Status = store_status::NoAnswer;
  std::int64_t Revision = 0; ///< of the store after a write
  std::int64_t Lease = 0;    ///< id of the lease
  span_ns LeaseDuration{0};  ///< counts from `SentAt`
  instant SentAt;
};

/// Asynchronous client of the store. Every call invokes its callback exactly
/// once, from the event loop.
class fleet_store {
public:
  using items_callback = std::function<void(const store_items &)>;
  using result_callback = std::function<void(const store_result &)>;
  using field_observer = std::function<void(std::string_view Name)>;

  virtual ~fleet_store() = default;

  /// Calls the observer with the name of each field in the store's responses
  /// that the adapter does not know. Must be called before any other call.
  virtual void observeUnknownFields(const field_observer &) {}

  /// Reads all items under \p Prefix; the read is linearizable.
  virtual void list(const std::string &Prefix, items_callback Done) = 0;

  /// As `list`, without the items up to the key \p After. Unless overridden,
  /// all items are read and those up to \p After are left out.
  virtual void listAfter(const std::string &Prefix, const std::string &After,
                         items_callback Done);

  /// Returns the changes under \p Prefix after \p Revision as soon as there are
  /// any, and an empty result after \p Wait. An empty result does not prove
  /// that there were no changes.
  virtual void watch(const std::string &Prefix, std::int64_t Revision,
                     span_ns Wait, items_callback Done) = 0;

  /// Applies \p Commit. `Conflict` means that a condition was not met,
  /// `NotFound` that a lease of a put does not exist.
  virtual void commit(const store_commit &Commit, result_callback Done) = 0;

  /// Grants a lease that expires after \p LeaseDuration unless it is renewed.
  virtual void grantLease(span_ns LeaseDuration, result_callback Done) = 0;

  /// Renews \p Lease. `NotFound` means that it has expired.
  virtual void renewLease(std::int64_t Lease, result_callback Done) = 0;

  /// Revokes \p Lease and removes the keys under it.
  virtual void endLease(std::int64_t Lease, result_callback Done) = 0;
};

} // namespace ebonyvale

#endif

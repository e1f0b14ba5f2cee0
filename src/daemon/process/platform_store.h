/// \file
/// Interface to the platform's key-value store.
#ifndef EBONYVALE_DAEMON_PROCESS_PLATFORM_STORE_H
#define EBONYVALE_DAEMON_PROCESS_PLATFORM_STORE_H

#include "common/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A key, its value and the store revision that last modified it.
struct store_entry {
  std::string Key;
  std::string Value;
  std::int64_t ModRevision = 0;
};

/// The entries of a key range and the store revision at which they were read.
struct store_range {
  std::vector<store_entry> Entries;
  std::int64_t Revision = 0;
};

/// Receives the events of a watch.
class store_watch_observer {
public:
  virtual ~store_watch_observer() = default;
  /// Called when a key with the watched prefix was written.
  virtual void onStoreChange(const store_entry &Entry) = 0;
  /// Called when the watch has ended; the observer must open a new one.
  virtual void onWatchLost() = 0;
};

/// Handle of an open watch; destroying it ends the watch.
class store_watch {
public:
  virtual ~store_watch() = default;
};

/// Client of the store. Each call invokes its callback exactly once, from the
/// event loop. Calls fail with `PlatformUnavailable`; a write that failed may
/// still have taken effect.
class platform_store {
public:
  template <typename Value>
  using callback = std::function<void(const result<Value> &)>;

  virtual ~platform_store() = default;

  /// Reads all keys with \p Prefix that are not less than \p From.
  virtual void list(const std::string &Prefix, const std::string &From,
                    callback<store_range> Done) = 0;

  /// Creates \p Key if it does not exist. The result is false when it exists.
  virtual void create(const std::string &Key, std::string_view Value,
                      callback<bool> Done) = 0;

  /// Writes \p Key, replacing any previous value.
  virtual void put(const std::string &Key, std::string_view Value,
                   callback<bool> Done) = 0;

  /// Deletes all keys from \p From (inclusive) to \p To (exclusive).
  virtual void erase(const std::string &From, const std::string &To,
                     callback<bool> Done) = 0;

  /// Reports writes to keys with \p Prefix from \p Revision on to \p Observer.
  /// The watch ends when the returned handle is destroyed.
  virtual std::unique_ptr<store_watch>
  watch(const std::string &Prefix, std::int64_t Revision,
        store_watch_observer &Observer) = 0;
};

} // namespace ebonyvale

#endif

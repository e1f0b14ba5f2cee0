/// \file
/// The platform's key-value service as the daemon uses it.
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

/// A key with its value.
struct store_entry {
  std::string Key;
  std::string Value;
  std::int64_t ModRevision = 0;
};

/// Entries of a range and the revision at which they were read.
struct store_range {
  std::vector<store_entry> Entries;
  std::int64_t Revision = 0;
};

/// Hears of changes under a prefix.
class store_watch_observer {
public:
  virtual ~store_watch_observer() = default;
  /// A key was written.
  virtual void onStoreChange(const store_entry &Entry) = 0;
  /// The watch has ended and must be opened again.
  virtual void onWatchLost() = 0;
};

/// Ends a watch when it is destroyed.
class store_watch {
public:
  virtual ~store_watch() = default;
};

/// Every call ends in exactly one callback, from the event loop. A failure is
/// `PlatformUnavailable`; a failed write may have taken effect all the same.
class platform_store {
public:
  template <typename Value>
  using callback = std::function<void(const result<Value> &)>;

  virtual ~platform_store() = default;

  /// Reads all keys with \p Prefix that are not before \p From.
  virtual void list(const std::string &Prefix, const std::string &From,
                    callback<store_range> Done) = 0;

  /// Writes a key that must not exist; false when it exists already.
  virtual void create(const std::string &Key, std::string_view Value,
                      callback<bool> Done) = 0;

  /// Writes a key whatever it held.
  virtual void put(const std::string &Key, std::string_view Value,
                   callback<bool> Done) = 0;

  /// Deletes all keys from \p From up to, not including, \p To.
  virtual void erase(const std::string &From, const std::string &To,
                     callback<bool> Done) = 0;

  /// Reports writes to keys with \p Prefix since \p Revision.
  virtual std::unique_ptr<store_watch>
  watch(const std::string &Prefix, std::int64_t Revision,
        store_watch_observer &Observer) = 0;
};

} // namespace ebonyvale

#endif

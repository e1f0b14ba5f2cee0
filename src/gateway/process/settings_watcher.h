/// \file
/// Takes over changes of the settings file while the gateway runs.
#ifndef EBONYVALE_GATEWAY_PROCESS_SETTINGS_WATCHER_H
#define EBONYVALE_GATEWAY_PROCESS_SETTINGS_WATCHER_H

#include "gateway/process/event_log.h"
#include "gateway/process/gateway_settings.h"
#include "net/timer.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace ebonyvale {

/// Copies the settings of \p New that can change at run time to \p Current.
/// Returns the names of the others that differ: they keep their values until
/// the next start.
std::vector<std::string> changeSettings(gateway_settings &Current,
                                        const gateway_settings &New);

/// Reads the settings file again after a signal, or when the file has changed.
/// A file with errors changes nothing.
class settings_watcher {
public:
  /// \p Current is changed in place; \p OnChanged is called after that.
  settings_watcher(event_base *Base, event_log &Log, std::string Path,
                   std::vector<std::string> Overrides,
                   gateway_settings &Current, std::function<void()> OnChanged);

  /// Reads the file.
  void reload();

private:
  /// State of a file that differs after each change.
  struct file_stamp {
    std::int64_t ModifiedNs = 0;
    std::int64_t Size = 0;
    std::uint64_t Inode = 0;
    bool operator==(const file_stamp &) const = default;
  };

  file_stamp readStamp() const;
  void checkFile();

  event_log &Log;
  std::string Path;
  std::vector<std::string> Overrides;
  gateway_settings &Current;
  std::function<void()> OnChanged;
  file_stamp Stamp;
  timer CheckTimer;
};

} // namespace ebonyvale

#endif

#include "gateway/process/settings_watcher.h"

#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace ebonyvale {
namespace {

constexpr span_ns CheckInterval = std::chrono::seconds(1);

/// Sections and settings that can change at run time.
constexpr std::array<std::string_view, 7> ChangeableNames{
    "bounds.",
    "stop.",
    "retries.",
    "limits.",
    "store.watch_pause_ms",
    "store.read_interval_ms",
    "store.refusal_interval_ms"};

bool isChangeable(std::string_view Name) {
  return std::ranges::any_of(ChangeableNames, [Name](std::string_view Prefix) {
    return Name.starts_with(Prefix);
  });
}

} // namespace

std::vector<std::string> changeSettings(gateway_settings &Current,
                                        const gateway_settings &New) {
  std::vector<std::string> Kept;
  for (const field<gateway_settings> &Field : gatewaySettingFields())
    std::visit(
        [&](auto Member) {
          if (Current.*Member == New.*Member)
            return;
          if (isChangeable(Field.Rule.Name))
            Current.*Member = New.*Member;
          else
            Kept.emplace_back(Field.Rule.Name);
        },
        Field.Member);
  return Kept;
}

settings_watcher::settings_watcher(event_base *Base, event_log &Log,
                                   std::string Path,
                                   std::vector<std::string> Overrides,
                                   gateway_settings &Current,
                                   std::function<void()> OnChanged)
    : Log(Log), Path(std::move(Path)), Overrides(std::move(Overrides)),
      Current(Current), OnChanged(std::move(OnChanged)), Stamp(readStamp()),
      CheckTimer(Base, [this] { checkFile(); }) {
  if (!this->Path.empty())
    CheckTimer.startPeriodic(CheckInterval);
}

settings_watcher::file_stamp settings_watcher::readStamp() const {
  struct stat Status {};
  if (Path.empty() || stat(Path.c_str(), &Status) != 0)
    return {};
  constexpr std::int64_t NanosPerSecond = 1'000'000'000;
  return {Status.st_mtim.tv_sec * NanosPerSecond + Status.st_mtim.tv_nsec,
          Status.st_size, Status.st_ino};
}

void settings_watcher::checkFile() {
  const file_stamp Found = readStamp();
  // A file that is being replaced may be missing for a moment.
  if (Found == Stamp || Found == file_stamp{})
    return;
  reload();
}

void settings_watcher::reload() {
  Stamp = readStamp();
  const auto New = loadGatewaySettings(Path, Overrides);
  if (!New)
    return Log.warn(event_category::Process, "settings_rejected",
                    {{"file", Path}, {"reason", New.error().Detail}});
  const gateway_settings Before = Current;
  for (const std::string &Name : changeSettings(Current, *New))
    Log.warn(event_category::Process, "setting_needs_restart",
             {{"name", Name}});
  std::uint64_t Changed = 0;
  for (const field<gateway_settings> &Field : gatewaySettingFields())
    std::visit(
        [&](auto Member) { Changed += Before.*Member != Current.*Member; },
        Field.Member);
  Log.info(event_category::Process, "settings_read",
           {{"file", Path}, {"changed", Changed}});
  if (Changed > 0)
    OnChanged();
}

} // namespace ebonyvale

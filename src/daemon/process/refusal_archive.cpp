#include "daemon/process/refusal_archive.h"

#include "daemon/process/logging.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr span_ns WriteInterval = std::chrono::seconds(30);
constexpr span_ns RetentionInterval = std::chrono::hours(1);

/// Maximum number of refusals in one value. A refusal takes about 200 bytes, so
/// a value stays below the store's limit of 1 MB.
constexpr std::size_t MaxBatchRefusals = 3000;

/// Maximum number of refusals queued while the store is unavailable.
constexpr std::size_t MaxUnwritten = 200'000;

std::string minuteKey(const std::string &Prefix, wall_ms Time) {
  const auto Minute = std::chrono::floor<std::chrono::minutes>(Time);
  return fmt::format(
      "{}refusals/{:012}", Prefix,
      std::max<std::int64_t>(0, Minute.time_since_epoch().count()));
}

} // namespace

refusal_archive::refusal_archive(router_core &Core, platform_store &Store)
    : Core(Core), Store(Store), WriteTimer(Core.base(), [this] { flush(); }),
      RetentionTimer(Core.base(), [this] { dropExpired(); }) {}

void refusal_archive::start() {
  WriteTimer.startPeriodic(WriteInterval);
  RetentionTimer.startPeriodic(RetentionInterval);
}

void refusal_archive::add(const refusal &Refusal) {
  if (Unwritten.size() < MaxUnwritten)
    Unwritten.push_back(Refusal);
}

std::string refusal_archive::batchKey(wall_ms Minute) const {
  return fmt::format("{}/{}-{:x}-{}",
                     minuteKey(Core.settings().PlatformPrefix, Minute),
                     Core.settings().InstanceName, Core.bootId(), Sequence);
}

void refusal_archive::flush() {
  if (WriteInFlight || Unwritten.empty())
    return;
  WriteInFlight = true;
  const auto Count =
      static_cast<std::ptrdiff_t>(std::min(MaxBatchRefusals, Unwritten.size()));
  refusal_list Batch;
  Batch.Refusals.assign(Unwritten.begin(), Unwritten.begin() + Count);
  // A retry writes to the same key, so no refusal is stored twice.
  Store.put(batchKey(Batch.Refusals.front().At), encode(Batch),
            [this, Count](const result<bool> &Written) {
              WriteInFlight = false;
              if (!Written) {
                logFor(log_category::Process)
                    .warn("cannot write to the store: {} refusals queued",
                          Unwritten.size());
                return;
              }
              ++Sequence;
              Unwritten.erase(Unwritten.begin(), Unwritten.begin() + Count);
              if (!Unwritten.empty())
                flush();
            });
}

void refusal_archive::query(const refusal_query &Query, query_callback Done) {
  const std::string Prefix = Core.settings().PlatformPrefix + "refusals/";
  // The whole archive is read, since after an outage of the store a batch also
  // holds refusals that are later than the minute in its key.
  Store.list(Prefix, "",
             [Query, Done = std::move(Done)](const result<store_range> &Range) {
               if (!Range) {
                 Done(Range.error());
                 return;
               }
               refusal_list Found;
               for (const store_entry &Entry : Range->Entries) {
                 const auto Batch = decodeRefusals(Entry.Value);
                 if (!Batch)
                   continue;
                 for (const refusal &Refusal : Batch->Refusals)
                   if (matches(Query, Refusal))
                     Found.Refusals.push_back(Refusal);
               }
               Done(Found);
             });
}

void refusal_archive::dropExpired() {
  const std::string Prefix = Core.settings().PlatformPrefix;
  const wall_ms Oldest =
      readClock().Wall -
      std::chrono::minutes(Core.settings().RefusalRetentionMinutes);
  Store.erase(Prefix + "refusals/", minuteKey(Prefix, Oldest),
              [](const result<bool> &) {});
}

} // namespace ebonyvale

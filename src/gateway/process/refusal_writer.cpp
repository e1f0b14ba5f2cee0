#include "gateway/process/refusal_writer.h"

#include "decisions/process/refusal_json.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::string_view AllPrefix = "ebonyvale-refusals/";

/// Minimum time between two writes of the whole fleet, since the watches of all
/// instances receive each write.
constexpr span_ns FleetInterval = std::chrono::milliseconds(250);

span_ns writeInterval(const gateway_core &Core) {
  const auto Peers = static_cast<std::int64_t>(Core.roster().peers().size());
  const span_ns OwnInterval =
      std::chrono::milliseconds(Core.settings().RefusalIntervalMs);
  return std::max<span_ns>(OwnInterval, FleetInterval * Peers);
}

std::size_t slotOf(std::string_view Key) {
  std::size_t Slot = 0;
  const std::string_view Digits = Key.substr(Key.rfind('/') + 1);
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Slot);
  return Slot;
}

} // namespace

refusal_writer::refusal_writer(gateway_core &Core, fleet_store &Store)
    : Core(Core), Store(Store),
      Prefix(fmt::format("{}{}/", AllPrefix, Core.settings().InstanceName)),
      WriteTimer(Core.base(), [this] { onTimer(); }) {}

void refusal_writer::start() { WriteTimer.startOnce(writeInterval(Core)); }

void refusal_writer::stop() {
  WriteTimer.stop();
  Stopping = true;
  write();
}

void refusal_writer::onTimer() {
  write();
  WriteTimer.startOnce(writeInterval(Core));
}

void refusal_writer::findSlot() {
  CallInFlight = true;
  Store.list(Prefix, [this](const store_items &Items) {
    CallInFlight = false;
    Core.counters().onStoreCall("find_refusals", storeStatusName(Items.Status));
    if (Items.Status != store_status::Ok)
      return;
    const auto Newest =
        std::ranges::max_element(Items.Items, {}, &store_item::Revision);
    NextSlot = Newest == Items.Items.end() ? 0 : slotOf(Newest->Key) + 1;
    write();
  });
}

void refusal_writer::write() {
  if (CallInFlight || (Pending.empty() && Core.unwrittenRefusals().empty()))
    return;
  if (!NextSlot)
    return findSlot();
  if (Pending.empty())
    Pending = serializeRefusalBatch(Core.unwrittenRefusals().take());
  CallInFlight = true;
  store_commit Commit;
  Commit.Puts = {{fmt::format("{}{}", Prefix, *NextSlot % Slots), Pending, 0}};
  Store.commit(Commit, [this](const store_result &Result) {
    CallInFlight = false;
    Core.counters().onStoreCall("write_refusals",
                                storeStatusName(Result.Status));
    if (Result.Status != store_status::Ok) {
      Core.log().warn(event_category::Store, "refusals_not_written",
                      {{"status", storeStatusName(Result.Status)},
                       {"bytes", Pending.size()}});
      return;
    }
    Pending.clear();
    ++*NextSlot;
    // Refusals that were recorded during the call have no later write.
    if (Stopping)
      write();
  });
}

void refusal_writer::query(const refusal_query &Query, rows_callback Done) {
  Store.list(std::string(AllPrefix), [this, Query, Done = std::move(Done)](
                                         const store_items &Items) {
    Core.counters().onStoreCall("read_refusals", storeStatusName(Items.Status));
    std::vector<nlohmann::json> Rows;
    for (const store_item &Item : Items.Items)
      for (nlohmann::json &Row : matchingRows(Item.Value, Query))
        Rows.push_back(std::move(Row));
    std::ranges::stable_sort(Rows, {}, [](const nlohmann::json &Row) {
      return Row["at_ms"].get<std::int64_t>();
    });
    Done(Rows, Items.Status);
  });
}

} // namespace ebonyvale

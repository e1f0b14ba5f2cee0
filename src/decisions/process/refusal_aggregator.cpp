#include "decisions/process/refusal_aggregator.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {

void refusal_aggregator::add(const refusal &Refusal) {
  const wall_ms Second = std::chrono::floor<std::chrono::seconds>(Refusal.At);
  const row_key Key{Second, Refusal.Team, Refusal.Kind};
  const auto Known = Rows.find(Key);
  if (Known == Rows.end() && Rows.size() >= MaxPendingRows) {
    ++Unlisted;
    return;
  }
  refusal_row &Row = Known == Rows.end() ? Rows[Key] : Known->second;
  Row.Latest = Refusal;
  ++Row.Count;
}

refusal_batch refusal_aggregator::take() {
  refusal_batch Batch;
  Batch.Unlisted = std::exchange(Unlisted, 0);
  for (auto &[Key, Row] : std::exchange(Rows, {}))
    Batch.Rows.push_back(std::move(Row));
  if (Batch.Rows.size() > MaxRows) {
    std::ranges::stable_sort(Batch.Rows, std::ranges::greater{},
                             &refusal_row::Count);
    for (std::size_t Index = MaxRows; Index < Batch.Rows.size(); ++Index)
      Batch.Unlisted += Batch.Rows[Index].Count;
    Batch.Rows.resize(MaxRows);
    std::ranges::stable_sort(
        Batch.Rows, {}, [](const refusal_row &Row) { return Row.Latest.At; });
  }
  return Batch;
}

} // namespace ebonyvale

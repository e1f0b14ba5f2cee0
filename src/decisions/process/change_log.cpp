#include "decisions/process/change_log.h"

#include <algorithm>

namespace ebonyvale {
namespace {

std::size_t sizeOf(const store_item &Item) {
  constexpr std::size_t Overhead = 96; // of the deque's entry and both strings
  return Item.Key.size() + Item.Value.size() + Overhead;
}

} // namespace

void change_log::restart(std::int64_t Revision, listing_kind RestartKind) {
  Entries.clear();
  Bytes = 0;
  Begin = End = Revision;
  Kind = RestartKind;
}

void change_log::append(const store_item &Item, instant Now) {
  Entries.push_back({Item, Now});
  Bytes += sizeOf(Item);
  End = std::max(End, Item.Revision);
  dropOld(Now);
}

void change_log::advance(std::int64_t Revision, instant Now) {
  End = std::max(End, Revision);
  dropOld(Now);
}

void change_log::dropOld(instant Now) {
  while (!Entries.empty() &&
         (Now - Entries.front().At > MaxAge || Bytes > MaxBytes)) {
    // Several items may share the revision of one write. A reader that has only
    // some of them must not continue behind the dropped one.
    Begin = Entries.front().Item.Revision;
    Kind = listing_kind::Continuous;
    Bytes -= sizeOf(Entries.front().Item);
    Entries.pop_front();
  }
}

change_batch change_log::since(std::int64_t Revision, std::size_t Limit) const {
  change_batch Batch;
  if (Revision < Begin) {
    Batch.HasGap = true;
    Batch.GapKind = Kind;
    return Batch;
  }
  Batch.Revision = Revision;
  std::size_t Size = 0;
  const auto First =
      std::ranges::upper_bound(Entries, Revision, {}, [](const entry &Entry) {
        return Entry.Item.Revision;
      });
  for (auto Next = First; Next != Entries.end(); ++Next) {
    Size += sizeOf(Next->Item);
    // A batch ends between two revisions, never within one.
    if (Size > Limit && !Batch.Items.empty() &&
        Next->Item.Revision != Batch.Items.back().Revision) {
      Batch.HasMore = true;
      return Batch;
    }
    Batch.Items.push_back(Next->Item);
    Batch.Revision = Next->Item.Revision;
  }
  Batch.Revision = std::max(Batch.Revision, End);
  return Batch;
}

} // namespace ebonyvale

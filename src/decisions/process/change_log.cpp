#include "decisions/process/change_log.h"

#include <algorithm>

namespace ebonyvale {
namespace {

std::size_t sizeOf(const store_item &Item) {
  constexpr std::size_t Overhead = 200; // of both maps and their strings
  return 2 * Item.Key.size() + Item.Value.size() + Overhead;
}

} // namespace

void change_log::restart(std::int64_t Revision, listing_kind RestartKind) {
  Entries.clear();
  Last.clear();
  Bytes = 0;
  Begin = End = Revision;
  Kind = RestartKind;
}

void change_log::append(const store_item &Item, instant Now) {
  const position At{Item.Revision, ++Appended};
  if (const auto Earlier = Last.find(Item.Key); Earlier != Last.end())
    erase(Entries.find(Earlier->second));
  Entries.emplace(At, entry{Item, Now});
  Last.emplace(Item.Key, At);
  Bytes += sizeOf(Item);
  End = std::max(End, Item.Revision);
  dropOld(Now);
}

void change_log::advance(std::int64_t Revision, instant Now) {
  End = std::max(End, Revision);
  dropOld(Now);
}

void change_log::erase(std::map<position, entry>::iterator Entry) {
  Bytes -= sizeOf(Entry->second.Item);
  Last.erase(Last.find(Entry->second.Item.Key));
  Entries.erase(Entry);
}

void change_log::dropOld(instant Now) {
  while (!Entries.empty()) {
    const auto Oldest = Entries.begin();
    if (Now - Oldest->second.At <= MaxAge && Bytes <= MaxBytes)
      return;
    // A reader that has only some changes of a revision must not continue
    // behind the dropped one.
    Begin = Oldest->first.first;
    Kind = listing_kind::Continuous;
    erase(Oldest);
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
  const auto First = Entries.upper_bound({Revision, UINT64_MAX});
  for (auto Next = First; Next != Entries.end(); ++Next) {
    const store_item &Item = Next->second.Item;
    Size += Item.Key.size() + Item.Value.size();
    // A batch ends between two revisions, never within one.
    if (Size > Limit && !Batch.Items.empty() &&
        Item.Revision != Batch.Items.back().Revision) {
      Batch.HasMore = true;
      return Batch;
    }
    Batch.Items.push_back(Item);
    Batch.Revision = Item.Revision;
  }
  Batch.Revision = std::max(Batch.Revision, End);
  return Batch;
}

} // namespace ebonyvale

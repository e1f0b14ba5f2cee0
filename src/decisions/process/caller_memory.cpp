#include "decisions/process/caller_memory.h"

#include <algorithm>

namespace ebonyvale {
namespace {

/// Time without progress after which a connection may lose its memory. Above
/// the retransmission of a lost packet.
constexpr span_ns QuietTime = std::chrono::seconds(1);

/// Part of the connections that only internal ones may use in addition.
constexpr std::size_t InternalPart = 16;

} // namespace

caller_memory::caller_memory(std::size_t CapacityBytes,
                             std::size_t MaxConnections)
    : Budget(CapacityBytes), MaxConnections(MaxConnections) {}

bool caller_memory::admits(bool Internal, instant Now) {
  const std::size_t Max =
      MaxConnections + (Internal ? MaxConnections / InternalPart : 0);
  if (Connections >= Max)
    reclaim(nullptr, Now);
  Refusals += Connections < Max ? 0 : 1;
  return Connections < Max;
}

bool caller_memory::takeTrim() {
  constexpr std::size_t LargePart = 8; // of the capacity
  constexpr std::size_t LeftPart = 4;  // of the peak
  PeakBytes = std::max(PeakBytes, used());
  if (PeakBytes < Budget.capacity() / LargePart ||
      used() > PeakBytes / LeftPart)
    return false;
  PeakBytes = used();
  return true;
}

bool caller_memory::reclaim(const memory_share *For, instant Now) {
  for (const auto &Shares : Releasable)
    for (memory_share *Share : Shares) {
      if (Share == For)
        continue;
      if (Now - Share->ProgressAt < QuietTime)
        break;
      // Not asked again at once if it frees nothing.
      Share->onProgress(Now);
      ++Releases;
      Share->Holder.releaseMemory();
      return true;
    }
  return false;
}

memory_share::memory_share(caller_memory &Memory, memory_holder &Holder,
                           instant Now)
    : Memory(Memory), Holder(Holder), Lease(Memory.lease()), ProgressAt(Now) {
  auto &Shares = Memory.Releasable[static_cast<std::size_t>(Use)];
  Place = Shares.insert(Shares.end(), this);
  ++Memory.Connections;
}

memory_share::~memory_share() {
  if (Use != memory_use::Working)
    Memory.Releasable[static_cast<std::size_t>(Use)].erase(Place);
  --Memory.Connections;
}

bool memory_share::resize(std::size_t Bytes, instant Now) {
  if (Bytes > Lease.size())
    onProgress(Now);
  while (!Lease.resize(Bytes))
    if (!Memory.reclaim(this, Now)) {
      ++Memory.Refusals;
      return false;
    }
  Memory.PeakBytes = std::max(Memory.PeakBytes, Memory.used());
  return true;
}

bool memory_share::record(std::size_t Bytes) {
  const bool Fits = Lease.record(Bytes);
  Memory.PeakBytes = std::max(Memory.PeakBytes, Memory.used());
  return Fits;
}

void memory_share::setUse(memory_use Value, instant Now) {
  if (Use == Value)
    return;
  if (Use != memory_use::Working)
    Memory.Releasable[static_cast<std::size_t>(Use)].erase(Place);
  Use = Value;
  if (Use != memory_use::Working) {
    auto &Shares = Memory.Releasable[static_cast<std::size_t>(Use)];
    Place = Shares.insert(Shares.end(), this);
  }
  ProgressAt = Now;
}

void memory_share::onProgress(instant Now) {
  ProgressAt = Now;
  if (Use == memory_use::Working)
    return;
  auto &Shares = Memory.Releasable[static_cast<std::size_t>(Use)];
  Shares.splice(Shares.end(), Shares, Place);
}

} // namespace ebonyvale

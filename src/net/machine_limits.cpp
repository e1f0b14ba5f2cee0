#include "net/machine_limits.h"

#include <fstream>
#include <string>

#include <malloc.h>
#include <sys/resource.h>

namespace ebonyvale {
namespace {

constexpr std::size_t BytesPerMb = 1'000'000;
constexpr std::size_t CallerMemoryPart = 4; // of the memory
/// Assumed if the system states none.
constexpr std::size_t DefaultMemoryBytes = 256 * BytesPerMb;
constexpr std::size_t DefaultDescriptors = 1024;

std::size_t machineMemoryBytes() {
  constexpr std::size_t BytesPerKb = 1024;
  std::ifstream File("/proc/meminfo");
  for (std::string Word; File >> Word;)
    if (std::size_t Value = 0; Word == "MemTotal:" && File >> Value)
      return Value * BytesPerKb;
  return DefaultMemoryBytes;
}

std::size_t descriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return DefaultDescriptors;
  return Limit.rlim_cur;
}

} // namespace

std::size_t callerMemoryBytes(std::int64_t LimitMb) {
  const std::size_t Memory =
      LimitMb > 0 ? static_cast<std::size_t>(LimitMb) * BytesPerMb
                  : machineMemoryBytes();
  return Memory / CallerMemoryPart;
}

std::size_t maxCallerConnections(std::int64_t Descriptors) {
  const std::size_t Limit = Descriptors > 0
                                ? static_cast<std::size_t>(Descriptors)
                                : descriptorLimit();
  return Limit / 4 * 3;
}

void returnFreedBlocks() {
  // Setting it keeps the allocator from raising it.
  constexpr int BlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, BlockBytes);
}

void returnFreeMemory() { malloc_trim(0); }

} // namespace ebonyvale

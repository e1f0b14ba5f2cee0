/// \file
/// What the machine allows the process.
#ifndef EBONYVALE_NET_MACHINE_LIMITS_H
#define EBONYVALE_NET_MACHINE_LIMITS_H

#include <cstddef>
#include <cstdint>

namespace ebonyvale {

/// Returns the bytes that the connections of clients may hold together: a
/// quarter of \p LimitMb or, if that is 0, of the machine's memory.
std::size_t callerMemoryBytes(std::int64_t LimitMb);

/// Returns how many connections of clients may be open: three quarters of
/// \p Descriptors or, if that is 0, of the system's limit for the process. The
/// others are for upstreams, peers, the store and files.
std::size_t maxCallerConnections(std::int64_t Descriptors);

/// Makes the allocator return large blocks to the system as they are freed.
void returnFreedBlocks();

/// Returns free memory to the system.
void returnFreeMemory();

} // namespace ebonyvale

#endif

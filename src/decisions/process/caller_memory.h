/// \file
/// Limit on what the connections of all listeners hold together.
#ifndef EBONYVALE_DECISIONS_PROCESS_CALLER_MEMORY_H
#define EBONYVALE_DECISIONS_PROCESS_CALLER_MEMORY_H

#include "common/instant.h"
#include "decisions/process/buffer_budget.h"

#include <array>
#include <cstddef>
#include <list>

namespace ebonyvale {

/// A connection whose memory counts.
class memory_holder {
public:
  virtual ~memory_holder() = default;
  /// Should free memory: refuse the request that is being read or close the
  /// connection.
  virtual void releaseMemory() = 0;
};

/// What a connection waits for.
enum class memory_use {
  Waiting, ///< for more of a request, or for its client to take a response
  Idle,    ///< for a request
  Working, ///< for an upstream; cannot release memory
};

class memory_share;

/// Divides bytes and descriptors among connections. When they do not suffice,
/// connections that have made no progress for a while release theirs, first
/// those with a part of a request or response, and of them the one that has
/// waited longest.
class caller_memory {
public:
  caller_memory(std::size_t CapacityBytes, std::size_t MaxConnections);
  caller_memory(const caller_memory &) = delete;
  caller_memory &operator=(const caller_memory &) = delete;

  /// Returns whether a further connection may be accepted. Lets one that waits
  /// release its descriptor if there are too many. \p Internal connections, of
  /// peers and operators, may use a sixteenth more.
  bool admits(bool Internal, instant Now);

  /// Returns an empty lease of the same bytes for a request that is handled.
  buffer_lease lease() { return Budget.lease(); }

  std::size_t used() const { return Budget.used(); }
  std::size_t connections() const { return Connections; }
  /// Returns how often a connection was not given what it needs.
  std::size_t refusals() const { return Refusals; }
  /// Returns how often a connection was asked to release its memory.
  std::size_t releases() const { return Releases; }

  /// Returns whether much of what was held has been freed since the last call
  /// that returned true, so that the allocator should return it to the system.
  bool takeTrim();

private:
  friend class memory_share;
  /// Asks the connection that has waited longest, other than \p For, to release
  /// memory. Returns false if none has waited long enough.
  bool reclaim(const memory_share *For, instant Now);

  buffer_budget Budget;
  std::size_t MaxConnections;
  std::size_t Connections = 0;
  std::size_t PeakBytes = 0;
  std::size_t Refusals = 0;
  std::size_t Releases = 0;
  /// Shares by their use, and by the time of their last progress.
  std::array<std::list<memory_share *>, 2> Releasable;
};

/// The memory of one connection, from its start to its end. Must not outlive
/// the `caller_memory`.
class memory_share {
public:
  memory_share(caller_memory &Memory, memory_holder &Holder, instant Now);
  ~memory_share();
  memory_share(const memory_share &) = delete;
  memory_share &operator=(const memory_share &) = delete;

  /// Changes the number of bytes to \p Bytes; more is progress. Returns false,
  /// and changes nothing, if they cannot be had.
  bool resize(std::size_t Bytes, instant Now);
  /// Changes the number to that of bytes that are held already. Returns whether
  /// they could be had.
  bool record(std::size_t Bytes);
  void setUse(memory_use Value, instant Now);
  void onProgress(instant Now);

private:
  friend class caller_memory;

  caller_memory &Memory;
  memory_holder &Holder;
  buffer_lease Lease;
  memory_use Use = memory_use::Idle;
  instant ProgressAt;
  std::list<memory_share *>::iterator Place;
};

} // namespace ebonyvale

#endif

/// \file
/// Which software version began a stream.
#ifndef EBONYVALE_DECISIONS_PROCESS_STREAM_ORIGINS_H
#define EBONYVALE_DECISIONS_PROCESS_STREAM_ORIGINS_H

#include "common/instant.h"
#include "decisions/process/stream_keepers.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ebonyvale {

/// Software version of the upstream that began a stream.
struct stream_origin {
  std::uint64_t Stream = 0; ///< see `streamId`
  std::string Software;

  bool operator==(const stream_origin &) const = default;
};

/// Version in the record of a stream that began at a process that had not
/// stated its start. No upstream has it, so no instance continues the stream.
/// Where the process is known later, another record replaces this one.
inline constexpr std::string_view UnknownSoftware = "\x1A";

/// Returns whether the record \p Software names no version.
bool isUnknownSoftware(std::string_view Software);

/// Returns the id of the stream that the request \p RequestId to \p Service
/// began: 48 bits, the same on all instances.
std::uint64_t streamId(std::string_view Service, std::string_view RequestId);

/// Encodes \p Records for a message: 6 bytes each and the name of each version
/// once. Names have up to `stream_origins::MaxNameBytes`.
std::string encodeOrigins(std::span<const stream_origin> Records);
/// Returns nothing for a malformed text.
std::optional<std::vector<stream_origin>> decodeOrigins(std::string_view Text);

/// What the record on a stream has become.
enum class record_result {
  New, ///< renewed, or in the place of `UnknownSoftware`
  Known,
  Conflict,   ///< another version is recorded, and stays
  InvalidName ///< empty, or longer than `MaxNameBytes`; nothing is recorded
};

/// Records the software version of streams, and tells those peers of them that
/// an instance asks which is to resume a stream (`stream_keepers`).
class stream_origins {
public:
  /// Records are kept for the longest deadline of a stream and its pauses.
  static constexpr span_ns KeepFor = std::chrono::seconds(60);
  /// Age at which a record is renewed by what is told of its stream again, so
  /// that it outlasts a stream that is resumed several times.
  static constexpr span_ns RenewAfter = std::chrono::seconds(5);
  /// Of more records the oldest are dropped.
  static constexpr std::size_t MaxRecords = 20'000;
  /// Bytes a second to peers: at most a quarter of what an instance may send
  /// for control. Further records wait and share a message. As many bytes may
  /// be sent at once after a pause. Small fleets, which ask all instances, send
  /// each record at once.
  static constexpr double BytesPerSecond = 1450;
  /// Messages a second that are sent even beyond that, so that no record waits
  /// for long however many streams begin.
  static constexpr double MinMessagesPerSecond = 12;
  /// Bytes of a message besides its records, and of a record.
  static constexpr double MessageBytes = 68;
  static constexpr double RecordBytes = 6;
  /// Records in one message, so that it fits into a datagram.
  static constexpr std::size_t MaxInMessage = 2000;
  static constexpr std::size_t MaxNameBytes = 255;

  /// Records for one peer.
  using message = std::pair<std::string, std::vector<stream_origin>>;

  stream_origins(std::string Self, std::string Domain)
      : Keepers(std::move(Self), std::move(Domain)) {}

  /// Sets all instances, this one included. Without members nothing is told.
  void setMembers(const std::vector<fleet_member> &Members, instant Now);

  /// Records that this instance has passed on the first event of \p Stream, or
  /// that it goes on with it.
  record_result onBegun(std::uint64_t Stream, std::string_view Software,
                        instant Now);
  /// Records what the peer \p From has told. Returns the records that conflict
  /// with known ones.
  std::vector<stream_origin>
  onPeerRecords(std::string_view From, std::span<const stream_origin> Records,
                instant Now);

  /// Returns the messages to send now; called every few ms while `hasQueued`.
  std::vector<message> takeForKeepers(instant Now);
  bool hasQueued() const { return !Queues.empty(); }

  /// Returns the software version of \p Stream, if this instance knows it;
  /// valid until the next call that is not const.
  std::optional<std::string_view> find(std::uint64_t Stream, instant Now) const;

  /// Returns the peers to ask where `find` knows nothing (`origin_lookup`).
  lookup_peers peersToAsk(std::uint64_t Stream) const {
    return Keepers.peersToAsk(Stream);
  }

  /// Forgets old records and members; called every few seconds.
  void expire(instant Now);

  std::size_t count() const { return Records.size(); }
  /// Returns how many records were dropped before their time or were not told,
  /// for want of space.
  std::uint64_t dropped() const { return Dropped; }

private:
  struct record {
    std::int64_t AtMs : 48;
    std::uint64_t Software : 16; ///< index in `Names`
  };
  struct software_name {
    std::string Name;
    std::size_t Records = 0; ///< that refer to it
  };
  struct queue {
    instant Since; ///< when the first record was added
    std::vector<stream_origin> Records;
  };

  record_result add(std::uint64_t Stream, std::string_view Software,
                    instant Now);
  void dropOldest();
  void dropExpired(instant Now);
  static bool isExpired(const record &Record, instant Now);
  std::uint16_t indexOf(std::string_view Software);
  void enqueue(std::string_view Peer, std::uint64_t Stream,
               std::string_view Software, instant Now);

  stream_keepers Keepers;
  std::unordered_map<std::uint64_t, record> Records; ///< by stream
  std::deque<std::uint64_t> Order;                   ///< the oldest first
  std::vector<software_name> Names;
  std::map<std::string, queue, std::less<>> Queues; ///< by peer
  double BytesLeft = BytesPerSecond;
  instant SentAt; ///< of the last message
  instant RefilledAt;
  std::uint64_t Dropped = 0;
};

} // namespace ebonyvale

#endif

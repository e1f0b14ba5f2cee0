/// \file
/// Messages between instances, as MessagePack arrays. The first element is the
/// protocol version; decoders reject every other version.
#ifndef EBONYVALE_DAEMON_CONNECTION_PEER_MESSAGE_H
#define EBONYVALE_DAEMON_CONNECTION_PEER_MESSAGE_H

#include "common/result.h"
#include "decisions/process/quota_ledger.h"
#include "decisions/process/refusal_log.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Protocol version that this build sends and accepts.
inline constexpr std::uint32_t PeerProtocolVersion = 1;

/// Paths of the requests between instances.
inline constexpr std::string_view HeartbeatPath = "/peer/heartbeat";
inline constexpr std::string_view LendRequestPath = "/peer/share/ask";
inline constexpr std::string_view LendReturnPath = "/peer/share/return";
inline constexpr std::string_view SnapshotPath = "/peer/snapshot";
inline constexpr std::string_view QuarantinePath = "/peer/quarantine";
inline constexpr std::string_view RefusalsPath = "/peer/refusals";
inline constexpr std::string_view HintsPath = "/peer/hints";

/// State that an instance reports to its peers.
struct heartbeat {
  std::string Instance;
  std::uint64_t Boot = 0; ///< distinguishes processes of the same instance name
  std::uint64_t ConfigurationVersion = 0;
  bool Leaving = false; ///< not ready: stopping, or without a configuration
};

/// A message about lent tokens and the name of the instance that sends it.
template <typename Message> struct message_from {
  std::string Instance;
  Message Payload;
};

/// Placements of prompts whose prefix was not known to be cached on any engine,
/// so that peers place the same prefix on the same engine.
struct placement_hints {
  struct hint {
    std::uint64_t FirstPiece = 0; ///< hash of the first piece
    std::string Engine;
  };
  std::vector<hint> Hints;
};

/// A list of refusals, as replicated to peers and written to the archive.
struct refusal_list {
  std::vector<refusal> Refusals;
};

/// Update for an instance that is behind: the notes that lead to the newest
/// version or, where these are no longer kept, a snapshot of that version.
struct version_bundle {
  struct note {
    std::uint64_t Version = 0;
    std::string Text;
  };
  std::vector<note> Notes;
  std::string Snapshot; ///< empty when the notes suffice
};

std::string encode(const version_bundle &Message);
std::string encode(const heartbeat &Message);
std::string encode(const message_from<lend_request> &Message);
std::string encode(const lend_response &Message);
std::string encode(const message_from<lend_return> &Message);
std::string encode(const refusal_list &Message);
std::string encode(const placement_hints &Message);

/// Encodes a message that consists of one configuration version or fingerprint.
std::string encodeNumber(std::uint64_t Number);

/// The decoders fail with `PeerMessageInvalid` for malformed input and with
/// `FormatUnsupported` for another protocol version.
result<version_bundle> decodeVersions(std::string_view Bytes);
result<heartbeat> decodeHeartbeat(std::string_view Bytes);
result<message_from<lend_request>> decodeLendRequest(std::string_view Bytes);
result<lend_response> decodeLendResponse(std::string_view Bytes);
result<message_from<lend_return>> decodeLendReturn(std::string_view Bytes);
result<placement_hints> decodeHints(std::string_view Bytes);
result<refusal_list> decodeRefusals(std::string_view Bytes);
result<std::uint64_t> decodeNumber(std::string_view Bytes);

} // namespace ebonyvale

#endif

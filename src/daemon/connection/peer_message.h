/// \file
/// Messages between instances, in MessagePack. Each starts with the number of
/// the protocol; a reader refuses every other number.
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

/// Number of the protocol that this build speaks.
inline constexpr std::uint32_t PeerProtocol = 1;

/// Paths of the requests between instances.
inline constexpr std::string_view HeartbeatPath = "/peer/heartbeat";
inline constexpr std::string_view ShareAskPath = "/peer/share/ask";
inline constexpr std::string_view ShareReturnPath = "/peer/share/return";
inline constexpr std::string_view SnapshotPath = "/peer/snapshot";
inline constexpr std::string_view QuarantinePath = "/peer/quarantine";
inline constexpr std::string_view RefusalsPath = "/peer/refusals";
inline constexpr std::string_view HintsPath = "/peer/hints";

/// What an instance tells its peers about itself.
struct heartbeat {
  std::string Instance;
  std::uint64_t Boot = 0;
  std::uint64_t ConfigurationVersion = 0;
  bool Leaving = false;
};

/// A share message and the instance that sends it.
template <typename Message> struct from_instance {
  std::string Instance;
  Message Content;
};

/// Prefixes that an instance has placed where nobody was known to have them.
struct placement_hints {
  struct hint {
    std::uint64_t Front = 0; ///< hash of the first piece
    std::string Engine;
  };
  std::vector<hint> Hints;
};

/// Refusals that a peer keeps for their instance.
struct refusal_copies {
  std::vector<refusal> Refusals;
};

/// Versions that an instance was missing: the notes that lead to the newest
/// one or, where they are not kept any more, the newest one whole.
struct version_bundle {
  struct note {
    std::uint64_t Version = 0;
    std::string Text;
  };
  std::vector<note> Notes;
  std::string Snapshot; ///< empty where the notes suffice
};

std::string encode(const version_bundle &Message);
std::string encode(const heartbeat &Message);
std::string encode(const from_instance<lend_request> &Message);
std::string encode(const lend_response &Message);
std::string encode(const from_instance<lend_return> &Message);
std::string encode(const refusal_copies &Message);
std::string encode(const placement_hints &Message);
/// A version or a fingerprint alone.
std::string encodeNumber(std::uint64_t Number);

/// Readers fail with `PeerMessageInvalid` for anything malformed and with
/// `FormatUnsupported` for another protocol number.
result<version_bundle> decodeVersions(std::string_view Bytes);
result<heartbeat> decodeHeartbeat(std::string_view Bytes);
result<from_instance<lend_request>> decodeShareAsk(std::string_view Bytes);
result<lend_response> decodeShareReply(std::string_view Bytes);
result<from_instance<lend_return>> decodeShareReturn(std::string_view Bytes);
result<placement_hints> decodeHints(std::string_view Bytes);
result<refusal_copies> decodeRefusals(std::string_view Bytes);
result<std::uint64_t> decodeNumber(std::string_view Bytes);

} // namespace ebonyvale

#endif

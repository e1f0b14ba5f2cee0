/// \file
/// Headers between an instance and the peer that passes its request on to an
/// upstream. All other headers are those of an attempt and of its response.
#ifndef EBONYVALE_GATEWAY_REQUEST_RELAY_PROTOCOL_H
#define EBONYVALE_GATEWAY_REQUEST_RELAY_PROTOCOL_H

#include "net/http_message.h"

#include <optional>
#include <string_view>

namespace ebonyvale {

/// Id of the upstream that a request is for.
inline constexpr std::string_view RelayUpstreamHeader = "Relay-Upstream";
/// Name of a `relay_outcome`; absent if an upstream has responded.
inline constexpr std::string_view RelayOutcomeHeader = "Relay-Outcome";
/// `framingName` of the upstream's response. The relay ends a response with the
/// framing "close" only if the upstream's process has outlived it; builds
/// before that rule end it with its connection.
inline constexpr std::string_view RelayFramingHeader = "Relay-Framing";
/// Software version of the upstream as its entry states it, of requests for
/// streams that may be resumed. A relay passes the request on only if it is
/// certain that the upstream has it; builds before that rule ignore the header.
inline constexpr std::string_view RelaySoftwareHeader = "Relay-Software";

/// How a request ended for which a relay has no response of an upstream.
enum class relay_outcome {
  Unreachable, ///< not sent: no connection to the upstream could be opened
  Declined,    ///< not sent: the upstream may get no request from the relay now
  Busy,        ///< not sent: the relay passes no further request on
  Lost,        ///< sent, no response; not for a crash of the upstream
  LostWaiting, ///< sent, the connection was lost before the response
  LostBegun,   ///< sent, the connection was lost after the response's head
  /// Sent, the connection was lost as `mayBeIdleClose` says. The relay tells
  /// its peers if the upstream has ended. Earlier builds take it for `Lost`.
  LostReused,
};

std::string_view relayOutcomeName(relay_outcome Outcome);

/// Returns the outcome that \p Headers state, if any. An unknown one counts as
/// `Lost`, which promises nothing.
std::optional<relay_outcome> readRelayOutcome(const header_list &Headers);

/// Removes the headers of this protocol.
void eraseRelayHeaders(header_list &Headers);

} // namespace ebonyvale

#endif

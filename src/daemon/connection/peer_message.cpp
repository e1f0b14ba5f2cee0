#include "daemon/connection/peer_message.h"

#include <cmath>
#include <tuple>

#include <msgpack.hpp>

namespace ebonyvale {
namespace {

/// Limits on a received message: elements of a container, nesting depth, and
/// bytes of a text.
constexpr std::size_t MaxElements = 100'000;
constexpr std::size_t MaxDepth = 8;
constexpr std::size_t MaxTextBytes = 16 * 1024 * 1024;

using heartbeat_wire =
    std::tuple<std::uint32_t, std::string, std::uint64_t, std::uint64_t, bool>;
using lend_request_wire = std::tuple<std::uint32_t, std::string, std::uint64_t,
                                     std::string, double, bool, double, double>;
using lend_response_wire = std::tuple<std::uint32_t, std::uint64_t, std::string,
                                      double, double, double, double>;
using lend_return_wire = std::tuple<std::uint32_t, std::string, std::uint64_t,
                                    std::string, double, bool>;
using refusal_wire =
    std::tuple<std::string, std::int32_t, std::string, std::string, std::string,
               std::int64_t, std::uint64_t, double, double, double,
               std::string>;
using refusals_wire = std::tuple<std::uint32_t, std::vector<refusal_wire>>;
using hint_wire = std::tuple<std::uint64_t, std::string>;
using hints_wire = std::tuple<std::uint32_t, std::vector<hint_wire>>;
using note_wire = std::tuple<std::uint64_t, std::string>;
using versions_wire =
    std::tuple<std::uint32_t, std::vector<note_wire>, std::string>;
using number_wire = std::tuple<std::uint32_t, std::uint64_t>;

template <typename Wire> std::string pack(const Wire &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

failure invalid(const char *Reason) {
  return {error_kind::PeerMessageInvalid, Reason};
}

/// Decodes \p Bytes as one message and checks its protocol version. Converts
/// the exceptions by which msgpack reports malformed input to
/// `PeerMessageInvalid`.
template <typename Wire> result<Wire> unpack(std::string_view Bytes) {
  try {
    const msgpack::unpack_limit Limit(MaxElements, MaxElements, MaxTextBytes,
                                      MaxTextBytes, MaxTextBytes, MaxDepth);
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr, Limit);
    const msgpack::object &Object = Handle.get();
    if (Object.type != msgpack::type::ARRAY || Object.via.array.size == 0)
      return invalid("not an array");
    if (Object.via.array.ptr[0].as<std::uint32_t>() != PeerProtocolVersion)
      return failure{error_kind::FormatUnsupported,
                     "the peer uses another protocol version"};
    if (Object.via.array.size != std::tuple_size_v<Wire>)
      return invalid("wrong number of elements");
    return Object.as<Wire>();
  } catch (const std::exception &) {
    return invalid("malformed");
  }
}

bool isTokenAmount(double Value) { return std::isfinite(Value) && Value >= 0; }

refusal_wire toWire(const refusal &Refusal) {
  return {Refusal.Reference,
          static_cast<std::int32_t>(Refusal.Kind),
          Refusal.Team,
          Refusal.Route,
          Refusal.Instance,
          Refusal.At.time_since_epoch().count(),
          Refusal.ConfigurationVersion,
          Refusal.Figures.Requested,
          Refusal.Figures.Level,
          Refusal.Figures.ShareBurst,
          Refusal.Detail};
}

std::optional<refusal> fromWire(const refusal_wire &Wire) {
  const std::int32_t Kind = std::get<1>(Wire);
  if (Kind < 1 || Kind > static_cast<std::int32_t>(ErrorKindCount))
    return std::nullopt;
  refusal Refusal;
  Refusal.Reference = std::get<0>(Wire);
  Refusal.Kind = static_cast<error_kind>(Kind);
  Refusal.Team = std::get<2>(Wire);
  Refusal.Route = std::get<3>(Wire);
  Refusal.Instance = std::get<4>(Wire);
  Refusal.At = wall_ms(std::chrono::milliseconds(std::get<5>(Wire)));
  Refusal.ConfigurationVersion = std::get<6>(Wire);
  Refusal.Figures = {std::get<7>(Wire), std::get<8>(Wire), std::get<9>(Wire)};
  Refusal.Detail = std::get<10>(Wire);
  return Refusal;
}

} // namespace

std::string encode(const version_bundle &Message) {
  std::vector<note_wire> Notes;
  for (const version_bundle::note &Note : Message.Notes)
    Notes.emplace_back(Note.Version, Note.Text);
  return pack(
      versions_wire(PeerProtocolVersion, std::move(Notes), Message.Snapshot));
}

std::string encode(const heartbeat &Message) {
  return pack(heartbeat_wire(PeerProtocolVersion, Message.Instance,
                             Message.Boot, Message.ConfigurationVersion,
                             Message.Leaving));
}

std::string encode(const message_from<lend_request> &Message) {
  const lend_request &Request = Message.Payload;
  return pack(lend_request_wire(
      PeerProtocolVersion, Message.Instance, Request.LendRequestId,
      Request.Team, Request.Tokens, Request.Purpose == lend_purpose::Rebalance,
      Request.Level, Request.Burst));
}

std::string encode(const lend_response &Message) {
  return pack(lend_response_wire(PeerProtocolVersion, Message.LendRequestId,
                                 Message.Team, Message.Lent, Message.Level,
                                 Message.Rate, Message.Outstanding));
}

std::string encode(const message_from<lend_return> &Message) {
  const lend_return &Return = Message.Payload;
  return pack(lend_return_wire(PeerProtocolVersion, Message.Instance,
                               Return.LendRequestId, Return.Team, Return.Tokens,
                               Return.Closed));
}

std::string encode(const refusal_list &Message) {
  std::vector<refusal_wire> Refusals;
  for (const refusal &Refusal : Message.Refusals)
    Refusals.push_back(toWire(Refusal));
  return pack(refusals_wire(PeerProtocolVersion, std::move(Refusals)));
}

std::string encode(const placement_hints &Message) {
  std::vector<hint_wire> Hints;
  for (const placement_hints::hint &Hint : Message.Hints)
    Hints.emplace_back(Hint.FirstPiece, Hint.Engine);
  return pack(hints_wire(PeerProtocolVersion, std::move(Hints)));
}

std::string encodeNumber(std::uint64_t Number) {
  return pack(number_wire(PeerProtocolVersion, Number));
}

result<version_bundle> decodeVersions(std::string_view Bytes) {
  const auto Wire = unpack<versions_wire>(Bytes);
  if (!Wire)
    return Wire.error();
  version_bundle Bundle;
  for (const auto &[Version, Text] : std::get<1>(*Wire))
    Bundle.Notes.push_back({Version, Text});
  Bundle.Snapshot = std::get<2>(*Wire);
  return Bundle;
}

result<heartbeat> decodeHeartbeat(std::string_view Bytes) {
  const auto Wire = unpack<heartbeat_wire>(Bytes);
  if (!Wire)
    return Wire.error();
  const auto &[Protocol, Instance, Boot, Version, Leaving] = *Wire;
  return heartbeat{Instance, Boot, Version, Leaving};
}

result<message_from<lend_request>> decodeLendRequest(std::string_view Bytes) {
  const auto Wire = unpack<lend_request_wire>(Bytes);
  if (!Wire)
    return Wire.error();
  const auto &[Protocol, Instance, Id, Team, Tokens, IsRebalance, Level,
               Burst] = *Wire;
  if (!isTokenAmount(Tokens) || !std::isfinite(Level) || !isTokenAmount(Burst))
    return invalid("not an amount of tokens");
  return message_from<lend_request>{
      Instance,
      {Id, Team, Tokens,
       IsRebalance ? lend_purpose::Rebalance : lend_purpose::Need, Level,
       Burst}};
}

result<lend_response> decodeLendResponse(std::string_view Bytes) {
  const auto Wire = unpack<lend_response_wire>(Bytes);
  if (!Wire)
    return Wire.error();
  const auto &[Protocol, Id, Team, Lent, Level, Rate, Outstanding] = *Wire;
  if (!isTokenAmount(Lent) || !isTokenAmount(Level) || !isTokenAmount(Rate) ||
      !isTokenAmount(Outstanding))
    return invalid("not an amount of tokens");
  return lend_response{Id, Team, Lent, Level, Rate, Outstanding};
}

result<message_from<lend_return>> decodeLendReturn(std::string_view Bytes) {
  const auto Wire = unpack<lend_return_wire>(Bytes);
  if (!Wire)
    return Wire.error();
  const auto &[Protocol, Instance, Id, Team, Tokens, Closed] = *Wire;
  if (!isTokenAmount(Tokens))
    return invalid("not an amount of tokens");
  return message_from<lend_return>{Instance, {Id, Team, Tokens, Closed}};
}

result<placement_hints> decodeHints(std::string_view Bytes) {
  const auto Wire = unpack<hints_wire>(Bytes);
  if (!Wire)
    return Wire.error();
  placement_hints Received;
  for (const auto &[FirstPiece, Engine] : std::get<1>(*Wire))
    Received.Hints.push_back({FirstPiece, Engine});
  return Received;
}

result<refusal_list> decodeRefusals(std::string_view Bytes) {
  const auto Wire = unpack<refusals_wire>(Bytes);
  if (!Wire)
    return Wire.error();
  refusal_list List;
  for (const refusal_wire &Entry : std::get<1>(*Wire)) {
    auto Refusal = fromWire(Entry);
    if (!Refusal)
      return invalid("unknown error kind");
    List.Refusals.push_back(std::move(*Refusal));
  }
  return List;
}

result<std::uint64_t> decodeNumber(std::string_view Bytes) {
  const auto Wire = unpack<number_wire>(Bytes);
  if (!Wire)
    return Wire.error();
  return std::get<1>(*Wire);
}

} // namespace ebonyvale

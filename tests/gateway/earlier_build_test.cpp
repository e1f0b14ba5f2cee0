// Messages and notes of earlier builds, as their processes sent them under the
// soak, and what they need of those of this build.
#include "gateway/captured_output.h"
#include "gateway/connection/peer_messages.h"
#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <charconv>
#include <set>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace ebonyvale;

namespace {

using nlohmann::json;

struct golden_row {
  char Build[8]; ///< commit of the sender
  char Kind[16];
  char Hex[1024]; ///< the datagram
};

/// Kinds of upstreams' reports, hints, quarantined and sound segments and
/// brittle upstreams did not occur in those runs.
std::span<golden_row> goldenRows() {
  static golden_row Rows[] = {
      {"5bb8aca", "ask",
       "89a162ca00000000a166a3672d32a16ba361736ba16cca00000000a16ecf"
       "61b811e4f5300cfba170c2a174a174a17601a177cb4068bf7dfd76b8be"},
      {"5bb8aca", "changes",
       "88a161cc8da165c2a166a3672d30a167c3a16ba76368616e676573a16e02"
       "a16f9192a96f702f636f6e66696708a17601"},
      {"5bb8aca", "changes",
       "89a1616ea166a3672d32a16990a16ba76368616e676573a16dc2a16e30a1"
       "6f9192a96f702f636f6e66696708a1723ba17601"},
      {"5bb8aca", "changes",
       "89a16140a166a3672d32a1699192ad736572766572732f752d332d303ca1"
       "6ba76368616e676573a16dc2a16e31a16f9192a96f702f636f6e66696708"
       "a1723ca17601"},
      {"5bb8aca", "changes",
       "89a161cc88a166a3672d30a1699193b865626f6e7976616c652f77656967"
       "6874732d6973737565720cc403672d30a16ba76368616e676573a16dc2a1"
       "6e03a16f9192a96f702f636f6e66696705a1720ca17601"},
      {"5bb8aca", "changes",
       "8aa161cd0649a166a3672d30a16990a16ba76368616e676573a16dc2a16e"
       "41a16f9292a96f702f636f6e6669670892ac6f702f76657273696f6e2f6d"
       "cf000001000000003ea172cf0000010000000044a17601a1779193a16d02"
       "cd0649"},
      {"5bb8aca", "leaving",
       "84a1649194a5752d322d31cf000001a2484968a4a93132372e302e302e31"
       "cdadffa166a3672d32a16ba76c656176696e67a17601"},
      {"5bb8aca", "limit",
       "84a1639193a5752d312d31ca40a0000000a166a3672d32a16ba56c696d69"
       "74a17601"},
      {"5bb8aca", "load",
       "88a1639193a5752d312d31ca40a0000018a166a3672d32a16890a16ba46c"
       "6f6164a16c9195a5752d312d3101000000a17290a17601a17790"},
      {"5bb8aca", "load",
       "88a1649194a5752d322d31cf000001a2484968a4a93132372e302e302e31"
       "cdadffa166a3672d32a16890a16ba46c6f6164a16c9195a5752d322d3105"
       "000000a17290a17601a17790"},
      {"5bb8aca", "load",
       "87a166a3672d34a16890a16ba46c6f6164a16c90a17290a17601a17790"},
      {"5bb8aca", "load",
       "87a166a3672d32a16890a16ba46c6f6164a16c9195a5752d302d30010000"
       "00a17290a17601a17790"},
      {"5bb8aca", "load",
       "87a166a3672d32a16890a16ba46c6f6164a16c9195a5752d302d31010000"
       "00a17290a17601a1779194a16d02cd0597c2"},
      {"5bb8aca", "load",
       "87a166a3672d32a16890a16ba46c6f6164a16c90a17290a17601a1779194"
       "a16d02cd064ac2"},
      {"5bb8aca", "loss",
       "85a166a3672d32a16ba46c6f7373a171cfb82c5d0d0fae5bf7a175cee5f1"
       "ba8da17601"},
      {"5bb8aca", "origin_query",
       "84a166a3672d30a16bac6f726967696e5f7175657279a173cf000077d04a"
       "ea99c0a17601"},
      {"5bb8aca", "origin_reply",
       "84a166a3672d34a16bac6f726967696e5f7265706c79a173cf00009fc706"
       "9ab3dca17601"},
      {"5bb8aca", "origin_reply",
       "85a166a3672d32a16bac6f726967696e5f7265706c79a173cf000077d04a"
       "ea99c0a17601a177a4730a7631"},
      {"5bb8aca", "origins",
       "84a166a3672d32a16ba76f726967696e73a16fc40d04730a763101002da1"
       "511a7290a17601"},
      {"5bb8aca", "pause",
       "85a166a3672d30a16ba57061757365a26d7300a175a5752d302d30a17601"},
      {"5bb8aca", "poll",
       "86a166a3672d32a16ba4706f6c6ca16e01a16f9192a96f702f636f6e6669"
       "6708a17239a17601"},
      {"5bb8aca", "reply",
       "89a166a3672d32a16ba57265706c79a16cca00000000a16dca00000000a1"
       "6ecf2fa3d318025a5bf9a172cb40b54a0000000001a174a174a17601a177"
       "ca00000000"},
      {"5bb8aca", "return",
       "87a163c3a166a3672d32a16ba672657475726ea16ecf61b811e4f5300cfc"
       "a174a174a17601a177ca00000000"},
      {"5bb8aca", "weights",
       "86a166a3672d30a16ba777656967687473a16da16da16e02a175a5752d30"
       "2d30a17601"},
      {"4e72611", "ask",
       "89a162ca00000000a166a3672d32a16ba361736ba16cca00000000a16ecf"
       "ea771ea7b9a3ea1ca170c2a174a174a17601a177cb409f1234e87d2c74"},
      {"4e72611", "changes",
       "89a16101a166a3672d31a16990a16ba76368616e676573a16dc2a16e05a1"
       "6f9192a96f702f636f6e66696708a1723aa17601"},
      {"4e72611", "changes",
       "89a161cca2a166a3672d31a1699192ad736572766572732f752d332d303f"
       "a16ba76368616e676573a16dc2a16e0aa16f9192a96f702f636f6e666967"
       "08a17240a17601"},
      {"4e72611", "changes",
       "89a1617ea166a3672d30a1699193b865626f6e7976616c652f7765696768"
       "74732d69737375657215c403672d30a16ba76368616e676573a16dc2a16e"
       "01a16f9192a96f702f636f6e66696708a17215a17601"},
      {"4e72611", "changes",
       "8aa161cd0747a166a3672d31a16990a16ba76368616e676573a16dc2a16e"
       "41a16f9292a96f702f636f6e6669670892ac6f702f76657273696f6e2f6d"
       "cf0000010000000040a172cf0000010000000049a17601a1779193a16d02"
       "cd0747"},
      {"4e72611", "leaving",
       "84a1649194a5752d322d31cf000001a24849b71ea93132372e302e302e31"
       "cd83f3a166a3672d32a16ba76c656176696e67a17601"},
      {"4e72611", "limit",
       "84a1639193a5752d312d31ca40a0000000a166a3672d31a16ba56c696d69"
       "74a17601"},
      {"4e72611", "load",
       "88a1639193a5752d312d31ca40a0000017a166a3672d32a16890a16ba46c"
       "6f6164a16c9195a5752d312d3100000000a17290a17601a17790"},
      {"4e72611", "load",
       "88a1649194a5752d322d31cf000001a24849b71ea93132372e302e302e31"
       "cd83f3a166a3672d32a16890a16ba46c6f6164a16c9195a5752d322d3103"
       "000000a17290a17601a17790"},
      {"4e72611", "load",
       "87a166a3672d32a16890a16ba46c6f6164a16c90a17290a17601a17790"},
      {"4e72611", "load",
       "87a166a3672d32a16890a16ba46c6f6164a16c9195a5752d302d30070000"
       "00a17290a17601a17790"},
      {"4e72611", "load",
       "87a166a3672d31a16890a16ba46c6f6164a16c9195a5752d302d31000000"
       "00a17290a17601a1779194a16d02cd057dc2"},
      {"4e72611", "load",
       "87a166a3672d31a16890a16ba46c6f6164a16c90a17290a17601a1779194"
       "a16d02cd09f1c2"},
      {"4e72611", "loss",
       "85a166a3672d32a16ba46c6f7373a171cf848019247725bc7fa175cee5f1"
       "ba8da17601"},
      {"4e72611", "origin_query",
       "84a166a3672d31a16bac6f726967696e5f7175657279a173cf0000d5b878"
       "1812f5a17601"},
      {"4e72611", "origin_reply",
       "84a166a3672d31a16bac6f726967696e5f7265706c79a173cf00001a21e2"
       "649764a17601"},
      {"4e72611", "origin_reply",
       "85a166a3672d32a16bac6f726967696e5f7265706c79a173cf0000200e2f"
       "b5fc7ea17601a177a4730a7631"},
      {"4e72611", "origins",
       "84a166a3672d32a16ba76f726967696e73a16fc40d04730a763101007c2c"
       "eba7cdbea17601"},
      {"4e72611", "pause",
       "85a166a3672d30a16ba57061757365a26d7300a175a5752d302d30a17601"},
      {"4e72611", "poll",
       "86a166a3672d32a16ba4706f6c6ca16e01a16f9192a96f702f636f6e6669"
       "6705a17207a17601"},
      {"4e72611", "reply",
       "89a166a3672d31a16ba57265706c79a16cca00000000a16dca00000000a1"
       "6ecf37eb87ee5bf00950a172cb40b54a0000000001a174a174a17601a177"
       "ca00000000"},
      {"4e72611", "return",
       "87a163c3a166a3672d32a16ba672657475726ea16ecfea771ea7b9a3ea1b"
       "a174a174a17601a177ca00000000"},
      {"4e72611", "weights",
       "86a166a3672d30a16ba777656967687473a16da16da16e02a175a5752d30"
       "2d30a17601"},
  };
  return Rows;
}

std::string bytesOf(const golden_row &Row) {
  const std::string_view Hex = Row.Hex;
  std::string Bytes;
  for (std::size_t At = 0; At + 1 < Hex.size(); At += 2) {
    unsigned Byte = 0;
    std::from_chars(Hex.data() + At, Hex.data() + At + 2, Byte, 16);
    Bytes += static_cast<char>(Byte);
  }
  return Bytes;
}

/// A UDP socket that stands for a peer, and the notes that list it.
class listed_peer {
public:
  explicit listed_peer(gateway_fixture &Gateway, const json &Extra = {})
      : Socket(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert(bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                   sizeof(Address)) == 0);
    socklen_t Length = sizeof(Address);
    getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
    // The entry of build 5bb8aca, which passes no requests on.
    json Entry{{"address", "127.0.0.1"},
               {"port", ntohs(Address.sin_port)},
               {"domain", "z"},
               {"boot", 7}};
    if (Extra.is_object())
      Entry.update(Extra);
    Gateway.Store.put("ebonyvale/instances/o-1", Entry.dump());
    Gateway.Store.put("ebonyvale/alive/o-1", "7");
    cr_assert(Gateway.waitFor([&Gateway] {
      return Gateway.core().roster().peers().contains("o-1");
    }));
  }
  ~listed_peer() { close(Socket); }

  void send(std::uint16_t Port, std::string_view Bytes) const {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert(sendto(Socket, Bytes.data(), Bytes.size(), 0,
                     reinterpret_cast<sockaddr *>(&Address),
                     sizeof(Address)) == static_cast<ssize_t>(Bytes.size()));
  }
  void sendJson(std::uint16_t Port, const json &Message) const {
    const std::vector<std::uint8_t> Bytes = json::to_msgpack(Message);
    send(Port, std::string(Bytes.begin(), Bytes.end()));
  }

  /// Returns the next message of the gateway, or null.
  json receive() const {
    char Buffer[32768];
    const ssize_t Length = recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Length <= 0)
      return {};
    return json::from_msgpack(
        std::string_view(Buffer, static_cast<std::size_t>(Length)));
  }

private:
  int Socket;
};

/// Sends a message that announces \p Version and waits until it is handled.
void awaitHandled(gateway_fixture &Gateway, const listed_peer &Peer,
                  std::int64_t Version) {
  Peer.sendJson(Gateway.core().peerPort(),
                json{{"v", 1},
                     {"f", "o-1"},
                     {"k", "load"},
                     {"l", json::array()},
                     {"h", json::array()},
                     {"w", json::array({json::array({"m9", Version, 10})})}});
  cr_assert(Gateway.waitFor([&] {
    const auto *Newest =
        Gateway.core().scheduler().announcedWeights().newest("m9");
    return Newest && Newest->Version == Version;
  }));
}

/// Returns whether a reader of \p Earlier finds its fields in \p Message.
/// Lists may have further elements at their end.
bool covers(const json &Message, const json &Earlier) {
  if (Earlier.is_object())
    return Message.is_object() &&
           std::ranges::all_of(Earlier.items(), [&](const auto &Field) {
             return Message.contains(Field.key()) &&
                    covers(Message[Field.key()], Field.value());
           });
  if (Earlier.is_array()) {
    if (!Message.is_array())
      return false;
    for (const auto &Element : Message)
      if (!Earlier.empty() && Element.is_array() && Earlier[0].is_array() &&
          !std::ranges::equal(
              Earlier[0],
              std::span(Element.get_ref<const json::array_t &>())
                  .first(std::min(Element.size(), Earlier[0].size())),
              [](const json &A, const json &B) { return covers(B, A); }))
        return false;
    return true;
  }
  return Earlier.is_number() ? Message.is_number()
                             : Message.type() == Earlier.type();
}

/// Sends a message of each kind that goes to a peer.
void sendAllKinds(peer_messenger &Messenger) {
  const instant Now = readBootClock();
  const std::string Peer = "o-1";
  Messenger.sendLendRequest(Peer, {3, "t", 5.5, lend_purpose::Need, 1, 2});
  Messenger.sendLendReturn(Peer, {3, "t", 1.5, true});
  Messenger.sendLoss(7, {5, 1770000000000}, {});
  Messenger.sendEnded({5, 1770000000000});
  Messenger.sendSound(7, {});
  Messenger.sendPause("u-1", span_ns(0));
  Messenger.sendChangePoll(Peer, {4, 9, {{"op/config", 8, std::nullopt}}});
  change_response Response;
  Response.Number = 4;
  Response.ReadAge = std::chrono::milliseconds(3);
  Response.UpstreamsAge = std::chrono::milliseconds(3);
  Response.Documents = {{"op/config", 8, std::nullopt}};
  Response.Weights = {{"m", 2, std::chrono::milliseconds(5)}};
  Response.Changes.HasGap = true;
  Messenger.sendChanges(Peer, Response);
  Response.Changes.HasGap = false;
  Response.Changes.Items = {{"k", "value", 9, false}};
  Messenger.sendChanges(Peer, Response);
  Messenger.sendWeights("u-1", "m", 2);
  Messenger.sendLimit({"u-1", 5.0, Now});
  Messenger.sendOrigins(Peer, "\x04s\nv1");
  Messenger.sendOriginQuestion(Peer, 11);
  Messenger.sendHistoryQuestion(Peer, 12, 3);
  Messenger.sendLeaving({"u-1", 17, "127.0.0.1", 9});
}

} // namespace

ParameterizedTestParameters(earlier_build, messages_are_read) {
  const auto Rows = goldenRows();
  return cr_make_param_array(golden_row, Rows.data(), Rows.size());
}

/// As they are, and with a field of a later build.
ParameterizedTest(golden_row *Row, earlier_build, messages_are_read) {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.LogLevel = "warn";
  gateway_fixture Gateway(Settings);
  captured_output Output;
  const listed_peer Peer(Gateway);
  const std::string Bytes = bytesOf(*Row);
  auto Message = parseMessage(Bytes);
  cr_assert(Message && Message->at("k") == Row->Kind);
  Peer.send(Gateway.core().peerPort(), Bytes);
  awaitHandled(Gateway, Peer, 1);
  (*Message)["future"] = json{{"a", json::array({1, "b"})}};
  Peer.sendJson(Gateway.core().peerPort(), *Message);
  awaitHandled(Gateway, Peer, 2);
  Gateway.core().log().flush();
  cr_assert(Output.linesWith("unreadable") == 0, "%s %s", Row->Build,
            Row->Kind);
}

/// What an earlier build sends, it also reads: its readers find the same fields
/// with the same types.
Test(earlier_build, finds_its_fields_in_messages_of_this_build) {
  gateway_fixture Gateway;
  const listed_peer Peer(Gateway);
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
  sendAllKinds(*Gateway.core().messenger());
  std::vector<json> Sent;
  Peer.sendJson(Gateway.core().peerPort(),
                json{{"v", 1}, {"f", "o-1"}, {"k", "origin_query"}, {"s", 11}});
  Peer.sendJson(Gateway.core().peerPort(), json{{"v", 1},
                                                {"f", "o-1"},
                                                {"k", "ask"},
                                                {"n", 1},
                                                {"t", "t"},
                                                {"w", 1.0},
                                                {"p", false},
                                                {"l", 0.0},
                                                {"b", 0.0}});
  std::set<std::string> Kinds;
  cr_assert(Gateway.waitFor([&] {
    for (json Next = Peer.receive(); !Next.is_null(); Next = Peer.receive()) {
      Kinds.insert(Next.at("k"));
      Sent.push_back(std::move(Next));
    }
    return Kinds.contains("load") && Kinds.contains("reply") &&
           Kinds.contains("origin_reply") && Kinds.contains("leaving");
  }));
  for (const golden_row &Row : goldenRows()) {
    const auto Earlier = parseMessage(bytesOf(Row));
    json Required = *Earlier;
    // Absent if there is nothing to state.
    for (const char *Name : {"c", "d", "x"})
      if (Row.Kind == std::string_view("load"))
        Required.erase(Name);
    if (Row.Kind == std::string_view("origin_reply"))
      Required.erase("w");
    const bool Covered = std::ranges::any_of(Sent, [&](const json &Message) {
      return Message.at("k") == Row.Kind && covers(Message, Required);
    });
    cr_expect(Covered, "%s %s", Row.Build, Row.Kind);
  }
}

/// Nothing of such a message is used: its fields may mean something else.
Test(earlier_build, message_of_another_version_is_dropped_with_one_line) {
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.LogLevel = "warn";
  gateway_fixture Gateway(Settings);
  captured_output Output;
  const listed_peer Peer(Gateway);
  json Message{{"v", 2},
               {"f", "o-1"},
               {"k", "load"},
               {"l", json::array({json::array({"u-1", 5, 0, 0, 0})})},
               {"h", json::array()},
               {"w", json::array()}};
  for (int Repeat = 0; Repeat < 3; ++Repeat)
    Peer.sendJson(Gateway.core().peerPort(), Message);
  Message["f"] = "not-listed";
  Peer.sendJson(Gateway.core().peerPort(), Message);
  awaitHandled(Gateway, Peer, 1);
  Gateway.core().log().flush();
  cr_assert(Output.linesWith("\"event\":\"gossip_version_unknown\"") == 1);
  cr_assert(Output.linesWith("\"peer\":\"o-1\",\"peer_version\":\"2\","
                             "\"own_version\":1") == 1);
  const auto Views = Gateway.core().scheduler().views(readBootClock());
  cr_assert(Views[0].InFlightOfPeers == 0);
}

Test(earlier_build, entries_are_read_both_ways) {
  gateway_fixture Gateway;
  const listed_peer Peer(Gateway, {{"relay_port", 9}, {"future", {{"a", 1}}}});
  const auto &Peers = Gateway.core().roster().peers();
  cr_assert(Peers.at("o-1").RelayPort == 9);
  const listed_peer Earlier(Gateway);
  cr_assert(Gateway.waitFor([&] { return Peers.at("o-1").RelayPort == 0; }));
  const auto Own = Gateway.Store.model().get("ebonyvale/instances/" +
                                             Gateway.settings().InstanceName);
  cr_assert(Own);
  const json Required{
      {"address", "127.0.0.1"}, {"port", 1}, {"domain", "z"}, {"boot", 7}};
  cr_assert(covers(json::parse(Own->Value), Required), "%s",
            Own->Value.c_str());
}

// Messages of peers that run another release, and malformed ones.
#include "gateway/connection/peer_messages.h"
#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <vector>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

void sendDatagram(std::uint16_t Port, const json &Message) {
  const std::vector<std::uint8_t> Bytes = json::to_msgpack(Message);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int Socket = socket(AF_INET, SOCK_DGRAM, 0);
  cr_assert(sendto(Socket, Bytes.data(), Bytes.size(), 0,
                   reinterpret_cast<sockaddr *>(&Address),
                   sizeof(Address)) == static_cast<ssize_t>(Bytes.size()));
  close(Socket);
}

json loadMessage() {
  return {{"v", 1},
          {"f", "o-1"},
          {"k", "load"},
          {"l", json::array({json::array({"u-1", 5, 0, 0, 0})})},
          {"r", json::array()},
          {"h", json::array()},
          {"w", json::array({json::array({"m", 7, 10})})}};
}

bool knowsVersion(gateway_fixture &Gateway, std::int64_t Version) {
  for (const weights_announcement &Known :
       Gateway.core().scheduler().announcedWeights().recent(readBootClock()))
    if (Known.Version == Version)
      return true;
  return false;
}

struct message_row {
  char Field[16];
  char Value[32]; ///< as JSON; empty: the field is absent
};

} // namespace

/// An earlier release does not send what upstreams reported to it.
Test(peer_gossip, reads_messages_of_an_earlier_release) {
  gateway_fixture Gateway;
  json Message = loadMessage();
  Message.erase("r");
  sendDatagram(Gateway.core().peerPort(), Message);
  cr_assert(Gateway.waitFor([&] { return knowsVersion(Gateway, 7); }));
  const auto Views = Gateway.core().scheduler().views(readBootClock());
  cr_assert(Views[0].InFlightOfPeers == 5);
}

ParameterizedTestParameters(peer_gossip, survives_malformed_messages) {
  static message_row Rows[] = {
      {"l", "7"},
      {"l", "[[1,2]]"},
      {"r", "[[\"u-1\"]]"},
      {"r", "{}"},
      {"h", "[[1]]"},
      {"w", "null"},
      {"k", "\"poll\""},
      {"k", "\"hints\""},
      {"k", "\"changes\""},
      {"k", "[]"},
      {"f", "9"},
      {"f", ""},
      {"k", "\"future\""},
      {"x", "[[1]]"},
      {"x", "{}"},
      {"x", "[[7,\"a\"]]"},
      {"k", "\"sound\""},
      {"k", "\"origins\""},
      {"k", "\"origin_query\""},
      {"k", "\"origin_reply\""},
      {"d", "[[1]]"},
      {"d", "[[\"a\"]]"},
      {"d", "7"},
      {"l", "[[\"u-1\",5,0,0,0,\"a\"]]"},
      {"r", "[[\"u-1\",1,0,1,5,\"a\"]]"},
      {"t", "[[\"s\"]]"},
      {"t", "[[\"s\",\"r\",1,-1,1e300,0]]"},
      {"m", "[[\"s\",0,-1]]"},
      {"m", "7"},
      {"k", "\"leaving\""},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(message_row *Row, peer_gossip, survives_malformed_messages) {
  gateway_fixture Gateway;
  json Message = loadMessage();
  if (Row->Value[0] != 0)
    Message[Row->Field] = json::parse(Row->Value);
  else
    Message.erase(Row->Field);
  const std::uint16_t Port = Gateway.core().peerPort();
  sendDatagram(Port, Message);
  Message = loadMessage();
  Message["w"][0][1] = 9;
  sendDatagram(Port, Message);
  cr_assert(Gateway.waitFor([&] { return knowsVersion(Gateway, 9); }));
  cr_assert(Gateway.sendRequest({.Path = "/read/1"}).Status == 200);
}

Test(peer_gossip, loads_and_costs_survive_encoding) {
  const instant Now(9s);
  const auto Loads = decodeLoads(encodeLoads(std::vector<peer_load>{
      {"u-1", 2, 3, 4, 5, 17.0}, {"u-2", 2, 3, 4, 5, std::nullopt}}));
  cr_assert(Loads.size() == 2 && Loads[0].RestMs == 17.0 && !Loads[1].RestMs);
  const auto Reports =
      decodeReports(encodeReports(
                        std::vector<upstream_load_report>{
                            {"u-1", {1, 2, 3, 140}, instant(8s)},
                            {"u-2", {1, 2, 3}, instant(8s)}},
                        Now),
                    Now);
  cr_assert(Reports.size() == 2 && Reports[0].At == instant(8s));
  cr_assert(Reports[0].Load.SlownessPercent == 140);
  cr_assert(Reports[1].Load.SlownessPercent == 100);
  const auto Costs = decodeCosts(encodeCosts(
      std::vector<cost_summary>{{"s", "r", {20.5, 10.25, 90, 64}}}));
  cr_assert(Costs.size() == 1 && Costs[0].Service == "s" &&
            Costs[0].Route == "r");
  cr_assert(Costs[0].Cost.MeanMs == 20.5 && Costs[0].Cost.MedianMs == 10.25 &&
            Costs[0].Cost.HighMs == 90 && Costs[0].Cost.Weight == 64);
  const auto Rates = decodeRates(
      encodeRates(std::vector<service_rates>{{"s", {44.5, 12}, 100}}));
  cr_assert(Rates.size() == 1 && Rates[0].Rates.PrefillTokensPerMs == 44.5 &&
            Rates[0].Rates.FirstTokenMs == 12);
}

/// The size at which `upstream_departures` counts one.
Test(peer_gossip, sends_a_departure_in_few_bytes) {
  const std::vector<upstream_process> Processes{
      {"i-0123456789", 1770000000000, "10.250.250.250", 65535}};
  const json Message = encodeProcesses(Processes);
  const std::size_t Bytes = json::to_msgpack(Message).size();
  cr_log_info("%zu bytes", Bytes);
  cr_assert(Bytes <= 64, "%zu", Bytes);
  cr_assert(decodeProcesses(Message) == Processes);
}

// A gateway whose address is in use, or is none.
#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;

namespace {

/// A loopback port that another program holds.
class taken_port {
public:
  explicit taken_port(int Type) : Socket(socket(AF_INET, Type, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    cr_assert(bind(Socket, Generic, Length) == 0);
    cr_assert(Type == SOCK_DGRAM || ::listen(Socket, 1) == 0);
    cr_assert(getsockname(Socket, Generic, &Length) == 0);
    Port = ntohs(Address.sin_port);
  }
  ~taken_port() { close(Socket); }
  taken_port(const taken_port &) = delete;
  taken_port &operator=(const taken_port &) = delete;

  std::string endpoint() const { return fmt::format("127.0.0.1:{}", Port); }

private:
  int Socket;
  std::uint16_t Port = 0;
};

struct address_row {
  char Setting[24];
  std::string gateway_settings::*Value;
  int Type;        ///< of the socket that holds the address
  char Text[24];   ///< instead of the taken address, if set
  char Reason[40]; ///< after the endpoint
};

} // namespace

ParameterizedTestParameters(taken_address, is_named_with_its_setting) {
  static address_row Rows[] = {
      {"listen.callers", &gateway_settings::CallerEndpoint, SOCK_STREAM, "",
       ": Address already in use"},
      {"listen.ready", &gateway_settings::ReadyEndpoint, SOCK_STREAM, "",
       ": Address already in use"},
      {"listen.metrics", &gateway_settings::MetricsEndpoint, SOCK_STREAM, "",
       ": Address already in use"},
      {"listen.peers", &gateway_settings::PeerEndpoint, SOCK_DGRAM, "",
       ": Address already in use"},
      {"listen.peers", &gateway_settings::PeerEndpoint, SOCK_STREAM, "",
       ": Address already in use"},
      {"listen.callers", &gateway_settings::CallerEndpoint, SOCK_STREAM,
       "192.0.2.1:9", ": Cannot assign requested"},
      {"listen.callers", &gateway_settings::CallerEndpoint, SOCK_STREAM,
       "callers:9", ": not an address"},
      {"listen.peers", &gateway_settings::PeerEndpoint, SOCK_STREAM, "peers:9",
       ": not an address"}};
  return criterion_test_params(Rows);
}

/// A gateway that could not listen named the endpoint only, neither the setting
/// nor whether it was in use or did not exist.
ParameterizedTest(address_row *Row, taken_address, is_named_with_its_setting) {
  const event_base_ptr Base(event_base_new());
  const taken_port Taken(Row->Type);
  gateway_settings Settings = gateway_fixture::testSettings();
  Settings.StoreEndpoint = "127.0.0.1:1";
  Settings.MetricsEndpoint = "127.0.0.1:0";
  const std::string Endpoint = Row->Text[0] ? Row->Text : Taken.endpoint();
  Settings.*Row->Value = Endpoint;
  fake_fleet_store Store(Base.get());
  const platform::documents Documents;
  const platform::caller_messages Callers;
  const platform::upstream_messages Upstreams;
  gateway_task Gateway(
      Base.get(), Settings, {Documents, Callers, Upstreams},
      [&Store](client_connection_pool &, const ebonyvale::endpoint &, span_ns) {
        return std::make_unique<fake_fleet_store_client>(Store, "g-1");
      });
  const auto Problem = Gateway.start();
  cr_assert(Problem && Problem->kind() == error_kind::SettingsInvalid);
  const std::string Expected = fmt::format("{}: cannot listen on {}{}",
                                           Row->Setting, Endpoint, Row->Reason);
  cr_assert(Problem->Detail.starts_with(Expected), "%s",
            Problem->Detail.c_str());
}

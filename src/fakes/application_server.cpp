#include "fakes/application_server.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";

/// Returns the `Content-Length` of a request head, or 0 without one.
std::size_t contentLength(std::string_view Head) {
  constexpr std::string_view Name = "Content-Length: ";
  const std::size_t Found = Head.find(Name);
  if (Found == std::string_view::npos)
    return 0;
  const std::string_view Digits = Head.substr(Found + Name.size());
  std::size_t Length = 0;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Length);
  return Length;
}

} // namespace

struct application_server::connection {
  application_server *Owner;
  std::unique_ptr<bufferevent, releaser<bufferevent_free>> Socket;
  std::string Input;
};

application_server::application_server(event_base *Base) : Base(Base) {}

application_server::~application_server() = default;

std::optional<failure> application_server::listen(const std::string &Address,
                                                  std::uint16_t WantedPort) {
  sockaddr_in Endpoint{};
  Endpoint.sin_family = AF_INET;
  Endpoint.sin_port = htons(WantedPort);
  inet_pton(AF_INET, Address.c_str(), &Endpoint.sin_addr);
  Listener.reset(evconnlistener_new_bind(
      Base, &application_server::onAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr *>(&Endpoint), sizeof(Endpoint)));
  if (!Listener)
    return failure{error_kind::SettingsInvalid, "cannot listen"};
  socklen_t Length = sizeof(Endpoint);
  getsockname(evconnlistener_get_fd(Listener.get()),
              reinterpret_cast<sockaddr *>(&Endpoint), &Length);
  Port = ntohs(Endpoint.sin_port);
  return std::nullopt;
}

void application_server::onAccept(evconnlistener *, evutil_socket_t Socket,
                                  sockaddr *, int, void *Self) {
  auto *Server = static_cast<application_server *>(Self);
  auto Connection = std::make_unique<connection>();
  Connection->Owner = Server;
  Connection->Socket.reset(
      bufferevent_socket_new(Server->Base, Socket, BEV_OPT_CLOSE_ON_FREE));
  if (Server->Stage == break_stage::AfterAccept)
    return;
  bufferevent_setcb(Connection->Socket.get(), &application_server::onReadable,
                    nullptr, &application_server::onEvent, Connection.get());
  bufferevent_enable(Connection->Socket.get(), EV_READ | EV_WRITE);
  Server->Connections.push_back(std::move(Connection));
}

void application_server::onReadable(bufferevent *Socket, void *Argument) {
  auto &Connection = *static_cast<connection *>(Argument);
  evbuffer *Input = bufferevent_get_input(Socket);
  const std::size_t Length = evbuffer_get_length(Input);
  Connection.Input.append(
      reinterpret_cast<const char *>(evbuffer_pullup(Input, -1)), Length);
  evbuffer_drain(Input, Length);
  Connection.Owner->serve(Connection);
}

void application_server::onEvent(bufferevent *, short What, void *Argument) {
  auto &Connection = *static_cast<connection *>(Argument);
  if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    Connection.Owner->drop(Connection);
}

void application_server::serve(connection &Connection) {
  const std::size_t End = Connection.Input.find(HeadEnd);
  if (End == std::string::npos)
    return;
  if (Stage == break_stage::AfterHead)
    return drop(Connection);
  const std::size_t RequestSize =
      End + HeadEnd.size() +
      contentLength(std::string_view(Connection.Input).substr(0, End));
  if (Connection.Input.size() < RequestSize)
    return;
  ++Executions;
  Received.push_back(Connection.Input.substr(0, RequestSize));
  Connection.Input.erase(0, RequestSize);
  if (Stage == break_stage::AfterExecution)
    return drop(Connection);
  const std::string Body = fmt::format("execution {}\n", Executions);
  const bool Truncate = Stage == break_stage::MidResponse;
  const std::string Response = fmt::format(
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
      "Content-Length: {}\r\n\r\n{}",
      Body.size(), Truncate ? Body.substr(0, Body.size() / 2) : Body);
  bufferevent_write(Connection.Socket.get(), Response.data(), Response.size());
  if (!Truncate)
    return;
  // Closed only once the output is flushed: freeing the bufferevent discards
  // bytes that are not yet written.
  bufferevent_setcb(
      Connection.Socket.get(), nullptr,
      [](bufferevent *, void *Argument) {
        auto &Flushed = *static_cast<connection *>(Argument);
        Flushed.Owner->drop(Flushed);
      },
      &application_server::onEvent, &Connection);
}

void application_server::drop(connection &Connection) {
  std::erase_if(Connections, [&Connection](const auto &Entry) {
    return Entry.get() == &Connection;
  });
}

} // namespace ebonyvale

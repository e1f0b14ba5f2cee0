#include "net/http_server.h"

#include "net/socket_options.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::array<std::pair<evhttp_cmd_type, std::string_view>, 6> Methods{{
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_PATCH, "PATCH"},
}};

/// Largest number of connections that wait to be accepted. evhttp's default of
/// 128 is too low when many clients reconnect at the same time.
constexpr int ListenBacklog = 4096;

void setPort(sockaddr_storage &Address, std::uint16_t Port) {
  if (Address.ss_family == AF_INET6)
    reinterpret_cast<sockaddr_in6 *>(&Address)->sin6_port = htons(Port);
  else
    reinterpret_cast<sockaddr_in *>(&Address)->sin_port = htons(Port);
}

std::uint16_t readBoundPort(evhttp_bound_socket *Socket) {
  sockaddr_storage Address{};
  socklen_t Length = sizeof(Address);
  getsockname(evhttp_bound_socket_get_fd(Socket),
              reinterpret_cast<sockaddr *>(&Address), &Length);
  if (Address.ss_family == AF_INET6)
    return ntohs(reinterpret_cast<sockaddr_in6 *>(&Address)->sin6_port);
  return ntohs(reinterpret_cast<sockaddr_in *>(&Address)->sin_port);
}

/// Returns \p Text as a view; empty if it is null.
std::string_view orEmpty(const char *Text) {
  return Text ? std::string_view(Text) : std::string_view();
}

} // namespace

http_server::http_server(event_base *Base, http_bounds Bounds, handler Handler)
    : Base(Base), Bounds(Bounds), Handler(std::move(Handler)),
      Server(evhttp_new(Base)) {
  evhttp_set_gencb(Server.get(), &http_server::onRequest, this);
  evhttp_set_max_headers_size(Server.get(),
                              static_cast<ev_ssize_t>(Bounds.HeaderBytes));
  evhttp_set_max_body_size(Server.get(),
                           static_cast<ev_ssize_t>(Bounds.BodyBytes));
  evhttp_set_timeout(Server.get(),
                     static_cast<int>(Bounds.ReadTimeout.count()));
  unsigned Allowed = 0;
  for (const auto &[Command, Name] : Methods)
    Allowed |= Command;
  evhttp_set_allowed_methods(Server.get(), static_cast<ev_uint16_t>(Allowed));
}

std::optional<failure> http_server::listen(const std::string &Address,
                                           std::uint16_t Port) {
  sockaddr_storage SocketAddress{};
  int Length = sizeof(SocketAddress);
  evconnlistener *Listener = nullptr;
  const bool IsAddress =
      evutil_parse_sockaddr_port(Address.c_str(),
                                 reinterpret_cast<sockaddr *>(&SocketAddress),
                                 &Length) == 0;
  if (IsAddress) {
    setPort(SocketAddress, Port);
    Listener = evconnlistener_new_bind(
        Base, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        ListenBacklog, reinterpret_cast<sockaddr *>(&SocketAddress), Length);
  }
  Socket = Listener ? evhttp_bind_listener(Server.get(), Listener) : nullptr;
  if (!Socket)
    return listenFailure(fmt::format("{}:{}", Address, Port),
                         IsAddress ? EVUTIL_SOCKET_ERROR() : 0);
  BoundPort = readBoundPort(Socket);
  if (ArrivalDeadline)
    ArrivalDeadline->setListener(Listener);
  return std::nullopt;
}

void http_server::stopListening() {
  if (ArrivalDeadline)
    ArrivalDeadline->setListener(nullptr);
  if (Socket)
    evhttp_del_accept_socket(Server.get(), Socket);
  Socket = nullptr;
}

void http_server::setArrivalDeadline(
    span_ns Limit, arrival_deadline::response_factory MakeResponse,
    caller_memory *Memory) {
  ArrivalDeadline = std::make_unique<arrival_deadline>(
      Base, Server.get(), Limit, std::move(MakeResponse), Memory,
      Bounds.HeaderBytes + Bounds.BodyBytes);
}

void http_server::onRequest(evhttp_request *Request, void *Self) {
  auto *Owner = static_cast<http_server *>(Self);
  if (Owner->ArrivalDeadline)
    Owner->ArrivalDeadline->onRequestComplete(
        evhttp_request_get_connection(Request));
  setNoDelay(evhttp_request_get_connection(Request));
  Owner->Handler(Request);
}

std::string_view inputHeader(evhttp_request *Request, const char *Name) {
  return orEmpty(
      evhttp_find_header(evhttp_request_get_input_headers(Request), Name));
}

void setOutputHeader(evhttp_request *Request, const char *Name,
                     const std::string &Value) {
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_remove_header(Headers, Name);
  evhttp_add_header(Headers, Name, Value.c_str());
}

std::string_view inputBody(evhttp_request *Request) {
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  const std::size_t Length = evbuffer_get_length(Input);
  if (Length == 0)
    return {};
  return {reinterpret_cast<const char *>(evbuffer_pullup(Input, -1)), Length};
}

std::string_view requestPath(evhttp_request *Request) {
  return orEmpty(evhttp_uri_get_path(evhttp_request_get_evhttp_uri(Request)));
}

std::string_view requestQuery(evhttp_request *Request) {
  return orEmpty(evhttp_uri_get_query(evhttp_request_get_evhttp_uri(Request)));
}

std::string_view methodName(evhttp_request *Request) {
  const evhttp_cmd_type Command = evhttp_request_get_command(Request);
  for (const auto &[Known, Name] : Methods)
    if (Known == Command)
      return Name;
  return "OTHER";
}

void sendResponse(evhttp_request *Request, int Status,
                  const std::string &ContentType, std::string_view Body) {
  setOutputHeader(Request, "Content-Type", ContentType);
  // evhttp announces no length to HTTP/1.0 clients, which would take a response
  // that breaks off for a complete one.
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  const bool IsHead = evhttp_request_get_command(Request) == EVHTTP_REQ_HEAD;
  const bool IsStated =
      IsHead && evhttp_find_header(evhttp_request_get_output_headers(Request),
                                   "Content-Length");
  if (Status != NoContent && Status != NotModified && !IsStated)
    setOutputHeader(Request, "Content-Length", fmt::format("{}", Body.size()));
  const evbuffer_ptr Buffer(evbuffer_new());
  // evhttp would send the body in response to HEAD, too.
  if (!IsHead)
    evbuffer_add(Buffer.get(), Body.data(), Body.size());
  evhttp_send_reply(Request, Status, reasonPhrase(Status), Buffer.get());
}

deferred_response::deferred_response(evhttp_request *Request)
    : Request(Request) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(Request),
                                &deferred_response::onClose, this);
}

deferred_response::~deferred_response() {
  if (evhttp_request *Pending = take())
    sendResponse(Pending, 500, "text/plain", "");
}

evhttp_request *deferred_response::take() {
  evhttp_request *Taken = std::exchange(Request, nullptr);
  if (Taken)
    evhttp_connection_set_closecb(evhttp_request_get_connection(Taken), nullptr,
                                  nullptr);
  return Taken;
}

void deferred_response::onClose(evhttp_connection *, void *Self) {
  static_cast<deferred_response *>(Self)->Request = nullptr;
}

const char *reasonPhrase(int Status) {
  constexpr std::array<std::pair<int, const char *>, 18> Phrases{{
      {200, "OK"},
      {201, "Created"},
      {204, "No Content"},
      {400, "Bad Request"},
      {401, "Unauthorized"},
      {403, "Forbidden"},
      {404, "Not Found"},
      {405, "Method Not Allowed"},
      {408, "Request Timeout"},
      {409, "Conflict"},
      {413, "Content Too Large"},
      {422, "Unprocessable Content"},
      {429, "Too Many Requests"},
      {431, "Request Header Fields Too Large"},
      {500, "Internal Server Error"},
      {502, "Bad Gateway"},
      {503, "Service Unavailable"},
      {504, "Gateway Timeout"},
  }};
  for (const auto &[Code, Phrase] : Phrases)
    if (Code == Status)
      return Phrase;
  return "Status";
}

} // namespace ebonyvale

#include "net/upstream_exchange.h"

#include "net/http_message.h"

#include "net/socket_options.h"
#include "net/timer.h"

#include <algorithm>

#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Largest number of idle connections to all servers. The oldest are closed
/// first.
constexpr std::size_t MaxIdleConnections = 512;

evhttp_cmd_type commandOf(std::string_view Method) {
  if (Method == "GET")
    return EVHTTP_REQ_GET;
  if (Method == "PUT")
    return EVHTTP_REQ_PUT;
  if (Method == "DELETE")
    return EVHTTP_REQ_DELETE;
  if (Method == "HEAD")
    return EVHTTP_REQ_HEAD;
  if (Method == "PATCH")
    return EVHTTP_REQ_PATCH;
  return EVHTTP_REQ_POST;
}

timeval toTimeval(span_ns Span) {
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(Span);
  const auto Rest =
      std::chrono::duration_cast<std::chrono::microseconds>(Span - Seconds);
  timeval Value{};
  Value.tv_sec = Seconds.count();
  Value.tv_usec = Rest.count();
  return Value;
}

/// Returns whether all lengths that \p Headers state are the same. evhttp reads
/// the first only.
bool statesOneLength(const evkeyvalq *Headers) {
  const char *First = evhttp_find_header(Headers, "Content-Length");
  for (const evkeyval *Header = Headers->tqh_first; Header;
       Header = Header->next.tqe_next)
    if (evutil_ascii_strcasecmp(Header->key, "Content-Length") == 0 &&
        std::string_view(Header->value) != First)
      return false;
  return true;
}

/// Returns whether evhttp takes the interim \p Response for the final one. It
/// skips status 100 only.
bool isTakenForFinal(const evhttp_request *Response) {
  constexpr int Continue = 100;
  constexpr int FirstFinal = 200;
  const int Status = evhttp_request_get_response_code(Response);
  return Status != Continue && Status < FirstFinal;
}

/// Lets the end of the connection end a response that has a body, but neither a
/// length nor chunks. evhttp takes such a body for empty if a header
/// "Connection" does not say "close". Returns whether it is such a response.
bool endWithConnection(evhttp_request *Response) {
  constexpr int FirstFinal = 200;
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  const int Status = evhttp_request_get_response_code(Response);
  evkeyvalq *Headers = evhttp_request_get_input_headers(Response);
  const char *Coding = evhttp_find_header(Headers, "Transfer-Encoding");
  const bool IsFramed =
      evhttp_find_header(Headers, "Content-Length") ||
      (Coding && evutil_ascii_strcasecmp(Coding, "chunked") == 0);
  const bool HasBody = Status >= FirstFinal && Status != NoContent &&
                       Status != NotModified &&
                       evhttp_request_get_command(Response) != EVHTTP_REQ_HEAD;
  if (IsFramed || !HasBody)
    return false;
  if (!evhttp_find_header(Headers, "Connection"))
    return true;
  while (evhttp_remove_header(Headers, "Connection") == 0) {
  }
  evhttp_add_header(Headers, "Connection", "close");
  return true;
}

} // namespace

std::string_view response_head::header(const char *Name) const {
  const char *Value = evhttp_find_header(Headers, Name);
  return Value ? std::string_view(Value) : std::string_view();
}

std::shared_ptr<upstream_exchange>
upstream_exchange::start(evhttp_connection_pool &Pool,
                         const outgoing_request &Request,
                         exchange_observer &Observer) {
  std::shared_ptr<upstream_exchange> Exchange(
      new upstream_exchange(Pool, Observer));
  Exchange->Self = Exchange;
  if (!Exchange->send(Request))
    callLater(Pool.base(), [Exchange] { Exchange->fail(); });
  return Exchange;
}

bool upstream_exchange::send(const outgoing_request &Request) {
  Server = Request.Server;
  Connection = Pool.take(Server, Request.Use);
  if (!Connection)
    return false;
  const timeval ReadTimeout = toTimeval(Request.ReadTimeout);
  evhttp_connection_set_timeout_tv(Connection, &ReadTimeout);
  evhttp_request *Message =
      evhttp_request_new(&upstream_exchange::onDone, this);
  evhttp_request_set_header_cb(Message, &upstream_exchange::onHeadRead);
  evhttp_request_set_chunked_cb(Message, &upstream_exchange::onChunk);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Message);
  evhttp_add_header(Headers, "Host",
                    fmt::format("{}:{}", Server.Address, Server.Port).c_str());
  for (const auto &[Name, Value] : Request.Headers)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  evbuffer *Body = evhttp_request_get_output_buffer(Message);
  for (const std::string_view Fragment : Request.Body)
    evbuffer_add(Body, Fragment.data(), Fragment.size());
  // evhttp writes nothing before it is connected, so the request may have
  // reached the server only after bytes were drained from this buffer.
  evbuffer *Output =
      bufferevent_get_output(evhttp_connection_get_bufferevent(Connection));
  OutputCallback = evbuffer_add_cb(Output, &upstream_exchange::onOutput, this);
  ConnectDeadline.reset(event_new(
      Pool.base(), -1, 0,
      [](evutil_socket_t, short, void *Argument) {
        static_cast<upstream_exchange *>(Argument)->fail();
      },
      this));
  const timeval ConnectTimeout = toTimeval(Request.ConnectTimeout);
  event_add(ConnectDeadline.get(), &ConnectTimeout);
  // If connecting fails immediately, evhttp ends the request within this call.
  Starting = true;
  const bool Started =
      evhttp_make_request(Connection, Message, commandOf(Request.Method),
                          Request.Target.c_str()) == 0;
  Starting = false;
  if (Started)
    setNoDelay(Connection);
  return Started && !FailedInStart;
}

void upstream_exchange::cancel() {
  if (!Self)
    return;
  const auto Guard = std::move(Self);
  releaseConnection(false);
}

void upstream_exchange::pauseReading() {
  if (Connection)
    bufferevent_disable(evhttp_connection_get_bufferevent(Connection), EV_READ);
}

void upstream_exchange::resumeReading() {
  if (Connection)
    bufferevent_enable(evhttp_connection_get_bufferevent(Connection), EV_READ);
}

void upstream_exchange::finish() {
  if (!Self)
    return;
  const auto Guard = std::move(Self);
  releaseConnection(true);
  Observer->onComplete();
}

void upstream_exchange::fail() {
  if (!Self)
    return;
  const auto Guard = std::move(Self);
  releaseConnection(false);
  Observer->onLost(Stage);
}

void upstream_exchange::releaseConnection(bool Reusable) {
  ConnectDeadline.reset();
  if (!Connection)
    return;
  bufferevent *Socket = evhttp_connection_get_bufferevent(Connection);
  if (OutputCallback)
    evbuffer_remove_cb_entry(bufferevent_get_output(Socket), OutputCallback);
  OutputCallback = nullptr;
  if (Reusable)
    Pool.returnConnection(Server, Connection);
  else
    Pool.discard(Connection, shared_from_this());
  Connection = nullptr;
}

int upstream_exchange::onHeadRead(evhttp_request *Request, void *Self) {
  auto *Exchange = static_cast<upstream_exchange *>(Self);
  if (!Exchange->Self)
    return 0;
  const auto Guard = Exchange->Self;
  Exchange->Stage = exchange_stage::Responding;
  const bool EndsWithConnection = endWithConnection(Request);
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
  if (!statesOneLength(Headers) || isTakenForFinal(Request) ||
      !isStatus(evhttp_request_get_response_code(Request))) {
    Exchange->fail();
    return 0;
  }
  Exchange->Observer->onHead(response_head(
      evhttp_request_get_response_code(Request), Headers, EndsWithConnection));
  return 0;
}

void upstream_exchange::onChunk(evhttp_request *Request, void *Self) {
  auto *Exchange = static_cast<upstream_exchange *>(Self);
  if (!Exchange->Self)
    return;
  const auto Guard = Exchange->Self;
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  const std::size_t Length = evbuffer_get_length(Input);
  if (Length == 0)
    return;
  Exchange->Observer->onBody(
      {reinterpret_cast<const char *>(evbuffer_pullup(Input, -1)), Length});
}

void upstream_exchange::onDone(evhttp_request *Request, void *Self) {
  auto *Exchange = static_cast<upstream_exchange *>(Self);
  if (!Exchange->Self)
    return;
  if (Exchange->Starting) {
    Exchange->FailedInStart = true;
    return;
  }
  const bool HasResponse =
      Request && evhttp_request_get_response_code(Request) != 0;
  if (HasResponse)
    Exchange->finish();
  else
    Exchange->fail();
}

void upstream_exchange::onOutput(evbuffer *, const evbuffer_cb_info *Info,
                                 void *Self) {
  auto *Exchange = static_cast<upstream_exchange *>(Self);
  if (Info->n_deleted == 0 || Exchange->Stage != exchange_stage::NotSent)
    return;
  Exchange->Stage = exchange_stage::Sent;
  event_del(Exchange->ConnectDeadline.get());
}

evhttp_connection_pool::~evhttp_connection_pool() {
  for (const idle_entry &Entry : Idle)
    evhttp_connection_free(Entry.Connection);
}

evhttp_connection *evhttp_connection_pool::take(const endpoint &Server,
                                                connection_use Use) {
  const auto Found = std::ranges::find(Idle.rbegin(), Idle.rend(), Server,
                                       &idle_entry::Server);
  if (Use == connection_use::Pooled && Found != Idle.rend()) {
    evhttp_connection *Connection = Found->Connection;
    Idle.erase(std::next(Found).base());
    return Connection;
  }
  return evhttp_connection_base_new(Base, nullptr, Server.Address.c_str(),
                                    Server.Port);
}

void evhttp_connection_pool::returnConnection(const endpoint &Server,
                                              evhttp_connection *Connection) {
  Idle.push_back({Server, Connection});
  if (Idle.size() <= MaxIdleConnections)
    return;
  discard(Idle.front().Connection, nullptr);
  Idle.erase(Idle.begin());
}

void evhttp_connection_pool::discard(evhttp_connection *Connection,
                                     std::shared_ptr<upstream_exchange> User) {
  // The current callback may belong to this connection, and evhttp may call the
  // exchange again before the callback returns.
  callLater(Base, [Connection, User = std::move(User)] {
    evhttp_connection_free(Connection);
  });
}

} // namespace ebonyvale

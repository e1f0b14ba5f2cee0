#include "net/client_connection.h"

#include "net/socket_options.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <utility>

#include <spdlog/fmt/fmt.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Longest status line and headers of a response, far above what servers send.
constexpr std::size_t MaxResponseHeadBytes = 64 * 1024;
/// Most bytes that an exchange reads beyond twice the body that it delivers:
/// heads, interim and skipped responses, framing of chunks and trailers. A
/// server could send these without end.
constexpr std::size_t MaxOverheadBytes = 256 * 1024;
/// Refusals after which a connection is closed, since it remembers each.
constexpr std::size_t MaxRefused = 32;

/// Returns a hash of a request's id; 0 without an id.
std::uint64_t hashOf(std::string_view Id) {
  return Id.empty()
             ? 0
             : std::max<std::uint64_t>(1, XXH3_64bits(Id.data(), Id.size()));
}

/// Returns the `timeout` parameter of the Keep-Alive header in seconds, or
/// nothing if there is none.
std::optional<std::int64_t> keepAliveTimeout(const header_list &Headers) {
  const auto Value = Headers.find("Keep-Alive");
  if (!Value)
    return std::nullopt;
  constexpr std::string_view Parameter = "timeout=";
  const std::size_t At = Value->find(Parameter);
  const std::string_view Digits = At == std::string_view::npos
                                      ? *Value
                                      : Value->substr(At + Parameter.size());
  std::int64_t Seconds = 0;
  const auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  if (Error != std::errc())
    return std::nullopt;
  return Seconds;
}

} // namespace

std::string_view lossName(loss_reason Reason) {
  switch (Reason) {
  case loss_reason::ConnectFailed:
    return "connect_failed";
  case loss_reason::ConnectTimeout:
    return "connect_timeout";
  case loss_reason::Closed:
    return "closed";
  case loss_reason::Reset:
    return "reset";
  case loss_reason::InvalidResponse:
    break;
  }
  return "not_http";
}

client_connection::client_connection(client_connection_pool &Pool,
                                     const endpoint &Server)
    : Pool(Pool), Server(Server),
      Reader(message_reader::side::Responses, *this, MaxResponseHeadBytes),
      ConnectDeadline(Pool.base(), [this] { onConnectTimeout(); }) {}

client_connection::~client_connection() = default;

bool client_connection::connect() {
  Socket.reset(bufferevent_socket_new(Pool.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Server.Port);
  if (!Socket ||
      inet_pton(AF_INET, Server.Address.c_str(), &Address.sin_addr) != 1)
    return false;
  bufferevent_setcb(Socket.get(), &client_connection::onReadable, nullptr,
                    &client_connection::onEvent, this);
  evbuffer_add_cb(bufferevent_get_output(Socket.get()),
                  &client_connection::onOutput, this);
  ++Pool.Opened;
  EVUTIL_SET_SOCKET_ERROR(0);
  const bool Started = bufferevent_socket_connect(
                           Socket.get(), reinterpret_cast<sockaddr *>(&Address),
                           sizeof(Address)) == 0;
  // A refusal that arrives at once is reported later, without its reason.
  ConnectRefused = EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
  if (!Started)
    return false;
  setNoDelay(Socket.get());
  setTcpUserTimeout(Socket.get(), Pool.options().TcpUserTimeout);
  ConnectDeadline.startOnce(Pool.options().ConnectTimeout);
  return true;
}

void client_connection::onConnectTimeout() {
  // A busy event loop may handle the timer before the connection's event.
  if (isConnected(Socket.get()))
    return ConnectDeadline.startOnce(Pool.options().ConnectTimeout);
  fail(loss_reason::ConnectTimeout);
}

void client_connection::probe(probe_callback Done) {
  Self = shared_from_this();
  OnProbed = std::move(Done);
  if (!connect()) {
    callLater(Pool.base(), [Guard = shared_from_this()] {
      Guard->fail(loss_reason::ConnectFailed);
    });
    return;
  }
  bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
}

void client_connection::send(const client_request &Request,
                             response_observer &NewObserver) {
  Self = shared_from_this();
  Observer = &NewObserver;
  Stage = exchange_stage::NotSent;
  SkippingResponse = false;
  Reusable = false;
  SkippedResponse = false;
  ReadBytes = 0;
  BodyBytes = 0;
  RequestHash = hashOf(Request.Id);
  ++Exchanges;
  Reader.reset(Request.Method == "HEAD");
  if (!Socket && !connect()) {
    callLater(Pool.base(), [Guard = shared_from_this()] {
      Guard->fail(loss_reason::ConnectFailed);
    });
    return;
  }
  fmt::memory_buffer Out;
  auto Append = fmt::appender(Out);
  fmt::format_to(Append, "{} {} HTTP/1.1\r\n", Request.Method, Request.Target);
  for (const http_header &Field : Request.Headers.all())
    fmt::format_to(Append, "{}: {}\r\n", Field.Name, Field.Value);
  if (!Request.Headers.find("Host"))
    fmt::format_to(Append, "Host: {}:{}\r\n", Server.Address, Server.Port);
  if (!Request.Body.empty() || Request.Method != "GET")
    fmt::format_to(Append, "Content-Length: {}\r\n", Request.Body.size());
  fmt::format_to(Append, "\r\n");
  evbuffer *Output = bufferevent_get_output(Socket.get());
  evbuffer_add(Output, Out.data(), Out.size());
  evbuffer_add(Output, Request.Body.data(), Request.Body.size());
  bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
}

void client_connection::refuse(response_observer &NewObserver) {
  Self = shared_from_this();
  Observer = &NewObserver;
  callLater(Pool.base(), [Guard = shared_from_this()] {
    if (Guard->Observer)
      Guard->fail(loss_reason::Closed);
  });
}

void client_connection::setRefused() {
  if (RequestHash != 0)
    Refused.push_back(RequestHash);
}

void client_connection::cancel() {
  const auto Guard = shared_from_this();
  Observer = nullptr;
  ConnectDeadline.stop();
  abandon();
  releaseSelf();
}

void client_connection::abandon() {
  if (Socket)
    resetOnClose(Socket.get());
  Socket.reset();
}

void client_connection::pauseReading() {
  if (Socket)
    bufferevent_disable(Socket.get(), EV_READ);
}

void client_connection::resumeReading() {
  if (Socket)
    bufferevent_enable(Socket.get(), EV_READ);
}

bool client_connection::onMessageHead(http_head &Head) {
  ++Responses;
  Stage = exchange_stage::Responding;
  Reusable = Head.KeepAlive && !Head.CloseDelimited;
  KeepAliveSeconds = keepAliveTimeout(Head.Headers);
  SkippingResponse =
      Observer->onResponseHead(Head, Responses == 1) == response_action::Skip;
  SkippedResponse = SkippedResponse || SkippingResponse;
  return true;
}

void client_connection::onMessageBody(std::string_view Bytes) {
  if (!Observer || SkippingResponse)
    return;
  BodyBytes += Bytes.size();
  Observer->onResponseBody(Bytes);
}

void client_connection::read() {
  const auto Guard = shared_from_this();
  if (!Observer) {
    // Unsolicited bytes: what follows them cannot be assigned to a request.
    Pool.removeIdle(*this);
    Socket.reset();
    return releaseSelf();
  }
  while (Socket && Observer) {
    evbuffer *Input = bufferevent_get_input(Socket.get());
    const std::size_t Length = evbuffer_get_contiguous_space(Input);
    if (Length == 0)
      return;
    // Copied, since the callbacks may close this connection and free its input
    // buffer.
    const std::string Bytes(reinterpret_cast<const char *>(evbuffer_pullup(
                                Input, static_cast<ev_ssize_t>(Length))),
                            Length);
    const std::size_t Used = Reader.feed(Bytes);
    if (!Socket || !Observer)
      return;
    evbuffer_drain(Input, Used);
    ReadBytes += Used;
    if (ReadBytes > MaxOverheadBytes + 2 * BodyBytes)
      return fail(loss_reason::InvalidResponse);
    if (Reader.state() == read_state::Complete)
      completeMessage();
    else if (Reader.state() != read_state::Reading)
      return fail(loss_reason::InvalidResponse);
  }
}

void client_connection::completeMessage() {
  if (SkippingResponse) {
    SkippingResponse = false;
    Stage = exchange_stage::Sent;
    if (!Reusable)
      return fail(loss_reason::Closed);
    Reader.reset();
    return;
  }
  response_observer *Receiver = std::exchange(Observer, nullptr);
  const bool CanBePooled =
      Reusable && !SkippedResponse && Refused.size() < MaxRefused &&
      evbuffer_get_length(bufferevent_get_input(Socket.get())) == 0 &&
      evbuffer_get_length(bufferevent_get_output(Socket.get())) == 0;
  if (CanBePooled) {
    Pool.returnConnection(shared_from_this());
  } else {
    Socket.reset();
    releaseSelf();
  }
  Receiver->onResponseEnd();
}

void client_connection::onClosed(loss_reason Reason, bool Orderly) {
  const auto Guard = shared_from_this();
  if (!Observer) {
    Pool.onIdleClosed(*this);
    Socket.reset();
    return releaseSelf();
  }
  // An orderly close (FIN) ends a response without a length; a reset does not.
  if (Orderly && !SkippingResponse && Reader.finishAtClose() && Observer) {
    Reusable = false;
    return completeMessage();
  }
  if (Observer)
    fail(Reason);
}

void client_connection::fail(loss_reason Reason) {
  const auto Guard = shared_from_this();
  ConnectDeadline.stop();
  abandon();
  response_observer *Receiver = std::exchange(Observer, nullptr);
  const probe_callback Probed = std::exchange(OnProbed, nullptr);
  releaseSelf();
  if (Probed)
    Probed(Reason);
  if (Receiver)
    Receiver->onResponseLost({Stage, Reason, Exchanges > 1, ConnectRefused});
}

void client_connection::releaseSelf() {
  if (Self)
    callLater(Pool.base(), [Guard = std::move(Self)] {});
}

void client_connection::onReadable(bufferevent *, void *Argument) {
  static_cast<client_connection *>(Argument)->read();
}

void client_connection::onEvent(bufferevent *, short Events, void *Argument) {
  auto *Connection = static_cast<client_connection *>(Argument);
  if ((Events & BEV_EVENT_CONNECTED) != 0) {
    Connection->OpenedAt = readBootClock();
    Connection->ConnectDeadline.stop();
    if (const auto Probed = std::exchange(Connection->OnProbed, nullptr)) {
      Connection->Pool.returnConnection(Connection->shared_from_this());
      Probed(std::nullopt);
    } else if (Connection->Observer) {
      Connection->Observer->onConnectionOpened();
    }
    return;
  }
  if (!Connection->OpenedAt) {
    Connection->ConnectRefused =
        Connection->ConnectRefused || EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    return Connection->fail(loss_reason::ConnectFailed);
  }
  const bool Orderly = (Events & BEV_EVENT_EOF) != 0;
  Connection->onClosed(Orderly ? loss_reason::Closed : loss_reason::Reset,
                       Orderly);
}

void client_connection::onOutput(evbuffer *, const evbuffer_cb_info *Info,
                                 void *Argument) {
  auto *Connection = static_cast<client_connection *>(Argument);
  if (Info->n_deleted > 0 && Connection->OpenedAt &&
      Connection->Stage == exchange_stage::NotSent)
    Connection->Stage = exchange_stage::Sent;
}

client_connection_pool::~client_connection_pool() {
  for (auto &[Server, Connections] : Idle)
    for (const auto &Connection : Connections) {
      Connection->Socket.reset();
      Connection->Self.reset();
    }
}

std::shared_ptr<client_connection>
client_connection_pool::start(const client_request &Request,
                              response_observer &Observer) {
  std::shared_ptr<client_connection> Connection;
  if (Request.OldestConnection)
    Connection = takeOldest(Request.Server);
  else if (!Request.NewConnection)
    Connection =
        takeIdle(Request.Server, Request.ServerStart, hashOf(Request.Id));
  const bool IsMissing = !Connection && Request.ServerStart != 0;
  if (!Connection)
    Connection = make(Request.Server);
  if (IsMissing)
    Connection->refuse(Observer);
  else
    Connection->send(Request, Observer);
  return Connection;
}

void client_connection_pool::probe(const endpoint &Server,
                                   probe_callback Done) {
  make(Server)->probe(std::move(Done));
}

std::shared_ptr<client_connection>
client_connection_pool::takeIdle(const endpoint &Server, std::int64_t Start,
                                 std::uint64_t RequestHash) {
  const auto Found = Idle.find(Server);
  if (Found == Idle.end())
    return nullptr;
  const instant Now = readBootClock();
  idle_list &Connections = Found->second;
  std::shared_ptr<client_connection> Taken;
  for (auto Next = Connections.end(); Next != Connections.begin() && !Taken;) {
    const auto Connection = *--Next;
    if (Now - Connection->IdleSince >= idleTimeout(*Connection)) {
      Next = Connections.erase(Next);
      Connection->Socket.reset();
      Connection->releaseSelf();
    } else if ((Start == 0 || Connection->ServerStart == Start) &&
               !Connection->hasRefused(RequestHash) &&
               isUsable(*Connection, Now)) {
      Next = Connections.erase(Next);
      Taken = Connection;
    }
  }
  if (Connections.empty())
    Idle.erase(Found);
  return Taken;
}

bool client_connection_pool::isUsable(const client_connection &Connection,
                                      instant Now) const {
  // With unread input it has ended, or what has arrived belongs to no request;
  // the event loop is about to close it.
  return Now - Connection.IdleSince < idleTimeout(Connection) &&
         !hasUnreadInput(Connection.Socket.get());
}

bool client_connection_pool::hasIdleTo(const endpoint &Server,
                                       std::int64_t Start) const {
  const auto Found = Idle.find(Server);
  if (Found == Idle.end())
    return false;
  const instant Now = readBootClock();
  return std::ranges::any_of(Found->second, [&](const auto &Connection) {
    return Connection->ServerStart == Start && isUsable(*Connection, Now);
  });
}

void client_connection_pool::onServerStart(const endpoint &Server,
                                           std::int64_t Start,
                                           instant AskedAt) {
  for (const auto &Weak : Made) {
    const auto Connection = Weak.lock();
    if (Connection && Connection->Server == Server &&
        Connection->ServerStart == 0 && Connection->OpenedAt &&
        *Connection->OpenedAt <= AskedAt)
      Connection->ServerStart = Start;
  }
}

std::shared_ptr<client_connection>
client_connection_pool::takeOldest(const endpoint &Server) {
  const auto Found = Idle.find(Server);
  if (Found == Idle.end())
    return nullptr;
  std::shared_ptr<client_connection> Oldest;
  for (const auto &Connection : Found->second)
    if (!hasUnreadInput(Connection->Socket.get()) &&
        (!Oldest || Connection->OpenedAt < Oldest->OpenedAt))
      Oldest = Connection;
  if (Oldest)
    removeIdle(*Oldest);
  return Oldest;
}

std::size_t client_connection_pool::idleBefore(const endpoint &Server,
                                               instant At) const {
  const auto Found = Idle.find(Server);
  if (Found == Idle.end())
    return 0;
  return static_cast<std::size_t>(
      std::ranges::count_if(Found->second, [At](const auto &Connection) {
        return Connection->OpenedAt && *Connection->OpenedAt <= At &&
               !hasUnreadInput(Connection->Socket.get());
      }));
}

void client_connection_pool::returnConnection(
    const std::shared_ptr<client_connection> &Connection) {
  Connection->IdleSince = readBootClock();
  // Its end is noticed even if the observer has paused it.
  Connection->resumeReading();
  idle_list &Connections = Idle[Connection->Server];
  Connections.push_back(Connection);
  if (Connections.size() <= Options.MaxIdlePerServer)
    return;
  Connections.front()->Socket.reset();
  Connections.front()->releaseSelf();
  Connections.pop_front();
}

span_ns
client_connection_pool::idleTimeout(const client_connection &Connection) const {
  if (!Connection.KeepAliveSeconds)
    return Options.DefaultIdleTimeout;
  return std::chrono::seconds(*Connection.KeepAliveSeconds) -
         Options.KeepAliveMargin;
}

void client_connection_pool::onIdleClosed(const client_connection &Connection) {
  removeIdle(Connection);
  const span_ns IdleFor = readBootClock() - Connection.IdleSince;
  if (OnIdleLost && IdleFor < idleTimeout(Connection))
    OnIdleLost(Connection.Server);
}

void client_connection_pool::removeIdle(const client_connection &Connection) {
  const auto Found = Idle.find(Connection.Server);
  if (Found == Idle.end())
    return;
  std::erase_if(Found->second, [&Connection](const auto &Candidate) {
    return Candidate.get() == &Connection;
  });
  if (Found->second.empty())
    Idle.erase(Found);
}

void client_connection_pool::noticeEnded() {
  std::vector<std::shared_ptr<client_connection>> Ended;
  for (const auto &[Server, Connections] : Idle)
    for (const auto &Connection : Connections)
      if (hasUnreadInput(Connection->Socket.get()))
        Ended.push_back(Connection);
  for (const auto &Connection : Ended)
    Connection->onClosed(loss_reason::Closed, /*Orderly=*/true);
  for (const auto &Weak : Made) {
    const auto Connection = Weak.lock();
    const bool InUse = Connection && Connection->Observer &&
                       Connection->Socket && Connection->OpenedAt;
    if (InUse && OnIdleLost && hasEnded(Connection->Socket.get()))
      OnIdleLost(Connection->Server);
  }
}

std::shared_ptr<client_connection>
client_connection_pool::make(const endpoint &Server) {
  constexpr std::size_t MinToPrune = 64;
  if (Made.size() >= std::max(MinToPrune, 2 * MadeKept)) {
    std::erase_if(Made, [](const auto &Weak) { return Weak.expired(); });
    MadeKept = Made.size();
  }
  auto Connection = std::make_shared<client_connection>(*this, Server);
  Made.push_back(Connection);
  return Connection;
}

void client_connection_pool::closeIdleConnections(const endpoint &Server) {
  const auto Found = Idle.find(Server);
  if (Found == Idle.end())
    return;
  for (const auto &Connection : Found->second) {
    Connection->Socket.reset();
    Connection->releaseSelf();
  }
  Idle.erase(Found);
}

} // namespace ebonyvale

#include "net/server_connection.h"

#include "net/http_server.h"
#include "net/machine_limits.h"
#include "net/socket_options.h"

#include <arpa/inet.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Time for a client to read the end of a response before its connection is
/// closed. Closing a socket with unread input resets the connection, and the
/// client would lose the end of the response.
constexpr span_ns LingerTimeout = std::chrono::seconds(1);

/// Interval at which the bytes that a client has taken are counted.
constexpr span_ns FlushCheckInterval = std::chrono::milliseconds(100);
/// As `FlushCheckInterval`, while a client waits to see that a response is
/// incomplete.
constexpr span_ns ResetCheckInterval = std::chrono::milliseconds(5);

/// Largest number of connections that wait to be accepted, enough for many
/// clients that reconnect at the same time.
constexpr int ListenBacklog = 1024;

/// Largest number of bytes buffered from a client that sends requests without
/// waiting for responses. Reading stops at this size.
constexpr std::size_t MaxReadAheadBytes = 16 * 1024;

/// Unsent bytes of responses above which no further request is read.
constexpr std::size_t MaxUnsentBytes = 64 * 1024;

/// Memory of a connection with its buffers, besides what it reads and writes.
constexpr std::size_t ConnectionBytes = 4096;

/// Copies of a request while it is handled: the received one and the one that
/// is sent.
constexpr std::size_t RequestCopies = 2;

/// Longest time of a body that keeps arriving, in idle timeouts.
constexpr int MaxBodyIdleTimeouts = 10;

/// Returns whether the peer has closed the connection and all that it has sent
/// was read.
bool isEnded(evutil_socket_t Socket) {
  char Byte = 0;
  return recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/// Returns whether a response with \p Status may have a body.
bool allowsBody(int Status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Status != NoContent && Status != NotModified;
}

} // namespace

server_connection::server_connection(connection_listener &Owner,
                                     evutil_socket_t Handle)
    : Owner(Owner), Socket(bufferevent_socket_new(Owner.base(), Handle,
                                                  BEV_OPT_CLOSE_ON_FREE)),
      Reader(message_reader::side::Requests, *this, Owner.bounds().HeadBytes),
      Deadline(Owner.base(), [this] { onTimer(); }) {}

server_connection::~server_connection() = default;

void server_connection::start() {
  if (!Socket) {
    Owner.remove(this);
    return;
  }
  Self = shared_from_this();
  if (Owner.memory())
    Memory.emplace(*Owner.memory(), static_cast<memory_holder &>(*this),
                   readBootClock());
  recordMemory();
  setNoDelay(Socket.get());
  bufferevent_setcb(Socket.get(), &server_connection::onReadable,
                    &server_connection::onWritable, &server_connection::onEvent,
                    this);
  bufferevent_setwatermark(Socket.get(), EV_READ, 0, MaxReadAheadBytes);
  bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
  armTimer();
}

void server_connection::observe(std::weak_ptr<client_observer> NewObserver) {
  Observer = std::move(NewObserver);
}

bool server_connection::onMessageHead(http_head &Head) {
  Incoming.Head = std::move(Head);
  // The head timeout does not apply to the body.
  ReceivingBody = true;
  armTimer();
  BodySince = QuietSince;
  // A client that sends `Expect` waits for this interim response before it
  // sends the body; one of HTTP/1.0 takes it for the response (RFC 9110,
  // section 10.1.1).
  if (Incoming.Head.IsHttp11 && Incoming.Head.Headers.find("Expect")) {
    constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(Socket.get(), Continue.data(), Continue.size());
  }
  return true;
}

void server_connection::onMessageBody(std::string_view Bytes) {
  QuietSince = readBootClock();
  if (Incoming.Body.size() + Bytes.size() > Owner.bounds().BodyBytes)
    BodyTooLarge = true;
  else if (!OutOfMemory && !appendBody(Bytes))
    OutOfMemory = true;
}

bool server_connection::appendBody(std::string_view Bytes) {
  std::string &Body = Incoming.Body;
  const std::size_t Size = Body.size() + Bytes.size();
  if (Size > Body.capacity()) {
    // A string would double its allocation.
    const std::size_t Grown =
        std::max(Size, std::min(Size + Size / 4, Owner.bounds().BodyBytes));
    if (Memory &&
        !Memory->resize(heldBytes() + Grown - Body.capacity(), QuietSince))
      return false;
    std::string Larger;
    Larger.reserve(Grown);
    Larger += Body;
    Body.swap(Larger);
  }
  Body += Bytes;
  return true;
}

std::size_t server_connection::heldBytes() const {
  const std::size_t Unsent = unsentBytes();
  return ConnectionBytes +
         evbuffer_get_length(bufferevent_get_input(Socket.get())) +
         Reader.headMemory() + headMemory(Incoming.Head) +
         Incoming.Body.capacity() + RequestBytes + Unsent -
         std::min(Unsent, OwnedBytes);
}

void server_connection::recordMemory() {
  if (!Memory || !Socket)
    return;
  const instant Now = readBootClock();
  const std::size_t Unsent = unsentBytes();
  memory_use Use = memory_use::Waiting;
  if (Unsent == 0 && Phase == phase::Responding)
    Use = memory_use::Working;
  else if (Unsent == 0 && isIdle())
    Use = memory_use::Idle;
  Memory->setUse(Use, Now);
  if (Unsent < UnsentBefore)
    Memory->onProgress(Now);
  UnsentBefore = Unsent;
  if (!Memory->record(heldBytes()) && Unsent > OwnedBytes)
    callLater(Owner.base(), [Guard = shared_from_this()] {
      if (Guard->Memory &&
          !Guard->Memory->resize(Guard->heldBytes(), readBootClock()))
        Guard->dropSlowClient();
    });
}

void server_connection::releaseMemory() {
  const auto Guard = shared_from_this();
  if (unsentBytes() > 0) {
    if (unsentBytes() < UnsentBefore)
      return recordMemory();
    return dropSlowClient();
  }
  if (Phase == phase::Reading)
    return rejectRequest(request_error::NoMemory);
  if (Phase == phase::Idle)
    closeBetweenRequests();
  else if (Phase == phase::Closing)
    close();
}

void server_connection::dropSlowClient() {
  if (!Socket || unsentBytes() == 0)
    return;
  Owner.handler().onConnectionShed("client_takes_nothing");
  resetOnClose(Socket.get());
  onDisconnect();
}

bool server_connection::awaitsOutput() const {
  return Phase == phase::Idle && unsentBytes() > MaxUnsentBytes;
}

void server_connection::read() {
  const auto Guard = shared_from_this();
  evbuffer *Input = bufferevent_get_input(Socket.get());
  if (Phase == phase::Closing) {
    evbuffer_drain(Input, evbuffer_get_length(Input));
    return;
  }
  while ((Phase == phase::Idle && !awaitsOutput()) || Phase == phase::Reading) {
    const std::size_t Length = evbuffer_get_contiguous_space(Input);
    if (Length == 0)
      return recordMemory();
    const auto *Data = reinterpret_cast<const char *>(
        evbuffer_pullup(Input, static_cast<ev_ssize_t>(Length)));
    const std::size_t Used = Reader.feed({Data, Length});
    evbuffer_drain(Input, Used);
    if (Phase == phase::Idle && Reader.begun()) {
      Phase = phase::Reading;
      armTimer();
    }
    if (Memory && !OutOfMemory && Phase == phase::Reading)
      OutOfMemory = !Memory->resize(heldBytes(), readBootClock());
    if (BodyTooLarge)
      return rejectRequest(request_error::BodyTooLarge);
    if (Reader.state() == read_state::TooLarge)
      return rejectRequest(request_error::HeadTooLarge);
    if (Reader.state() == read_state::Invalid)
      return rejectRequest(request_error::Malformed);
    const bool Complete = Reader.state() == read_state::Complete;
    if (Complete)
      RequestBytes = (RequestCopies - 1) *
                     (headMemory(Incoming.Head) + Incoming.Body.capacity());
    if (Complete && Memory && !OutOfMemory)
      OutOfMemory = !Memory->resize(heldBytes(), readBootClock());
    if (OutOfMemory)
      return rejectRequest(request_error::NoMemory);
    if (!Complete)
      continue;
    Phase = phase::Responding;
    ReceivingBody = false;
    Deadline.stop();
    IsHeadRequest = Incoming.Head.Method == "HEAD";
    IsHttp11 = Incoming.Head.IsHttp11;
    if (!Incoming.Head.KeepAlive || Owner.closing())
      CloseAfterResponse = true;
    RequestBytes += RequestBytes / (RequestCopies - 1);
    Owner.handler().onRequest(Guard, std::exchange(Incoming, {}));
  }
  recordMemory();
}

void server_connection::rejectRequest(request_error Reason) {
  Phase = phase::Responding;
  ReceivingBody = false;
  CloseAfterResponse = true;
  IsHeadRequest = Incoming.Head.Method == "HEAD";
  Incoming = {};
  RequestBytes = 0;
  Reader.reset();
  Owner.handler().onRequestError(*this, Reason);
  recordMemory();
}

void server_connection::writeHead(int Status, const header_list &Headers,
                                  std::string_view Framing) {
  fmt::memory_buffer Out;
  fmt::format_to(fmt::appender(Out), "HTTP/1.1 {} {}\r\n", Status,
                 reasonPhrase(Status));
  for (const http_header &Field : Headers.all())
    fmt::format_to(fmt::appender(Out), "{}: {}\r\n", Field.Name, Field.Value);
  if (Owner.closing())
    CloseAfterResponse = true;
  CloseAnnounced = CloseAfterResponse;
  if (CloseAfterResponse)
    Out.append(std::string_view("Connection: close\r\n"));
  else if (!IsHttp11)
    Out.append(std::string_view("Connection: keep-alive\r\n"));
  fmt::format_to(fmt::appender(Out), "{}\r\n", Framing);
  bufferevent_write(Socket.get(), Out.data(), Out.size());
}

void server_connection::writeResponse(int Status, const header_list &Headers,
                                      std::string_view Body) {
  if (!Socket || Phase != phase::Responding)
    return;
  writeHead(Status, Headers,
            fmt::format("Content-Length: {}\r\n", Body.size()));
  if (!IsHeadRequest)
    bufferevent_write(Socket.get(), Body.data(), Body.size());
  finishResponse();
}

void server_connection::writeResponse(int Status, const header_list &Headers,
                                      evbuffer &Body,
                                      std::shared_ptr<const void> BodyOwner) {
  if (!Socket || Phase != phase::Responding)
    return;
  writeHead(Status, Headers,
            fmt::format("Content-Length: {}\r\n", evbuffer_get_length(&Body)));
  if (!IsHeadRequest) {
    OwnedBytes += evbuffer_get_length(&Body);
    bufferevent_write_buffer(Socket.get(), &Body);
    BodyOwners.push_back(std::move(BodyOwner));
  }
  finishResponse();
}

void server_connection::beginStream(int Status, const header_list &Headers,
                                    stream_framing Framing) {
  if (!Socket || Phase != phase::Responding)
    return;
  Streaming = true;
  StreamFraming = Framing;
  StreamHasBody = !IsHeadRequest && allowsBody(Status);
  if (!StreamHasBody)
    return writeHead(Status, Headers, "");
  if (Framing == stream_framing::Chunked && IsHttp11)
    return writeHead(Status, Headers, "Transfer-Encoding: chunked\r\n");
  StreamFraming = stream_framing::CloseDelimited;
  // The system would otherwise end the response in order if this process ends.
  if (Framing != stream_framing::CloseDelimited)
    resetOnClose(Socket.get());
  CloseAfterResponse = true;
  writeHead(Status, Headers, "");
}

void server_connection::writeChunk(std::string_view Bytes) {
  if (!Socket || !Streaming || !StreamHasBody || Bytes.empty())
    return;
  evbuffer *Output = bufferevent_get_output(Socket.get());
  if (StreamFraming != stream_framing::Chunked) {
    evbuffer_add(Output, Bytes.data(), Bytes.size());
    return recordMemory();
  }
  const std::string Size = fmt::format("{:x}\r\n", Bytes.size());
  evbuffer_add(Output, Size.data(), Size.size());
  evbuffer_add(Output, Bytes.data(), Bytes.size());
  evbuffer_add(Output, "\r\n", 2);
  recordMemory();
}

void server_connection::endStream(evbuffer &Rest,
                                  std::shared_ptr<const void> Owner) {
  if (!Socket || !Streaming)
    return;
  const std::size_t Size = evbuffer_get_length(&Rest);
  const bool IsChunked = StreamFraming == stream_framing::Chunked;
  if (StreamHasBody && Size > 0) {
    evbuffer *Output = bufferevent_get_output(Socket.get());
    if (IsChunked)
      evbuffer_add_printf(Output, "%zx\r\n", Size);
    evbuffer_add_buffer(Output, &Rest);
    if (IsChunked)
      evbuffer_add(Output, "\r\n", 2);
    OwnedBytes += Size;
    BodyOwners.push_back(std::move(Owner));
  }
  endStream();
}

void server_connection::endStream() {
  if (!Socket || !Streaming)
    return;
  constexpr std::string_view LastChunk = "0\r\n\r\n";
  if (StreamHasBody && StreamFraming == stream_framing::Chunked)
    bufferevent_write(Socket.get(), LastChunk.data(), LastChunk.size());
  finishResponse();
}

void server_connection::abortResponse() {
  if (!Socket)
    return;
  Observer.reset();
  // An orderly end would mark the response as complete.
  if (Streaming && StreamHasBody && StreamFraming != stream_framing::Chunked) {
    resetOnClose(Socket.get());
    ResetAfterFlush = true;
  }
  // A slow client would learn of the end only behind all that was buffered.
  if (Phase != phase::Closing)
    closeAfterFlush(Owner.bounds().FlushStall);
}

void server_connection::finishResponse() {
  const auto Guard = shared_from_this();
  Observer.reset();
  Streaming = false;
  RequestBytes = 0;
  if (CloseAnnounced)
    return closeAfterFlush();
  Phase = phase::Idle;
  Reader.reset();
  recordMemory();
  armTimer();
  if (CloseAfterResponse || Owner.closesIdle())
    closeBetweenRequests();
  if (Phase != phase::Idle)
    return;
  // Reads a pipelined request from the loop rather than within this call.
  if (evbuffer_get_length(bufferevent_get_input(Socket.get())) > 0)
    callLater(Owner.base(), [Guard] {
      if (Guard->Socket && Guard->Phase == phase::Idle)
        Guard->read();
    });
}

void server_connection::closeIfIdle() {
  if (Phase == phase::Idle && !Reader.begun())
    closeBetweenRequests();
}

bool server_connection::hasUnreadInput() const {
  int Waiting = 0;
  return evbuffer_get_length(bufferevent_get_input(Socket.get())) > 0 ||
         (ioctl(bufferevent_getfd(Socket.get()), FIONREAD, &Waiting) == 0 &&
          Waiting > 0);
}

void server_connection::closeBetweenRequests() {
  if (hasUnreadInput())
    return;
  Owner.handler().onIdleClosed();
  if (untakenBytes() == 0)
    return close();
  // A request that arrives from now on stays unread, so that the connection is
  // reset and the client knows that the request was not handled.
  bufferevent_disable(Socket.get(), EV_READ);
  closeAfterFlush();
}

void server_connection::closeAfterFlush(span_ns Limit) {
  Phase = phase::Closing;
  Streaming = false;
  ResetUntaken = Limit > span_ns(0);
  bufferevent_setwatermark(Socket.get(), EV_READ, 0, 0);
  Flush.emplace(flush_times{Owner.bounds().FlushStall, LingerTimeout, Limit},
                untakenBytes(), readBootClock());
  RequestBytes = 0;
  recordMemory();
  if (unsentBytes() == 0)
    endOutput();
  onFlushCheck(readBootClock());
}

void server_connection::endOutput() {
  if (ResetAfterFlush)
    return;
  finishOnClose(Socket.get());
  shutdown(bufferevent_getfd(Socket.get()), SHUT_WR);
  OutputEnded = true;
}

std::size_t server_connection::untakenBytes() const {
  const std::size_t Queued = unacknowledgedBytes(Socket.get());
  // The end of the output counts as a byte.
  return unsentBytes() + Queued - (OutputEnded && Queued > 0 ? 1 : 0);
}

void server_connection::onFlushCheck(instant Now) {
  const std::size_t Untaken = untakenBytes();
  const auto Left = Flush->update(Untaken, Now);
  // A reset drops what the client's system has not taken.
  if (ResetAfterFlush && Untaken == 0)
    return close();
  // Otherwise the system would go on sending what it holds.
  if (!Left && ResetUntaken && Untaken > 0)
    resetOnClose(Socket.get());
  if (!Left || isEnded(bufferevent_getfd(Socket.get())))
    return close();
  Deadline.startOnce(std::min(*Left, ResetAfterFlush ? ResetCheckInterval
                                                     : FlushCheckInterval));
}

std::size_t server_connection::unsentBytes() const {
  return Socket ? evbuffer_get_length(bufferevent_get_output(Socket.get())) : 0;
}

void server_connection::close() {
  if (!Socket)
    return;
  Phase = phase::Closing;
  Deadline.stop();
  Socket.reset();
  BodyOwners.clear();
  Incoming = {};
  Reader.reset();
  Memory.reset();
  if (Owner.memory() && Owner.memory()->takeTrim())
    returnFreeMemory();
  Owner.remove(this);
  // Released from the loop, since a caller may still be using this object.
  callLater(Owner.base(), [Guard = std::move(Self)] {});
}

void server_connection::onDisconnect() {
  const auto Guard = shared_from_this();
  const auto Receiver = Observer.lock();
  Observer.reset();
  close();
  if (Receiver)
    Receiver->onClientDisconnected();
}

void server_connection::armTimer() {
  if (Phase == phase::Reading && !ReceivingBody)
    return Deadline.startOnce(Owner.bounds().HeadTimeout);
  QuietSince = readBootClock();
  startIdleTimer(QuietSince);
}

void server_connection::onTimer() {
  const auto Guard = shared_from_this();
  const instant Now = readBootClock();
  if (Phase == phase::Closing)
    return onFlushCheck(Now);
  if (ReceivingBody &&
      Now - BodySince >= MaxBodyIdleTimeouts * Owner.bounds().IdleTimeout)
    return rejectRequest(request_error::TimedOut);
  if (isIdle() || ReceivingBody)
    if (const auto Left = Owner.idleLimit().timeLeft(QuietSince, Now))
      return Deadline.startOnce(*Left);
  // What has arrived is read before the next call.
  if (Phase == phase::Reading && hasUnreadInput())
    return Deadline.startOnce(span_ns(0));
  if (Phase == phase::Reading)
    return rejectRequest(request_error::TimedOut);
  if (!isIdle())
    return;
  if (awaitsOutput())
    return abortResponse();
  armTimer();
  closeBetweenRequests();
}

void server_connection::startIdleTimer(instant Now) {
  Deadline.startOnce(
      Owner.idleLimit().timeLeft(QuietSince, Now).value_or(span_ns(0)));
}

void server_connection::onBoundsChanged(instant Now) {
  if (isIdle() || ReceivingBody)
    startIdleTimer(Now);
}

void server_connection::onReadable(bufferevent *, void *Self) {
  static_cast<server_connection *>(Self)->read();
}

void server_connection::onWritable(bufferevent *, void *Argument) {
  auto *Connection = static_cast<server_connection *>(Argument);
  const auto Guard = Connection->shared_from_this();
  Connection->BodyOwners.clear();
  Connection->OwnedBytes = 0;
  Connection->recordMemory();
  if (Connection->Phase == phase::Idle &&
      evbuffer_get_length(bufferevent_get_input(Connection->Socket.get())) > 0)
    Connection->read();
  if (!Connection->Socket)
    return;
  if (Connection->Phase == phase::Closing)
    return Connection->endOutput();
  if (const auto Receiver = Connection->Observer.lock())
    Receiver->onClientDrained();
}

void server_connection::onEvent(bufferevent *, short Events, void *Argument) {
  if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
    static_cast<server_connection *>(Argument)->onDisconnect();
}

connection_listener::~connection_listener() {
  Listener.reset();
  const std::vector<server_connection *> Open(Connections.begin(),
                                              Connections.end());
  for (server_connection *Connection : Open) {
    Connection->abortResponse();
    // What is left of its output would be sent by a connection without a
    // listener.
    Connection->close();
  }
}

std::optional<failure> connection_listener::listen(const std::string &Address,
                                                   std::uint16_t Port) {
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(Port);
  const bool IsAddress =
      inet_pton(AF_INET, Address.c_str(), &SocketAddress.sin_addr) == 1;
  if (IsAddress)
    Listener.reset(evconnlistener_new_bind(
        Base, &connection_listener::onAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, ListenBacklog,
        reinterpret_cast<sockaddr *>(&SocketAddress), sizeof(SocketAddress)));
  if (!Listener)
    return listenFailure(fmt::format("{}:{}", Address, Port),
                         IsAddress ? EVUTIL_SOCKET_ERROR() : 0);
  socklen_t Length = sizeof(SocketAddress);
  getsockname(evconnlistener_get_fd(Listener.get()),
              reinterpret_cast<sockaddr *>(&SocketAddress), &Length);
  BoundPort = ntohs(SocketAddress.sin_port);
  return std::nullopt;
}

void connection_listener::setBounds(const connection_bounds &Value,
                                    instant Now) {
  Bounds = Value;
  IdleLimit.set(Value.IdleTimeout, Value.IdleNotice, Now);
  for (server_connection *Connection : Connections)
    Connection->onBoundsChanged(Now);
}

void connection_listener::closeIdle() {
  ClosingIdle = true;
  const std::vector<server_connection *> Open(Connections.begin(),
                                              Connections.end());
  for (server_connection *Connection : Open)
    Connection->closeIfIdle();
}

std::size_t connection_listener::unsentCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Connections, [](const server_connection *Connection) {
        return Connection->unsentBytes() > 0;
      }));
}

void connection_listener::onAccept(evconnlistener *, evutil_socket_t Socket,
                                   sockaddr *, int, void *Argument) {
  auto *Owner = static_cast<connection_listener *>(Argument);
  if (Owner->Memory &&
      !Owner->Memory->admits(Owner->IsInternal, readBootClock())) {
    Owner->Handler.onConnectionShed("too_many_connections");
    evutil_closesocket(Socket);
    return;
  }
  const auto Connection = std::make_shared<server_connection>(*Owner, Socket);
  Owner->Connections.insert(Connection.get());
  Connection->start();
}

} // namespace ebonyvale

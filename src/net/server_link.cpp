#include "net/server_link.h"

#include "net/http_server.h"
#include "net/socket_options.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <utility>
#include <vector>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Time for a client to take the end of an answer before its connection is
/// closed hard; a close with unread input would reset the answer.
constexpr span_ns LingerTime = std::chrono::seconds(1);

/// Connections that may wait to be accepted, enough for a herd of clients that
/// come back together.
constexpr int ListenBacklog = 1024;

/// Unread bytes of a client that sends ahead of its answers; it is not read
/// further until then.
constexpr std::size_t ReadAheadBytes = 64 * 1024;

} // namespace

server_link::server_link(server_links &Owner, evutil_socket_t Handle)
    : Owner(Owner), Socket(bufferevent_socket_new(Owner.base(), Handle,
                                                  BEV_OPT_CLOSE_ON_FREE)),
      Reader(message_reader::side::Requests, *this, Owner.bounds().HeadBytes),
      Deadline(Owner.base(), [this] { onTimer(); }) {}

server_link::~server_link() = default;

void server_link::start() {
  if (!Socket) {
    Owner.forget(this);
    return;
  }
  Self = shared_from_this();
  sendAtOnce(Socket.get());
  bufferevent_setcb(Socket.get(), &server_link::onReadable,
                    &server_link::onWritable, &server_link::onEvent, this);
  bufferevent_setwatermark(Socket.get(), EV_READ, 0, ReadAheadBytes);
  bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
  armTimer();
}

void server_link::observe(std::weak_ptr<client_observer> Target) {
  Observer = std::move(Target);
}

bool server_link::onMessageHead(http_head &Head) {
  Incoming.Head = std::move(Head);
  // The bound on the head does not hold for a long body.
  Deadline.startOnce(Owner.bounds().IdleTimeout);
  // Clients that ask first are told to go on (RFC 9110, section 10.1.1).
  if (Incoming.Head.Headers.find("Expect")) {
    constexpr std::string_view GoOn = "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(Socket.get(), GoOn.data(), GoOn.size());
  }
  return true;
}

void server_link::onMessageBody(std::string_view Bytes) {
  if (Incoming.Body.size() + Bytes.size() > Owner.bounds().BodyBytes)
    BodyTooLarge = true;
  else
    Incoming.Body += Bytes;
}

void server_link::read() {
  const auto Guard = shared_from_this();
  evbuffer *Input = bufferevent_get_input(Socket.get());
  if (Phase == phase::Closing) {
    evbuffer_drain(Input, evbuffer_get_length(Input));
    return;
  }
  while (Phase == phase::Idle || Phase == phase::Reading) {
    const std::size_t Length = evbuffer_get_contiguous_space(Input);
    if (Length == 0)
      return;
    const auto *Data = reinterpret_cast<const char *>(
        evbuffer_pullup(Input, static_cast<ev_ssize_t>(Length)));
    const std::size_t Used = Reader.feed({Data, Length});
    evbuffer_drain(Input, Used);
    if (Phase == phase::Idle && Reader.begun()) {
      Phase = phase::Reading;
      armTimer();
    }
    if (BodyTooLarge)
      return fail(unreadable::BodyTooLarge);
    if (Reader.state() == read_state::TooLarge)
      return fail(unreadable::HeadTooLarge);
    if (Reader.state() == read_state::Invalid)
      return fail(unreadable::Malformed);
    if (Reader.state() != read_state::Complete)
      continue;
    Phase = phase::Answering;
    Deadline.stop();
    HeadRequest = Incoming.Head.Method == "HEAD";
    if (!Incoming.Head.KeepAlive || Owner.closing())
      CloseAfter = true;
    Owner.handler().onRequest(Guard, std::exchange(Incoming, {}));
  }
}

void server_link::fail(unreadable Reason) {
  Phase = phase::Answering;
  CloseAfter = true;
  Owner.handler().onUnreadable(*this, Reason);
}

void server_link::writeHead(int Status, const header_list &Headers,
                            std::string_view Framing) {
  fmt::memory_buffer Out;
  fmt::format_to(fmt::appender(Out), "HTTP/1.1 {} {}\r\n", Status,
                 reasonPhrase(Status));
  for (const http_header &Field : Headers.all())
    fmt::format_to(fmt::appender(Out), "{}: {}\r\n", Field.Name, Field.Value);
  if (Owner.closing())
    CloseAfter = true;
  fmt::format_to(fmt::appender(Out), "{}{}\r\n",
                 CloseAfter ? "Connection: close\r\n" : "", Framing);
  bufferevent_write(Socket.get(), Out.data(), Out.size());
}

void server_link::answer(int Status, const header_list &Headers,
                         std::string_view Body) {
  if (!Socket || Phase != phase::Answering)
    return;
  writeHead(Status, Headers,
            fmt::format("Content-Length: {}\r\n", Body.size()));
  if (!HeadRequest)
    bufferevent_write(Socket.get(), Body.data(), Body.size());
  finishAnswer();
}

void server_link::beginStream(int Status, const header_list &Headers) {
  if (!Socket || Phase != phase::Answering)
    return;
  Streaming = true;
  writeHead(Status, Headers, "Transfer-Encoding: chunked\r\n");
}

void server_link::streamPart(std::string_view Bytes) {
  if (!Socket || !Streaming || Bytes.empty())
    return;
  const std::string Size = fmt::format("{:x}\r\n", Bytes.size());
  evbuffer *Output = bufferevent_get_output(Socket.get());
  evbuffer_add(Output, Size.data(), Size.size());
  evbuffer_add(Output, Bytes.data(), Bytes.size());
  evbuffer_add(Output, "\r\n", 2);
}

void server_link::endStream() {
  if (!Socket || !Streaming)
    return;
  constexpr std::string_view LastChunk = "0\r\n\r\n";
  bufferevent_write(Socket.get(), LastChunk.data(), LastChunk.size());
  finishAnswer();
}

void server_link::breakOff() {
  if (!Socket)
    return;
  Observer.reset();
  closeAfterFlush();
}

void server_link::finishAnswer() {
  const auto Guard = shared_from_this();
  Observer.reset();
  Streaming = false;
  if (CloseAfter || Owner.closesIdle())
    return closeAfterFlush();
  Phase = phase::Idle;
  Reader.reset();
  armTimer();
  // A request that was sent ahead is read outside the present call.
  if (evbuffer_get_length(bufferevent_get_input(Socket.get())) > 0)
    callLater(Owner.base(), [Guard] {
      if (Guard->Socket && Guard->Phase == phase::Idle)
        Guard->read();
    });
}

void server_link::closeIfIdle() {
  if (Phase == phase::Idle && !Reader.begun() &&
      evbuffer_get_length(bufferevent_get_input(Socket.get())) == 0)
    closeAfterFlush();
}

void server_link::closeAfterFlush() {
  Phase = phase::Closing;
  Streaming = false;
  Deadline.startOnce(LingerTime);
  bufferevent_setwatermark(Socket.get(), EV_READ, 0, 0);
  if (unsentBytes() == 0)
    shutdown(bufferevent_getfd(Socket.get()), SHUT_WR);
}

std::size_t server_link::unsentBytes() const {
  return Socket ? evbuffer_get_length(bufferevent_get_output(Socket.get())) : 0;
}

void server_link::close() {
  if (!Socket)
    return;
  Phase = phase::Closing;
  Deadline.stop();
  Socket.reset();
  Owner.forget(this);
  // Released from the loop, since callers may still use this object.
  callLater(Owner.base(), [Guard = std::move(Self)] {});
}

void server_link::gone() {
  const auto Guard = shared_from_this();
  const auto Waiting = Observer.lock();
  Observer.reset();
  close();
  if (Waiting)
    Waiting->onClientGone();
}

void server_link::armTimer() {
  if (Phase == phase::Idle)
    Deadline.startOnce(Owner.bounds().IdleTimeout);
  else if (Phase == phase::Reading)
    Deadline.startOnce(Owner.bounds().HeadTimeout);
}

void server_link::onTimer() {
  const auto Guard = shared_from_this();
  if (Phase == phase::Reading)
    return fail(unreadable::TooSlow);
  if (Phase == phase::Idle && !Reader.begun())
    return closeAfterFlush();
  if (Phase == phase::Closing)
    close();
}

void server_link::onReadable(bufferevent *, void *Self) {
  static_cast<server_link *>(Self)->read();
}

void server_link::onWritable(bufferevent *, void *Argument) {
  auto *Link = static_cast<server_link *>(Argument);
  const auto Guard = Link->shared_from_this();
  if (Link->Phase == phase::Closing) {
    shutdown(bufferevent_getfd(Link->Socket.get()), SHUT_WR);
    return;
  }
  if (const auto Waiting = Link->Observer.lock())
    Waiting->onClientDrained();
}

void server_link::onEvent(bufferevent *, short What, void *Argument) {
  if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
    static_cast<server_link *>(Argument)->gone();
}

server_links::~server_links() {
  Listener.reset();
  const std::vector<server_link *> Open(Links.begin(), Links.end());
  for (server_link *Link : Open)
    Link->breakOff();
}

std::optional<failure> server_links::listen(const std::string &Address,
                                            std::uint16_t Port) {
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_port = htons(Port);
  if (inet_pton(AF_INET, Address.c_str(), &Where.sin_addr) == 1)
    Listener.reset(evconnlistener_new_bind(
        Base, &server_links::onAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, ListenBacklog,
        reinterpret_cast<sockaddr *>(&Where), sizeof(Where)));
  if (!Listener)
    return failure{error_kind::SettingsInvalid,
                   fmt::format("cannot listen on {}:{}", Address, Port)};
  socklen_t Length = sizeof(Where);
  getsockname(evconnlistener_get_fd(Listener.get()),
              reinterpret_cast<sockaddr *>(&Where), &Length);
  BoundPort = ntohs(Where.sin_port);
  return std::nullopt;
}

void server_links::closeIdle() {
  ClosingIdle = true;
  const std::vector<server_link *> Open(Links.begin(), Links.end());
  for (server_link *Link : Open)
    Link->closeIfIdle();
}

void server_links::onAccept(evconnlistener *, evutil_socket_t Socket,
                            sockaddr *, int, void *Argument) {
  auto *Links = static_cast<server_links *>(Argument);
  const auto Link = std::make_shared<server_link>(*Links, Socket);
  Links->Links.insert(Link.get());
  Link->start();
}

} // namespace ebonyvale

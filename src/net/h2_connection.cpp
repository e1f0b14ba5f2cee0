#include "net/h2_connection.h"

#include "net/socket_options.h"
#include "net/timer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <arpa/inet.h>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Memory of a connection and of a stream, besides what they transfer.
constexpr std::size_t ConnectionBytes = 16 * 1024;
constexpr std::size_t StreamBytesAlone = 1024;

/// Streams that a client may have open.
constexpr std::uint32_t MaxStreams = 1024;

/// Returns a header that refers to \p Name and \p Value.
nghttp2_nv makeHeader(std::string_view Name, std::string_view Value) {
  // nghttp2 copies both strings and does not write to them.
  return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data())),
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data())),
          Name.size(), Value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string_view asText(const std::uint8_t *Data, std::size_t Length) {
  return {reinterpret_cast<const char *>(Data), Length};
}

struct callbacks_deleter {
  void operator()(nghttp2_session_callbacks *Value) const {
    nghttp2_session_callbacks_del(Value);
  }
};

} // namespace

std::shared_ptr<h2_connection> h2_connection::connect(event_base *Base,
                                                      const endpoint &Server,
                                                      close_callback OnClose) {
  std::shared_ptr<h2_connection> Connection(new h2_connection(Base));
  Connection->OnClose = std::move(OnClose);
  Connection->Socket.reset(
      bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE));
  Connection->start(/*IsServer=*/false);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Server.Port);
  const bool Valid =
      inet_pton(AF_INET, Server.Address.c_str(), &Address.sin_addr) == 1 &&
      bufferevent_socket_connect(Connection->Socket.get(),
                                 reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) == 0;
  if (!Valid)
    callLater(Base, [Connection] { Connection->close(); });
  return Connection;
}

std::shared_ptr<h2_connection> h2_connection::serve(event_base *Base,
                                                    evutil_socket_t Accepted,
                                                    request_handler Handler,
                                                    close_callback OnClose,
                                                    caller_memory *Memory) {
  std::shared_ptr<h2_connection> Connection(new h2_connection(Base));
  if (Memory)
    Connection->Memory.emplace(
        *Memory, static_cast<memory_holder &>(*Connection), readBootClock());
  Connection->Handler = std::move(Handler);
  Connection->OnClose = std::move(OnClose);
  Connection->Socket.reset(
      bufferevent_socket_new(Base, Accepted, BEV_OPT_CLOSE_ON_FREE));
  Connection->start(/*IsServer=*/true);
  setNoDelay(Connection->Socket.get());
  return Connection;
}

h2_connection::~h2_connection() = default;

void h2_connection::start(bool AsServer) {
  IsServer = AsServer;
  Self = shared_from_this();
  nghttp2_session_callbacks *Raw = nullptr;
  nghttp2_session_callbacks_new(&Raw);
  const std::unique_ptr<nghttp2_session_callbacks, callbacks_deleter> Callbacks(
      Raw);
  nghttp2_session_callbacks_set_send_callback(Raw, &h2_connection::onSend);
  nghttp2_session_callbacks_set_on_header_callback(Raw,
                                                   &h2_connection::onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      Raw, &h2_connection::onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Raw,
                                                       &h2_connection::onFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      Raw, &h2_connection::onStreamClose);
  nghttp2_session *Created = nullptr;
  if (IsServer)
    nghttp2_session_server_new(&Created, Raw, this);
  else
    nghttp2_session_client_new(&Created, Raw, this);
  Session.reset(Created);
  const std::array<nghttp2_settings_entry, 1> Settings{
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams}}};
  nghttp2_submit_settings(Created, NGHTTP2_FLAG_NONE, Settings.data(),
                          IsServer ? Settings.size() : 0);
  bufferevent_setcb(Socket.get(), &h2_connection::onReadable, nullptr,
                    &h2_connection::onEvent, this);
  bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
  flush();
}

void h2_connection::request(const std::string &Path,
                            const std::string &Authorization, std::string Body,
                            response_callback Done) {
  if (!Session) {
    callLater(Base, [Done = std::move(Done)] { Done(std::nullopt); });
    return;
  }
  const std::array<nghttp2_nv, 5> Headers{
      makeHeader(":method", "POST"), makeHeader(":scheme", "http"),
      makeHeader(":path", Path), makeHeader(":authority", "peer"),
      makeHeader("authorization", Authorization)};
  nghttp2_data_provider Provider{};
  Provider.read_callback = &h2_connection::readBody;
  const std::int32_t Id =
      nghttp2_submit_request(Session.get(), nullptr, Headers.data(),
                             Headers.size(), &Provider, nullptr);
  if (Id < 0) {
    callLater(Base, [Done = std::move(Done)] { Done(std::nullopt); });
    return;
  }
  stream &Stream = Streams[Id];
  Stream.Outgoing = std::move(Body);
  Stream.Done = std::move(Done);
  flush();
}

void h2_connection::close() {
  if (!Self)
    return;
  const auto Guard = std::move(Self);
  Memory.reset();
  const auto Pending = std::exchange(Streams, {});
  // Freed later, since a callback of the session or the socket may be running.
  callLater(Base, [Guard] {
    Guard->Session.reset();
    Guard->Socket.reset();
  });
  bufferevent_disable(Socket.get(), EV_READ | EV_WRITE);
  bufferevent_setcb(Socket.get(), nullptr, nullptr, nullptr, nullptr);
  for (const auto &[Id, Stream] : Pending)
    if (Stream.Done)
      Stream.Done(std::nullopt);
  if (OnClose)
    OnClose();
}

void h2_connection::flush() {
  if (Session && nghttp2_session_send(Session.get()) != 0)
    close();
  countMemory();
}

bool h2_connection::hold(stream &Stream, std::size_t More) {
  Stream.HeldBytes += More;
  StreamBytes += More;
  return !Memory ||
         Memory->resize(ConnectionBytes + StreamBytes, readBootClock());
}

void h2_connection::countMemory() {
  if (!Memory)
    return;
  const std::size_t Unsent =
      evbuffer_get_length(bufferevent_get_output(Socket.get()));
  // The link of a peer stays open between its messages.
  Memory->setUse(Streams.empty() && Unsent == 0 ? memory_use::Working
                                                : memory_use::Waiting,
                 readBootClock());
  if (!Memory->record(ConnectionBytes + StreamBytes + Unsent) && Unsent > 0 &&
      !Memory->resize(ConnectionBytes + StreamBytes + Unsent, readBootClock()))
    close();
}

std::string &h2_connection::incomingBody(stream &Stream) {
  return IsServer ? Stream.Request.Body : Stream.Response.Body;
}

void h2_connection::finishStream(std::int32_t Id) {
  auto Node = Streams.extract(Id);
  if (!Node.empty())
    StreamBytes -= Node.mapped().HeldBytes;
  if (Node.empty() || !Node.mapped().Done)
    return;
  stream &Stream = Node.mapped();
  if (Stream.Response.Status == 0 || !Stream.Whole)
    Stream.Done(std::nullopt);
  else
    Stream.Done(std::move(Stream.Response));
}

void h2_connection::respondToStream(std::int32_t Id) {
  stream &Stream = Streams[Id];
  const h2_response Response = Handler(Stream.Request);
  const std::string Status = fmt::format("{}", Response.Status);
  Stream.Outgoing = Response.Body;
  Stream.HeldBytes += Stream.Outgoing.size();
  StreamBytes += Stream.Outgoing.size();
  const std::array<nghttp2_nv, 1> Headers{makeHeader(":status", Status)};
  nghttp2_data_provider Provider{};
  Provider.read_callback = &h2_connection::readBody;
  nghttp2_submit_response(Session.get(), Id, Headers.data(), Headers.size(),
                          &Provider);
}

void h2_connection::onReadable(bufferevent *Socket, void *Argument) {
  const auto Guard = static_cast<h2_connection *>(Argument)->Self;
  if (!Guard)
    return;
  evbuffer *Input = bufferevent_get_input(Socket);
  const std::size_t Length = evbuffer_get_length(Input);
  Guard->BytesIn += Length;
  const ssize_t Read = nghttp2_session_mem_recv(
      Guard->Session.get(), evbuffer_pullup(Input, -1), Length);
  evbuffer_drain(Input, Length);
  if (Read < 0)
    Guard->close();
  else
    Guard->flush();
}

void h2_connection::onEvent(bufferevent *, short Events, void *Argument) {
  const auto Guard = static_cast<h2_connection *>(Argument)->Self;
  if (!Guard)
    return;
  if ((Events & BEV_EVENT_CONNECTED) != 0) {
    setNoDelay(Guard->Socket.get());
    return;
  }
  if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    Guard->close();
}

ssize_t h2_connection::onSend(nghttp2_session *, const std::uint8_t *Data,
                              std::size_t Length, int, void *Argument) {
  auto *Connection = static_cast<h2_connection *>(Argument);
  bufferevent_write(Connection->Socket.get(), Data, Length);
  Connection->BytesOut += Length;
  return static_cast<ssize_t>(Length);
}

int h2_connection::onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                            const std::uint8_t *NameData,
                            std::size_t NameLength,
                            const std::uint8_t *ValueData,
                            std::size_t ValueLength, std::uint8_t,
                            void *Argument) {
  auto *Connection = static_cast<h2_connection *>(Argument);
  const auto [Place, IsNew] =
      Connection->Streams.try_emplace(Frame->hd.stream_id);
  stream &Stream = Place->second;
  if (IsNew && !Connection->hold(Stream, StreamBytesAlone))
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  const std::string_view Name = asText(NameData, NameLength);
  const std::string_view Value = asText(ValueData, ValueLength);
  if (Name == ":path")
    Stream.Request.Path = Value;
  else if (Name == "authorization")
    Stream.Request.Authorization = Value;
  else if (Name == ":status")
    std::from_chars(Value.data(), Value.data() + Value.size(),
                    Stream.Response.Status);
  return 0;
}

int h2_connection::onData(nghttp2_session *, std::uint8_t, std::int32_t Id,
                          const std::uint8_t *Data, std::size_t Length,
                          void *Argument) {
  auto *Connection = static_cast<h2_connection *>(Argument);
  stream &Stream = Connection->Streams[Id];
  std::string &Body = Connection->incomingBody(Stream);
  // A string that grows may hold twice its bytes.
  if (Body.size() + Length > MaxBodyBytes ||
      !Connection->hold(Stream, 2 * Length))
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  Body += asText(Data, Length);
  return 0;
}

int h2_connection::onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                           void *Argument) {
  auto *Connection = static_cast<h2_connection *>(Argument);
  const bool IsMessage =
      Frame->hd.type == NGHTTP2_HEADERS || Frame->hd.type == NGHTTP2_DATA;
  const bool IsLast = (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  if (!IsMessage || !IsLast)
    return 0;
  if (Connection->IsServer)
    Connection->respondToStream(Frame->hd.stream_id);
  else
    Connection->Streams[Frame->hd.stream_id].Whole = true;
  return 0;
}

int h2_connection::onStreamClose(nghttp2_session *, std::int32_t Id,
                                 std::uint32_t, void *Argument) {
  static_cast<h2_connection *>(Argument)->finishStream(Id);
  return 0;
}

ssize_t h2_connection::readBody(nghttp2_session *, std::int32_t Id,
                                std::uint8_t *Buffer, std::size_t Length,
                                std::uint32_t *Flags, nghttp2_data_source *,
                                void *Argument) {
  auto *Connection = static_cast<h2_connection *>(Argument);
  stream &Stream = Connection->Streams[Id];
  const std::size_t Count =
      std::min(Length, Stream.Outgoing.size() - Stream.Sent);
  Stream.Outgoing.copy(reinterpret_cast<char *>(Buffer), Count, Stream.Sent);
  Stream.Sent += Count;
  if (Stream.Sent == Stream.Outgoing.size())
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(Count);
}

} // namespace ebonyvale

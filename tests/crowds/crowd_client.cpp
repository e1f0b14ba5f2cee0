#include "crowds/crowd_client.h"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <nghttp2/nghttp2.h>

namespace ebonyvale {
namespace {

using socket_ptr = std::unique_ptr<bufferevent, releaser<bufferevent_free>>;

socket_ptr connectTo(event_base *Base, std::uint16_t Port,
                     bufferevent_data_cb OnRead, bufferevent_data_cb OnWrite,
                     bufferevent_event_cb OnEvent, void *Argument) {
  socket_ptr Socket(bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(Socket.get(), OnRead, OnWrite, OnEvent, Argument);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
  bufferevent_socket_connect(
      Socket.get(), reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  return Socket;
}

class plain_client final : public crowd_client {
public:
  plain_client(event_base *Base, std::uint16_t Port,
               std::shared_ptr<const crowd_request> Request)
      : Request(std::move(Request)),
        Socket(
            connectTo(Base, Port, &onReadable, &onWritable, &onEvent, this)) {
    if (!this->Request->Reads)
      bufferevent_disable(Socket.get(), EV_READ);
    bufferevent_write(Socket.get(), this->Request->Begin.data(),
                      this->Request->Begin.size());
  }
  bool done() const override { return Done; }

private:
  static void onReadable(bufferevent *Socket, void *) {
    evbuffer *Input = bufferevent_get_input(Socket);
    evbuffer_drain(Input, evbuffer_get_length(Input));
  }
  static void onWritable(bufferevent *, void *Self) {
    static_cast<plain_client *>(Self)->writeMore();
  }
  static void onEvent(bufferevent *, short Events, void *Self) {
    if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
      static_cast<plain_client *>(Self)->Done = true;
  }
  void writeMore() {
    // Bounds what waits in this process.
    constexpr std::size_t WriteBytes = 64 * 1024;
    const std::size_t Piece =
        Request->PieceBytes > 0 ? Request->PieceBytes : WriteBytes;
    if (Sent == Request->Repeats) {
      if (!std::exchange(Done, true))
        bufferevent_write(Socket.get(), Request->End.data(),
                          Request->End.size());
      return;
    }
    std::string Text;
    for (; Sent < Request->Repeats && Text.size() < Piece; ++Sent)
      Text += Request->Middle;
    bufferevent_write(Socket.get(), Text.data(), Text.size());
  }

  std::shared_ptr<const crowd_request> Request;
  std::size_t Sent = 0; ///< repeats
  bool Done = false;
  socket_ptr Socket;
};

class h2_client final : public crowd_client {
public:
  h2_client(event_base *Base, std::uint16_t Port, std::size_t Streams,
            std::size_t BodyBytes)
      : Socket(connectTo(Base, Port, &onReadable, &onWritable, &onEvent, this)),
        BodyBytes(BodyBytes), Waiting(Streams) {
    nghttp2_session_callbacks *Callbacks = nullptr;
    nghttp2_session_callbacks_new(&Callbacks);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        Callbacks,
        [](nghttp2_session *, std::int32_t Id, std::uint32_t, void *Self) {
          auto *Client = static_cast<h2_client *>(Self);
          Client->Waiting -= Client->Left.erase(Id);
          return 0;
        });
    nghttp2_session_client_new(&Session, Callbacks, this);
    nghttp2_session_callbacks_del(Callbacks);
    nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, nullptr, 0);
    for (std::size_t Index = 0; Index < Streams; ++Index)
      openStream();
    onWritable(Socket.get(), this);
  }
  ~h2_client() override { nghttp2_session_del(Session); }
  h2_client(const h2_client &) = delete;
  h2_client &operator=(const h2_client &) = delete;

  bool done() const override { return Closed || Waiting == 0; }

private:
  void openStream() {
    const auto Field = [](std::string_view Name, std::string_view Value) {
      return nghttp2_nv{
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data())),
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data())),
          Name.size(), Value.size(), NGHTTP2_NV_FLAG_NONE};
    };
    const std::array Fields{Field(":method", "POST"), Field(":scheme", "http"),
                            Field(":path", "/peer"), Field(":authority", "p")};
    nghttp2_data_provider Provider{};
    Provider.read_callback = &h2_client::readBody;
    const std::int32_t Id = nghttp2_submit_request(
        Session, nullptr, Fields.data(), Fields.size(), &Provider, nullptr);
    Left[Id] = BodyBytes;
  }
  static ssize_t readBody(nghttp2_session *, std::int32_t Id,
                          std::uint8_t *Buffer, std::size_t Length,
                          std::uint32_t *, nghttp2_data_source *, void *Self) {
    auto *Client = static_cast<h2_client *>(Self);
    std::size_t &Left = Client->Left[Id];
    const std::size_t Count = std::min(Length, Left);
    if (Count == 0) {
      --Client->Waiting;
      return NGHTTP2_ERR_DEFERRED;
    }
    std::fill_n(Buffer, Count, std::uint8_t('x'));
    Left -= Count;
    return static_cast<ssize_t>(Count);
  }
  static void onReadable(bufferevent *Socket, void *Self) {
    auto *Client = static_cast<h2_client *>(Self);
    evbuffer *Input = bufferevent_get_input(Socket);
    const std::size_t Length = evbuffer_get_length(Input);
    if (nghttp2_session_mem_recv(Client->Session, evbuffer_pullup(Input, -1),
                                 Length) < 0)
      Client->Closed = true;
    evbuffer_drain(Input, Length);
    if (evbuffer_get_length(bufferevent_get_output(Socket)) == 0)
      onWritable(Socket, Self);
  }
  static void onWritable(bufferevent *Socket, void *Self) {
    auto *Client = static_cast<h2_client *>(Self);
    constexpr std::size_t WriteBytes = 64 * 1024;
    const std::uint8_t *Data = nullptr;
    for (std::size_t Written = 0; Written < WriteBytes && !Client->Closed;) {
      const ssize_t Length = nghttp2_session_mem_send(Client->Session, &Data);
      if (Length <= 0)
        return;
      bufferevent_write(Socket, Data, static_cast<std::size_t>(Length));
      Written += static_cast<std::size_t>(Length);
    }
  }
  static void onEvent(bufferevent *, short Events, void *Self) {
    if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
      static_cast<h2_client *>(Self)->Closed = true;
  }

  socket_ptr Socket;
  nghttp2_session *Session = nullptr;
  std::size_t BodyBytes;
  std::map<std::int32_t, std::size_t> Left; ///< bytes to send by stream
  std::size_t Waiting; ///< streams that have bytes left to send
  bool Closed = false;
};

} // namespace

std::unique_ptr<crowd_client>
startClient(event_base *Base, std::uint16_t Port,
            std::shared_ptr<const crowd_request> Request) {
  return std::make_unique<plain_client>(Base, Port, std::move(Request));
}

std::unique_ptr<crowd_client> startH2Client(event_base *Base,
                                            std::uint16_t Port,
                                            std::size_t Streams,
                                            std::size_t BodyBytes) {
  return std::make_unique<h2_client>(Base, Port, Streams, BodyBytes);
}

} // namespace ebonyvale

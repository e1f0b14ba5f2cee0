/// \file
/// Requests and responses between peers of the router over HTTP/2.
#ifndef EBONYVALE_NET_H2_CONNECTION_H
#define EBONYVALE_NET_H2_CONNECTION_H

#include "decisions/process/caller_memory.h"
#include "net/event_handles.h"
#include "net/upstream_exchange.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <event2/bufferevent.h>
#include <nghttp2/nghttp2.h>

namespace ebonyvale {

/// A request as received by the server side.
struct h2_request {
  std::string Path;
  std::string Authorization;
  std::string Body;
};

/// The response to a request.
struct h2_response {
  int Status = 0;
  std::string Body;
};

/// The client or server end of a connection. Keeps itself alive until it is
/// closed, even if its owner drops it earlier.
class h2_connection : public std::enable_shared_from_this<h2_connection>,
                      private memory_holder {
public:
  /// Called with the response, or with nothing if there was none or its stream
  /// ended before it was complete.
  using response_callback = std::function<void(std::optional<h2_response>)>;
  /// Returns the response to a request.
  using request_handler = std::function<h2_response(const h2_request &)>;
  /// Called once when the connection has been closed.
  using close_callback = std::function<void()>;

  /// Longest body of a request or a response. A longer body closes the
  /// connection.
  static constexpr std::size_t MaxBodyBytes = 16 * 1024 * 1024;

  /// Starts connecting to \p Server, an IPv4 address, and returns at once. A
  /// failure is reported to \p OnClose.
  static std::shared_ptr<h2_connection>
  connect(event_base *Base, const endpoint &Server, close_callback OnClose);

  /// Serves the accepted \p Socket with \p Handler. What the connection holds
  /// counts in \p Memory, unless that is null; when it cannot be had, the
  /// connection is closed.
  static std::shared_ptr<h2_connection>
  serve(event_base *Base, evutil_socket_t Socket, request_handler Handler,
        close_callback OnClose, caller_memory *Memory = nullptr);

  ~h2_connection() override;
  h2_connection(const h2_connection &) = delete;
  h2_connection &operator=(const h2_connection &) = delete;

  /// Sends a POST request. \p Done is called with the response.
  void request(const std::string &Path, const std::string &Authorization,
               std::string Body, response_callback Done);

  /// Closes the connection. Pending requests get no response.
  void close();

  /// Returns the number of bytes written so far.
  std::uint64_t bytesOut() const { return BytesOut; }
  /// Returns the number of bytes read so far.
  std::uint64_t bytesIn() const { return BytesIn; }

private:
  struct stream {
    h2_request Request;
    h2_response Response;
    std::string Outgoing;      ///< body to send
    std::size_t Sent = 0;      ///< bytes of `Outgoing` given to nghttp2
    std::size_t HeldBytes = 0; ///< as counted
    bool Whole = false;        ///< the peer has marked the end of its response
    response_callback Done;
  };

  explicit h2_connection(event_base *Base) : Base(Base) {}

  void start(bool IsServer);
  void flush();
  void finishStream(std::int32_t Id);
  /// Counts \p More bytes of \p Stream. Returns false if they cannot be had.
  bool hold(stream &Stream, std::size_t More);
  void countMemory();
  void releaseMemory() override { close(); }
  void respondToStream(std::int32_t Id);
  std::string &incomingBody(stream &Stream);

  static void onReadable(bufferevent *, void *Self);
  static void onEvent(bufferevent *, short Events, void *Self);
  static ssize_t onSend(nghttp2_session *, const std::uint8_t *Data,
                        std::size_t Length, int, void *Self);
  static int onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameLength,
                      const std::uint8_t *Value, std::size_t ValueLength,
                      std::uint8_t, void *Self);
  static int onData(nghttp2_session *, std::uint8_t, std::int32_t Id,
                    const std::uint8_t *Data, std::size_t Length, void *Self);
  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame, void *Self);
  static int onStreamClose(nghttp2_session *, std::int32_t Id, std::uint32_t,
                           void *Self);
  static ssize_t readBody(nghttp2_session *, std::int32_t Id,
                          std::uint8_t *Buffer, std::size_t Length,
                          std::uint32_t *Flags, nghttp2_data_source *,
                          void *Self);

  event_base *Base;
  bool IsServer = false;
  request_handler Handler;
  close_callback OnClose;
  std::unique_ptr<bufferevent, releaser<bufferevent_free>> Socket;
  std::unique_ptr<nghttp2_session, releaser<nghttp2_session_del>> Session;
  std::map<std::int32_t, stream> Streams;
  std::size_t StreamBytes = 0; ///< held by all streams
  std::optional<memory_share> Memory;
  std::uint64_t BytesOut = 0;
  std::uint64_t BytesIn = 0;
  std::shared_ptr<h2_connection> Self; ///< set until closed
};

} // namespace ebonyvale

#endif

/// \file
/// The server side of HTTP/1.1: a listener and its connections, which read
/// complete requests, write responses at once or in chunks, and report clients
/// that disconnect.
#ifndef EBONYVALE_NET_SERVER_CONNECTION_H
#define EBONYVALE_NET_SERVER_CONNECTION_H

#include "common/instant.h"
#include "common/result.h"
#include "decisions/process/caller_memory.h"
#include "net/event_handles.h"
#include "net/flush_progress.h"
#include "net/http_message.h"
#include "net/idle_limit.h"
#include "net/timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace ebonyvale {

/// Limits on the size of requests and the time to send them.
struct connection_bounds {
  std::size_t HeadBytes = 16 * 1024;
  std::size_t BodyBytes = 4 * 1024 * 1024;
  span_ns HeadTimeout = std::chrono::seconds(10);
  span_ns IdleTimeout = std::chrono::seconds(30);
  /// Time in which clients may still use an earlier, longer idle timeout.
  span_ns IdleNotice{0};
  /// Time after which a client is given up that takes no byte of what is left
  /// on a connection to be closed.
  span_ns FlushStall = std::chrono::seconds(5);
};

/// A complete request.
struct http_request {
  http_head Head;
  std::string Body;
};

/// Reason why a request could not be read.
enum class request_error {
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
  TimedOut,
  NoMemory, ///< all connections together hold too much
};

/// Retry-After of a request that could not be read with `NoMemory`: until then
/// a connection that makes no progress releases memory.
inline constexpr span_ns NoMemoryRetryAfter = std::chrono::seconds(1);

/// Receives the events of a client that waits for a response.
class client_observer {
public:
  virtual ~client_observer() = default;
  /// Called when the client has closed its connection. Nothing more can be
  /// sent.
  virtual void onClientDisconnected() = 0;
  /// Called when all written bytes have been sent to the socket.
  virtual void onClientDrained() = 0;
};

/// How the end of a response of unknown length is marked.
enum class stream_framing {
  Chunked,
  CloseDelimited, ///< by an orderly end of the connection
  /// As `CloseDelimited`; whatever ends the connection before all of the
  /// response has been sent resets it.
  CloseOrReset,
};

class connection_listener;

/// An accepted connection. Keeps itself alive until it is closed, and longer if
/// others hold it.
class server_connection
    : public std::enable_shared_from_this<server_connection>,
      private message_sink,
      private memory_holder {
public:
  server_connection(connection_listener &Owner, evutil_socket_t Socket);
  ~server_connection() override;
  server_connection(const server_connection &) = delete;
  server_connection &operator=(const server_connection &) = delete;

  /// Starts reading requests.
  void start();

  /// Sets the observer of the current request, until its response is complete.
  void observe(std::weak_ptr<client_observer> Observer);

  /// Sends a complete response to the current request. \p Headers must not
  /// contain `Content-Length`, `Transfer-Encoding` or `Connection`.
  void writeResponse(int Status, const header_list &Headers,
                     std::string_view Body);

  /// Sends a complete response with the bytes of \p Body, which becomes empty.
  /// \p Owner is kept until they have been sent or the connection is closed.
  void writeResponse(int Status, const header_list &Headers, evbuffer &Body,
                     std::shared_ptr<const void> Owner);

  /// Starts a response of unknown length, which ends with its head if the
  /// request or \p Status allows no body (RFC 9110, section 6.4.1). A client
  /// that cannot read chunks gets it as with `CloseOrReset`.
  void beginStream(int Status, const header_list &Headers,
                   stream_framing Framing = stream_framing::Chunked);
  /// Sends \p Bytes as the next part of the response.
  void writeChunk(std::string_view Bytes);
  /// Ends the response.
  void endStream();
  /// Sends the bytes of \p Rest, which becomes empty, and ends the response.
  /// \p Owner is kept until they have been sent or the connection is closed.
  void endStream(evbuffer &Rest, std::shared_ptr<const void> Owner);

  /// Closes the connection within a response, so that the client sees that the
  /// response is incomplete. What was written before is sent for a limited
  /// time; unless the response is chunked, the connection is reset then.
  void abortResponse();

  /// Makes the next response announce `Connection: close` and close the
  /// connection.
  void closeAfterResponse() { CloseAfterResponse = true; }

  /// Applies the limits of the listener after a change.
  void onBoundsChanged(instant Now);

  /// Closes the connection if no request is being received or handled.
  void closeIfIdle();

  /// Returns whether the client can tell by the current stream itself where it
  /// ends, which depends on the client's version, too.
  bool hasStreamFraming() const {
    return StreamFraming == stream_framing::Chunked;
  }

  bool open() const { return Socket != nullptr; }

  /// Returns the number of bytes that wait to be sent to the socket.
  std::size_t unsentBytes() const;

private:
  bool onMessageHead(http_head &Head) override;
  void onMessageBody(std::string_view Bytes) override;
  void releaseMemory() override;
  /// Returns the memory of this connection that no other budget counts.
  std::size_t heldBytes() const;
  /// Appends to the body. Returns false if no memory is left.
  bool appendBody(std::string_view Bytes);
  /// Counts the memory that is held now.
  void recordMemory();
  /// Resets the connection of a client that does not take its responses.
  void dropSlowClient();
  /// Returns whether the next request waits for responses to be taken.
  bool awaitsOutput() const;
  void read();
  void rejectRequest(request_error Reason);
  void writeHead(int Status, const header_list &Headers,
                 std::string_view Framing);
  void finishResponse();
  /// Sends the remaining output as long as the client takes it, shuts down the
  /// write side and waits a limited time for the client to close. If \p Limit
  /// is not 0, a client that has not taken all by then is reset.
  void closeAfterFlush(span_ns Limit = span_ns(0));
  /// Closes the connection between two requests, unless the next one has begun
  /// to arrive.
  void closeBetweenRequests();
  /// Returns whether bytes have arrived that no request was read from.
  bool hasUnreadInput() const;
  void endOutput();
  /// Returns the number of bytes that the system of the client has not taken.
  std::size_t untakenBytes() const;
  void onFlushCheck(instant Now);
  void close();
  void armTimer();
  void startIdleTimer(instant Now);
  bool isIdle() const { return Phase == phase::Idle && !Reader.begun(); }
  void onTimer();
  void onDisconnect();
  friend connection_listener;
  static void onReadable(bufferevent *, void *Self);
  static void onWritable(bufferevent *, void *Self);
  static void onEvent(bufferevent *, short Events, void *Self);

  enum class phase { Idle, Reading, Responding, Closing };

  connection_listener &Owner;
  std::unique_ptr<bufferevent, releaser<bufferevent_free>> Socket;
  message_reader Reader;
  http_request Incoming;
  std::weak_ptr<client_observer> Observer;
  std::vector<std::shared_ptr<const void>> BodyOwners; ///< of unsent bodies
  std::size_t OwnedBytes = 0;   ///< of those, which their owners count
  std::size_t RequestBytes = 0; ///< memory of the request that is handled
  std::size_t UnsentBefore = 0; ///< when the client was last seen to take bytes
  std::optional<memory_share>
      Memory; ///< unset without a budget, and at the end
  timer Deadline;
  phase Phase = phase::Idle;
  bool ReceivingBody = false;
  instant QuietSince{}; ///< start of the wait for a request or more of a body
  instant BodySince{};  ///< while a body arrives
  std::optional<flush_progress> Flush; ///< set while closing
  bool ResetUntaken = false; ///< closing resets a client that lacks bytes
  bool OutputEnded = false;
  bool ResetAfterFlush = false; ///< instead of an orderly end
  bool CloseAfterResponse = false;
  bool CloseAnnounced = false; ///< by the head of a response
  bool Streaming = false;
  stream_framing StreamFraming = stream_framing::Chunked;
  bool StreamHasBody = true;
  bool BodyTooLarge = false;
  bool OutOfMemory = false; ///< while the request is read
  bool IsHeadRequest = false;
  bool IsHttp11 = false;                   ///< the client can read chunks
  std::shared_ptr<server_connection> Self; ///< set until closed
};

/// Handles the requests of a listener.
class request_handler {
public:
  virtual ~request_handler() = default;
  /// Handles a complete request; the response may be sent later.
  virtual void onRequest(const std::shared_ptr<server_connection> &Connection,
                         http_request Request) = 0;
  /// Must respond to a request that could not be read. The connection is closed
  /// after the response.
  virtual void onRequestError(server_connection &Connection,
                              request_error Reason) = 0;
  /// A connection is closed that no response has announced to close.
  virtual void onIdleClosed() {}
  /// A connection is closed without a response since memory or descriptors do
  /// not suffice for it.
  virtual void onConnectionShed(std::string_view /*Reason*/) {}
};

/// Listens on one address and tracks the accepted connections. Aborts those
/// that are still open when it is destroyed.
class connection_listener {
public:
  connection_listener(event_base *Base, request_handler &Handler)
      : Base(Base), Handler(Handler) {}
  ~connection_listener();
  connection_listener(const connection_listener &) = delete;
  connection_listener &operator=(const connection_listener &) = delete;

  /// Counts the memory of connections in \p Value, which must outlive the
  /// listener. \p Internal tells that its clients are peers or operators.
  void setMemory(caller_memory &Value, bool Internal) {
    Memory = &Value;
    IsInternal = Internal;
  }
  caller_memory *memory() const { return Memory; }

  /// Binds the IPv4 address \p Address and \p Port; port 0 selects a free port.
  /// Returns `SettingsInvalid` if it cannot be bound.
  std::optional<failure> listen(const std::string &Address, std::uint16_t Port);

  /// Stops accepting connections. Open connections are not affected.
  void stopListening() { Listener.reset(); }

  /// Closes each connection after its next response.
  void closeAfterResponses() { Closing = true; }
  bool closing() const { return Closing; }

  /// Closes idle connections now, and the others as soon as they are idle.
  void closeIdle();
  bool closesIdle() const { return ClosingIdle; }

  /// Sets the limits of all connections, also of those that are open.
  void setBounds(const connection_bounds &Value, instant Now);
  const connection_bounds &bounds() const { return Bounds; }
  const idle_limit &idleLimit() const { return IdleLimit; }
  std::uint16_t port() const { return BoundPort; }
  std::size_t size() const { return Connections.size(); }
  /// Returns the number of connections with bytes that wait to be sent to the
  /// socket.
  std::size_t unsentCount() const;
  event_base *base() const { return Base; }
  request_handler &handler() { return Handler; }
  /// Stops tracking \p Connection, which has been closed.
  void remove(server_connection *Connection) { Connections.erase(Connection); }

private:
  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);

  event_base *Base;
  request_handler &Handler;
  caller_memory *Memory = nullptr;
  bool IsInternal = false;
  connection_bounds Bounds;
  idle_limit IdleLimit{Bounds.IdleTimeout};
  std::unique_ptr<evconnlistener, releaser<evconnlistener_free>> Listener;
  std::uint16_t BoundPort = 0;
  std::unordered_set<server_connection *> Connections;
  bool Closing = false;
  bool ClosingIdle = false;
};

} // namespace ebonyvale

#endif

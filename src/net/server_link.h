/// \file
/// Accepted HTTP/1.1 connections: requests read whole, answers written in
/// parts, and notice of clients that go away.
#ifndef EBONYVALE_NET_SERVER_LINK_H
#define EBONYVALE_NET_SERVER_LINK_H

#include "common/instant.h"
#include "common/result.h"
#include "net/event_handles.h"
#include "net/http_message.h"
#include "net/timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace ebonyvale {

/// Bounds on what clients may send and how long they may take.
struct link_bounds {
  std::size_t HeadBytes = 16 * 1024;
  std::size_t BodyBytes = 4 * 1024 * 1024;
  span_ns HeadTimeout = std::chrono::seconds(10);
  span_ns IdleTimeout = std::chrono::seconds(30);
};

/// A request that has arrived whole.
struct http_request {
  http_head Head;
  std::string Body;
};

/// Why a request could not be read.
enum class unreadable { Malformed, HeadTooLarge, BodyTooLarge, TooSlow };

/// Hears of a client that waits for an answer.
class client_observer {
public:
  virtual ~client_observer() = default;
  /// The client has closed its connection; nothing more can be sent.
  virtual void onClientGone() = 0;
  /// What was written has left.
  virtual void onClientDrained() = 0;
};

class server_links;

/// One accepted connection. It lives until it is closed and its users have let
/// go of it.
class server_link : public std::enable_shared_from_this<server_link>,
                    private message_sink {
public:
  server_link(server_links &Owner, evutil_socket_t Socket);
  ~server_link() override;
  server_link(const server_link &) = delete;
  server_link &operator=(const server_link &) = delete;

  void start();

  /// Whom to tell about the request that is being answered.
  void observe(std::weak_ptr<client_observer> Observer);

  /// Answers the present request as a whole. \p Headers must not hold framing.
  void answer(int Status, const header_list &Headers, std::string_view Body);

  /// Begins an answer whose length is not known yet.
  void beginStream(int Status, const header_list &Headers);
  void streamPart(std::string_view Bytes);
  void endStream();

  /// Ends the connection in the middle of an answer, visibly incomplete.
  void breakOff();

  /// The answer that follows says that the connection ends with it.
  void closeAfterAnswer() { CloseAfter = true; }

  /// Closes the connection if no request is being read or answered.
  void closeIfIdle();

  bool open() const { return Socket != nullptr; }

  /// Bytes that the client has not taken yet.
  std::size_t unsentBytes() const;

private:
  bool onMessageHead(http_head &Head) override;
  void onMessageBody(std::string_view Bytes) override;
  void read();
  void fail(unreadable Reason);
  void writeHead(int Status, const header_list &Headers,
                 std::string_view Framing);
  void finishAnswer();
  void closeAfterFlush();
  void close();
  void armTimer();
  void onTimer();
  void gone();
  static void onReadable(bufferevent *, void *Self);
  static void onWritable(bufferevent *, void *Self);
  static void onEvent(bufferevent *, short What, void *Self);

  enum class phase { Idle, Reading, Answering, Closing };

  server_links &Owner;
  std::unique_ptr<bufferevent, releaser<bufferevent_free>> Socket;
  message_reader Reader;
  http_request Incoming;
  std::weak_ptr<client_observer> Observer;
  timer Deadline;
  phase Phase = phase::Idle;
  bool CloseAfter = false;
  bool Streaming = false;
  bool BodyTooLarge = false;
  bool HeadRequest = false;
  std::shared_ptr<server_link> Self; ///< held until closed
};

/// Receives the requests of a listener.
class request_handler {
public:
  virtual ~request_handler() = default;
  virtual void onRequest(const std::shared_ptr<server_link> &Link,
                         http_request Request) = 0;
  /// Answers a request that could not be read; the connection ends after it.
  virtual void onUnreadable(server_link &Link, unreadable Reason) = 0;
};

/// Listens on one address and owns the accepted connections.
class server_links {
public:
  server_links(event_base *Base, request_handler &Handler)
      : Base(Base), Handler(Handler) {}
  ~server_links();
  server_links(const server_links &) = delete;
  server_links &operator=(const server_links &) = delete;

  /// Binds an IPv4 address; port 0 takes a free one. Fails with
  /// `SettingsInvalid` when it cannot be bound.
  std::optional<failure> listen(const std::string &Address, std::uint16_t Port);

  void stopListening() { Listener.reset(); }

  /// Every further answer ends its connection.
  void closeAfterAnswers() { Closing = true; }
  bool closing() const { return Closing; }

  /// Closes connections on which no request is being read or answered, from
  /// now on as soon as they are idle.
  void closeIdle();
  bool closesIdle() const { return ClosingIdle; }

  void setBounds(const link_bounds &Value) { Bounds = Value; }
  const link_bounds &bounds() const { return Bounds; }
  std::uint16_t port() const { return BoundPort; }
  std::size_t size() const { return Links.size(); }
  event_base *base() const { return Base; }
  request_handler &handler() { return Handler; }
  void forget(server_link *Link) { Links.erase(Link); }

private:
  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);

  event_base *Base;
  request_handler &Handler;
  link_bounds Bounds;
  std::unique_ptr<evconnlistener, releaser<evconnlistener_free>> Listener;
  std::uint16_t BoundPort = 0;
  std::unordered_set<server_link *> Links;
  bool Closing = false;
  bool ClosingIdle = false;
};

} // namespace ebonyvale

#endif

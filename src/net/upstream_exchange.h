/// \file
/// HTTP exchanges with servers based on evhttp's client, with pooled
/// connections.
#ifndef EBONYVALE_NET_UPSTREAM_EXCHANGE_H
#define EBONYVALE_NET_UPSTREAM_EXCHANGE_H

#include "common/instant.h"
#include "net/event_handles.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace ebonyvale {

/// IP address and port of a server.
struct endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  bool operator==(const endpoint &) const = default;
  bool operator<(const endpoint &Other) const {
    return std::tie(Address, Port) < std::tie(Other.Address, Other.Port);
  }
};

/// Parses "address:port". Returns nothing for any other text.
std::optional<endpoint> parseEndpoint(std::string_view Text);

/// Added to read timeouts, so that the caller's deadline expires before the
/// read timeout does.
inline constexpr span_ns DeadlineMargin = std::chrono::seconds(1);

/// Selects the connection of an exchange.
enum class connection_use {
  Pooled,    ///< an idle connection if there is one
  AlwaysNew, ///< a new connection, so that the request is not written to a
             ///< stale one
};

/// A request to send.
struct outgoing_request {
  endpoint Server;
  std::string Method = "POST";
  std::string Target = "/";
  std::vector<std::pair<std::string, std::string>> Headers;
  /// Fragments of the body, in order, so that a body can be extended without
  /// copying it.
  std::vector<std::string_view> Body;
  connection_use Use = connection_use::Pooled;
  span_ns ConnectTimeout = std::chrono::seconds(1);
  span_ns ReadTimeout = std::chrono::seconds(60);
};

/// Status code and headers of a response.
class response_head {
public:
  response_head(int Status, const evkeyvalq *Headers, bool EndsWithConnection)
      : Status(Status), Headers(Headers),
        EndsWithConnection(EndsWithConnection) {}

  int status() const { return Status; }
  /// Returns whether nothing but the end of the connection marks the end of the
  /// response.
  bool endsWithConnection() const { return EndsWithConnection; }
  /// Returns the first value of the header \p Name, or an empty view. Valid
  /// only during `exchange_observer::onHead`.
  std::string_view header(const char *Name) const;

private:
  int Status;
  const evkeyvalq *Headers;
  bool EndsWithConnection;
};

/// Tells how far an exchange got before its connection was lost.
enum class exchange_stage {
  NotSent,    ///< no byte of the request was sent
  Sent,       ///< the server may have received the request
  Responding, ///< the head of the response was received
};

/// Receives the response of an exchange. Nothing is called after `onComplete`,
/// `onLost` or `upstream_exchange::cancel`.
class exchange_observer {
public:
  virtual ~exchange_observer() = default;
  virtual void onHead(const response_head &Head) = 0;
  virtual void onBody(std::string_view Bytes) = 0;
  /// Called when the response is complete.
  virtual void onComplete() = 0;
  /// Called when the exchange failed before its response was complete.
  virtual void onLost(exchange_stage Stage) = 0;
};

class evhttp_connection_pool;

/// An exchange in flight. Keeps itself alive until it has ended.
class upstream_exchange
    : public std::enable_shared_from_this<upstream_exchange> {
public:
  /// Sends \p Request. \p Observer is called from the event loop, never from
  /// within this call, and must outlive the exchange or cancel it.
  static std::shared_ptr<upstream_exchange>
  start(evhttp_connection_pool &Pool, const outgoing_request &Request,
        exchange_observer &Observer);

  /// Ends the exchange and closes its connection. The observer is not called
  /// again.
  void cancel();

  /// Stops reading the response until `resumeReading` is called.
  void pauseReading();
  void resumeReading();

private:
  upstream_exchange(evhttp_connection_pool &Pool, exchange_observer &Observer)
      : Pool(Pool), Observer(&Observer) {}

  bool send(const outgoing_request &Request);
  void finish();
  void fail();
  void releaseConnection(bool Reusable);

  static int onHeadRead(evhttp_request *Request, void *Self);
  static void onChunk(evhttp_request *Request, void *Self);
  static void onDone(evhttp_request *Request, void *Self);
  static void onOutput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                       void *Self);

  evhttp_connection_pool &Pool;
  exchange_observer *Observer;
  endpoint Server;
  evhttp_connection *Connection = nullptr;
  evbuffer_cb_entry *OutputCallback = nullptr;
  event_ptr ConnectDeadline;
  exchange_stage Stage = exchange_stage::NotSent;
  bool Starting = false;      ///< within evhttp_make_request
  bool FailedInStart = false; ///< the request failed while `Starting`
  std::shared_ptr<upstream_exchange> Self; ///< set while in flight
};

/// Pool of evhttp client connections. `client_connection_pool` is the
/// counterpart without evhttp.
class evhttp_connection_pool {
public:
  explicit evhttp_connection_pool(event_base *Base) : Base(Base) {}
  ~evhttp_connection_pool();
  evhttp_connection_pool(const evhttp_connection_pool &) = delete;
  evhttp_connection_pool &operator=(const evhttp_connection_pool &) = delete;

  /// Returns the event loop of the connections.
  event_base *base() const { return Base; }

  /// Returns an idle connection to \p Server, or a new one that connects on
  /// first use.
  evhttp_connection *take(const endpoint &Server, connection_use Use);

  /// Adds \p Connection, whose last exchange was complete, to the idle ones.
  void returnConnection(const endpoint &Server, evhttp_connection *Connection);

  /// Frees \p Connection after the current event and keeps \p User, the
  /// exchange that used it, alive until then.
  void discard(evhttp_connection *Connection,
               std::shared_ptr<upstream_exchange> User);

private:
  struct idle_entry {
    endpoint Server;
    evhttp_connection *Connection;
  };

  event_base *Base;
  std::vector<idle_entry> Idle;
};

} // namespace ebonyvale

#endif

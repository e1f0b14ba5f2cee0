/// \file
/// HTTP/1.1 exchanges with servers over pooled connections. An exchange reports
/// whether any byte of its request has been sent, reads a response that arrives
/// before the request has been written, and does not reuse a connection on
/// which the next bytes may belong to an earlier request.
#ifndef EBONYVALE_NET_CLIENT_CONNECTION_H
#define EBONYVALE_NET_CLIENT_CONNECTION_H

#include "common/instant.h"
#include "net/event_handles.h"
#include "net/http_message.h"
#include "net/timer.h"
#include "net/upstream_exchange.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <event2/bufferevent.h>

namespace ebonyvale {

/// Tells how an observer handles a response.
enum class response_action {
  Take, ///< it is the response to this request; deliver its body
  Skip, ///< it is the late response to an earlier request; ignore its body and
        ///< wait for the next response
};

/// Reason why an exchange ended without a complete response.
enum class loss_reason {
  ConnectFailed,
  ConnectTimeout,
  Closed,
  Reset,
  InvalidResponse,
};

/// Returns the name of \p Reason in logs and metrics.
std::string_view lossName(loss_reason Reason);

/// Describes an exchange that ended without a complete response.
struct exchange_loss {
  exchange_stage Stage = exchange_stage::NotSent;
  loss_reason Reason = loss_reason::Closed;
  bool ReusedConnection = false; ///< an earlier exchange used the connection
  bool Refused = false; ///< the server's system listens for no process there
};

/// Receives the response of an exchange. Nothing is called after
/// `onResponseEnd`, `onResponseLost` or `client_connection::cancel`.
class response_observer {
public:
  virtual ~response_observer() = default;
  /// Called when a connection has been opened for the exchange.
  virtual void onConnectionOpened() {}
  /// Called with the head of each response. \p FirstOnConnection tells whether
  /// the connection has not delivered a response before.
  virtual response_action onResponseHead(const http_head &Head,
                                         bool FirstOnConnection) = 0;
  virtual void onResponseBody(std::string_view Bytes) = 0;
  /// Called when the response is complete.
  virtual void onResponseEnd() = 0;
  /// Called when the exchange has failed.
  virtual void onResponseLost(const exchange_loss &Loss) = 0;
};

/// A request to send. `Host` is added unless set, and `Content-Length` where
/// needed.
struct client_request {
  endpoint Server;
  std::string Method = "GET";
  std::string Target = "/";
  header_list Headers;
  std::string_view Body; ///< copied by `client_connection_pool::start`
  /// Id of the request, if responses state it. No connection is used on which
  /// the server has refused this request, see `client_connection::setRefused`.
  std::string_view Id;
  bool NewConnection = false; ///< do not reuse a pooled connection
  /// Reuse the pooled connection that was opened first, also if it has been
  /// idle for long; see `client_connection_pool::idleBefore`.
  bool OldestConnection = false;
  /// Unless 0, reuse a connection to the process with this start, see
  /// `client_connection::serverStart`. The request is not sent if there is none
  /// (`client_connection_pool::hasIdleTo`).
  std::int64_t ServerStart = 0;
};

class client_connection_pool;

/// Called with the outcome of a probe: nothing if the connection was opened.
using probe_callback = std::function<void(std::optional<loss_reason> Failure)>;

/// A connection to a server and the exchange in flight on it, if any. Keeps
/// itself alive while it is open.
class client_connection
    : public std::enable_shared_from_this<client_connection>,
      private message_sink {
public:
  /// Does not connect; `client_connection_pool::start` does.
  client_connection(client_connection_pool &Pool, const endpoint &Server);
  ~client_connection() override;
  client_connection(const client_connection &) = delete;
  client_connection &operator=(const client_connection &) = delete;

  /// Ends the exchange and resets its connection, so that the system sends
  /// nothing more of the request. The observer is not called again.
  void cancel();

  /// Stops reading the response until `resumeReading` is called.
  void pauseReading();
  void resumeReading();

  /// Returns when the connection was opened; nothing before.
  std::optional<instant> openedAt() const { return OpenedAt; }

  /// Records that the response to the current request is a refusal. A copy of
  /// it may follow, which could not be told from a response to the same request
  /// on this connection.
  void setRefused();

  /// Records that the server process has stated its start \p Start, in ms since
  /// the Unix epoch, on this connection. A connection leads to one process.
  void setServerStart(std::int64_t Start) { ServerStart = Start; }
  /// Returns the start of the server process; 0 if that is not known.
  std::int64_t serverStart() const { return ServerStart; }

private:
  friend class client_connection_pool;

  bool connect();
  void probe(probe_callback Done);
  void send(const client_request &Request, response_observer &NewObserver);
  /// Reports a request that is not sent to \p NewObserver.
  void refuse(response_observer &NewObserver);
  bool onMessageHead(http_head &Head) override;
  void onMessageBody(std::string_view Bytes) override;
  void read();
  void completeMessage();
  void onClosed(loss_reason Reason, bool Orderly);
  void fail(loss_reason Reason);
  void onConnectTimeout();
  /// Closes the connection with a reset.
  void abandon();
  /// Drops the self-reference from the loop, since a callback may be running.
  void releaseSelf();
  /// Returns whether the request with the id's hash \p Hash was refused on this
  /// connection.
  bool hasRefused(std::uint64_t Hash) const {
    return std::ranges::find(Refused, Hash) != Refused.end();
  }
  static void onReadable(bufferevent *, void *Self);
  static void onEvent(bufferevent *, short Events, void *Self);
  static void onOutput(evbuffer *, const evbuffer_cb_info *Info, void *Self);

  client_connection_pool &Pool;
  endpoint Server;
  std::unique_ptr<bufferevent, releaser<bufferevent_free>> Socket;
  message_reader Reader;
  response_observer *Observer = nullptr; ///< null while idle
  probe_callback OnProbed; ///< set until the connection of a probe is open
  timer ConnectDeadline;
  exchange_stage Stage = exchange_stage::NotSent;
  std::optional<instant> OpenedAt;
  std::int64_t ServerStart = 0;
  bool ConnectRefused = false;   ///< see `exchange_loss::Refused`
  bool SkippingResponse = false; ///< the current response is being skipped
  bool Reusable = false; ///< the current response keeps the connection open
  bool SkippedResponse = false; ///< a response was skipped in this exchange
  std::size_t ReadBytes = 0;    ///< in this exchange
  std::size_t BodyBytes = 0;    ///< of those, delivered to the observer
  unsigned Responses = 0;       ///< response heads read on this connection
  unsigned Exchanges = 0;       ///< requests sent on this connection
  std::optional<std::int64_t> KeepAliveSeconds;
  std::uint64_t RequestHash = 0;      ///< of the current request's id; 0: none
  std::vector<std::uint64_t> Refused; ///< hashes of ids, see `setRefused`
  instant IdleSince;
  std::shared_ptr<client_connection> Self; ///< set while open
};

/// Options of a connection pool.
struct client_pool_options {
  /// Timeout for establishing a connection. Above a round trip between regions
  /// (tens of ms), below the time after which callers give up (1 s).
  span_ns ConnectTimeout = std::chrono::milliseconds(300);
  /// A connection is closed when sent bytes stay unacknowledged for this long.
  span_ns TcpUserTimeout = std::chrono::milliseconds(2000);
  /// Longest time for which a connection is reused after it became idle if the
  /// server sends no Keep-Alive timeout. Below 1 s: the header has whole
  /// seconds only, so a server with a shorter timeout cannot announce it.
  span_ns DefaultIdleTimeout = std::chrono::milliseconds(300);
  /// Subtracted from the server's Keep-Alive timeout, which counts from when
  /// the server sent its response. Covers a round trip between regions and late
  /// wake-ups.
  span_ns KeepAliveMargin = std::chrono::milliseconds(300);
  /// Largest number of idle connections per server.
  std::size_t MaxIdlePerServer = 16;
};

/// Keeps idle connections by server and starts exchanges.
class client_connection_pool {
public:
  client_connection_pool(event_base *Base, const client_pool_options &Options)
      : Base(Base), Options(Options) {}
  ~client_connection_pool();
  client_connection_pool(const client_connection_pool &) = delete;
  client_connection_pool &operator=(const client_connection_pool &) = delete;

  /// Sends \p Request on an idle or a new connection. \p Observer is called
  /// from the event loop, never from within this call, and must outlive the
  /// exchange or cancel it.
  std::shared_ptr<client_connection> start(const client_request &Request,
                                           response_observer &Observer);

  /// Opens a connection to \p Server, which is kept as an idle one. \p Done is
  /// called from the event loop, never from within this call.
  void probe(const endpoint &Server, probe_callback Done);

  /// Calls \p Callback when a server ends an idle connection before the time
  /// for which it has offered to keep it, and from `noticeEnded`.
  void observeIdleLosses(std::function<void(const endpoint &Server)> Callback) {
    OnIdleLost = std::move(Callback);
  }

  /// Reports the losses of connections that have ended, idle or in use, of
  /// which the event loop may not know yet. Closes those that are idle.
  void noticeEnded();

  /// Returns the number of idle connections to \p Server that were opened at
  /// \p At or before, and that the server has not ended.
  std::size_t idleBefore(const endpoint &Server, instant At) const;

  /// Records that a process at \p Server has stated its start \p Start, in
  /// response to a request sent at \p AskedAt. Processes follow each other at
  /// an address, so the connections that had been opened by then, and have not
  /// ended, lead to it.
  void onServerStart(const endpoint &Server, std::int64_t Start,
                     instant AskedAt);

  /// Returns whether an idle connection to the process at \p Server with the
  /// start \p Start can be reused.
  bool hasIdleTo(const endpoint &Server, std::int64_t Start) const;

  /// Closes all idle connections to \p Server.
  void closeIdleConnections(const endpoint &Server);

  /// Returns the number of connections opened so far.
  std::uint64_t opened() const { return Opened; }
  event_base *base() const { return Base; }
  const client_pool_options &options() const { return Options; }

private:
  friend class client_connection;
  using idle_list = std::deque<std::shared_ptr<client_connection>>;

  /// Returns a new connection to \p Server.
  std::shared_ptr<client_connection> make(const endpoint &Server);
  /// Returns an idle connection to \p Server that the server has not ended, and
  /// closes those that are past their timeout; null if there is none.
  /// With \p Start, only one to the process with that start. \p RequestHash is
  /// that of the request's id.
  std::shared_ptr<client_connection> takeIdle(const endpoint &Server,
                                              std::int64_t Start,
                                              std::uint64_t RequestHash);
  /// Returns whether \p Connection can be reused at \p Now.
  bool isUsable(const client_connection &Connection, instant Now) const;
  /// Returns the idle connection to \p Server that was opened first and that
  /// the server has not ended; null if there is none.
  std::shared_ptr<client_connection> takeOldest(const endpoint &Server);
  void returnConnection(const std::shared_ptr<client_connection> &Connection);
  void removeIdle(const client_connection &Connection);
  /// Returns how long \p Connection is reused after it became idle.
  span_ns idleTimeout(const client_connection &Connection) const;
  /// Handles the end of the idle \p Connection by its server.
  void onIdleClosed(const client_connection &Connection);

  std::function<void(const endpoint &Server)> OnIdleLost;
  event_base *Base;
  client_pool_options Options;
  std::map<endpoint, idle_list> Idle;
  /// All connections, and some that were destroyed since the last pruning.
  std::vector<std::weak_ptr<client_connection>> Made;
  std::size_t MadeKept = 0; ///< by the last pruning
  std::uint64_t Opened = 0;
};

} // namespace ebonyvale

#endif

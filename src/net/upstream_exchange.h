/// \file
/// One request to one server and its answer, over evhttp's client.
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

/// Address of a server.
struct endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  bool operator==(const endpoint &) const = default;
  bool operator<(const endpoint &Other) const {
    return std::tie(Address, Port) < std::tie(Other.Address, Other.Port);
  }
};

/// Reads "address:port"; nothing for any other text.
std::optional<endpoint> parseEndpoint(std::string_view Text);

/// Added to read timeouts, so that the caller's deadline is always what ends
/// a request first.
inline constexpr span_ns DeadlineMargin = std::chrono::seconds(1);

/// Which connection an exchange may use.
enum class connection_use {
  Pooled, ///< an idle one if there is one
  Fresh,  ///< always a new one, so that no stale connection is written to
};

/// What is sent.
struct outgoing_request {
  endpoint Server;
  std::string Method = "POST";
  std::string Target = "/";
  std::vector<std::pair<std::string, std::string>> Headers;
  /// Sent one after the other, so that a body can be extended without a copy.
  std::vector<std::string_view> Body;
  connection_use Use = connection_use::Pooled;
  span_ns ConnectTimeout = std::chrono::seconds(1);
  span_ns ReadTimeout = std::chrono::seconds(60);
};

/// Header fields of an answer.
class answer_head {
public:
  answer_head(int Status, const evkeyvalq *Headers)
      : Status(Status), Headers(Headers) {}

  /// The status code.
  int status() const { return Status; }
  /// The first value of a header, or an empty view; valid during the call
  /// that hands over the head.
  std::string_view header(const char *Name) const;

private:
  int Status;
  const evkeyvalq *Headers;
};

/// How far an exchange had come when it was lost.
enum class exchange_stage {
  NotSent,   ///< no byte of the request has left this process
  Sent,      ///< the server may have the request
  Answering, ///< the head of the answer had arrived
};

/// Receives what happens to an exchange; nothing is called after `onComplete`
/// or `onLost`, or after a cancel.
class exchange_observer {
public:
  virtual ~exchange_observer() = default;
  virtual void onHead(const answer_head &Head) = 0;
  virtual void onBody(std::string_view Bytes) = 0;
  virtual void onComplete() = 0;
  virtual void onLost(exchange_stage Stage) = 0;
};

class connection_pool;

/// An exchange in flight. It owns itself until it has ended.
class upstream_exchange
    : public std::enable_shared_from_this<upstream_exchange> {
public:
  /// Sends \p Request. \p Observer is called from the loop, never from inside
  /// this call, and must outlive the exchange or cancel it.
  static std::shared_ptr<upstream_exchange>
  start(connection_pool &Pool, const outgoing_request &Request,
        exchange_observer &Observer);

  /// Ends the exchange and its connection without further calls.
  void cancel();

  /// Stops reading the answer until `resumeReading`.
  void pauseReading();
  void resumeReading();

private:
  upstream_exchange(connection_pool &Pool, exchange_observer &Observer)
      : Pool(Pool), Observer(&Observer) {}

  bool send(const outgoing_request &Request);
  void finish();
  void lose();
  void releaseConnection(bool Reusable);

  static int onHeadRead(evhttp_request *Request, void *Self);
  static void onChunk(evhttp_request *Request, void *Self);
  static void onDone(evhttp_request *Request, void *Self);
  static void onOutput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                       void *Self);

  connection_pool &Pool;
  exchange_observer *Observer;
  endpoint Server;
  evhttp_connection *Connection = nullptr;
  evbuffer_cb_entry *OutputWatch = nullptr;
  event_ptr ConnectDeadline;
  exchange_stage Stage = exchange_stage::NotSent;
  bool Starting = false;
  bool FailedAtOnce = false;
  std::shared_ptr<upstream_exchange> Self; ///< held while in flight
};

/// Idle connections by server.
class connection_pool {
public:
  explicit connection_pool(event_base *Base) : Base(Base) {}
  ~connection_pool();
  connection_pool(const connection_pool &) = delete;
  connection_pool &operator=(const connection_pool &) = delete;

  /// The loop on which the connections live.
  event_base *base() const { return Base; }

  /// An idle connection, or a new one that connects on first use.
  evhttp_connection *take(const endpoint &Server, connection_use Use);

  /// Takes back a connection whose last exchange was complete.
  void giveBack(const endpoint &Server, evhttp_connection *Connection);

  /// Frees a connection once no callback of it is running and keeps \p User
  /// alive until then.
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

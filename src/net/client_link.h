/// \file
/// HTTP/1.1 exchanges with servers over pooled connections. An exchange knows
/// whether any byte of its request has left, reads an answer that comes before
/// the request has been written, and never reuses a connection of which it
/// cannot say what its next bytes belong to.
#ifndef EBONYVALE_NET_CLIENT_LINK_H
#define EBONYVALE_NET_CLIENT_LINK_H

#include "common/instant.h"
#include "net/event_handles.h"
#include "net/http_message.h"
#include "net/timer.h"
#include "net/upstream_exchange.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <event2/bufferevent.h>

namespace ebonyvale {

/// What the receiver of an answer's head makes of it.
enum class head_verdict {
  Take, ///< it answers this request
  Skip, ///< it answers another one; ours may still follow
};

/// Why an exchange ended without a whole answer.
enum class loss_reason {
  ConnectFailed,
  ConnectTimeout,
  Closed,
  Reset,
  NotHttp,
};

/// How an exchange was lost.
struct exchange_loss {
  exchange_stage Stage = exchange_stage::NotSent;
  loss_reason Reason = loss_reason::Closed;
  bool ReusedConnection = false;
};

/// Receives what happens to an exchange; nothing is called after `onAnswerEnd`
/// or `onAnswerLost`, or after a cancel.
class answer_observer {
public:
  virtual ~answer_observer() = default;
  virtual head_verdict onAnswerHead(const http_head &Head,
                                    bool FirstOnLink) = 0;
  virtual void onAnswerBody(std::string_view Bytes) = 0;
  virtual void onAnswerEnd() = 0;
  virtual void onAnswerLost(const exchange_loss &Loss) = 0;
};

/// A request as it goes out; framing headers are added.
struct client_request {
  endpoint Server;
  std::string Method = "GET";
  std::string Target = "/";
  header_list Headers;
  std::string_view Body;  ///< copied by `start`
  bool FreshLink = false; ///< never on a connection used before
};

class client_links;

/// An exchange in flight together with its connection.
class client_link : public std::enable_shared_from_this<client_link>,
                    private message_sink {
public:
  client_link(client_links &Pool, const endpoint &Server);
  ~client_link() override;
  client_link(const client_link &) = delete;
  client_link &operator=(const client_link &) = delete;

  /// Ends the exchange and its connection without further calls.
  void cancel();

  /// Stops reading the answer until `resumeReading`.
  void pauseReading();
  void resumeReading();

private:
  friend class client_links;

  bool connect();
  void send(const client_request &Request, answer_observer &Target);
  bool onMessageHead(http_head &Head) override;
  void onMessageBody(std::string_view Bytes) override;
  void read();
  void completeMessage();
  void ended(loss_reason Reason, bool Orderly);
  void lose(loss_reason Reason);
  void release();
  static void onReadable(bufferevent *, void *Self);
  static void onEvent(bufferevent *, short What, void *Self);
  static void onOutput(evbuffer *, const evbuffer_cb_info *Info, void *Self);

  client_links &Pool;
  endpoint Server;
  std::unique_ptr<bufferevent, releaser<bufferevent_free>> Socket;
  message_reader Reader;
  answer_observer *Observer = nullptr; ///< null while idle
  timer ConnectDeadline;
  exchange_stage Stage = exchange_stage::NotSent;
  bool Connected = false;
  bool Skipping = false;
  bool Reusable = false; ///< the present answer lets the connection go on
  bool Crossed = false;  ///< an answer of another request was skipped
  unsigned Answers = 0;  ///< heads read on this connection
  unsigned Exchanges = 0;
  std::optional<std::int64_t> KeepAliveSeconds;
  instant IdleSince;
  std::shared_ptr<client_link> Self; ///< held while open
};

/// Terms of the pool.
struct client_pool_rules {
  /// Longest time to set up a connection. Above a round trip between regions
  /// (tens of ms), below the time in which a caller gives up (1 s).
  span_ns ConnectTimeout = std::chrono::milliseconds(300);
  /// Unacknowledged bytes end a connection after it.
  span_ns SilenceLimit = std::chrono::milliseconds(2000);
  /// Idle connections are used again within it where the server names no time:
  /// servers name whole seconds only, so theirs may be below one.
  span_ns UnnamedIdleLimit = std::chrono::milliseconds(300);
  /// Taken off the time that the server names, which counts from when it sent
  /// its answer: a round trip between regions and late wake-ups.
  span_ns KeepAliveMargin = std::chrono::milliseconds(300);
  /// Idle connections kept for each server.
  std::size_t MaxIdle = 16;
};

/// Idle connections by server, and the way to start exchanges.
class client_links {
public:
  client_links(event_base *Base, const client_pool_rules &Rules)
      : Base(Base), Rules(Rules) {}
  ~client_links();
  client_links(const client_links &) = delete;
  client_links &operator=(const client_links &) = delete;

  /// Sends \p Request. \p Observer is called from the loop, never from inside
  /// this call, and must outlive the exchange or cancel it.
  std::shared_ptr<client_link> start(const client_request &Request,
                                     answer_observer &Observer);

  /// Closes the idle connections to \p Server.
  void forget(const endpoint &Server);

  /// Connections opened so far.
  std::uint64_t opened() const { return Opened; }
  event_base *base() const { return Base; }
  const client_pool_rules &rules() const { return Rules; }

private:
  friend class client_link;
  using idle_list = std::deque<std::shared_ptr<client_link>>;

  std::shared_ptr<client_link> takeIdle(const endpoint &Server);
  void giveBack(const std::shared_ptr<client_link> &Link);
  void drop(const client_link &Link);

  event_base *Base;
  client_pool_rules Rules;
  std::map<endpoint, idle_list> Idle;
  std::uint64_t Opened = 0;
};

} // namespace ebonyvale

#endif

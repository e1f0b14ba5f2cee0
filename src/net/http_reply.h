/// \file
/// The answer side of a server's request: whole answers, event streams with
/// back-pressure, and notice of a client that goes away.
#ifndef EBONYVALE_NET_HTTP_REPLY_H
#define EBONYVALE_NET_HTTP_REPLY_H

#include "net/http_server.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

struct evhttp_connection;

namespace ebonyvale {

/// Hears of what happens to a reply.
class reply_observer {
public:
  virtual ~reply_observer() = default;
  /// The client has closed its connection; the reply is over.
  virtual void onClientGone() = 0;
  /// All that was written has left.
  virtual void onDrained() = 0;
};

/// Wraps an evhttp request until its answer has ended.
class http_reply {
public:
  http_reply(evhttp_request *Request, reply_observer &Observer);
  ~http_reply();
  http_reply(const http_reply &) = delete;
  http_reply &operator=(const http_reply &) = delete;

  /// The request; only while `open`.
  evhttp_request *request() const { return Request; }
  bool open() const { return Request != nullptr; }
  bool streaming() const { return Streaming; }

  /// Adds a header; only before the answer has begun.
  void header(const char *Name, const std::string &Value);

  /// Sends a whole answer and ends.
  void sendWhole(int Status, const std::string &ContentType,
                 std::string_view Body);

  /// Begins a stream of server-sent events.
  void startStream();

  /// Sends a part of the stream.
  void sendPart(std::string_view Bytes);

  /// Ends the stream.
  void endStream();

  /// Bytes that the client has not taken yet.
  std::size_t unsentBytes() const;

  /// Replies on this thread's loop that have ended but whose last bytes have
  /// not left yet.
  static std::size_t unflushed();

private:
  static void onFlushed(evhttp_request *Ended, void *);
  static void onClosedUnflushed(evhttp_connection *, void *);
  static void onClose(evhttp_connection *, void *Self);
  static void onWritten(evhttp_connection *, void *Self);
  evhttp_request *detach();

  evhttp_request *Request;
  reply_observer *Observer;
  bool Streaming = false;
};

} // namespace ebonyvale

#endif

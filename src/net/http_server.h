/// \file
/// A listening HTTP server on an event loop and helpers for its requests.
#ifndef EBONYVALE_NET_HTTP_SERVER_H
#define EBONYVALE_NET_HTTP_SERVER_H

#include "common/instant.h"
#include "common/result.h"
#include "net/arrival_deadline.h"
#include "net/event_handles.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Bounds on what a server accepts.
struct http_bounds {
  std::size_t HeaderBytes = 64 * 1024;
  std::size_t BodyBytes = 8 * 1024 * 1024;
  std::chrono::seconds ReadTimeout{30};
};

/// Serves HTTP/1.1 with evhttp on one address.
class http_server {
public:
  using handler = std::function<void(evhttp_request *)>;

  /// \p Handler gets every request that evhttp could read.
  http_server(event_base *Base, http_bounds Bounds, handler Handler);

  /// Binds \p Address; port 0 takes a free one. Fails with `SettingsInvalid`
  /// when the address cannot be bound.
  std::optional<failure> listen(const std::string &Address, std::uint16_t Port);

  /// Answers requests that take longer than \p Limit to arrive with what
  /// \p MakeAnswer returns, a raw HTTP message, and closes their connections.
  void limitArrival(span_ns Limit, arrival_deadline::answer_maker MakeAnswer);

  /// Takes no further connections; those that are open go on.
  void stopListening();

  /// The bound port.
  std::uint16_t port() const { return BoundPort; }

private:
  static void onRequest(evhttp_request *Request, void *Self);

  event_base *Base;
  handler Handler;
  std::unique_ptr<arrival_deadline> Arrivals; ///< outlives the server
  evhttp_ptr Server;
  evhttp_bound_socket *Socket = nullptr;
  std::uint16_t BoundPort = 0;
};

/// The first value of an input header, or an empty view.
std::string_view inputHeader(evhttp_request *Request, const char *Name);

/// Sets a header of the answer.
void setOutputHeader(evhttp_request *Request, const char *Name,
                     const std::string &Value);

/// The body of a request; valid as long as the request.
std::string_view inputBody(evhttp_request *Request);

/// The path of a request without its query.
std::string_view requestPath(evhttp_request *Request);

/// The raw query of a request, without the question mark.
std::string_view requestQuery(evhttp_request *Request);

/// The request's method as on the wire.
std::string_view methodName(evhttp_request *Request);

/// Sends a whole answer.
void sendAnswer(evhttp_request *Request, int Status,
                const std::string &ContentType, std::string_view Body);

/// A request whose answer comes later. Notices when the client has gone.
class detached_reply {
public:
  explicit detached_reply(evhttp_request *Request);
  ~detached_reply();
  detached_reply(const detached_reply &) = delete;
  detached_reply &operator=(const detached_reply &) = delete;

  /// Hands the request over for answering; null when the client has gone.
  evhttp_request *take();

private:
  static void onClose(evhttp_connection *, void *Self);

  evhttp_request *Request;
};

/// The standard reason phrase of a status code.
const char *reasonPhrase(int Status);

} // namespace ebonyvale

#endif

/// \file
/// An HTTP server based on evhttp and helpers for its requests.
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

/// Limits on the requests that a server accepts.
struct http_bounds {
  std::size_t HeaderBytes = 64 * 1024;
  std::size_t BodyBytes = 8 * 1024 * 1024;
  std::chrono::seconds ReadTimeout{30};
};

/// Serves HTTP/1.1 on one address.
class http_server {
public:
  /// Handles a request. The response may be sent later.
  using handler = std::function<void(evhttp_request *)>;

  /// \p Handler gets every request that evhttp could parse.
  http_server(event_base *Base, http_bounds Bounds, handler Handler);

  /// Binds \p Address and \p Port; port 0 selects a free port. Returns
  /// `SettingsInvalid` if the address cannot be bound.
  std::optional<failure> listen(const std::string &Address, std::uint16_t Port);

  /// Closes connections whose first request takes longer than \p Limit to be
  /// received, after sending the raw HTTP response that \p MakeResponse
  /// returns. What connections hold counts in \p Memory, unless that is null.
  /// Must be called before `listen`.
  void setArrivalDeadline(span_ns Limit,
                          arrival_deadline::response_factory MakeResponse,
                          caller_memory *Memory = nullptr);

  /// Stops accepting connections. Open connections are not affected.
  void stopListening();

  /// Returns the bound port.
  std::uint16_t port() const { return BoundPort; }

private:
  static void onRequest(evhttp_request *Request, void *Self);

  event_base *Base;
  http_bounds Bounds;
  handler Handler;
  std::unique_ptr<arrival_deadline> ArrivalDeadline; ///< must outlive `Server`
  evhttp_ptr Server;
  evhttp_bound_socket *Socket = nullptr;
  std::uint16_t BoundPort = 0;
};

/// Returns the first value of the request header \p Name; empty if it is
/// absent.
std::string_view inputHeader(evhttp_request *Request, const char *Name);

/// Sets the response header \p Name, replacing its value.
void setOutputHeader(evhttp_request *Request, const char *Name,
                     const std::string &Value);

/// Returns the body of \p Request; valid as long as the request.
std::string_view inputBody(evhttp_request *Request);

/// Returns the path of \p Request without its query.
std::string_view requestPath(evhttp_request *Request);

/// Returns the raw query of \p Request without the question mark.
std::string_view requestQuery(evhttp_request *Request);

/// Returns the method of \p Request as on the wire, or "OTHER".
std::string_view methodName(evhttp_request *Request);

/// Sends a complete response. The one to a HEAD request has the header
/// `Content-Length` of the request's output, if it is set, instead of the
/// length of \p Body.
void sendResponse(evhttp_request *Request, int Status,
                  const std::string &ContentType, std::string_view Body);

/// A request whose response is sent later. Tracks whether the client is still
/// connected. If it is destroyed without `take`, it responds with status 500.
class deferred_response {
public:
  explicit deferred_response(evhttp_request *Request);
  ~deferred_response();
  deferred_response(const deferred_response &) = delete;
  deferred_response &operator=(const deferred_response &) = delete;

  /// Returns the request and gives up its ownership; null if the client has
  /// disconnected.
  evhttp_request *take();

private:
  static void onClose(evhttp_connection *, void *Self);

  evhttp_request *Request;
};

/// Returns the standard reason phrase of a status code, or "Status".
const char *reasonPhrase(int Status);

} // namespace ebonyvale

#endif

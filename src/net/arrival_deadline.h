/// \file
/// Closes connections whose first request is not received in time.
#ifndef EBONYVALE_NET_ARRIVAL_DEADLINE_H
#define EBONYVALE_NET_ARRIVAL_DEADLINE_H

#include "net/event_handles.h"
#include "net/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct bufferevent;
struct evhttp_connection;

namespace ebonyvale {

/// Limits the time from the first byte of a connection's first request until
/// the request is complete, for one evhttp server. evhttp's own timeout
/// restarts with each byte, so that a client which sends a byte now and then
/// could hold its connection indefinitely, and it closes the connection without
/// a response. Later requests on a connection are subject to evhttp's timeout
/// only.
class arrival_deadline {
public:
  /// Returns the raw HTTP response to a request that missed the deadline.
  using response_factory = std::function<std::string()>;

  /// Installs itself in \p Server, which it must outlive.
  arrival_deadline(event_base *Base, evhttp *Server, span_ns Limit,
                   response_factory MakeResponse);
  ~arrival_deadline();
  arrival_deadline(const arrival_deadline &) = delete;
  arrival_deadline &operator=(const arrival_deadline &) = delete;

  /// Removes the deadline of \p Connection. Must be called when a request on it
  /// is complete.
  void onRequestComplete(evhttp_connection *Connection);

private:
  struct arrival;

  static bufferevent *onConnection(event_base *Base, void *Self);
  void expire(arrival &Arrival);

  event_base *Base;
  span_ns Limit;
  response_factory MakeResponse;
  std::map<bufferevent *, std::unique_ptr<arrival>> Arrivals;
};

} // namespace ebonyvale

#endif

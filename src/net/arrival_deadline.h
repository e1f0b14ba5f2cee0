/// \file
/// Ends connections whose first request does not arrive in time.
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

/// Watches the new connections of one evhttp server. evhttp's own timeout
/// counts from the last byte, so a caller that sends a byte now and then would
/// hold its connection for ever, and it is closed without an answer. Later
/// requests of a connection have only evhttp's timeout.
class arrival_deadline {
public:
  /// Makes the raw answer to a request that was too slow.
  using answer_maker = std::function<std::string()>;

  arrival_deadline(event_base *Base, evhttp *Server, span_ns Limit,
                   answer_maker MakeAnswer);
  ~arrival_deadline();
  arrival_deadline(const arrival_deadline &) = delete;
  arrival_deadline &operator=(const arrival_deadline &) = delete;

  /// A request of this connection has arrived.
  void onArrived(evhttp_connection *Connection);

private:
  struct arrival;

  static bufferevent *onConnection(event_base *Base, void *Self);
  void expire(arrival &Arrival);

  event_base *Base;
  span_ns Limit;
  answer_maker MakeAnswer;
  std::map<bufferevent *, std::unique_ptr<arrival>> Arrivals;
};

} // namespace ebonyvale

#endif

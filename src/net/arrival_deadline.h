/// \file
/// Watches the connections of an evhttp server: closes those whose first
/// request is not received in time, and counts the memory that they hold.
#ifndef EBONYVALE_NET_ARRIVAL_DEADLINE_H
#define EBONYVALE_NET_ARRIVAL_DEADLINE_H

#include "decisions/process/caller_memory.h"
#include "net/event_handles.h"
#include "net/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct bufferevent;
struct evhttp_connection;
struct evconnlistener;

namespace ebonyvale {

/// Why a connection is closed before its first request is complete.
enum class arrival_failure { TimedOut, TooManyFields, NoMemory };

/// Limits the time from the first byte of a connection's first request until
/// the request is complete, for one evhttp server. evhttp's own timeout
/// restarts with each byte, so that a client which sends a byte now and then
/// could hold its connection indefinitely, and it closes the connection without
/// a response. Later requests on a connection are subject to evhttp's timeout
/// only.
///
/// With a budget, it also counts what evhttp holds of a request that is being
/// read and of responses, as seen from outside, and limits the number of
/// connections.
class arrival_deadline {
public:
  /// Returns the raw HTTP response to a request that is not read to its end.
  using response_factory = std::function<std::string(arrival_failure)>;

  /// Installs itself in \p Server, which it must outlive. \p Memory is null or
  /// must outlive this. \p MaxRequestBytes is what evhttp reads of a request.
  arrival_deadline(event_base *Base, evhttp *Server, span_ns Limit,
                   response_factory MakeResponse, caller_memory *Memory,
                   std::size_t MaxRequestBytes);
  ~arrival_deadline();
  arrival_deadline(const arrival_deadline &) = delete;
  arrival_deadline &operator=(const arrival_deadline &) = delete;

  /// Removes the deadline of \p Connection. Must be called when a request on it
  /// is complete.
  void onRequestComplete(evhttp_connection *Connection);

  /// Sets the listener that pauses while there are too many connections; null
  /// before it is freed.
  void setListener(evconnlistener *Value) { Listener = Value; }

private:
  struct arrival;

  static bufferevent *onConnection(event_base *Base, void *Self);
  void expire(arrival &Arrival);
  /// Forgets the connections that evhttp has freed.
  void onPoll();

  event_base *Base;
  span_ns Limit;
  response_factory MakeResponse;
  caller_memory *Memory;
  std::size_t MaxRequestBytes;
  evconnlistener *Listener = nullptr;
  bool Paused = false; ///< the listener accepts nothing
  timer PollTimer;
  std::map<bufferevent *, std::unique_ptr<arrival>> Arrivals;
};

} // namespace ebonyvale

#endif

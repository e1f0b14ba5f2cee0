#include "net/arrival_deadline.h"

#include <sys/socket.h>

#include <utility>

#include <event2/bufferevent.h>

namespace ebonyvale {
namespace {

/// Time to flush the response before the connection is closed.
constexpr span_ns FlushTimeout = std::chrono::milliseconds(200);

} // namespace

/// A connection whose first request has not been received completely. Holds a
/// reference to the bufferevent, since evhttp does not report when it frees it.
struct arrival_deadline::arrival {
  arrival(arrival_deadline &Owner, bufferevent *Socket)
      : Socket(Socket),
        Deadline(Owner.Base, [this, &Owner] { Owner.expire(*this); }),
        Limit(Owner.Limit),
        InputCallback(evbuffer_add_cb(bufferevent_get_input(Socket),
                                      &arrival::onInput, this)) {
    bufferevent_incref(Socket);
    Deadline.startOnce(Limit);
  }
  ~arrival() {
    evbuffer_remove_cb_entry(bufferevent_get_input(Socket), InputCallback);
    bufferevent_decref(Socket);
  }
  arrival(const arrival &) = delete;
  arrival &operator=(const arrival &) = delete;

  static void onInput(evbuffer *, const evbuffer_cb_info *Info, void *Self) {
    auto *Arrival = static_cast<arrival *>(Self);
    // A connection may be idle at first, so the deadline counts from the first
    // byte of the request.
    if (Info->n_added == 0 || std::exchange(Arrival->Started, true))
      return;
    Arrival->Deadline.startOnce(Arrival->Limit);
  }

  bufferevent *Socket;
  timer Deadline;
  span_ns Limit;
  evbuffer_cb_entry *InputCallback;
  bool Started = false;
  bool ResponseSent = false;
};

arrival_deadline::arrival_deadline(event_base *Base, evhttp *Server,
                                   span_ns Limit, response_factory MakeResponse)
    : Base(Base), Limit(Limit), MakeResponse(std::move(MakeResponse)) {
  evhttp_set_bevcb(Server, &arrival_deadline::onConnection, this);
}

arrival_deadline::~arrival_deadline() = default;

void arrival_deadline::onRequestComplete(evhttp_connection *Connection) {
  Arrivals.erase(evhttp_connection_get_bufferevent(Connection));
}

bufferevent *arrival_deadline::onConnection(event_base *Base, void *Self) {
  auto *Owner = static_cast<arrival_deadline *>(Self);
  bufferevent *Socket = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (Socket)
    Owner->Arrivals[Socket] = std::make_unique<arrival>(*Owner, Socket);
  return Socket;
}

void arrival_deadline::expire(arrival &Arrival) {
  bufferevent *Socket = Arrival.Socket;
  // A connection without a request gets no response. It is closed, since one
  // that is no longer watched could send a request a byte at a time.
  if (!Arrival.Started || std::exchange(Arrival.ResponseSent, true)) {
    // Makes evhttp read the end of the connection and free it.
    shutdown(bufferevent_getfd(Socket), SHUT_RDWR);
    bufferevent_enable(Socket, EV_READ);
    Arrivals.erase(Socket);
    return;
  }
  const std::string Response = MakeResponse();
  bufferevent_disable(Socket, EV_READ);
  bufferevent_enable(Socket, EV_WRITE);
  bufferevent_write(Socket, Response.data(), Response.size());
  Arrival.Deadline.startOnce(FlushTimeout);
}

} // namespace ebonyvale

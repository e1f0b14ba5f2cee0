#include "net/arrival_deadline.h"

#include <sys/socket.h>

#include <utility>

#include <event2/bufferevent.h>

namespace ebonyvale {
namespace {

/// Time for the answer to leave before the connection is closed.
constexpr span_ns FlushTime = std::chrono::milliseconds(200);

} // namespace

/// A connection whose first request is on its way. It holds a reference to the
/// socket, since evhttp does not say when it lets go of it.
struct arrival_deadline::arrival {
  arrival(arrival_deadline &Owner, bufferevent *Socket)
      : Socket(Socket),
        Deadline(Owner.Base, [this, &Owner] { Owner.expire(*this); }),
        Limit(Owner.Limit), Watch(evbuffer_add_cb(bufferevent_get_input(Socket),
                                                  &arrival::onInput, this)) {
    bufferevent_incref(Socket);
    Deadline.startOnce(Limit);
  }
  ~arrival() {
    evbuffer_remove_cb_entry(bufferevent_get_input(Socket), Watch);
    bufferevent_decref(Socket);
  }
  arrival(const arrival &) = delete;
  arrival &operator=(const arrival &) = delete;

  static void onInput(evbuffer *, const evbuffer_cb_info *Info, void *Self) {
    auto *Arrival = static_cast<arrival *>(Self);
    // The clock starts with the first byte: a connection may stay idle.
    if (Info->n_added == 0 || std::exchange(Arrival->Begun, true))
      return;
    Arrival->Deadline.startOnce(Arrival->Limit);
  }

  bufferevent *Socket;
  timer Deadline;
  span_ns Limit;
  evbuffer_cb_entry *Watch;
  bool Begun = false;
  bool Answered = false;
};

arrival_deadline::arrival_deadline(event_base *Base, evhttp *Server,
                                   span_ns Limit, answer_maker MakeAnswer)
    : Base(Base), Limit(Limit), MakeAnswer(std::move(MakeAnswer)) {
  evhttp_set_bevcb(Server, &arrival_deadline::onConnection, this);
}

arrival_deadline::~arrival_deadline() = default;

void arrival_deadline::onArrived(evhttp_connection *Connection) {
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
  if (!Arrival.Begun) {
    Arrivals.erase(Socket);
    return;
  }
  if (std::exchange(Arrival.Answered, true)) {
    // evhttp sees the end of the connection and closes it.
    shutdown(bufferevent_getfd(Socket), SHUT_RDWR);
    bufferevent_enable(Socket, EV_READ);
    Arrivals.erase(Socket);
    return;
  }
  const std::string Answer = MakeAnswer();
  bufferevent_disable(Socket, EV_READ);
  bufferevent_enable(Socket, EV_WRITE);
  bufferevent_write(Socket, Answer.data(), Answer.size());
  Arrival.Deadline.startOnce(FlushTime);
}

} // namespace ebonyvale

/// \file
/// An exchange of a client that speaks HTTP/1.0: it knows no chunks, and the
/// end of its connection is the end of the response.
#ifndef EBONYVALE_TESTS_SOAK_HTTP10_EXCHANGE_H
#define EBONYVALE_TESTS_SOAK_HTTP10_EXCHANGE_H

#include "net/client_connection.h"
#include "net/event_handles.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <event2/bufferevent.h>

namespace ebonyvale {

/// Sends one request on a connection of its own. A response is complete if the
/// connection closes in order, unless it states a length and is shorter.
/// Nothing is called once it has been destroyed.
class http10_exchange {
public:
  /// \p OnFraming is called with what the client cannot read, before the end of
  /// the response.
  http10_exchange(event_base *Base, const client_request &Request,
                  response_observer &Observer,
                  std::function<void(const std::string &What)> OnFraming);

private:
  static void onReadable(bufferevent *, void *Self);
  static void onEvent(bufferevent *, short What, void *Self);
  /// Takes the head from `Received`, once it is there.
  void readHead();
  void onClosed();
  void checkFraming() const;

  response_observer &Observer;
  std::function<void(const std::string &)> OnFraming;
  std::unique_ptr<bufferevent, releaser<bufferevent_free>> Socket;
  std::string Received; ///< the head, as far as it has arrived
  http_head Head;
  bool Connected = false;
  std::string Begin;      ///< of the body
  std::int64_t Bytes = 0; ///< of the body
};

} // namespace ebonyvale

#endif

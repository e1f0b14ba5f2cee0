#include "common/store_front.h"

#include "net/timer.h"

#include <utility>

namespace ebonyvale {

void watched_store::watch(const std::string &Prefix, std::int64_t Revision,
                          span_ns Wait, items_callback Done) {
  NewestEnded = std::make_shared<bool>(false);
  Store.watch(
      Prefix, Revision, Wait,
      [Ended = NewestEnded, Done = std::move(Done)](const store_items &Found) {
        if (!std::exchange(*Ended, true))
          Done(Found);
      });
}

store_front::store_front(event_base *Base, fleet_store &Client)
    : Store(Client), Server(Base, Store), Links(Base, *this) {
  Links.listen("127.0.0.1", 0);
}

void store_front::onRequest(const std::shared_ptr<server_connection> &Link,
                            http_request Request) {
  const span_ns After = CutAfter();
  const bool IsWatch = targetPath(Request.Head.Target) == "/v1/kv-watch";
  Server.onRequest(Link, std::move(Request));
  if (!IsWatch || After <= span_ns(0))
    return;
  callAfter(Links.base(), After, [this, Link, Ended = Store.NewestEnded] {
    if (std::exchange(*Ended, true) || !Link->open())
      return;
    ++Cuts;
    Link->abortResponse();
  });
}

void store_front::onRequestError(server_connection &Link, request_error) {
  constexpr int Invalid = 400;
  Link.writeResponse(Invalid, {}, "");
}

} // namespace ebonyvale

/// \file
/// A fake of the platform's instance list.
#ifndef EBONYVALE_FAKES_INSTANCE_LIST_SERVER_H
#define EBONYVALE_FAKES_INSTANCE_LIST_SERVER_H

#include "net/http_server.h"

#include <string>

namespace ebonyvale {

/// Responds to every request with the JSON text that `POST /control` or
/// `setList` set last.
class instance_list_server {
public:
  explicit instance_list_server(event_base *Base);

  std::optional<failure> listen(const std::string &Address,
                                std::uint16_t Port) {
    return Server.listen(Address, Port);
  }
  std::uint16_t port() const { return Server.port(); }

  void setList(std::string Json) { List = std::move(Json); }

private:
  void onRequest(evhttp_request *Request);

  std::string List = "[]";
  http_server Server;
};

} // namespace ebonyvale

#endif

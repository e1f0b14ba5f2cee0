/// \file
/// A stand-in for the platform's list of instances.
#ifndef EBONYVALE_FAKES_INSTANCE_LIST_SERVER_H
#define EBONYVALE_FAKES_INSTANCE_LIST_SERVER_H

#include "net/http_server.h"

#include <string>

namespace ebonyvale {

/// Serves at `GET /instances` whatever was last sent to `POST /control`.
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

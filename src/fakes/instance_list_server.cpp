#include "fakes/instance_list_server.h"

namespace ebonyvale {

instance_list_server::instance_list_server(event_base *Base)
    : Server(Base, http_bounds{},
             [this](evhttp_request *Request) { onRequest(Request); }) {}

void instance_list_server::onRequest(evhttp_request *Request) {
  if (requestPath(Request) == "/control")
    List = inputBody(Request);
  sendResponse(Request, 200, "application/json", List);
}

} // namespace ebonyvale

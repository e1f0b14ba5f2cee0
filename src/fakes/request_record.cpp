#include "fakes/request_record.h"

#include "net/http_server.h"

#include <algorithm>

#include <event2/keyvalq_struct.h>

namespace ebonyvale {

void request_record::add(evhttp_request *Request) {
  ++Seen;
  std::string Text(evhttp_request_get_uri(Request));
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
  for (const evkeyval *Header = Headers->tqh_first; Header;
       Header = Header->next.tqe_next) {
    Text += '\n';
    Text += Header->key;
    Text += ": ";
    Text += Header->value;
  }
  Text += '\n';
  Text += inputBody(Request);
  Kept.push_back(std::move(Text));
  if (Kept.size() > MaxKept)
    Kept.pop_front();
}

std::size_t request_record::countContaining(std::string_view Text) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Kept, [Text](const std::string &Request) {
        return Request.find(Text) != std::string::npos;
      }));
}

} // namespace ebonyvale

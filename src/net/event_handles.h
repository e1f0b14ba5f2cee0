/// \file
/// Owning handles for libevent objects.
#ifndef EBONYVALE_NET_EVENT_HANDLES_H
#define EBONYVALE_NET_EVENT_HANDLES_H

#include <memory>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

namespace ebonyvale {

/// Deleter that calls the release function \p Release.
template <auto Release> struct releaser {
  template <typename Handle> void operator()(Handle *Value) const {
    Release(Value);
  }
};

using event_base_ptr = std::unique_ptr<event_base, releaser<event_base_free>>;
using event_ptr = std::unique_ptr<event, releaser<event_free>>;
using evhttp_ptr = std::unique_ptr<evhttp, releaser<evhttp_free>>;
using evbuffer_ptr = std::unique_ptr<evbuffer, releaser<evbuffer_free>>;
using evhttp_uri_ptr = std::unique_ptr<evhttp_uri, releaser<evhttp_uri_free>>;

} // namespace ebonyvale

#endif

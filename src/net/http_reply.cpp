#include "net/http_reply.h"

#include <utility>

#include <event2/bufferevent.h>

namespace ebonyvale {
namespace {

thread_local std::size_t Unflushed = 0;

} // namespace

http_reply::http_reply(evhttp_request *Request, reply_observer &Observer)
    : Request(Request), Observer(&Observer) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(Request),
                                &http_reply::onClose, this);
}

http_reply::~http_reply() {
  if (!Request)
    return;
  if (Streaming)
    endStream();
  else
    sendWhole(500, "text/plain", "");
}

void http_reply::header(const char *Name, const std::string &Value) {
  if (Request)
    setOutputHeader(Request, Name, Value);
}

void http_reply::sendWhole(int Status, const std::string &ContentType,
                           std::string_view Body) {
  if (!Request)
    return;
  sendAnswer(detach(), Status, ContentType, Body);
}

void http_reply::startStream() {
  if (!Request)
    return;
  Streaming = true;
  setOutputHeader(Request, "Content-Type", "text/event-stream");
  setOutputHeader(Request, "Cache-Control", "no-cache");
  evhttp_send_reply_start(Request, 200, "OK");
}

void http_reply::sendPart(std::string_view Bytes) {
  if (!Request)
    return;
  const evbuffer_ptr Part(evbuffer_new());
  evbuffer_add(Part.get(), Bytes.data(), Bytes.size());
  evhttp_send_reply_chunk_with_cb(Request, Part.get(), &http_reply::onWritten,
                                  this);
}

void http_reply::endStream() {
  if (!Request)
    return;
  evhttp_send_reply_end(detach());
}

std::size_t http_reply::unsentBytes() const {
  if (!Request)
    return 0;
  bufferevent *Socket =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(Request));
  return evbuffer_get_length(bufferevent_get_output(Socket));
}

void http_reply::onClose(evhttp_connection *, void *Self) {
  auto *Reply = static_cast<http_reply *>(Self);
  // evhttp frees the request together with its connection.
  Reply->Request = nullptr;
  Reply->Observer->onClientGone();
}

void http_reply::onWritten(evhttp_connection *, void *Self) {
  auto *Reply = static_cast<http_reply *>(Self);
  if (Reply->Request)
    Reply->Observer->onDrained();
}

evhttp_request *http_reply::detach() {
  evhttp_request *Ended = std::exchange(Request, nullptr);
  ++Unflushed;
  evhttp_request_set_on_complete_cb(Ended, &http_reply::onFlushed, nullptr);
  evhttp_connection_set_closecb(evhttp_request_get_connection(Ended),
                                &http_reply::onClosedUnflushed, nullptr);
  return Ended;
}

std::size_t http_reply::unflushed() { return Unflushed; }

void http_reply::onFlushed(evhttp_request *Ended, void *) {
  --Unflushed;
  evhttp_connection_set_closecb(evhttp_request_get_connection(Ended), nullptr,
                                nullptr);
}

void http_reply::onClosedUnflushed(evhttp_connection *, void *) { --Unflushed; }

} // namespace ebonyvale

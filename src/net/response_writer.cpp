#include "net/response_writer.h"

#include "net/socket_options.h"

#include <sys/socket.h>

#include <utility>

#include <event2/bufferevent.h>
#include <event2/http_struct.h>

namespace ebonyvale {
namespace {

/// Ended responses whose last bytes have not been written to the socket.
thread_local std::size_t Unflushed = 0;

bufferevent *socketOf(evhttp_request *Request) {
  return evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(Request));
}

} // namespace

response_writer::response_writer(evhttp_request *Request,
                                 response_writer_observer &Observer)
    : Request(Request), Observer(&Observer) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(Request),
                                &response_writer::onClose, this);
}

response_writer::~response_writer() {
  if (!Request)
    return;
  if (Streaming)
    abortStream();
  else
    sendComplete(500, "text/plain", "");
}

void response_writer::header(const char *Name, const std::string &Value) {
  if (Request)
    setOutputHeader(Request, Name, Value);
}

void response_writer::sendComplete(int Status, const std::string &ContentType,
                                   std::string_view Body) {
  if (!Request)
    return;
  sendResponse(detach(), Status, ContentType, Body);
}

void response_writer::delimitByClose() {
  CloseDelimited = true;
  // evhttp would announce an empty body to keep such a connection.
  evhttp_remove_header(evhttp_request_get_input_headers(Request), "Connection");
  // The system would otherwise end the response in order if this process ends.
  resetOnClose(socketOf(Request));
}

void response_writer::sendUnframed(int Status, const std::string &ContentType,
                                   std::string_view Body) {
  if (!Request)
    return;
  // evhttp leaves out the length for HTTP/1.0 only.
  Request->major = 1;
  Request->minor = 0;
  delimitByClose();
  setOutputHeader(Request, "Content-Type", ContentType);
  const evbuffer_ptr Buffer(evbuffer_new());
  evbuffer_add(Buffer.get(), Body.data(), Body.size());
  evhttp_send_reply(detach(), Status, reasonPhrase(Status), Buffer.get());
}

void response_writer::startStream() {
  if (!Request)
    return;
  Streaming = true;
  CloseDelimited =
      Request->major < 1 || (Request->major == 1 && Request->minor < 1);
  if (CloseDelimited)
    delimitByClose();
  setOutputHeader(Request, "Content-Type", "text/event-stream");
  setOutputHeader(Request, "Cache-Control", "no-cache");
  evhttp_send_reply_start(Request, 200, "OK");
}

void response_writer::sendChunk(std::string_view Bytes) {
  if (!Request)
    return;
  const evbuffer_ptr Chunk(evbuffer_new());
  evbuffer_add(Chunk.get(), Bytes.data(), Bytes.size());
  evhttp_send_reply_chunk_with_cb(Request, Chunk.get(),
                                  &response_writer::onWritten, this);
}

void response_writer::endStream() {
  if (!Request)
    return;
  evhttp_send_reply_end(detach());
}

void response_writer::abortStream() {
  evhttp_connection *Connection =
      evhttp_request_get_connection(std::exchange(Request, nullptr));
  evhttp_connection_set_closecb(Connection, nullptr, nullptr);
  bufferevent *Socket = evhttp_connection_get_bufferevent(Connection);
  // evhttp may be using the connection; it reads the end and frees it.
  if (CloseDelimited)
    resetNow(Socket);
  else
    shutdown(bufferevent_getfd(Socket), SHUT_RD);
}

std::size_t response_writer::unsentBytes() const {
  if (!Request)
    return 0;
  return evbuffer_get_length(bufferevent_get_output(socketOf(Request)));
}

void response_writer::onClose(evhttp_connection *Connection, void *Self) {
  auto *Writer = static_cast<response_writer *>(Self);
  // evhttp ends the stream in order when it frees a connection.
  if (Writer->CloseDelimited)
    resetNow(evhttp_connection_get_bufferevent(Connection));
  // evhttp frees the request together with its connection.
  Writer->Request = nullptr;
  Writer->Observer->onClientDisconnected();
}

void response_writer::onWritten(evhttp_connection *, void *Self) {
  auto *Writer = static_cast<response_writer *>(Self);
  if (Writer->Request)
    Writer->Observer->onDrained();
}

evhttp_request *response_writer::detach() {
  evhttp_request *Ended = std::exchange(Request, nullptr);
  ++Unflushed;
  evhttp_request_set_on_complete_cb(Ended, &response_writer::onFlushed,
                                    nullptr);
  evhttp_connection_set_closecb(evhttp_request_get_connection(Ended),
                                CloseDelimited
                                    ? &response_writer::onStreamClosedUnflushed
                                    : &response_writer::onClosedUnflushed,
                                nullptr);
  return Ended;
}

std::size_t response_writer::unflushedCount() { return Unflushed; }

void response_writer::onFlushed(evhttp_request *Ended, void *) {
  --Unflushed;
  finishOnClose(socketOf(Ended));
  evhttp_connection_set_closecb(evhttp_request_get_connection(Ended), nullptr,
                                nullptr);
}

void response_writer::onClosedUnflushed(evhttp_connection *, void *) {
  --Unflushed;
}

void response_writer::onStreamClosedUnflushed(evhttp_connection *Connection,
                                              void *) {
  --Unflushed;
  resetNow(evhttp_connection_get_bufferevent(Connection));
}

} // namespace ebonyvale

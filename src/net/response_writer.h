/// \file
/// Writes the response to a request of an evhttp server, complete or as an
/// event stream with back-pressure, and reports when the client disconnects.
#ifndef EBONYVALE_NET_RESPONSE_WRITER_H
#define EBONYVALE_NET_RESPONSE_WRITER_H

#include "net/http_server.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

struct evhttp_connection;

namespace ebonyvale {

/// Receives the events of a response.
class response_writer_observer {
public:
  virtual ~response_writer_observer() = default;
  /// Called when the client has closed its connection. Nothing more can be
  /// sent.
  virtual void onClientDisconnected() = 0;
  /// Called when all written bytes have been sent to the socket.
  virtual void onDrained() = 0;
};

/// Owns an evhttp request until its response has ended. If it is destroyed
/// before, it breaks off an open stream or responds with status 500.
class response_writer {
public:
  response_writer(evhttp_request *Request, response_writer_observer &Observer);
  ~response_writer();
  response_writer(const response_writer &) = delete;
  response_writer &operator=(const response_writer &) = delete;

  /// Returns the request; null unless `open`.
  evhttp_request *request() const { return Request; }
  /// Returns whether the response has neither ended nor lost its client.
  bool open() const { return Request != nullptr; }
  /// Returns whether a stream has been started.
  bool streaming() const { return Streaming; }

  /// Sets a response header. Has no effect after the response has started.
  void header(const char *Name, const std::string &Value);

  /// Sends a complete response.
  void sendComplete(int Status, const std::string &ContentType,
                    std::string_view Body);

  /// Sends a response that ends with its connection, which is reset if not all
  /// of it can be sent.
  void sendUnframed(int Status, const std::string &ContentType,
                    std::string_view Body);

  /// Starts a stream of server-sent events with status 200.
  void startStream();

  /// Sends \p Bytes as the next chunk of the stream.
  void sendChunk(std::string_view Bytes);

  /// Ends the stream.
  void endStream();

  /// Returns the number of bytes that wait to be sent to the socket.
  std::size_t unsentBytes() const;

  /// Returns the number of this thread's responses that have ended but whose
  /// last bytes have not been sent to the socket.
  static std::size_t unflushedCount();

private:
  static void onFlushed(evhttp_request *Ended, void *);
  static void onClosedUnflushed(evhttp_connection *, void *);
  static void onStreamClosedUnflushed(evhttp_connection *Connection, void *);
  static void onClose(evhttp_connection *Connection, void *Self);
  static void onWritten(evhttp_connection *, void *Self);
  /// Breaks off the stream, so that the client sees that it is incomplete.
  void abortStream();
  /// Lets the close of the connection end the response.
  void delimitByClose();
  /// Gives up the request, whose response ends now, and counts it as unflushed.
  evhttp_request *detach();

  evhttp_request *Request;
  response_writer_observer *Observer;
  bool Streaming = false;
  bool CloseDelimited =
      false; ///< the close of the connection ends the response
};

} // namespace ebonyvale

#endif

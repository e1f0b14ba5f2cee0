/// \file
/// HTTP/1.1 messages and an incremental parser for them, based on http_parser.
///
/// Proxied requests use this parser on bufferevents instead of evhttp's client,
/// which reads nothing before it has written the whole request (see
/// tests/net/evhttp_limits_test.cpp) and does not report that a reset ended a
/// response without a length.
#ifndef EBONYVALE_NET_HTTP_MESSAGE_H
#define EBONYVALE_NET_HTTP_MESSAGE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <http_parser.h>

namespace ebonyvale {

/// A header field.
struct http_header {
  std::string Name;
  std::string Value;
};

/// Returns whether two header names are equal, ignoring case.
bool sameHeaderName(std::string_view Left, std::string_view Right);

/// Header fields in wire order.
class header_list {
public:
  /// Returns the first value of \p Name, or nothing if it is absent.
  std::optional<std::string_view> find(std::string_view Name) const;

  /// Returns the first value of \p Name as a non-negative integer, or nothing
  /// if it is absent or not such a number.
  std::optional<std::int64_t> number(std::string_view Name) const;

  void add(std::string_view Name, std::string_view Value);

  /// Replaces all values of \p Name.
  void set(std::string_view Name, std::string_view Value);

  /// Removes all values of \p Name.
  void erase(std::string_view Name);

  const std::vector<http_header> &all() const { return Fields; }

  /// Returns the last field, after adding an empty one if \p NewField is set.
  /// Used by parsers to append to a field's name or value.
  http_header &currentField(bool NewField);

private:
  std::vector<http_header> Fields;
};

/// Head of a request (`Method`, `Target`) or of a response (`Status`).
struct http_head {
  std::string Method;
  std::string Target; ///< path and query
  int Status = 0;
  header_list Headers;
  bool IsHttp11 = false;       ///< the sender's version is HTTP/1.1 or later
  bool KeepAlive = false;      ///< the connection stays open after this message
  bool CloseDelimited = false; ///< the response has no length and ends with the
                               ///< connection
};

/// Memory of a field besides its bytes, in a vector that may be half empty.
inline constexpr std::size_t FieldMemoryBytes = 2 * sizeof(http_header);

/// Returns about how much memory \p Head takes.
std::size_t headMemory(const http_head &Head);

/// Returns how the end of a response's body is marked: "chunks", "length" or
/// "close", the end of the connection.
std::string_view framingName(const http_head &Response);

/// Returns whether \p Response, which was to a request with \p Method, ends
/// with its head.
bool isWithoutBody(const http_head &Response, std::string_view Method);

/// Adds the length that \p Response states to \p Headers, which are sent on
/// without its body.
void addStatedLength(const http_head &Response, header_list &Headers);

/// Returns whether \p Status is that of a response (RFC 9110, section 15).
bool isStatus(int Status);

/// Returns the path of a request target without its query.
std::string_view targetPath(std::string_view Target);

/// Returns the query of a request target without the question mark; empty if
/// there is none.
std::string_view targetQuery(std::string_view Target);

/// State of the message that a reader is parsing.
enum class read_state {
  Reading,  ///< more bytes are needed
  Complete, ///< the message is complete
  Invalid,  ///< the bytes are not a valid message
  TooLarge, ///< the head is over the limit
};

/// Receives the head and the body of a message.
class message_sink {
public:
  virtual ~message_sink() = default;
  /// Returns false to reject the message as `Invalid`.
  virtual bool onMessageHead(http_head &Head) = 0;
  virtual void onMessageBody(std::string_view Bytes) = 0;
};

/// Parses the messages of a connection one after another.
class message_reader {
public:
  /// The kind of messages to parse.
  enum class side { Requests, Responses };

  /// \p MaxHeadBytes limits the request target and the header fields together.
  /// A head that has them on the wire, with what separates the fields, is never
  /// over the limit on the number of fields.
  message_reader(side Side, message_sink &Sink, std::size_t MaxHeadBytes);

  /// Parses \p Bytes up to the end of the message. Returns the number of bytes
  /// parsed.
  std::size_t feed(std::string_view Bytes);

  /// Must be called when the connection has ended. Returns whether the message
  /// is complete.
  bool finishAtClose();

  read_state state() const { return State; }

  /// Returns whether a byte of the current message has been parsed.
  bool begun() const { return Begun; }

  /// Returns the memory that the head of the current message takes.
  std::size_t headMemory() const {
    return HeadDone ? 0
                    : HeadBytesRead * 2 +
                          Head.Headers.all().size() * FieldMemoryBytes;
  }

  /// Prepares for the next message. \p IsHeadResponse tells that it responds to
  /// a HEAD request and has no body, whatever its headers say.
  void reset(bool IsHeadResponse = false);

private:
  static int onBegin(http_parser *Parser);
  static int onUrl(http_parser *Parser, const char *Data, std::size_t Length);
  static int onField(http_parser *Parser, const char *Data, std::size_t Length);
  static int onValue(http_parser *Parser, const char *Data, std::size_t Length);
  static int onHeadEnd(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *Data, std::size_t Length);
  static int onEnd(http_parser *Parser);
  static const http_parser_settings &callbacks();
  /// Adds to the size of the head. Returns false if it is over the limit.
  bool addHeadBytes(std::size_t Length);

  side Side;
  message_sink &Sink;
  std::size_t MaxHeadBytes;
  std::size_t HeadBytesRead = 0;
  std::size_t MaxFields;
  http_parser Parser{};
  http_head Head;
  read_state State = read_state::Reading;
  bool Begun = false;
  bool InHeaderValue = true;
  bool HeadDone = false;
  bool WithoutBody = false; ///< the message responds to a HEAD request
};

} // namespace ebonyvale

#endif

/// \file
/// HTTP/1.1 messages and an incremental reader for them, over http_parser.
///
/// evhttp's client reads nothing before it has written the whole request and
/// hides connections that an answer without a length ends with a reset (see
/// tests/net/evhttp_limits_test.cpp), so proxied requests use this reader on
/// bufferevents instead.
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

/// One header field.
struct http_header {
  std::string Name;
  std::string Value;
};

/// Whether two header names are the same, whatever their case.
bool sameHeaderName(std::string_view Left, std::string_view Right);

/// Header fields in the order of the wire.
class header_list {
public:
  /// The first value of \p Name; nothing where it is absent.
  std::optional<std::string_view> find(std::string_view Name) const;

  /// The first value of \p Name as a whole number of at least 0; nothing where
  /// it is absent or no such number.
  std::optional<std::int64_t> number(std::string_view Name) const;

  void add(std::string_view Name, std::string_view Value);

  /// Adds \p Name after removing all its values.
  void set(std::string_view Name, std::string_view Value);

  void erase(std::string_view Name);

  const std::vector<http_header> &all() const { return Fields; }

  /// Gives the last field's name or value further bytes; for readers.
  http_header &openField(bool NewField);

private:
  std::vector<http_header> Fields;
};

/// Head of a request (`Method`, `Target`) or of an answer (`Status`).
struct http_head {
  std::string Method;
  std::string Target; ///< path and query
  int Status = 0;
  header_list Headers;
  bool KeepAlive = false;   ///< the sender lets the connection go on
  bool EndsAtClose = false; ///< an answer without a length
};

/// The path of a request target, without its query.
std::string_view targetPath(std::string_view Target);

/// What stands behind the path, without the question mark.
std::string_view targetQuery(std::string_view Target);

/// What became of bytes given to a reader.
enum class read_state {
  Reading,  ///< more bytes are needed
  Complete, ///< the message has ended
  Invalid,  ///< the bytes are no message
  TooLarge, ///< the head is longer than allowed
};

/// Receives the parts of a message.
class message_sink {
public:
  virtual ~message_sink() = default;
  /// Returns false to end reading as `Invalid`.
  virtual bool onMessageHead(http_head &Head) = 0;
  virtual void onMessageBody(std::string_view Bytes) = 0;
};

/// Reads one message after another from a connection.
class message_reader {
public:
  enum class side { Requests, Answers };

  /// \p HeadBytes bounds the request line and all header fields.
  message_reader(side Side, message_sink &Sink, std::size_t HeadBytes);

  /// Reads at most one message. Returns how many bytes belong to it.
  std::size_t feed(std::string_view Bytes);

  /// The connection has ended. True when that completes the message.
  bool finishAtClose();

  read_state state() const { return State; }

  /// Whether a byte of the present message has been read.
  bool begun() const { return Begun; }

  /// Prepares for the next message; answers to HEAD requests have no body.
  void reset(bool AnswersHead = false);

private:
  static int onBegin(http_parser *Parser);
  static int onUrl(http_parser *Parser, const char *Data, std::size_t Length);
  static int onField(http_parser *Parser, const char *Data, std::size_t Length);
  static int onValue(http_parser *Parser, const char *Data, std::size_t Length);
  static int onHeadEnd(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *Data, std::size_t Length);
  static int onEnd(http_parser *Parser);
  static const http_parser_settings &callbacks();
  bool countHead(std::size_t Length);

  side Side;
  message_sink &Sink;
  std::size_t HeadBytes;
  std::size_t HeadRead = 0;
  http_parser Parser{};
  http_head Head;
  read_state State = read_state::Reading;
  bool Begun = false;
  bool InValue = true;
  bool HeadDone = false;
  bool AnswersHead = false;
};

} // namespace ebonyvale

#endif

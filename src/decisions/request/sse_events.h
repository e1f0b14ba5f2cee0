/// \file
/// Splits a byte stream into server-sent events.
/// Source: WHATWG HTML Living Standard, section 9.2.
#ifndef EBONYVALE_DECISIONS_REQUEST_SSE_EVENTS_H
#define EBONYVALE_DECISIONS_REQUEST_SSE_EVENTS_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// An event. Its views point into the splitter and are valid until the next
/// call of `feed`.
struct sse_event {
  std::string_view Id;   ///< value of the last `id` field; may be empty
  std::string_view Data; ///< value of the last `data` field; may be empty
  bool HasData = false;  ///< has a `data` field
  /// All bytes including the blank line; begins with the line feed of the event
  /// before if that was passed on at its carriage return.
  std::string_view Raw;
};

/// Splits a stream that arrives in arbitrary chunks into events.
class sse_splitter {
public:
  /// Maximum length of an event, in bytes.
  static constexpr std::size_t MaxEventBytes = 1024 * 1024;

  /// Appends \p Bytes and returns the completed events that have an id or data,
  /// in order. Returns nothing once an event exceeds MaxEventBytes.
  std::vector<sse_event> feed(std::string_view Bytes);

  /// Does the same, and also returns blocks that are no such events: comments,
  /// other fields, data of no bytes and blank lines. The blocks hold all bytes.
  std::vector<sse_event> feedAll(std::string_view Bytes);

  /// Returns whether an event exceeded MaxEventBytes.
  bool overflowed() const { return Overflowed; }

  /// Returns whether the bytes fed so far end inside an event.
  bool hasPartialEvent() const {
    return Consumed + lineFeedLength() < Buffer.size();
  }

  /// Returns the bytes after the last complete event.
  std::string_view rest() const {
    return std::string_view(Buffer).substr(Consumed);
  }

private:
  /// Returns 1 if the rest begins with the line feed of the line end that the
  /// last event ended with, else 0.
  std::size_t lineFeedLength() const {
    return EndedWithReturn && rest().starts_with('\n') ? 1 : 0;
  }

  std::string Buffer;
  std::size_t Consumed = 0;
  bool EndedWithReturn = false; ///< the last event did
  bool Overflowed = false;
};

/// Tells whether a byte stream ends between two events. Keeps no bytes, so it
/// also serves streams that are forwarded as they arrive. Comments are not part
/// of an event.
class event_boundary_tracker {
public:
  void feed(std::string_view Bytes);

  /// Returns whether the bytes fed so far end within a line, or before the
  /// blank line that ends an event.
  bool insideEvent() const {
    return HasOpenEvent || Position != line_position::Start;
  }

  /// Returns whether an event has ended.
  bool sawEvent() const { return SawEvent; }

private:
  enum class line_position { Start, Comment, Field };

  line_position Position = line_position::Start;
  bool HasOpenEvent = false;
  bool SawEvent = false;
  bool LastWasReturn = false; ///< a following newline belongs to the same end
};

} // namespace ebonyvale

#endif

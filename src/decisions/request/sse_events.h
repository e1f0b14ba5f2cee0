/// \file
/// Server-sent events cut out of a byte stream.
/// Source: WHATWG HTML Living Standard, section 9.2.
#ifndef EBONYVALE_DECISIONS_REQUEST_SSE_EVENTS_H
#define EBONYVALE_DECISIONS_REQUEST_SSE_EVENTS_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// One event. Views point into the splitter and hold until its next call.
struct sse_event {
  std::string_view Id;   ///< value of the last `id` field, may be empty
  std::string_view Data; ///< value of the `data` field, may be empty
  std::string_view Raw;  ///< all of its bytes, with the blank line
};

/// Cuts whole events out of a stream that arrives in arbitrary pieces.
class sse_splitter {
public:
  /// Longest event that is accepted, in bytes.
  static constexpr std::size_t MaxEventBytes = 1024 * 1024;

  /// Adds \p Bytes and returns the events that are now whole, in order. After
  /// an event over the bound, `overflowed` is true and nothing is returned.
  std::vector<sse_event> feed(std::string_view Bytes);

  /// Whether an event was over the bound.
  bool overflowed() const { return Overflowed; }

  /// Whether the stream stopped inside an event.
  bool hasPartialEvent() const { return Consumed < Buffer.size(); }

  /// The bytes behind the last whole event.
  std::string_view rest() const {
    return std::string_view(Buffer).substr(Consumed);
  }

private:
  std::string Buffer;
  std::size_t Consumed = 0;
  bool Overflowed = false;
};

} // namespace ebonyvale

#endif

/// \file
/// Records the requests that a fake upstream receives, for tests to search.
#ifndef EBONYVALE_FAKES_REQUEST_RECORD_H
#define EBONYVALE_FAKES_REQUEST_RECORD_H

#include "net/event_handles.h"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Keeps the newest requests as text: target, headers and body.
class request_record {
public:
  /// Number of requests kept; older ones are dropped.
  static constexpr std::size_t MaxKept = 2000;

  void add(evhttp_request *Request);

  /// Returns the number of kept requests that contain \p Text anywhere.
  std::size_t countContaining(std::string_view Text) const;

  /// Returns the number of requests received, including dropped ones.
  std::size_t seen() const { return Seen; }

private:
  std::deque<std::string> Kept;
  std::size_t Seen = 0;
};

} // namespace ebonyvale

#endif

/// \file
/// A caller's request, independent of the protocol it arrived by.
#ifndef EBONYVALE_DECISIONS_REQUEST_CALLER_REQUEST_H
#define EBONYVALE_DECISIONS_REQUEST_CALLER_REQUEST_H

#include "common/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ebonyvale {

/// A named segment of a prompt.
struct named_segment {
  std::string Name;
  std::int64_t Tokens = 0;
};

/// The request's own fields, as the caller sent them.
struct caller_request {
  std::string Id; ///< unique among the requests of a caller
  std::string Host;
  std::string Path;
  std::string Key; ///< empty without a key
  std::optional<span_ns> Deadline;
  std::string Model;
  std::vector<named_segment> Segments;
  std::int64_t PromptTokens = 0;
  std::int64_t ResponseTokens = 0;
  bool HasTokenCounts = false; ///< the caller sent both counts above
  std::optional<std::int64_t> ResumeAfter; ///< last event received
  /// Id of the request that brought the first event of the resumed stream.
  std::string Resumes;
};

} // namespace ebonyvale

#endif

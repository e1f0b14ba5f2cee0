/// \file
/// A caller's request in neutral terms, whatever wire it came on.
#ifndef EBONYVALE_DECISIONS_REQUEST_CALLER_REQUEST_H
#define EBONYVALE_DECISIONS_REQUEST_CALLER_REQUEST_H

#include "common/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ebonyvale {

/// One named part of a prompt.
struct named_part {
  std::string Name;
  std::int64_t Tokens = 0;
};

/// What a request says of itself.
struct caller_request {
  std::string Id; ///< unique for each request of a caller
  std::string Host;
  std::string Path;
  std::string Key; ///< empty where none was sent
  std::optional<span_ns> Deadline;
  std::string Model;
  std::vector<named_part> Parts;
  std::int64_t PromptTokens = 0;
  std::int64_t AnswerTokens = 0;
  bool TellsTokens = false;
  std::optional<std::int64_t> ResumeAfter; ///< last event that the caller has
};

} // namespace ebonyvale

#endif

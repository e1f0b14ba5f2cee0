/// \file
/// Request bodies of the OpenAI-compatible model routes.
/// Source: the OpenAI API reference, "Create chat completion" and
/// "Create completion".
#ifndef EBONYVALE_DECISIONS_REQUEST_CHAT_REQUEST_H
#define EBONYVALE_DECISIONS_REQUEST_CHAT_REQUEST_H

#include "common/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// The model routes, which differ in the member that holds the prompt.
enum class chat_route { ChatCompletions, Completions };

/// The members of a body that the router reads; all others are forwarded
/// unread.
struct chat_request {
  std::string Model;
  std::string Prompt; ///< all text that an engine prefills, in order
  bool Stream = false;
  bool IncludeUsage = false; ///< the caller requested usage in the stream
  bool HasStreamOptions = false;
  std::optional<std::int64_t> MaxTokens;
};

/// Parses a body. Fails with BodyMalformed, whose detail names the member that
/// is missing or invalid.
result<chat_request> parseChatRequest(chat_route Route, std::string_view Body);

/// Returns the text to insert after the opening brace of a body so that the
/// engine ends its stream with a usage report. Empty for a body that does not
/// stream or has `stream_options`.
std::string_view usageOption(const chat_request &Request);

} // namespace ebonyvale

#endif

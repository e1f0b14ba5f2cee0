#include "decisions/request/chat_request.h"

#include <simdjson.h>

namespace ebonyvale {
namespace {

namespace dom = simdjson::dom;

failure malformed(std::string Detail) {
  return {error_kind::BodyMalformed, std::move(Detail)};
}

/// Appends the content of a message, which is null, a string or an array of
/// content parts. Returns false for any other type.
bool appendContent(const dom::element &Content, std::string &Prompt) {
  std::string_view Text;
  if (Content.get(Text) == simdjson::SUCCESS) {
    Prompt += Text;
    return true;
  }
  if (Content.is_null())
    return true;
  dom::array Parts;
  if (Content.get(Parts) != simdjson::SUCCESS)
    return false;
  for (const dom::element Part : Parts) {
    if (Part["text"].get(Text) == simdjson::SUCCESS)
      Prompt += Text;
  }
  return true;
}

/// Appends roles and contents; engines prefill the roles too. Returns false for
/// a malformed message.
bool appendMessages(const dom::array &Messages, std::string &Prompt) {
  for (const dom::element Message : Messages) {
    std::string_view Role;
    if (Message["role"].get(Role) != simdjson::SUCCESS)
      return false;
    Prompt += Role;
    Prompt += '\n';
    dom::element Content;
    if (Message["content"].get(Content) == simdjson::SUCCESS &&
        !appendContent(Content, Prompt))
      return false;
    Prompt += '\n';
  }
  return true;
}

std::optional<failure> readPrompt(chat_route Route, const dom::object &Body,
                                  std::string &Prompt) {
  if (Route == chat_route::Completions) {
    std::string_view Text;
    if (Body["prompt"].get(Text) != simdjson::SUCCESS)
      return malformed("'prompt' must be a string");
    Prompt = Text;
    return std::nullopt;
  }
  dom::array Messages;
  if (Body["messages"].get(Messages) != simdjson::SUCCESS ||
      Messages.size() == 0)
    return malformed("'messages' must be an array with at least one message");
  if (!appendMessages(Messages, Prompt))
    return malformed("each message needs a string 'role' and a 'content' that "
                     "is a string or an array of parts");
  return std::nullopt;
}

/// Reads an optional member. Returns false if it is present with another type.
template <typename Value>
bool readOptional(const dom::object &Body, std::string_view Name,
                  Value &Target) {
  dom::element Element;
  if (Body[Name].get(Element) != simdjson::SUCCESS || Element.is_null())
    return true;
  return Element.get(Target) == simdjson::SUCCESS;
}

std::optional<failure> readOptions(const dom::object &Body,
                                   chat_request &Request) {
  if (!readOptional(Body, "stream", Request.Stream))
    return malformed("'stream' must be true or false");
  for (const std::string_view Name : {"max_tokens", "max_completion_tokens"}) {
    constexpr std::int64_t Unset = -1;
    std::int64_t Value = Unset;
    const bool IsStated =
        Body[Name].error() == simdjson::SUCCESS && !Body[Name].is_null();
    if (!readOptional(Body, Name, Value) || (IsStated && Value < 1))
      return malformed(std::string(Name) + " must be a positive integer");
    if (IsStated)
      Request.MaxTokens = Value;
  }
  dom::object Options;
  if (Body["stream_options"].get(Options) == simdjson::SUCCESS) {
    Request.HasStreamOptions = true;
    if (!readOptional(Options, "include_usage", Request.IncludeUsage))
      return malformed("'include_usage' must be true or false");
  }
  return std::nullopt;
}

} // namespace

result<chat_request> parseChatRequest(chat_route Route, std::string_view Body) {
  // Each thread reuses its parser and the parser's buffers.
  thread_local dom::parser Parser;
  dom::element Root;
  if (const auto Error = Parser.parse(Body.data(), Body.size()).get(Root))
    return malformed(std::string("not valid JSON: ") +
                     simdjson::error_message(Error));
  dom::object Object;
  if (Root.get(Object) != simdjson::SUCCESS)
    return malformed("the body must be a JSON object");
  chat_request Request;
  std::string_view Model;
  if (Object["model"].get(Model) != simdjson::SUCCESS || Model.empty())
    return malformed("'model' must be a non-empty string");
  Request.Model = Model;
  if (auto Problem = readPrompt(Route, Object, Request.Prompt))
    return *Problem;
  if (auto Problem = readOptions(Object, Request))
    return *Problem;
  return Request;
}

std::string_view usageOption(const chat_request &Request) {
  if (!Request.Stream || Request.HasStreamOptions)
    return {};
  return R"("stream_options":{"include_usage":true},)";
}

} // namespace ebonyvale

#include "decisions/request/caller_check.h"

#include <algorithm>
#include <array>
#include <cctype>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::string_view ChatCompletionsPath = "/v1/chat/completions";
constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::string_view BearerScheme = "bearer ";

/// Ordinary text could contain shorter keys by accident.
constexpr std::size_t MinKeyBytes = 8;

constexpr std::array<std::string_view, 6> CredentialParameters{
    "key", "api_key", "apikey", "access_token", "token", "authorization"};

char lower(char C) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
}

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, {}, lower, lower);
}

result<target_route> findTarget(const configuration &Config,
                                const access_request &Access) {
  const bool IsChat = Access.Path == ChatCompletionsPath;
  if (IsChat || Access.Path == CompletionsPath) {
    if (Access.Method != "POST")
      return failure{error_kind::MethodNotAllowed,
                     "the route accepts POST only"};
    return target_route(IsChat ? chat_route::ChatCompletions
                               : chat_route::Completions);
  }
  const route *Route = Config.findRoute(Access.Path);
  if (!Route)
    return failure{error_kind::RouteUnknown, ""};
  if (std::ranges::find(Route->Methods, Access.Method) == Route->Methods.end())
    return failure{error_kind::MethodNotAllowed,
                   fmt::format("route '{}' does not accept {}", Route->Name,
                               Access.Method)};
  return target_route(Route);
}

} // namespace

std::string_view presentedKey(const access_request &Access) {
  const std::string_view Header = Access.Authorization;
  if (Header.size() > BearerScheme.size() &&
      equalsIgnoringCase(Header.substr(0, BearerScheme.size()), BearerScheme))
    return Header.substr(BearerScheme.size());
  return Access.ApiKey;
}

result<const key_entry *> checkKey(const configuration &Config,
                                   std::string_view KeySecret,
                                   std::string_view Key) {
  if (Key.empty())
    return failure{error_kind::KeyMissing, ""};
  const key_entry *Entry = Config.findKey(hashKey(KeySecret, Key));
  if (!Entry)
    return failure{error_kind::KeyUnknown, ""};
  if (Entry->Withdrawn)
    return failure{error_kind::KeyWithdrawn,
                   fmt::format("key '{}' has been withdrawn", Entry->Id)};
  return Entry;
}

std::string_view teamOfKey(const configuration &Config,
                           std::string_view KeySecret, std::string_view Key) {
  const key_entry *Entry =
      Key.empty() ? nullptr : Config.findKey(hashKey(KeySecret, Key));
  return Entry ? std::string_view(Entry->Team) : std::string_view();
}

result<caller_grant> checkCaller(const configuration &Config,
                                 std::string_view KeySecret,
                                 const access_request &Access) {
  const result<target_route> Target = findTarget(Config, Access);
  if (!Target)
    return Target.error();
  const auto *const *Route = std::get_if<const route *>(&*Target);
  if (Route && (*Route)->Open)
    return caller_grant{nullptr, *Target};
  const result<const key_entry *> Key =
      checkKey(Config, KeySecret, presentedKey(Access));
  if (!Key)
    return Key.error();
  return caller_grant{*Key, *Target};
}

bool containsKey(std::string_view Text, std::string_view Key) {
  return Key.size() >= MinKeyBytes && Text.find(Key) != std::string_view::npos;
}

std::string stripCredentials(std::string_view Query, std::string_view Key) {
  std::string Kept;
  while (!Query.empty()) {
    const std::size_t End = Query.find('&');
    const std::string_view Parameter = Query.substr(0, End);
    Query.remove_prefix(End == std::string_view::npos ? Query.size() : End + 1);
    const std::string_view Name = Parameter.substr(0, Parameter.find('='));
    const bool IsCredential = std::ranges::any_of(
        CredentialParameters, [Name](std::string_view Candidate) {
          return equalsIgnoringCase(Name, Candidate);
        });
    if (IsCredential || containsKey(Parameter, Key))
      continue;
    if (!Kept.empty())
      Kept += '&';
    Kept += Parameter;
  }
  return Kept;
}

} // namespace ebonyvale

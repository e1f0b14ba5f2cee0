#include "decisions/request/trace_context.h"

#include <algorithm>
#include <charconv>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// "00-" + 32 + "-" + 16 + "-" + 2 characters.
constexpr std::size_t HeaderLength = 55;
constexpr std::size_t TraceIdAt = 3;
constexpr std::size_t SpanIdAt = 36;
constexpr std::size_t FlagsAt = 53;
constexpr std::size_t HalfLength = 16;
constexpr std::uint64_t SampledFlag = 1;

std::optional<std::uint64_t> readHex(std::string_view Text) {
  const bool IsLowerHex = std::ranges::all_of(Text, [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
  });
  std::uint64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  if (!IsLowerHex || Error != std::errc())
    return std::nullopt;
  return Value;
}

} // namespace

std::string trace_context::traceIdHex() const {
  return fmt::format("{:016x}{:016x}", TraceId[0], TraceId[1]);
}

std::string trace_context::spanIdHex() const {
  return fmt::format("{:016x}", SpanId);
}

std::string trace_context::traceparent() const {
  return fmt::format("00-{}-{}-{:02x}", traceIdHex(), spanIdHex(),
                     Sampled ? SampledFlag : 0);
}

std::optional<trace_context> parseTraceparent(std::string_view Header) {
  if (Header.size() != HeaderLength || !Header.starts_with("00-") ||
      Header[SpanIdAt - 1] != '-' || Header[FlagsAt - 1] != '-')
    return std::nullopt;
  const auto High = readHex(Header.substr(TraceIdAt, HalfLength));
  const auto Low = readHex(Header.substr(TraceIdAt + HalfLength, HalfLength));
  const auto Span = readHex(Header.substr(SpanIdAt, HalfLength));
  const auto Flags = readHex(Header.substr(FlagsAt));
  if (!High || !Low || !Span || !Flags || (*High == 0 && *Low == 0) ||
      *Span == 0)
    return std::nullopt;
  return trace_context{{*High, *Low}, *Span, (*Flags & SampledFlag) != 0};
}

} // namespace ebonyvale

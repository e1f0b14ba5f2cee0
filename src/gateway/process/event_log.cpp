#include "gateway/process/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <mutex>

#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>

namespace ebonyvale {
namespace {

constexpr span_ns FlushInterval = std::chrono::milliseconds(200);
/// Buffer limit while the reader of standard output is slow; further lines are
/// dropped.
constexpr std::size_t MaxBufferedBytes = 256 * 1024;
/// Buffer size that triggers a write before the next flush.
constexpr std::size_t FlushBytes = 32 * 1024;

constexpr std::array<std::string_view, 7> CategoryNames{
    "process", "request", "store", "upstream", "peer", "weights", "release"};

void appendQuoted(fmt::memory_buffer &Out, std::string_view Text) {
  Out.push_back('"');
  for (const char Letter : Text) {
    const auto Code = static_cast<unsigned char>(Letter);
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char FirstNonAscii = 0x7f;
    if (Letter == '"' || Letter == '\\') {
      Out.push_back('\\');
      Out.push_back(Letter);
    } else if (Code < FirstPrintable || Code >= FirstNonAscii) {
      fmt::format_to(fmt::appender(Out), "\\u{:04x}", Code);
    } else {
      Out.push_back(Letter);
    }
  }
  Out.push_back('"');
}

void appendField(fmt::memory_buffer &Out, const log_field &Field) {
  fmt::format_to(fmt::appender(Out), ",\"{}\":", Field.Name);
  if (const auto *Text = std::get_if<std::string_view>(&Field.Value))
    return appendQuoted(Out, *Text);
  if (const auto *Number = std::get_if<double>(&Field.Value)) {
    fmt::format_to(fmt::appender(Out), "{:.1f}", *Number);
    return;
  }
  if (const auto *Integer = std::get_if<std::int64_t>(&Field.Value)) {
    fmt::format_to(fmt::appender(Out), "{}", *Integer);
    return;
  }
  fmt::format_to(fmt::appender(Out), "{}", std::get<bool>(Field.Value));
}

} // namespace

/// Buffers lines and writes them to a non-blocking standard output.
class event_log::sink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  sink() {
    const int Flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (Flags >= 0)
      fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  }

  std::uint64_t takeDropped() { return std::exchange(Dropped, 0); }
  /// Returns whether a short line is certain not to be dropped.
  bool hasRoom() const {
    constexpr std::size_t ShortLineBytes = 512;
    return Buffer.size() + ShortLineBytes <= MaxBufferedBytes;
  }

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override {
    spdlog::memory_buf_t Line;
    formatter_->format(Message, Line);
    if (Buffer.size() + Line.size() > MaxBufferedBytes) {
      ++Dropped;
      return;
    }
    Buffer.append(Line.data(), Line.size());
    if (Buffer.size() >= FlushBytes)
      flush_();
  }

  void flush_() override {
    std::size_t Written = 0;
    while (Written < Buffer.size()) {
      const ssize_t Count = ::write(STDOUT_FILENO, Buffer.data() + Written,
                                    Buffer.size() - Written);
      if (Count <= 0)
        break;
      Written += static_cast<std::size_t>(Count);
    }
    Buffer.erase(0, Written);
  }

private:
  std::string Buffer;
  std::uint64_t Dropped = 0;
};

event_log::event_log(event_base *Base, std::string_view Level,
                     std::int64_t LinesPerSecond)
    : Sink(std::make_shared<sink>()),
      Logger(std::make_unique<spdlog::logger>("ebonyvaled", Sink)),
      FlushTimer(Base, [this] { flush(); }), LinesPerSecond(LinesPerSecond) {
  Sink->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"));
  Logger->set_level(spdlog::level::from_str(std::string(Level)));
  FlushTimer.startPeriodic(FlushInterval);
}

event_log::~event_log() { flush(); }

void event_log::info(event_category Category, std::string_view Event,
                     std::initializer_list<log_field> Fields) {
  if (Logger->should_log(spdlog::level::info))
    write(Category, spdlog::level::info, Event, Fields);
}

void event_log::warn(event_category Category, std::string_view Event,
                     std::initializer_list<log_field> Fields) {
  if (Logger->should_log(spdlog::level::warn))
    write(Category, spdlog::level::warn, Event, Fields);
}

void event_log::write(event_category Category, spdlog::level::level_enum Level,
                      std::string_view Event,
                      std::initializer_list<log_field> Fields) {
  if (Category == event_category::Request && !takeLine()) {
    ++Dropped;
    return;
  }
  fmt::memory_buffer Line;
  fmt::format_to(fmt::appender(Line), R"("category":"{}","event":"{}")",
                 CategoryNames[static_cast<std::size_t>(Category)], Event);
  for (const log_field &Field : Fields)
    appendField(Line, Field);
  Logger->log(Level, spdlog::string_view_t(Line.data(), Line.size()));
}

bool event_log::takeLine() {
  const instant Now = readBootClock();
  if (Now - RefilledAt >= std::chrono::seconds(1)) {
    RefilledAt = Now;
    LinesLeft = LinesPerSecond;
  }
  if (LinesLeft == 0)
    return false;
  --LinesLeft;
  return true;
}

void event_log::flush() {
  Logger->flush();
  // The count is kept until its own line cannot be dropped.
  if (!Sink->hasRoom())
    return;
  Dropped += Sink->takeDropped();
  if (Dropped == 0)
    return;
  warn(event_category::Process, "log_lines_dropped",
       {{"lines", std::exchange(Dropped, 0)}});
  Logger->flush();
}

} // namespace ebonyvale

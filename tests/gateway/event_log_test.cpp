// The log while nobody reads standard output.
#include "gateway/process/event_log.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace ebonyvale;

namespace {

/// Reads all bytes that \p Pipe holds.
std::string drain(int Pipe) {
  std::string Text;
  char Buffer[65536];
  for (ssize_t Count = 0; (Count = read(Pipe, Buffer, sizeof(Buffer))) > 0;)
    Text.append(Buffer, static_cast<std::size_t>(Count));
  return Text;
}

std::uint64_t countOf(const std::string &Text, std::string_view Fragment) {
  std::uint64_t Count = 0;
  for (std::size_t At = Text.find(Fragment); At != std::string::npos;
       At = Text.find(Fragment, At + 1))
    ++Count;
  return Count;
}

/// Returns the sum of the numbers behind \p Name.
std::uint64_t sumOf(const std::string &Text, std::string_view Name) {
  std::uint64_t Sum = 0;
  for (std::size_t At = Text.find(Name); At != std::string::npos;
       At = Text.find(Name, At + 1))
    Sum += std::stoull(Text.substr(At + Name.size()));
  return Sum;
}

} // namespace

/// Each line is written or counted, however often the count itself finds no
/// room.
Test(event_log, no_dropped_line_is_uncounted) {
  int Pipe[2];
  cr_assert(pipe(Pipe) == 0);
  fcntl(Pipe[0], F_SETFL, O_NONBLOCK);
  const int Output = dup(STDOUT_FILENO);
  dup2(Pipe[1], STDOUT_FILENO);
  std::string Text;
  constexpr std::uint64_t Lines = 20'000;
  {
    const event_base_ptr Base(event_base_new());
    event_log Log(Base.get(), "info", 100);
    for (std::uint64_t Line = 0; Line < Lines; ++Line) {
      Log.info(event_category::Store, "filler", {{"line", Line}});
      constexpr std::uint64_t FlushEvery = 1000;
      if (Line % FlushEvery == 0)
        Log.flush();
    }
    for (int Round = 0; Round < 20; ++Round) {
      Text += drain(Pipe[0]);
      Log.flush();
    }
  }
  Text += drain(Pipe[0]);
  dup2(Output, STDOUT_FILENO);
  const std::uint64_t Written = countOf(Text, "\"event\":\"filler\"");
  const std::uint64_t Dropped = sumOf(Text, "\"lines\":");
  cr_assert(Written < Lines);
  cr_assert(Written + Dropped == Lines, "%lu and %lu", Written, Dropped);
}

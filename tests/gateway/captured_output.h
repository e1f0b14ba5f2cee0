/// \file
/// What a test writes to standard output or standard error.
#ifndef EBONYVALE_TESTS_GATEWAY_CAPTURED_OUTPUT_H
#define EBONYVALE_TESTS_GATEWAY_CAPTURED_OUTPUT_H

#include <criterion/criterion.h>

#include <string>
#include <string_view>

#include <fcntl.h>
#include <unistd.h>

namespace ebonyvale {

/// Keeps what is written to standard output, or to \c Descriptor, meanwhile.
class captured_output {
public:
  explicit captured_output(int Descriptor = STDOUT_FILENO)
      : Descriptor(Descriptor), Output(dup(Descriptor)) {
    cr_assert(pipe(Pipe) == 0);
    fcntl(Pipe[0], F_SETFL, O_NONBLOCK);
    dup2(Pipe[1], Descriptor);
  }
  ~captured_output() {
    dup2(Output, Descriptor);
    close(Output);
    close(Pipe[0]);
    close(Pipe[1]);
  }

  /// Returns the number of lines with \p Fragment so far.
  std::size_t linesWith(std::string_view Fragment) {
    char Buffer[65536];
    for (ssize_t Count = 0;
         (Count = read(Pipe[0], Buffer, sizeof(Buffer))) > 0;)
      Text.append(Buffer, static_cast<std::size_t>(Count));
    std::size_t Lines = 0;
    for (std::size_t At = Text.find(Fragment); At != std::string::npos;
         At = Text.find(Fragment, At + 1))
      ++Lines;
    return Lines;
  }

private:
  int Descriptor;
  int Output;
  int Pipe[2];
  std::string Text;
};

} // namespace ebonyvale

#endif

/// \file
/// Fuzz targets: each takes arbitrary bytes and must neither crash nor accept
/// what it then cannot use.
#ifndef EBONYVALE_TESTS_FUZZ_TARGETS_H
#define EBONYVALE_TESTS_FUZZ_TARGETS_H

#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A target and inputs to start from.
struct fuzz_target {
  const char *Name;
  void (*Run)(std::string_view Bytes);
  std::vector<std::string> Corpus;
};

/// Request parser, event splitter, note parser, snapshot, peer messages.
std::vector<fuzz_target> fuzzTargets();

} // namespace ebonyvale

#endif

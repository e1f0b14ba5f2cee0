/// \file
/// Fuzz targets. Each parses arbitrary bytes, must not crash, and aborts if an
/// accepted input gives an inconsistent result.
#ifndef EBONYVALE_TESTS_FUZZ_TARGETS_H
#define EBONYVALE_TESTS_FUZZ_TARGETS_H

#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A fuzz target with its seed corpus.
struct fuzz_target {
  const char *Name;
  void (*Run)(std::string_view Bytes);
  std::vector<std::string> Corpus;
};

/// Returns the targets for the request parser, the event splitter, the reader
/// of upstreams' responses, the release note parser, the snapshot reader and
/// the peer messages.
std::vector<fuzz_target> fuzzTargets();

} // namespace ebonyvale

#endif

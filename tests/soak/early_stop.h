/// \file
/// Stops gateways while they start.
#ifndef EBONYVALE_TESTS_SOAK_EARLY_STOP_H
#define EBONYVALE_TESTS_SOAK_EARLY_STOP_H

#include <filesystem>
#include <string>
#include <vector>

namespace ebonyvale {

/// Starts \p Count gateways, sends each a SIGTERM at once or a little later,
/// and waits for their ends. Returns a line for each that did not end by itself
/// with status 0.
std::vector<std::string> stopEarly(const std::string &Daemon,
                                   const std::filesystem::path &Folder,
                                   std::size_t Count);

} // namespace ebonyvale

#endif

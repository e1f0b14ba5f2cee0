/// \file
/// The process that a crowd connects to: a gateway or a daemon.
#ifndef EBONYVALE_TESTS_CROWDS_CROWD_SERVER_H
#define EBONYVALE_TESTS_CROWDS_CROWD_SERVER_H

#include "net/event_handles.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

#include <sys/types.h>

namespace ebonyvale {

/// Limits of the machine on the process. It may use each to its end.
constexpr std::int64_t MachineMemoryMb = 48;
constexpr std::size_t MachineDescriptors = 640;
/// Descriptors that a crowd must leave for upstreams, peers and the store.
constexpr std::size_t SpareDescriptors = 80;
/// Limits of the configuration on requests.
constexpr std::size_t MaxHeadBytes = 16384;
constexpr std::size_t MaxBodyBytes = 1'000'000;

/// The listeners of a process.
struct crowd_ports {
  std::uint16_t Callers = 0;
  std::uint16_t Operators = 0;
  std::uint16_t Peers = 0;
};

/// A started process with an upstream, which answers in 1 MB.
class crowd_server {
public:
  virtual ~crowd_server() = default;
  virtual const crowd_ports &ports() const = 0;
  /// Returns the process, or 0 if it has ended.
  virtual pid_t process() = 0;
  /// Returns the head of a request that is forwarded, without its last line.
  virtual std::string requestHead(const std::string &Method) const = 0;
};

/// Each returns null if the process does not serve.
std::unique_ptr<crowd_server> startGateway(event_base *Base,
                                           const std::string &Program,
                                           const std::filesystem::path &Folder);
std::unique_ptr<crowd_server> startDaemon(event_base *Base,
                                          const std::string &Program,
                                          const std::filesystem::path &Folder);

} // namespace ebonyvale

#endif

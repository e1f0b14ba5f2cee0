/// \file
/// Fake upstreams in processes of their own, behind a fleet of gateways.
#ifndef EBONYVALE_TESTS_GATEWAY_UPSTREAM_CHILDREN_H
#define EBONYVALE_TESTS_GATEWAY_UPSTREAM_CHILDREN_H

#include "gateway/gateway_fleet.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace ebonyvale {

struct upstream_pace {
  span_ns Delay{0};
  span_ns EventInterval{0};
  int Backlog = 0; ///< connections that its system accepts for it; 0: many
  /// See `fake_upstream::CloseDelimitedEvery`.
  unsigned CloseDelimitedEvery = 0;
};

/// A fake upstream in a child process.
class child_upstream {
public:
  child_upstream(const std::string &Id, const upstream_pace &Pace);
  ~child_upstream();
  child_upstream(const child_upstream &) = delete;
  child_upstream &operator=(const child_upstream &) = delete;

  /// Returns once the process has stopped.
  void stop() const;
  void resume() const;
  /// Ends the process with SIGKILL; returns once it has ended.
  void kill();
  std::uint16_t port() const { return Port; }

  /// Returns how often the upstream has run the request \p Id.
  std::ptrdiff_t runsOf(std::string_view Id);

private:
  [[noreturn]] static void serve(const std::string &Id,
                                 const upstream_pace &Pace, int Reports);

  pid_t Child = -1;
  int Reports = -1;
  std::uint16_t Port = 0;
  std::string Lines;
};

/// Two instances and two upstreams in processes of their own.
class child_fleet {
public:
  explicit child_fleet(const upstream_pace &Pace,
                       upstream_links Links = upstream_links::Direct);

  void stopAll() const;
  void resumeAll() const;
  std::ptrdiff_t runsOf(std::string_view Id) const;
  /// Writes the entries of the upstreams to the store.
  void list();
  /// Removes the entries, as the store does when their leases have expired.
  void unlist();
  /// Cuts the first instance from the upstreams and waits until its requests
  /// pass through the other one.
  void useRelay();

  std::vector<std::unique_ptr<child_upstream>> Children;
  gateway_fleet Fleet;

private:
  /// Before the event loop of this process, which a child must not share.
  std::size_t makeChildren(const upstream_pace &Pace);
};

} // namespace ebonyvale

#endif

/// \file
/// The instances of the fleet as the store lists them, and over how many of
/// them limits are divided.
#ifndef EBONYVALE_DECISIONS_PROCESS_INSTANCE_ROSTER_H
#define EBONYVALE_DECISIONS_PROCESS_INSTANCE_ROSTER_H

#include "common/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Where an instance hears its peers.
struct roster_entry {
  std::string Address;
  std::uint16_t Port = 0;
  std::string Domain;

  bool operator==(const roster_entry &) const = default;
};

/// Each instance has a lasting entry, and a live mark that ends with its lease.
class instance_roster {
public:
  /// How long an instance that lost its mark still counts: it may spend its
  /// part of the limits until it notices that it is cut off.
  static constexpr span_ns GoneTerm = std::chrono::milliseconds(6000);
  /// For how long a new process counts every instance that was ever listed:
  /// marks are missing for a while after all have been restarted.
  static constexpr span_ns StartTerm = std::chrono::milliseconds(8000);
  /// Lasting entries without a mark for this long may be removed.
  static constexpr span_ns ForgetTerm = std::chrono::seconds(30);

  explicit instance_roster(std::string Self) : Self(std::move(Self)) {}

  void putEntry(std::string_view Name, const roster_entry &Entry, instant Now);
  void removeEntry(std::string_view Name);
  void putMark(std::string_view Name, instant Now);
  void removeMark(std::string_view Name, instant Now);

  /// Instances that limits are divided over; at least one.
  std::size_t sharers(instant Now, instant Started) const;

  /// Other instances with a live mark, by name.
  std::vector<std::pair<std::string, roster_entry>> peers() const;

  /// Lasting entries that no mark has stood beside for long.
  std::vector<std::string> forgotten(instant Now) const;

private:
  struct state {
    std::optional<roster_entry> Entry;
    bool Marked = false;
    instant UnmarkedAt;
  };

  std::string Self;
  std::map<std::string, state, std::less<>> Instances;
};

} // namespace ebonyvale

#endif

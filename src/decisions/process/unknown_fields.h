/// \file
/// Counts fields that upstreams and the store state and that nothing reads.
#ifndef EBONYVALE_DECISIONS_PROCESS_UNKNOWN_FIELDS_H
#define EBONYVALE_DECISIONS_PROCESS_UNKNOWN_FIELDS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A field that the adapter does not know.
struct unknown_field {
  std::string Source; ///< what stated it
  std::string Name;
  std::uint64_t Count = 0;
};

/// Counts by name. A new field may be a bound that the gateway does not keep,
/// which must not pass in silence.
class unknown_fields {
public:
  /// Largest number of names that are told apart, and their length.
  static constexpr std::size_t MaxNames = 64;
  static constexpr std::size_t MaxNameLength = 64;

  /// Counts the field \p Name that \p Source has stated. Returns whether it is
  /// the first one of its name; never for names beyond `MaxNames`.
  bool add(std::string_view Source, std::string_view Name);

  /// Returns the fields in the order in which they were first seen.
  const std::vector<unknown_field> &all() const { return Fields; }
  /// Returns the number of fields that are not told apart.
  std::uint64_t others() const { return Others; }

private:
  std::vector<unknown_field> Fields;
  std::uint64_t Others = 0;
};

} // namespace ebonyvale

#endif

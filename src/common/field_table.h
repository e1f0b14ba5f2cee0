/// \file
/// Records read from TOML by one table of fields: each field is declared once
/// with its name, member, bounds, unit and description. Settings, release
/// notes and experiment files share this reader and writer.
#ifndef EBONYVALE_COMMON_FIELD_TABLE_H
#define EBONYVALE_COMMON_FIELD_TABLE_H

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Malformed documents trip two of the library's assertions before its own
// error handling sees them; without the assertions they are reported.
#define TOML_ASSERT(Condition) static_assert(true)
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace ebonyvale {

/// What a value of a field must satisfy, and how it is described to people.
struct field_rule {
  std::string_view Name;        ///< dotted path inside the record's table
  std::string_view Description; ///< one sentence
  std::string_view Unit;        ///< unit of a number, empty for none
  std::int64_t Min = 0;         ///< least value of an integer
  std::int64_t Max = std::numeric_limits<std::int64_t>::max();
  bool Required = false;
  bool Secret = false;      ///< never printed
  std::string_view Choices; ///< allowed words, separated by '|'
};

/// Where a field's value is kept in a record.
template <typename Record>
using field_member =
    std::variant<std::string Record::*, std::int64_t Record::*, bool Record::*,
                 std::vector<std::string> Record::*>;

/// One field of `Record`.
template <typename Record> struct field {
  field_rule Rule;
  field_member<Record> Member;
};

/// A reference to the value of one field in one record.
using field_value = std::variant<std::string *, std::int64_t *, bool *,
                                 std::vector<std::string> *>;

/// A rule together with the value that it governs.
struct bound_field {
  const field_rule *Rule;
  field_value Value;
};

/// One thing that is wrong with a document.
struct problem {
  std::uint32_t Line = 0; ///< 1-based; 0 where no line applies
  std::string Field;
  std::string Reason;
};

/// Problems in the order in which they were found.
using problem_list = std::vector<problem>;

/// "line 3: field 'rate': must be at least 1", one problem a line.
std::string describe(const problem_list &Problems);

/// Pairs each field with its value in \p Target.
template <typename Record>
std::vector<bound_field> bindFields(std::span<const field<Record>> Fields,
                                    Record &Target) {
  std::vector<bound_field> Bound;
  Bound.reserve(Fields.size());
  for (const field<Record> &Field : Fields)
    Bound.push_back({&Field.Rule, std::visit(
                                      [&Target](auto Member) -> field_value {
                                        return &(Target.*Member);
                                      },
                                      Field.Member)});
  return Bound;
}

/// Which fields a document must contain.
enum class completeness {
  Whole,   ///< required fields must be there
  Partial, ///< only what is there is changed
};

/// Reads \p Source into \p Fields. Unknown fields, wrong types and values out
/// of bounds are added to \p Problems under the heading \p Where.
void readFields(const toml::table &Source, std::span<const bound_field> Fields,
                completeness Mode, std::string_view Where,
                problem_list &Problems);

/// Sets one field from its text form, as the command line gives it.
void readFieldText(std::string_view Name, std::string_view Text,
                   std::span<const bound_field> Fields, problem_list &Problems);

/// Writes `name = value` lines in the order of the fields, nested tables as
/// dotted names. Secrets are written only when \p WithSecrets is set.
std::string writeFields(std::span<const bound_field> Fields, bool WithSecrets);

/// The candidate that differs least from \p Word, or an empty view when none
/// is close.
std::string_view nearestName(std::string_view Word,
                             std::span<const std::string_view> Candidates);

} // namespace ebonyvale

#endif

/// \file
/// Reads structs from TOML and writes them, driven by tables that declare each
/// field once with its name, member, limits, unit and description. Used for
/// settings, release notes and experiment files.
#ifndef EBONYVALE_COMMON_FIELD_TABLE_H
#define EBONYVALE_COMMON_FIELD_TABLE_H

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Malformed documents trigger two assertions of toml++ before its error
// handling runs. With assertions disabled, such documents are reported as
// errors.
#define TOML_ASSERT(Condition) static_assert(true)
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace ebonyvale {

/// How an integer field takes a number with a fraction.
enum class rounding {
  Reject, ///< a fraction is an error
  Down,   ///< for upper bounds and allowances
  Up,     ///< for minimum waits
};

/// Constraints on a field's value and its description for users.
struct field_rule {
  std::string_view Name;        ///< dotted path within the document
  std::string_view Description; ///< one sentence
  std::string_view Unit;        ///< unit of a number; empty if it has none
  std::int64_t Min = 0;         ///< smallest allowed number
  std::int64_t Max = std::numeric_limits<std::int64_t>::max();
  rounding Rounding = rounding::Reject; ///< integer fields only
  bool Required = false;
  bool Secret = false;      ///< redacted by `writeFields`
  std::string_view Choices; ///< allowed words, separated by '|'
};

/// Pointer to the member of `Record` that holds a field's value.
template <typename Record>
using field_member = std::variant<std::string Record::*, std::int64_t Record::*,
                                  double Record::*, bool Record::*,
                                  std::vector<std::string> Record::*>;

/// Declares one field of `Record`.
template <typename Record> struct field {
  field_rule Rule;
  field_member<Record> Member;
};

/// Pointer to the value of one field in one record.
using field_value = std::variant<std::string *, std::int64_t *, double *,
                                 bool *, std::vector<std::string> *>;

/// A field's rule and the value it applies to.
struct bound_field {
  const field_rule *Rule;
  field_value Value;
};

/// An error found in a document.
struct problem {
  std::uint32_t Line = 0; ///< 1-based; 0 if unknown
  std::string Field;
  std::string Reason;
};

/// Errors in the order in which they were found.
using problem_list = std::vector<problem>;

/// Formats \p Problems, one per line, such as
/// "line 3: field 'rate': must be at least 1".
std::string describe(const problem_list &Problems);

/// Binds each field to its value in \p Target.
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

/// Tells whether a document may omit required fields.
enum class completeness {
  RequireAll,   ///< a missing required field is an error
  AllowMissing, ///< missing fields keep their values
};

/// Reads \p Source into \p Fields. Adds unknown and missing fields, wrong types
/// and values out of range to \p Problems; \p Context is prepended to the field
/// names in them.
void readFields(const toml::table &Source, std::span<const bound_field> Fields,
                completeness Mode, std::string_view Context,
                problem_list &Problems);

/// Sets the field \p Name from \p Text, a value from the command line. Adds an
/// error to \p Problems if it is invalid.
void readFieldText(std::string_view Name, std::string_view Text,
                   std::span<const bound_field> Fields, problem_list &Problems);

/// Returns one `name = value` line per field, in the order of \p Fields and
/// with dotted names. Secrets are redacted unless \p WithSecrets is set.
std::string writeFields(std::span<const bound_field> Fields, bool WithSecrets);

/// Returns the candidate with the smallest edit distance to \p Word, or an
/// empty view if all of them differ by more than a few letters.
std::string_view nearestName(std::string_view Word,
                             std::span<const std::string_view> Candidates);

} // namespace ebonyvale

#endif

#include "common/field_table.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>
#include <optional>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Largest edit distance at which a known name is suggested for an unknown one.
constexpr std::size_t NearestNameMaxDistance = 3;

/// Returns the Levenshtein distance between \p From and \p To.
std::size_t editDistance(std::string_view From, std::string_view To) {
  std::vector<std::size_t> Row(To.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 0; I < From.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I + 1;
    for (std::size_t J = 0; J < To.size(); ++J) {
      const std::size_t Substituted = Diagonal + (From[I] == To[J] ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Substituted, Row[J] + 1, Row[J + 1] + 1});
    }
  }
  return Row.back();
}

/// Returns whether \p Word is one of the words in \p Choices, which are
/// separated by '|'.
bool isChoice(std::string_view Choices, std::string_view Word) {
  while (!Choices.empty()) {
    const std::size_t Bar = Choices.find('|');
    if (Choices.substr(0, Bar) == Word)
      return true;
    if (Bar == std::string_view::npos)
      return false;
    Choices.remove_prefix(Bar + 1);
  }
  return false;
}

/// Checks a value against a rule and stores it. Returns why the value is
/// invalid, or an empty string.
struct assigner {
  const field_rule &Rule;

  std::string operator()(std::string *Target, const std::string &Value) const {
    if (!Rule.Choices.empty() && !isChoice(Rule.Choices, Value))
      return fmt::format("must be one of {}", Rule.Choices);
    if (Rule.Required && Value.empty())
      return "must not be empty";
    *Target = Value;
    return {};
  }
  std::string operator()(std::int64_t *Target, std::int64_t Value) const {
    return assignInRange(*Target, Value);
  }
  std::string operator()(double *Target, double Value) const {
    return assignInRange(*Target, Value);
  }

private:
  template <typename Number>
  std::string assignInRange(Number &Target, Number Value) const {
    if (Value < static_cast<Number>(Rule.Min))
      return fmt::format("must be at least {} {}", Rule.Min, Rule.Unit);
    if (Value > static_cast<Number>(Rule.Max))
      return fmt::format("must be at most {} {}", Rule.Max, Rule.Unit);
    Target = Value;
    return {};
  }
};

/// Returns the integer that \p Node stands for under \p Rounding, or nothing
/// if there is none.
std::optional<std::int64_t> integerOf(const toml::node &Node,
                                      rounding Rounding) {
  if (const auto *Whole = Node.as_integer())
    return Whole->get();
  const auto *Fraction = Node.as_floating_point();
  if (!Fraction || Rounding == rounding::Reject)
    return std::nullopt;
  const double Rounded = Rounding == rounding::Down
                             ? std::floor(Fraction->get())
                             : std::ceil(Fraction->get());
  // 2^63 is the smallest double above the range of the integer. The comparison
  // is false for NaN.
  constexpr double Limit = 9223372036854775808.0;
  if (!(Rounded >= -Limit && Rounded < Limit))
    return std::nullopt;
  return static_cast<std::int64_t>(Rounded);
}

/// Checks the type and value of \p Node and stores it in \p Field. Returns why
/// the value is invalid, or an empty string.
std::string assignNode(const toml::node &Node, const bound_field &Field) {
  const assigner Assign{*Field.Rule};
  if (auto *const *Text = std::get_if<std::string *>(&Field.Value)) {
    if (const auto *Value = Node.as_string())
      return Assign(*Text, Value->get());
    return "must be a string";
  }
  if (auto *const *Number = std::get_if<std::int64_t *>(&Field.Value)) {
    if (const auto Value = integerOf(Node, Field.Rule->Rounding))
      return Assign(*Number, *Value);
    return Field.Rule->Rounding == rounding::Reject ? "must be an integer"
                                                    : "must be a number";
  }
  if (auto *const *Number = std::get_if<double *>(&Field.Value)) {
    const auto Value = Node.value<double>();
    if (Value && std::isfinite(*Value))
      return Assign(*Number, *Value);
    return "must be a number";
  }
  if (auto *const *Flag = std::get_if<bool *>(&Field.Value)) {
    const auto *Value = Node.as_boolean();
    if (!Value)
      return "must be true or false";
    **Flag = Value->get();
    return {};
  }
  const auto *Array = Node.as_array();
  if (!Array)
    return "must be an array of strings";
  std::vector<std::string> Words;
  for (const toml::node &Element : *Array) {
    const auto *Word = Element.as_string();
    if (!Word)
      return "must be an array of strings";
    Words.push_back(Word->get());
  }
  *std::get<std::vector<std::string> *>(Field.Value) = std::move(Words);
  return {};
}

/// Reports the keys of \p Source, including nested tables, that are not in
/// \p Fields.
void reportUnknown(const toml::table &Source, const std::string &Prefix,
                   std::span<const bound_field> Fields,
                   std::string_view Context, problem_list &Problems) {
  std::vector<std::string_view> Names;
  for (const bound_field &Field : Fields)
    Names.push_back(Field.Rule->Name);
  for (const auto &[Key, Node] : Source) {
    const std::string Name = Prefix + std::string(Key.str());
    if (std::ranges::find(Names, std::string_view(Name)) != Names.end())
      continue;
    const bool IsSection =
        Node.is_table() &&
        std::ranges::any_of(Names, [&Name](std::string_view Candidate) {
          return Candidate.starts_with(Name + ".");
        });
    if (IsSection) {
      reportUnknown(*Node.as_table(), Name + ".", Fields, Context, Problems);
      continue;
    }
    std::string Reason = "unknown field";
    const std::string_view Nearest = nearestName(Name, Names);
    if (!Nearest.empty())
      Reason += fmt::format("; did you mean '{}'?", Nearest);
    Problems.push_back({Node.source().begin.line,
                        fmt::format("{}{}", Context, Name), std::move(Reason)});
  }
}

/// Returns \p Text as a TOML basic string.
std::string quoted(std::string_view Text) {
  std::string Out = "\"";
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Out += '\\';
    if (static_cast<unsigned char>(C) < ' ')
      Out += fmt::format("\\u{:04x}", static_cast<unsigned>(C));
    else
      Out += C;
  }
  return Out + '"';
}

/// Formats a field's value as TOML.
struct value_writer {
  std::string operator()(const std::string *Text) const {
    return quoted(*Text);
  }
  std::string operator()(const std::int64_t *Number) const {
    return fmt::format("{}", *Number);
  }
  std::string operator()(const double *Number) const {
    return fmt::format("{}", *Number);
  }
  std::string operator()(const bool *Flag) const {
    return *Flag ? "true" : "false";
  }
  std::string operator()(const std::vector<std::string> *Words) const {
    std::string Out = "[";
    for (const std::string &Word : *Words)
      Out += (Out.size() > 1 ? ", " : "") + quoted(Word);
    return Out + "]";
  }
};

} // namespace

std::string describe(const problem_list &Problems) {
  std::string Out;
  for (const problem &Problem : Problems) {
    if (!Out.empty())
      Out += '\n';
    if (Problem.Line != 0)
      Out += fmt::format("line {}: ", Problem.Line);
    if (!Problem.Field.empty())
      Out += fmt::format("field '{}': ", Problem.Field);
    Out += Problem.Reason;
  }
  return Out;
}

std::string_view nearestName(std::string_view Word,
                             std::span<const std::string_view> Candidates) {
  std::string_view Best;
  std::size_t BestDistance = NearestNameMaxDistance + 1;
  for (const std::string_view Candidate : Candidates) {
    const std::size_t Distance = editDistance(Word, Candidate);
    if (Distance < BestDistance) {
      Best = Candidate;
      BestDistance = Distance;
    }
  }
  return Best;
}

void readFields(const toml::table &Source, std::span<const bound_field> Fields,
                completeness Mode, std::string_view Context,
                problem_list &Problems) {
  reportUnknown(Source, "", Fields, Context, Problems);
  for (const bound_field &Field : Fields) {
    const std::string Name = fmt::format("{}{}", Context, Field.Rule->Name);
    const auto View = Source.at_path(Field.Rule->Name);
    const toml::node *Node = View.node();
    if (!Node) {
      if (Field.Rule->Required && Mode == completeness::RequireAll)
        Problems.push_back({Source.source().begin.line, Name, "is required"});
      continue;
    }
    std::string Reason = assignNode(*Node, Field);
    if (!Reason.empty())
      Problems.push_back({Node->source().begin.line, Name, std::move(Reason)});
  }
}

void readFieldText(std::string_view Name, std::string_view Text,
                   std::span<const bound_field> Fields,
                   problem_list &Problems) {
  const auto Field =
      std::ranges::find_if(Fields, [Name](const bound_field &Candidate) {
        return Candidate.Rule->Name == Name;
      });
  // Strings are given without quotes; other types use the TOML syntax.
  const bool IsText = Field != Fields.end() &&
                      std::holds_alternative<std::string *>(Field->Value);
  const std::string Line =
      fmt::format("{} = {}", Name, IsText ? quoted(Text) : Text);
  const toml::parse_result Parsed = toml::parse(Line);
  if (!Parsed) {
    Problems.push_back({0, std::string(Name), "has a malformed value"});
    return;
  }
  readFields(Parsed.table(), Fields, completeness::AllowMissing, "", Problems);
}

std::string writeFields(std::span<const bound_field> Fields, bool WithSecrets) {
  std::string Out;
  for (const bound_field &Field : Fields) {
    const bool Redacted = Field.Rule->Secret && !WithSecrets;
    const std::string Value =
        Redacted ? "\"(hidden)\"" : std::visit(value_writer{}, Field.Value);
    Out += fmt::format("{} = {}\n", Field.Rule->Name, Value);
  }
  return Out;
}

} // namespace ebonyvale

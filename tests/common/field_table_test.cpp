#include "common/field_table.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <criterion/parameterized.h>

#include <array>

using namespace ebonyvale;

namespace {

struct sample {
  std::string Name;
  std::int64_t Rate = 1;
  std::int64_t Allowance = 0;
  std::int64_t Wait = 0;
  double Ratio = 0;
};

const std::array SampleFields{
    field<sample>{{.Name = "limits.name", .Required = true}, &sample::Name},
    field<sample>{{.Name = "limits.rate", .Unit = "tokens/s", .Min = 1},
                  &sample::Rate},
    field<sample>{
        {.Name = "limits.allowance", .Max = 1000, .Rounding = rounding::Down},
        &sample::Allowance},
    field<sample>{{.Name = "limits.wait", .Rounding = rounding::Up},
                  &sample::Wait},
    field<sample>{{.Name = "limits.ratio", .Max = 1}, &sample::Ratio},
};

struct number_row {
  char Line[32];
  char Problem[32]; ///< empty: none
  std::int64_t Allowance = 0;
  std::int64_t Wait = 0;
  double Ratio = 0;
};

problem_list readSample(std::string_view Text, sample &Target) {
  problem_list Problems;
  readFields(toml::parse(Text).table(),
             bindFields(std::span<const field<sample>>(SampleFields), Target),
             completeness::RequireAll, "", Problems);
  return Problems;
}

} // namespace

Test(field_table, reads_nested_fields) {
  sample Value;
  cr_assert(readSample("[limits]\nname = \"a\"\nrate = 7\n", Value).empty());
  cr_assert(Value.Name == "a");
  cr_assert(Value.Rate == 7);
}

Test(field_table, error_names_line_field_and_nearest_name) {
  sample Value;
  const problem_list Problems =
      readSample("[limits]\nname = \"a\"\nratte = 7\n", Value);
  cr_assert(Problems.size() == 1);
  cr_assert(describe(Problems) == "line 3: field 'limits.ratte': unknown "
                                  "field; did you mean 'limits.rate'?");
}

Test(field_table, rejects_values_out_of_range_and_missing_fields) {
  sample Value;
  const problem_list Problems = readSample("[limits]\nrate = 0\n", Value);
  cr_assert(Problems.size() == 2);
  cr_assert(Problems[0].Reason == "is required");
  cr_assert(Problems[1].Reason == "must be at least 1 tokens/s");
  cr_assert(Value.Rate == 1);
}

Test(field_table, written_fields_can_be_read_back) {
  sample Value;
  Value.Name = "quote \" and \\";
  Value.Rate = 12;
  const auto Bound =
      bindFields(std::span<const field<sample>>(SampleFields), Value);
  sample Copy;
  cr_assert(readSample(writeFields(Bound, true), Copy).empty());
  cr_assert(Copy.Name == Value.Name);
  cr_assert(Copy.Rate == Value.Rate);
}

ParameterizedTestParameters(field_table, numbers_with_fractions) {
  static number_row Rows[] = {
      {"rate = 1.5", "must be an integer"},
      {"allowance = 7", "", 7},
      {"allowance = 7.9", "", 7},
      {"allowance = 1001", "must be at most 1000 "},
      {"allowance = -0.5", "must be at least 0 "},
      {"allowance = inf", "must be a number"},
      {"allowance = nan", "must be a number"},
      {"allowance = 1e19", "must be a number"},
      {"allowance = \"7\"", "must be a number"},
      {"wait = 7.1", "", 0, 8},
      {"ratio = 0.25", "", 0, 0, 0.25},
      {"ratio = 1", "", 0, 0, 1},
      {"ratio = 1.01", "must be at most 1 "},
      {"ratio = nan", "must be a number"},
      {"ratio = true", "must be a number"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(number_row *Row, field_table, numbers_with_fractions) {
  sample Value;
  const problem_list Problems = readSample(
      std::string("[limits]\nname = \"a\"\n") + Row->Line + "\n", Value);
  cr_assert(Problems.empty() == std::string_view(Row->Problem).empty());
  if (!Problems.empty())
    cr_assert(Problems[0].Reason == Row->Problem, "%s",
              Problems[0].Reason.c_str());
  cr_assert(Value.Allowance == Row->Allowance);
  cr_assert(Value.Wait == Row->Wait);
  cr_assert(Value.Ratio == Row->Ratio);
}

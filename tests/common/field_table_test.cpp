#include "common/field_table.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <array>

using namespace ebonyvale;

namespace {

struct sample {
  std::string Name;
  std::int64_t Rate = 1;
};

const std::array SampleFields{
    field<sample>{{.Name = "limits.name", .Required = true}, &sample::Name},
    field<sample>{{.Name = "limits.rate", .Unit = "tokens/s", .Min = 1},
                  &sample::Rate},
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

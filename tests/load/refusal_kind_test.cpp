// The kind of a refusal, from bodies of any form.
#include "load/load_generator.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;

namespace {

struct body_row {
  char Body[48];
  char Kind[16];
};

} // namespace

ParameterizedTestParameters(refusal_kind, bodies) {
  static body_row Rows[] = {
      {R"({"error":{"kind":"overloaded"}})", "overloaded"},
      {R"({"error":"overloaded"})", "unreadable"},
      {R"({"error":{"kind":7}})", "unreadable"},
      {R"({"error":{}})", "unreadable"},
      {R"([{"error":1}])", "unreadable"},
      {"not JSON", "unreadable"},
      {"", "unreadable"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(body_row *Row, refusal_kind, bodies) {
  cr_assert(refusalKind(Row->Body) == Row->Kind);
}

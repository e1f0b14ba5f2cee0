// The default reads of a store client that implements `list` only.
#include "gateway/process/fleet_store.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

using namespace ebonyvale;

namespace {

/// A store whose list calls are answered at once.
class listing_store final : public fleet_store {
public:
  void list(const std::string &Prefix, items_callback Done) override {
    Listed = Prefix;
    Done(All);
  }
  void watch(const std::string &, std::int64_t, span_ns,
             items_callback) override {}
  void commit(const store_commit &, result_callback) override {}
  void grantLease(span_ns, result_callback) override {}
  void renewLease(std::int64_t, result_callback) override {}
  void endLease(std::int64_t, result_callback) override {}

  std::string Listed; ///< prefix of the last call
  store_items All;
};

struct after_row {
  char After[8];
  char Keys[16]; ///< of the items that are returned
  store_status Status;
};

} // namespace

ParameterizedTestParameters(fleet_store, lists_the_items_after_a_key) {
  static after_row Rows[] = {
      {"", "p/a p/b p/d", store_status::Ok},
      {"p/a", "p/b p/d", store_status::Ok},
      {"p/c", "p/d", store_status::Ok},
      {"p/d", "", store_status::Ok},
      {"p/a", "", store_status::NoAnswer},
  };
  return criterion_test_params(Rows);
}

/// Clients written before `listAfter` must still compile and read the same.
ParameterizedTest(after_row *Row, fleet_store, lists_the_items_after_a_key) {
  listing_store Store;
  Store.All.Status = Row->Status;
  Store.All.Revision = 7;
  if (Row->Status == store_status::Ok)
    for (const char *Key : {"p/a", "p/b", "p/d"})
      Store.All.Items.push_back({Key, "value", 3, false});
  int Calls = 0;
  Store.listAfter("p/", Row->After, [&](const store_items &Found) {
    ++Calls;
    std::string Keys;
    for (const store_item &Item : Found.Items)
      Keys += (Keys.empty() ? "" : " ") + Item.Key;
    cr_assert(Keys == Row->Keys, "after '%s': %s", Row->After, Keys.c_str());
    cr_assert(Found.Status == Row->Status);
    cr_assert(Found.Revision == 7);
  });
  cr_assert(Calls == 1);
  cr_assert(Store.Listed == "p/");
}

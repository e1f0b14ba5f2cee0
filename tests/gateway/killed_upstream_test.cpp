// Upstreams in processes of their own that are killed within their responses.
// Their system ends the connections in order.
#include "gateway/upstream_children.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <string_view>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct kill_row {
  char Path[16];
  bool CloseDelimited;
  bool Relayed;
  bool Killed;
};

constexpr upstream_pace paceOf(const kill_row &Row) {
  return {.EventInterval = 60ms,
          .CloseDelimitedEvery = Row.CloseDelimited ? 1U : 0U};
}

bool isStream(std::string_view Path) {
  return Path.find("stream") != std::string_view::npos;
}

} // namespace

ParameterizedTestParameters(killed_upstream,
                            response_is_not_passed_on_as_complete) {
  static kill_row Rows[] = {
      {"/stream-once/1", true, false, true},
      {"/stream-once/1", true, true, true},
      {"/stream-once/1", false, false, true},
      {"/stream-on/1", true, false, true},
      {"/stream-on/1", true, true, true},
      {"/order/1", true, false, true},
      {"/order/1", true, true, true},
      {"/stream-once/1", true, false, false},
      {"/stream-once/1", true, true, false},
      {"/stream-on/1", true, true, false},
      {"/order/1", true, false, false},
      {"/order/1", true, true, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(kill_row *Row, killed_upstream,
                  response_is_not_passed_on_as_complete) {
  child_fleet Upstreams(paceOf(*Row), Row->Relayed ? upstream_links::Proxied
                                                   : upstream_links::Direct);
  gateway_fixture &Gateway = Upstreams.Fleet.Gateway;
  if (Row->Relayed)
    Upstreams.useRelay();
  Gateway.targetFirst();
  Gateway.startRequest({.Path = Row->Path, .Id = "watched"});
  cr_assert(Gateway.waitFor([&] { return Upstreams.runsOf("watched") > 0; }));
  if (isStream(Row->Path))
    cr_assert(Gateway.waitFor([&] {
      return Gateway.result().Body.find("id: 2") != std::string::npos;
    }));
  if (Row->Killed)
    for (const auto &Child : Upstreams.Children)
      Child->kill();
  cr_assert(Gateway.waitFor([&] { return Gateway.requestDone(); }));
  const caller_response &Result = Gateway.result();
  const bool PassedAsComplete = Result.Status == 200 && Result.IsComplete;
  cr_assert(PassedAsComplete == !Row->Killed, "%d '%s'", Result.Status,
            Result.Body.c_str());
  if (!Row->Killed && isStream(Row->Path))
    cr_assert(Result.Body == fake_upstream::events(0), "'%s'",
              Result.Body.c_str());
}

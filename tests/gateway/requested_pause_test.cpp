// Upstreams that turn requests away and ask the instance for a pause.
#include "gateway/gateway_fleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// From half a second after it was asked to the end of the pause an instance
/// may send this many requests, by the platform's rule.
constexpr std::size_t MaxInPause = 2;
constexpr span_ns SettleTime = 500ms;

struct arrival {
  std::size_t Instance;
  instant At;
};

/// Returns the number in an id of `gateway_fleet`.
std::size_t numberOf(std::string_view Id) {
  std::size_t Number = 0;
  Id.remove_prefix(Id.find('-') + 1);
  std::from_chars(Id.data(), Id.data() + Id.size(), Number);
  return Number;
}

/// Returns the Retry-After of \p Response in seconds, or -1.
double toldSeconds(const caller_response &Response) {
  return std::stod(
      std::string(Response.Headers.find("Retry-After").value_or("-1")));
}

struct pause_row {
  std::size_t Instances;
  char Seconds[8];
  char Path[16];
};

} // namespace

ParameterizedTestParameters(requested_pause, is_kept_to_its_end) {
  static pause_row Rows[] = {{1, "2", "/read/1"},
                             {1, "1.5", "/order/1"},
                             {8, "2", "/read/1"},
                             {8, "1.75", "/stream-on/1"}};
  return criterion_test_params(Rows);
}

/// All requests are served by the other upstream, and the one that asked gets
/// requests again after the end.
ParameterizedTest(pause_row *Row, requested_pause, is_kept_to_its_end) {
  gateway_fleet Fleet(Row->Instances);
  fake_upstream &Asking = *Fleet.Gateway.Upstreams[0];
  const span_ns Pause = fromSeconds(std::stod(Row->Seconds));
  std::vector<arrival> Arrivals;
  Asking.OnArrival = [&](const http_request &Request) {
    const std::string_view Id =
        *Request.Head.Headers.find("Ebonyvale-Request-Id");
    Arrivals.push_back({numberOf(Id) % Fleet.size(), readBootClock()});
  };
  Asking.Behavior = upstream_behavior::Full;
  Asking.RetryAfter = {Row->Seconds};
  const instant Start = readBootClock();
  while (readBootClock() - Start < Pause) {
    const int Status = Fleet.request(Row->Path).Status;
    cr_assert(Status == 200, "%d", Status);
    runLoopFor(Fleet.Gateway.Base.get(), 5ms);
  }
  for (const arrival &Asked : Arrivals) {
    const auto InPause =
        std::ranges::count_if(Arrivals, [&](const arrival &Other) {
          return Other.Instance == Asked.Instance &&
                 Other.At - Asked.At > SettleTime &&
                 Other.At - Asked.At < Pause;
        });
    cr_assert(static_cast<std::size_t>(InPause) <= MaxInPause,
              "%td requests of instance %zu", InPause, Asked.Instance);
  }
  cr_assert(!Arrivals.empty());
  Asking.Behavior = upstream_behavior::Respond;
  const int Before = Asking.runs();
  cr_assert(Fleet.Gateway.waitFor([&] {
    Fleet.request(Row->Path);
    return Asking.runs() > Before;
  }));
}

struct told_row {
  char Path[16];
};

ParameterizedTestParameters(requested_pause,
                            of_all_upstreams_is_told_to_callers) {
  static told_row Rows[] = {{"/read/1"}, {"/order/1"}, {"/stream-on/1"}};
  return criterion_test_params(Rows);
}

/// Callers are refused at once, and served if they return when they were told.
ParameterizedTest(told_row *Row, requested_pause,
                  of_all_upstreams_is_told_to_callers) {
  gateway_fleet Fleet(1);
  constexpr double Shortest = 1.2;
  for (const auto &Upstream : Fleet.Gateway.Upstreams) {
    Upstream->Behavior = upstream_behavior::Full;
    Upstream->RetryAfter = {"3"};
  }
  Fleet.Gateway.Upstreams[1]->RetryAfter = {"1.2"};
  constexpr span_ns AtOnce = 250ms;
  constexpr double Tolerance = 0.15; // for the time between the two refusals
  const instant Start = readBootClock();
  // The attempts of the first one meet both upstreams, the second one none.
  for (int Request = 0; Request < 2; ++Request) {
    const instant SentAt = readBootClock();
    const caller_response Refused = Fleet.request(Row->Path);
    cr_assert(Refused.Status == 503, "%d", Refused.Status);
    cr_assert(readBootClock() - SentAt < AtOnce);
    const double Left = Shortest - toSeconds(readBootClock() - Start);
    cr_assert(std::abs(toldSeconds(Refused) - Left) < Tolerance,
              "request %d: told %g s, %g s left", Request, toldSeconds(Refused),
              Left);
  }
  for (const auto &Upstream : Fleet.Gateway.Upstreams)
    Upstream->Behavior = upstream_behavior::Respond;
  runLoopFor(Fleet.Gateway.Base.get(),
             fromSeconds(Shortest) - (readBootClock() - Start) + 20ms);
  cr_assert(Fleet.request(Row->Path).Status == 200);
}

struct value_row {
  char Values[2][40]; ///< of the headers in one refusal; empty: no header
  bool IsPause;       ///< asks for a pause of a second or more
};

ParameterizedTestParameters(requested_pause, odd_values_do_no_harm) {
  static value_row Rows[] = {
      {{"-1"}, false},
      {{"soon"}, false},
      {{"nan"}, false},
      {{"inf"}, false},
      {{"1e3"}, false},
      {{"2, 3"}, false},
      {{"Wed, 21 Oct 2026 07:28:00 GMT"}, false},
      {{"0"}, false},
      {{"99999999999999999999"}, true},
      {{"1.5", "soon"}, true},
      {{"0.1", "1.5"}, true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(value_row *Row, requested_pause, odd_values_do_no_harm) {
  gateway_fleet Fleet(1);
  fake_upstream &Asking = *Fleet.Gateway.Upstreams[0];
  Asking.Behavior = upstream_behavior::Full;
  for (const char *Value : Row->Values)
    if (*Value)
      Asking.RetryAfter.emplace_back(Value);
  cr_assert(Fleet.Gateway.waitFor([&] {
    cr_assert(Fleet.send() == 200);
    return !Asking.ReceivedRequests.empty();
  }));
  Asking.Behavior = upstream_behavior::Respond;
  const instant Start = readBootClock();
  while (readBootClock() - Start < 1s)
    cr_assert(Fleet.send() == 200);
  cr_assert((Asking.runs() == 0) == Row->IsPause, "%d requests in a second",
            Asking.runs());
}

/// What a pause and a leaving state together must hold together.
Test(requested_pause, ends_no_leaving) {
  gateway_fleet Fleet(1);
  fake_upstream &Asking = *Fleet.Gateway.Upstreams[0];
  Asking.Behavior = upstream_behavior::Full;
  Asking.RetryAfter = {"0.3"};
  Asking.LeavingHeader = "Server-Leaving";
  cr_assert(Fleet.Gateway.waitFor([&] {
    cr_assert(Fleet.send() == 200);
    return !Asking.ReceivedRequests.empty();
  }));
  const std::size_t Before = Asking.ReceivedRequests.size();
  const instant Start = readBootClock();
  while (readBootClock() - Start < 800ms)
    cr_assert(Fleet.send() == 200);
  cr_assert(Asking.ReceivedRequests.size() == Before);
}

struct start_row {
  std::int64_t Earlier; ///< start that the first process states
  std::int64_t Later;
};

ParameterizedTestParameters(requested_pause, ends_with_the_process) {
  static start_row Rows[] = {{1000, 2000}, {2000, 1000}};
  return criterion_test_params(Rows);
}

/// An upstream that has started again must not be kept from requests by the
/// pause of the process before it, and its own must hold, wherever its clock
/// has jumped.
ParameterizedTest(start_row *Row, requested_pause, ends_with_the_process) {
  gateway_fleet Fleet(1);
  fake_upstream &Asking = *Fleet.Gateway.Upstreams[0];
  Asking.Born = Row->Earlier;
  Fleet.Gateway.Store.put(Asking.key(), Asking.entry("s"));
  cr_assert(Fleet.Gateway.waitFor([&] {
    return Fleet.Gateway.core().directory().find("u-1")->Born == Row->Earlier;
  }));
  Asking.Behavior = upstream_behavior::Full;
  Asking.RetryAfter = {"60"};
  cr_assert(Fleet.Gateway.waitFor([&] {
    cr_assert(Fleet.send() == 200);
    return !Asking.ReceivedRequests.empty();
  }));
  Asking.Behavior = upstream_behavior::Respond;
  Asking.Born = Row->Later;
  Fleet.Gateway.Store.put(Asking.key(), Asking.entry("s"));
  cr_assert(
      Fleet.Gateway.waitFor([&] { return Fleet.send() && Asking.runs(); }));
  Asking.Behavior = upstream_behavior::Full;
  const std::size_t Served = Asking.ReceivedRequests.size();
  cr_assert(Fleet.Gateway.waitFor([&] {
    cr_assert(Fleet.send() == 200);
    return Asking.ReceivedRequests.size() > Served;
  }));
  const std::size_t Before = Asking.ReceivedRequests.size();
  const instant Start = readBootClock();
  while (readBootClock() - Start < 1s)
    cr_assert(Fleet.send() == 200);
  cr_assert(Asking.ReceivedRequests.size() == Before, "%zu requests",
            Asking.ReceivedRequests.size() - Before);
}

// Upstreams that refuse a request, run it when it comes again with the same id,
// and then send a copy of the refusal. No id tells the two responses apart.
#include "gateway/gateway_fixture.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// How the request comes to the process again.
enum class way {
  OtherName,      ///< by another upstream id at the same address
  CallerRepeats,  ///< the caller sends it again
  RelayedRepeats, ///< as above, and a peer passes it on both times
};

/// When the copy is sent on the connection of the refusal.
enum class copy_time {
  AtArrival,    ///< of the request, before its response
  WithResponse, ///< in one write with the response, before it
  ThenClose,    ///< in place of the response; the connection ends
};

struct copy_row {
  char Name[40];
  int Status;
  bool States; ///< the refusal states that the request was not run
  way Way;
  copy_time Time;
};

std::string refusalOf(const copy_row &Row, const std::string &Id) {
  return fmt::format(
      "HTTP/1.1 {} x\r\nKeep-Alive: timeout=5\r\n"
      "Ebonyvale-Instance-Id: u-2\r\n{}"
      "Ebonyvale-Request-Id: {}\r\nContent-Length: 4\r\n\r\nfull",
      Row.Status, Row.States ? "Ebonyvale-Not-Executed: 1\r\n" : "", Id);
}

std::string successOf(const std::string &Id) {
  return fmt::format("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
                     "Ebonyvale-Request-Id: {}\r\nContent-Length: 2\r\n\r\nok",
                     Id);
}

bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

ParameterizedTestParameters(copied_refusal, is_not_believed) {
  using enum way;
  using enum copy_time;
  static copy_row Rows[] = {
      {"421, other name", 421, false, OtherName, AtArrival},
      {"421, other name", 421, false, OtherName, WithResponse},
      {"421, other name, closes", 421, false, OtherName, ThenClose},
      {"503, other name", 503, true, OtherName, AtArrival},
      {"503, other name, closes", 503, true, OtherName, ThenClose},
      {"429, other name", 429, true, OtherName, WithResponse},
      {"400, other name", 400, true, OtherName, AtArrival},
      {"503, repeated", 503, true, CallerRepeats, AtArrival},
      {"503, repeated", 503, true, CallerRepeats, WithResponse},
      {"503, repeated, closes", 503, true, CallerRepeats, ThenClose},
      {"429, repeated", 429, true, CallerRepeats, AtArrival},
      {"408, repeated", 408, true, CallerRepeats, AtArrival},
      {"400, repeated", 400, true, CallerRepeats, AtArrival},
      {"503, relayed", 503, true, RelayedRepeats, AtArrival},
      {"503, relayed, closes", 503, true, RelayedRepeats, ThenClose},
      {"429, relayed", 429, true, RelayedRepeats, WithResponse},
  };
  return criterion_test_params(Rows);
}

/// A copy of a refusal was taken for the refusal of the run under way, so that
/// the request ran twice, or its caller was told that it had not run.
ParameterizedTest(copy_row *Row, copied_refusal, is_not_believed) {
  const bool Relayed = Row->Way == way::RelayedRepeats;
  gateway_fixture Gateway(gateway_fixture::testSettings(),
                          Relayed ? upstream_links::Proxied
                                  : upstream_links::Direct);
  std::unique_ptr<gateway_task> Relay;
  int Runs = 0;
  bool Refused = false;
  scripted_server::peer *Kept = nullptr;
  scripted_server Server(Gateway.Base.get(), [&](scripted_server::peer &Peer) {
    const std::string Request = Peer.Received;
    if (!Request.ends_with("the body"))
      return;
    Peer.Received.clear();
    const std::string Id = headerIn(Request, "Ebonyvale-Request-Id: ");
    const bool IsFirst = !std::exchange(Refused, true);
    if (IsFirst ||
        (Row->Way == way::OtherName &&
         headerIn(Request, "Ebonyvale-Expect-Instance: ") == "u-1")) {
      Kept = IsFirst ? &Peer : Kept;
      return Peer.send(refusalOf(*Row, Id));
    }
    ++Runs;
    if (&Peer != Kept)
      return Peer.send(successOf(Id));
    switch (Row->Time) {
    case copy_time::AtArrival:
      Peer.send(refusalOf(*Row, Id));
      return callAfter(Gateway.Base.get(), 30ms,
                       [&Peer, Id] { Peer.send(successOf(Id)); });
    case copy_time::WithResponse:
      return Peer.send(refusalOf(*Row, Id) + successOf(Id));
    case copy_time::ThenClose:
      Peer.send(refusalOf(*Row, Id));
      return Peer.close();
    }
  });
  fake_upstream &First = *Gateway.Upstreams[0];
  fake_upstream &Second = *Gateway.Upstreams[1];
  const std::uint16_t Port = Server.address().Port;
  const auto IsListed = [&](gateway_core &Core) {
    const upstream_entry *Entry =
        Core.directory().find(Row->Way == way::OtherName ? "u-2" : "u-1");
    return Entry && Entry->Slots == 5;
  };
  const auto EntryOf = [&](const fake_upstream &Upstream) {
    std::string Entry = Upstream.entryAt(Port, "s", /*Draining=*/false);
    return Entry.replace(Entry.find("\"batchSlots\":8"), 14,
                         "\"batchSlots\":5");
  };
  Gateway.Store.erase(Second.key());
  Gateway.Store.put(First.key(), EntryOf(First));
  if (Row->Way == way::OtherName)
    Gateway.Store.put(Second.key(), EntryOf(Second));
  cr_assert(Gateway.waitFor([&] { return IsListed(Gateway.core()); }));
  if (Relayed) {
    Relay = Gateway.startGatewayInstance("i-2");
    cr_assert(Gateway.waitFor([&] {
      return Relay->core().ready(readBootClock()) && IsListed(Relay->core()) &&
             Gateway.core().roster().peers().size() == 1;
    }));
    Gateway.linksOf("i-1").setFault(proxy_fault::Partition);
    cr_assert(Gateway.waitFor(
        [&] { return Gateway.core().upstreamPaths().lostCount() == 1; }));
  }
  int Status = 0;
  for (int Attempt = 0; Attempt < 40 && Runs == 0; ++Attempt) {
    Status = Gateway
                 .sendRequest(
                     {.Path = "/order/1", .Id = "same", .DeadlineMs = "1500"})
                 .Status;
    cr_assert((Runs > 0) != promisesNotRun(Status), "%s: %d after %d runs",
              Row->Name, Status, Runs);
    runLoopFor(Gateway.Base.get(), 20ms);
  }
  cr_assert(Runs == 1, "%s: %d runs, last status %d", Row->Name, Runs, Status);
}

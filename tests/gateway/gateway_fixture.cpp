#include "gateway/gateway_fixture.h"

#include "platform/routing_document.h"

#include <criterion/criterion.h>

#include <csignal>
#include <sstream>
#include <tuple>

namespace ebonyvale {

namespace {

/// Ports for callers and for operators.
std::pair<std::uint16_t, std::uint16_t> portsOf(const gateway_task &Gateway) {
  std::ostringstream Ports;
  Gateway.writePorts(Ports);
  std::istringstream Lines(Ports.str());
  std::string Name;
  std::uint16_t Callers = 0;
  std::uint16_t Ready = 0;
  std::uint16_t Operators = 0;
  Lines >> Name >> Callers >> Name >> Ready >> Name >> Operators;
  return {Callers, Operators};
}

} // namespace

class gateway_fixture::caller final : public answer_observer {
public:
  head_verdict onAnswerHead(const http_head &Head, bool) override {
    Result.Status = Head.Status;
    Result.Headers = Head.Headers;
    return head_verdict::Take;
  }
  void onAnswerBody(std::string_view Bytes) override { Result.Body += Bytes; }
  void onAnswerEnd() override { Over = Result.Whole = true; }
  void onAnswerLost(const exchange_loss &) override { Over = true; }

  caller_result Result;
  bool Over = false;
};

gateway_settings gateway_fixture::quickSettings() {
  gateway_settings Settings;
  Settings.InstanceName = "i-1";
  Settings.Domain = "z";
  Settings.Domains = {"z=r"};
  Settings.CallerEndpoint = "127.0.0.1:0";
  Settings.ReadyEndpoint = "127.0.0.1:0";
  Settings.PeerEndpoint = "127.0.0.1:0";
  Settings.MetricsEndpoint = "127.0.0.1:0";
  Settings.StoreEndpoint = "127.0.0.1:1"; // the stand-in needs none
  Settings.StoreWatchPauseMs = 5;
  Settings.StoreReadIntervalMs = 50;
  Settings.LimitSlackTokens = 1000;
  Settings.LogLevel = "off";
  return Settings;
}

gateway_fixture::gateway_fixture(gateway_settings Given)
    : Settings(std::move(Given)) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const char *Id : {"u-1", "u-2"}) {
    Upstreams.push_back(std::make_unique<upstream_stand_in>(Base.get(), Id));
    Store.put(Upstreams.back()->key(), Upstreams.back()->entry("s"));
  }
  configure(1);
  Gateway = startAnother(Settings.InstanceName);
  std::tie(Port, OperatorPort) = portsOf(*Gateway);
  cr_assert(waitFor([this] { return core().ready(readBootClock()); }));
}

void gateway_fixture::useOperatorPortOf(const gateway_task &Other) {
  OperatorPort = portsOf(Other).second;
}

std::unique_ptr<gateway_task>
gateway_fixture::startAnother(const std::string &Name) {
  InstanceSettings.push_back(std::make_unique<gateway_settings>(Settings));
  InstanceSettings.back()->InstanceName = Name;
  auto Started = std::make_unique<gateway_task>(
      Base.get(), *InstanceSettings.back(),
      platform_protocols{Documents, Callers, Messages},
      [this, Name](client_links &, const endpoint &, span_ns) {
        return std::make_unique<fake_fleet_store_client>(Store, Name);
      });
  cr_assert(!Started->start());
  return Started;
}

gateway_fixture::~gateway_fixture() {
  // Each order says which one it follows.
  for (const auto &Upstream : Upstreams) {
    cr_assert(Upstream->port() != 0);
    cr_assert(Upstream->Conflicts == 0);
  }
  if (Exchange)
    Exchange->cancel();
}

void gateway_fixture::configure(int Version, const std::string &Keys,
                                double Rate) {
  Store.put("op/config", routingDocument(Version, Keys, Rate));
}

void gateway_fixture::begin(const caller_ask &Ask) {
  client_request Request;
  Request.Server = {"127.0.0.1", Port};
  Request.Method = Ask.Method;
  Request.Target = Ask.Path;
  Request.FreshLink = true;
  Request.Headers.add("Host", "h.example");
  Request.Headers.add("Ebonyvale-Request-Id", Ask.Id);
  Request.Headers.add("Ebonyvale-Deadline-Ms", Ask.DeadlineMs);
  if (!Ask.Key.empty())
    Request.Headers.add("Authorization", "Bearer " + Ask.Key);
  if (!Ask.ResumeAfter.empty())
    Request.Headers.add("Last-Event-Id", Ask.ResumeAfter);
  Request.Body = "the body";
  Present = std::make_unique<caller>();
  Exchange = Links.start(Request, *Present);
}

caller_result gateway_fixture::askAsOperator(const std::string &Target) {
  client_request Request;
  Request.Server = {"127.0.0.1", OperatorPort};
  Request.Method = "GET";
  Request.Target = Target;
  Request.FreshLink = true;
  Present = std::make_unique<caller>();
  Exchange = Links.start(Request, *Present);
  cr_assert(waitFor([this] { return over(); }));
  Exchange.reset();
  return Present->Result;
}

bool gateway_fixture::over() const { return Present->Over; }

const caller_result &gateway_fixture::result() const { return Present->Result; }

void gateway_fixture::leave() { std::exchange(Exchange, nullptr)->cancel(); }

caller_result gateway_fixture::ask(const caller_ask &Ask) {
  begin(Ask);
  cr_assert(waitFor([this] { return over(); }));
  Exchange.reset();
  return Present->Result;
}

} // namespace ebonyvale

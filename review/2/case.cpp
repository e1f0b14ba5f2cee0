// After a tenant has become `dedicated`, other tenants' requests use KV cache
// that its requests made.
#include "common/deployment.h"
#include "common/stand_engine.h"

#include "net/timer.h"

#include <map>
#include <string_view>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace {

using namespace ebonyvale;
using namespace std::chrono_literals;
using nlohmann::json;

constexpr span_ns ConfigApplyMs = 2500ms; // contractParams.configApplyMs
constexpr std::string_view Host = "kits.example";
constexpr int Rounds = 5;

/// A configuration with the tenants "retail" and "families".
std::string configuration(int Version, bool RetailIsDedicated) {
  const auto Tenant = [](const char *Name, bool Dedicated) {
    return json{{"name", Name},
                {"apiKeys", {fmt::format("key-of-{}-0001", Name)}},
                {"unit", "tokens"},
                {"uncachedTokens", 200},
                {"ratePerS", 1'000'000},
                {"burst", 1'000'000},
                {"dedicated", Dedicated}};
  };
  return json{
      {"version", Version},
      {"routes",
       {{{"name", "manual-verdict"},
         {"hostname", Host},
         {"prefix", "/verdict/"},
         {"routeType", "streaming"},
         {"resumable", true},
         {"sessionAffinity", true},
         {"timeoutMs", 4000},
         {"targetLatencyMs", 500},
         {"backend", "saft-llm"},
         {"maxAttempts", 2}}}},
      {"services",
       {{{"name", "saft-llm"},
         {"healthPath", "/health"},
         {"maxConnections", 370},
         {"engine",
          {{"batchSlots", 64},
           {"kvCapacityTokens", 119004},
           {"kvTokenBytes", 18432},
           {"linkMbps", 130000},
           {"models", {{{"name", stand_engine::Model}}}}}}}}},
      {"limits",
       {{"headerBytes", 16384},
        {"bodyBytes", 4194304},
        {"headerTimeoutMs", 5000},
        {"idleTimeoutMs", 10000}}},
      {"tenants",
       {Tenant("families", false), Tenant("retail", RetailIsDedicated)}}}
      .dump();
}

class wall_case {
public:
  explicit wall_case(const case_arguments &Arguments)
      : Trouble(Arguments.Trouble), Fleet(Arguments, {"bergen-a"}),
        Engine(Fleet.base(), Fleet.store(), "i-1") {
    Engine.OnRequest = [this](const auto &Link, const http_request &Request) {
      runPrompt(Link, Request);
    };
  }

  int run() {
    Fleet.store().put("op/config", configuration(11, !Trouble));
    RetailIsDedicated = !Trouble;
    if (!Fleet.startAll())
      return CouldNotRun;
    Fleet.wait(1s);
    askAll("retail");
    Fleet.wait(500ms);
    if (Trouble) {
      Fleet.store().put("op/config", configuration(14, true));
      RetailIsDedicated = true;
      Fleet.record("acknowledged: version 14, \"retail\" is dedicated");
    }
    Fleet.wait(ConfigApplyMs + 1s);
    askAll("families");
    Fleet.wait(500ms);
    Fleet.record(fmt::format("{} of {} requests answered; {} used KV cache of "
                             "a dedicated tenant: rule {}",
                             Answered, 2 * Rounds, Shared,
                             Shared > 0 ? "broken" : "held"));
    if (Answered != 2 * Rounds)
      return CouldNotRun;
    return Shared > 0 ? RuleBroken : RuleHeld;
  }

private:
  void askAll(std::string_view Tenant) {
    for (int Manual = 0; Manual < Rounds; ++Manual) {
      ask(Tenant, Manual);
      Fleet.wait(500ms);
    }
  }

  /// Sends a prompt whose first part, the manual \p Manual, both tenants use.
  void ask(std::string_view Tenant, int Manual) {
    client_request Request;
    Request.Server = Fleet.gateway(0).callers();
    Request.Method = "POST";
    Request.Target = "/verdict/2f";
    Request.Headers.add("Host", Host);
    Request.Headers.add("Ebonyvale-Request-Id", fmt::format("{:016x}", ++Sent));
    Request.Headers.add("Ebonyvale-Model", stand_engine::Model);
    Request.Headers.add("Ebonyvale-Token-Usage", "9190,10");
    Request.Headers.add(
        "Ebonyvale-Prompt-Prefix",
        fmt::format("5c1e07a{}:6300,{:08x}:2890", Manual, 0xe4402b00 + Sent));
    Request.Headers.add("Ebonyvale-Deadline-Ms", "4000");
    Request.Headers.add("Authorization",
                        fmt::format("Bearer key-of-{}-0001", Tenant));
    Request.Body = "prompt";
    const stand_call Call(Fleet.links(), Request);
    Fleet.waitFor([&Call] { return Call.Ended; }, 5s);
    constexpr int StatusOk = 200;
    Answered += Call.Complete && Call.Status == StatusOk ? 1 : 0;
    Fleet.record(
        fmt::format("{} of {} is answered with {}", Sent, Tenant, Call.Status));
  }

  /// Uses the parts that are cached under the request's salt, and caches the
  /// others.
  void runPrompt(const std::shared_ptr<server_connection> &Link,
                 const http_request &Request) {
    const header_list &Sent = Request.Head.Headers;
    const std::string Id(Sent.find("Ebonyvale-Request-Id").value_or(""));
    const std::string Tenant(Sent.find("Ebonyvale-Tenant").value_or(""));
    const std::string Salt(Sent.find("Ebonyvale-Cache-Salt").value_or(""));
    std::string_view Parts = Sent.find("Ebonyvale-Prompt-Prefix").value_or("");
    bool PartsBeforeAreCached = true;
    while (!Parts.empty()) {
      const std::string Part(Parts.substr(0, Parts.find(',')));
      Parts.remove_prefix(std::min(Parts.size(), Part.size() + 1));
      const auto [Found, IsNew] = Cache.try_emplace({Salt, Part}, Tenant);
      PartsBeforeAreCached = PartsBeforeAreCached && !IsNew;
      Fleet.record(fmt::format("{} of {} {} part {} under the salt '{}'", Id,
                               Tenant, IsNew ? "makes" : "uses", Part, Salt));
      const std::string &Maker = Found->second;
      if (!PartsBeforeAreCached || Maker == Tenant || !RetailIsDedicated ||
          (Maker != "retail" && Tenant != "retail"))
        continue;
      ++Shared;
      Fleet.record(fmt::format("WALL broken: {} of {} uses part {}, which a "
                               "request of {} made",
                               Id, Tenant, Part, Maker));
    }
    header_list Headers;
    Headers.add("Ebonyvale-Request-Id", Id);
    Headers.add("Ebonyvale-Server-Seal", "seal.i-1");
    Headers.add("Ebonyvale-Weight-Versions", "1");
    Headers.add("Content-Type", "text/event-stream");
    Link->writeResponse(200, Headers, "id: 1\ndata: ok\n\n");
  }

  bool Trouble;
  bool RetailIsDedicated = false;
  deployment Fleet;
  stand_engine Engine;
  /// The tenant that made each part, by salt and part.
  std::map<std::pair<std::string, std::string>, std::string> Cache;
  int Sent = 0;
  int Answered = 0;
  int Shared = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  return wall_case(readArguments(Count, Arguments)).run();
}

#include "platform/documents.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

const platform::documents Documents;

constexpr std::string_view Configuration = R"({"version":7,"routes":[
 {"name":"r1","hostname":"h.example","prefix":"/a/","routeType":"streaming",
  "timeoutMs":4000,"targetLatencyMs":500,"priority":1,
  "trafficSplit":[{"backend":"s1","weight":90},{"backend":"s2","weight":10}],
  "maxAttempts":2,"anonymous":false,"sessionAffinity":true,"resumable":true},
 {"name":"r2","hostname":"h.example","prefix":"/b/","routeType":"streaming",
  "timeoutMs":12000.5,"backend":"s1","resumable":false},
 {"name":"r3","hostname":"h.example","prefix":"/c/","routeType":"unsafe",
  "backend":"s2","anonymous":true},
 {"name":"r4","hostname":"h.example","prefix":"/d/","routeType":"safe",
  "backend":"s2"}],
 "services":[{"name":"s1","healthPath":"/health","maxConnections":370,
  "engine":{"batchSlots":64,"kvCapacityTokens":119004,"kvTokenBytes":18432,
   "linkMbps":130000.0,"models":[{"name":"m"}]}},
  {"name":"s2","healthPath":"/health","maxConnections":110},
  {"name":"k","kvStoreAddr":"172.20.0.2:8604","zone":"z",
   "kvCapacityTokens":1255434,"linkMbps":33000.0}],
 "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"unit":"tokens",
  "uncachedTokens":200,"dedicated":true,"ratePerS":199522,"burst":5}],
 "unknown":{"later":1}})";

struct invalid_case {
  char Text[120];
};

struct entry_case {
  char Text[240];
  bool Valid;
};

struct release_case {
  char Text[120];
  bool Valid;
};

} // namespace

Test(platform_documents, a_configuration_is_parsed) {
  const auto Table = Documents.readRouting(Configuration, "secret");
  cr_assert(Table && Table->Version == 7);
  const forward_route *Resumable = Table->findRoute("h.example", "/a/1");
  cr_assert(Resumable->Streams && Resumable->Resumable);
  cr_assert(Resumable->Repeat == repeat_policy::Idempotent);
  cr_assert(Resumable->MaxAttempts == 2 && Resumable->Split.size() == 2);
  cr_assert(Resumable->Timeout == 4s && Resumable->Target == 500ms);
  // A stream that cannot be resumed is not idempotent.
  const forward_route *Stream = Table->findRoute("h.example", "/b/1");
  cr_assert(Stream->Streams && Stream->Repeat == repeat_policy::AtMostOnce);
  cr_assert(Stream->MaxAttempts == 1 && Stream->Timeout == 12000500us);
  const forward_route *Order = Table->findRoute("h.example", "/c/1");
  cr_assert(Order->Open && Order->Repeat == repeat_policy::AtMostOnce);
  const forward_route *Read = Table->findRoute("h.example", "/d/1");
  cr_assert(!Read->Open && Read->Repeat == repeat_policy::Idempotent);
  cr_assert(Table->Services.at("s1").Engine->CacheTokens == 119004);
  cr_assert(!Table->Services.at("s2").Engine);
  cr_assert(Table->Services.at("k").CacheStore->Address == "172.20.0.2:8604");
  const team_entry *Team = Table->findTeam(hashKey("secret", "k2"));
  cr_assert(Team && Team->CountsTokens && Team->IsolatedCache);
  cr_assert(Team->Rate == 199522 && Team->Priority == 1);
  cr_assert(Table->Bounds.IdleTimeout == 15s);
}

ParameterizedTestParameters(platform_documents,
                            invalid_configurations_are_rejected) {
  static invalid_case Rows[] = {
      {""},
      {"[]"},
      {"{\"version\":1}"},
      {"{\"routes\":[]}"},
      {"{\"version\":\"1\",\"routes\":[]}"},
      {"{\"version\":-1,\"routes\":[]}"},
      {"{\"version\":1,\"routes\":[{\"name\":\"r\"}]}"},
      {"{\"version\":1,\"routes\":[{\"hostname\":\"h\",\"prefix\":\"/\","
       "\"routeType\":\"safe\"}]}"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(invalid_case *Row, platform_documents,
                  invalid_configurations_are_rejected) {
  const auto Table = Documents.readRouting(Row->Text, "secret");
  cr_assert(!Table && Table.error().kind() == error_kind::NoteInvalid);
}

ParameterizedTestParameters(platform_documents, upstream_entries) {
#define ENTRY                                                                  \
  "\"backend\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":"  \
  "\"v1\",\"batchSlots\":6"
  static entry_case Rows[] = {
      {"{" ENTRY ",\"state\":\"ready\"}", true},
      {"{" ENTRY ",\"state\":\"draining\",\"born\":1770000000000}", true},
      {"{" ENTRY ",\"state\":\"ready\",\"models\":[{\"name\":\"m\",\"version\":"
       "2}]}",
       true},
      {"{" ENTRY ",\"state\":\"sleeping\"}", false},
      {"{" ENTRY "}", false},
      {"{" ENTRY ",\"state\":\"ready\",\"born\":\"1\"}", false},
      {"{" ENTRY ",\"state\":\"ready\",\"born\":1.5}", false},
      {"{" ENTRY ",\"state\":\"ready\",\"models\":{}}", false},
      {"{" ENTRY ",\"state\":\"ready\",\"models\":[{\"name\":\"m\"}]}", false},
      {"{\"backend\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
       "\"batchSlots\":"
       "6,\"state\":\"ready\"}",
       false},
      {"{\"backend\":5,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
       "\"batchSlots\":"
       "6,\"state\":\"ready\"}",
       false},
      {"\xff\xfe{", false},
      {"", false},
  };
#undef ENTRY
  return criterion_test_params(Rows);
}

ParameterizedTest(entry_case *Row, platform_documents, upstream_entries) {
  std::vector<std::string> UnknownFields;
  const auto Entry = Documents.readUpstream("i-1", Row->Text, UnknownFields);
  cr_assert(Entry.has_value() == Row->Valid, "%s", Row->Text);
  if (Entry)
    cr_assert(Entry->Id == "i-1" && Entry->Service == "s" &&
              Entry->Port == 80 && Entry->Slots == 6);
}

Test(platform_documents, document_kinds_by_key) {
  cr_assert(Documents.kindOf("op/config") == document_kind::Routing);
  cr_assert(Documents.kindOf("op/version/m") == document_kind::Weights);
  cr_assert(Documents.kindOf("servers/i-1") == document_kind::Upstream);
  cr_assert(Documents.kindOf("ebonyvale/alive/x") == document_kind::Other);
  cr_assert(Documents.upstreamId("servers/i-1") == "i-1");
  const auto Target = Documents.readWeights(R"({"model":"m","version":3})");
  cr_assert(Target && Target->Model == "m" && Target->Version == 3);
  cr_assert(!Documents.readWeights(R"({"model":"m"})"));
}

ParameterizedTestParameters(platform_documents, orders_of_releases) {
  static release_case Rows[] = {
      {R"({"backend":"s","to":"v2","durationS":12})", true},
      {R"({"backend":"s","to":"v2","durationS":12.5,"later":[1]})", true},
      {R"({"backend":"t","to":"v2","durationS":12})", false},
      {R"({"to":"v2","durationS":12})", false},
      {R"({"backend":"s","durationS":12})", false},
      {R"({"backend":"s","to":"","durationS":12})", false},
      {R"({"backend":"s","to":2,"durationS":12})", false},
      {R"({"backend":"s","to":"v2"})", false},
      {R"({"backend":"s","to":"v2","durationS":"12"})", false},
      {R"({"backend":"s","to":"v2","durationS":0})", false},
      {R"({"backend":"s","to":"v2","durationS":-1})", false},
      {R"({"backend":"s","to":"v2","durationS":1e300})", false},
      {R"([{"backend":"s","to":"v2","durationS":12}])", false},
      {"\xff\xfe{", false},
      {"", false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(release_case *Row, platform_documents, orders_of_releases) {
  const auto Order = Documents.readRelease("s", Row->Text);
  cr_assert((Order ? true : false) == Row->Valid, "%s", Row->Text);
  if (Order)
    cr_assert(Order->Service == "s" && Order->Software == "v2" &&
              Order->Duration >= 12s);
  else
    cr_assert(!Order.error().Detail.empty());
}

Test(platform_documents, status_of_a_release) {
  cr_assert(Documents.kindOf("op/rollout/s") == document_kind::Release);
  cr_assert(Documents.kindOf("status/rollout/s") == document_kind::Other);
  cr_assert(Documents.releaseService("op/rollout/s") == "s");
  cr_assert(Documents.releaseStatusKey("s") == "status/rollout/s");
  for (const auto &[State, Name] :
       {std::pair(release_state::Running, "running"),
        std::pair(release_state::Finishing, "running"),
        std::pair(release_state::Completed, "completed"),
        std::pair(release_state::RolledBack, "rolled_back")}) {
    const std::string Text = Documents.writeReleaseStatus({State, "v2", 7});
    cr_assert(Text == fmt::format(R"({{"state":"{}","to":"v2"}})", Name), "%s",
              Text.c_str());
  }
}

// Merging of counted responses: lost, late and repeated messages, restarts, and
// what peers may claim.
#include "decisions/process/release_evidence.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

const release_order Order{"shop", "v2", 60s, 7};

release_evidence begin(std::size_t Instances) {
  release_evidence Evidence;
  Evidence.onOrder(Order, instant());
  Evidence.setInstances(Instances);
  return Evidence;
}

void respond(release_evidence &Evidence, response_group Group, int Count,
             int Failures, const char *Route = "/a") {
  for (int Index = 0; Index < Count; ++Index)
    Evidence.onResponse(Route, Group, {Index < Failures, 10ms}, instant());
}

} // namespace

// Each summary arrives twice and in the wrong order, of two processes of a peer
// and over another domain; the first process ended between two of them.
Test(release_evidence, late_and_repeated_summaries_do_no_harm) {
  release_evidence Peer = begin(4);
  std::vector<std::pair<evidence_source, evidence_summary>> Sent;
  respond(Peer, NewFirst, 10, 1);
  Sent.emplace_back(evidence_source{"i-2", 1, false}, Peer.ownSummary());
  respond(Peer, NewSecond, 10, 0);
  Sent.emplace_back(evidence_source{"i-2", 1, false}, Peer.ownSummary());
  release_evidence Restarted = begin(4);
  respond(Restarted, NewFirst, 5, 0);
  Sent.emplace_back(evidence_source{"i-2", 2, false}, Restarted.ownSummary());
  release_evidence Distant = begin(4);
  respond(Distant, NewFirst, 7, 0);
  Sent.emplace_back(evidence_source{"d-2", 0, true}, Distant.domainSummary());

  release_evidence Evidence = begin(4);
  respond(Evidence, NewFirst, 3, 0);
  for (int Repeat = 0; Repeat < 2; ++Repeat)
    for (auto Message = Sent.rbegin(); Message != Sent.rend(); ++Message)
      Evidence.onPeerSummary(Message->first, Message->second, instant());
  const release_verdict &Verdict = Evidence.verdict(instant() + 1s);
  cr_expect(Verdict.Exposed == 3 + 20 + 5 + 7, "%zu",
            static_cast<std::size_t>(Verdict.Exposed));
  // The sum for other domains does not pass on what came from them.
  release_evidence Outside = begin(4);
  Outside.onPeerSummary({"d-1", 0, true}, Evidence.domainSummary(), instant());
  cr_expect(Outside.verdict(instant() + 1s).Exposed == 3 + 20 + 5);
}

Test(release_evidence, summaries_of_other_orders_are_ignored) {
  release_evidence Evidence = begin(2);
  evidence_summary Summary{"shop", Order.Revision - 1, 1, {}};
  Summary.Routes["/a"][NewFirst].Responses = 100;
  Evidence.onPeerSummary({"i-2", 1, false}, Summary, instant());
  cr_expect(Evidence.verdict(instant() + 1s).Exposed == 0);
}

// Neither routes nor senders make it grow without bound.
Test(release_evidence, memory_is_bounded) {
  release_evidence Evidence = begin(2);
  for (int Index = 0; Index < 1000; ++Index)
    respond(Evidence, NewFirst, 1, 0, ("/" + std::to_string(Index)).c_str());
  evidence_summary Summary = Evidence.ownSummary();
  cr_expect(Summary.Routes.size() <= evidence_summary::MaxRoutes + 1);
  for (int Index = 0; Index < 1000; ++Index)
    Summary.Routes["/x" + std::to_string(Index)] = {};
  for (int Boot = 0; Boot < 2000; ++Boot)
    Evidence.onPeerSummary({"i-2", Boot, false}, Summary, instant(Boot * 1ms));
  cr_expect(Evidence.domainSummary().Routes.size() <=
            evidence_summary::MaxRoutes + 1);
}

struct verdict_row {
  char Name[48];
  int Former, FormerBad;
  int First, FirstBad;   ///< one half of the version's upstreams
  int Second, SecondBad; ///< the other one
  bool IsBad;
};

ParameterizedTestParameters(release_evidence, verdicts) {
  static verdict_row Rows[] = {
      {"half of the responses", 200, 1, 10, 5, 10, 5, true},
      {"no worse than the former version", 200, 40, 50, 10, 50, 10, false},
      {"one upstream only", 2000, 10, 60, 30, 60, 0, false},
      {"two failures", 200, 1, 10, 1, 10, 1, false},
      {"a version with one upstream", 200, 1, 30, 15, 0, 0, true},
      {"25 more than explained", 4000, 20, 300, 15, 300, 15, true},
      {"few, no former version", 0, 0, 4, 1, 4, 1, false},
  };
  return cr_make_param_array(verdict_row, Rows, std::size(Rows));
}

ParameterizedTest(verdict_row *Row, release_evidence, verdicts) {
  release_evidence Evidence = begin(1);
  constexpr int Slices = 5;
  const auto Part = [](int Count, int Slice) {
    return Count * (Slice + 1) / Slices - Count * Slice / Slices;
  };
  instant Now;
  for (int Slice = 0; Slice < Slices; ++Slice) {
    respond(Evidence, FormerVersions, Part(Row->Former, Slice),
            Part(Row->FormerBad, Slice));
    respond(Evidence, NewFirst, Part(Row->First, Slice),
            Part(Row->FirstBad, Slice));
    respond(Evidence, NewSecond, Part(Row->Second, Slice),
            Part(Row->SecondBad, Slice));
    Now += 250ms;
    Evidence.verdict(Now);
  }
  cr_expect((Evidence.lastVerdict().State == evidence_state::Bad) == Row->IsBad,
            "%s: ratio %.1f, bound %.1f", Row->Name,
            Evidence.lastVerdict().LogRatio, Evidence.lastVerdict().Bound);
}

#include "bench/decision_bench.h"

#include "bench/measure.h"
#include "decisions/process/dispatcher.h"
#include "decisions/process/quota_ledger.h"
#include "decisions/request/chat_request.h"

#include <numeric>
#include <random>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr instant Start{};
constexpr double NanosPerMicro = 1000;

/// An engine table, a prefix index and a placement policy. The index holds one
/// chain of \p Pieces pieces for as many engines as it supports, and \p Entries
/// other pieces.
struct placement_bench {
  placement_bench(std::size_t EngineCount, std::size_t Pieces,
                  std::size_t Entries)
      : Engines("d", "r"), Index(Entries * 2 + 2),
        Policy(makePlacementPolicy("prefix", 1)), Chain(Pieces) {
    configuration Config;
    Config.Domains["d"] = {"d", "r", 1, 1};
    for (std::size_t Number = 0; Number < EngineCount; ++Number) {
      const std::string Name = fmt::format("engine-{}", Number);
      upstream Engine;
      Engine.Name = Name;
      Engine.Domain = "d";
      Config.Upstreams[Name] = Engine;
    }
    Engines.update(Config);
    for (const engine_state &Engine : Engines.all())
      Candidates.push_back(Engine.Id);
    std::iota(Chain.begin(), Chain.end(), piece_hash{1});
    std::mt19937_64 Random(1);
    for (std::size_t Entry = 0; Entry < Entries; ++Entry) {
      const piece_hash Piece = Random();
      Index.touch({&Piece, 1}, Engines.at(0).epoch(), Start);
    }
    for (const engine_id Id : Candidates)
      if (Id < piece_holders::MaxHolders)
        Index.touch(Chain, Engines.at(Id).epoch(), Start);
  }

  double nanosPerDecision() {
    constexpr std::size_t Calls = 2000;
    return nanosPerCall(Calls, [this] {
      Policy->choose({Chain, 20, Candidates}, Engines, Index, Start);
    });
  }

  engine_table Engines;
  prefix_index Index;
  std::unique_ptr<placement_policy> Policy;
  piece_chain Chain;
  std::vector<engine_id> Candidates;
};

void benchPlacement(std::ostream &Out) {
  Out << "placement, us per decision\n";
  for (const std::size_t Engines : {25U, 50U, 100U, 200U, 300U})
    Out << fmt::format(
        "  {:>4} engines, 64 pieces                 {:>8.2f}\n", Engines,
        placement_bench(Engines, 64, 1000).nanosPerDecision() / NanosPerMicro);
  for (const std::size_t Pieces : {1U, 16U, 64U, 256U})
    Out << fmt::format(
        "   200 engines, {:>3} pieces                {:>8.2f}\n", Pieces,
        placement_bench(200, Pieces, 1000).nanosPerDecision() / NanosPerMicro);
  for (const std::size_t Entries : {1000U, 10000U, 100000U, 400000U})
    Out << fmt::format(
        "   200 engines, 64 pieces, {:>6} entries {:>8.2f}\n", Entries,
        placement_bench(200, 64, Entries).nanosPerDecision() / NanosPerMicro);
}

void benchIndexMemory(std::ostream &Out) {
  for (const std::size_t Entries : {100000U, 400000U}) {
    const std::size_t Before = heapBytes();
    const placement_bench Bench(1, 1, Entries);
    const auto Used = static_cast<double>(heapBytes() - Before);
    Out << fmt::format("index entry, bytes, {:>6} entries        {:>8.1f}\n",
                       Entries, Used / static_cast<double>(Entries));
  }
}

void benchAdmission(std::ostream &Out) {
  for (const int Teams : {5, 50, 510}) {
    quota_ledger Ledger({}, Start, 1);
    for (int Team = 0; Team < Teams; ++Team)
      Ledger.setTeam(fmt::format("team-{}", Team), {{1e9, 1e9}, true}, Start);
    instant Now = Start + std::chrono::seconds(1);
    std::uint64_t Number = 0;
    const double Nanos = nanosPerCall(20000, [&] {
      Now += std::chrono::microseconds(10);
      const auto Actions = Ledger.request(++Number, "team-0", {100, 50}, Now);
      Ledger.settle("team-0", std::get<admit_action>(Actions[0]).Reserved, 80,
                    Now);
    });
    Out << fmt::format("admission and settlement, ns, {:>3} teams {:>8.0f}\n",
                       Teams, Nanos);
  }
}

void benchPrompt(std::ostream &Out) {
  for (const std::size_t Kilobytes : {4U, 32U, 128U, 512U}) {
    const std::string Prompt(Kilobytes * 1024, 'p');
    const std::string Body =
        R"({"model":"m","messages":[{"role":"user","content":")" + Prompt +
        R"("}]})";
    const double Parse = nanosPerCall(200, [&Body] {
      (void)parseChatRequest(chat_route::ChatCompletions, Body);
    });
    const double Hash =
        nanosPerCall(200, [&Prompt] { (void)chainPieces(1, Prompt, 2048); });
    Out << fmt::format(
        "prompt of {:>3} KB, us: parse {:>8.1f}  hash {:>7.1f}\n", Kilobytes,
        Parse / NanosPerMicro, Hash / NanosPerMicro);
  }
}

} // namespace

void runDecisionBench(std::ostream &Out) {
  benchPlacement(Out);
  benchIndexMemory(Out);
  benchAdmission(Out);
  benchPrompt(Out);
}

} // namespace ebonyvale

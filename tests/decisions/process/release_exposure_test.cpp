// Bound on the exposure over all processes, and how upstreams may be used.
#include "decisions/process/release_exposure.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr release_options Bounds{0.1, 50, 5s};
const release_order Order{"shop", "v2", 60s, 7};

struct sum_row {
  std::size_t Instances;
  double RestartsPerSecond; ///< of all instances
  double Retries;           ///< further attempts for a request
  double Continuing;        ///< share of streams that go on at the version
};

std::vector<std::string> upstreams() { return {"u-1", "u-2", "u-3", "u-4"}; }

/// An exposure whose process has read the order and the upstreams.
release_exposure begin(std::optional<std::size_t> Rank, std::size_t Instances,
                       instant Now) {
  release_exposure Exposure(Bounds);
  Exposure.onOrder(Order, Rank, Instances, Now);
  Exposure.onUpstreams(upstreams(), {"v1"});
  return Exposure;
}

/// Evidence that lets every step be taken.
release_verdict unsuspicious() {
  release_verdict Verdict;
  Verdict.State = evidence_state::LikelySound;
  Verdict.Bound = 7;
  return Verdict;
}

} // namespace

ParameterizedTestParameters(release_exposure, sum_over_processes) {
  static sum_row Rows[] = {{1, 0, 0, 0},      {1, 2, 0.3, 0.2},
                           {8, 1, 0, 0},      {60, 5, 0.3, 0.2},
                           {450, 40, 0, 0.5}, {450, 0, 0, 0}};
  return cr_make_param_array(sum_row, Rows, std::size(Rows));
}

ParameterizedTest(sum_row *Row, release_exposure, sum_over_processes) {
  std::mt19937 Random(1);
  std::uniform_real_distribution<double> Fraction(0, 1);
  instant Now;
  std::vector<std::string> Names;
  for (std::size_t Index = 0; Index < Row->Instances; ++Index)
    Names.push_back("i-" + std::to_string(Index));
  std::vector<release_exposure> Fleet;
  for (const std::string &Name : Names)
    Fleet.push_back(begin(rankIn(Name, Names, Order), Names.size(), Now));
  std::uint64_t Requests = 0;
  std::uint64_t Exposed = 0;
  constexpr double PerSecond = 1000;
  for (int Count = 0; Count < 60 * PerSecond; ++Count) {
    Now += fromSeconds(1 / PerSecond);
    const auto Index = static_cast<std::size_t>(
        Fraction(Random) * static_cast<double>(Fleet.size()));
    if (Fraction(Random) < Row->RestartsPerSecond / PerSecond)
      Fleet[Index] = begin(std::nullopt, Names.size(), Now);
    release_exposure &Exposure = Fleet[Index];
    Exposure.onEvidence(unsuspicious(), 1000, Now);
    const bool Continues = Fraction(Random) < Row->Continuing;
    ++Requests;
    for (bool IsFirst = true; IsFirst || Fraction(Random) < Row->Retries;
         IsFirst = false) {
      const auto Ids = upstreams();
      const bool IsNew = std::ranges::any_of(Ids, [&](const auto &Id) {
        return Exposure.useOf("v2", Id, Continues, Now) != software_use::Barred;
      });
      Exposure.onSent(IsNew ? "v2" : "v1", IsFirst, Now);
      Exposed += IsNew;
      // At each moment, not only in the end.
      cr_assert(static_cast<double>(Exposed) <=
                Bounds.ExposeShare * static_cast<double>(Requests) +
                    Bounds.CanarySlack);
    }
  }
  // Every fleet gets going.
  cr_expect(Exposed >= Requests / 100, "%zu",
            static_cast<std::size_t>(Exposed));
}

struct use_row {
  char Name[48];
  /// Letters: f `Finishing`, c `Completed`, r `RolledBack`, b bad, p barred by
  /// a peer, w withdrawn, o the order once more, n a further order, g former
  /// upstreams gone, s requests that make one due, e status of an earlier
  /// order.
  char Events[8];
  software_use New;
  software_use Former;
  software_use Continuing; ///< a stream that began at the version
};

ParameterizedTestParameters(release_exposure, use_by_state) {
  using enum software_use;
  static use_row Rows[] = {
      {"before any request", "", Barred, Allowed, Allowed},
      {"due", "s", Preferred, Allowed, Allowed},
      {"finishing", "sf", Preferred, LastResort, Preferred},
      {"completed", "sc", Allowed, LastResort, Allowed},
      {"an earlier state after the end", "scf", Allowed, LastResort, Allowed},
      {"rolled back", "sr", Barred, Allowed, Barred},
      {"bad", "sb", Barred, Allowed, Barred},
      {"barred by a peer", "sp", Barred, Allowed, Barred},
      {"bad stays so", "sbf", Barred, Allowed, Barred},
      {"bad, the order is read again", "sbwo", Barred, Allowed, Barred},
      {"bad, completed by others", "sbc", Allowed, LastResort, Allowed},
      {"withdrawn", "sw", Barred, Allowed, Barred},
      {"withdrawn, former gone", "swg", Allowed, Allowed, Allowed},
      {"withdrawn and back", "swo", Preferred, Allowed, Allowed},
      {"former gone", "srg", Barred, Allowed, Barred},
      {"a further order after a roll-back", "srns", Preferred, Allowed,
       Allowed},
      {"status of an earlier order", "se", Preferred, Allowed, Allowed},
  };
  return cr_make_param_array(use_row, Rows, std::size(Rows));
}

ParameterizedTest(use_row *Row, release_exposure, use_by_state) {
  instant Now;
  release_exposure Exposure = begin(0, 10, Now);
  const auto Status = [&](release_state State, std::int64_t Revision) {
    Exposure.onStatus({State, "v2", Revision});
  };
  release_verdict Bad;
  Bad.State = evidence_state::Bad;
  std::int64_t Revision = Order.Revision;
  for (const char *Event = Row->Events; *Event; ++Event) {
    release_order Next = Order;
    switch (*Event) {
    case 'f':
      Status(release_state::Finishing, Revision);
      break;
    case 'c':
      Status(release_state::Completed, Revision);
      break;
    case 'r':
      Status(release_state::RolledBack, Revision);
      break;
    case 'e':
      Status(release_state::RolledBack, Revision - 1);
      break;
    case 'b':
      Exposure.onEvidence(Bad, 10, Now);
      break;
    case 'p':
      cr_expect(Exposure.onPeerBarred("v2", Revision));
      cr_expect(!Exposure.onPeerBarred("v2", Revision));
      break;
    case 'w':
      Exposure.onWithdrawn();
      break;
    case 'n':
      Next.Revision = ++Revision;
      [[fallthrough]];
    case 'o':
      Exposure.onOrder(Next, std::nullopt, 10, Now);
      Exposure.onUpstreams(upstreams(), {"v1"});
      break;
    case 'g':
      Exposure.onUpstreams(upstreams(), {});
      break;
    default:
      for (int Count = 0; Count < 60; ++Count)
        Exposure.onSent("v1", /*IsFirst=*/true, Now);
      break;
    }
  }
  const auto Loaded = loadedUpstreams(upstreams(), "v2", 0.02).Ids;
  cr_expect(Exposure.useOf("v2", Loaded.front(), false, Now) == Row->New, "%s",
            Row->Name);
  cr_expect(Exposure.useOf("v1", "u-9", false, Now) == Row->Former, "%s",
            Row->Name);
  cr_expect(Exposure.useOf("v2", "u-1", true, Now) == Row->Continuing, "%s",
            Row->Name);
}

// A service whose only version is the ordered one has none to return to.
Test(release_exposure, a_sole_version_gets_all_requests) {
  release_exposure Exposure(Bounds);
  Exposure.onOrder(Order, std::nullopt, 1, instant());
  Exposure.onUpstreams(upstreams(), {});
  cr_expect(Exposure.useOf("v2", "u-1", false, instant()) ==
            software_use::Allowed);
}

struct load_row {
  std::size_t Upstreams;
  double Share;
  std::size_t Chosen;
};

ParameterizedTestParameters(release_exposure, loaded_upstreams_get_later_load) {
  static load_row Rows[] = {{1, 0.02, 1},   {2, 0.08, 2},    {12, 0.02, 2},
                            {140, 0.02, 2}, {140, 0.08, 11}, {140, 1, 140}};
  return cr_make_param_array(load_row, Rows, std::size(Rows));
}

ParameterizedTest(load_row *Row, release_exposure,
                  loaded_upstreams_get_later_load) {
  std::vector<std::string> Ids;
  for (std::size_t Index = 0; Index < Row->Upstreams; ++Index)
    Ids.push_back("u-" + std::to_string(Index));
  const loaded_upstreams Loaded = loadedUpstreams(Ids, "v2", Row->Share);
  cr_expect(Loaded.Ids.size() == Row->Chosen);
  // The share of one of them is what it gets when all have requests.
  cr_expect(std::abs(Loaded.LoadShare / static_cast<double>(Row->Chosen) -
                     1 / static_cast<double>(Row->Upstreams)) < 1e-9);
  // One that ends changes the choice of no other.
  std::erase(Ids, Loaded.Ids.front());
  const loaded_upstreams Later = loadedUpstreams(Ids, "v2", Row->Share);
  for (std::size_t Index = 1; Index < Loaded.Ids.size(); ++Index)
    cr_expect(std::ranges::find(Later.Ids, Loaded.Ids[Index]) !=
              Later.Ids.end());
}

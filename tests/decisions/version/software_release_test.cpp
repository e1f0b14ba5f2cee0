// Steps of a release: each row is a sequence of events with the states that are
// written for them.
#include "decisions/version/software_release.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <array>
#include <string>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr release_options Bounds{0.1, 50, 5s};

struct step {
  double Seconds; ///< since the order
  /// Letters: o order, O second order for another version, w withdrawn, m
  /// malformed order, e status of an earlier order, n no upstream of the
  /// version, u upstreams, f former ones gone, s sound, b bad, l few requests,
  /// c claim moved to a new process, t trouble of the store, x write lost (no
  /// result), X write executed without a result, C conflict, T tick, I tick of
  /// a stand-in.
  char Event;
  char Written[16]; ///< state of the tick; empty: none
};

struct release_row {
  char Name[48];
  step Steps[12]; ///< ends with a step without an event
};

/// The store and the process that decides.
class decider {
public:
  std::string play(const step &Step) {
    Now = instant() + fromSeconds(Step.Seconds);
    switch (Step.Event) {
    case 'o':
      order("v2", 11);
      break;
    case 'O':
      order("v3", 12);
      break;
    case 'm':
      Order = release_order{"shop", "v2", 0s, 13};
      Release.onOrder(Order, Now);
      break;
    case 'w':
      Order.reset();
      Release.onOrder(std::nullopt, Now);
      break;
    case 'e':
      Status = release_status{release_state::Completed, "v2", 5};
      Release.onStatus(Status, ++Revision);
      break;
    case 'n':
      Release.onUpstreams(0, 4, Now);
      break;
    case 'u':
      Release.onUpstreams(4, 4, Now);
      break;
    case 'f':
      Release.onUpstreams(4, 0, Now);
      break;
    case 's':
      judge(evidence_state::Sound, 1000);
      break;
    case 'b':
      judge(evidence_state::Bad, 1000);
      break;
    case 'l':
      judge(evidence_state::Scarce, 2);
      break;
    case 'c':
      Release = software_release(Bounds);
      Release.onOrder(Order, Now);
      Release.onAge(Order ? Order->Revision : 0, Now - OrderedAt, Now);
      Release.onStatus(Status, Revision);
      Release.onUpstreams(4, 4, Now);
      break;
    case 't':
      Release.onStoreTrouble();
      break;
    case 'C':
      ++Revision; // another process has written
      break;
    case 'x':
    case 'X':
    case 'T':
    case 'I':
      return tick(Step.Event);
    default:
      break;
    }
    return "";
  }

private:
  void order(const char *Software, std::int64_t OrderRevision) {
    Order = release_order{"shop", Software, 30s, OrderRevision};
    OrderedAt = Now;
    Release.onOrder(Order, Now);
  }
  void judge(evidence_state State, double PerSecond) {
    release_verdict Verdict;
    Verdict.State = State;
    Verdict.Reason = "failures";
    Verdict.PerSecond = PerSecond;
    Verdict.Requests = static_cast<std::uint64_t>(PerSecond * 25);
    Verdict.Exposed = Verdict.Requests / 25;
    Release.onEvidence(Verdict);
  }
  std::string tick(char Event) {
    const auto Write =
        Event == 'I' ? Release.onStandInTick(Now) : Release.onTick(Now);
    if (!Write)
      return "";
    cr_expect(Order && Write->ExpectedOrderRevision == Order->Revision);
    const std::string Text(toString(Write->Status.State));
    if (Event == 'x') {
      Release.onWriteResult(release_write_outcome::Unknown, Now);
      return Text;
    }
    const bool IsDone = Write->ExpectedStatusRevision == Revision;
    if (IsDone) {
      Status = Write->Status;
      ++Revision;
    }
    if (Event == 'X') {
      Release.onWriteResult(release_write_outcome::Unknown, Now);
      return Text;
    }
    Release.onStatus(Status, Revision);
    Release.onWriteResult(IsDone ? release_write_outcome::Written
                                 : release_write_outcome::Conflict,
                          Now);
    return IsDone ? Text : "conflict";
  }

  software_release Release{Bounds};
  std::optional<release_order> Order;
  std::optional<release_status> Status;
  std::int64_t Revision = 0;
  instant OrderedAt;
  instant Now;
};

release_row Rows[] = {
    {"sound",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'T', "running"},
      {10, 's', ""},
      {28.4, 'T', ""},
      {28.5, 'T', "finishing"},
      {28.9, 'T', ""},
      {29, 'T', "completed"},
      {40, 'T', ""}}},
    {"bad",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'T', "running"},
      {3, 'b', ""},
      {3, 'T', "rolled_back"},
      {9, 's', ""},
      {29, 'T', ""}}},
    {"bad while finishing",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'T', "running"},
      {10, 's', ""},
      {28.5, 'T', "finishing"},
      {28.8, 'b', ""},
      {28.8, 'T', "rolled_back"}}},
    {"few requests",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0, 'l', ""},
      {0.1, 'T', "running"},
      {28.6, 'T', ""},
      {29, 'T', "completed"}}},
    {"no upstream appears",
     {{0, 'o', ""},
      {0, 'n', ""},
      {0.1, 'T', "running"},
      {28.9, 'T', ""},
      {29, 'T', "rolled_back"}}},
    {"withdrawn",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'T', "running"},
      {2, 'w', ""},
      {2, 'b', ""},
      {3, 'T', ""},
      {29, 'T', ""}}},
    {"second order",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'T', "running"},
      {5, 's', ""},
      {20, 'O', ""},
      {20, 'u', ""},
      {20, 'T', "running"},
      {29, 'T', ""},
      {45, 's', ""},
      {48.5, 'T', "finishing"},
      {49, 'T', "completed"}}},
    {"second order after a roll-back",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'T', "running"},
      {1, 'b', ""},
      {1, 'T', "rolled_back"},
      {9, 'O', ""},
      {9, 'T', "running"},
      {10, 'T', ""}}},
    {"status of an earlier order",
     {{0, 'e', ""}, {0, 'o', ""}, {0, 'u', ""}, {0.1, 'T', "running"}}},
    {"malformed",
     {{0, 'm', ""}, {0, 'u', ""}, {1, 'T', ""}, {1, 'b', ""}, {29, 'T', ""}}},
    {"write lost",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'x', "running"},
      {0.2, 'T', ""},
      {0.5, 'T', "running"}}},
    {"killed between writing and telling",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'T', "running"},
      {9, 's', ""},
      {28.5, 'X', "finishing"},
      {28.6, 'c', ""},
      {28.6, 'I', ""},
      {29, 'I', ""},
      {29.4, 'I', "completed"}}},
    {"killed after the roll-back",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'T', "running"},
      {3, 'b', ""},
      {3, 'X', "rolled_back"},
      {3, 'c', ""},
      {3, 's', ""},
      {29, 'T', ""}}},
    {"another decider has written",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'T', "running"},
      {3, 'b', ""},
      {3, 'C', ""},
      {3, 'T', "conflict"},
      {3.1, 'T', ""},
      {3.4, 'T', "rolled_back"}}},
    {"stand-in, bad",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'I', ""},
      {0.1, 'T', "running"},
      {3, 'b', ""},
      {3, 'I', "rolled_back"}}},
    {"trouble of the store",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'T', "running"},
      {2, 't', ""},
      {10, 's', ""},
      {25.4, 'T', ""},
      {25.5, 'T', ""},
      {28.5, 'T', "finishing"}}},
    {"former version gone",
     {{0, 'o', ""},
      {0, 'u', ""},
      {0.1, 'T', "running"},
      {3, 'f', ""},
      {9, 'T', ""},
      {13, 'T', "completed"}}},
};

} // namespace

ParameterizedTestParameters(software_release, steps) {
  return cr_make_param_array(release_row, Rows, std::size(Rows));
}

ParameterizedTest(release_row *Row, software_release, steps) {
  decider Decider;
  for (const step &Step : Row->Steps) {
    if (Step.Event == '\0')
      break;
    const std::string Written = Decider.play(Step);
    cr_expect(Written == Step.Written, "%s: at %.1f s \"%s\" was written",
              Row->Name, Step.Seconds, Written.c_str());
  }
}

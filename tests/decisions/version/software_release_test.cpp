// Steps of a release: each row is a sequence of events with the states that are
// written for them.
#include "decisions/version/software_release.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <sstream>
#include <string>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr release_options Bounds{0.1, 50, 5s};

/// An event at a time in seconds after the order, and the state that is written
/// then, if any. Letters: o order, O second order for another version, w
/// withdrawn, m malformed order, e status of an earlier order, n no upstream of
/// the version, u upstreams, f former ones gone, s sound, b bad, l few
/// requests, c claim moved to a new process, t trouble of the store, x write
/// lost, X write executed without a result, C conflict, T tick, I tick of a
/// stand-in.
struct step {
  double Seconds = 0;
  char Event = 0;
  std::string Written;
};

struct release_row {
  char Name[40];
  char Script[160];
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
     "0o 0u 0.1T=running 10s 28.4T 28.5T=finishing 28.9T 29T=completed 40T"},
    {"bad", "0o 0u 0.1T=running 3b 3T=rolled_back 9s 29T"},
    {"bad while finishing",
     "0o 0u 0.1T=running 10s 28.5T=finishing 28.8b 28.8T=rolled_back"},
    {"few requests", "0o 0u 0l 0.1T=running 28.6T 29T=completed"},
    {"no upstream appears", "0o 0n 0.1T=running 28.9T 29T=rolled_back"},
    {"withdrawn", "0o 0u 0.1T=running 2w 2b 3T 29T"},
    {"second order", "0o 0u 0.1T=running 5s 20O 20u 20T=running 29T 45s "
                     "48.5T=finishing 49T=completed"},
    {"second order after a roll-back",
     "0o 0u 0.1T=running 1b 1T=rolled_back 9O 9T=running 10T"},
    {"status of an earlier order", "0e 0o 0u 0.1T=running"},
    {"malformed", "0m 0u 1T 1b 29T"},
    {"write lost", "0o 0u 0.1x=running 0.2T 0.5T=running"},
    {"killed between writing and telling",
     "0o 0u 0.1T=running 9s 28.5X=finishing 28.6c 28.6I 29I 29.4I=completed"},
    {"killed after the roll-back",
     "0o 0u 0.1T=running 3b 3X=rolled_back 3c 3s 29T"},
    {"another decider has written",
     "0o 0u 0.1T=running 3b 3C 3T=conflict 3.1T 3.4T=rolled_back"},
    {"stand-in, bad", "0o 0u 0.1I 0.1T=running 3b 3I=rolled_back"},
    {"trouble of the store",
     "0o 0u 0.1T=running 2t 10s 25.4T 25.5T 28.5T=finishing"},
    {"former version gone", "0o 0u 0.1T=running 3f 9T 13T=completed"},
};

} // namespace

ParameterizedTestParameters(software_release, steps) {
  return cr_make_param_array(release_row, Rows, std::size(Rows));
}

ParameterizedTest(release_row *Row, software_release, steps) {
  decider Decider;
  std::istringstream Script(Row->Script);
  for (std::string Word; Script >> Word;) {
    std::size_t Letter = 0;
    step Step{std::stod(Word, &Letter)};
    Step.Event = Word[Letter];
    if (Word.size() > Letter + 1)
      Step.Written = Word.substr(Letter + 2);
    const std::string Written = Decider.play(Step);
    cr_expect(Written == Step.Written, "%s: at %.1f s \"%s\" was written",
              Row->Name, Step.Seconds, Written.c_str());
  }
}

// A request that crashes the worker that runs it is sent again and again to
// that worker, which restarts under its id.
#include "common/kit_orders.h"
#include "common/stand_worker.h"

#include "net/timer.h"

#include <deque>
#include <map>

#include <spdlog/fmt/fmt.h>

namespace {

using namespace ebonyvale;
using namespace std::chrono_literals;

constexpr span_ns ContactMs = 3000ms; // contractParams.contactMs
constexpr span_ns DownTime = 2500ms;  // from a crash to the restart
constexpr span_ns RepeatInterval = 5000ms;
constexpr int Repeats = 16;
constexpr span_ns OrderInterval = 40ms;
constexpr std::size_t AllowedRetries = 3;
constexpr std::string_view CrashingTarget = "/order/special";

class crash_case {
public:
  explicit crash_case(const case_arguments &Arguments)
      : Trouble(Arguments.Trouble), Fleet(Arguments, {"bergen-a", "bergen-b"}),
        OrderTimer(Fleet.base(), [this] { sendOrders(); }) {}

  int run() {
    Fleet.store().put("op/config", kitConfiguration());
    addWorker("i-1", "bergen-a");
    addWorker("i-2", "bergen-b");
    if (!Fleet.startAll())
      return CouldNotRun;
    Fleet.wait(3s);
    OrderTimer.startPeriodic(OrderInterval);
    for (int Repeat = 0; Repeat < Repeats; ++Repeat) {
      send(0, "POST", CrashingTarget, "a special kit");
      Fleet.wait(RepeatInterval);
    }
    OrderTimer.stop();
    Fleet.wait(2s);
    return judge();
  }

private:
  void addWorker(const char *Id, const char *Zone) {
    Workers.push_back(
        std::make_unique<stand_worker>(Fleet.base(), Fleet.store(), Id, Zone));
    stand_worker *Worker = Workers.back().get();
    Worker->publish();
    Worker->OnRun = [this, Worker](const http_request &Request) {
      if (Request.Head.Target == CrashingTarget)
        onCrashingRun(*Worker);
    };
  }

  void onCrashingRun(stand_worker &Worker) {
    if (!Trouble)
      return;
    Crashes.push_back(readBootClock());
    Fleet.record(
        fmt::format("{} crashes, crash {}", Worker.id(), Crashes.size()));
    callLater(Fleet.base(), [&Worker] { Worker.end(); });
    callAfter(Fleet.base(), DownTime, [&Worker] { Worker.restart(); });
  }

  void send(std::size_t Gateway, const char *Method, std::string_view Target,
            std::string_view Body) {
    const std::string Id = fmt::format("{:016x}", ++Sent);
    Calls.push_back(std::make_unique<stand_call>(
        Fleet.links(),
        kitRequest(Fleet.gateway(Gateway), Id, Method, Target, Body),
        [this, Id, Target = std::string(Target)](const stand_call &Call) {
          const bool IsCrashing = Target == CrashingTarget;
          ++(IsCrashing ? CrashingAnswers : Answers)[Call.Status];
          if (IsCrashing || Call.Status != 200)
            Fleet.record(fmt::format("{} {} is answered with {}", Id, Target,
                                     Call.Status));
        }));
  }

  void sendOrders() {
    const std::string Body = fmt::format("kit {}", Sent);
    Bodies.push_back(Body);
    send(Sent % 2, "POST", "/order/kit", Bodies.back());
    while (!Calls.empty() && Calls.front()->Ended)
      Calls.pop_front();
  }

  int judge() {
    constexpr std::size_t Third = 2;
    std::size_t Retries = 0;
    for (std::size_t Index = Third + 1; Index < Crashes.size(); ++Index)
      Retries += Crashes[Index] > Crashes[Third] + ContactMs ? 1 : 0;
    for (const auto &[Status, Count] : CrashingAnswers)
      Fleet.record(fmt::format("{} answers with {} to the request that crashes "
                               "workers",
                               Count, Status));
    for (const auto &[Status, Count] : Answers)
      Fleet.record(
          fmt::format("{} answers with {} to other orders", Count, Status));
    const bool IsBroken = Retries > AllowedRetries;
    Fleet.record(fmt::format(
        "{} crashes; {} retries reached a worker over {:.0f} s after the third "
        "crash; rule {}",
        Crashes.size(), Retries, toSeconds(ContactMs),
        IsBroken ? "broken" : "held"));
    return IsBroken ? RuleBroken : RuleHeld;
  }

  bool Trouble;
  deployment Fleet;
  std::deque<std::unique_ptr<stand_worker>> Workers;
  std::vector<instant> Crashes;
  std::deque<std::unique_ptr<stand_call>> Calls;
  std::deque<std::string> Bodies;
  std::uint64_t Sent = 0;
  std::map<int, int> Answers;
  std::map<int, int> CrashingAnswers;
  timer OrderTimer;
};

} // namespace

int main(int Count, char **Arguments) {
  return crash_case(readArguments(Count, Arguments)).run();
}

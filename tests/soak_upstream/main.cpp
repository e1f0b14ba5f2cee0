/// \file
/// ebonyvale-soak-upstream: runs one fake upstream as a process of its own and
/// prints when its runs begin and end, in nanoseconds of the boot clock.
#include "net/timer.h"
#include "platform/fake_upstream.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <spdlog/fmt/fmt.h>

namespace {

using namespace ebonyvale;
namespace options = boost::program_options;

/// Prints at once, since a signal may end the process.
void report(std::string_view What, std::string_view Id) {
  std::cout << fmt::format("{} {} {}\n",
                           readBootClock().time_since_epoch().count(), What, Id)
            << std::flush;
}

/// Finishes the responses that run after SIGTERM, then ends the process.
class orderly_stop {
public:
  orderly_stop(event_base *Base, fake_upstream &Upstream)
      : Upstream(Upstream), Check(Base, [this, Base] {
          if (this->Upstream.stopped())
            event_base_loopbreak(Base);
        }) {
    Signal.reset(evsignal_new(Base, SIGTERM, &orderly_stop::onSignal, this));
    event_add(Signal.get(), nullptr);
    // Blocked by the soak up to here; see `daemon_process`.
    sigset_t StopSignals;
    sigemptyset(&StopSignals);
    sigaddset(&StopSignals, SIGTERM);
    sigprocmask(SIG_UNBLOCK, &StopSignals, nullptr);
  }

private:
  static void onSignal(evutil_socket_t, short, void *Self) {
    auto &Stop = *static_cast<orderly_stop *>(Self);
    Stop.Upstream.beginStop();
    Stop.Check.startPeriodic(std::chrono::milliseconds(1));
  }

  fake_upstream &Upstream;
  timer Check;
  std::unique_ptr<event, releaser<event_free>> Signal;
};

} // namespace

int main(int Count, char **Arguments) {
  std::string Id;
  std::string Service;
  std::string PortsFile;
  std::string Software;
  int DelayMs = 0;
  int IntervalMs = 0;
  unsigned CloseDelimitedEvery = 0;
  int SplitMs = 0;
  unsigned ResetEvery = 0;
  unsigned TruncateEvery = 0;
  unsigned ExtraEvery = 0;
  unsigned RefuseEvery = 0;
  std::int64_t ClockMs = 0;
  std::uint16_t Port = 0;
  options::options_description Description(
      "ebonyvale-soak-upstream\n\nOptions");
  Description.add_options()("id", options::value(&Id)->required(),
                            "id of the process")(
      "service", options::value(&Service)->required(),
      "its service")("ports", options::value(&PortsFile)->required(),
                     "file for its port and its entry in the store")(
      "delay-ms", options::value(&DelayMs),
      "time before each response")("interval-ms", options::value(&IntervalMs),
                                   "time between two events of a stream");
  Description.add_options()(
      "close-delimited-every", options::value(&CloseDelimitedEvery),
      "one response in so many is delimited by the close of its connection; 0: "
      "none")("port", options::value(&Port),
              "port to listen on, unless it is in use; 0: any")(
      "clock-ms", options::value(&ClockMs),
      "how far its clock, by which it states its start, is ahead")(
      "split-ms", options::value(&SplitMs),
      "time between the halves of an event; 0: in one write")(
      "reset-every", options::value(&ResetEvery),
      "one response in so many is broken off; 0: none")(
      "truncate-every", options::value(&TruncateEvery),
      "one response in so many is ended early in order; 0: none")(
      "extra-every", options::value(&ExtraEvery),
      "after one whole response in so many more bytes follow; 0: none")(
      "refuse-every", options::value(&RefuseEvery),
      "one request in so many is refused, and the refusal copied; 0: none")(
      "software", options::value(&Software),
      "version of its software, which its events state");
  try {
    options::variables_map Values;
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Values);
    options::notify(Values);
  } catch (const options::error &Error) {
    std::cerr << "ebonyvale-soak-upstream: " << Error.what() << "\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const event_base_ptr Base(event_base_new());
  fake_upstream Upstream(Base.get(), Id, Port);
  Upstream.Delay = std::chrono::milliseconds(DelayMs);
  Upstream.EventInterval = std::chrono::milliseconds(IntervalMs);
  Upstream.CloseDelimitedEvery = CloseDelimitedEvery;
  Upstream.EventSplit = std::chrono::milliseconds(SplitMs);
  Upstream.ResetEvery = ResetEvery;
  Upstream.TruncateEvery = TruncateEvery;
  Upstream.ExtraEvery = ExtraEvery;
  Upstream.RefuseEvery = RefuseEvery;
  Upstream.EventsNameProcess = true;
  if (!Software.empty()) {
    Upstream.Software = Software;
    Upstream.EventsNameSoftware = true;
  }
  Upstream.Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count() +
                  ClockMs;
  Upstream.OnRun = [](const http_request &Request) {
    report("run",
           Request.Head.Headers.find("Ebonyvale-Request-Id").value_or("-"));
  };
  Upstream.OnRunEnd = [](std::string_view Request, bool Complete) {
    report(Complete ? "completed" : "closed", Request);
  };
  Upstream.OnReset = [](std::string_view Request) { report("reset", Request); };
  Upstream.OnCloseDelimited = [](std::string_view Request) {
    report("close-delimited", Request);
  };
  Upstream.OnTruncate = [](std::string_view Request) {
    report("truncated", Request);
  };
  Upstream.OnExtra = [](std::string_view Request) { report("extra", Request); };
  Upstream.OnCopy = [](std::string_view Id) { report("copied", Id); };
  const std::string Unfinished = PortsFile + ".new";
  std::ofstream(Unfinished) << fmt::format("callers {}\n{}\n", Upstream.port(),
                                           Upstream.entry(Service));
  std::filesystem::rename(Unfinished, PortsFile);
  const orderly_stop Stop(Base.get(), Upstream);
  event_base_dispatch(Base.get());
  return 0;
}

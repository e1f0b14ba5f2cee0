#include "bench/proxy_bench.h"

#include "bench/measure.h"
#include "daemon/connection/caller_listener.h"
#include "daemon/process/local_configuration.h"
#include "daemon/process/logging.h"
#include "fakes/engine_server.h"

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
#include <thread>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr const char *Loopback = "127.0.0.1";
constexpr const char *Key = "benchmark-key-0001";
constexpr double MicrosPerSecond = 1e6;

/// Runs an event loop in a thread. The server on it is created and destroyed in
/// that thread.
class loop_thread {
public:
  template <typename Setup> explicit loop_thread(Setup Prepare) {
    std::promise<std::uint16_t> Ready;
    auto Bound = Ready.get_future();
    Thread = std::thread([this, &Ready, Prepare] {
      Base.reset(event_base_new());
      const auto Server = Prepare(Base.get(), Ready, CpuSeconds);
      timer Poll(Base.get(), [this] {
        CpuSeconds = threadSeconds();
        if (Stop)
          event_base_loopbreak(Base.get());
      });
      Poll.startPeriodic(std::chrono::milliseconds(20));
      event_base_dispatch(Base.get());
    });
    Port = Bound.get();
  }
  ~loop_thread() {
    Stop = true;
    Thread.join();
  }
  loop_thread(const loop_thread &) = delete;
  loop_thread &operator=(const loop_thread &) = delete;

  /// Returns the port that the server listens on.
  std::uint16_t port() const { return Port; }
  /// Returns the processor time of the thread in seconds, updated every 20 ms.
  double cpuSeconds() const { return CpuSeconds; }

private:
  static double threadSeconds() {
    rusage Usage{};
    getrusage(RUSAGE_THREAD, &Usage);
    const auto Seconds = [](const timeval &Time) {
      return static_cast<double>(Time.tv_sec) +
             static_cast<double>(Time.tv_usec) / MicrosPerSecond;
    };
    return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
  }

  event_base_ptr Base;
  std::atomic<bool> Stop = false;
  std::atomic<double> CpuSeconds = 0;
  std::uint16_t Port = 0;
  std::thread Thread;
};

/// The components of a router that serves callers.
struct router_stack {
  daemon_settings Settings;
  std::unique_ptr<router_core> Core;
  std::unique_ptr<version_history> History;
  std::unique_ptr<local_configuration> Source;
  std::unique_ptr<caller_listener> Callers;
};

std::string benchNote(const daemon_settings &Settings, std::uint16_t Port) {
  return fmt::format(
      "id = \"bench\"\n[[added.failure_domain]]\nname = \"local\"\n"
      "region = \"local\"\n[[added.team]]\nname = \"t\"\nrate = 1000000000\n"
      "burst = 1000000000\n[[added.key]]\nid = \"k\"\nteam = \"t\"\n"
      "hash = \"{}\"\n[[added.model]]\nname = \"m\"\nversion = \"v1\"\n"
      "[[added.upstream]]\nname = \"e\"\naddress = \"{}\"\nport = {}\n"
      "domain = \"local\"\nmodels = [\"m\"]\nconcurrency = 100000\n",
      toHex(hashKey(Settings.KeySecret, Key)), Loopback, Port);
}

auto engineSetup(engine_speed Speed) {
  return [Speed](event_base *Base, std::promise<std::uint16_t> &Ready,
                 const auto &) {
    auto Engine = std::make_unique<engine_server>(Base, "e", "v1", Speed);
    Engine->listen(Loopback, 0);
    Ready.set_value(Engine->port());
    return Engine;
  };
}

auto routerSetup(std::uint16_t EnginePort) {
  return [EnginePort](event_base *Base, std::promise<std::uint16_t> &Ready,
                      const auto &) {
    auto Router = std::make_unique<router_stack>();
    Router->Settings.KeySecret = "s";
    Router->Settings.CallerPort = 0;
    Router->Settings.StartTokens = 100;
    Router->Core = std::make_unique<router_core>(Base, Router->Settings, 1);
    Router->History = std::make_unique<version_history>(*Router->Core);
    Router->Source =
        std::make_unique<local_configuration>(*Router->Core, *Router->History);
    Router->Source->apply(benchNote(Router->Settings, EnginePort),
                          [](const result<accepted_note> &) {});
    Router->Callers = std::make_unique<caller_listener>(*Router->Core);
    Router->Callers->listen();
    Ready.set_value(Router->Callers->port());
    return Router;
  };
}

std::string chatBody(int Tokens) {
  return fmt::format(R"({{"model":"m","stream":true,"max_tokens":{},)"
                     R"("stream_options":{{"include_usage":true}},)"
                     R"("messages":[{{"role":"user","content":"{}"}}]}})",
                     Tokens, std::string(4096, 'p'));
}

/// A streamed call that records when its first and last bytes arrive.
class timed_call final : public exchange_observer {
public:
  timed_call(evhttp_connection_pool &Pool, std::uint16_t Port,
             const std::string &Body)
      : SentAt(readClock().Now) {
    outgoing_request Request;
    Request.Server = {Loopback, Port};
    Request.Target = "/v1/chat/completions";
    Request.Headers = {{"Authorization", std::string("Bearer ") + Key}};
    Request.Body = {Body};
    Exchange = upstream_exchange::start(Pool, Request, *this);
  }
  ~timed_call() override {
    if (Exchange)
      Exchange->cancel();
  }

  void onHead(const response_head &) override {}
  void onBody(std::string_view) override {
    LastAt = readClock().Now;
    if (FirstByte.count() == 0)
      FirstByte = LastAt - SentAt;
  }
  void onComplete() override {
    Exchange.reset();
    Ended = true;
  }
  void onLost(exchange_stage) override { onComplete(); }

  instant SentAt;
  instant LastAt;
  span_ns FirstByte{0};
  bool Ended = false;

private:
  std::shared_ptr<upstream_exchange> Exchange;
};

struct latency_quantiles {
  double FirstP50 = 0; ///< time to the first byte, us
  double FirstP99 = 0; ///< time to the first byte, us
  double TotalP50 = 0; ///< time to the last byte, us
};

latency_quantiles measureLatency(std::uint16_t Port, int Calls) {
  const event_base_ptr Base(event_base_new());
  evhttp_connection_pool Pool(Base.get());
  const std::string Body = chatBody(8);
  std::vector<double> First;
  std::vector<double> Total;
  for (int Call = 0; Call < Calls; ++Call) {
    timed_call Timed(Pool, Port, Body);
    while (!Timed.Ended)
      event_base_loop(Base.get(), EVLOOP_ONCE);
    First.push_back(toSeconds(Timed.FirstByte) * MicrosPerSecond);
    Total.push_back(toSeconds(Timed.LastAt - Timed.SentAt) * MicrosPerSecond);
  }
  std::ranges::sort(First);
  std::ranges::sort(Total);
  return {First[First.size() / 2], First[First.size() * 99 / 100],
          Total[Total.size() / 2]};
}

void benchLatency(std::ostream &Out) {
  constexpr int Calls = 400;
  const loop_thread Engine(engineSetup({1, 0, 512, 1000}));
  const loop_thread Router(routerSetup(Engine.port()));
  measureLatency(Router.port(), Calls / 10);
  const latency_quantiles Direct = measureLatency(Engine.port(), Calls);
  const double Before = Router.cpuSeconds();
  const latency_quantiles Routed = measureLatency(Router.port(), Calls);
  const double Used = Router.cpuSeconds() - Before;
  Out << fmt::format(
      "first byte, us: direct p50 {:.0f} p99 {:.0f}, routed p50 {:.0f} p99 "
      "{:.0f}, added p50 {:.0f} p99 {:.0f}\n",
      Direct.FirstP50, Direct.FirstP99, Routed.FirstP50, Routed.FirstP99,
      Routed.FirstP50 - Direct.FirstP50, Routed.FirstP99 - Direct.FirstP99);
  Out << fmt::format("router processor time per call of 9 events: {:.0f} us\n",
                     Used / Calls * MicrosPerSecond);
}

void benchStreams(std::ostream &Out) {
  for (const std::size_t Streams : {1000U, 4000U}) {
    // One token per second keeps all streams open during the measurement.
    const loop_thread Engine(engineSetup({1000, 0, 512, 100000}));
    const loop_thread Router(routerSetup(Engine.port()));
    const event_base_ptr Base(event_base_new());
    evhttp_connection_pool Pool(Base.get());
    const std::string Body = chatBody(1000);
    const std::size_t Before = heapBytes();
    std::vector<std::unique_ptr<timed_call>> Calls;
    const instant Start = readClock().Now;
    for (std::size_t Index = 0; Index < Streams; ++Index) {
      Calls.push_back(std::make_unique<timed_call>(Pool, Router.port(), Body));
      event_base_loop(Base.get(), EVLOOP_NONBLOCK);
    }
    const auto OpenCount = [&Calls] {
      return std::ranges::count_if(Calls, [](const auto &Call) {
        return Call->FirstByte.count() != 0 && !Call->Ended;
      });
    };
    while (readClock().Now - Start < std::chrono::seconds(20) &&
           static_cast<std::size_t>(OpenCount()) < Streams) {
      timer Wake(Base.get(), [] {});
      Wake.startOnce(std::chrono::milliseconds(10));
      event_base_loop(Base.get(), EVLOOP_ONCE);
    }
    const auto Used = static_cast<double>(heapBytes() - Before);
    Out << fmt::format("{} of {} streams open after {:.1f} s; heap of client, "
                       "router and engine together {:.1f} KB per stream\n",
                       OpenCount(), Streams, toSeconds(readClock().Now - Start),
                       Used / static_cast<double>(Streams) / 1024);
  }
}

} // namespace

void runProxyBench(std::ostream &Out) {
  startLogging("text", "error");
  std::signal(SIGPIPE, SIG_IGN);
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
  benchLatency(Out);
  benchStreams(Out);
}

} // namespace ebonyvale

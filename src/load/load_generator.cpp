#include "load/load_generator.h"

#include "decisions/request/sse_events.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using nlohmann::json;

constexpr span_ns ProgressInterval = std::chrono::seconds(1);
/// Read timeout of a response, which then counts as failed; also the longest
/// wait for responses after the last arrival.
constexpr span_ns ResponseTimeout = std::chrono::seconds(30);
constexpr int StatusOk = 200;
constexpr std::string_view StreamEnd = "[DONE]";

std::string chatBody(const load_test_settings &Settings,
                     const std::string &Prompt) {
  return json{{"model", Settings.Model},
              {"stream", true},
              {"stream_options", {{"include_usage", true}}},
              {"max_tokens", Settings.ResponseTokens},
              {"messages", {{{"role", "user"}, {"content", Prompt}}}}}
      .dump();
}

} // namespace

std::string refusalKind(std::string_view Body) {
  const json Refusal = json::parse(Body, nullptr, false);
  const auto Error =
      Refusal.is_object() ? Refusal.find("error") : Refusal.end();
  if (Error == Refusal.end() || !Error->is_object())
    return "unreadable";
  const auto Kind = Error->find("kind");
  return Kind != Error->end() && Kind->is_string() ? Kind->get<std::string>()
                                                   : "unreadable";
}

/// One request in flight; checks its response.
class load_generator::call final : public exchange_observer {
public:
  call(load_generator &Owner, std::uint64_t Number,
       const generated_request &Request)
      : Owner(Owner), Number(Number), SentAt(readClock().Now),
        SentOffset(Owner.elapsed()) {
    Outcome.Key = Request.Key;
    Outcome.Batch = Request.Batch;
    outgoing_request Outgoing;
    Outgoing.Server = Owner.Targets[Request.Target];
    Outgoing.Target = "/v1/chat/completions";
    Outgoing.Headers = {
        {"Content-Type", "application/json"},
        {"Authorization", "Bearer " + Owner.Settings.Keys[Request.Key]},
        {"X-Priority", Request.Batch ? "batch" : "interactive"}};
    const std::string Body = chatBody(Owner.Settings, Request.Prompt);
    Outgoing.Body = {Body};
    Outgoing.ReadTimeout = ResponseTimeout;
    Exchange = upstream_exchange::start(Owner.Pool, Outgoing, *this);
  }
  ~call() override {
    if (Exchange)
      Exchange->cancel();
  }

  void onHead(const response_head &Head) override { Status = Head.status(); }

  void onBody(std::string_view Bytes) override {
    if (Status != StatusOk) {
      ErrorBody += Bytes;
      return;
    }
    for (const sse_event &Event : Splitter.feed(Bytes))
      handleEvent(Event);
  }

  void onComplete() override {
    Exchange.reset();
    if (Status != StatusOk) {
      Outcome.Refusal = refusalKind(ErrorBody);
    }
    Outcome.Completed =
        SawEnd && !Unreadable && TokenCount == Owner.Settings.ResponseTokens;
    end();
  }

  void onLost(exchange_stage) override {
    Exchange.reset();
    end();
  }

private:
  void handleEvent(const sse_event &Event) {
    if (Event.Data == StreamEnd) {
      SawEnd = true;
      return;
    }
    const json Body = json::parse(Event.Data, nullptr, false);
    if (!Body.is_object() || !Body.contains("choices"))
      return;
    try {
      for (const json &Choice : Body.at("choices"))
        countToken(Choice.at("delta").value("content", ""));
      if (const auto Usage = Body.find("usage"); Usage != Body.end()) {
        Outcome.PromptTokens = Usage->value("prompt_tokens", 0.0);
        Outcome.CachedTokens = Usage->value(
            "/prompt_tokens_details/cached_tokens"_json_pointer, 0.0);
      }
    } catch (const json::exception &) {
      Unreadable = true;
    }
  }

  void countToken(const std::string &Content) {
    if (Content.empty())
      return;
    if (TokenCount++ == 0)
      Outcome.FirstToken = readClock().Now - SentAt;
  }

  /// Reports the outcome from the event loop, since `onEnded` destroys this
  /// call.
  void end() {
    load_generator &Generator = Owner;
    callLater(Generator.Base,
              [&Generator, Ended = Number, Result = Outcome, At = SentOffset] {
                Generator.onEnded(Ended, Result, At);
              });
  }

  load_generator &Owner;
  std::uint64_t Number;
  instant SentAt;
  span_ns SentOffset; ///< since the start of the load test
  request_outcome Outcome;
  int Status = 0;
  std::string ErrorBody; ///< body of a response that is not 200
  sse_splitter Splitter;
  bool SawEnd = false;
  bool Unreadable = false;     ///< an event had an unexpected form
  std::int64_t TokenCount = 0; ///< non-empty deltas, each one token
  std::shared_ptr<upstream_exchange> Exchange;
};

load_generator::load_generator(event_base *Base,
                               const load_test_settings &Settings,
                               std::ostream &Progress)
    : Base(Base), Settings(Settings), Progress(Progress), Workload(Settings),
      Report(Settings.Keys.size()), ArrivalTimer(Base, [this] { arrive(); }),
      ProgressTimer(Base, [this] { showProgress(); }), Pool(Base) {
  for (const std::string &Target : Settings.Targets)
    if (const auto Server = parseEndpoint(Target))
      Targets.push_back(*Server);
}

load_generator::~load_generator() = default;

const load_test_report &load_generator::run() {
  Start = readClock().Now;
  ProgressTimer.startPeriodic(ProgressInterval);
  ArrivalTimer.startOnce(Workload.nextGap());
  event_base_dispatch(Base);
  return Report;
}

void load_generator::arrive() {
  if (elapsed() >= std::chrono::seconds(Settings.Seconds))
    return;
  ArrivalTimer.startOnce(Workload.nextGap());
  const std::uint64_t Number = ++Sent;
  Calls.emplace(
      Number, std::make_unique<call>(*this, Number, Workload.next(elapsed())));
}

void load_generator::onEnded(std::uint64_t Number,
                             const request_outcome &Outcome,
                             span_ns StartOffset) {
  Calls.erase(Number);
  if (StartOffset >= std::chrono::seconds(Settings.WarmUpSeconds))
    Report.add(Outcome);
}

void load_generator::showProgress() {
  Progress << fmt::format("{:>4.0f} s  sent {}  open {}  ended {}\n",
                          toSeconds(elapsed()), Sent, Calls.size(),
                          Report.ended())
           << std::flush;
  const bool ArrivalsEnded =
      elapsed() >= std::chrono::seconds(Settings.Seconds);
  if (ArrivalsEnded &&
      (Calls.empty() ||
       elapsed() >= std::chrono::seconds(Settings.Seconds) + ResponseTimeout))
    event_base_loopbreak(Base);
}

span_ns load_generator::elapsed() const { return readClock().Now - Start; }

} // namespace ebonyvale

#include "load/load_run.h"

#include "decisions/request/sse_events.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using nlohmann::json;

constexpr span_ns ProgressInterval = std::chrono::seconds(1);
/// Answers that have not come by then count as broken.
constexpr span_ns LastAnswerWait = std::chrono::seconds(30);
constexpr int StatusOk = 200;
constexpr std::string_view StreamEnd = "[DONE]";

std::string chatBody(const load_settings &Settings, const std::string &Prompt) {
  return json{{"model", Settings.Model},
              {"stream", true},
              {"stream_options", {{"include_usage", true}}},
              {"max_tokens", Settings.AnswerTokens},
              {"messages", {{{"role", "user"}, {"content", Prompt}}}}}
      .dump();
}

} // namespace

/// One request and the check of its answer.
class load_run::call final : public exchange_observer {
public:
  call(load_run &Owner, std::uint64_t Number, const load_request &Request)
      : Owner(Owner), Number(Number), SentAt(readClock().Now),
        SentAfter(Owner.elapsed()) {
    Outcome.Key = Request.Key;
    Outcome.Batch = Request.Batch;
    outgoing_request Message;
    Message.Server = Owner.Targets[Request.Target];
    Message.Target = "/v1/chat/completions";
    Message.Headers = {
        {"Content-Type", "application/json"},
        {"Authorization", "Bearer " + Owner.Settings.Keys[Request.Key]},
        {"X-Priority", Request.Batch ? "batch" : "interactive"}};
    const std::string Body = chatBody(Owner.Settings, Request.Prompt);
    Message.Body = {Body};
    Message.ReadTimeout = LastAnswerWait;
    Exchange = upstream_exchange::start(Owner.Pool, Message, *this);
  }
  ~call() override {
    if (Exchange)
      Exchange->cancel();
  }

  void onHead(const response_head &Head) override { Status = Head.status(); }

  void onBody(std::string_view Bytes) override {
    if (Status != StatusOk) {
      Refused += Bytes;
      return;
    }
    for (const sse_event &Event : Splitter.feed(Bytes))
      takeEvent(Event);
  }

  void onComplete() override {
    Exchange.reset();
    if (Status != StatusOk) {
      const json Body = json::parse(Refused, nullptr, false);
      Outcome.Refusal = Body.is_object() && Body.contains("error")
                            ? Body["error"].value("kind", "unreadable")
                            : "unreadable";
    }
    Outcome.Whole = SawEnd && Words == Owner.Settings.AnswerTokens;
    end();
  }

  void onLost(exchange_stage) override {
    Exchange.reset();
    end();
  }

private:
  void takeEvent(const sse_event &Event) {
    if (Event.Data == StreamEnd) {
      SawEnd = true;
      return;
    }
    const json Body = json::parse(Event.Data, nullptr, false);
    if (!Body.is_object() || !Body.contains("choices"))
      return;
    for (const json &Choice : Body["choices"])
      takeWord(Choice["delta"].value("content", ""));
    if (const auto Usage = Body.find("usage"); Usage != Body.end()) {
      Outcome.PromptTokens = Usage->value("prompt_tokens", 0.0);
      Outcome.CachedTokens = Usage->value(
          "/prompt_tokens_details/cached_tokens"_json_pointer, 0.0);
    }
  }

  void takeWord(const std::string &Word) {
    if (Word.empty())
      return;
    if (Words++ == 0)
      Outcome.FirstToken = readClock().Now - SentAt;
  }

  void end() {
    load_run &Run = Owner;
    callLater(Run.Base, [&Run, Ended = Number, Result = Outcome,
                         At = SentAfter] { Run.onEnded(Ended, Result, At); });
  }

  load_run &Owner;
  std::uint64_t Number;
  instant SentAt;
  span_ns SentAfter;
  load_outcome Outcome;
  int Status = 0;
  std::string Refused;
  sse_splitter Splitter;
  bool SawEnd = false;
  std::int64_t Words = 0;
  std::shared_ptr<upstream_exchange> Exchange;
};

load_run::load_run(event_base *Base, const load_settings &Settings,
                   std::ostream &Progress)
    : Base(Base), Settings(Settings), Progress(Progress), Workload(Settings),
      Report(Settings.Keys.size()), ArrivalTimer(Base, [this] { arrive(); }),
      ProgressTimer(Base, [this] { showProgress(); }), Pool(Base) {
  for (const std::string &Target : Settings.Targets)
    if (const auto Server = parseEndpoint(Target))
      Targets.push_back(*Server);
}

load_run::~load_run() = default;

const load_report &load_run::run() {
  Start = readClock().Now;
  ProgressTimer.startPeriodic(ProgressInterval);
  ArrivalTimer.startOnce(Workload.nextGap());
  event_base_dispatch(Base);
  return Report;
}

void load_run::arrive() {
  if (elapsed() >= std::chrono::seconds(Settings.Seconds))
    return;
  ArrivalTimer.startOnce(Workload.nextGap());
  const std::uint64_t Number = ++Sent;
  Calls.emplace(
      Number, std::make_unique<call>(*this, Number, Workload.next(elapsed())));
}

void load_run::onEnded(std::uint64_t Number, const load_outcome &Outcome,
                       span_ns StartedAt) {
  Calls.erase(Number);
  if (StartedAt >= std::chrono::seconds(Settings.WarmUpSeconds))
    Report.add(Outcome);
}

void load_run::showProgress() {
  Progress << fmt::format("{:>4.0f} s  sent {}  open {}  ended {}\n",
                          toSeconds(elapsed()), Sent, Calls.size(),
                          Report.ended())
           << std::flush;
  const bool Over = elapsed() >= std::chrono::seconds(Settings.Seconds);
  if (Over &&
      (Calls.empty() ||
       elapsed() >= std::chrono::seconds(Settings.Seconds) + LastAnswerWait))
    event_base_loopbreak(Base);
}

span_ns load_run::elapsed() const { return readClock().Now - Start; }

} // namespace ebonyvale

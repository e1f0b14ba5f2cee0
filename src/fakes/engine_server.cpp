#include "fakes/engine_server.h"

#include <charconv>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// The default `piece_bytes` of a model.
constexpr std::size_t PieceBytes = 2048;
/// Prompt bytes per token, for the reported usage.
constexpr std::int64_t TokenBytes = 4;
constexpr std::int64_t DefaultResponseTokens = 16;
/// `drop_tokens` leaves out each event whose sequence is a multiple of this.
constexpr std::int64_t DropPeriod = 10;
constexpr double MsPerSecond = 1000;

std::int64_t readInteger(std::string_view Text) {
  std::int64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::int64_t promptTokens(const chat_request &Chat) {
  const auto Bytes = static_cast<std::int64_t>(Chat.Prompt.size());
  return (Bytes + TokenBytes - 1) / TokenBytes;
}

} // namespace

/// A response in progress.
class engine_server::response final : public response_writer_observer {
public:
  response(engine_server &Owner, evhttp_request *Request, chat_route Route,
           chat_request Chat)
      : Owner(Owner), Number(++Owner.LastNumber), Route(Route),
        Chat(std::move(Chat)), RequestId(inputHeader(Request, "X-Request-Id")),
        Writer(Request, *this) {}

  std::uint64_t number() const { return Number; }
  void setCached(std::size_t Pieces) { CachedPieces = Pieces; }

  void start() {
    std::string ResponseId = RequestId;
    if (Owner.Faults.CrossAnswers)
      ResponseId += "-other";
    Writer.header("X-Request-Id", ResponseId);
    if (Chat.Stream)
      Writer.startStream();
  }

  void onToken(const engine_token &Token) {
    ++Tokens;
    if (!Chat.Stream) {
      Text += Token.Text;
      if (Token.Last)
        Writer.sendComplete(200, "application/json", completeBody());
      return;
    }
    sendToken(Token);
    if (Token.Last)
      end(Token.Sequence);
  }

  /// Ends a stream after the token \p Sequence.
  void end(std::int64_t Sequence) {
    if (!Owner.Faults.EndEarly) {
      if (Chat.IncludeUsage)
        sendEvent(Sequence + 1, usageEvent());
      Writer.sendChunk("data: [DONE]\n\n");
    }
    Writer.endStream();
  }

  void onClientDisconnected() override {
    Owner.Model.cancel(Number);
    engine_server &Server = Owner;
    const std::uint64_t ClosedNumber = Number;
    callLater(Server.Base, [&Server, ClosedNumber] {
      Server.Responses.erase(ClosedNumber);
    });
  }
  void onDrained() override {}

private:
  void sendToken(const engine_token &Token) {
    if (Owner.Faults.DropTokens && Token.Sequence % DropPeriod == 0)
      return;
    sendEvent(Token.Sequence, tokenEvent(Token));
    if (Owner.Faults.RepeatTokens)
      sendEvent(Token.Sequence, tokenEvent(Token));
  }

  void sendEvent(std::int64_t Sequence, const std::string &Data) {
    if (RequestId.empty())
      Writer.sendChunk(fmt::format("data: {}\n\n", Data));
    else
      Writer.sendChunk(
          fmt::format("id: {}:{}\ndata: {}\n\n", RequestId, Sequence, Data));
  }

  std::string tokenEvent(const engine_token &Token) const {
    const char *Finish = Token.Last ? "\"stop\"" : "null";
    if (Route == chat_route::Completions)
      return fmt::format(
          R"({{"id":"{}","object":"text_completion","created":0,"model":"{}",)"
          R"("choices":[{{"index":0,"text":"{}","finish_reason":{}}}]}})",
          RequestId, Chat.Model, Token.Text, Finish);
    return fmt::format(
        R"({{"id":"{}","object":"chat.completion.chunk","created":0,)"
        R"("model":"{}","choices":[{{"index":0,"delta":{{"content":"{}"}},)"
        R"("finish_reason":{}}}]}})",
        RequestId, Chat.Model, Token.Text, Finish);
  }

  nlohmann::json usage() const {
    const std::int64_t Prompt = promptTokens(Chat);
    return {{"prompt_tokens", Prompt},
            {"completion_tokens", Tokens},
            {"total_tokens", Prompt + Tokens},
            {"prompt_tokens_details",
             {{"cached_tokens", CachedPieces * PieceBytes / TokenBytes}}}};
  }

  std::string usageEvent() const {
    return nlohmann::json{{"id", RequestId},
                          {"object", "chat.completion.chunk"},
                          {"created", 0},
                          {"model", Chat.Model},
                          {"choices", nlohmann::json::array()},
                          {"usage", usage()}}
        .dump();
  }

  std::string completeBody() const {
    const bool IsChat = Route == chat_route::ChatCompletions;
    nlohmann::json Choice{{"index", 0}, {"finish_reason", "stop"}};
    if (IsChat)
      Choice["message"] = {{"role", "assistant"}, {"content", Text}};
    else
      Choice["text"] = Text;
    return nlohmann::json{
        {"id", RequestId},
        {"object", IsChat ? "chat.completion" : "text_completion"},
        {"created", 0},
        {"model", Chat.Model},
        {"choices", nlohmann::json::array({Choice})},
        {"usage", usage()}}
        .dump();
  }

  engine_server &Owner;
  std::uint64_t Number;
  chat_route Route;
  chat_request Chat;
  std::string RequestId;
  response_writer Writer;
  std::string Text;
  std::int64_t Tokens = 0;
  std::size_t CachedPieces = 0;
};

engine_server::engine_server(event_base *Base, std::string Name,
                             std::string Version, engine_speed Speed)
    : Base(Base), Name(std::move(Name)), Version(std::move(Version)),
      Speed(Speed), Model(Speed), StepTimer(Base, [this] { onStep(); }),
      RestartTimer(Base, [this] { open(); }),
      CrashTimer(Base, [this] { crash(CrashDowntime); }) {}

engine_server::~engine_server() { Server.reset(); }

std::optional<failure> engine_server::listen(const std::string &ListenAddress,
                                             std::uint16_t Wanted) {
  Address = ListenAddress;
  Port = Wanted;
  open();
  if (Server)
    return std::nullopt;
  return failure{error_kind::SettingsInvalid, "cannot listen"};
}

void engine_server::open() {
  auto Opened = std::make_unique<http_server>(
      Base, http_bounds{},
      [this](evhttp_request *Request) { onRequest(Request); });
  if (Opened->listen(Address, Port)) {
    // Retried, as a socket in closing may still occupy the port.
    RestartTimer.startOnce(std::chrono::milliseconds(10));
    return;
  }
  Port = Opened->port();
  Server = std::move(Opened);
}

void engine_server::crash(span_ns Downtime) {
  ++Incarnations;
  Model.reset();
  StepTimer.stop();
  // Deferred, since this may run within a callback of the server freed here.
  callLater(Base, [this, Downtime] {
    Server.reset();
    Responses.clear();
    RestartTimer.startOnce(Downtime);
  });
}

std::string engine_server::incarnation() const {
  return fmt::format("{}-{}", Name, Incarnations);
}

void engine_server::onRequest(evhttp_request *Request) {
  const std::string_view Path = requestPath(Request);
  if (Path == "/control")
    return onControl(Request);
  if (Path == "/state")
    return sendState(Request);
  Record.add(Request);
  addLoadHeaders(Request);
  if (Path == "/v1/chat/completions")
    return onChat(Request, chat_route::ChatCompletions);
  if (Path == "/v1/completions")
    return onChat(Request, chat_route::Completions);
  sendResponse(Request, 404, "application/json", "{}");
}

void engine_server::addLoadHeaders(evhttp_request *Request) const {
  setOutputHeader(Request, "ETag", fmt::format("\"{}\"", incarnation()));
  setOutputHeader(Request, "X-Queued-Ms",
                  fmt::format("{:.1f}", Model.queuedMs()));
  setOutputHeader(Request, "X-Running", fmt::format("{}", Model.running()));
}

bool engine_server::refuseRequest(evhttp_request *Request) {
  const std::string_view Wanted = inputHeader(Request, "If-Match");
  const bool OtherIncarnation =
      !Wanted.empty() && Wanted != fmt::format("\"{}\"", incarnation());
  if (OtherIncarnation || Faults.Unavailable) {
    setOutputHeader(Request, "X-Ran", "no");
    sendResponse(Request, OtherIncarnation ? 412 : 503, "application/json",
                 R"({"error":{"message":"not run"}})");
    return true;
  }
  if (Faults.ServerError) {
    sendResponse(Request, 500, "application/json",
                 R"({"error":{"message":"failed"}})");
    return true;
  }
  return false;
}

void engine_server::onChat(evhttp_request *Request, chat_route Route) {
  if (refuseRequest(Request))
    return;
  result<chat_request> Chat = parseChatRequest(Route, inputBody(Request));
  if (!Chat) {
    sendResponse(Request, 400, "application/json",
                 R"({"error":{"message":"malformed"}})");
    return;
  }
  ++Executions;
  if (!PoisonText.empty() &&
      Chat->Prompt.find(PoisonText) != std::string::npos) {
    crash(std::chrono::milliseconds(200));
    return;
  }
  engine_job Job;
  const std::uint64_t Seed = chainSeed({"", "", Chat->Model, Version});
  Job.Chain = chainPieces(Seed, Chat->Prompt, PieceBytes);
  Job.TextSeed = chainPieces(Seed, Chat->Prompt,
                             std::max<std::size_t>(1, Chat->Prompt.size()))
                     .back();
  Job.Tokens = Chat->MaxTokens.value_or(DefaultResponseTokens);
  Job.ResumeAfter = readInteger(inputHeader(Request, "Last-Event-ID"));
  Job.Urgent = inputHeader(Request, "X-Priority") != "batch";
  auto Response =
      std::make_unique<response>(*this, Request, Route, std::move(*Chat));
  Job.Number = Response->number();
  if (Job.ResumeAfter >= Job.Tokens) {
    Response->start();
    Response->end(Job.Tokens);
    return;
  }
  // A timer that runs already is kept, so that requests cannot postpone a step.
  if (Model.idle())
    StepTimer.startOnce(fromSeconds(Speed.StepMs / MsPerSecond));
  const std::size_t Cached = Model.submit(Job, readClock().Now);
  CachedPieces += Cached;
  PromptPieces += Job.Chain.size();
  Response->setCached(Cached);
  Response->start();
  Responses.emplace(Job.Number, std::move(Response));
}

void engine_server::onStep() {
  for (const engine_token &Token : Model.advance(readClock().Now)) {
    const auto Found = Responses.find(Token.Number);
    if (Found == Responses.end())
      continue;
    Found->second->onToken(Token);
    if (Token.Last)
      Responses.erase(Found);
  }
  if (!Model.idle())
    StepTimer.startOnce(fromSeconds(Speed.StepMs / MsPerSecond));
}

void engine_server::onControl(evhttp_request *Request) {
  const auto Body = nlohmann::json::parse(inputBody(Request), nullptr, false);
  if (!Body.is_object()) {
    sendResponse(Request, 400, "text/plain",
                 "the body must be a JSON object\n");
    return;
  }
  Faults.Unavailable = Body.value("unavailable", Faults.Unavailable);
  Faults.CrossAnswers = Body.value("cross_answers", Faults.CrossAnswers);
  Faults.RepeatTokens = Body.value("repeat_tokens", Faults.RepeatTokens);
  Faults.DropTokens = Body.value("drop_tokens", Faults.DropTokens);
  Faults.EndEarly = Body.value("end_early", Faults.EndEarly);
  Faults.ServerError = Body.value("server_error", Faults.ServerError);
  PoisonText = Body.value("poison_text", PoisonText);
  sendResponse(Request, 200, "application/json", "{}");
  if (!Body.contains("crash_ms"))
    return;
  // Delayed until the response to this request has been sent.
  CrashDowntime = std::chrono::milliseconds(Body.value("crash_ms", 0));
  CrashTimer.startOnce(std::chrono::milliseconds(10));
}

void engine_server::sendState(evhttp_request *Request) {
  const nlohmann::json Body{{"name", Name},
                            {"incarnation", incarnation()},
                            {"executions", Executions},
                            {"running", Model.running()},
                            {"queued_ms", Model.queuedMs()},
                            {"prompt_pieces", PromptPieces},
                            {"cached_pieces", CachedPieces}};
  sendResponse(Request, 200, "application/json", Body.dump());
}

} // namespace ebonyvale

#include "net/client_link.h"

#include "net/socket_options.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Longest head of an answer, far above what servers send.
constexpr std::size_t MaxAnswerHeadBytes = 64 * 1024;

/// The `timeout` parameter of a Keep-Alive header, in seconds.
std::optional<std::int64_t> keepAliveTimeout(const header_list &Headers) {
  const auto Value = Headers.find("Keep-Alive");
  if (!Value)
    return std::nullopt;
  constexpr std::string_view Parameter = "timeout=";
  const std::size_t At = Value->find(Parameter);
  const std::string_view Digits = At == std::string_view::npos
                                      ? *Value
                                      : Value->substr(At + Parameter.size());
  std::int64_t Seconds = 0;
  const auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  if (Error != std::errc())
    return std::nullopt;
  return Seconds;
}

} // namespace

client_link::client_link(client_links &Pool, const endpoint &Server)
    : Pool(Pool), Server(Server),
      Reader(message_reader::side::Answers, *this, MaxAnswerHeadBytes),
      ConnectDeadline(Pool.base(),
                      [this] { lose(loss_reason::ConnectTimeout); }) {}

client_link::~client_link() = default;

bool client_link::connect() {
  Socket.reset(bufferevent_socket_new(Pool.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_port = htons(Server.Port);
  if (!Socket ||
      inet_pton(AF_INET, Server.Address.c_str(), &Where.sin_addr) != 1)
    return false;
  bufferevent_setcb(Socket.get(), &client_link::onReadable, nullptr,
                    &client_link::onEvent, this);
  evbuffer_add_cb(bufferevent_get_output(Socket.get()), &client_link::onOutput,
                  this);
  ++Pool.Opened;
  if (bufferevent_socket_connect(Socket.get(),
                                 reinterpret_cast<sockaddr *>(&Where),
                                 sizeof(Where)) != 0)
    return false;
  sendAtOnce(Socket.get());
  boundSilence(Socket.get(), Pool.rules().SilenceLimit);
  ConnectDeadline.startOnce(Pool.rules().ConnectTimeout);
  return true;
}

void client_link::send(const client_request &Request, answer_observer &Target) {
  Self = shared_from_this();
  Observer = &Target;
  Stage = exchange_stage::NotSent;
  Skipping = false;
  Reusable = false;
  Crossed = false;
  ++Exchanges;
  Reader.reset(Request.Method == "HEAD");
  if (!Socket && !connect()) {
    callLater(Pool.base(), [Guard = shared_from_this()] {
      Guard->lose(loss_reason::ConnectFailed);
    });
    return;
  }
  fmt::memory_buffer Out;
  auto Append = fmt::appender(Out);
  fmt::format_to(Append, "{} {} HTTP/1.1\r\n", Request.Method, Request.Target);
  for (const http_header &Field : Request.Headers.all())
    fmt::format_to(Append, "{}: {}\r\n", Field.Name, Field.Value);
  if (!Request.Headers.find("Host"))
    fmt::format_to(Append, "Host: {}:{}\r\n", Server.Address, Server.Port);
  if (!Request.Body.empty() || Request.Method != "GET")
    fmt::format_to(Append, "Content-Length: {}\r\n", Request.Body.size());
  fmt::format_to(Append, "\r\n");
  evbuffer *Output = bufferevent_get_output(Socket.get());
  evbuffer_add(Output, Out.data(), Out.size());
  evbuffer_add(Output, Request.Body.data(), Request.Body.size());
  bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
}

void client_link::cancel() {
  const auto Guard = shared_from_this();
  Observer = nullptr;
  ConnectDeadline.stop();
  Socket.reset();
  release();
}

void client_link::pauseReading() {
  if (Socket)
    bufferevent_disable(Socket.get(), EV_READ);
}

void client_link::resumeReading() {
  if (Socket)
    bufferevent_enable(Socket.get(), EV_READ);
}

bool client_link::onMessageHead(http_head &Head) {
  ++Answers;
  Stage = exchange_stage::Answering;
  Reusable = Head.KeepAlive && !Head.EndsAtClose;
  KeepAliveSeconds = keepAliveTimeout(Head.Headers);
  Skipping = Observer->onAnswerHead(Head, Answers == 1) == head_verdict::Skip;
  Crossed = Crossed || Skipping;
  return true;
}

void client_link::onMessageBody(std::string_view Bytes) {
  if (Observer && !Skipping)
    Observer->onAnswerBody(Bytes);
}

void client_link::read() {
  const auto Guard = shared_from_this();
  if (!Observer) {
    // Bytes that no request asked for: nobody can say what follows them.
    Pool.drop(*this);
    Socket.reset();
    return release();
  }
  while (Socket && Observer) {
    evbuffer *Input = bufferevent_get_input(Socket.get());
    const std::size_t Length = evbuffer_get_contiguous_space(Input);
    if (Length == 0)
      return;
    // Drained before the callbacks, which may end this connection.
    const std::string Bytes(reinterpret_cast<const char *>(evbuffer_pullup(
                                Input, static_cast<ev_ssize_t>(Length))),
                            Length);
    const std::size_t Used = Reader.feed(Bytes);
    if (!Socket || !Observer)
      return;
    evbuffer_drain(Input, Used);
    if (Reader.state() == read_state::Complete)
      completeMessage();
    else if (Reader.state() != read_state::Reading)
      return lose(loss_reason::NotHttp);
  }
}

void client_link::completeMessage() {
  if (Skipping) {
    Skipping = false;
    Stage = exchange_stage::Sent;
    if (!Reusable)
      return lose(loss_reason::Closed);
    Reader.reset();
    return;
  }
  answer_observer *Target = std::exchange(Observer, nullptr);
  const bool Clean =
      Reusable && !Crossed &&
      evbuffer_get_length(bufferevent_get_input(Socket.get())) == 0 &&
      evbuffer_get_length(bufferevent_get_output(Socket.get())) == 0;
  if (Clean) {
    Pool.giveBack(shared_from_this());
  } else {
    Socket.reset();
    release();
  }
  Target->onAnswerEnd();
}

void client_link::ended(loss_reason Reason, bool Orderly) {
  const auto Guard = shared_from_this();
  if (!Observer) {
    Pool.drop(*this);
    Socket.reset();
    return release();
  }
  // Only an orderly close can end an answer that has no length.
  if (Orderly && !Skipping && Reader.finishAtClose() && Observer) {
    Reusable = false;
    return completeMessage();
  }
  if (Observer)
    lose(Reason);
}

void client_link::lose(loss_reason Reason) {
  const auto Guard = shared_from_this();
  ConnectDeadline.stop();
  Socket.reset();
  answer_observer *Target = std::exchange(Observer, nullptr);
  release();
  if (Target)
    Target->onAnswerLost({Stage, Reason, Exchanges > 1});
}

void client_link::release() {
  if (Self)
    callLater(Pool.base(), [Guard = std::move(Self)] {});
}

void client_link::onReadable(bufferevent *, void *Argument) {
  static_cast<client_link *>(Argument)->read();
}

void client_link::onEvent(bufferevent *, short What, void *Argument) {
  auto *Link = static_cast<client_link *>(Argument);
  if ((What & BEV_EVENT_CONNECTED) != 0) {
    Link->Connected = true;
    Link->ConnectDeadline.stop();
    return;
  }
  if (!Link->Connected)
    return Link->lose(loss_reason::ConnectFailed);
  const bool Orderly = (What & BEV_EVENT_EOF) != 0;
  Link->ended(Orderly ? loss_reason::Closed : loss_reason::Reset, Orderly);
}

void client_link::onOutput(evbuffer *, const evbuffer_cb_info *Info,
                           void *Argument) {
  auto *Link = static_cast<client_link *>(Argument);
  if (Info->n_deleted > 0 && Link->Connected &&
      Link->Stage == exchange_stage::NotSent)
    Link->Stage = exchange_stage::Sent;
}

client_links::~client_links() {
  for (auto &[Server, Links] : Idle)
    for (const auto &Link : Links) {
      Link->Socket.reset();
      Link->Self.reset();
    }
}

std::shared_ptr<client_link> client_links::start(const client_request &Request,
                                                 answer_observer &Observer) {
  std::shared_ptr<client_link> Link;
  if (!Request.FreshLink)
    Link = takeIdle(Request.Server);
  if (!Link)
    Link = std::make_shared<client_link>(*this, Request.Server);
  Link->send(Request, Observer);
  return Link;
}

std::shared_ptr<client_link> client_links::takeIdle(const endpoint &Server) {
  const auto Found = Idle.find(Server);
  if (Found == Idle.end())
    return nullptr;
  const instant Now = readBootClock();
  idle_list &Links = Found->second;
  std::shared_ptr<client_link> Taken;
  while (!Links.empty() && !Taken) {
    const auto Link = Links.back();
    Links.pop_back();
    const span_ns Named = Link->KeepAliveSeconds
                              ? std::chrono::seconds(*Link->KeepAliveSeconds) -
                                    Rules.KeepAliveMargin
                              : Rules.UnnamedIdleLimit;
    if (Now - Link->IdleSince < Named) {
      Taken = Link;
      continue;
    }
    Link->Socket.reset();
    Link->release();
  }
  if (Links.empty())
    Idle.erase(Found);
  return Taken;
}

void client_links::giveBack(const std::shared_ptr<client_link> &Link) {
  Link->IdleSince = readBootClock();
  idle_list &Links = Idle[Link->Server];
  Links.push_back(Link);
  if (Links.size() <= Rules.MaxIdle)
    return;
  Links.front()->Socket.reset();
  Links.front()->release();
  Links.pop_front();
}

void client_links::drop(const client_link &Link) {
  const auto Found = Idle.find(Link.Server);
  if (Found == Idle.end())
    return;
  std::erase_if(Found->second,
                [&Link](const auto &Kept) { return Kept.get() == &Link; });
  if (Found->second.empty())
    Idle.erase(Found);
}

void client_links::forget(const endpoint &Server) {
  const auto Found = Idle.find(Server);
  if (Found == Idle.end())
    return;
  for (const auto &Link : Found->second) {
    Link->Socket.reset();
    Link->release();
  }
  Idle.erase(Found);
}

} // namespace ebonyvale

#include "daemon/router_fixture.h"

#include "daemon/loop_runner.h"
#include "daemon/process/logging.h"
#include "decisions/request/sse_events.h"
#include "decisions/version/release_note.h"

#include <array>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <event2/bufferevent.h>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr const char *Loopback = "127.0.0.1";

} // namespace

client_exchange::client_exchange(evhttp_connection_pool &Pool,
                                 std::uint16_t Port, const client_call &Call) {
  outgoing_request Request;
  Request.Server = {Loopback, Port};
  Request.Method = Call.Method;
  Request.Target = Call.Path;
  Request.Headers = Call.Headers;
  if (!Call.Key.empty())
    Request.Headers.emplace_back("Authorization", "Bearer " + Call.Key);
  Request.Body = {Call.Body};
  Exchange = upstream_exchange::start(Pool, Request, *this);
}

client_exchange::~client_exchange() { disconnect(); }

void client_exchange::disconnect() {
  if (Exchange && !Ended)
    Exchange->cancel();
  Exchange.reset();
}

void client_exchange::onHead(const response_head &Head) {
  Response.Status = Head.status();
  for (const char *Name :
       {"Retry-After", "Content-Type", "X-Request-Id", "X-Refusal-Reference"})
    Response.Headers[Name] = Head.header(Name);
}

void client_exchange::onBody(std::string_view Bytes) { Response.Body += Bytes; }

void client_exchange::onComplete() {
  Response.Completed = true;
  Ended = true;
}

void client_exchange::onLost(exchange_stage) { Ended = true; }

router_fixture::router_fixture(fixture_options Options) {
  startLogging("text", "error");
  Settings.KeySecret = "key-secret";
  Settings.AdminToken = "admin-token";
  Settings.FleetSecret = "fleet-secret";
  Settings.CallerPort = 0;
  Settings.AdminPort = 0;
  if (Options.AdjustSettings)
    Options.AdjustSettings(Settings);
  for (std::size_t Index = 1; Index <= Options.Engines; ++Index) {
    Engines.push_back(std::make_unique<engine_server>(
        Base.get(), fmt::format("engine-{}", Index), "v1", Options.Speed));
    Engines.back()->listen(Loopback, 0);
  }
  for (std::size_t Index = 0; Index < Options.Applications; ++Index) {
    Applications.push_back(std::make_unique<application_server>(Base.get()));
    Applications.back()->listen(Loopback, 0);
  }
  Core = std::make_unique<router_core>(Base.get(), Settings, 1);
  History = std::make_unique<version_history>(*Core);
  Source = std::make_unique<local_configuration>(*Core, *History);
  Callers = std::make_unique<caller_listener>(*Core);
  Admin = std::make_unique<admin_listener>(*Core, *Source);
  Callers->listen();
  Admin->listen();
  ClientPool = std::make_unique<evhttp_connection_pool>(Base.get());
  applyNote(initialNote(Options.ExtraNote));
}

router_fixture::~router_fixture() {
  ClientPool.reset();
  Callers.reset();
  Admin.reset();
}

std::string router_fixture::initialNote(const std::string &Extra) const {
  std::string Note = fmt::format(
      "id = \"first\"\n{}\n"
      "[[added.failure_domain]]\nname = \"local\"\nregion = \"local\"\n"
      "[[added.team]]\nname = \"alpha\"\nrate = 1000000\nburst = 1000000\n"
      "[[added.team]]\nname = \"beta\"\nrate = 1000000\nburst = 1000000\n"
      "[[added.key]]\nid = \"alpha-1\"\nteam = \"alpha\"\nhash = \"{}\"\n"
      "[[added.key]]\nid = \"beta-1\"\nteam = \"beta\"\nhash = \"{}\"\n"
      "[[added.model]]\nname = \"manuals\"\nversion = \"v1\"\n",
      Extra, toHex(hashKey(Settings.KeySecret, "key-of-alpha-0001")),
      toHex(hashKey(Settings.KeySecret, "key-of-beta-00001")));
  for (std::size_t Index = 0; Index < Engines.size(); ++Index)
    Note += fmt::format("[[added.upstream]]\nname = \"engine-{}\"\n"
                        "address = \"{}\"\nport = {}\ndomain = \"local\"\n"
                        "models = [\"manuals\"]\n",
                        Index + 1, Loopback, Engines[Index]->port());
  for (std::size_t Index = 0; Index < Applications.size(); ++Index)
    Note += fmt::format("[[added.upstream]]\nname = \"application-{}\"\n"
                        "address = \"{}\"\nport = {}\ndomain = \"local\"\n"
                        "kind = \"application\"\ngroup = \"shop\"\n",
                        Index + 1, Loopback, Applications[Index]->port());
  if (!Applications.empty())
    Note += "[[added.route]]\nname = \"orders\"\nprefix = \"/orders\"\n"
            "methods = [\"POST\"]\ngroup = \"shop\"\n"
            "[[added.route]]\nname = \"stock\"\nprefix = \"/stock\"\n"
            "methods = [\"GET\"]\ngroup = \"shop\"\nrepeatable = true\n"
            "[[added.route]]\nname = \"open\"\nprefix = \"/open\"\n"
            "methods = [\"GET\"]\ngroup = \"shop\"\nopen = true\n"
            "repeatable = true\n";
  return Note;
}

bool router_fixture::runUntil(const std::function<bool()> &Done) {
  return runLoopUntil(Base.get(), Done);
}

void router_fixture::runFor(span_ns Delay) { runLoopFor(Base.get(), Delay); }

std::string router_fixture::sendRaw(const std::string &Bytes) {
  struct raw_client {
    std::string Received;
    bool Closed = false;
  } Client;
  const std::unique_ptr<bufferevent, releaser<bufferevent_free>> Socket(
      bufferevent_socket_new(Base.get(), -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(
      Socket.get(),
      [](bufferevent *Readable, void *Argument) {
        std::array<char, 4096> Buffer{};
        const std::size_t Length =
            bufferevent_read(Readable, Buffer.data(), Buffer.size());
        static_cast<raw_client *>(Argument)->Received.append(Buffer.data(),
                                                             Length);
      },
      nullptr,
      [](bufferevent *, short Events, void *Argument) {
        if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
          static_cast<raw_client *>(Argument)->Closed = true;
      },
      &Client);
  bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
  bufferevent_write(Socket.get(), Bytes.data(), Bytes.size());
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Callers->port());
  inet_pton(AF_INET, Loopback, &Address.sin_addr);
  bufferevent_socket_connect(
      Socket.get(), reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  cr_assert(runUntil([&Client] { return Client.Closed; }));
  return Client.Received;
}

std::unique_ptr<client_exchange>
router_fixture::start(const client_call &Call) {
  return std::make_unique<client_exchange>(*ClientPool, Callers->port(), Call);
}

client_response router_fixture::call(const client_call &Call) {
  const auto Exchange = start(Call);
  cr_assert(runUntil([&Exchange] { return Exchange->ended(); }),
            "no response to %s", Call.Path.c_str());
  return Exchange->response();
}

client_response router_fixture::admin(const std::string &Method,
                                      const std::string &Path,
                                      const std::string &Body) {
  client_exchange Exchange(*ClientPool, Admin->port(),
                           {Method, Path, Settings.AdminToken, Body, {}});
  cr_assert(runUntil([&Exchange] { return Exchange.ended(); }),
            "no response to %s", Path.c_str());
  return Exchange.response();
}

void router_fixture::applyNote(const std::string &Text) {
  Source->apply(Text, [](const result<accepted_note> &Outcome) {
    cr_assert(static_cast<bool>(Outcome), "%s",
              Outcome ? "" : Outcome.error().Detail.c_str());
  });
}

std::string chatBody(const std::string &Prompt, bool Stream, int MaxTokens,
                     const std::string &Model) {
  return nlohmann::json{{"model", Model},
                        {"stream", Stream},
                        {"max_tokens", MaxTokens},
                        {"messages", {{{"role", "user"}, {"content", Prompt}}}}}
      .dump();
}

std::string streamText(const std::string &Body) {
  sse_splitter Splitter;
  std::string Text;
  for (const sse_event &Event : Splitter.feed(Body)) {
    const auto Json = nlohmann::json::parse(Event.Data, nullptr, false);
    if (!Json.is_object() || !Json.contains("choices"))
      continue;
    for (const auto &Choice : Json["choices"])
      Text += Choice["delta"].value("content", "");
  }
  return Text;
}

std::string refusalKind(const std::string &Body) {
  const auto Json = nlohmann::json::parse(Body, nullptr, false);
  if (!Json.is_object() || !Json.contains("error"))
    return "";
  return Json["error"].value("kind", "");
}

} // namespace ebonyvale

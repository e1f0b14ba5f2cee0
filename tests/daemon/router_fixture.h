/// \file
/// A whole router on one event loop: daemon parts, fake engines and services,
/// and a client, all on ports from the kernel.
#ifndef EBONYVALE_TESTS_DAEMON_ROUTER_FIXTURE_H
#define EBONYVALE_TESTS_DAEMON_ROUTER_FIXTURE_H

#include "daemon/connection/admin_listener.h"
#include "daemon/connection/caller_listener.h"
#include "daemon/process/local_configuration.h"
#include "daemon/process/router_core.h"
#include "fakes/application_server.h"
#include "fakes/engine_server.h"
#include "net/timer.h"
#include "net/upstream_exchange.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ebonyvale {

/// What a client got.
struct client_answer {
  bool Whole = false; ///< the answer ended as HTTP prescribes
  int Status = 0;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// What a client sends.
struct client_call {
  std::string Method = "POST";
  std::string Path = "/v1/chat/completions";
  std::string Key = "key-of-alpha-0001";
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
};

/// A call in progress.
class client_exchange final : public exchange_observer {
public:
  client_exchange(evhttp_connection_pool &Pool, std::uint16_t Port,
                  const client_call &Call);
  ~client_exchange() override;

  bool ended() const { return Ended; }
  const client_answer &answer() const { return Answer; }
  /// Stops and goes on reading the answer.
  void pause() { Exchange->pauseReading(); }
  void resume() { Exchange->resumeReading(); }
  /// Closes the connection.
  void leave();

  void onHead(const response_head &Head) override;
  void onBody(std::string_view Bytes) override;
  void onComplete() override;
  void onLost(exchange_stage Stage) override;

private:
  bool Ended = false;
  client_answer Answer;
  std::shared_ptr<upstream_exchange> Exchange;
};

/// Sizes of the fixture.
struct fixture_options {
  std::size_t Engines = 1;
  std::size_t Applications = 1;
  engine_speed Speed{1, 1, 512, 64};
  std::function<void(daemon_settings &)> Adjust;
  std::string ExtraNote; ///< added to the first note
};

/// The router under test. Team alpha has the key `key-of-alpha-0001`, team
/// beta `key-of-beta-00001`; model `manuals` runs on all engines; `/orders`
/// must not be repeated, `/stock` may be, `/open` needs no key.
class router_fixture {
public:
  explicit router_fixture(fixture_options Options = {});
  ~router_fixture();

  /// Runs the loop until \p Done, at most as long as a test may hang.
  bool runUntil(const std::function<bool()> &Done);

  /// Runs one call to its end.
  client_answer call(const client_call &Call);

  /// Starts a call.
  std::unique_ptr<client_exchange> start(const client_call &Call);

  /// An admin call.
  client_answer admin(const std::string &Method, const std::string &Path,
                      const std::string &Body = {});

  /// Applies a note; fails the test when it is refused.
  void applyNote(const std::string &Text);

  /// Sends raw bytes to the callers' port and returns what came back until the
  /// connection was closed.
  std::string sendRaw(const std::string &Bytes);

  /// Calls the loop back after \p Delay.
  void runFor(span_ns Delay);

  event_base_ptr Base{event_base_new()};
  daemon_settings Settings;
  std::vector<std::unique_ptr<engine_server>> Engines;
  std::vector<std::unique_ptr<application_server>> Applications;
  std::unique_ptr<router_core> Core;
  std::unique_ptr<version_history> History;
  std::unique_ptr<local_configuration> Source;
  std::unique_ptr<caller_listener> Callers;
  std::unique_ptr<admin_listener> Admin;
  std::unique_ptr<evhttp_connection_pool> ClientPool;

private:
  std::string firstNote(const std::string &Extra) const;
};

/// A chat body.
std::string chatBody(const std::string &Prompt, bool Stream, int MaxTokens = 8,
                     const std::string &Model = "manuals");

/// The text that an answer's stream events spell.
std::string streamText(const std::string &Body);

/// The `kind` of a refusal body, or "".
std::string refusalKind(const std::string &Body);

} // namespace ebonyvale

#endif

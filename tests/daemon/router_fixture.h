/// \file
/// A router on one event loop with its listeners, fake engines and application
/// servers, and a client, all on ephemeral ports.
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

/// The response that a client received.
struct client_response {
  bool Completed = false; ///< the response ended as its HTTP framing requires
  int Status = 0;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// A request that a client sends.
struct client_call {
  std::string Method = "POST";
  std::string Path = "/v1/chat/completions";
  std::string Key = "key-of-alpha-0001";
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
};

/// A call in flight or ended, with what was received of its response.
class client_exchange final : public exchange_observer {
public:
  client_exchange(evhttp_connection_pool &Pool, std::uint16_t Port,
                  const client_call &Call);
  ~client_exchange() override;

  bool ended() const { return Ended; }
  const client_response &response() const { return Response; }
  /// Pauses and resumes reading the response.
  void pause() { Exchange->pauseReading(); }
  void resume() { Exchange->resumeReading(); }
  /// Closes the connection if the call is in flight.
  void disconnect();

  void onHead(const response_head &Head) override;
  void onBody(std::string_view Bytes) override;
  void onComplete() override;
  void onLost(exchange_stage Stage) override;

private:
  bool Ended = false;
  client_response Response;
  std::shared_ptr<upstream_exchange> Exchange;
};

/// Options of the fixture.
struct fixture_options {
  std::size_t Engines = 1;
  std::size_t Applications = 1;
  engine_speed Speed{1, 1, 512, 64};
  std::function<void(daemon_settings &)> AdjustSettings;
  std::string ExtraNote; ///< inserted into the first note
};

/// The router under test. Team alpha has the key `key-of-alpha-0001`, team beta
/// `key-of-beta-00001`. The model `manuals` runs on all engines. Of the routes
/// to the application servers, `/orders` is not repeatable, `/stock` is
/// repeatable and `/open` needs no key.
class router_fixture {
public:
  explicit router_fixture(fixture_options Options = {});
  ~router_fixture();

  /// Runs the loop until \p Done returns true; returns false when it times out.
  bool runUntil(const std::function<bool()> &Done);

  /// Makes a call and waits for its end.
  client_response call(const client_call &Call);

  /// Starts a call and returns it in flight.
  std::unique_ptr<client_exchange> start(const client_call &Call);

  /// Makes a call to the admin listener with its token.
  client_response admin(const std::string &Method, const std::string &Path,
                        const std::string &Body = {});

  /// Applies a note; fails the test when it is refused.
  void applyNote(const std::string &Text);

  /// Sends raw bytes to the port for callers and returns what is received until
  /// the router closes the connection.
  std::string sendRaw(const std::string &Bytes);

  /// Runs the loop for \p Delay.
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
  std::string initialNote(const std::string &Extra) const;
};

/// Returns the body of a chat request.
std::string chatBody(const std::string &Prompt, bool Stream, int MaxTokens = 8,
                     const std::string &Model = "manuals");

/// Returns the concatenated text of the events of a stream.
std::string streamText(const std::string &Body);

/// Returns the `kind` of a refusal body, or "" for any other body.
std::string refusalKind(const std::string &Body);

} // namespace ebonyvale

#endif

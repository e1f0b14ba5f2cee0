/// \file
/// An upstream on the platform's wire, for tests of the gateway. It counts what
/// it runs.
#ifndef EBONYVALE_TESTS_PLATFORM_UPSTREAM_STAND_IN_H
#define EBONYVALE_TESTS_PLATFORM_UPSTREAM_STAND_IN_H

#include "net/server_connection.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ebonyvale {

/// What the upstream does with a request.
enum class upstream_act {
  Answer,       ///< 200 with a body, or a stream of all events
  Error,        ///< runs it and answers 500
  Full,         ///< proves that it did not run it
  LoseAnswer,   ///< runs it and closes the connection
  BreakStream,  ///< streams two events and a half and closes
  Hold,         ///< runs it and never answers
  TooLarge,     ///< runs it and answers with more than is held at once
  OtherProcess, ///< another process has the address
};

/// One upstream process.
class upstream_stand_in final : public request_handler {
public:
  upstream_stand_in(event_base *Base, std::string Id);

  /// Its entry in the store, for \p Service.
  std::string entry(std::string_view Service, bool Draining = false) const {
    return entryAt(Links.port(), Service, Draining);
  }
  /// The same behind a proxy on \p Port.
  std::string entryAt(std::uint16_t Port, std::string_view Service,
                      bool Draining) const;
  std::string key() const { return "servers/" + Id; }

  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override;
  void onRequestError(server_connection &Link, request_error Reason) override;

  upstream_act Act = upstream_act::Answer;
  std::int64_t Weights = 1;
  std::map<std::string, int> Runs; ///< by request id
  std::vector<http_request> Seen;
  std::vector<std::shared_ptr<server_connection>> Held;

  /// Orders that did not follow the last one that was accepted.
  std::size_t Conflicts = 0;
  /// Time from a request to what follows of it.
  span_ns Delay{0};
  /// Time between two events of a stream; 0 for all at once.
  span_ns EventGap{0};
  /// Called with each request that is run.
  std::function<void(const http_request &)> OnRun;

  int runs() const;
  std::uint16_t port() const { return Links.port(); }
  /// Held requests whose connection is still open.
  std::size_t stillHeld() const;

  static constexpr int Events = 6;
  /// Bytes of the events behind \p After.
  static std::string events(int After, int Last = Events);

private:
  void respond(const std::shared_ptr<server_connection> &Link,
               const http_request &Request, header_list Headers);
  void stream(const std::shared_ptr<server_connection> &Link,
              const http_request &Request, bool Broken);
  void streamSlowly(const std::shared_ptr<server_connection> &Link, int After);
  void order(server_connection &Link, const http_request &Request);

  std::string Id;
  connection_listener Links;
  std::int64_t Orders = 0;
};

} // namespace ebonyvale

#endif

/// \file
/// A caller of a soak run with silent upstreams.
#ifndef EBONYVALE_TESTS_SOAK_SILENCE_CALLER_H
#define EBONYVALE_TESTS_SOAK_SILENCE_CALLER_H

#include "soak/http10_exchange.h"
#include "soak/silence_environment.h"

#include <map>
#include <memory>
#include <optional>

namespace ebonyvale {

/// Sends one request after the other on connections of its own, which it reuses
/// until four fifths of the idle timeout have passed. Resumes a stream that
/// breaks off with at least one event at another gateway.
class silence_environment::caller final : public response_observer {
public:
  static constexpr int MaxResumptions = 3;

  /// An \p Impatient caller closes a connection whose stream pauses for long.
  /// With \p Http10 it speaks HTTP/1.0, each request on a new connection.
  caller(silence_environment &Environment, bool Impatient, bool Http10);
  ~caller() override;
  caller(const caller &) = delete;
  caller &operator=(const caller &) = delete;

  void sendNext();
  bool busy() const { return Exchange || OldExchange; }

  response_action onResponseHead(const http_head &Head, bool) override;
  void onResponseBody(std::string_view Bytes) override;
  void onResponseEnd() override;
  void onResponseLost(const exchange_loss &Loss) override;

private:
  void send(const sent_request &Request);
  /// Sends \p Out in the version that the caller speaks.
  void start(const client_request &Out);
  void giveUp();
  void end();
  /// Sets `Next` to the attempt to resume the present stream, if it broke off.
  void planResumption();
  span_ns nextPause();

  silence_environment &Environment;
  const bool Impatient;
  const bool Http10;
  client_connection_pool Pool;
  ended_request Present;
  std::optional<sent_request> Next;
  std::optional<std::size_t> Gateway;     ///< of the last request
  std::map<std::size_t, instant> LastUse; ///< by gateway
  std::shared_ptr<client_connection> Exchange;
  std::unique_ptr<http10_exchange> OldExchange; ///< instead, with HTTP/1.0
  timer PauseTimer;
  timer GapTimer;
  timer GiveUpTimer;
};

} // namespace ebonyvale

#endif

/// \file
/// Clients that hold connections with unfinished requests or unread responses.
#ifndef EBONYVALE_TESTS_CROWDS_CROWD_CLIENT_H
#define EBONYVALE_TESTS_CROWDS_CROWD_CLIENT_H

#include "net/event_handles.h"

#include <cstdint>
#include <memory>
#include <string>

namespace ebonyvale {

/// What a client sends: `Begin`, then `Middle` repeated, then `End`.
struct crowd_request {
  std::string Begin;
  std::string Middle;
  std::size_t Repeats = 0;
  std::string End;
  /// Size of one write, after which the client waits until it was sent; 0: all
  /// at once.
  std::size_t PieceBytes = 0;
  bool Reads = true; ///< whether it reads responses
};

/// A client that sends one request, or a part of one, and stays connected.
class crowd_client {
public:
  virtual ~crowd_client() = default;
  /// Returns whether all has been sent, or the connection was closed.
  virtual bool done() const = 0;
};

/// Sends \p Request to \p Port by HTTP/1.1.
std::unique_ptr<crowd_client>
startClient(event_base *Base, std::uint16_t Port,
            std::shared_ptr<const crowd_request> Request);

/// Opens \p Streams streams by HTTP/2, each of which sends \p BodyBytes bytes
/// without their end.
std::unique_ptr<crowd_client> startH2Client(event_base *Base,
                                            std::uint16_t Port,
                                            std::size_t Streams,
                                            std::size_t BodyBytes);

} // namespace ebonyvale

#endif

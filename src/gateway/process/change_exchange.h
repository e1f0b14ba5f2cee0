/// \file
/// Messages by which instances follow the store through a peer.
#ifndef EBONYVALE_GATEWAY_PROCESS_CHANGE_EXCHANGE_H
#define EBONYVALE_GATEWAY_PROCESS_CHANGE_EXCHANGE_H

#include "decisions/process/change_log.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ebonyvale {

/// Newest revision of an operators' document that an instance has handled.
struct operator_document {
  std::string Key;
  std::int64_t Revision = 0;
  /// Absent in polls, in responses to a peer that has it, and if it is too
  /// large to send.
  std::optional<std::string> Value;
};

/// Asks a peer for the changes after a revision.
struct change_poll {
  std::uint64_t Number = 0; ///< repeated in the response
  std::int64_t Revision = 0;
  std::vector<operator_document> Documents; ///< that the sender has
};

/// An announced version of a model's weights.
struct announced_age {
  std::string Model;
  std::int64_t Version = 0;
  /// Time since the last read of the store that did not show it, if known.
  std::optional<span_ns> Age;
};

/// Response to a poll. Its ages count from the time of the poll, so that a
/// message that arrives late makes nothing newer than it is.
struct change_response {
  std::uint64_t Number = 0;
  /// Age of the sender's last read of the operators' documents; absent before
  /// the first one.
  std::optional<span_ns> ReadAge;
  /// Age of the sender's list of upstreams; absent before the first one and in
  /// messages of earlier builds.
  std::optional<span_ns> UpstreamsAge;
  std::vector<operator_document> Documents;
  std::vector<announced_age> Weights;
  change_batch Changes;
};

/// Receives the messages of peers.
class change_exchange {
public:
  virtual ~change_exchange() = default;
  virtual void onChangePoll(const std::string &From,
                            const change_poll &Poll) = 0;
  virtual void onChangeResponse(const std::string &From,
                                const change_response &Response) = 0;
};

} // namespace ebonyvale

#endif

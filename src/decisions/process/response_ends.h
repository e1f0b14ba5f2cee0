/// \file
/// Responses that nothing but the end of their connection has ended.
#ifndef EBONYVALE_DECISIONS_PROCESS_RESPONSE_ENDS_H
#define EBONYVALE_DECISIONS_PROCESS_RESPONSE_ENDS_H

#include "common/instant.h"
#include "decisions/process/upstream_departures.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace ebonyvale {

/// What a question to an upstream's process has shown.
enum class process_evidence {
  None,    ///< no answer: the process may be silent or out of reach
  Started, ///< a process has stated its start
  Unnamed, ///< an answer that does not state which process gave it
  Gone,    ///< its address refuses connections, or another upstream answered
};

/// What is known of a response that nothing but the end of its connection has
/// ended. It is never known to be whole.
enum class end_verdict {
  Plausible, ///< its process has outlived it
  Broken,    ///< its process ended with it
};

/// What a verdict rests on.
enum class end_proof {
  ListedStart,       ///< the process has the start of the entry
  StartStatedBefore, ///< its start was known while the response was sent
  EarlierConnection, ///< it answered on a connection opened before that
  AskedAtOnce,       ///< the answer of an upstream whose entry has no start
  OtherStart,        ///< no process known by then answered
  Gone,              ///< see `process_evidence::Gone`
  Left,              ///< as `Gone`; it was known to be leaving
};

/// Returns the name of \p Verdict for logs and metrics.
std::string_view endVerdictName(end_verdict Verdict);
/// Returns the name of \p Proof for logs.
std::string_view endProofName(end_proof Proof);

/// A response without a length or chunks ends with its connection. No end of
/// it is proven, since a process may also close the connection within it. It is
/// known to be broken if its process ended with it: the system of a process
/// that is killed closes its connections in order. Until it is known whether
/// the process has outlived it, it has no end. A process is recognized by the
/// start that it states, never by comparing that with another clock: processes
/// at an address follow each other, so one that was there when the response was
/// being sent and still is has sent it. A process that has announced that it
/// leaves may end right after a whole response. One that has not is not told
/// apart from one that is killed.
class response_ends {
public:
  /// Pause after a question without evidence; it doubles with each one.
  static constexpr span_ns AskAgain = std::chrono::milliseconds(50);
  static constexpr span_ns MaxAskAgain = std::chrono::milliseconds(500);
  /// Longest time after the end of a response was read in which an answer
  /// counts as that of its process, if the entry states no start. It proves
  /// little, since a process may start sooner.
  static constexpr span_ns MinStartTime = std::chrono::milliseconds(100);
  /// How long a start is remembered that is not stated again.
  static constexpr span_ns KeepStated = std::chrono::seconds(60);

  /// The answer to a question.
  struct answer {
    instant AskedAt;
    process_evidence Evidence = process_evidence::None;
    /// Start in ms since the Unix epoch, where a process has stated it.
    std::int64_t Born = 0;
    /// When the connection was opened, if the process has answered on one from
    /// before the question.
    std::optional<instant> ConnectedAt;
    /// When connections were refused, if not only now; that says nothing of
    /// responses that ended later.
    std::optional<instant> GoneAt;
  };

  struct judged_end {
    std::uint64_t Number;
    end_verdict Verdict;
    end_proof Proof;
  };

  /// Adds a response of \p Process, as listed when its request was sent, that
  /// ended at \p Now. The process that sent it was running at \p AliveAt, see
  /// `response_activity`; \p IsLeaving tells whether it had announced that it
  /// ends. Returns its number.
  std::uint64_t add(const upstream_process &Process, instant AliveAt,
                    bool IsLeaving, instant Now);

  /// Records that the process at the address of \p Listed has stated \p Born,
  /// in its entry or a report, until \p Now.
  void onStated(const upstream_process &Listed, std::int64_t Born, instant Now);

  /// Returns the latest time at which a connection may have been opened on
  /// which an answer proves the end of a response of \p Process that \p Answer
  /// does not prove; nothing if it proves all.
  std::optional<instant> earlierConnection(const upstream_process &Process,
                                           const answer &Answer,
                                           instant Now) const;

  /// Forgets the response \p Number, which nobody waits for any more.
  void withdraw(std::uint64_t Number);

  /// Returns the processes to ask at \p Now, and counts them as asked then. One
  /// answer serves all responses that ended before the question.
  std::vector<upstream_process> takeQuestions(instant Now);

  /// Records the answer to a question to \p Process, and returns what it
  /// decides.
  std::vector<judged_end> onAnswer(const upstream_process &Process,
                                   const answer &Answer, instant Now);

  /// Returns when `takeQuestions` next returns something; nothing while no
  /// response waits for a question.
  std::optional<instant> nextAt() const;

  /// Returns the number of responses that wait.
  std::size_t count() const;

private:
  struct waiting_end {
    std::uint64_t Number;
    instant AliveAt;
    instant At;
    bool IsLeaving;
  };
  struct waiting_process {
    upstream_process Process;
    std::vector<waiting_end> Ends;  ///< the oldest first
    std::optional<instant> AskedAt; ///< set while a question is open
    instant AskFrom;                ///< earliest time of the next question
    span_ns Pause = AskAgain;       ///< after the next one without evidence
  };

  /// The start that the process at an address has stated.
  struct stated_start {
    std::int64_t Born = 0;
    instant Since; ///< when it was first known
    instant At;    ///< when it was last known
  };
  using process_address = std::tuple<std::string, std::string, std::uint16_t>;

  std::vector<waiting_process>::iterator find(const upstream_process &Process);
  /// Returns what \p Answer shows of \p End, a response of \p Process, at
  /// \p Now.
  std::optional<end_proof> judge(const upstream_process &Process,
                                 const waiting_end &End, const answer &Answer,
                                 instant Now) const;
  bool wasStatedBefore(const upstream_process &Process, std::int64_t Born,
                       instant AliveAt) const;
  /// Forgets processes of which no response waits.
  void dropEmpty();

  std::vector<waiting_process> Processes;
  std::map<process_address, stated_start> Stated;
  instant StatedExpiredAt;
  std::uint64_t LastNumber = 0;
};

} // namespace ebonyvale

#endif

/// \file
/// Responses that nothing but the end of their connection has ended.
#ifndef EBONYVALE_DECISIONS_PROCESS_RESPONSE_ENDS_H
#define EBONYVALE_DECISIONS_PROCESS_RESPONSE_ENDS_H

#include "common/instant.h"
#include "decisions/process/upstream_departures.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// What a question to an upstream's process has shown.
enum class process_evidence {
  None,    ///< no answer: the process may be silent or out of reach
  Running, ///< the process has answered
  Unnamed, ///< an answer that does not state which process gave it
  Gone,    ///< its address refuses connections, or another process answered
};

/// Whether a response is complete.
enum class end_verdict {
  Whole,
  Broken,   ///< its process ended with it
  Unproven, ///< nothing shows whether its process has outlived it
};

/// Returns the name of \p Verdict for logs and metrics.
std::string_view endVerdictName(end_verdict Verdict);

/// A response without a length or chunks ends with its connection. A process
/// that has sent all of it closes the connection in order, and so does the
/// system of a process that is killed within it. The response counts as whole
/// if its process has outlived it. A process that closes a connection within a
/// response and goes on is not told apart.
class response_ends {
public:
  /// Longest time that a response waits for evidence; then it is `Unproven`.
  /// Callers abandon a stream that pauses for two seconds.
  static constexpr span_ns MaxWait = std::chrono::milliseconds(1800);
  /// Pause after a question without evidence.
  static constexpr span_ns AskAgain = std::chrono::milliseconds(100);
  /// Shorter than any process takes to start: an answer so soon after the end
  /// of a response is not that of the next process.
  static constexpr span_ns MinStartTime = std::chrono::milliseconds(100);

  struct judged_end {
    std::uint64_t Number;
    end_verdict Verdict;
  };

  /// Adds a response of \p Process that ended at \p Now. Returns its number.
  std::uint64_t add(const upstream_process &Process, instant Now);

  /// Returns the processes to ask at \p Now, and counts them as asked then. One
  /// answer serves all responses that ended before the question.
  std::vector<upstream_process> takeQuestions(instant Now);

  /// Records the outcome of the question to \p Process, and returns what it
  /// decides.
  std::vector<judged_end> onEvidence(const upstream_process &Process,
                                     process_evidence Evidence, instant Now);

  /// Returns the responses that have waited too long.
  std::vector<judged_end> expire(instant Now);

  /// Returns when `takeQuestions` or `expire` next returns something; nothing
  /// if no response waits.
  std::optional<instant> nextAt() const;

  /// Returns the number of responses that wait.
  std::size_t count() const;

private:
  struct waiting_end {
    std::uint64_t Number;
    instant At;
  };
  struct waiting_process {
    upstream_process Process;
    std::vector<waiting_end> Ends;  ///< the oldest first
    std::optional<instant> AskedAt; ///< set while a question is open
    instant AskFrom;                ///< earliest time of the next question
  };

  std::vector<waiting_process>::iterator find(const upstream_process &Process);
  /// Judges the responses of \p Waiting that ended after \p After and up to
  /// \p Until.
  static void judge(waiting_process &Waiting, instant After, instant Until,
                    end_verdict Verdict, std::vector<judged_end> &Judged);
  /// Forgets processes of which no response waits.
  void dropEmpty();

  std::vector<waiting_process> Processes;
  std::uint64_t LastNumber = 0;
};

} // namespace ebonyvale

#endif

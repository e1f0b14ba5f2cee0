/// \file
/// Asks upstreams whether they still run the process that their entry states.
#ifndef EBONYVALE_GATEWAY_CONNECTION_UPSTREAM_VERIFIER_H
#define EBONYVALE_GATEWAY_CONNECTION_UPSTREAM_VERIFIER_H

#include "gateway/connection/upstream_call.h"
#include "gateway/process/gateway_core.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Requests status reports from upstreams (`unconfirmed_upstreams`). A report
/// states when the process has started.
class upstream_verifier final : public software_verifier {
public:
  /// Largest number of upstreams that are asked at the same time.
  static constexpr std::size_t MaxQuestions = 16;
  /// Time from a question without an answer to the next one.
  static constexpr span_ns RetryPause = std::chrono::milliseconds(250);

  explicit upstream_verifier(gateway_core &Core);
  ~upstream_verifier() override;

  // software_verifier
  bool verify(std::string_view Upstream,
              const std::weak_ptr<verification_waiter> &Waiter, instant Since,
              instant Now) override;

private:
  struct question {
    std::shared_ptr<upstream_call> Call;
    std::vector<std::weak_ptr<verification_waiter>> Waiters;
    instant AskedAt;
    instant Since = instant::min(); ///< the latest one that was passed
  };

  struct failed_question {
    upstream_process Process;
    instant At; ///< its end
  };

  void ask(const upstream_entry &Entry, question &Question, instant Now);
  void onAnswer(const upstream_process &Asked, instant SentAt,
                const upstream_call &Call, int Status, std::string_view Body);
  bool wasUnanswered(const upstream_entry &Entry) const;

  gateway_core &Core;
  std::map<std::string, question, std::less<>> Questions;         ///< by id
  std::map<std::string, failed_question, std::less<>> Unanswered; ///< by id
};

} // namespace ebonyvale

#endif

/// \file
/// What callers and upstreams saw, held against what is promised to them.
#ifndef EBONYVALE_TESTS_SOAK_PROMISE_JUDGE_H
#define EBONYVALE_TESTS_SOAK_PROMISE_JUDGE_H

#include "common/instant.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// The bounds that a run is judged by; those of the gateways' settings.
struct promise_bounds {
  span_ns Key{0};      ///< a withdrawn key runs nothing later
  span_ns Apply{0};    ///< a new key is known by then, or nothing is denied
  double Rate = 0;     ///< of the team, in tokens a second
  double Burst = 0;    ///< in tokens
  double Slack = 0;    ///< tolerated above the limit, in tokens
  double Excess = 0.1; ///< tolerated part of the limit
  double RequestTokens = 0;
};

/// A request as its caller sent it.
struct asked_request {
  std::string Id;
  std::string Path;
  std::string Key;
  std::size_t Gateway = 0;
  instant At;
};

/// What the caller got.
struct got_answer {
  int Status = 0; ///< 0: none
  bool Whole = false;
  bool SaysNotRun = false; ///< a refusal of the gateway, with that promise
  bool Sealed = false;     ///< an upstream's own answer
  std::string Body;
};

/// Collects broken promises, each as a line with its request's id.
class promise_judge {
public:
  explicit promise_judge(const promise_bounds &Bounds) : Bounds(Bounds) {}

  void onAsked(const asked_request &Request);
  void onRun(std::string_view Id, instant Now);
  void onAnswer(std::string_view Id, const got_answer &Answer, instant Now);

  /// The operators added \p Key; \p Now is when the store had it written.
  void onAdded(const std::string &Key, instant Now);

  /// The operators took \p Key away; \p Now is when the store had it written.
  void onWithdrawn(const std::string &Key, instant Now);

  /// Connections to upstreams may hold bytes back until \p Until: what was sent
  /// in time may begin later.
  void onUpstreamLinkHarmed(instant Until);

  /// The judge itself was held up until \p Now, \p By so much: what it sees now
  /// may be that old.
  void onHeldUp(span_ns By, instant Now);

  /// To be called once nothing runs any more.
  void finish();

  const std::vector<std::string> &broken() const { return Broken; }
  std::size_t asked() const { return Requests.size(); }
  /// Number of answers by status; 0 where the connection ended.
  const std::map<int, std::size_t> &answers() const { return Answers; }

private:
  struct record {
    asked_request Asked;
    std::size_t Runs = 0;
    bool SaidNotRun = false;
  };

  void breach(std::string_view Id, const std::string &What);
  void checkStream(const record &Record, const got_answer &Answer);
  void checkLimit();

  promise_bounds Bounds;
  std::map<std::string, record, std::less<>> Requests;
  std::map<std::string, instant, std::less<>> Added;
  std::map<std::string, instant, std::less<>> Withdrawn;
  std::vector<instant> FirstRuns; ///< of requests that count for the team
  std::map<int, std::size_t> Answers;
  std::vector<std::string> Broken;
  instant LinkHarmedUntil;
  instant HeldUpAt;
  span_ns HeldUpBy{0};
};

} // namespace ebonyvale

#endif

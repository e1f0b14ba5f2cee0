#include "soak/promise_judge.h"

#include "platform/fake_upstream.h"

#include <algorithm>
#include <array>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr int StatusOk = 200;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusForbidden = 403;

/// Attempts that the routes of the run allow.
constexpr std::size_t MaxRuns = 2;

bool mayRepeat(std::string_view Path) {
  return Path.starts_with("/read/") || Path.starts_with("/open/") ||
         Path.starts_with("/stream-on/");
}

/// Enough of \p Body to recognise it.
std::string beginning(const std::string &Body) {
  constexpr std::size_t Shown = 80;
  return Body.substr(0, Shown);
}

} // namespace

void promise_judge::breach(std::string_view Id, const std::string &What) {
  const auto Known = Requests.find(Id);
  if (Known == Requests.end())
    return Broken.push_back(fmt::format("{}: {}", Id, What));
  const asked_request &Asked = Known->second.Asked;
  Broken.push_back(fmt::format("{} ({} with {} to gateway {}): {}", Id,
                               Asked.Path, Asked.Key, Asked.Gateway, What));
}

void promise_judge::onAsked(const asked_request &Request) {
  Requests[Request.Id] = {Request};
}

void promise_judge::onAdded(const std::string &Key, instant Now) {
  Added.try_emplace(Key, Now);
}

void promise_judge::onWithdrawn(const std::string &Key, instant Now) {
  Withdrawn.try_emplace(Key, Now);
}

void promise_judge::onUpstreamLinkHarmed(instant Until) {
  LinkHarmedUntil = std::max(LinkHarmedUntil, Until);
}

void promise_judge::onHeldUp(span_ns By, instant Now) {
  HeldUpBy = By;
  HeldUpAt = Now;
}

void promise_judge::onRun(std::string_view Id, instant Now) {
  const auto Known = Requests.find(Id);
  if (Known == Requests.end())
    return breach(Id, "nobody asked for it");
  record &Record = Known->second;
  if (++Record.Runs == 1 && !Record.Asked.Path.starts_with("/open/"))
    FirstRuns.push_back(Now);
  const std::size_t Most = mayRepeat(Record.Asked.Path) ? MaxRuns : 1;
  if (Record.Runs > Most)
    breach(Id, fmt::format("run {} times", Record.Runs));
  if (Record.SaidNotRun)
    breach(Id, "run after its caller was told that it had not been");
  const auto Gone = Withdrawn.find(Record.Asked.Key);
  const span_ns Allowance = Now == HeldUpAt ? HeldUpBy : span_ns(0);
  // The bound is on when a request is sent; whether it runs late shows that
  // only where nothing on the way can have held it back.
  const bool HeldBack = LinkHarmedUntil >= Record.Asked.At;
  const instant SentBy = HeldBack ? Record.Asked.At : Now;
  if (Gone != Withdrawn.end() &&
      SentBy - Gone->second > Bounds.Key + Allowance &&
      !Record.Asked.Path.starts_with("/open/"))
    breach(Id, fmt::format("run {:.0f} ms after its key was withdrawn",
                           toMs(Now - Gone->second)));
}

void promise_judge::onAnswer(std::string_view Id, const got_answer &Answer,
                             instant Now) {
  const auto Known = Requests.find(Id);
  if (Known == Requests.end())
    return breach(Id, "an answer to nobody's request");
  record &Record = Known->second;
  ++Answers[Answer.Status];
  if (Answer.SaysNotRun) {
    Record.SaidNotRun = true;
    if (Record.Runs > 0)
      breach(Id, "its caller was told that it had not run");
  }
  const bool KeyHolds = !Withdrawn.contains(Record.Asked.Key);
  const bool Denied = Answer.Status == StatusUnauthorized ||
                      Answer.Status == StatusForbidden ||
                      Answer.Status == StatusNotFound;
  const auto Since = Added.find(Record.Asked.Key);
  const bool IsNew =
      Since != Added.end() && Record.Asked.At - Since->second < Bounds.Apply;
  if (Denied && KeyHolds && !IsNew)
    breach(Id, fmt::format("denied with {} {:.0f} ms after it was asked",
                           Answer.Status, toMs(Now - Record.Asked.At)));
  if (Answer.Status != StatusOk)
    return;
  if (!Answer.Sealed)
    breach(Id, "a 200 that no upstream gave");
  if (Record.Asked.Path.starts_with("/stream"))
    return checkStream(Record, Answer);
  if (Answer.Whole && !Answer.Body.ends_with(fmt::format(" to {}", Id)))
    breach(Id, "got the answer '" + beginning(Answer.Body) + "'");
}

/// Events come in order and none is missing or doubled, whatever happened on
/// the way; those that can be resumed only as wholes.
void promise_judge::checkStream(const record &Record,
                                const got_answer &Answer) {
  const std::string All = fake_upstream::events(0);
  if (!std::string_view(All).starts_with(Answer.Body))
    return breach(Record.Asked.Id,
                  "got the events '" + beginning(Answer.Body) + "'");
  if (Answer.Whole && Answer.Body != All)
    breach(Record.Asked.Id, "got a part of the events as if it were all");
  const bool Resumable = Record.Asked.Path.starts_with("/stream-on/");
  if (Resumable && !Answer.Body.empty() && !Answer.Body.ends_with("\n\n"))
    breach(Record.Asked.Id, "got a part of an event");
}

void promise_judge::checkLimit() {
  std::ranges::sort(FirstRuns);
  constexpr std::array<int, 4> WindowSeconds{1, 2, 4, 8};
  for (const int Seconds : WindowSeconds) {
    const span_ns Window = std::chrono::seconds(Seconds);
    const double Most =
        (Bounds.Rate * Seconds + Bounds.Burst) * (1 + Bounds.Excess) +
        Bounds.Slack;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < FirstRuns.size(); ++Last) {
      while (FirstRuns[Last] - FirstRuns[First] > Window)
        ++First;
      const double Sum =
          static_cast<double>(Last - First + 1) * Bounds.RequestTokens;
      if (Sum <= Most)
        continue;
      Broken.push_back(
          fmt::format("the team spent {:.0f} tokens in {} s, {:.0f} are "
                      "tolerated",
                      Sum, Seconds, Most));
      break;
    }
  }
}

void promise_judge::finish() {
  if (Bounds.Rate > 0)
    checkLimit();
}

} // namespace ebonyvale

#include "gateway/process/loss_inquiries.h"

#include "gateway/process/gateway_core.h"

#include <string>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Largest number of ended processes that are remembered.
constexpr std::size_t MaxEnded = 64;

} // namespace

class loss_inquiries::inquiry final : public end_waiter {
public:
  inquiry(loss_inquiries &Owner, std::uint64_t Number)
      : Owner(&Owner), Number(Number) {}

  void onEndJudged(end_verdict Verdict, end_proof Proof) override {
    if (!Owner)
      return;
    Owner->Core.log().info(event_category::Request, "loss_judged",
                           {{"number", Number},
                            {"verdict", endVerdictName(Verdict)},
                            {"proof", endProofName(Proof)}});
    Owner->onJudged(Number, Verdict == end_verdict::Broken);
  }

  loss_inquiries *Owner; ///< null once that is destroyed
  std::uint64_t Number;
};

loss_inquiries::loss_inquiries(gateway_core &Core)
    : Core(Core), ExpiryTimer(Core.base(), [this] { expire(); }) {}

loss_inquiries::~loss_inquiries() {
  for (const auto &[Number, Inquiry] : Open)
    Inquiry->Owner = nullptr;
}

std::uint64_t loss_inquiries::add(unexplained_loss Loss) {
  if (Losses.size() == 0)
    ExpiryTimer.startOnce(unexplained_losses::KeepFor);
  Loss.Lost = {upstreamHash(Loss.Process.Id), Loss.Process.Born};
  const std::string Upstream = Loss.Process.Id;
  const auto Request = Loss.Request;
  const std::uint64_t Number = Losses.add(std::move(Loss));
  Core.log().info(
      event_category::Request, "loss_unexplained",
      {{"number", Number},
       {"upstream", Upstream},
       {"fingerprint", Request ? fmt::format("{:016x}", *Request) : ""},
       {"for_peer", !Request}});
  return Number;
}

void loss_inquiries::ask(unexplained_loss Loss) {
  const upstream_process Process = Loss.Process;
  const instant At = Loss.At;
  const std::uint64_t Number = add(std::move(Loss));
  const auto Inquiry = std::make_shared<inquiry>(*this, Number);
  Open.emplace(Number, Inquiry);
  // The process took the request on a connection that had not ended by then.
  Core.endVerifier().verifyEnd(Process, At, Inquiry, At);
}

void loss_inquiries::awaitPeer(unexplained_loss Loss) {
  const instant Now = Loss.At;
  add(std::move(Loss));
  for (const auto &[Process, At] : Ended)
    if (Now - At < unexplained_losses::KeepFor)
      reportAll(Process, Now);
}

void loss_inquiries::onJudged(std::uint64_t Number, bool HasEnded) {
  const auto Inquiry = Open.extract(Number);
  const auto Loss = Losses.take(Number);
  if (!Loss || !HasEnded)
    return;
  if (Loss->Request)
    report(*Loss, readBootClock());
  else
    tellPeers(Loss->Process);
}

void loss_inquiries::tellPeers(const upstream_process &Process) {
  if (peer_messenger *Messenger = Core.messenger())
    Messenger->sendEnded({upstreamHash(Process.Id), Process.Born});
}

void loss_inquiries::onPeerEnded(const lost_process &Process, instant Now) {
  Ended.push_back({Process, Now});
  if (Ended.size() > MaxEnded)
    Ended.pop_front();
  reportAll(Process, Now);
}

void loss_inquiries::reportAll(const lost_process &Process, instant Now) {
  for (const unexplained_loss &Loss : Losses.takeOf(Process))
    report(Loss, Now);
}

void loss_inquiries::report(const unexplained_loss &Loss, instant Now) {
  Core.reportLoss(*Loss.Request, Loss.Process, Loss.Segments, Loss.Stage,
                  /*IsInferred=*/true, Now);
}

void loss_inquiries::expire() {
  Losses.expire(readBootClock());
  std::erase_if(Open, [this](const auto &Entry) {
    return !Losses.contains(Entry.first);
  });
  if (Losses.size() > 0)
    ExpiryTimer.startOnce(unexplained_losses::KeepFor / 4);
}

} // namespace ebonyvale

#include "ctl/admin_client.h"

namespace ebonyvale {
namespace {

/// Waits for one exchange and stops the loop after it.
class waiting_call final : public exchange_observer {
public:
  explicit waiting_call(event_base *Base) : Base(Base) {}

  void onHead(const response_head &Head) override {
    Answer.Status = Head.status();
  }
  void onBody(std::string_view Bytes) override { Answer.Body += Bytes; }
  void onComplete() override {
    Whole = true;
    event_base_loopbreak(Base);
  }
  void onLost(exchange_stage) override { event_base_loopbreak(Base); }

  bool Whole = false;
  admin_answer Answer;

private:
  event_base *Base;
};

} // namespace

admin_client::admin_client(endpoint Server, std::string Token)
    : Server(std::move(Server)), Token(std::move(Token)),
      Base(event_base_new()), Pool(Base.get()) {}

std::optional<admin_answer> admin_client::call(const std::string &Method,
                                               const std::string &Target,
                                               std::string_view Body) {
  outgoing_request Request;
  Request.Server = Server;
  Request.Method = Method;
  Request.Target = Target;
  Request.Headers = {{"Authorization", "Bearer " + Token},
                     {"Content-Type", "application/toml"}};
  Request.Body = {Body};
  waiting_call Call(Base.get());
  upstream_exchange::start(Pool, Request, Call);
  event_base_dispatch(Base.get());
  if (!Call.Whole)
    return std::nullopt;
  return Call.Answer;
}

} // namespace ebonyvale

#include "ctl/admin_client.h"

namespace ebonyvale {
namespace {

/// Collects the response of one exchange and stops the event loop when the
/// exchange ends.
class blocking_call final : public exchange_observer {
public:
  explicit blocking_call(event_base *Base) : Base(Base) {}

  void onHead(const response_head &Head) override {
    Response.Status = Head.status();
    IsFramed = !Head.header("Content-Length").empty() ||
               !Head.header("Transfer-Encoding").empty();
  }
  void onBody(std::string_view Bytes) override { Response.Body += Bytes; }
  void onComplete() override {
    Response.IsWhole = IsFramed;
    event_base_loopbreak(Base);
  }
  void onLost(exchange_stage) override { event_base_loopbreak(Base); }

  admin_response Response; ///< with status 0 before its head

private:
  bool IsFramed = false; ///< the response has a length or chunks
  event_base *Base;
};

} // namespace

admin_client::admin_client(endpoint Server, std::string Token)
    : Server(std::move(Server)), Token(std::move(Token)),
      Base(event_base_new()), Pool(Base.get()) {}

std::optional<admin_response> admin_client::call(const std::string &Method,
                                                 const std::string &Target,
                                                 std::string_view Body) {
  outgoing_request Request;
  Request.Server = Server;
  Request.Method = Method;
  Request.Target = Target;
  Request.Headers = {{"Authorization", "Bearer " + Token},
                     {"Content-Type", "application/toml"}};
  Request.Body = {Body};
  blocking_call Call(Base.get());
  upstream_exchange::start(Pool, Request, Call);
  event_base_dispatch(Base.get());
  if (Call.Response.Status == 0)
    return std::nullopt;
  return Call.Response;
}

} // namespace ebonyvale

/// \file
/// Client of the platform's instance list, which has the JSON format of
/// Prometheus HTTP service discovery: groups of targets with the labels
/// `instance`, `domain`, `region` and `state`.
#ifndef EBONYVALE_DAEMON_PROCESS_INSTANCE_LIST_H
#define EBONYVALE_DAEMON_PROCESS_INSTANCE_LIST_H

#include "common/result.h"
#include "decisions/process/membership.h"
#include "net/timer.h"
#include "net/upstream_exchange.h"

#include <functional>
#include <string>
#include <vector>

namespace ebonyvale {

/// Parses an instance list. Fails with `PeerMessageInvalid` when it is
/// malformed.
result<std::vector<member>> parseInstanceList(std::string_view Json);

/// Polls the instance list and reports it when it has changed. Keeps the
/// previous list when the new one is malformed or cannot be fetched.
class instance_list final : public exchange_observer {
public:
  using list_callback = std::function<void(const std::vector<member> &)>;

  instance_list(evhttp_connection_pool &Pool, endpoint Server,
                list_callback OnList);
  ~instance_list() override;

  /// Fetches the list now and periodically from then on.
  void start();

  void onHead(const response_head &Head) override;
  void onBody(std::string_view Bytes) override;
  void onComplete() override;
  void onLost(exchange_stage Stage) override;

private:
  void poll();

  evhttp_connection_pool &Pool;
  endpoint Server;
  list_callback OnList;
  std::vector<member> LastMembers;
  int Status = 0;
  std::string Body;
  std::shared_ptr<upstream_exchange> Exchange;
  timer PollTimer;
};

} // namespace ebonyvale

#endif

/// \file
/// The platform's list of instances, in the JSON form of Prometheus' HTTP
/// service discovery: groups of targets with the labels `instance`, `domain`,
/// `region` and `state`.
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

/// Reads a list; `PeerMessageInvalid` when it is malformed.
result<std::vector<member>> parseInstanceList(std::string_view Json);

/// Polls the list and reports it whenever it has changed. An unreadable list
/// changes nothing.
class instance_list final : public exchange_observer {
public:
  using list_callback = std::function<void(const std::vector<member> &)>;

  instance_list(evhttp_connection_pool &Pool, endpoint Server,
                list_callback OnList);
  ~instance_list() override;

  /// Reads the list now and then at the interval.
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
  std::vector<member> Last;
  int Status = 0;
  std::string Body;
  std::shared_ptr<upstream_exchange> Exchange;
  timer PollTimer;
};

} // namespace ebonyvale

#endif

/// \file
/// Gateways on one fake store that all serve requests.
#ifndef EBONYVALE_TESTS_GATEWAY_GATEWAY_FLEET_H
#define EBONYVALE_TESTS_GATEWAY_GATEWAY_FLEET_H

#include "gateway/gateway_fixture.h"

#include <memory>
#include <string>
#include <vector>

namespace ebonyvale {

/// Instances that all serve requests.
class gateway_fleet {
public:
  /// The instances are placed in \p Domains failure domains in turn.
  explicit gateway_fleet(std::size_t Instances,
                         upstream_links Links = upstream_links::Direct,
                         std::size_t Domains = 1);

  /// Sends a request for \p Path to the next instance and waits for its
  /// response.
  caller_response request(std::string Path = "/read/1");
  /// As above, to the instance \p Index.
  caller_response requestTo(std::size_t Index, std::string Path);
  /// Directs later requests of callers to the instance \p Index.
  void targetInstance(std::size_t Index);
  /// Sends a request to the next instance and returns its status.
  int send() { return request().Status; }

  std::size_t size() const { return Others.size() + 1; }
  /// Returns the core of an instance; 0 is the first one.
  gateway_core &core(std::size_t Index) {
    return Index == 0 ? Gateway.core() : Others[Index - 1]->core();
  }

  /// Returns the links of an instance to the upstreams, which are proxied.
  proxied_documents &links(std::size_t Index) {
    return Gateway.linksOf(core(Index).settings().InstanceName);
  }

  gateway_fixture Gateway;

private:
  static bool knowsAll(gateway_core &Core, std::size_t Instances);

  std::vector<std::unique_ptr<gateway_task>> Others;
  std::size_t Sent = 0;
};

} // namespace ebonyvale

#endif

/// \file
/// Opens connections to upstreams whose path is lost or in doubt, so that no
/// caller's request has to find out whether they can be reached.
#ifndef EBONYVALE_GATEWAY_CONNECTION_PATH_PROBER_H
#define EBONYVALE_GATEWAY_CONNECTION_PATH_PROBER_H

#include "gateway/process/gateway_core.h"

#include <memory>

namespace ebonyvale {

/// Probes the upstreams that are due by `upstream_paths`.
class path_prober {
public:
  explicit path_prober(gateway_core &Core);

  void start();

private:
  void onTick();

  gateway_core &Core;
  timer TickTimer;
  /// Expires with this object; probes in flight may outlive it.
  std::shared_ptr<const bool> Alive = std::make_shared<const bool>(true);
};

} // namespace ebonyvale

#endif

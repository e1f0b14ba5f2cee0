/// \file
/// The fakes that one process runs.
#ifndef EBONYVALE_FAKES_FAKE_SET_H
#define EBONYVALE_FAKES_FAKE_SET_H

#include "fakes/application_server.h"
#include "fakes/engine_server.h"
#include "fakes/fakes_settings.h"
#include "fakes/instance_list_server.h"
#include "fakes/key_value_server.h"

#include <memory>
#include <optional>
#include <ostream>
#include <vector>

namespace ebonyvale {

/// All fakes that the settings enable, on one event loop.
class fake_set {
public:
  fake_set(event_base *Base, const fakes_settings &Settings);

  /// Binds each fake to a free port; returns the first failure.
  std::optional<failure> listen();

  /// Writes one line "name port" per fake.
  void writePorts(std::ostream &Out) const;

private:
  std::string Address;
  std::vector<std::unique_ptr<engine_server>> Engines;
  std::vector<std::unique_ptr<application_server>> Applications;
  std::unique_ptr<key_value_server> Store;
  std::unique_ptr<instance_list_server> List;
};

} // namespace ebonyvale

#endif

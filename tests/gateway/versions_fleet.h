/// \file
/// Instances before upstreams of several software versions.
#ifndef EBONYVALE_TESTS_GATEWAY_VERSIONS_FLEET_H
#define EBONYVALE_TESTS_GATEWAY_VERSIONS_FLEET_H

#include "gateway/gateway_fixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

/// Returns whether \p Body holds events of one version only.
inline bool isOfOneVersion(const std::string &Body) {
  return Body.find(" of v1\n") == std::string::npos ||
         Body.find(" of v2\n") == std::string::npos;
}

/// Instances before four upstreams, two of each software version.
class versions_fleet {
public:
  explicit versions_fleet(
      std::size_t Instances,
      const gateway_settings &Settings = gateway_fixture::testSettings())
      : Gateway(Settings) {
    for (const char *Id : {"u-3", "u-4"})
      Gateway.Upstreams.push_back(
          std::make_unique<fake_upstream>(Gateway.Base.get(), Id));
    for (std::size_t Index = 0; Index < Gateway.Upstreams.size(); ++Index) {
      fake_upstream &Upstream = *Gateway.Upstreams[Index];
      Upstream.Software = Index % 2 == 0 ? "v1" : "v2";
      Upstream.EventsNameSoftware = true;
      Upstream.EventInterval = std::chrono::milliseconds(10);
      Gateway.Store.put(Upstream.key(), Upstream.entry("s"));
    }
    while (Others.size() + 1 < Instances)
      Others.push_back(
          Gateway.startGatewayInstance(fmt::format("i-{}", Others.size() + 2)));
    cr_assert(Gateway.waitFor([&] {
      return knowsAll(Gateway.core(), Instances) &&
             std::ranges::all_of(Others, [&](const auto &Other) {
               return knowsAll(Other->core(), Instances);
             });
    }));
  }

  /// Marks the upstreams that do not have \p Version as draining; with an empty
  /// one none is.
  void useOnly(std::string_view Version) {
    const auto IsDraining = [&](const fake_upstream &Upstream) {
      return !Version.empty() && Upstream.Software != Version;
    };
    for (const auto &Upstream : Gateway.Upstreams)
      Gateway.Store.put(Upstream->key(),
                        Upstream->entry("s", IsDraining(*Upstream)));
    const auto Knows = [&](gateway_core &Core) {
      return std::ranges::all_of(Gateway.Upstreams, [&](const auto &Upstream) {
        const auto *Entry = Core.directory().find(Upstream->id());
        return Entry && Entry->Draining == IsDraining(*Upstream);
      });
    };
    cr_assert(Gateway.waitFor([&] {
      return Knows(Gateway.core()) &&
             std::ranges::all_of(Others, [&](const auto &Other) {
               return Knows(Other->core());
             });
    }));
  }

  /// Requests a stream at the instance \p Index.
  caller_response request(std::size_t Index, const caller_options &Options) {
    setTarget(Index);
    return Gateway.sendRequest(Options);
  }

  /// Begins a stream at the instance \p Index and leaves after its first
  /// events.
  std::string begin(std::size_t Index, const std::string &Id) {
    setTarget(Index);
    Gateway.startRequest({.Path = "/stream-on/1", .Id = Id});
    cr_assert(Gateway.waitFor([&] {
      return Gateway.result().Body.find("piece 2") != std::string::npos;
    }));
    Gateway.disconnect();
    return Gateway.result().Body;
  }

  /// Requests at \p Index the rest of a stream that began as \p Id and brought
  /// \p Body.
  caller_response resume(std::size_t Index, const std::string &Id,
                         std::string_view Body) {
    constexpr int LinesPerEvent = 3;
    return request(Index,
                   {.Path = "/stream-on/1",
                    .Id = "rest-of-" + Id,
                    .ResumeAfter = fmt::format(
                        "{}", std::ranges::count(Body, '\n') / LinesPerEvent),
                    .Resumes = Id});
  }

  void restart(std::size_t Index) {
    Others[Index - 1].reset();
    Others[Index - 1] =
        Gateway.startGatewayInstance(fmt::format("i-{}", Index + 1));
    cr_assert(Gateway.waitFor([&] {
      return knowsAll(Others[Index - 1]->core(), Others.size() + 1);
    }));
  }

  gateway_fixture Gateway;
  std::vector<std::unique_ptr<gateway_task>> Others;

private:
  void setTarget(std::size_t Index) {
    if (Index == 0)
      Gateway.targetFirst();
    else
      Gateway.setCallerTarget(*Others[Index - 1]);
  }

  static bool knowsAll(gateway_core &Core, std::size_t Instances) {
    return Core.ready(readBootClock()) && Core.directory().all().size() == 4 &&
           Core.roster().peers().size() + 1 == Instances;
  }
};

} // namespace ebonyvale

#endif

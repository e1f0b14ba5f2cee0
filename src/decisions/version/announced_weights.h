/// \file
/// Versions of weights that operators want deployed, and until when engines
/// that lack them may be used.
#ifndef EBONYVALE_DECISIONS_VERSION_ANNOUNCED_WEIGHTS_H
#define EBONYVALE_DECISIONS_VERSION_ANNOUNCED_WEIGHTS_H

#include "common/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Options of `announced_weights`.
struct weights_age_options {
  /// No request is sent to outdated weights later than this after the first
  /// newer version was announced.
  span_ns MaxAge = std::chrono::milliseconds(8000);
  /// Time that a request sent in time may wait at its engine until it begins,
  /// and that one sent in a grace time may.
  span_ns MaxWait = std::chrono::milliseconds(1800);
  span_ns MaxWaitInGrace = std::chrono::milliseconds(200);
  /// Outdated weights are used for this long after the start of a process that
  /// has found a version then, and after it has learned of one in another way.
  /// The platform's bound holds from 3 s after a start or a disturbance on, and
  /// after a disturbance the store is read after a back-off of up to 1.8 s.
  span_ns StartupGrace = std::chrono::milliseconds(2600);
  span_ns LearningGrace = std::chrono::milliseconds(800);
  /// How long the versions of a model are announced to peers after its newest
  /// one: an engine that was unreachable may still lack them.
  span_ns GossipPeriod = std::chrono::seconds(30);
};

/// A version of a model's weights that operators want deployed.
struct weights_announcement {
  std::string Model;
  std::int64_t Version = 0;
  /// Latest time at which an instance is known to have read the store without
  /// the version, or nothing.
  std::optional<instant> NotBefore;
  /// Until then engines that lack it may be used whatever its age.
  instant GraceEnd;
  bool Read = false; ///< this instance has seen it in the store
};

/// The announced versions as one instance knows them. The time of an
/// announcement is never known exactly: an instance that was suspended or cut
/// off may learn of a version long after it. So ages count from the last read
/// of the store that did not show it, of whichever instance read it last.
class announced_weights {
public:
  explicit announced_weights(const weights_age_options &Options)
      : Options(Options) {}

  /// Sets when the process has started.
  void setStart(instant At) { Started = At; }
  void setMaxAge(span_ns Age) { Options.MaxAge = Age; }

  /// Records that the store has \p Version, which it did not have when it was
  /// read at \p NotBefore. Nothing: the store was not read before. A version
  /// that is written again is as old as it was.
  void onRead(std::string_view Model, std::int64_t Version,
              std::optional<instant> NotBefore, instant Now);
  /// Records a version that a peer knows; it was not in the store when it was
  /// read at \p NotBefore, if that is known.
  void onPeer(std::string_view Model, std::int64_t Version,
              std::optional<instant> NotBefore, instant Now);

  /// Returns the versions that peers should know, in ascending order for each
  /// model. Those of unknown age are among them: without them, a peer would
  /// take a later version for the first one that an engine lacks.
  std::vector<weights_announcement> recent(instant Now) const;

  /// Returns the oldest version that is newer than \p Held, or null.
  const weights_announcement *firstNewer(std::string_view Model,
                                         std::int64_t Held) const;
  /// Returns the newest version, or null.
  const weights_announcement *newest(std::string_view Model) const;

  /// Returns the oldest version that engines may still lack, or null.
  const weights_announcement *firstOptional(std::string_view Model,
                                            instant Now) const;
  /// Returns whether an engine of unknown weights may lack too much to be used.
  bool isAnyRequired(std::string_view Model, instant Now) const;

  /// Returns the time from which on engines that lack the version must not be
  /// used.
  instant usableUntil(const weights_announcement &Announcement) const;
  /// Returns the latest time at which a request that was sent in time may begin
  /// on an engine that lacks the version.
  instant startBy(const weights_announcement &Announcement) const;
  /// Returns for how long engines that lack the version count as outdated.
  span_ns age(const weights_announcement &Announcement, instant Now) const {
    return Now - (usableUntil(Announcement) - Options.MaxAge);
  }

private:
  /// Returns the entry of \p Version, new with the grace time \p GraceEnd.
  weights_announcement &entry(std::string_view Model, std::int64_t Version,
                              instant GraceEnd);

  weights_age_options Options;
  std::optional<instant> Started;
  /// By model, in ascending order of versions.
  std::map<std::string, std::vector<weights_announcement>, std::less<>> Known;
};

} // namespace ebonyvale

#endif

// Records which configuration versions the proxies of a simulated fleet could act on, and when.
//
// The simulated fleet reports all its proxies at regular intervals of true time.
#ifndef LEMONCROFT_TESTING_SIMULATION_VERSION_USE_RECORDER_H_
#define LEMONCROFT_TESTING_SIMULATION_VERSION_USE_RECORDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "replicated_config/lease.h"
#include "testing/simulation/links.h"

namespace lemoncroft::simulation {

class VersionUseRecorder {
 public:
  // `interval` is the time between two observations; `stale_limit` is the time for which a version may be
  // used after a later version was first usable.
  VersionUseRecorder(Instant interval, Instant stale_limit)
      : interval_(interval), stale_limit_(stale_limit) {}

  // `usable` contains, for each proxy that could act on a version at `now`, that version.
  void Observe(Instant now, const std::vector<replicated_config::Version>& usable);

  // Returns the longest time for which two proxies could act on different versions.
  Instant longest_contradiction() const { return longest_contradiction_; }
  // Returns the number of observations of a proxy that could act on a version more than `stale_limit` after a
  // later version was first usable.
  std::uint64_t stale_uses() const { return stale_uses_; }

 private:
  Instant interval_, stale_limit_;
  std::map<replicated_config::Version, Instant> first_used_;
  std::optional<Instant> contradiction_since_;
  Instant longest_contradiction_{};
  std::uint64_t stale_uses_ = 0;
};

}  // namespace lemoncroft::simulation

#endif  // LEMONCROFT_TESTING_SIMULATION_VERSION_USE_RECORDER_H_

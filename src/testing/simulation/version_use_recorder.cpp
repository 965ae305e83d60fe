#include "testing/simulation/version_use_recorder.h"

#include <algorithm>
#include <functional>

namespace lemoncroft::simulation {

void VersionUseRecorder::Observe(Instant now, const std::vector<replicated_config::Version>& usable) {
  for (const replicated_config::Version version : usable) {
    first_used_.try_emplace(version, now);
    const auto later = first_used_.upper_bound(version);
    if (later != first_used_.end() && now - later->second > stale_limit_) ++stale_uses_;
  }
  const bool contradiction =
      std::adjacent_find(usable.begin(), usable.end(), std::not_equal_to<>()) != usable.end();
  if (!contradiction) {
    contradiction_since_.reset();
    return;
  }
  if (!contradiction_since_) contradiction_since_ = now;
  longest_contradiction_ = std::max(longest_contradiction_, now - *contradiction_since_ + interval_);
}

}  // namespace lemoncroft::simulation

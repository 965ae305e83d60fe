// Spreads notifications that all members of a fleet have to publish at the same time, such as an
// activated version or an expired lease. Published at once they would be a broadcast from everybody to
// everybody.
//
// Contract: no I/O, no clock, deterministic for a seed. A fleet publishes one notification per
// kMeanNotificationInterval on average, however often its state changes; each member publishes only its
// newest state.
//
// Thread safety: none.
//
// Errors: none.
#ifndef LEMONCROFT_REPLICATED_CONFIG_NOTIFICATION_PACER_H_
#define LEMONCROFT_REPLICATED_CONFIG_NOTIFICATION_PACER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "replicated_config/lease.h"

namespace lemoncroft::replicated_config {

inline constexpr Duration kMeanNotificationInterval = std::chrono::milliseconds(250);  // fleet-wide

class NotificationPacer {
 public:
  explicit NotificationPacer(std::uint64_t seed) : random_(seed) {}

  // Whether to publish now. `changed`: the state differs from the one published last. `members`: of the
  // fleet.
  bool ShouldNotify(Time now, bool changed, std::size_t members) {
    if (!changed) {
      due_at_.reset();
      return false;
    }
    if (!due_at_) due_at_ = now + DrawDelay(members);
    if (now < *due_at_) return false;
    due_at_.reset();
    return true;
  }

 private:
  // Uniform between zero and twice the mean, so that members which change together publish apart.
  Duration DrawDelay(std::size_t members) {
    const double mean =
        std::chrono::duration<double>(kMeanNotificationInterval).count() * static_cast<double>(members);
    const double drawn = 2 * mean * static_cast<double>(random_() >> 11) * 0x1.0p-53;
    return Duration(static_cast<Duration::rep>(drawn * 1e9));
  }

  std::mt19937_64 random_;
  std::optional<Time> due_at_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_NOTIFICATION_PACER_H_

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

inline constexpr Span kMeanNotificationInterval = std::chrono::milliseconds(250);  // fleet-wide

class NotificationPacer {
 public:
  explicit NotificationPacer(std::uint64_t seed) : random_(seed) {}

  // Whether to publish now. `changed`: the state differs from the one published last. `members`: of the
  // fleet.
  bool ShouldNotify(Time now, bool changed, std::size_t members) {
    if (!changed) {
      publish_at_.reset();
      return false;
    }
    if (!publish_at_) publish_at_ = now + DrawDelay(members);
    if (now < *publish_at_) return false;
    publish_at_.reset();
    return true;
  }

 private:
  // Uniform between zero and twice the mean, so that members which change together publish apart.
  Span DrawDelay(std::size_t members) {
    const double mean =
        std::chrono::duration<double>(kMeanNotificationInterval).count() * static_cast<double>(members);
    const double delay = 2 * mean * static_cast<double>(random_() >> 11) * 0x1.0p-53;
    return Span(static_cast<Span::rep>(delay * 1e9));
  }

  std::mt19937_64 random_;
  std::optional<Time> publish_at_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_NOTIFICATION_PACER_H_

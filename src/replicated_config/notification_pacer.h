// Spreads over time the notifications of events that occur at all members of a fleet at once, such as the
// activation of a version or the expiry of leases. Without a delay, every member would notify all others at
// the same time.
//
// A fleet sends at most one notification per kMeanNotificationInterval on average, however often its state
// changes; each member sends only its newest state. The class does no I/O, reads no clock and is
// deterministic for a seed.
//
// Not thread-safe.
#ifndef LEMONCROFT_REPLICATED_CONFIG_NOTIFICATION_PACER_H_
#define LEMONCROFT_REPLICATED_CONFIG_NOTIFICATION_PACER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "replicated_config/lease.h"

namespace lemoncroft::replicated_config {

inline constexpr Duration kMeanNotificationInterval = std::chrono::milliseconds(250);  // of the entire fleet

class NotificationPacer {
 public:
  explicit NotificationPacer(std::uint64_t seed) : random_(seed) {}

  // Returns true if the member must notify the others of its state now. `changed` means that the state
  // differs from that of the last notification; `members` is the number of members of the fleet. Call this
  // function periodically: it keeps the delay that it has drawn between calls, until it returns true or
  // `changed` is false.
  bool ShouldNotify(Time now, bool changed, std::size_t members) {
    if (!changed) {
      notify_at_.reset();
      return false;
    }
    if (!notify_at_) notify_at_ = now + DrawDelay(members);
    if (now < *notify_at_) return false;
    notify_at_.reset();
    return true;
  }

 private:
  // Returns a delay drawn uniformly between zero and twice the mean, so that members whose states change
  // together send their notifications at different times.
  Duration DrawDelay(std::size_t members) {
    const double mean =
        std::chrono::duration<double>(kMeanNotificationInterval).count() * static_cast<double>(members);
    const double delay = 2 * mean * static_cast<double>(random_() >> 11) * 0x1.0p-53;
    return Duration(static_cast<Duration::rep>(delay * 1e9));
  }

  std::mt19937_64 random_;
  std::optional<Time> notify_at_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_NOTIFICATION_PACER_H_

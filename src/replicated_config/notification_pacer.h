// When a proxy tells the fleet something of itself that all others have to tell at the same time: a version
// that came into force, a lease that ran out. Told at once by thousands it would be a news of each to each.
//
// Contract. No I/O, no clock, deterministic for a seed. A fleet of n tells at most one such change in
// kTellApart, in the mean, however often changes come; only the newest is told. Owner: one thread. Units:
// spans of time. Errors: none.
#ifndef LEMONCROFT_REPLICATED_CONFIG_NOTIFICATION_PACER_H_
#define LEMONCROFT_REPLICATED_CONFIG_NOTIFICATION_PACER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "replicated_config/lease.h"

namespace lemoncroft::replicated_config {

inline constexpr Span kMeanNotificationInterval = std::chrono::milliseconds(250);  // of the whole fleet's

class NotificationPacer {
 public:
  explicit NotificationPacer(std::uint64_t seed) : random_(seed) {}

  // `changed`: what was told last isn't so any more. True where it is to be told now.
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
  // Between nothing and twice the mean: those who heard of a change together don't tell of it together.
  Span DrawDelay(std::size_t members) {
    const double mean =
        std::chrono::duration<double>(kMeanNotificationInterval).count() * static_cast<double>(members);
    const double drawn = 2 * mean * static_cast<double>(random_() >> 11) * 0x1.0p-53;
    return Span(static_cast<Span::rep>(drawn * 1e9));
  }

  std::mt19937_64 random_;
  std::optional<Time> due_at_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_NOTIFICATION_PACER_H_

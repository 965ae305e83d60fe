// A hashed timing wheel (Varghese and Lauck 1987) of request ids.
//
// Adding and removing a timer take constant time. Times are rounded down to a slot. A timer beyond the span
// of the wheel fires at the end of the span, and the caller must add it again. Timers can't be cancelled; the
// caller must check whether an id is still due.
#ifndef LEMONCROFT_ADMISSION_QUEUE_TIMER_WHEEL_H_
#define LEMONCROFT_ADMISSION_QUEUE_TIMER_WHEEL_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

class TimerWheel {
 public:
  static constexpr Span kSlot = std::chrono::milliseconds(10);

  TimerWheel() : slots_(kSlots) {}

  // A timer in the past fires at the next PopDue.
  void Add(Time at, RequestId id) {
    const std::int64_t slot = std::clamp(Number(at), next_, next_ + kSlots - 1);
    slots_[static_cast<std::size_t>(slot % kSlots)].push_back(id);
    ++size_;
  }

  // Removes and returns one id that is due by `now`, if any.
  [[nodiscard]] std::optional<RequestId> PopDue(Time now) {
    for (const std::int64_t last = Number(now); next_ <= last; ++next_) {
      if (size_ == 0) {  // skip empty slots
        next_ = last + 1;
        return std::nullopt;
      }
      std::vector<RequestId>& slot = slots_[static_cast<std::size_t>(next_ % kSlots)];
      if (slot.empty()) continue;
      const RequestId id = slot.back();
      slot.pop_back();
      if (slot.empty()) slot = std::vector<RequestId>();  // release the memory of a burst
      --size_;
      return id;
    }
    return std::nullopt;
  }

  std::size_t size() const { return size_; }

 private:
  static constexpr std::int64_t kSlots = 8192;
  static std::int64_t Number(Time at) { return at.time_since_epoch() / kSlot; }

  std::vector<std::vector<RequestId>> slots_;
  std::int64_t next_ = 0;  // number of the next slot to be emptied
  std::size_t size_ = 0;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_TIMER_WHEEL_H_

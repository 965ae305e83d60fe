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
  static constexpr Duration kSlotDuration = std::chrono::milliseconds(10);

  TimerWheel() : slots_(kSlotCount) {}

  // A timer in the past fires at the next PopDue.
  void Add(Time at, RequestId id) {
    const std::int64_t slot = std::clamp(SlotNumber(at), next_slot_, next_slot_ + kSlotCount - 1);
    slots_[static_cast<std::size_t>(slot % kSlotCount)].push_back(id);
    ++size_;
  }

  // Removes and returns one id that is due by `now`, if any.
  [[nodiscard]] std::optional<RequestId> PopDue(Time now) {
    for (const std::int64_t last = SlotNumber(now); next_slot_ <= last; ++next_slot_) {
      if (size_ == 0) {  // skip empty slots
        next_slot_ = last + 1;
        return std::nullopt;
      }
      std::vector<RequestId>& slot = slots_[static_cast<std::size_t>(next_slot_ % kSlotCount)];
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
  static constexpr std::int64_t kSlotCount = 8192;
  static std::int64_t SlotNumber(Time at) { return at.time_since_epoch() / kSlotDuration; }

  std::vector<std::vector<RequestId>> slots_;
  std::int64_t next_slot_ = 0;  // number of the next slot to be emptied
  std::size_t size_ = 0;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_TIMER_WHEEL_H_

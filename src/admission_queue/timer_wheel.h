// Who is to be looked at when: a hashed timing wheel (Varghese and Lauck 1987). Adding and taking cost the
// same however many wait. Times are kept to a slot, and come early by less than one; what lies past the
// wheel's turn comes at its end and is to be added again. Nothing is removed: whoever takes an id must know
// whether it is still due.
#ifndef LEMONCROFT_ADMISSION_QUEUE_TIMER_WHEEL_H_
#define LEMONCROFT_ADMISSION_QUEUE_TIMER_WHEEL_H_

#include <algorithm>
#include <vector>

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

class TimerWheel {
 public:
  static constexpr Span kSlot = std::chrono::milliseconds(10);

  TimerWheel() : slots_(kSlots) {}

  void Add(Time at, RequestId id) {
    const std::int64_t slot = std::clamp(Number(at), next_, next_ + kSlots - 1);
    slots_[static_cast<std::size_t>(slot % kSlots)].push_back(id);
    ++size_;
  }

  // Takes one that is due by `now`; false where there is none.
  bool PopDue(Time now, RequestId& id) {
    for (const std::int64_t last = Number(now); next_ <= last; ++next_) {
      if (size_ == 0) {  // nothing between: no need to step through it
        next_ = last + 1;
        return false;
      }
      std::vector<RequestId>& slot = slots_[static_cast<std::size_t>(next_ % kSlots)];
      if (slot.empty()) continue;
      id = slot.back();
      slot.pop_back();
      if (slot.empty()) slot = std::vector<RequestId>();  // a rush must not leave its memory behind
      --size_;
      return true;
    }
    return false;
  }

  std::size_t size() const { return size_; }

 private:
  static constexpr std::int64_t kSlots = 8192;
  static std::int64_t Number(Time at) { return at.time_since_epoch() / kSlot; }

  std::vector<std::vector<RequestId>> slots_;
  std::int64_t next_ = 0;  // the slot that is taken from next
  std::size_t size_ = 0;
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_TIMER_WHEEL_H_

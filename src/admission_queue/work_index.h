// A FIFO queue of waiting requests that reports the work ahead of any place in it.
//
// Fenwick's binary indexed tree (Fenwick 1994) over a ring of places: Push, Remove at any place and
// WorkBefore cost O(log n). Places are numbered upwards without reuse and stay valid until their request
// leaves. The ring doubles and halves with the number waiting.
#ifndef LEMONCROFT_ADMISSION_QUEUE_WORK_INDEX_H_
#define LEMONCROFT_ADMISSION_QUEUE_WORK_INDEX_H_

#include <cstdint>
#include <vector>

#include "admission_queue/types.h"

namespace lemoncroft::admission_queue {

class WorkIndex {
 public:
  using Place = std::uint64_t;
  struct Slot {
    Time submitted_at{};
    RequestId id = 0;
    Work work{};
    bool occupied = false;
  };

  // `submitted_at` must not be earlier than that of the last request pushed.
  Place Push(RequestId id, Time submitted_at, Work work);
  void Remove(Place place);  // must be occupied

  bool empty() const { return count_ == 0; }
  std::size_t size() const { return count_; }
  Work total() const { return total_; }
  const Slot& front() const { return At(begin_); }  // not empty
  Place begin() const { return begin_; }            // place of the front
  Place end() const { return end_; }                // one past the last place
  const Slot& At(Place place) const { return slots_[place & (slots_.size() - 1)]; }

  Work WorkBefore(Place place) const;         // of the requests ahead of `place`
  Work WorkSubmittedBefore(Time time) const;  // of those submitted no later than `time`
  std::size_t memory_bytes() const { return slots_.capacity() * (sizeof(Slot) + sizeof(std::int64_t)); }

 private:
  void Resize(std::size_t places);
  void Add(std::size_t index, std::int64_t change);
  std::int64_t Sum(std::size_t index) const;  // over indexes below `index`

  std::vector<Slot> slots_;         // a power of two
  std::vector<std::int64_t> tree_;  // Fenwick tree over the same indexes
  Place begin_ = 0, end_ = 0;
  std::size_t count_ = 0;
  Work total_{};
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_WORK_INDEX_H_

// A FIFO queue of waiting requests that reports the work ahead of any place in it.
//
// Implemented as a binary indexed tree (Fenwick 1994) over a ring of places: Push, Remove at any place and
// WorkBefore take O(log n) time. Place numbers increase and are never reused; a place is valid until its
// request is removed. The ring doubles and halves with the number of places in use.
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
  void Remove(Place place);  // `place` must be occupied

  bool empty() const { return count_ == 0; }
  std::size_t size() const { return count_; }
  Work total() const { return total_; }
  const Slot& front() const { return At(begin_); }  // must not be called on an empty queue
  Place begin() const { return begin_; }            // place of the front
  Place end() const { return end_; }                // one past the last place
  const Slot& At(Place place) const { return slots_[place & (slots_.size() - 1)]; }

  // Returns the work of the requests ahead of `place`.
  Work WorkBefore(Place place) const;
  // Returns the work of the requests submitted no later than `time`.
  Work WorkSubmittedBy(Time time) const;
  std::size_t memory_bytes() const { return slots_.capacity() * (sizeof(Slot) + sizeof(std::int64_t)); }

 private:
  void Resize(std::size_t places);
  void Add(std::size_t index, std::int64_t change);
  std::int64_t PrefixSum(std::size_t index) const;  // over all indexes below `index`

  std::vector<Slot> slots_;         // the size is zero or a power of two
  std::vector<std::int64_t> tree_;  // binary indexed tree over the same indexes
  Place begin_ = 0, end_ = 0;
  std::size_t count_ = 0;
  Work total_{};
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_WORK_INDEX_H_

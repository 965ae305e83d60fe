// A first-in, first-out line of waiting requests that tells the work ahead of any place in it.
//
// Fenwick's binary indexed tree (Fenwick 1994) over a ring of places: joining, leaving from anywhere and
// asking for the work before a place cost O(log n). Places are numbered upwards for ever; a number stays
// valid until its request leaves. Memory follows the number waiting: the ring doubles and halves.
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

  // `taken` must not be earlier than that of the request before it.
  Place Push(RequestId id, Time submitted_at, Work work);
  void Remove(Place place);  // which must be taken by a request

  bool empty() const { return count_ == 0; }
  std::size_t size() const { return count_; }
  Work total() const { return total_; }
  const Slot& front() const { return At(begin_); }  // not empty
  Place begin() const { return begin_; }            // the front's place
  Place end() const { return end_; }                // one past the last place given
  const Slot& At(Place place) const { return slots_[place & (slots_.size() - 1)]; }

  Work WorkBefore(Place place) const;         // of those ahead of a place
  Work WorkSubmittedBefore(Time time) const;  // of those taken no later than `time`
  std::size_t memory_bytes() const { return slots_.capacity() * (sizeof(Slot) + sizeof(std::int64_t)); }

 private:
  void Resize(std::size_t places);
  void Add(std::size_t index, std::int64_t change);
  std::int64_t Sum(std::size_t index) const;  // of indexes below

  std::vector<Slot> slots_;         // a power of two
  std::vector<std::int64_t> tree_;  // Fenwick's, over the same indexes
  Place begin_ = 0, end_ = 0;
  std::size_t count_ = 0;
  Work total_{};
};

}  // namespace lemoncroft::admission_queue

#endif  // LEMONCROFT_ADMISSION_QUEUE_WORK_INDEX_H_

#include "admission_queue/work_index.h"

#include <algorithm>
#include <cassert>

namespace lemoncroft::admission_queue {

namespace {
constexpr std::size_t kMinPlaces = 16;
}

WorkIndex::Place WorkIndex::Push(RequestId id, Time submitted_at, Work work) {
  if (end_ - begin_ == slots_.size()) Resize(std::max(kMinPlaces, slots_.size() * 2));
  const Place place = end_++;
  Slot& slot = slots_[place & (slots_.size() - 1)];
  slot = {submitted_at, id, work, true};
  Add(place & (slots_.size() - 1), work.count());
  ++count_;
  total_ += work;
  return place;
}

void WorkIndex::Remove(Place place) {
  Slot& slot = slots_[place & (slots_.size() - 1)];
  assert(place >= begin_ && place < end_ && slot.occupied);
  Add(place & (slots_.size() - 1), -slot.work.count());
  total_ -= slot.work;
  slot.work = Work::zero();  // WorkSubmittedBy still needs submitted_at
  slot.occupied = false;
  --count_;
  while (begin_ < end_ && !At(begin_).occupied) ++begin_;
  if (slots_.size() > kMinPlaces && (end_ - begin_) * 8 < slots_.size()) Resize(slots_.size() / 2);
}

Work WorkIndex::WorkBefore(Place place) const {
  if (count_ == 0 || place <= begin_) return Work::zero();
  if (place >= end_) return total_;
  const std::size_t mask = slots_.size() - 1;
  const std::size_t from = begin_ & mask, to = place & mask;
  const std::int64_t sum = PrefixSum(to) - PrefixSum(from);
  return from <= to ? Work(sum) : Work(sum) + total_;
}

Work WorkIndex::WorkSubmittedBy(Time time) const {
  if (count_ == 0 || time >= At(end_ - 1).submitted_at) return total_;
  Place low = begin_, high = end_;
  while (low < high) {
    const Place middle = low + (high - low) / 2;
    if (At(middle).submitted_at <= time)
      low = middle + 1;
    else
      high = middle;
  }
  return WorkBefore(low);
}

void WorkIndex::Resize(std::size_t places) {
  std::vector<Slot> slots(places);
  for (Place place = begin_; place < end_; ++place) slots[place & (places - 1)] = At(place);
  slots_.swap(slots);
  tree_.assign(places, 0);
  // Builds the tree in one pass, in which each index adds its sum to its parent.
  for (std::size_t i = 0; i < places; ++i) {
    tree_[i] += slots_[i].work.count();
    const std::size_t parent = i | (i + 1);
    if (parent < places) tree_[parent] += tree_[i];
  }
}

void WorkIndex::Add(std::size_t index, std::int64_t change) {
  for (; index < tree_.size(); index |= index + 1) tree_[index] += change;
}

std::int64_t WorkIndex::PrefixSum(std::size_t index) const {
  std::int64_t sum = 0;
  for (; index > 0; index &= index - 1) sum += tree_[index - 1];
  return sum;
}

}  // namespace lemoncroft::admission_queue

#include "hot_restart/ordering_key_turns.h"

#include <algorithm>
#include <utility>

namespace lemoncroft::hot_restart {

using runtime::Duration;
using runtime::Time;

OrderingKeyTurns::OrderingKeyTurns(std::unique_ptr<OrderingKeyFile> file, Settings settings, Time now)
    : file_(std::move(file)), settings_(settings) {
  AdoptOwnSlot(now);
  ObserveOwners(now);
}

void OrderingKeyTurns::AdoptOwnSlot(Time now) {
  for (std::size_t bucket = 0; bucket < OrderingKeyFile::kBuckets; ++bucket) {
    const BucketWord word = file_->Load(file_->own_slot(), bucket);
    if (word.state == OrderingState::kNone) continue;
    Entry entry;
    entry.ticket = word.ticket;
    entry.state = OrderingState::kResting;
    entry.paused_until = now + HoldTime(word.state);
    entry.left_behind = true;
    ++paused_keys_;
    buckets_[bucket].push_back(entry);
    Publish(bucket);
  }
}

// While the ticket is drawn, ticket 0 is published: another process that draws a higher one meanwhile would
// find the bucket free otherwise.
void OrderingKeyTurns::Register(RequestId id, std::uint64_t ordering_key) {
  const std::size_t bucket = OrderingKeyFile::BucketOf(ordering_key);
  Entries& entries = buckets_[bucket];
  if (entries.empty()) file_->Store(bucket, {0, OrderingState::kWaiting});
  Entry entry;
  entry.id = id;
  entry.key = ordering_key;
  entry.ticket = file_->DrawTicket();
  entries.push_back(entry);
  bucket_of_[id] = bucket;
  Publish(bucket);
}

OrderingKeyTurns::Entry* OrderingKeyTurns::Find(RequestId id) {
  const auto found = bucket_of_.find(id);
  if (found == bucket_of_.end()) return nullptr;
  Entries& entries = buckets_.at(found->second);
  const auto entry = std::find_if(entries.begin(), entries.end(), [&](const Entry& e) { return e.id == id; });
  return &*entry;
}

void OrderingKeyTurns::Publish(std::size_t bucket) {
  const Entries& entries = buckets_.at(bucket);
  BucketWord word;
  for (const Entry& entry : entries) {
    word.ticket = word.state == OrderingState::kNone ? entry.ticket : std::min(word.ticket, entry.ticket);
    // A sent attempt is held for longer than a pause.
    const bool sent = word.state == OrderingState::kSent || entry.state == OrderingState::kSent;
    word.state = sent ? OrderingState::kSent : std::max(word.state, entry.state);
  }
  file_->Store(bucket, word);
  if (entries.empty()) buckets_.erase(bucket);
}

bool OrderingKeyTurns::PassToModule(RequestId id, Time now) {
  Entry* const entry = Find(id);
  if (entry == nullptr) return true;
  entry->position = passed_count_++;
  if (TakeTurn(*entry, bucket_of_.at(id), now)) return true;
  awaiting_turn_.push_back(id);
  return false;
}

// Requests of the key that the module gets later wait for this one, although they may have arrived earlier.
// It therefore takes over the lowest of their tickets: otherwise it could wait for a request of another
// process that waits for them.
bool OrderingKeyTurns::TakeTurn(Entry& entry, std::size_t bucket, Time now) {
  std::uint64_t ticket = entry.ticket;
  for (const Entry& other : buckets_.at(bucket)) {
    if (other.left_behind) return false;
    if (other.key == entry.key && other.id != 0 && other.position > entry.position)
      ticket = std::min(ticket, other.ticket);
  }
  for (int slot = 0; slot < OrderingKeyFile::kSlots; ++slot)
    if (slot != file_->own_slot() && IsBlockedBySlot(slot, bucket, ticket, now)) return false;
  entry.ticket = ticket;
  return true;
}

bool OrderingKeyTurns::IsBlockedBySlot(int slot, std::size_t bucket, std::uint64_t ticket, Time now) {
  const BucketWord word = file_->Load(slot, bucket);
  if (word.state == OrderingState::kNone || word.ticket > ticket) return false;
  ObserveOwner(slot, now);
  const auto& unowned_since = observed_slots_[static_cast<std::size_t>(slot)].unowned_since;
  return !unowned_since || now < *unowned_since + HoldTime(word.state);
}

Duration OrderingKeyTurns::HoldTime(OrderingState state) const {
  switch (state) {
    case OrderingState::kSent:
      return settings_.abandon_timeout + settings_.pause;
    case OrderingState::kResting:
      return settings_.pause;
    case OrderingState::kNone:
    case OrderingState::kWaiting:
      break;
  }
  return Duration::zero();
}

void OrderingKeyTurns::OnSent(RequestId id) {
  Entry* const entry = Find(id);
  if (entry == nullptr || entry->state == OrderingState::kSent) return;
  entry->state = OrderingState::kSent;
  Publish(bucket_of_.at(id));
}

void OrderingKeyTurns::Finish(RequestId id, Time paused_until, Time now) {
  Entry* const entry = Find(id);
  if (entry == nullptr) return;
  const std::size_t bucket = bucket_of_.at(id);
  bucket_of_.erase(id);
  std::erase(awaiting_turn_, id);
  if (paused_until > now) {
    entry->id = 0;
    entry->state = OrderingState::kResting;
    entry->paused_until = paused_until;
    ++paused_keys_;
  } else {
    std::erase_if(buckets_.at(bucket), [&](const Entry& e) { return e.id == id; });
  }
  Publish(bucket);
}

std::vector<RequestId> OrderingKeyTurns::Update(Time now) {
  ObserveOwners(now);
  EndPauses(now);
  std::vector<RequestId> released;
  std::erase_if(awaiting_turn_, [&](RequestId id) {
    const bool has_turn = TakeTurn(*Find(id), bucket_of_.at(id), now);
    if (has_turn) released.push_back(id);
    return has_turn;
  });
  return released;
}

void OrderingKeyTurns::EndPauses(Time now) {
  if (paused_keys_ == 0) return;
  std::vector<std::size_t> changed;
  for (auto& [bucket, entries] : buckets_) {
    const std::size_t ended = std::erase_if(
        entries, [&](const Entry& entry) { return entry.id == 0 && entry.paused_until <= now; });
    paused_keys_ -= ended;
    if (ended > 0) changed.push_back(bucket);
  }
  for (const std::size_t bucket : changed) Publish(bucket);
}

void OrderingKeyTurns::ObserveOwners(Time now) {
  for (int slot = 0; slot < OrderingKeyFile::kSlots; ++slot) ObserveOwner(slot, now);
}

// The words of a slot without an owner are removed once nothing has to wait for them, so that the next owner
// doesn't take them for new ones.
void OrderingKeyTurns::ObserveOwner(int slot, Time now) {
  ObservedSlot& observed = observed_slots_[static_cast<std::size_t>(slot)];
  const bool owned = file_->IsOwned(slot);
  // An owner may have come and gone since the last call.
  const std::uint64_t owner_count = file_->CountOwners(slot);
  if (owned || observed.owner_count != owner_count)
    observed = {.owner_count = owner_count, .unowned_since = {}, .cleared = false};
  if (owned) return;
  if (!observed.unowned_since) observed.unowned_since = now;
  if (observed.cleared || now < *observed.unowned_since + HoldTime(OrderingState::kSent)) return;
  file_->ClearUnowned(slot);
  observed.cleared = true;
}

}  // namespace lemoncroft::hot_restart

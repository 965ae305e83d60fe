// Decides when a request with an ordering key may run, with regard to the other processes of this proxy:
// during a hot restart, requests of one key may be taken by two of them.
//
// Requests are ordered by tickets, which they draw on arrival. A request has its turn once no other process
// has an unfinished request of the same bucket with a lower ticket. The order among the requests of one
// process is the decision module's; a key that a process has paused counts as unfinished until the pause is
// over. A process that ends without finishing its requests leaves them behind: its keys are free once the
// engines have certainly abandoned the attempts, or the pause is over, counted from when its end was noticed.
//
// The caller passes the time, which never runs backwards, and calls Update regularly. The class is not
// thread-safe.
#ifndef LEMONCROFT_HOT_RESTART_ORDERING_KEY_TURNS_H_
#define LEMONCROFT_HOT_RESTART_ORDERING_KEY_TURNS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "hot_restart/ordering_key_file.h"
#include "lemoncroft/types.h"
#include "runtime/loop.h"

namespace lemoncroft::hot_restart {

class OrderingKeyTurns {
 public:
  struct Settings {
    // An attempt whose process has ended may run for this long.
    runtime::Duration abandon_timeout{};
    // The pause of a key after an attempt of unknown outcome.
    runtime::Duration pause{};
  };

  // Keys that a former owner of this process's slot has left behind count as left behind at `now`.
  OrderingKeyTurns(std::unique_ptr<OrderingKeyFile> file, Settings settings, runtime::Time now);
  void set_pause(runtime::Duration pause) { settings_.pause = pause; }

  // A request with an ordering key has arrived. Ids must be unique.
  void Register(RequestId id, std::uint64_t ordering_key);
  // The request has been passed to the decision module. Returns true if it has its turn; otherwise Update
  // returns its id later.
  bool PassToModule(RequestId id, runtime::Time now);
  // An attempt of the request is sent. Unknown ids are ignored, here and in Finish.
  void OnSent(RequestId id);
  // The request and all its attempts have ended. Its key is paused until `paused_until`, if that is later
  // than `now`.
  void Finish(RequestId id, runtime::Time paused_until, runtime::Time now);

  // Observes the other processes and ends pauses. Returns the requests that have got their turn, in the order
  // in which they were passed to the module.
  std::vector<RequestId> Update(runtime::Time now);
  // Returns true while a request awaits its turn or a key is paused, so that Update should be called often.
  bool busy() const { return !awaiting_turn_.empty() || paused_keys_ > 0; }

 private:
  struct Entry {
    RequestId id = 0;  // 0: the request has finished, and the key is paused
    std::uint64_t key = 0;
    std::uint64_t ticket = 0;
    std::uint64_t position = kNotPassed;  // in the order in which requests were passed to the module
    OrderingState state = OrderingState::kWaiting;
    runtime::Time paused_until = runtime::kNever;
    bool left_behind = false;  // by a former owner of the slot
  };
  // What this process knows of a slot.
  struct ObservedSlot {
    std::uint64_t owner_count = 0;
    std::optional<runtime::Time> unowned_since;  // when it was noticed that the last owner has ended
    bool cleared = false;                        // the words of the last owner are removed
  };
  static constexpr std::uint64_t kNotPassed = UINT64_MAX;
  using Entries = std::vector<Entry>;

  void AdoptOwnSlot(runtime::Time now);
  Entry* Find(RequestId id);
  // Writes the word of the bucket, and forgets the bucket if it has no entries.
  void Publish(std::size_t bucket);
  bool TakeTurn(Entry& entry, std::size_t bucket, runtime::Time now);
  bool IsBlockedBySlot(int slot, std::size_t bucket, std::uint64_t ticket, runtime::Time now);
  // Returns how long a process that has ended still holds a bucket.
  runtime::Duration HoldTime(OrderingState state) const;
  void ObserveOwners(runtime::Time now);
  void ObserveOwner(int slot, runtime::Time now);
  void EndPauses(runtime::Time now);

  std::unique_ptr<OrderingKeyFile> file_;
  Settings settings_;
  std::map<std::size_t, Entries> buckets_;
  std::unordered_map<RequestId, std::size_t> bucket_of_;
  std::vector<RequestId> awaiting_turn_;  // in the order of their positions
  std::size_t paused_keys_ = 0;
  std::uint64_t passed_count_ = 0;
  std::array<ObservedSlot, OrderingKeyFile::kSlots> observed_slots_{};
};

}  // namespace lemoncroft::hot_restart

#endif  // LEMONCROFT_HOT_RESTART_ORDERING_KEY_TURNS_H_

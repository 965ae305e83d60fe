// This proxy's view of the fleet's membership: a SWIM failure detector with Lifeguard's local health, gossip
// dissemination, and state sync by digest.
//
// A deterministic state machine without I/O or a clock. The owner passes the time of one monotonic clock to
// every call, calls Tick at NextDeadline(), passes in received messages, and carries out the outputs in
// order. The same settings, seed and calls give the same outputs. A call that comes much later than
// NextDeadline() indicates that this process was paused; the view then discards its pending probes and
// failure claims and postpones suspicions.
//
// Not thread-safe. Messages from the network may have any content: those that are not credible or exceed a
// limit are counted in rejected() and have no other effect. The caller drops frames that it cannot decode.
// docs/gossip.md describes the protocol.
//
// The implementation is split by concern: membership_view.cpp (timers, own record), failure_detector.cpp
// (probes), member_state.cpp (alive, suspect, failed, left), dissemination.cpp (piggybacked updates) and
// state_sync.cpp (anti-entropy).
//
// Source: SWIM (Das, Gupta, Motivala, DSN 2002); Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018).
#ifndef LEMONCROFT_GOSSIP_MEMBERSHIP_VIEW_H_
#define LEMONCROFT_GOSSIP_MEMBERSHIP_VIEW_H_

#include <bitset>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "gossip/broadcast_queue.h"
#include "gossip/member_table.h"
#include "gossip/settings.h"
#include "gossip/types.h"

namespace lemoncroft::gossip {

// The type of an event that concerns a member or this proxy itself.
enum class EventType {
  kJoined,
  kChanged,  // the member announced a new record
  kSuspected,
  kRefuted,
  kFailed,
  kReturned,  // the member had failed or left and is alive again
  kLeft,
  kReaped,        // logged as "freed": the member was removed from the table after it failed or left
  kNameConflict,  // logged as "contested": another instance serves under this proxy's name
  kPaused,        // logged as "held": this process was paused and discarded its probes
  kRefutedOwn,    // logged as "answered": this proxy refuted an update about itself
};
// Returns the name of an event in the log, which is part of the log's format.
const char* NameOf(EventType type);

// Notifies the owner of a change of the view.
struct Event {
  EventType type = EventType::kJoined;
  MemberRecord record;
  InstanceId reported_by = kNoInstance;  // the instance that suspects the member or declared it failed
};
// Tells the owner to send a datagram, which may be lost.
struct Transmit {
  PeerAddress to;
  Datagram datagram;
};
// Tells the owner to open a stream to this address and run a state sync over it.
struct StateSync {
  PeerAddress to;
};
using Output = std::variant<Event, Transmit, StateSync>;

// The number of serving names, and the rank of this proxy's name among them in alphabetical order.
struct ServingRank {
  int serving_count = 0;
  int rank = -1;  // 0-based; -1: this proxy does not serve
  bool operator==(const ServingRank&) const = default;
};

class MembershipView {
 public:
  MembershipView(Settings settings, const MemberRecord& self, std::uint64_t seed, Time now);

  // Runs the timers that are due.
  void Tick(Time now);
  // Returns the time at which Tick is due next.
  Time NextDeadline() const;
  void Receive(Time now, const Datagram& datagram);
  // Removes and returns the outputs of all calls since the previous TakeOutputs().
  std::vector<Output> TakeOutputs();

  // State sync. The initiator sends StartSync(); the responder passes it to HandleSyncRequest() and sends the
  // result back; the initiator passes that to HandleSyncResponse() and sends the result, which the responder
  // passes to FinishSync().
  SyncRequest StartSync(Time now);
  SyncEntries HandleSyncRequest(Time now, const SyncRequest& request);
  SyncEntries HandleSyncResponse(Time now, const SyncEntries& entries);
  void FinishSync(Time now, const SyncEntries& entries);

  // Changes to this proxy's own record.
  void SetPhase(Time now, Phase phase);
  // Returns false if the record would exceed its limits or this proxy has left.
  bool SetAttribute(Time now, const std::string& key, const std::string& value);
  // Announces that this process leaves the fleet intentionally. Later changes of the record are not sent.
  void Leave(Time now);

  const MemberTable& members() const { return members_; }
  ServingRank serving_rank() const;
  // Names under which several instances have served for at least kNameConflictPeriods.
  std::vector<std::string> name_conflicts() const;
  // Lifeguard's measure of this proxy's own health: 0 is healthy, a higher value is worse. The interval of
  // this proxy's probes and both of their timeouts, for the Ack and for the complete probe, are multiplied by
  // 1 + local_health_score(); no other timeout is.
  int local_health_score() const { return local_health_score_; }
  // The number of messages and updates that were well formed but not credible, or exceeded a limit.
  std::uint64_t rejected() const { return rejected_; }
  std::size_t queued_updates() const { return broadcasts_.size(); }
  // The number of live members whose last digest differed from that of this view.
  std::size_t diverged_count() const { return diverged_.size(); }
  bool HasDiverged(InstanceId id) const { return diverged_.contains(id); }

 private:
  // A failure that another member reported and that this proxy has not verified yet.
  struct FailureClaim {
    std::uint64_t incarnation = 0;
    InstanceId reported_by = kNoInstance;
  };
  // A pending probe of this proxy.
  struct Probe {
    InstanceId target = kNoInstance;
    PeerAddress address;
    std::uint64_t incarnation = 0;
    Time indirect_at{};  // kNever: indirect probes are no longer due
    Time deadline{};
    std::size_t indirect_probes = 0, nacks = 0;
    bool verifies_claim = false;  // started because of a FailureClaim
  };
  // A pending probe on behalf of another member (PingRequest).
  struct RelayedProbe {
    PeerAddress requester;
    std::uint32_t sequence = 0;
    InstanceId target = kNoInstance;
    Time nack_at{}, deadline{};
  };

  class CallScope;

  // ---- Timers (membership_view.cpp) ----

  Duration Periods(double count) const;
  void DetectPause(Time now);
  void ExpireMembers(Time now);
  void RunPeriodicTasks(Time now);
  void PingFailedMember();
  void PingSeed();
  void DetectNameConflicts();
  void UpdateOwnRecord(const MemberRecord& changed);

  // ---- Failure detector (failure_detector.cpp) ----

  void StartNextProbes(Time now);
  // Returns the next member of a probe round, among those with direct contact if `confirmed` and among the
  // others if not. Refills and shuffles an empty round.
  std::optional<InstanceId> NextInRound(std::vector<InstanceId>& round, bool confirmed);
  void StartProbe(Time now, const Member& member, std::optional<FailureClaim> claim);
  void CheckProbeTimeouts(Time now);
  void HandleProbeTimeout(Time now, const Probe& probe);
  void VerifyFailureClaims(Time now);
  void AdjustLocalHealthScore(int delta);
  void Handle(Time now, const Datagram& d, const Ping& ping);
  void Handle(Time now, const Datagram& d, const PingRequest& request);
  void Handle(Time now, const Datagram& d, const Ack& ack);
  void Handle(Time now, const Datagram& d, const Nack& nack);
  void Handle(Time now, const Datagram& d, const WrongTarget& wrong_target);
  void Handle(Time now, const Datagram& d, const Gossip& gossip);

  // ---- Member state (member_state.cpp) ----
  //
  // `direct`: the record came from the member itself. `bulk`: the update is part of a large state sync, of
  // which failures and leaves are gossiped further, but alive and suspect entries are not.

  void ApplyUpdate(Time now, const MemberUpdate& update, bool bulk);
  void ApplyAlive(Time now, const MemberRecord& record, bool direct, bool bulk);
  void AddMember(Time now, const MemberRecord& record, bool direct, bool bulk);
  void ApplySuspect(Time now, InstanceId id, std::uint64_t incarnation, InstanceId reported_by, bool bulk);
  void ApplyFailed(Time now, InstanceId id, std::uint64_t incarnation, InstanceId reported_by);
  void ApplyLeft(Time now, InstanceId id, std::uint64_t incarnation);
  void Refute(Time now, std::uint64_t incarnation);
  // Suspects a member on strong evidence, with the minimum timeout.
  void SuspectWithMinTimeout(Time now, InstanceId id);
  // Lifeguard's dynamic timeout, which shrinks with independent confirmations.
  Duration SuspicionTimeout(const Member& member) const;
  void UpdateSuspicionDeadline(Time now, InstanceId id);
  bool ExceedsIncarnationJump(std::uint64_t incarnation, std::uint64_t known) const;

  // ---- Dissemination (dissemination.cpp) ----

  void SendGossip();
  // Returns the update with a member's status if this view knows the member and it is not alive. The update
  // is sent to the member so that it can refute it.
  std::optional<MemberUpdate> StatusUpdateOf(InstanceId id) const;
  // Sends a datagram with `leading_updates`, the status of `to_id` if it is not alive, and queued updates.
  void SendDatagram(const PeerAddress& to, InstanceId to_id, const DatagramBody& body,
                    std::vector<MemberUpdate> leading_updates = {});
  // Picks at most `count` distinct live members other than `except`.
  std::vector<InstanceId> PickMembers(std::size_t count, InstanceId except);
  void EmitEvent(EventType type, const MemberRecord& record, InstanceId reported_by = kNoInstance);

  // ---- State sync (state_sync.cpp) ----

  // Selects as many differing buckets as one message can carry. Each of them is sent completely, so that it
  // is equal afterwards and the next sync continues with the others.
  std::bitset<kDigestBuckets> SelectBuckets(const BucketSums& peer_sums) const;
  std::vector<MemberUpdate> DifferingEntries(const BucketSums& peer_sums) const;
  void ApplyEntries(Time now, const SyncEntries& entries);
  void CompareDigest(Time now, const Datagram& d);
  void ExpireDigestMismatches(Time now);
  void StartDueSync(Time now);
  void RequestSync(const PeerAddress& with) { sync_target_ = with; }

  std::size_t RandomBelow(std::size_t bound) { return static_cast<std::size_t>(random_() % bound); }

  Settings settings_;
  std::mt19937_64 random_;
  MemberTable members_;
  BroadcastQueue broadcasts_;
  std::vector<Output> outputs_;

  Time next_probe_, next_gossip_, next_periodic_;
  Time expected_call_;  // the latest time at which the next call was expected
  int call_depth_ = 0;  // nested public calls
  std::uint64_t period_count_ = 0;
  int local_health_score_ = 0;
  std::uint64_t rejected_ = 0;
  bool left_ = false;
  std::optional<Time> first_contact_;

  // Members that the current probe rounds have not probed yet.
  std::vector<InstanceId> probe_round_, unconfirmed_round_;
  std::uint32_t last_sequence_;
  std::map<std::uint32_t, Probe> probes_;
  std::map<std::uint32_t, RelayedProbe> relayed_probes_;
  std::map<InstanceId, FailureClaim> failure_claims_;
  std::deque<InstanceId> recent_contacts_;  // senders of the latest datagrams, the last one at the back
  std::size_t next_seed_ = 0;
  std::uint32_t seed_ping_sequence_ = 0;

  PeerAddress sync_target_;
  Time last_sync_;
  int digest_mismatches_ = 0;
  std::map<InstanceId, Time> diverged_;  // by member: when its last differing digest was received
  std::map<std::string, std::uint64_t> conflict_since_;  // by name: period_count_ at its start
  std::uint64_t conflicts_checked_at_ = 0;               // members_.change_count() at the last check
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_MEMBERSHIP_VIEW_H_

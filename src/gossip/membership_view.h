// This proxy's view of the fleet's membership: a SWIM failure detector with Lifeguard's local health, gossip
// dissemination, and state sync by digest.
//
// A deterministic state machine without I/O or a clock. The owner passes the time of one monotonic clock to
// every call, calls Tick at NextDeadline(), passes received messages in, and carries out the outputs in
// order. The same settings, seed and calls give the same outputs. A call that comes much later than
// NextDeadline() means that this process was paused; the view then discards what it could not observe.
//
// Not thread-safe. Messages from the network may contain anything: those that are not credible or exceed a
// limit are counted in rejected() and have no other effect (frames that can't be decoded never get here).
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

// What happened to a member, or to this proxy itself.
enum class EventType {
  kJoined,
  kChanged,  // it announced a new record
  kSuspected,
  kRefuted,
  kFailed,
  kReturned,  // it had failed or left and is alive again
  kLeft,
  kReaped,        // "freed": removed from the table after it failed or left
  kNameConflict,  // "contested": another instance serves under this proxy's name
  kPaused,        // "held": this process was paused and discarded what it could not observe
  kRefutedOwn,    // "answered": this proxy refuted an update about itself
};
// The name of an event in the log; part of the log's format.
const char* NameOf(EventType type);

// A change of the view, for the owner.
struct Event {
  EventType type = EventType::kJoined;
  MemberRecord record;
  InstanceId reported_by = kNoInstance;  // the instance that suspects it or declared it failed
};
// Send this datagram. It may be lost.
struct Transmit {
  PeerAddress to;
  Datagram datagram;
};
// Open a stream to this address and run a state sync over it.
struct StateSync {
  PeerAddress to;
};
using Output = std::variant<Event, Transmit, StateSync>;

// The number of names that serve, and the rank of this proxy's name among them in alphabetical order.
struct ServingRank {
  int serving_count = 0;
  int rank = -1;  // -1: this proxy does not serve
  bool operator==(const ServingRank&) const = default;
};

class MembershipView {
 public:
  MembershipView(Settings settings, const MemberRecord& self, std::uint64_t seed, Time now);

  // Runs the timers that are due.
  void Tick(Time now);
  // When Tick should be called next.
  Time NextDeadline() const;
  void Receive(Time now, const Datagram& datagram);
  // Removes and returns the outputs of the calls since the last one.
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
  // Announces that this process ends on purpose. No later change of the record is sent.
  void Leave(Time now);

  const MemberTable& members() const { return members_; }
  ServingRank serving_rank() const;
  // Names that several instances have served under for kNameConflictPeriods.
  std::vector<std::string> name_conflicts() const;
  // Lifeguard's local health: 0 is healthy; the probe interval and timeouts are multiplied by 1 + it.
  int local_health() const { return local_health_; }
  // Messages and updates that were well formed but not credible, or exceeded a limit.
  std::uint64_t rejected() const { return rejected_; }
  std::size_t queued_updates() const { return broadcasts_.size(); }
  // Live members whose last digest differed from that of this view.
  std::size_t diverged_count() const { return diverged_.size(); }
  bool HasDiverged(InstanceId id) const { return diverged_.contains(id); }

 private:
  // A failure that another member reported and this proxy has yet to verify.
  struct FailureClaim {
    std::uint64_t incarnation = 0;
    InstanceId reported_by = kNoInstance;
  };
  // A pending probe of this proxy.
  struct Probe {
    InstanceId target = kNoInstance;
    PeerAddress address;
    std::uint64_t incarnation = 0;
    Time indirect_at{};  // kNever: indirect probes were sent
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

  Span Periods(double count) const;
  void DetectPause(Time now);
  void ExpireMembers(Time now);
  void RunPeriodicTasks(Time now);
  void PingFailedMember();
  void PingSeed();
  void DetectNameConflicts();
  void UpdateOwnRecord(const MemberRecord& changed);

  // ---- Failure detector (failure_detector.cpp) ----

  void StartNextProbes(Time now);
  // The next member of a probe round, with or without direct contact. An empty round is refilled and
  // shuffled.
  std::optional<InstanceId> NextInRound(std::vector<InstanceId>& round, bool confirmed);
  void StartProbe(Time now, const Member& member, std::optional<FailureClaim> claim);
  void CheckProbeTimeouts(Time now);
  void HandleProbeTimeout(Time now, const Probe& probe);
  void VerifyFailureClaims(Time now);
  void AdjustLocalHealth(int delta);
  void Handle(Time now, const Datagram& d, const Ping& ping);
  void Handle(Time now, const Datagram& d, const PingRequest& request);
  void Handle(Time now, const Datagram& d, const Ack& ack);
  void Handle(Time now, const Datagram& d, const Nack& nack);
  void Handle(Time now, const Datagram& d, const WrongTarget& wrong_target);
  void Handle(Time now, const Datagram& d, const Gossip& gossip);

  // ---- Member state (member_state.cpp) ----
  //
  // `direct`: the record came from the member itself. `bulk`: part of a large state sync, whose entries are
  // not gossiped on.

  void ApplyUpdate(Time now, const MemberUpdate& update, bool bulk);
  void ApplyAlive(Time now, const MemberRecord& record, bool direct, bool bulk);
  void AddMember(Time now, const MemberRecord& record, bool direct, bool bulk);
  void ApplySuspect(Time now, InstanceId id, std::uint64_t incarnation, InstanceId reported_by, bool bulk);
  void ApplyFailed(Time now, InstanceId id, std::uint64_t incarnation, InstanceId reported_by);
  void ApplyLeft(Time now, InstanceId id, std::uint64_t incarnation);
  void Refute(Time now, std::uint64_t incarnation);
  // Suspects a member on strong evidence, with the shortest timeout.
  void SuspectWithMinTimeout(Time now, InstanceId id);
  // Lifeguard's dynamic timeout: shrinks with independent confirmations.
  Span SuspicionTimeout(const Member& member) const;
  void UpdateSuspicionDeadline(Time now, InstanceId id);
  bool ExceedsIncarnationJump(std::uint64_t incarnation, std::uint64_t known) const;

  // ---- Dissemination (dissemination.cpp) ----

  void SendGossip();
  // The update that says why this view does not hold a member alive; sent to the member so that it can
  // refute.
  std::optional<MemberUpdate> StatusUpdateOf(InstanceId id) const;
  void SendDatagram(const PeerAddress& to, InstanceId to_id, const DatagramBody& body,
                    std::vector<MemberUpdate> leading_updates = {});
  // Different live members, at most `count`, without `except`.
  std::vector<InstanceId> PickMembers(std::size_t count, InstanceId except);
  void EmitEvent(EventType type, const MemberRecord& record, InstanceId reported_by = kNoInstance);

  // ---- State sync (state_sync.cpp) ----

  // Of the buckets that differ, as many as one message can carry. Each is sent completely, so that it is
  // equal afterwards and the next sync continues with the others.
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
  Time expected_call_;  // when the next call was expected at the latest
  int call_depth_ = 0;  // nested public calls
  std::uint64_t period_count_ = 0;
  int local_health_ = 0;
  std::uint64_t rejected_ = 0;
  bool left_ = false;
  std::optional<Time> first_contact_;

  // Members that the current rounds of probes have still to reach.
  std::vector<InstanceId> probe_round_, unconfirmed_round_;
  std::uint32_t last_sequence_;
  std::map<std::uint32_t, Probe> probes_;
  std::map<std::uint32_t, RelayedProbe> relayed_probes_;
  std::map<InstanceId, FailureClaim> failure_claims_;
  std::deque<InstanceId> recent_contacts_;  // members whose datagrams came last
  std::size_t next_seed_ = 0;
  std::uint32_t seed_ping_sequence_ = 0;

  PeerAddress sync_target_;
  Time last_sync_;
  int digest_mismatches_ = 0;
  std::map<InstanceId, Time> diverged_;
  std::map<std::string, std::uint64_t> conflict_since_;  // in period_count_
  std::uint64_t conflicts_checked_at_ = 0;               // members_.change_count() of the last check
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_MEMBERSHIP_VIEW_H_

// The view that a proxy keeps of its fleet: a failure detector and dissemination of the SWIM kind, with
// Lifeguard's local health, exchanges by digest, generations of a name, and bounds on all of it.
//
// Contract. No I/O, no clock: every call is passed the time of one monotonic clock; times never run
// backwards. The same settings, seed and calls give the same outputs, which the owner takes and carries out
// in order. Step is due at NextDeadline(), later is allowed and is taken for what it is: this proxy was held.
// docs/peers.md is the design. Owner: one thread at a time. Units: spans of time, periods where a constant
// says so. Errors: what a peer sends can be wrong in any way; it is counted in refused() and changes nothing.
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

enum class EventType {
  kJoined,
  kChanged,  // what it says of itself
  kSuspected,
  kRefuted,
  kFailed,
  kReturned,  // who had failed or left lives
  kLeft,
  kReaped,
  kNameConflict,  // another process serves under this proxy's own name
  kPaused,        // this proxy was held, and dropped what it believed meanwhile
  kRefutedOwn,    // this proxy refuted what was said of it
};
const char* NameOf(EventType type);

struct Event {
  EventType type = EventType::kJoined;
  MemberRecord record;
  InstanceId reported_by = kNoInstance;  // who suspects, or saw it fail
};
struct Transmit {
  Endpoint to;
  Datagram datagram;
};
// Open a stream there and let the two views exchange what differs.
struct StateSync {
  Endpoint to;
};
using Output = std::variant<Event, Transmit, StateSync>;

// How many names serve, and which place in their order this proxy has.
struct ServingRank {
  int serving_count = 0;
  int rank = -1;  // -1: it does not serve
  bool operator==(const ServingRank&) const = default;
};

class MembershipView {
 public:
  MembershipView(Settings settings, const MemberRecord& self, std::uint64_t seed, Time now);

  void Tick(Time now);
  Time NextDeadline() const;
  void Receive(Time now, const Datagram& datagram);
  std::vector<Output> TakeOutputs();  // what has come of the calls since the last one

  // An exchange: the opener sends Open(), the answerer what Answer() returns, the opener what Close() does,
  // which the answerer hands to Finish().
  SyncRequest StartSync(Time now);
  SyncEntries HandleSyncRequest(Time now, const SyncRequest& opening);
  SyncEntries HandleSyncResponse(Time now, const SyncEntries& entries);
  void FinishSync(Time now, const SyncEntries& entries);

  // What this proxy says of itself.
  void SetPhase(Time now, Phase phase);
  bool SetAttribute(Time now, const std::string& key, const std::string& value);  // false: over the bounds
  // It ends on purpose: said at once to some, and to all who ask until the process ends.
  void Leave(Time now);

  const MemberTable& members() const { return members_; }
  ServingRank serving_rank() const;
  // Names that two instances have, neither of which is ending, and not for a moment only.
  std::vector<std::string> name_conflicts() const;
  int local_health() const { return local_health_; }
  std::uint64_t rejected() const { return rejected_; }
  std::size_t queued_updates() const { return broadcasts_.size(); }
  // Who among those alive told last that it holds others alive than this proxy does.
  std::size_t diverged_count() const { return diverged_.size(); }
  bool HasDiverged(InstanceId id) const { return diverged_.contains(id); }

 private:
  struct FailureClaim {
    std::uint64_t incarnation = 0;
    InstanceId reported_by = kNoInstance;
  };
  struct Probe {
    InstanceId target = kNoInstance;
    Endpoint address;
    std::uint64_t incarnation = 0;
    Time indirect_at{};  // kNever: done
    Time deadline{};
    std::size_t indirect_probes = 0, nacks = 0;
    bool verifies_claim = false;  // another holds it for failed
  };
  struct RelayedProbe {
    Endpoint requester;
    std::uint32_t sequence = 0;
    InstanceId target = kNoInstance;
    Time nack_at{}, deadline{};
  };

  class CallScope;

  // Times.
  Span Periods(double count) const;
  void DetectPause(Time now);
  void RunPeriodicTasks(Time now);
  void DetectNameConflicts();
  void SendGossip();

  // Probes.
  void StartNextProbes(Time now);
  // The next of a round, which begins again at its end, of those with or without proof of life.
  std::optional<InstanceId> NextInRound(std::vector<InstanceId>& round, bool confirmed);
  void StartProbe(Time now, const Member& member, std::optional<FailureClaim> claim);
  void CheckProbeTimeouts(Time now);
  void HandleProbeTimeout(Time now, const Probe& probe);
  void VerifyFailureClaims(Time now);
  void AdjustLocalHealth(int delta);  // local health

  // News.
  void ApplyUpdate(Time now, const MemberUpdate& update, bool bulk);
  void ApplyAlive(Time now, const MemberRecord& record, bool direct, bool bulk);
  void AddMember(Time now, const MemberRecord& record, bool direct, bool bulk);
  void ApplySuspect(Time now, InstanceId id, std::uint64_t incarnation, InstanceId reported_by, bool bulk);
  void ApplyFailed(Time now, InstanceId id, std::uint64_t incarnation, InstanceId reported_by);
  void ApplyLeft(Time now, InstanceId id, std::uint64_t incarnation);
  void Refute(Time now, std::uint64_t incarnation);
  void UpdateOwnRecord(const MemberRecord& changed);
  void SuspectWithMinTimeout(Time now, InstanceId id);  // its address has another tenant
  Span SuspicionTimeout(const Member& member) const;
  void UpdateSuspicionDeadline(Time now, InstanceId id);
  bool ExceedsIncarnationJump(std::uint64_t incarnation, std::uint64_t known) const;

  // Bodies.
  void Handle(Time now, const Datagram& d, const Ping& ping);
  void Handle(Time now, const Datagram& d, const PingRequest& request);
  void Handle(Time now, const Datagram& d, const Ack& ack);
  void Handle(Time now, const Datagram& d, const Nack& nack);
  void Handle(Time now, const Datagram& d, const WrongTarget& wrong_target);
  void Handle(Time now, const Datagram& d, const Gossip& gossip);

  // What is held against a member, so that it can answer.
  std::optional<MemberUpdate> NonAliveUpdate(InstanceId id) const;
  void SendDatagram(const Endpoint& to, InstanceId to_id, const DatagramBody& body,
                    std::vector<MemberUpdate> first = {});
  std::bitset<kDigestBuckets> SelectBuckets(const BucketSums& theirs) const;
  std::vector<MemberUpdate> DifferingEntries(const BucketSums& theirs) const;
  void ApplyEntries(Time now, const SyncEntries& entries);
  void CompareDigest(Time now, const Datagram& d);
  void RequestSync(const Endpoint& with) { sync_target_ = with; }
  void EmitEvent(EventType type, const MemberRecord& record, InstanceId reported_by = kNoInstance);

  // Random choices.
  std::size_t RandomBelow(std::size_t bound) { return static_cast<std::size_t>(random_() % bound); }
  std::vector<InstanceId> PickMembers(std::size_t count, InstanceId but);

  Settings settings_;
  std::mt19937_64 random_;
  MemberTable members_;
  BroadcastQueue broadcasts_;
  std::vector<Output> outputs_;

  Time next_probe_, next_gossip_, next_periodic_;
  Time expected_call_;  // of the next call, at the latest
  int call_depth_ = 0;  // of calls within calls
  std::uint64_t period_count_ = 0;
  int local_health_ = 0;
  std::uint64_t rejected_ = 0;
  bool left_ = false;
  std::optional<Time> first_contact_;

  std::vector<InstanceId> probe_round_,
      unconfirmed_round_;  // whom these rounds of probes have still to reach
  std::uint32_t last_sequence_;
  std::map<std::uint32_t, Probe> probes_;
  std::map<std::uint32_t, RelayedProbe> relayed_probes_;
  std::map<InstanceId, FailureClaim> failure_claims_;
  std::deque<InstanceId> recent_contacts_;  // who gave proof of life last
  std::size_t next_seed_ = 0;
  std::uint32_t seed_ping_sequence_ = 0;

  Endpoint sync_target_;
  Time last_sync_;
  int digest_mismatches_ = 0;
  std::map<InstanceId, Time> diverged_;
  std::map<std::string, std::uint64_t> conflict_since_;  // in beats
  std::uint64_t conflicts_checked_at_ = 0;  // the roster's changes when they were last looked for
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_GOSSIP_MEMBERSHIP_VIEW_H_

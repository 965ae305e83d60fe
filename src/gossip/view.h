// The view that a proxy keeps of its fleet: a failure detector and dissemination of the SWIM kind, with
// Lifeguard's local health, exchanges by digest, generations of a name, and bounds on all of it.
//
// Contract. No I/O, no clock: every call is passed the time of one monotonic clock; times never run
// backwards. The same settings, seed and calls give the same outputs, which the owner takes and carries out
// in order. Step is due at due(), later is allowed and is taken for what it is: this proxy was held.
// docs/peers.md is the design. Owner: one thread at a time. Units: spans of time, periods where a constant
// says so. Errors: what a peer sends can be wrong in any way; it is counted in refused() and changes nothing.
// Source: SWIM (Das, Gupta, Motivala, DSN 2002); Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018).
#ifndef LEMONCROFT_PEERS_VIEW_H_
#define LEMONCROFT_PEERS_VIEW_H_

#include <bitset>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "gossip/news_queue.h"
#include "gossip/roster.h"
#include "gossip/settings.h"
#include "gossip/types.h"

namespace lemoncroft::gossip {

enum class Change {
  kJoined,
  kChanged,  // what it says of itself
  kSuspected,
  kRefuted,
  kFailed,
  kReturned,  // who had failed or left lives
  kLeft,
  kFreed,
  kContested,  // another process serves under this proxy's own name
  kHeld,       // this proxy was held, and dropped what it believed meanwhile
  kAnswered,   // this proxy refuted what was said of it
};
const char* NameOf(Change change);

struct Event {
  Change change = Change::kJoined;
  Record record;
  InstanceId by = kNobody;  // who suspects, or saw it fail
};
struct Transmit {
  Endpoint to;
  Datagram datagram;
};
// Open a stream there and let the two views exchange what differs.
struct Exchange {
  Endpoint to;
};
using Output = std::variant<Event, Transmit, Exchange>;

// How many names serve, and which place in their order this proxy has.
struct Standing {
  int serving = 0;
  int place = -1;  // -1: it does not serve
  bool operator==(const Standing&) const = default;
};

class View {
 public:
  View(Settings settings, const Record& self, std::uint64_t seed, Time now);

  void Step(Time now);
  Time due() const;
  void Receive(Time now, const Datagram& datagram);
  std::vector<Output> Take();  // what has come of the calls since the last one

  // An exchange: the opener sends Open(), the answerer what Answer() returns, the opener what Close() does,
  // which the answerer hands to Finish().
  Opening Open(Time now);
  Entries Answer(Time now, const Opening& opening);
  Entries Close(Time now, const Entries& entries);
  void Finish(Time now, const Entries& entries);

  // What this proxy says of itself.
  void SetPhase(Time now, Phase phase);
  bool SetAttribute(Time now, const std::string& key, const std::string& value);  // false: over the bounds
  // It ends on purpose: said at once to some, and to all who ask until the process ends.
  void Leave(Time now);

  const Roster& roster() const { return roster_; }
  Standing standing() const;
  // Names that two instances have, neither of which is ending, and not for a moment only.
  std::vector<std::string> contested() const;
  int health() const { return health_; }
  std::uint64_t refused() const { return refused_; }
  std::size_t queued() const { return news_.size(); }
  // Who among those alive told last that it holds others alive than this proxy does.
  std::size_t differing() const { return differing_.size(); }
  bool Differs(InstanceId id) const { return differing_.contains(id); }

 private:
  struct Claim {
    std::uint64_t incarnation = 0;
    InstanceId from = kNobody;
  };
  struct Probe {
    InstanceId target = kNobody;
    Endpoint address;
    std::uint64_t incarnation = 0;
    Time ask_others{};  // kNever: done
    Time ends{};
    std::size_t helpers = 0, nacks = 0;
    bool claimed = false;  // another holds it for failed
  };
  struct Asked {
    Endpoint requester;
    std::uint32_t number = 0;
    InstanceId target = kNobody;
    Time nack_at{}, ends{};
  };

  class Call;

  // Times.
  Span Periods(double count) const;
  void NoteLateness(Time now);
  void Beat(Time now);
  void NoteContested();
  void Spread();

  // Probes.
  void ProbeNext(Time now);
  // The next of a round, which begins again at its end, of those with or without proof of life.
  std::optional<InstanceId> NextOf(std::vector<InstanceId>& round, bool proven);
  void StartProbe(Time now, const Member& member, std::optional<Claim> claim);
  void AdvanceProbes(Time now);
  void ProbeFailed(Time now, const Probe& probe);
  void LookInto(Time now);
  void Judge(int change);  // local health

  // News.
  void TakeNews(Time now, const News& news, bool bulk);
  void TakeRecord(Time now, const Record& record, bool direct, bool bulk);
  void Welcome(Time now, const Record& record, bool direct, bool bulk);
  void TakeSuspicion(Time now, InstanceId id, std::uint64_t incarnation, InstanceId from, bool bulk);
  void TakeFailure(Time now, InstanceId id, std::uint64_t incarnation, InstanceId from);
  void TakeLeave(Time now, InstanceId id, std::uint64_t incarnation);
  void Refute(Time now, std::uint64_t incarnation);
  void ChangeOwn(const Record& changed);
  void SuspectForCause(Time now, InstanceId id);  // its address has another tenant
  Span SuspicionSpan(const Member& member) const;
  void DueAgain(Time now, InstanceId id);
  bool TooFar(std::uint64_t incarnation, std::uint64_t known) const;

  // Bodies.
  void On(Time now, const Datagram& d, const Ping& ping);
  void On(Time now, const Datagram& d, const PingRequest& request);
  void On(Time now, const Datagram& d, const Ack& ack);
  void On(Time now, const Datagram& d, const Nack& nack);
  void On(Time now, const Datagram& d, const Stranger& stranger);
  void On(Time now, const Datagram& d, const Gossip& gossip);

  // What is held against a member, so that it can answer.
  std::optional<News> Accusation(InstanceId id) const;
  void Post(const Endpoint& to, InstanceId to_id, const Body& body, std::vector<News> first = {});
  std::bitset<kBuckets> BucketsToTell(const Sums& theirs) const;
  std::vector<News> Differing(const Sums& theirs) const;
  void TakeAll(Time now, const Entries& entries);
  void Compare(Time now, const Datagram& d);
  void WantExchange(const Endpoint& with) { exchange_with_ = with; }
  void Tell(Change change, const Record& record, InstanceId by = kNobody);

  // Random choices.
  std::size_t Below(std::size_t bound) { return static_cast<std::size_t>(random_() % bound); }
  std::vector<InstanceId> Pick(std::size_t count, InstanceId but);

  Settings set_;
  std::mt19937_64 random_;
  Roster roster_;
  NewsQueue news_;
  std::vector<Output> outputs_;

  Time next_probe_, next_gossip_, next_beat_;
  Time expected_;  // of the next call, at the latest
  int depth_ = 0;  // of calls within calls
  std::uint64_t beats_ = 0;
  int health_ = 0;
  std::uint64_t refused_ = 0;
  bool left_ = false;
  std::optional<Time> joined_;

  std::vector<InstanceId> round_, hearsay_;  // whom these rounds of probes have still to reach
  std::uint32_t number_;
  std::map<std::uint32_t, Probe> probes_;
  std::map<std::uint32_t, Asked> asked_;
  std::map<InstanceId, Claim> look_;
  std::deque<InstanceId> recent_;  // who gave proof of life last
  std::size_t next_seed_ = 0;
  std::uint32_t seed_number_ = 0;

  Endpoint exchange_with_;
  Time exchanged_;
  int differs_ = 0;
  std::map<InstanceId, Time> differing_;
  std::map<std::string, std::uint64_t> contested_since_;  // in beats
  std::uint64_t contested_at_ = 0;  // the roster's changes when they were last looked for
};

}  // namespace lemoncroft::gossip

#endif  // LEMONCROFT_PEERS_VIEW_H_

// One proxy's part in agreeing on the rules: the lease on the version in force, the texts of versions,
// changes that were proposed here and, at a voter, the log, the book that it comes to and, while it leads,
// the leases that it grants.
//
// Contract. No I/O, no clock, deterministic: every call is passed the time of one monotonic clock; what has
// to be stored, sent or told comes as outputs, in order. MayAct is asked in the turn of the act. What a store
// must hold before anything that rests on it is sent is kept apart (Post::after), as raft::Send has it.
// docs/agreement.md is the design. Owner: one thread at a time. Units: spans of time, versions. Errors: notes
// may be lost, late, doubled and out of order; a store that fails makes the voter step back (CloseStore).
// Source: Raft (Ongaro, Ousterhout 2014); leases (Gray, Cheriton 1989).
#ifndef LEMONCROFT_RULES_KEEPER_H_
#define LEMONCROFT_RULES_KEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "raft/raft.h"
#include "replicated_config/admission.h"
#include "replicated_config/book.h"
#include "replicated_config/lease.h"
#include "replicated_config/notes.h"

namespace lemoncroft::replicated_config {

using Instance = std::uint64_t;  // one process of the fleet

// Taken away by tests, one at a time.
struct KeeperGuards {
  bool settled = true;         // a leader grants once it knows all that was committed before it
  bool ask_carriers = true;    // a change is put to those who would have to carry it
  bool lapse_laggards = true;  // who doesn't prepare what is committed isn't granted for ever
  BookGuards book;
  AdmissionGuards admission;
};

struct KeeperTerms {
  raft::NodeId self;
  std::vector<raft::NodeId> first;  // the voters that the operator's file names
  raft::Options log;
  Terms lease;
  std::uint64_t format = 1;  // the newest documents that this program reads
  KeeperGuards guards;
};

// What the store held when it was opened.
struct Stored {
  std::uint64_t store = 0;
  Founders founders;
  raft::PersistentState durable;
};

// ---- Outputs ----

struct Keep {  // make it durable, then call Durable(number)
  raft::StorageUpdate store;
};
struct KeepFounders {  // likewise, then call FoundersKept
  Founders founders;
};
struct Post {
  std::variant<raft::NodeId, Instance> to;
  Note note;
};
// A text is here: Prepared() or CantCarry() is due.
struct Learnt {
  Version version = 0;
  std::string text;
};
// The version that this proxy is granted leases on is another.
struct InForce {
  Version version = 0;
};
struct Finished {  // a change, a change of voters or a read that was asked for here
  Outcome outcome;
  std::optional<ReadOut> read;
};
struct Say {  // for the log
  bool warn = false;
  std::string text;
};
using KeeperOutput = std::variant<Keep, KeepFounders, Post, Learnt, InForce, Finished, Say>;

class Keeper {
 public:
  struct Checks {
    // What is wrong with a text as a successor of another (null: the first); nothing where it is good.
    std::function<std::string(const Written* from, const std::string& text)> check;
    // Why this proxy can't carry it; nothing where it can.
    std::function<std::string(const std::string& text)> carry;
    std::function<std::uint64_t(const std::string& text)> format;  // that a reader must know
    // For how long who is cut off may go on by it.
    std::function<Span(const std::string& text)> lasts;
  };

  Keeper(KeeperTerms terms, Instance self, Checks checks, std::uint64_t seed, raft::Time now);

  void Step(raft::Time now);
  raft::Time due() const;
  void Receive(raft::Time now, Instance from, const Note& note);
  std::vector<KeeperOutput> Take();

  // A voter's store.
  void OpenStore(raft::Time now, Stored stored);
  void CloseStore();  // it failed: this voter steps back until it is opened again
  void Durable(raft::Time now, std::uint64_t number);
  void FoundersKept(raft::Time now);

  // Asked for here: Finished comes for each, at the latest at `until`.
  void ProposeChange(raft::Time now, const Change& change, raft::Time until);
  void ChangeVoters(raft::Time now, const Voters& voters, raft::Time until);
  void ReadAgreed(raft::Time now, const std::string& id, raft::Time until);
  // Leads on no more, if it does: this process ends.
  void Resign(raft::Time now);

  // Other processes of the fleet, which may have texts.
  void SetPeers(std::vector<Instance> peers) { peers_ = std::move(peers); }

  void Prepared(raft::Time now, Version version);
  void CantCarry(Version version);

  // The version that it may act on at this instant; none where it is cut off.
  std::optional<Version> MayAct(raft::Time now) const;
  const Holder& holder() const { return holder_; }
  // Of a version that was in force or may come; null where it isn't here.
  const std::string* Text(Version version) const;
  const Book* book() const { return raft_ ? &book_ : nullptr; }  // of a voter that votes
  const raft::Raft* raft() const { return raft_.get(); }         // likewise
  const Admission& admission() const { return admission_; }
  bool Leads(raft::Time now) const {
    return raft_ && raft_->HoldsLeaderLease(now) && (raft_->HasCommittedInTerm() || !terms_.guards.settled);
  }
  const raft::NodeId& leader() const { return leader_; }  // as far as known
  // By a leader's books: who holds a lease, and what each has prepared.
  std::map<std::string, Version> Holders(raft::Time now) const;

 private:
  using Time = raft::Time;

  struct Asked {  // of this proxy, by an operator
    NoteBody body;
    Time until{}, again{};
  };
  struct InFlight {  // a leader's: checked, put to the holders, then proposed
    Change change;
    std::set<Instance> asked;
    Time until{};
    bool proposed = false;
    std::set<Instance> tell;
  };
  struct VotersInFlight {
    Voters voters;
    Instance tell = 0;
    std::uint64_t store = 0;  // that it was let in with, and no other
  };

  struct Held {  // until what it rests on is durable
    raft::NodeId to;
    raft::Message message;
    std::uint64_t after = 0;
  };

  void Tell(bool warn, std::string text) { outputs_.push_back(Say{warn, std::move(text)}); }
  void Send(const std::variant<raft::NodeId, Instance>& to, NoteBody body);
  void ToLeader(NoteBody body);
  void Collect(Time now);  // the log's outputs
  void StartVoting(Time now);
  void Lead(Time now);
  void Enforce(Time now);
  void Renewing(Time now);
  void Greeting(Time now);
  void Asking(Time now);
  void AskFor(Time now, const std::string& id, NoteBody body, Time until);
  void Finish(const Outcome& outcome, std::optional<ReadOut> read = std::nullopt);
  void FetchWanted(Time now);
  void PutText(Version version, const std::string& text);
  void Applied(const raft::Entry& entry);
  void CompactLog();
  void Release(Time now);
  void Settle(Time now);  // what follows from a call, before it returns
  void TellOutcome(const std::set<Instance>& to, const Outcome& outcome);
  void DropInFlight();
  std::string CheckAll(Time now, const std::string& text) const;
  void ProposeNow(Time now);

  void On(Time now, Instance from, const Note& note, const Logged& n);
  void On(Time now, Instance from, const Note& note, const Renew& n);
  void On(Time now, Instance from, const Note& note, const Granted& n);
  void On(Time now, Instance from, const Note& note, const Elsewhere& n);
  void On(Time now, Instance from, const Note& note, const Fetch& n);
  void On(Time now, Instance from, const Note& note, const Fetched& n);
  void On(Time now, Instance from, const Note& note, const Propose& n);
  void On(Time now, Instance from, const Note& note, const Told& n);
  void On(Time now, Instance from, const Note& note, const Ask& n);
  void On(Time now, Instance from, const Note& note, const Answer& n);
  void On(Time now, Instance from, const Note& note, const Voters& n);
  void On(Time now, Instance from, const Note& note, const Read& n);
  void On(Time now, Instance from, const Note& note, const ReadOut& n);
  void On(Time now, Instance from, const Note& note, const Hello& n);
  void On(Time now, Instance from, const Note& note, const HelloAnswer& n);
  void On(Time now, Instance from, const Note& note, const Invite& n);

  KeeperTerms terms_;
  Instance self_;
  Checks checks_;
  std::mt19937_64 random_;
  std::vector<KeeperOutput> outputs_;

  // Every proxy's.
  Holder holder_;
  std::map<Version, std::string> texts_;
  std::set<Version> carried_;  // prepared, and their texts are here
  std::set<Version> shown_;    // handed to the owner
  Version told_in_force_ = 0;
  Time granted_at_{}, renewed_at_{};
  bool hinted_ = false;  // whom to ask was told since the last asking
  std::vector<Instance> peers_;
  std::vector<Note> to_self_;
  raft::NodeId leader_;
  std::vector<raft::NodeId> voters_;  // as far as known
  std::size_t next_voter_ = 0;
  Time renew_at_{};
  Version refuses_ = 0;
  std::size_t fetches_ = 0;
  Time fetch_again_{};
  std::map<std::string, Asked> asked_;
  bool apart_ = false;

  // A voter's.
  Admission admission_;
  std::unique_ptr<raft::Raft> raft_;
  raft::PersistentState restored_;
  Book book_;
  Time greet_at_{}, asked_since_{};
  std::vector<Held> held_;
  std::uint64_t durable_ = 0;

  // A leader's.
  Granter granter_;
  raft::Term reign_ = 0;
  Version forcing_ = 0;
  Time newest_since_{};
  Version newest_seen_ = 0;
  std::map<Version, Time> over_;  // since when, as far as this leader knows, another is in force
  std::optional<InFlight> in_flight_;
  std::optional<VotersInFlight> voters_in_flight_;
  Time invite_at_{};
  struct Bearer {
    raft::NodeId name;
    std::uint64_t format = 0;
  };
  std::map<Instance, Bearer> bearers_;

  // Processes of voters: a message of one that another has followed, with another store perhaps, is too late.
  std::map<raft::NodeId, Instance> processes_;
  std::set<Instance> former_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_RULES_KEEPER_H_

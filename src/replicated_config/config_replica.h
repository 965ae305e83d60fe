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
#ifndef LEMONCROFT_REPLICATED_CONFIG_CONFIG_REPLICA_H_
#define LEMONCROFT_REPLICATED_CONFIG_CONFIG_REPLICA_H_

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
#include "replicated_config/config_state_machine.h"
#include "replicated_config/lease.h"
#include "replicated_config/messages.h"
#include "replicated_config/voter_admission.h"

namespace lemoncroft::replicated_config {

using Instance = std::uint64_t;  // one process of the fleet

// Taken away by tests, one at a time.
struct ConfigReplicaSafetyChecks {
  bool wait_for_settled_log = true;  // a leader grants once it knows all that was committed before it
  bool validate_on_holders = true;   // a change is put to those who would have to carry it
  bool expire_laggards = true;       // who doesn't prepare what is committed isn't granted for ever
  StateMachineSafetyChecks state_machine;
  AdmissionSafetyChecks admission;
};

struct ConfigReplicaOptions {
  raft::NodeId self;
  std::vector<raft::NodeId> initial_voters;  // the voters that the operator's file names
  raft::Options log;
  LeaseOptions lease;
  std::uint64_t format = 1;  // the newest documents that this program reads
  ConfigReplicaSafetyChecks safety_checks;
};

// What the store held when it was opened.
struct StoredState {
  std::uint64_t store = 0;
  BootstrapVoters bootstrap_voters;
  raft::PersistentState persistent_state;
};

// ---- Outputs ----

struct Persist {  // make it durable, then call Durable(number)
  raft::StorageUpdate update;
};
struct PersistBootstrapVoters {  // likewise, then call FoundersKept
  BootstrapVoters bootstrap_voters;
};
struct SendMessage {
  std::variant<raft::NodeId, Instance> to;
  Message message;
};
// A text is here: Prepared() or CantCarry() is due.
struct DocumentReceived {
  Version version = 0;
  std::string document;
};
// The version that this proxy is granted leases on is another.
struct VersionActivated {
  Version version = 0;
};
struct RequestCompleted {  // a change, a change of voters or a read that was asked for here
  ChangeOutcome outcome;
  std::optional<ReadResponse> read;
};
struct LogEvent {  // for the log
  bool warn = false;
  std::string text;
};
using ConfigReplicaOutput = std::variant<Persist, PersistBootstrapVoters, SendMessage, DocumentReceived,
                                         VersionActivated, RequestCompleted, LogEvent>;

class ConfigReplica {
 public:
  struct DocumentChecks {
    // What is wrong with a text as a successor of another (null: the first); nothing where it is good.
    std::function<std::string(const VersionRecord* from, const std::string& document)> check_successor;
    // Why this proxy can't carry it; nothing where it can.
    std::function<std::string(const std::string& document)> check_compatible;
    std::function<std::uint64_t(const std::string& document)> required_format;  // that a reader must know
    // For how long who is cut off may go on by it.
    std::function<Span(const std::string& document)> isolation_duration;
  };

  ConfigReplica(ConfigReplicaOptions options, Instance self, DocumentChecks checks, std::uint64_t seed,
                raft::Time now);

  void Step(raft::Time now);
  raft::Time due() const;
  void Receive(raft::Time now, Instance from, const Message& message);
  std::vector<ConfigReplicaOutput> TakeOutputs();

  // A voter's store.
  void OpenStore(raft::Time now, StoredState stored);
  void CloseStore();  // it failed: this voter steps back until it is opened again
  void OnStored(raft::Time now, std::uint64_t number);
  void OnBootstrapVotersStored(raft::Time now);

  // Asked for here: Finished comes for each, at the latest at `until`.
  void ProposeChange(raft::Time now, const ConfigChange& change, raft::Time until);
  void ChangeVoters(raft::Time now, const VoterChange& voters, raft::Time until);
  void ReadCommitted(raft::Time now, const std::string& id, raft::Time until);
  // Leads on no more, if it does: this process ends.
  void Resign(raft::Time now);

  // Other processes of the fleet, which may have texts.
  void SetPeers(std::vector<Instance> peers) { peers_ = std::move(peers); }

  void MarkPrepared(raft::Time now, Version version);
  void MarkIncompatible(Version version);

  // The version that it may act on at this instant; none where it is cut off.
  std::optional<Version> UsableVersion(raft::Time now) const;
  const LeaseHolder& holder() const { return holder_; }
  // Of a version that was in force or may come; null where it isn't here.
  const std::string* FindDocument(Version version) const;
  const ConfigStateMachine* state_machine() const {
    return raft_ ? &state_machine_ : nullptr;
  }                                                       // of a voter that votes
  const raft::Raft* raft() const { return raft_.get(); }  // likewise
  const VoterAdmission& admission() const { return admission_; }
  bool Leads(raft::Time now) const {
    return raft_ && raft_->Leads(now) && (raft_->Settled() || !options_.safety_checks.wait_for_settled_log);
  }
  const raft::NodeId& leader() const { return leader_; }  // as far as known
  // By a leader's books: who holds a lease, and what each has prepared.
  std::map<std::string, Version> HoldersByName(raft::Time now) const;

 private:
  using Time = raft::Time;

  struct PendingRequest {  // of this proxy, by an operator
    MessageBody body;
    Time deadline{}, next_attempt{};
  };
  struct InFlightChange {  // a leader's: checked, put to the holders, then proposed
    ConfigChange change;
    std::set<Instance> awaiting;
    Time deadline{};
    bool proposed = false;
    std::set<Instance> reply_to;
  };
  struct InFlightVoterChange {
    VoterChange change;
    Instance reply_to = 0;
    std::uint64_t store = 0;  // that it was let in with, and no other
  };

  struct DeferredMessage {  // until what it rests on is durable
    raft::NodeId to;
    raft::Message message;
    std::uint64_t after_update = 0;
  };

  void EmitLogEvent(bool warn, std::string text) { outputs_.push_back(LogEvent{warn, std::move(text)}); }
  void Send(const std::variant<raft::NodeId, Instance>& to, MessageBody body);
  void SendToLeader(MessageBody body);
  void DrainRaftOutputs(Time now);  // the log's outputs
  void StartVoting(Time now);
  void RunLeaderDuties(Time now);
  void ActivateLatestVersion(Time now);
  void RenewLease(Time now);
  void RunAdmission(Time now);
  void RetryRequests(Time now);
  void SubmitRequest(Time now, const std::string& id, MessageBody body, Time until);
  void CompleteRequest(const ChangeOutcome& outcome, std::optional<ReadResponse> read = std::nullopt);
  void FetchMissingDocuments(Time now);
  void StoreDocument(Version version, const std::string& document);
  void ApplyCommitted(const raft::Entry& entry);
  void CompactLog();
  void ReleaseStoredMessages(Time now);
  void DispatchPendingOutputs(Time now);  // what follows from a call, before it returns
  void SendOutcome(const std::set<Instance>& to, const ChangeOutcome& outcome);
  void AbandonInFlight();
  std::string CheckAgainstHeldVersions(Time now, const std::string& document) const;
  void ProposeInFlight(Time now);

  void Handle(Time now, Instance from, const Message& message, const RaftMessage& body);
  void Handle(Time now, Instance from, const Message& message, const LeaseRequest& body);
  void Handle(Time now, Instance from, const Message& message, const LeaseResponse& body);
  void Handle(Time now, Instance from, const Message& message, const NotLeader& body);
  void Handle(Time now, Instance from, const Message& message, const DocumentRequest& body);
  void Handle(Time now, Instance from, const Message& message, const DocumentResponse& body);
  void Handle(Time now, Instance from, const Message& message, const ProposeRequest& body);
  void Handle(Time now, Instance from, const Message& message, const ProposalResult& body);
  void Handle(Time now, Instance from, const Message& message, const ValidateRequest& body);
  void Handle(Time now, Instance from, const Message& message, const ValidateResponse& body);
  void Handle(Time now, Instance from, const Message& message, const VoterChange& body);
  void Handle(Time now, Instance from, const Message& message, const ReadRequest& body);
  void Handle(Time now, Instance from, const Message& message, const ReadResponse& body);
  void Handle(Time now, Instance from, const Message& message, const StoreHello& body);
  void Handle(Time now, Instance from, const Message& message, const StoreHelloResponse& body);
  void Handle(Time now, Instance from, const Message& message, const AdmitVoter& body);

  ConfigReplicaOptions options_;
  Instance self_;
  DocumentChecks document_checks_;
  std::mt19937_64 random_;
  std::vector<ConfigReplicaOutput> outputs_;

  // Every proxy's.
  LeaseHolder holder_;
  std::map<Version, std::string> documents_;
  std::set<Version> prepared_versions_;   // prepared, and their texts are here
  std::set<Version> delivered_versions_;  // handed to the owner
  Version announced_version_ = 0;
  Time last_grant_at_{}, last_renewal_at_{};
  bool leader_hint_is_fresh_ = false;  // whom to ask was told since the last asking
  std::vector<Instance> peers_;
  std::vector<Message> messages_to_self_;
  raft::NodeId leader_;
  std::vector<raft::NodeId> voters_;  // as far as known
  std::size_t next_voter_ = 0;
  Time next_renewal_at_{};
  Version incompatible_version_ = 0;
  std::size_t fetch_attempts_ = 0;
  Time next_fetch_at_{};
  std::map<std::string, PendingRequest> pending_requests_;
  bool clock_rates_differ_ = false;

  // A voter's.
  VoterAdmission admission_;
  std::unique_ptr<raft::Raft> raft_;
  raft::PersistentState restored_state_;
  ConfigStateMachine state_machine_;
  Time next_hello_at_{}, admission_started_at_{};
  std::vector<DeferredMessage> deferred_messages_;
  std::uint64_t last_stored_update_ = 0;

  // A leader's.
  LeaseGrantor grantor_;
  raft::Term leading_term_ = 0;
  Version activating_version_ = 0;
  Time latest_version_since_{};
  Version observed_latest_version_ = 0;
  std::map<Version, Time> superseded_at_;  // since when, as far as this leader knows, another is in force
  std::optional<InFlightChange> in_flight_change_;
  std::optional<InFlightVoterChange> in_flight_voter_change_;
  Time next_admit_message_at_{};
  struct HolderInfo {
    raft::NodeId name;
    std::uint64_t format = 0;
  };
  std::map<Instance, HolderInfo> holder_info_;

  // Processes of voters: a message of one that another has followed, with another store perhaps, is too late.
  std::map<raft::NodeId, Instance> current_processes_;
  std::set<Instance> replaced_processes_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_CONFIG_REPLICA_H_

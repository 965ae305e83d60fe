// One proxy's replica of the fleet's configuration: it holds a lease on the active version, fetches the
// documents of versions, and carries out requests made here. A voter also replicates the log and applies
// it to the state machine; the leader among them grants leases, validates changes and activates versions.
//
// Contract: no I/O, no clock, deterministic for a seed. Every call is passed the time of one monotonic
// clock. What has to be persisted, sent or reported is returned by TakeOutputs, in order, and has to be
// carried out in that order. Messages that depend on a write are held back until OnPersisted confirms it.
// UsableVersion must be called in the same turn as the action that it permits.
//
// Thread safety: none; an object belongs to one thread.
//
// Errors: messages may be lost, delayed, duplicated and reordered. After a failed write the owner calls
// OnStoreClosed, which makes this voter step down until OnStoreOpened.
//
// Design: docs/agreement.md.
//
// Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); Gray and
// Cheriton, "Leases" (1989).
#ifndef LEMONCROFT_REPLICATED_CONFIG_CONFIG_REPLICA_H_
#define LEMONCROFT_REPLICATED_CONFIG_CONFIG_REPLICA_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "raft/raft.h"
#include "replicated_config/config_state_machine.h"
#include "replicated_config/document_cache.h"
#include "replicated_config/document_checks.h"
#include "replicated_config/lease.h"
#include "replicated_config/messages.h"
#include "replicated_config/voter_admission.h"
#include "replicated_config/voter_processes.h"

namespace lemoncroft::replicated_config {

// Disabled one at a time by mutation tests, but for wait_for_settled_log, which has none yet.
struct ConfigReplicaSafetyChecks {
  bool wait_for_settled_log = true;  // a leader grants once it has committed in its term
  bool validate_on_holders = true;   // lease holders validate a change before it is proposed
  bool expire_laggards = true;       // a holder that is late to prepare gets no more grants
  StateMachineSafetyChecks state_machine;
  AdmissionSafetyChecks admission;
};

struct ConfigReplicaOptions {
  raft::NodeId self;
  std::vector<raft::NodeId> initial_voters;  // the voters named in the operator's file
  raft::Options raft_options;
  LeaseOptions lease;
  std::uint64_t format = 1;  // the newest document format that this program reads
  ConfigReplicaSafetyChecks safety_checks;
};

// The contents of a voter's store when it was opened.
struct StoredState {
  std::uint64_t store_id = 0;
  BootstrapVoters bootstrap_voters;
  raft::PersistentState persistent_state;
};

// ---- Outputs ----

struct Persist {  // write and sync it, then call OnPersisted(update.sequence)
  raft::StorageUpdate update;
};
struct PersistBootstrapVoters {  // write and sync it, then call OnBootstrapVotersPersisted
  BootstrapVoters bootstrap_voters;
};
// To a process, or to a voter's current process by name. May be lost.
struct SendMessage {
  std::variant<raft::NodeId, Instance> to;
  Message message;
};
// A document has arrived: the owner answers with MarkPrepared or MarkIncompatible.
struct DocumentReceived {
  Version version = 0;
  std::string document;
};
// Leases are now for this version, whose document is prepared here.
struct VersionActivated {
  Version version = 0;
};
// A request made here has ended: ProposeChange, ChangeVoters or ReadCommitted.
struct RequestCompleted {
  ChangeOutcome outcome;
  std::optional<ReadResponse> read;
};
// A line for the program's log.
struct LogEvent {
  bool warn = false;
  std::string text;
};
using ConfigReplicaOutput = std::variant<Persist, PersistBootstrapVoters, SendMessage, DocumentReceived,
                                         VersionActivated, RequestCompleted, LogEvent>;

class ConfigReplica {
 public:
  ConfigReplica(ConfigReplicaOptions options, Instance self, DocumentChecks checks, std::uint64_t seed,
                raft::Time now);

  // Runs the timers that are due.
  void Tick(raft::Time now);
  // When Tick has to be called next.
  raft::Time NextDeadline() const;
  // Handles a message of process `from`.
  void Receive(raft::Time now, Instance from, const Message& message);
  // Returns and clears the outputs of all calls so far.
  std::vector<ConfigReplicaOutput> TakeOutputs();

  // A voter's store. The owner opens it, carries out the writes and reports here: its contents once it is
  // open, and OnStoreClosed when it failed. This voter votes once VoterAdmission admits the store.
  void OnStoreOpened(raft::Time now, StoredState stored);
  void OnStoreClosed();  // this voter steps down until the next OnStoreOpened
  // The update with that sequence number, and all before it, are durable.
  void OnPersisted(raft::Time now, std::uint64_t sequence);
  void OnBootstrapVotersPersisted(raft::Time now);

  // Requests of an operator. Each ends with one RequestCompleted, at `deadline` at the latest.
  void ProposeChange(raft::Time now, const ConfigChange& change, raft::Time deadline);
  void ChangeVoters(raft::Time now, const VoterChange& change, raft::Time deadline);
  void ReadCommitted(raft::Time now, const std::string& id, raft::Time deadline);
  // Gives up leadership, because this process ends.
  void TransferLeadership(raft::Time now);

  // Sets the other live processes of the fleet, from which documents may be fetched.
  void SetPeers(std::vector<Instance> peers) { peers_ = std::move(peers); }

  // Answers to DocumentReceived.
  void MarkPrepared(raft::Time now, Version version);
  void MarkIncompatible(Version version);

  // Returns the version that may be acted on at this instant; nullopt while this proxy is
  // isolated: it holds no valid lease, lacks the version's document, or its clock rate differs too much.
  std::optional<Version> UsableVersion(raft::Time now) const;
  const LeaseHolder& holder() const { return holder_; }
  // Null where the document of that version is not stored here.
  const std::string* FindDocument(Version version) const;
  // Null unless this proxy is a voter that takes part.
  const ConfigStateMachine* state_machine() const { return raft_ ? &state_machine_ : nullptr; }
  const raft::Raft* raft() const { return raft_.get(); }  // likewise
  const VoterAdmission& admission() const { return admission_; }
  // Whether this voter leads and may grant leases at this instant.
  bool Leads(raft::Time now) const {
    return raft_ && raft_->HoldsLeaderLease(now) &&
           (raft_->HasCommittedInTerm() || !options_.safety_checks.wait_for_settled_log);
  }
  const raft::NodeId& leader() const { return leader_; }  // empty: unknown
  // On a leader: the lease holders as "name/instance", with the version that each has prepared.
  std::map<std::string, Version> HoldersByName(raft::Time now) const;

 private:
  using Time = raft::Time;

  struct PendingRequest {  // made here by an operator; repeated until the leader answers
    MessageBody body;
    Time deadline{}, next_attempt{};
  };
  struct InFlightChange {  // on a leader: validated by the holders, then proposed
    ConfigChange change;
    std::set<Instance> pending_validators;  // the holders that have not accepted the change yet
    Time deadline{};                        // of the validation
    bool proposed = false;
    std::set<Instance> reply_to;
  };
  struct ChangeRejection {
    ChangeStatus status = ChangeStatus::kRejected;
    std::string reason;
  };
  struct InFlightVoterChange {
    VoterChange change;
    Instance reply_to = 0;
    std::uint64_t store_id = 0;  // the store that was added; another store of that voter is not admitted
  };

  struct HolderInfo {
    raft::NodeId name;
    std::uint64_t format = 0;  // the newest document format that it reads
  };

  struct DeferredMessage {  // sent once a write is durable
    raft::NodeId to;
    raft::Message message;
    std::uint64_t after_sequence = 0;
  };

  // Common (config_replica.cpp).
  void EmitLogEvent(bool warn, std::string text) { outputs_.push_back(LogEvent{warn, std::move(text)}); }
  void Send(const std::variant<raft::NodeId, Instance>& to, MessageBody body);
  // Sends to the known leader, or to the voters in turn.
  void SendToLeader(MessageBody body);
  // Processes queued outputs until none remain; called at the end of every public call. Bounded by
  // kMaxDispatchRounds.
  void DispatchPendingOutputs(Time now);
  // Reports a new active version, and a change of clock_rates_differ.
  void ReportLeaseChanges();

  // Lease holder (config_replica_holder.cpp).
  void RenewLease(Time now);
  void StoreDocument(Version version, const std::string& document);
  void FetchMissingDocuments(Time now);
  void Handle(Time now, Instance from, const Message& message, const LeaseResponse& body);
  void Handle(Time now, Instance from, const Message& message, const NotLeader& body);
  void Handle(Time now, Instance from, const Message& message, const DocumentRequest& body);
  void Handle(Time now, Instance from, const Message& message, const DocumentResponse& body);
  void Handle(Time now, Instance from, const Message& message, const ValidateRequest& body);

  // Requests of operators (config_replica_requests.cpp).
  void SubmitRequest(Time now, const std::string& id, MessageBody body, Time deadline);
  void RetryRequests(Time now);
  void CompleteRequest(const ChangeOutcome& outcome, std::optional<ReadResponse> read = std::nullopt);
  void Handle(Time now, Instance from, const Message& message, const ProposalResult& body);
  void Handle(Time now, Instance from, const Message& message, const ReadResponse& body);

  // Voter (config_replica_voter.cpp).
  void RunAdmission(Time now);
  void StartVoting(Time now);
  void DrainRaftOutputs(Time now);
  void ApplyCommitted(const raft::Entry& entry);
  void CompactLog();
  void SendDeferredMessages(Time now);
  void Handle(Time now, Instance from, const Message& message, const RaftMessage& body);
  void Handle(Time now, Instance from, const Message& message, const StoreHello& body);
  void Handle(Time now, Instance from, const Message& message, const StoreHelloResponse& body);
  void Handle(Time now, Instance from, const Message& message, const AdmitVoter& body);

  // Leader (config_replica_leader.cpp).
  void RunLeaderDuties(Time now);
  void BeginLeadership(Time now);
  void EndLeadership();
  void ActivateLatestVersion(Time now);
  tl::expected<void, ChangeRejection> CheckProposal(Time now, const ConfigChange& change) const;
  tl::expected<void, DocumentRejection> CheckAgainstUsableVersions(Time now,
                                                                   const std::string& document) const;
  tl::expected<std::set<Instance>, ChangeRejection> FindValidators(Time now,
                                                                   const std::string& document) const;
  void ProposeInFlight(Time now);
  void AdvanceVoterChange(Time now);
  void AbandonInFlight();
  void SendOutcome(const std::set<Instance>& to, const ChangeOutcome& outcome);
  void Handle(Time now, Instance from, const Message& message, const LeaseRequest& body);
  void Handle(Time now, Instance from, const Message& message, const ProposeRequest& body);
  void Handle(Time now, Instance from, const Message& message, const ValidateResponse& body);
  void Handle(Time now, Instance from, const Message& message, const VoterChange& body);
  void Handle(Time now, Instance from, const Message& message, const ReadRequest& body);

  ConfigReplicaOptions options_;
  Instance self_;
  DocumentChecks document_checks_;
  std::mt19937_64 random_;
  std::vector<ConfigReplicaOutput> outputs_;

  // Lease holder.
  LeaseHolder holder_;
  DocumentCache documents_;
  Version announced_version_ = 0;     // of the last VersionActivated
  Version incompatible_version_ = 0;  // the newest that the owner could not apply
  Time last_grant_at_{}, last_renewal_at_{}, next_renewal_at_{};
  bool clock_rates_differ_ = false;    // as last reported
  raft::NodeId leader_;                // empty: unknown
  bool leader_hint_is_fresh_ = false;  // NotLeader named leader_ after the last renewal
  std::vector<raft::NodeId> voters_;   // as of the last grant
  std::size_t next_voter_ = 0;
  std::vector<Instance> peers_;
  std::size_t fetch_attempts_ = 0;
  Time next_fetch_at_{};
  std::map<std::string, PendingRequest> pending_requests_;
  std::vector<Message> messages_to_self_;

  // Voter.
  VoterAdmission admission_;
  std::unique_ptr<raft::Raft> raft_;      // null until the store is admitted
  raft::PersistentState restored_state_;  // of the store, until raft_ takes it
  ConfigStateMachine state_machine_;
  Time next_hello_at_{}, admission_started_at_{};
  std::vector<DeferredMessage> deferred_messages_;
  std::uint64_t persisted_sequence_ = 0;
  VoterProcesses processes_;

  // Leader.
  LeaseGrantor grantor_;
  raft::Term leading_term_ = 0;     // 0: does not lead
  Version activating_version_ = 0;  // proposed to be activated
  Version observed_latest_version_ = 0;
  Time latest_version_since_{};
  std::map<Version, Time> superseded_at_;  // when this leader found that a later version is active
  std::optional<InFlightChange> in_flight_change_;
  std::optional<InFlightVoterChange> in_flight_voter_change_;
  Time next_admit_message_at_{};
  std::map<Instance, HolderInfo> holder_info_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_CONFIG_REPLICA_H_

// One proxy's replica of the fleet's configuration. Every replica holds a lease on the active version,
// fetches the documents of versions, and submits the requests of operators to the leader. A voter also
// replicates the Raft log and applies it to the state machine. The leader among the voters grants leases,
// validates changes and activates versions.
//
// The replica does no I/O and reads no clock, and is deterministic for a seed. The host passes the time of
// one monotonic clock to each call. After each call the host takes the outputs (writes, messages, reports)
// with TakeOutputs and processes them in order. The replica defers messages that depend on a write until
// OnPersisted confirms it. UsableVersion must be called in the same turn of the event loop as the action that
// it permits.
//
// Messages may be lost, delayed, duplicated and reordered. After a failed write the host calls OnStoreClosed,
// which makes this voter step down until OnStoreOpened.
//
// Not thread-safe: an object belongs to one thread.
//
// Design: docs/agreement.md.
//
// References: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); Gray and
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

// The rules that safety depends on. Mutation tests disable one at a time, except for wait_for_commit_in_term,
// which has no mutation test yet.
struct ConfigReplicaSafetyChecks {
  // A leader grants leases only once it has committed an entry of its term.
  bool wait_for_commit_in_term = true;
  bool validate_on_holders = true;  // lease holders validate a change before it is proposed
  // While the latest version is not active yet, a holder that cannot prepare it, or has not prepared it in
  // time, gets no grant until it has.
  bool expire_laggards = true;
  StateMachineSafetyChecks state_machine;
  AdmissionSafetyChecks admission;
};

struct ConfigReplicaOptions {
  raft::NodeId name;                         // of this proxy
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

// Asks the host to make the update durable and then to call OnPersisted(update.sequence).
struct Persist {
  raft::StorageUpdate update;
};
// Asks the host to make the bootstrap voters durable and then to call OnBootstrapVotersPersisted.
struct PersistBootstrapVoters {
  BootstrapVoters bootstrap_voters;
};
// Asks the host to send a message to one process or, by name, to the current process of a voter. The message
// may be lost.
struct SendMessage {
  std::variant<raft::NodeId, InstanceId> to;
  Message message;
};
// The document of a version was received. The host validates it and calls MarkPrepared or MarkIncompatible.
struct DocumentReceived {
  Version version = 0;
  std::string document;
};
// The lease is now for this version, whose document is prepared here.
struct VersionActivated {
  Version version = 0;
};
// A request that was submitted to this replica (ProposeChange, ChangeVoters or ReadCommitted) has completed.
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
  ConfigReplica(ConfigReplicaOptions options, InstanceId self_instance, DocumentChecks checks,
                std::uint64_t seed, raft::Time now);

  // Runs the timers that are due. The host calls it at NextDeadline.
  void Tick(raft::Time now);
  // Returns the time at which Tick must be called next.
  raft::Time NextDeadline() const;
  // Handles a message from the process `from`.
  void Receive(raft::Time now, InstanceId from, const Message& message);
  // Returns the outputs since the last call, in order.
  std::vector<ConfigReplicaOutput> TakeOutputs();

  // Reports the contents of a voter's store, which the host has opened. This voter votes once VoterAdmission
  // admits the store.
  void OnStoreOpened(raft::Time now, StoredState stored);
  // Reports that the store has failed. This voter steps down until the next OnStoreOpened.
  void OnStoreClosed();
  // Reports that all storage updates up to and including `sequence` are durable.
  void OnPersisted(raft::Time now, std::uint64_t sequence);
  void OnBootstrapVotersPersisted(raft::Time now);

  // Requests of operators. Each completes with one RequestCompleted, at `deadline` at the latest.
  void ProposeChange(raft::Time now, const ConfigChange& change, raft::Time deadline);
  void ChangeVoters(raft::Time now, const VoterChange& change, raft::Time deadline);
  void ReadCommitted(raft::Time now, const std::string& id, raft::Time deadline);
  // Transfers leadership to another voter before this process ends. Does nothing if this voter is not the
  // leader.
  void TransferLeadership(raft::Time now);

  // Sets the other live processes of the fleet. The replica may fetch documents from them.
  void SetPeers(std::vector<InstanceId> peers) { peers_ = std::move(peers); }

  // The host's responses to DocumentReceived.
  void MarkPrepared(raft::Time now, Version version);
  void MarkIncompatible(Version version);

  // Returns the version that this proxy may act on at `now`, or nullopt while the proxy is isolated: it holds
  // no valid lease, lacks the version's document, or its clock rate differs too much from the leader's.
  std::optional<Version> UsableVersion(raft::Time now) const;
  const LeaseHolder& holder() const { return holder_; }
  // Returns null if the document of that version is not stored here.
  const std::string* FindDocument(Version version) const;
  // Both are null unless this proxy is a voter whose store is admitted.
  const ConfigStateMachine* state_machine() const { return raft_ ? &state_machine_ : nullptr; }
  const raft::Raft* raft() const { return raft_.get(); }
  const VoterAdmission& admission() const { return admission_; }
  // Returns true if this voter is the leader and may grant leases at `now`.
  bool Leads(raft::Time now) const {
    return raft_ && raft_->HoldsLeaderLease(now) &&
           (raft_->HasCommittedInTerm() || !options_.safety_checks.wait_for_commit_in_term);
  }
  const raft::NodeId& leader() const { return leader_; }  // empty if unknown
  // Leader only: returns the live lease holders as "name/instance", with the version that each has prepared.
  std::map<std::string, Version> HoldersByName(raft::Time now) const;

 private:
  using Time = raft::Time;

  // An operator's request, which is sent again until the leader responds.
  struct PendingRequest {
    MessageBody body;
    Time deadline{}, next_attempt{};
  };
  // Leader only: a change that lease holders validate before it is proposed.
  struct InFlightChange {
    ConfigChange change;
    std::set<InstanceId> pending_validators;  // the holders that have not accepted the change yet
    Time deadline{};                          // of the validation
    bool proposed = false;
    std::set<InstanceId> reply_to;
  };
  struct ChangeRejection {
    ChangeStatus status = ChangeStatus::kRejected;
    std::string reason;
  };
  struct InFlightVoterChange {
    VoterChange change;
    InstanceId reply_to = 0;
    std::uint64_t store_id = 0;  // the added store; no other store of this voter is admitted
  };

  struct HolderInfo {
    raft::NodeId name;
    std::uint64_t format = 0;  // the newest document format that the holder reads
  };

  // A message that is sent once the storage update `after_sequence` is durable.
  struct DeferredMessage {
    raft::NodeId to;
    raft::Message message;
    std::uint64_t after_sequence = 0;
  };

  // Shared by all roles (config_replica.cpp).
  void EmitLogEvent(bool warn, std::string text) { outputs_.push_back(LogEvent{warn, std::move(text)}); }
  void Send(const std::variant<raft::NodeId, InstanceId>& to, MessageBody body);
  // Sends to the leader if it is known, otherwise to the next voter in rotation.
  void SendToLeader(MessageBody body);
  // Processes Raft's outputs, runs the leader's duties and handles this replica's messages to itself until no
  // messages remain, but at most kMaxDispatchRounds times. Then fetches missing documents and reports changes
  // of the lease. Called at the end of each public call that may cause outputs.
  void DispatchPendingOutputs(Time now);
  // Reports a new active version and a change of LeaseHolder::clock_rates_differ.
  void ReportLeaseChanges();

  // Lease holder (config_replica_holder.cpp).
  void RenewLease(Time now);
  void StoreDocument(Version version, const std::string& document);
  void FetchMissingDocuments(Time now);
  void Handle(Time now, InstanceId from, const Message& message, const LeaseResponse& body);
  void Handle(Time now, InstanceId from, const Message& message, const NotLeader& body);
  void Handle(Time now, InstanceId from, const Message& message, const DocumentRequest& body);
  void Handle(Time now, InstanceId from, const Message& message, const DocumentResponse& body);
  void Handle(Time now, InstanceId from, const Message& message, const ValidateRequest& body);

  // Requests of operators (config_replica_requests.cpp).
  void SubmitRequest(Time now, const std::string& id, MessageBody body, Time deadline);
  void RetryRequests(Time now);
  void CompleteRequest(const ChangeOutcome& outcome, std::optional<ReadResponse> read = std::nullopt);
  void Handle(Time now, InstanceId from, const Message& message, const ChangeResult& body);
  void Handle(Time now, InstanceId from, const Message& message, const ReadResponse& body);

  // Voter (config_replica_voter.cpp).
  void RunAdmission(Time now);
  void StartVoting(Time now);
  void DrainRaftOutputs(Time now);
  void ApplyCommitted(const raft::Entry& entry);
  void CompactLog();
  void SendDeferredMessages(Time now);
  void Handle(Time now, InstanceId from, const Message& message, const RaftMessage& body);
  void Handle(Time now, InstanceId from, const Message& message, const StoreHello& body);
  void Handle(Time now, InstanceId from, const Message& message, const StoreHelloResponse& body);
  void Handle(Time now, InstanceId from, const Message& message, const AdmitVoter& body);

  // Leader (config_replica_leader.cpp).
  void RunLeaderDuties(Time now);
  void BeginLeadership(Time now);
  void EndLeadership();
  void ProposeActivation(Time now);
  tl::expected<void, ChangeRejection> CheckProposal(Time now, const ConfigChange& change) const;
  tl::expected<void, DocumentRejection> CheckAgainstUsableVersions(Time now,
                                                                   const std::string& document) const;
  tl::expected<std::set<InstanceId>, ChangeRejection> FindValidators(Time now,
                                                                     const std::string& document) const;
  void ProposeInFlight(Time now);
  void AdvanceVoterChange(Time now);
  void AbandonInFlight();
  void SendOutcome(const std::set<InstanceId>& to, const ChangeOutcome& outcome);
  void Handle(Time now, InstanceId from, const Message& message, const LeaseRequest& body);
  void Handle(Time now, InstanceId from, const Message& message, const ProposeRequest& body);
  void Handle(Time now, InstanceId from, const Message& message, const ValidateResponse& body);
  void Handle(Time now, InstanceId from, const Message& message, const VoterChange& body);
  void Handle(Time now, InstanceId from, const Message& message, const ReadRequest& body);

  ConfigReplicaOptions options_;
  InstanceId self_instance_;
  DocumentChecks document_checks_;
  std::mt19937_64 random_;
  std::vector<ConfigReplicaOutput> outputs_;

  // Lease holder.
  LeaseHolder holder_;
  DocumentCache documents_;
  Version announced_version_ = 0;     // the version of the last VersionActivated
  Version incompatible_version_ = 0;  // the newest version that the host could not apply
  Time last_grant_at_{}, last_renewal_at_{}, next_renewal_at_{};
  bool clock_rates_differ_ = false;    // as of the last report
  raft::NodeId leader_;                // empty if unknown
  bool leader_hint_is_fresh_ = false;  // a NotLeader response has named leader_ since the last renewal
  std::vector<raft::NodeId> voters_;   // as of the last grant
  std::size_t next_voter_ = 0;
  std::vector<InstanceId> peers_;
  std::size_t fetch_attempts_ = 0;
  Time next_fetch_at_{};
  std::map<std::string, PendingRequest> pending_requests_;
  std::vector<Message> messages_to_self_;

  // Voter.
  VoterAdmission admission_;
  std::unique_ptr<raft::Raft> raft_;      // null until the store is admitted
  raft::PersistentState restored_state_;  // the contents of the store until raft_ is created from them
  ConfigStateMachine state_machine_;
  Time next_hello_at_{}, admission_started_at_{};
  std::vector<DeferredMessage> deferred_messages_;
  std::uint64_t persisted_sequence_ = 0;
  VoterProcesses processes_;

  // Leader.
  LeaseGrantor grantor_;
  raft::Term leading_term_ = 0;     // 0 while this voter is not the leader
  Version activating_version_ = 0;  // the last version whose activation was proposed
  Version observed_latest_version_ = 0;
  Time latest_version_since_{};            // the time at which observed_latest_version_ was first seen
  std::map<Version, Time> superseded_at_;  // the time at which this leader first saw a later version active
  std::optional<InFlightChange> in_flight_change_;
  std::optional<InFlightVoterChange> in_flight_voter_change_;
  Time next_admit_message_at_{};
  std::map<InstanceId, HolderInfo> holder_info_;
};

}  // namespace lemoncroft::replicated_config

#endif  // LEMONCROFT_REPLICATED_CONFIG_CONFIG_REPLICA_H_

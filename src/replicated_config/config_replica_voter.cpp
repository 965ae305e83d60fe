// The voter in a ConfigReplica: has its store admitted and runs Raft on it.
#include <algorithm>
#include <utility>

#include "replicated_config/config_replica.h"

namespace lemoncroft::replicated_config {

using raft::NodeId;
using namespace std::chrono_literals;

namespace {

constexpr Duration kHelloInterval = 200ms;
constexpr Duration kAwaitingOperatorHelloInterval =
    1000ms;                                          // while the voter waits for an operator to add it
constexpr Duration kVoterAdmissionTimeout = 1000ms;  // then a majority without objections suffices
// A log that exceeds one of these limits is compacted into a snapshot.
constexpr std::size_t kMaxLogEntries = 96;
constexpr std::uint64_t kMaxLogBytes = std::uint64_t{1} << 20;

std::vector<NodeId> NamesOf(const BootstrapVoters& bootstrap_voters) {
  std::vector<NodeId> names;
  for (const auto& [name, store_id] : bootstrap_voters) names.push_back(name);
  return names;
}

}  // namespace

// ---- Store and admission ----

void ConfigReplica::OnStoreOpened(Time now, StoredState stored) {
  OnStoreClosed();
  restored_state_ = std::move(stored.persistent_state);
  std::vector<NodeId> voters = restored_state_.snapshot.voters;
  for (const raft::Entry& entry : restored_state_.log)
    if (entry.kind == raft::EntryKind::kVoters) voters = entry.voters;
  if (voters.empty() && stored.bootstrap_voters.size() > 1) voters = NamesOf(stored.bootstrap_voters);
  StoreHello hello;
  hello.term = restored_state_.hard_state.term;
  hello.last_index =
      restored_state_.log.empty() ? restored_state_.snapshot.index : restored_state_.log.back().index;
  hello.last_term =
      restored_state_.log.empty() ? restored_state_.snapshot.term : restored_state_.log.back().term;
  admission_.Open(stored.store_id, std::move(stored.bootstrap_voters), voters, hello);
  if (admission_.state() == VoterAdmission::State::kBootstrapping)
    outputs_.push_back(PersistBootstrapVoters{admission_.bootstrap_voters()});
  next_hello_at_ = admission_started_at_ = now;
  RunAdmission(now);
  DispatchPendingOutputs(now);
}

void ConfigReplica::OnStoreClosed() {
  raft_.reset();
  deferred_messages_.clear();
  persisted_sequence_ = 0;
  admission_.Close();
  AbandonInFlight();
  leading_term_ = 0;
}

void ConfigReplica::RunAdmission(Time now) {
  using State = VoterAdmission::State;
  const auto& state = admission_.state();
  if (!state || raft_) return;
  if (*state == State::kQueryingVoters && now >= admission_started_at_ + kVoterAdmissionTimeout)
    admission_.Decide(false);
  if (*state == State::kBootstrapping) return;
  if (*state == State::kAdmitted) return StartVoting(now);
  if (*state == State::kStaleStore || now < next_hello_at_) return;
  next_hello_at_ = now + (*state == State::kQueryingVoters ? kHelloInterval : kAwaitingOperatorHelloInterval);
  for (const NodeId& other : admission_.other_voters()) Send(other, admission_.hello());
}

void ConfigReplica::OnBootstrapVotersPersisted(Time now) {
  admission_.OnBootstrapVotersPersisted();
  RunAdmission(now);
  DispatchPendingOutputs(now);
}

void ConfigReplica::StartVoting(Time now) {
  const BootstrapVoters& bootstrap_voters = admission_.bootstrap_voters();
  // Before the first snapshot, the initial voters are the bootstrap voters. A voter that is added later
  // learns the voters from the log.
  const bool log_is_complete = restored_state_.snapshot.index == 0 && restored_state_.snapshot.voters.empty();
  if (log_is_complete && bootstrap_voters.size() == options_.initial_voters.size())
    restored_state_.snapshot.voters = NamesOf(bootstrap_voters);
  if (!state_machine_.Restore(restored_state_.snapshot.data)) {
    EmitLogEvent(true, "the snapshot in the store cannot be decoded: this voter steps down");
    admission_.Close();
    return;
  }
  raft_ = std::make_unique<raft::Raft>(options_.raft_options, options_.name, std::move(restored_state_),
                                       random_(), now);
  restored_state_ = {};
  EmitLogEvent(false, "voter " + options_.name + " takes part, term " + std::to_string(raft_->term()) +
                          ", log up to " + std::to_string(raft_->last_index()));
}

void ConfigReplica::Handle(Time, InstanceId from, const Message& message, const StoreHello& body) {
  if (processes_.IsReplaced(from)) return;
  processes_.Replace(message.sender, from);
  if (admission_.state()) Send(from, admission_.AnswerHello(message.sender, body));
}

void ConfigReplica::Handle(Time now, InstanceId, const Message& message, const StoreHelloResponse& body) {
  using State = VoterAdmission::State;
  const auto before = admission_.state();
  admission_.HandleResponse(message.sender, body);
  const auto after = admission_.state();
  if (before == after) return;
  if (after == State::kBootstrapping)
    outputs_.push_back(PersistBootstrapVoters{admission_.bootstrap_voters()});
  if (after == State::kAwaitingOperator)
    EmitLogEvent(
        true,
        "this store is empty, and the fleet was bootstrapped without it: it does not vote until an operator "
        "adds it (lemoncroft rules voters out NAME, if it voted before; then in NAME)");
  if (after == State::kStaleStore)
    EmitLogEvent(
        true,
        "this voter's store is stale, it holds less than it acknowledged: it does not vote; remove the "
        "store and have the voter replaced");
  RunAdmission(now);
}

void ConfigReplica::Handle(Time, InstanceId, const Message&, const AdmitVoter& body) {
  const auto before = admission_.state();
  admission_.HandleAdmitVoter(body);
  if (before != admission_.state()) outputs_.push_back(PersistBootstrapVoters{admission_.bootstrap_voters()});
}

// ---- Raft ----

void ConfigReplica::OnPersisted(Time now, std::uint64_t sequence) {
  if (!raft_) return;
  persisted_sequence_ = std::max(persisted_sequence_, sequence);
  raft_->OnPersisted(now, sequence);
  SendDeferredMessages(now);
  DispatchPendingOutputs(now);
}

void ConfigReplica::SendDeferredMessages(Time now) {
  std::vector<DeferredMessage> ready;
  std::erase_if(deferred_messages_, [&](DeferredMessage& deferred) {
    if (deferred.after_sequence > persisted_sequence_) return false;
    ready.push_back(std::move(deferred));
    return true;
  });
  for (DeferredMessage& deferred : ready) {
    if (deferred.to == options_.name)
      raft_->Receive(now, deferred.to, deferred.message);
    else
      Send(deferred.to, RaftMessage{std::move(deferred.message)});
  }
}

void ConfigReplica::DrainRaftOutputs(Time now) {
  while (raft_) {
    const std::vector<raft::Output> outputs = raft_->TakeOutputs();
    if (outputs.empty()) return;
    for (const raft::Output& output : outputs) {
      if (const auto* update = std::get_if<raft::StorageUpdate>(&output))
        outputs_.push_back(Persist{*update});
      else if (const auto* send = std::get_if<raft::SendMessage>(&output))
        deferred_messages_.push_back({send->to, send->message, send->after_sequence});
      else if (const auto* committed = std::get_if<raft::Committed>(&output))
        ApplyCommitted(committed->entry);
      else if (const auto* restored = std::get_if<raft::SnapshotInstalled>(&output))
        // The leader's state machine encoded the snapshot. If decoding failed, the state would not change.
        static_cast<void>(state_machine_.Restore(restored->snapshot.data));
    }
    CompactLog();
    SendDeferredMessages(now);
  }
}

void ConfigReplica::ApplyCommitted(const raft::Entry& entry) {
  if (entry.kind != raft::EntryKind::kData) return;
  const Version before = state_machine_.active_version();
  const std::optional<ChangeOutcome> outcome = state_machine_.Apply(entry.data);
  if (state_machine_.active_version() != before)
    EmitLogEvent(false, "version " + std::to_string(state_machine_.active_version()) + " is active");
  if (!outcome) return;
  if (outcome->status == ChangeStatus::kCommitted)
    EmitLogEvent(false,
                 "version " + std::to_string(outcome->version) + " is committed, change " + outcome->id);
  if (!in_flight_change_ || in_flight_change_->change.id != outcome->id) return;
  SendOutcome(in_flight_change_->reply_to, *outcome);
  in_flight_change_.reset();
}

void ConfigReplica::CompactLog() {
  std::uint64_t bytes = 0;
  for (const raft::Entry& entry : raft_->log()) bytes += entry.data.size();
  if (raft_->log().size() <= kMaxLogEntries && bytes <= kMaxLogBytes) return;
  raft_->Compact(raft_->commit_index(), state_machine_.Snapshot());
}

void ConfigReplica::Handle(Time now, InstanceId from, const Message& message, const RaftMessage& body) {
  if (!raft_ || processes_.IsReplaced(from)) return;
  processes_.Observe(message.sender, from);
  admission_.ObserveRaftMessage(message.sender, body.message);
  raft_->Receive(now, message.sender, body.message);
}

}  // namespace lemoncroft::replicated_config

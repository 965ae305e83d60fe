#include "replicated_config/config_replica.h"

#include <algorithm>
#include <utility>

namespace lemoncroft::replicated_config {

using raft::kNever;
using raft::NodeId;
using namespace std::chrono_literals;

namespace {

constexpr Span kRequestRetryInterval = 200ms;      // of the leader, for an operator
constexpr Span kRenewalRetryInterval = 120ms;      // of a lease, where the last asking has no answer
constexpr Span kLeaderHintRetryInterval = 20ms;    // between two askings, where one was told whom to ask
constexpr Span kFetchRetryInterval = 150ms;        // of a text
constexpr Span kHelloInterval = 200ms;             // of a voter that isn't let in yet ...
constexpr Span kEmptyStoreHelloInterval = 1000ms;  // ... or was told to wait for an operator
constexpr Span kVoterAdmissionTimeout =
    1000ms;  // that a restarted voter waits for all others to tell what they know
constexpr Span kValidationTimeout =
    300ms;  // that the leader waits for proxies to say whether they can carry it
constexpr Span kPreparationTimeout = 2000ms;  // that a version waits for a proxy to prepare it
constexpr Span kAdmitVoterInterval = 200ms;
constexpr std::size_t kMaxLogEntries = 96;                      // entries, before a snapshot
constexpr std::uint64_t kMaxLogBytes = std::uint64_t{1} << 20;  // likewise
constexpr std::size_t kMaxPendingRequests = 64;                 // of operators, at a time
constexpr int kClockRateMarginDivisor = 50;                     // of a span: more than clocks may differ by
constexpr std::size_t kMaxReplacedProcesses = 4096;
constexpr std::size_t kMaxHolderInfo = 8192;

std::string HolderKey(Instance instance) { return std::to_string(instance); }

bool Contains(const std::vector<NodeId>& names, const NodeId& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::vector<NodeId> NamesOf(const BootstrapVoters& bootstrap_voters) {
  std::vector<NodeId> names;
  for (const auto& [name, store] : bootstrap_voters) names.push_back(name);
  return names;
}

}  // namespace

ConfigReplica::ConfigReplica(ConfigReplicaOptions options, Instance self, DocumentChecks checks,
                             std::uint64_t seed, Time now)
    : options_(std::move(options)),
      self_(self),
      document_checks_(std::move(checks)),
      random_(seed),
      holder_(options_.lease),
      voters_(options_.initial_voters),
      next_renewal_at_(now),
      admission_(options_.self, options_.initial_voters, options_.safety_checks.admission),
      state_machine_(options_.safety_checks.state_machine),
      grantor_(options_.lease) {
  prepared_versions_.insert(0);  // before there are any rules: each proxy's own files
}

std::vector<ConfigReplicaOutput> ConfigReplica::TakeOutputs() { return std::exchange(outputs_, {}); }

// ---- Sending ----

void ConfigReplica::Send(const std::variant<NodeId, Instance>& to, MessageBody body) {
  Message message{options_.self, std::move(body)};
  const auto* name = std::get_if<NodeId>(&to);
  const auto* instance = std::get_if<Instance>(&to);
  if ((name != nullptr && *name == options_.self) || (instance != nullptr && *instance == self_))
    messages_to_self_.push_back(std::move(message));
  else
    outputs_.push_back(SendMessage{to, std::move(message)});
}

void ConfigReplica::SendToLeader(MessageBody body) {
  if (!leader_.empty()) return Send(leader_, std::move(body));
  if (!voters_.empty()) Send(voters_[next_voter_++ % voters_.size()], std::move(body));
}

// ---- Time ----

ConfigReplica::Time ConfigReplica::due() const {
  Time due = next_renewal_at_;
  for (const auto& [id, request] : pending_requests_)
    due = std::min({due, request.next_attempt, request.deadline});
  const auto& state = admission_.state();
  if (state &&
      (*state == VoterAdmission::State::kQueryingVoters || *state == VoterAdmission::State::kEmptyStore))
    due = std::min(due, next_hello_at_);
  if (raft_) due = std::min(due, raft_->due());
  if (in_flight_change_ && !in_flight_change_->proposed) due = std::min(due, in_flight_change_->deadline);
  if (in_flight_voter_change_) due = std::min(due, next_admit_message_at_);
  return due;
}

void ConfigReplica::Step(Time now) {
  if (raft_ && now >= raft_->due()) raft_->Step(now);
  RunAdmission(now);
  if (now >= next_renewal_at_) RenewLease(now);
  RetryRequests(now);
  DispatchPendingOutputs(now);
}

// What a call has brought about is carried to its end: the log's outputs, notes to itself, what a leader
// owes.
void ConfigReplica::DispatchPendingOutputs(Time now) {
  for (int round = 0; round < 16; ++round) {
    DrainRaftOutputs(now);
    RunLeaderDuties(now);
    std::vector<Message> own = std::exchange(messages_to_self_, {});
    if (own.empty()) break;
    for (const Message& message : own)
      std::visit([&](const auto& body) { Handle(now, self_, message, body); }, message.body);
  }
  DrainRaftOutputs(now);
  FetchMissingDocuments(now);
  const Version active_version = holder_.active_version();
  if (active_version != announced_version_ && prepared_versions_.contains(active_version)) {
    announced_version_ = active_version;
    outputs_.push_back(VersionActivated{active_version});
    std::erase_if(documents_, [&](const auto& document) { return document.first < active_version; });
    std::erase_if(prepared_versions_, [&](Version v) { return v < active_version; });
    std::erase_if(delivered_versions_, [&](Version v) { return v < active_version; });
  }
  if (std::exchange(clock_rates_differ_, holder_.clock_rates_differ()) != holder_.clock_rates_differ())
    EmitLogEvent(true,
                 holder_.clock_rates_differ()
                     ? "this proxy's clock and the leader's run apart by more than they may: it is cut off"
                     : "this proxy's clock and the leader's run alike again");
}

void ConfigReplica::RenewLease(Time now) {
  // Where no answer came another may lead by now; soon, since the lease runs out.
  const bool late = now > last_grant_at_ + options_.lease.renewal_interval * 3 / 2;
  if (late && !std::exchange(leader_hint_is_fresh_, false)) leader_.clear();
  last_renewal_at_ = now;
  next_renewal_at_ = now + (late ? kRenewalRetryInterval : options_.lease.renewal_interval);
  if (raft_ && !raft_->leader().empty()) leader_ = raft_->leader();
  SendToLeader(LeaseRequest{holder_.RequestRenewal(now), options_.format, incompatible_version_});
}

void ConfigReplica::RetryRequests(Time now) {
  std::vector<ChangeOutcome> late;
  for (auto& [id, request] : pending_requests_) {
    if (now >= request.deadline) {
      late.push_back(
          {id, ChangeStatus::kUnknown, holder_.latest_version(), "no leader of the voters answered in time"});
    } else if (now >= request.next_attempt) {
      request.next_attempt = now + kRequestRetryInterval;
      SendToLeader(request.body);
    }
  }
  for (const ChangeOutcome& outcome : late) CompleteRequest(outcome);
}

void ConfigReplica::SubmitRequest(Time now, const std::string& id, MessageBody body, Time until) {
  if (pending_requests_.size() >= kMaxPendingRequests) {
    outputs_.push_back(
        RequestCompleted{{id, ChangeStatus::kRejected, 0, "too many changes are asked for at once"}, {}});
    return;
  }
  pending_requests_[id] = {std::move(body), until, now};
  RetryRequests(now);
  DispatchPendingOutputs(now);
}

void ConfigReplica::ProposeChange(Time now, const ConfigChange& change, Time until) {
  SubmitRequest(now, change.id, ProposeRequest{change}, until);
}
void ConfigReplica::ChangeVoters(Time now, const VoterChange& voters, Time until) {
  SubmitRequest(now, voters.id, voters, until);
}
void ConfigReplica::ReadCommitted(Time now, const std::string& id, Time until) {
  SubmitRequest(now, id, ReadRequest{id}, until);
}

void ConfigReplica::CompleteRequest(const ChangeOutcome& outcome, std::optional<ReadResponse> read) {
  if (pending_requests_.erase(outcome.id) > 0) outputs_.push_back(RequestCompleted{outcome, std::move(read)});
}

void ConfigReplica::Resign(Time now) {
  if (!raft_) return;
  raft_->Resign(now);
  DispatchPendingOutputs(now);
}

// ---- Texts ----

const std::string* ConfigReplica::FindDocument(Version version) const {
  if (const VersionRecord* record = raft_ ? state_machine_.Find(version) : nullptr) return &record->document;
  const auto it = documents_.find(version);
  return it == documents_.end() ? nullptr : &it->second;
}

void ConfigReplica::StoreDocument(Version version, const std::string& document) {
  documents_[version] = document;
  if (delivered_versions_.insert(version).second) outputs_.push_back(DocumentReceived{version, document});
}

// The one in force first, then the newest.
void ConfigReplica::FetchMissingDocuments(Time now) {
  for (const Version wanted : {holder_.active_version(), holder_.latest_version()}) {
    if (prepared_versions_.contains(wanted) || delivered_versions_.contains(wanted)) continue;
    if (const std::string* document = FindDocument(wanted)) {
      StoreDocument(wanted, std::string(*document));
      continue;
    }
    if (now < next_fetch_at_) return;
    next_fetch_at_ = now + kFetchRetryInterval;
    // Now of a voter, now of anyone.
    if (++fetch_attempts_ % 2 == 1 || peers_.empty())
      SendToLeader(DocumentRequest{wanted});
    else
      Send(peers_[random_() % peers_.size()], DocumentRequest{wanted});
    return;
  }
}

void ConfigReplica::MarkPrepared(Time now, Version version) {
  prepared_versions_.insert(version);
  holder_.MarkPrepared(version);
  next_renewal_at_ = now;  // the leader need not wait for a beat to hear of it
  DispatchPendingOutputs(now);
}

void ConfigReplica::MarkIncompatible(Version version) {
  incompatible_version_ = std::max(incompatible_version_, version);
}

std::optional<Version> ConfigReplica::UsableVersion(Time now) const {
  const std::optional<Version> version = holder_.UsableVersion(now);
  return version && prepared_versions_.contains(*version) ? version : std::nullopt;
}

// ---- A voter's store and log ----

void ConfigReplica::OpenStore(Time now, StoredState stored) {
  CloseStore();
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
  admission_.Open(stored.store, std::move(stored.bootstrap_voters), voters, hello);
  if (admission_.state() == VoterAdmission::State::kBootstrapping)
    outputs_.push_back(PersistBootstrapVoters{admission_.bootstrap_voters()});
  next_hello_at_ = admission_started_at_ = now;
  RunAdmission(now);
  DispatchPendingOutputs(now);
}

void ConfigReplica::CloseStore() {
  raft_.reset();
  deferred_messages_.clear();
  last_stored_update_ = 0;
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
  next_hello_at_ = now + (*state == State::kQueryingVoters ? kHelloInterval : kEmptyStoreHelloInterval);
  for (const NodeId& other : admission_.other_voters()) Send(other, admission_.hello());
}

void ConfigReplica::OnBootstrapVotersStored(Time now) {
  admission_.OnBootstrapVotersStored();
  RunAdmission(now);
  DispatchPendingOutputs(now);
}

void ConfigReplica::StartVoting(Time now) {
  const BootstrapVoters& bootstrap_voters = admission_.bootstrap_voters();
  // Before a first snapshot the founders are those that the log began with. Who was let in later hears of the
  // voters by the log.
  const bool from_begin = restored_state_.snapshot.index == 0 && restored_state_.snapshot.voters.empty();
  if (from_begin && bootstrap_voters.size() == options_.initial_voters.size())
    restored_state_.snapshot.voters = NamesOf(bootstrap_voters);
  if (!state_machine_.Restore(restored_state_.snapshot.data)) {
    EmitLogEvent(true, "the snapshot in the store can't be read: this voter steps back");
    admission_.Close();
    return;
  }
  raft_ =
      std::make_unique<raft::Raft>(options_.log, options_.self, std::move(restored_state_), random_(), now);
  restored_state_ = {};
  EmitLogEvent(false, "voter " + options_.self + " takes part, term " + std::to_string(raft_->term()) +
                          ", log up to " + std::to_string(raft_->last()));
}

void ConfigReplica::OnStored(Time now, std::uint64_t number) {
  if (!raft_) return;
  last_stored_update_ = std::max(last_stored_update_, number);
  raft_->Stored(now, number);
  ReleaseStoredMessages(now);
  DispatchPendingOutputs(now);
}

void ConfigReplica::ReleaseStoredMessages(Time now) {
  std::vector<DeferredMessage> ready;
  std::erase_if(deferred_messages_, [&](DeferredMessage& held) {
    if (held.after_update > last_stored_update_) return false;
    ready.push_back(std::move(held));
    return true;
  });
  for (DeferredMessage& held : ready) {
    if (held.to == options_.self)
      raft_->Receive(now, held.to, held.message);
    else
      Send(held.to, RaftMessage{std::move(held.message)});
  }
}

void ConfigReplica::DrainRaftOutputs(Time now) {
  while (raft_) {
    const std::vector<raft::Output> outputs = raft_->Take();
    if (outputs.empty()) return;
    for (const raft::Output& output : outputs) {
      if (const auto* store = std::get_if<raft::StorageUpdate>(&output))
        outputs_.push_back(Persist{*store});
      else if (const auto* send = std::get_if<raft::SendMessage>(&output))
        deferred_messages_.push_back({send->to, send->message, send->after});
      else if (const auto* committed = std::get_if<raft::Committed>(&output))
        ApplyCommitted(committed->entry);
      else if (const auto* restored = std::get_if<raft::SnapshotInstalled>(&output))
        state_machine_.Restore(restored->snapshot.data);
    }
    CompactLog();
    ReleaseStoredMessages(now);
  }
}

void ConfigReplica::ApplyCommitted(const raft::Entry& entry) {
  if (entry.kind != raft::EntryKind::kData) return;
  const Version before = state_machine_.active_version();
  const std::optional<ChangeOutcome> outcome = state_machine_.Apply(entry.data);
  if (state_machine_.active_version() != before)
    EmitLogEvent(false, "version " + std::to_string(state_machine_.active_version()) + " is in force");
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
  raft_->Compact(raft_->commit(), state_machine_.Snapshot());
}

// ---- A leader ----

void ConfigReplica::SendOutcome(const std::set<Instance>& to, const ChangeOutcome& outcome) {
  for (const Instance instance : to) Send(instance, ProposalResult{outcome});
}

// Who asked asks again, of whoever leads then.
void ConfigReplica::AbandonInFlight() {
  in_flight_change_.reset();
  in_flight_voter_change_.reset();
}

void ConfigReplica::RunLeaderDuties(Time now) {
  if (!raft_ || raft_->role() != raft::Role::kLeader) {
    if (std::exchange(leading_term_, 0) != 0) {
      AbandonInFlight();
      EmitLogEvent(false, "leads no more");
    }
    return;
  }
  if (leading_term_ != raft_->term()) {
    leading_term_ = raft_->term();
    activating_version_ = 0;
    holder_info_.clear();
    AbandonInFlight();
    grantor_.BeginLeadership(now, leading_term_);
    superseded_at_.clear();
    EmitLogEvent(false, "leads in term " + std::to_string(leading_term_));
  }
  if (state_machine_.latest_version() != observed_latest_version_) {
    observed_latest_version_ = state_machine_.latest_version();
    latest_version_since_ = now;
  }
  for (const auto& [version, record] : state_machine_.versions())
    if (version < state_machine_.active_version()) superseded_at_.try_emplace(version, now);
  ActivateLatestVersion(now);
  if (in_flight_change_ && !in_flight_change_->proposed &&
      (in_flight_change_->awaiting.empty() || now >= in_flight_change_->deadline))
    ProposeInFlight(now);
  if (in_flight_voter_change_) {
    const VoterChange& wanted = in_flight_voter_change_->change;
    if (Contains(raft_->voters(), wanted.voter) == wanted.add && raft_->VotersCommitted()) {
      Send(in_flight_voter_change_->reply_to,
           ProposalResult{{wanted.id, ChangeStatus::kCommitted, state_machine_.latest_version(), {}}});
      EmitLogEvent(false, "voter " + wanted.voter + (wanted.add ? " is let in" : " is out"));
      in_flight_voter_change_.reset();
    } else if (now >= next_admit_message_at_) {
      next_admit_message_at_ = now + kAdmitVoterInterval;
      // Once it is among the voters it has answered for something: another store of its must not take part.
      if (wanted.add && !Contains(raft_->voters(), wanted.voter))
        Send(wanted.voter, AdmitVoter{in_flight_voter_change_->store});
    }
  }
}

// Against the newest, and against all versions by which somebody who is cut off may still go on.
std::string ConfigReplica::CheckAgainstHeldVersions(Time now, const std::string& document) const {
  if (state_machine_.versions().empty()) return document_checks_.check_successor(nullptr, document);
  for (const auto& [version, record] : state_machine_.versions()) {
    const auto over = superseded_at_.find(version);
    const Span lasts = document_checks_.isolation_duration(record.document);
    const Span most = options_.lease.duration + lasts;
    if (version != state_machine_.latest_version() && lasts <= Span::zero()) continue;
    if (version != state_machine_.latest_version() && over != superseded_at_.end() &&
        now > over->second + most + most / kClockRateMarginDivisor)
      continue;
    if (std::string reason = document_checks_.check_successor(&record, document); !reason.empty())
      return reason;
  }
  return {};
}

// The newest version comes into force once all that may act have prepared it.
void ConfigReplica::ActivateLatestVersion(Time now) {
  const Version latest_version = state_machine_.latest_version();
  if (latest_version <= std::max(state_machine_.active_version(), activating_version_)) return;
  if (!grantor_.MayActivate(now, Leads(now), latest_version)) return;
  activating_version_ = latest_version;
  raft_->Propose(now, EncodeEntry(latest_version));
}

void ConfigReplica::ProposeInFlight(Time now) {
  in_flight_change_->proposed = true;
  const bool latest_version = in_flight_change_->change.base_version == state_machine_.latest_version() ||
                              !options_.safety_checks.state_machine.compare_and_set;
  if (!Leads(now) || !latest_version) {
    in_flight_change_.reset();  // its proposer asks again, and is told then
    return;
  }
  const raft::ProposalResult proposed = raft_->Propose(now, EncodeEntry(in_flight_change_->change));
  if (proposed.refusal != raft::ProposalError::kNone) in_flight_change_.reset();
}

std::map<std::string, Version> ConfigReplica::HoldersByName(Time now) const {
  std::map<std::string, Version> out;
  for (const auto& [key, prepared] : grantor_.LiveHolders(now)) {
    const auto it = holder_info_.find(std::strtoull(key.c_str(), nullptr, 10));
    out[it == holder_info_.end() ? key : it->second.name + "/" + key] = prepared;
  }
  return out;
}

// ---- Notes ----

void ConfigReplica::Receive(Time now, Instance from, const Message& message) {
  std::visit([&](const auto& body) { Handle(now, from, message, body); }, message.body);
  DispatchPendingOutputs(now);
}

void ConfigReplica::Handle(Time now, Instance from, const Message& message, const RaftMessage& body) {
  if (!raft_ || replaced_processes_.contains(from)) return;
  current_processes_.try_emplace(message.sender, from);
  admission_.ObserveRaftMessage(message.sender, body.message);
  raft_->Receive(now, message.sender, body.message);
}

void ConfigReplica::Handle(Time now, Instance from, const Message& message, const LeaseRequest& body) {
  if (!Leads(now)) {
    const NodeId& other = raft_ ? raft_->leader() : leader_;
    if (from != self_) Send(from, NotLeader{other == options_.self ? NodeId() : other});
    return;
  }
  if (holder_info_.size() >= kMaxHolderInfo) holder_info_.clear();
  holder_info_[from] = {message.sender, body.format};
  // Who can't or doesn't prepare what is committed must not keep it from all others.
  const Version latest_version = state_machine_.latest_version();
  const bool waits =
      latest_version > state_machine_.active_version() && body.renewal.prepared_version < latest_version;
  if (options_.safety_checks.expire_laggards && waits &&
      (body.incompatible_version >= latest_version || now > latest_version_since_ + kPreparationTimeout))
    return;
  const auto grant = grantor_.HandleRenewal(now, true, HolderKey(from), body.renewal,
                                            state_machine_.active_version(), latest_version);
  if (grant) Send(from, LeaseResponse{*grant, raft_->voters()});
}

void ConfigReplica::Handle(Time now, Instance, const Message& message, const LeaseResponse& body) {
  last_grant_at_ = now;
  leader_ = message.sender;
  if (!body.voters.empty()) voters_ = body.voters;
  holder_.HandleGrant(now, body.grant);
}

void ConfigReplica::Handle(Time now, Instance, const Message& message, const NotLeader& body) {
  if (body.leader_hint.empty() || body.leader_hint == message.sender) {
    if (leader_ == message.sender) leader_.clear();
    return;
  }
  const bool news = leader_ != body.leader_hint;
  leader_ = body.leader_hint;
  if (!news) return;
  // Of that one, and soon; but never as fast as notes go round, where nobody leads and all name another.
  leader_hint_is_fresh_ = true;
  const Time soon = std::max(now, last_renewal_at_ + kLeaderHintRetryInterval);
  next_renewal_at_ = std::min(next_renewal_at_, soon);
  for (auto& [id, request] : pending_requests_) request.next_attempt = std::min(request.next_attempt, soon);
}

void ConfigReplica::Handle(Time, Instance from, const Message&, const DocumentRequest& body) {
  if (const std::string* document = FindDocument(body.version))
    Send(from, DocumentResponse{body.version, *document});
}

void ConfigReplica::Handle(Time now, Instance, const Message&, const DocumentResponse& body) {
  const bool wanted = body.version == holder_.active_version() || body.version == holder_.latest_version();
  if (!wanted || prepared_versions_.contains(body.version) || body.document.size() > kMaxDocumentBytes)
    return;
  next_fetch_at_ = now;
  StoreDocument(body.version, body.document);
}

void ConfigReplica::Handle(Time now, Instance from, const Message&, const ProposeRequest& body) {
  if (!Leads(now)) {
    const NodeId& other = raft_ ? raft_->leader() : leader_;
    if (from != self_) Send(from, NotLeader{other == options_.self ? NodeId() : other});
    return;
  }
  const ConfigChange& change = body.change;
  const auto refuse = [&](ChangeStatus status, std::string reason) {
    Send(from, ProposalResult{{change.id, status, state_machine_.latest_version(), std::move(reason)}});
  };
  if (const ChangeOutcome* known = state_machine_.FindOutcome(change.id))
    return Send(from, ProposalResult{*known});
  if (in_flight_change_ && in_flight_change_->change.id == change.id) {
    in_flight_change_->reply_to.insert(from);
    return;
  }
  if (change.base_version != state_machine_.latest_version() &&
      options_.safety_checks.state_machine.compare_and_set)
    return refuse(ChangeStatus::kConflict, {});
  if (in_flight_change_) return;  // it asks again, and will find another version
  if (change.document.size() > kMaxDocumentBytes)
    return refuse(ChangeStatus::kRejected, "a document of " + std::to_string(change.document.size()) +
                                               " bytes is too long: at most " +
                                               std::to_string(kMaxDocumentBytes));
  if (change.id.empty() || change.id.size() > kMaxChangeIdBytes || change.author.size() > kMaxAuthorBytes)
    return refuse(ChangeStatus::kRejected, "a change needs an id, and names of at most 64 bytes");
  if (std::string reason = CheckAgainstHeldVersions(now, change.document); !reason.empty())
    return refuse(ChangeStatus::kRejected, std::move(reason));
  InFlightChange fresh;
  fresh.change = change;
  fresh.reply_to = {from};
  fresh.deadline = now + kValidationTimeout;
  if (options_.safety_checks.validate_on_holders) {
    const std::uint64_t format = document_checks_.required_format(change.document);
    if (std::string reason = document_checks_.check_compatible(change.document); !reason.empty())
      return refuse(ChangeStatus::kRejected, options_.self + " can't carry it: " + reason);
    for (const auto& [key, prepared] : grantor_.LiveHolders(now)) {
      const Instance holder = std::strtoull(key.c_str(), nullptr, 10);
      const auto info = holder_info_.find(holder);
      if (holder == self_ || info == holder_info_.end()) continue;
      if (info->second.format < format)
        return refuse(ChangeStatus::kRejected,
                      info->second.name + " can't carry it: its program reads format " +
                          std::to_string(info->second.format) + ", not " + std::to_string(format));
      fresh.awaiting.insert(holder);
    }
  }
  in_flight_change_ = std::move(fresh);
  for (const Instance holder : in_flight_change_->awaiting)
    Send(holder, ValidateRequest{change.id, change.document});
}

void ConfigReplica::Handle(Time, Instance, const Message&, const ProposalResult& body) {
  CompleteRequest(body.outcome);
}

void ConfigReplica::Handle(Time, Instance from, const Message&, const ValidateRequest& body) {
  Send(from, ValidateResponse{body.id, document_checks_.check_compatible(body.document)});
}

void ConfigReplica::Handle(Time, Instance from, const Message& message, const ValidateResponse& body) {
  if (!in_flight_change_ || in_flight_change_->change.id != body.id || in_flight_change_->proposed) return;
  if (body.reason.empty()) {
    in_flight_change_->awaiting.erase(from);
    return;
  }
  SendOutcome(in_flight_change_->reply_to, {body.id, ChangeStatus::kRejected, state_machine_.latest_version(),
                                            message.sender + " can't carry it: " + body.reason});
  in_flight_change_.reset();
}

void ConfigReplica::Handle(Time now, Instance from, const Message&, const VoterChange& body) {
  if (!Leads(now)) {
    if (from != self_) Send(from, NotLeader{raft_ ? raft_->leader() : leader_});
    return;
  }
  const auto refuse = [&](std::string reason) {
    Send(from, ProposalResult{
                   {body.id, ChangeStatus::kRejected, state_machine_.latest_version(), std::move(reason)}});
  };
  if (Contains(raft_->voters(), body.voter) == body.add && raft_->VotersCommitted())
    return Send(from, ProposalResult{{body.id, ChangeStatus::kCommitted, state_machine_.latest_version(),
                                      body.add ? "it votes already" : "it has no vote"}});
  if (body.add && !admission_.UnadmittedStore(body.voter))
    return refuse(body.voter + " has not told of an empty store: is it running, with a `store`?");
  if (!body.add && raft_->voters().size() == 1) return refuse("it is the last voter");
  if (in_flight_voter_change_ && in_flight_voter_change_->change.id != body.id) return;  // it asks again
  raft_->ChangeVoters(now, body.voter, body.add);
  if (!in_flight_voter_change_)
    in_flight_voter_change_ =
        InFlightVoterChange{body, from, admission_.UnadmittedStore(body.voter).value_or(0)};
  in_flight_voter_change_->reply_to = from;
  next_admit_message_at_ = now;
}

void ConfigReplica::Handle(Time now, Instance from, const Message&, const ReadRequest& body) {
  if (Leads(now))
    return Send(from, ReadResponse{body.id, state_machine_.latest_version(), state_machine_.active_version(),
                                   raft_->voters()});
  if (from != self_) Send(from, NotLeader{raft_ ? raft_->leader() : leader_});
}

void ConfigReplica::Handle(Time, Instance, const Message&, const ReadResponse& body) {
  CompleteRequest({body.id, ChangeStatus::kCommitted, body.latest_version, {}}, body);
}

void ConfigReplica::Handle(Time, Instance from, const Message& message, const StoreHello& body) {
  if (replaced_processes_.contains(from)) return;
  const auto [it, fresh] = current_processes_.try_emplace(message.sender, from);
  if (!fresh && it->second != from) {
    if (replaced_processes_.size() >= kMaxReplacedProcesses) replaced_processes_.clear();
    replaced_processes_.insert(std::exchange(it->second, from));
  }
  if (admission_.state()) Send(from, admission_.AnswerHello(message.sender, body));
}

void ConfigReplica::Handle(Time now, Instance, const Message& message, const StoreHelloResponse& body) {
  using State = VoterAdmission::State;
  const auto before = admission_.state();
  admission_.HandleResponse(message.sender, body);
  const auto after = admission_.state();
  if (before == after) return;
  if (after == State::kBootstrapping)
    outputs_.push_back(PersistBootstrapVoters{admission_.bootstrap_voters()});
  if (after == State::kEmptyStore)
    EmitLogEvent(
        true,
        "this store is empty, and the fleet was founded without it: it does not vote until an operator "
        "lets it in (lemoncroft rules voters out NAME, if it voted before; then in NAME)");
  if (after == State::kStaleStore)
    EmitLogEvent(true,
                 "this voter's store is older than what it once answered for: it does not vote; remove the "
                 "store and have the voter replaced");
  RunAdmission(now);
}

void ConfigReplica::Handle(Time, Instance, const Message&, const AdmitVoter& body) {
  const auto before = admission_.state();
  admission_.HandleAdmitVoter(body);
  if (before != admission_.state()) outputs_.push_back(PersistBootstrapVoters{admission_.bootstrap_voters()});
}

}  // namespace lemoncroft::replicated_config

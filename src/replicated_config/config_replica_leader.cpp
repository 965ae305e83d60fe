// The leader in a ConfigReplica: grants leases, validates and proposes changes, activates versions, and
// changes the voters.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "replicated_config/config_replica.h"

namespace lemoncroft::replicated_config {

using raft::NodeId;
using namespace std::chrono_literals;

namespace {

constexpr Duration kValidationTimeout = 300ms;  // then a change is proposed without the missing responses
constexpr Duration kPreparationTimeout =
    2000ms;  // then a holder that has not prepared a version gets no grants
constexpr Duration kAdmitVoterInterval = 200ms;
constexpr int kClockRateMarginDivisor = 50;  // 1/50 of a duration exceeds the allowed clock rate difference
constexpr std::size_t kMaxHolderInfo = 8192;

std::string HolderKey(InstanceId instance) { return std::to_string(instance); }
InstanceId InstanceOf(const std::string& holder_key) {
  return std::strtoull(holder_key.c_str(), nullptr, 10);
}

bool Contains(const std::vector<NodeId>& names, const NodeId& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

void ConfigReplica::RunLeaderDuties(Time now) {
  if (!raft_ || raft_->role() != raft::Role::kLeader) return EndLeadership();
  if (leading_term_ != raft_->term()) BeginLeadership(now);
  if (state_machine_.latest_version() != observed_latest_version_) {
    observed_latest_version_ = state_machine_.latest_version();
    latest_version_since_ = now;
  }
  for (const auto& [version, record] : state_machine_.versions())
    if (version < state_machine_.active_version()) superseded_at_.try_emplace(version, now);
  ProposeActivation(now);
  if (in_flight_change_ && !in_flight_change_->proposed &&
      (in_flight_change_->pending_validators.empty() || now >= in_flight_change_->deadline))
    ProposeInFlight(now);
  if (in_flight_voter_change_) AdvanceVoterChange(now);
}

void ConfigReplica::BeginLeadership(Time now) {
  leading_term_ = raft_->term();
  activating_version_ = 0;
  holder_info_.clear();
  AbandonInFlight();
  grantor_.BeginLeadership(now, leading_term_);
  superseded_at_.clear();
  EmitLogEvent(false, "this voter became the leader in term " + std::to_string(leading_term_));
}

void ConfigReplica::EndLeadership() {
  if (std::exchange(leading_term_, 0) == 0) return;
  AbandonInFlight();
  EmitLogEvent(false, "this voter is no longer the leader");
}

// Drops the changes in flight. Their proposers retry at the next leader.
void ConfigReplica::AbandonInFlight() {
  in_flight_change_.reset();
  in_flight_voter_change_.reset();
}

std::map<std::string, Version> ConfigReplica::HoldersByName(Time now) const {
  std::map<std::string, Version> out;
  for (const auto& [key, prepared] : grantor_.LiveHolders(now)) {
    const auto it = holder_info_.find(InstanceOf(key));
    out[it == holder_info_.end() ? key : it->second.name + "/" + key] = prepared;
  }
  return out;
}

void ConfigReplica::Handle(Time now, InstanceId from, const Message&, const ReadRequest& body) {
  if (Leads(now))
    return Send(from, ReadResponse{body.id, state_machine_.latest_version(), state_machine_.active_version(),
                                   raft_->voters()});
  if (from != self_instance_) Send(from, NotLeader{raft_ ? raft_->leader() : leader_});
}

// ---- Leases and activation ----

void ConfigReplica::Handle(Time now, InstanceId from, const Message& message, const LeaseRequest& body) {
  if (!Leads(now)) {
    const NodeId& other = raft_ ? raft_->leader() : leader_;
    if (from != self_instance_) Send(from, NotLeader{other == options_.name ? NodeId() : other});
    return;
  }
  if (holder_info_.size() >= kMaxHolderInfo) holder_info_.clear();
  holder_info_[from] = {message.sender, body.format};
  // A proxy that cannot or does not prepare the latest version must not delay the others. Its lease is not
  // renewed, and expires.
  const Version latest_version = state_machine_.latest_version();
  const bool lags =
      latest_version > state_machine_.active_version() && body.renewal.prepared_version < latest_version;
  if (options_.safety_checks.expire_laggards && lags &&
      (body.incompatible_version >= latest_version || now > latest_version_since_ + kPreparationTimeout))
    return;
  const auto grant = grantor_.HandleRenewal(now, true, HolderKey(from), body.renewal,
                                            state_machine_.active_version(), latest_version);
  if (grant) Send(from, LeaseResponse{*grant, raft_->voters()});
}

// Proposes to activate the latest version once all live lease holders have prepared it.
void ConfigReplica::ProposeActivation(Time now) {
  const Version latest_version = state_machine_.latest_version();
  if (latest_version <= std::max(state_machine_.active_version(), activating_version_)) return;
  if (!grantor_.MayActivate(now, Leads(now), latest_version)) return;
  activating_version_ = latest_version;
  raft_->Propose(now, EncodeEntry(latest_version));
}

// ---- Changes of the configuration ----

void ConfigReplica::Handle(Time now, InstanceId from, const Message&, const ProposeRequest& body) {
  if (!Leads(now)) {
    const NodeId& other = raft_ ? raft_->leader() : leader_;
    if (from != self_instance_) Send(from, NotLeader{other == options_.name ? NodeId() : other});
    return;
  }
  const ConfigChange& change = body.change;
  const auto reject = [&](ChangeRejection rejection) {
    Send(from, ChangeResult{{change.id, rejection.status, state_machine_.latest_version(),
                             std::move(rejection.reason)}});
  };
  if (const ChangeOutcome* known = state_machine_.FindOutcome(change.id))
    return Send(from, ChangeResult{*known});
  if (in_flight_change_ && in_flight_change_->change.id == change.id) {
    in_flight_change_->reply_to.insert(from);
    return;
  }
  if (change.base_version != state_machine_.latest_version() &&
      options_.safety_checks.state_machine.compare_and_set)
    return reject({ChangeStatus::kConflict, {}});
  if (in_flight_change_) return;  // the proposer retries, and conflicts if the change in flight is committed
  if (auto checked = CheckProposal(now, change); !checked) return reject(std::move(checked.error()));
  auto validators = FindValidators(now, change.document);
  if (!validators) return reject(std::move(validators.error()));
  InFlightChange in_flight;
  in_flight.change = change;
  in_flight.reply_to = {from};
  in_flight.deadline = now + kValidationTimeout;
  in_flight.pending_validators = std::move(*validators);
  in_flight_change_ = std::move(in_flight);
  for (const InstanceId holder : in_flight_change_->pending_validators)
    Send(holder, ValidateRequest{change.id, change.document});
}

// Performs the checks of a proposed change that need no other proxy.
tl::expected<void, ConfigReplica::ChangeRejection> ConfigReplica::CheckProposal(
    Time now, const ConfigChange& change) const {
  const auto rejected = [](std::string reason) {
    return tl::unexpected(ChangeRejection{ChangeStatus::kRejected, std::move(reason)});
  };
  if (change.document.size() > kMaxDocumentBytes)
    return rejected("a document of " + std::to_string(change.document.size()) +
                    " bytes is too long: at most " + std::to_string(kMaxDocumentBytes));
  if (change.id.empty() || change.id.size() > kMaxChangeIdBytes || change.author.size() > kMaxAuthorBytes)
    return rejected("a change must have an id, and its id and author must not exceed 64 bytes");
  if (auto checked = CheckAgainstUsableVersions(now, change.document); !checked)
    return rejected(std::move(checked.error().reason));
  return {};
}

// Checks a document against the latest version and against each earlier version that an isolated proxy may
// still act on.
tl::expected<void, DocumentRejection> ConfigReplica::CheckAgainstUsableVersions(
    Time now, const std::string& document) const {
  if (state_machine_.versions().empty()) return document_checks_.check_successor(nullptr, document);
  for (const auto& [version, record] : state_machine_.versions()) {
    const auto superseded = superseded_at_.find(version);
    const Duration isolation = document_checks_.isolation_duration(record.document);
    const Duration longest_use = options_.lease.duration + isolation;
    if (version != state_machine_.latest_version() && isolation <= Duration::zero()) continue;
    if (version != state_machine_.latest_version() && superseded != superseded_at_.end() &&
        now > superseded->second + longest_use + longest_use / kClockRateMarginDivisor)
      continue;
    if (auto checked = document_checks_.check_successor(&record, document); !checked) return checked;
  }
  return {};
}

// Returns the live lease holders that must validate a document, or a rejection if this proxy or one of them
// is already known to be unable to apply it.
tl::expected<std::set<InstanceId>, ConfigReplica::ChangeRejection> ConfigReplica::FindValidators(
    Time now, const std::string& document) const {
  std::set<InstanceId> validators;
  if (!options_.safety_checks.validate_on_holders) return validators;
  const std::uint64_t format = document_checks_.required_format(document);
  if (auto checked = document_checks_.check_compatible(document); !checked)
    return tl::unexpected(ChangeRejection{ChangeStatus::kRejected,
                                          options_.name + " can't carry it: " + checked.error().reason});
  for (const auto& [key, prepared] : grantor_.LiveHolders(now)) {
    const InstanceId holder = InstanceOf(key);
    const auto info = holder_info_.find(holder);
    if (holder == self_instance_ || info == holder_info_.end()) continue;
    if (info->second.format < format)
      return tl::unexpected(ChangeRejection{ChangeStatus::kRejected,
                                            info->second.name + " can't carry it: its program reads format " +
                                                std::to_string(info->second.format) + ", not " +
                                                std::to_string(format)});
    validators.insert(holder);
  }
  return validators;
}

void ConfigReplica::Handle(Time, InstanceId from, const Message& message, const ValidateResponse& body) {
  if (!in_flight_change_ || in_flight_change_->change.id != body.id || in_flight_change_->proposed) return;
  if (body.reason.empty()) {
    in_flight_change_->pending_validators.erase(from);
    return;
  }
  SendOutcome(in_flight_change_->reply_to, {body.id, ChangeStatus::kRejected, state_machine_.latest_version(),
                                            message.sender + " can't carry it: " + body.reason});
  in_flight_change_.reset();
}

void ConfigReplica::ProposeInFlight(Time now) {
  in_flight_change_->proposed = true;
  const bool up_to_date = in_flight_change_->change.base_version == state_machine_.latest_version() ||
                          !options_.safety_checks.state_machine.compare_and_set;
  if (!Leads(now) || !up_to_date) {
    in_flight_change_.reset();  // the proposer retries and then receives the outcome
    return;
  }
  const raft::ProposalResult proposed = raft_->Propose(now, EncodeEntry(in_flight_change_->change));
  if (proposed.error != raft::ProposalError::kNone) in_flight_change_.reset();
}

void ConfigReplica::SendOutcome(const std::set<InstanceId>& to, const ChangeOutcome& outcome) {
  for (const InstanceId instance : to) Send(instance, ChangeResult{outcome});
}

// ---- Changes of the voters ----

// Completes the voter change in flight once it is committed. Until the log contains a voter to be added,
// sends AdmitVoter to that voter periodically.
void ConfigReplica::AdvanceVoterChange(Time now) {
  const VoterChange& wanted = in_flight_voter_change_->change;
  if (Contains(raft_->voters(), wanted.voter) == wanted.add && raft_->AreVotersCommitted()) {
    Send(in_flight_voter_change_->reply_to,
         ChangeResult{{wanted.id, ChangeStatus::kCommitted, state_machine_.latest_version(), {}}});
    EmitLogEvent(false, "voter " + wanted.voter + (wanted.add ? " is added" : " is removed"));
    in_flight_voter_change_.reset();
    return;
  }
  if (now < next_admit_message_at_) return;
  next_admit_message_at_ = now + kAdmitVoterInterval;
  // A node that is already a voter may have acknowledged entries, so it must not vote with another store.
  if (wanted.add && !Contains(raft_->voters(), wanted.voter))
    Send(wanted.voter, AdmitVoter{in_flight_voter_change_->store_id});
}

void ConfigReplica::Handle(Time now, InstanceId from, const Message&, const VoterChange& body) {
  if (!Leads(now)) {
    if (from != self_instance_) Send(from, NotLeader{raft_ ? raft_->leader() : leader_});
    return;
  }
  const auto reject = [&](std::string reason) {
    Send(from, ChangeResult{
                   {body.id, ChangeStatus::kRejected, state_machine_.latest_version(), std::move(reason)}});
  };
  if (Contains(raft_->voters(), body.voter) == body.add && raft_->AreVotersCommitted())
    return Send(from, ChangeResult{{body.id, ChangeStatus::kCommitted, state_machine_.latest_version(),
                                    body.add ? "the node is already a voter" : "the node is not a voter"}});
  if (body.add && !admission_.LastEmptyStoreId(body.voter))
    return reject(body.voter +
                  " has not reported an empty store; check that it is running and has a `store`");
  if (!body.add && raft_->voters().size() == 1) return reject("the last voter cannot be removed");
  if (in_flight_voter_change_ && in_flight_voter_change_->change.id != body.id)
    return;  // the proposer retries
  raft_->ChangeVoters(now, body.voter, body.add);
  if (!in_flight_voter_change_)
    in_flight_voter_change_ =
        InFlightVoterChange{body, from, admission_.LastEmptyStoreId(body.voter).value_or(0)};
  in_flight_voter_change_->reply_to = from;
  next_admit_message_at_ = now;
}

}  // namespace lemoncroft::replicated_config

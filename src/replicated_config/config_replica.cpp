#include "replicated_config/config_replica.h"

#include <algorithm>
#include <utility>

namespace lemoncroft::replicated_config {

using raft::NodeId;

namespace {

constexpr int kMaxDispatchRounds = 16;

}  // namespace

ConfigReplica::ConfigReplica(ConfigReplicaOptions options, InstanceId self_instance, DocumentChecks checks,
                             std::uint64_t seed, Time now)
    : options_(std::move(options)),
      self_instance_(self_instance),
      document_checks_(std::move(checks)),
      random_(seed),
      holder_(options_.lease),
      next_renewal_at_(now),
      voters_(options_.initial_voters),
      admission_(options_.name, options_.initial_voters, options_.safety_checks.admission),
      state_machine_(options_.safety_checks.state_machine),
      grantor_(options_.lease) {}

std::vector<ConfigReplicaOutput> ConfigReplica::TakeOutputs() { return std::exchange(outputs_, {}); }

void ConfigReplica::Send(const std::variant<NodeId, InstanceId>& to, MessageBody body) {
  Message message{options_.name, std::move(body)};
  const auto* name = std::get_if<NodeId>(&to);
  const auto* instance = std::get_if<InstanceId>(&to);
  if ((name != nullptr && *name == options_.name) || (instance != nullptr && *instance == self_instance_))
    messages_to_self_.push_back(std::move(message));
  else
    outputs_.push_back(SendMessage{to, std::move(message)});
}

void ConfigReplica::SendToLeader(MessageBody body) {
  if (!leader_.empty()) return Send(leader_, std::move(body));
  if (!voters_.empty()) Send(voters_[next_voter_++ % voters_.size()], std::move(body));
}

ConfigReplica::Time ConfigReplica::NextDeadline() const {
  Time next = next_renewal_at_;
  for (const auto& [id, request] : pending_requests_)
    next = std::min({next, request.next_attempt, request.deadline});
  const auto& state = admission_.state();
  if (state && (*state == VoterAdmission::State::kQueryingVoters ||
                *state == VoterAdmission::State::kAwaitingOperator))
    next = std::min(next, next_hello_at_);
  if (raft_) next = std::min(next, raft_->NextDeadline());
  if (in_flight_change_ && !in_flight_change_->proposed) next = std::min(next, in_flight_change_->deadline);
  if (in_flight_voter_change_) next = std::min(next, next_admit_message_at_);
  return next;
}

void ConfigReplica::Tick(Time now) {
  if (raft_ && now >= raft_->NextDeadline()) raft_->Tick(now);
  RunAdmission(now);
  if (now >= next_renewal_at_) RenewLease(now);
  RetryRequests(now);
  DispatchPendingOutputs(now);
}

void ConfigReplica::Receive(Time now, InstanceId from, const Message& message) {
  std::visit([&](const auto& body) { Handle(now, from, message, body); }, message.body);
  DispatchPendingOutputs(now);
}

void ConfigReplica::TransferLeadership(Time now) {
  if (!raft_) return;
  raft_->TransferLeadership(now);
  DispatchPendingOutputs(now);
}

void ConfigReplica::DispatchPendingOutputs(Time now) {
  for (int round = 0; round < kMaxDispatchRounds; ++round) {
    DrainRaftOutputs(now);
    RunLeaderDuties(now);
    std::vector<Message> messages = std::exchange(messages_to_self_, {});
    if (messages.empty()) break;
    for (const Message& message : messages)
      std::visit([&](const auto& body) { Handle(now, self_instance_, message, body); }, message.body);
  }
  DrainRaftOutputs(now);
  FetchMissingDocuments(now);
  ReportLeaseChanges();
}

void ConfigReplica::ReportLeaseChanges() {
  const Version active_version = holder_.active_version();
  if (active_version != announced_version_ && documents_.IsPrepared(active_version)) {
    announced_version_ = active_version;
    outputs_.push_back(VersionActivated{active_version});
    documents_.DropBefore(active_version);
  }
  if (std::exchange(clock_rates_differ_, holder_.clock_rates_differ()) != holder_.clock_rates_differ())
    EmitLogEvent(true, holder_.clock_rates_differ() ? "clock rates of this proxy and the leader differ by "
                                                      "more than is allowed: this proxy is isolated"
                                                    : "clock rates of this proxy and the leader agree again");
}

}  // namespace lemoncroft::replicated_config

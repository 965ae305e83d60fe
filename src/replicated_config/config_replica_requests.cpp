// The requests of operators in a ConfigReplica. Each is sent to the leader until it responds or the deadline
// passes.
#include <utility>

#include "replicated_config/config_replica.h"

namespace lemoncroft::replicated_config {

using namespace std::chrono_literals;

namespace {

constexpr Duration kRequestRetryInterval = 200ms;
constexpr std::size_t kMaxPendingRequests = 64;

}  // namespace

void ConfigReplica::ProposeChange(Time now, const ConfigChange& change, Time deadline) {
  SubmitRequest(now, change.id, ProposeRequest{change}, deadline);
}

void ConfigReplica::ChangeVoters(Time now, const VoterChange& change, Time deadline) {
  SubmitRequest(now, change.id, change, deadline);
}

void ConfigReplica::ReadCommitted(Time now, const std::string& id, Time deadline) {
  SubmitRequest(now, id, ReadRequest{id}, deadline);
}

void ConfigReplica::SubmitRequest(Time now, const std::string& id, MessageBody body, Time deadline) {
  if (pending_requests_.size() >= kMaxPendingRequests) {
    outputs_.push_back(
        RequestCompleted{{id, ChangeStatus::kRejected, 0, "too many requests of operators are pending"}, {}});
    return;
  }
  pending_requests_[id] = {std::move(body), deadline, now};
  RetryRequests(now);
  DispatchPendingOutputs(now);
}

void ConfigReplica::RetryRequests(Time now) {
  std::vector<ChangeOutcome> late;
  for (auto& [id, request] : pending_requests_) {
    if (now >= request.deadline) {
      late.push_back({id, ChangeStatus::kUnknown, holder_.latest_version(), "no leader responded in time"});
    } else if (now >= request.next_attempt) {
      request.next_attempt = now + kRequestRetryInterval;
      SendToLeader(request.body);
    }
  }
  for (const ChangeOutcome& outcome : late) CompleteRequest(outcome);
}

void ConfigReplica::CompleteRequest(const ChangeOutcome& outcome, std::optional<ReadResponse> read) {
  if (pending_requests_.erase(outcome.id) > 0) outputs_.push_back(RequestCompleted{outcome, std::move(read)});
}

// The outcome names the latest version that the leader knows. Without it, the next request of this proxy
// would be based on an older version until the next renewal of its lease.
void ConfigReplica::Handle(Time, InstanceId, const Message&, const ChangeResult& body) {
  holder_.ObserveCommitted(body.outcome.version);
  CompleteRequest(body.outcome);
}

void ConfigReplica::Handle(Time, InstanceId, const Message&, const ReadResponse& body) {
  holder_.ObserveCommitted(body.latest_version);
  CompleteRequest({body.id, ChangeStatus::kCommitted, body.latest_version, {}}, body);
}

}  // namespace lemoncroft::replicated_config

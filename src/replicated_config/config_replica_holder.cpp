// The lease holder in a ConfigReplica: renews the lease, finds the leader, and fetches the documents of
// versions. Every proxy is a lease holder.
#include <algorithm>
#include <utility>

#include "replicated_config/config_replica.h"

namespace lemoncroft::replicated_config {

using namespace std::chrono_literals;

namespace {

constexpr Duration kRenewalRetryInterval = 120ms;  // used while there is no recent grant
// The minimum time between two renewals that NotLeader redirects.
constexpr Duration kLeaderHintRetryInterval = 20ms;
constexpr Duration kFetchRetryInterval = 150ms;

}  // namespace

void ConfigReplica::RenewLease(Time now) {
  // Without a recent grant, another voter may be the leader by now, and the lease is about to expire.
  const bool late = now > last_grant_at_ + options_.lease.renewal_interval * 3 / 2;
  if (late && !std::exchange(leader_hint_is_fresh_, false)) leader_.clear();
  last_renewal_at_ = now;
  next_renewal_at_ = now + (late ? kRenewalRetryInterval : options_.lease.renewal_interval);
  if (raft_ && !raft_->leader().empty()) leader_ = raft_->leader();
  SendToLeader(LeaseRequest{holder_.RequestRenewal(now), options_.format, incompatible_version_});
}

std::optional<Version> ConfigReplica::UsableVersion(Time now) const {
  const std::optional<Version> version = holder_.UsableVersion(now);
  return version && documents_.IsPrepared(*version) ? version : std::nullopt;
}

void ConfigReplica::Handle(Time now, InstanceId, const Message& message, const LeaseResponse& body) {
  last_grant_at_ = now;
  leader_ = message.sender;
  if (!body.voters.empty()) voters_ = body.voters;
  holder_.HandleGrant(now, body.grant);
}

void ConfigReplica::Handle(Time now, InstanceId, const Message& message, const NotLeader& body) {
  if (body.leader_hint.empty() || body.leader_hint == message.sender) {
    if (leader_ == message.sender) leader_.clear();
    return;
  }
  const bool changed = leader_ != body.leader_hint;
  leader_ = body.leader_hint;
  if (!changed) return;
  // Retry at the new leader soon, but not at once: while there is no leader, voters may name each other in a
  // circle.
  leader_hint_is_fresh_ = true;
  const Time next = std::max(now, last_renewal_at_ + kLeaderHintRetryInterval);
  next_renewal_at_ = std::min(next_renewal_at_, next);
  for (auto& [id, request] : pending_requests_) request.next_attempt = std::min(request.next_attempt, next);
}

// ---- Documents ----

const std::string* ConfigReplica::FindDocument(Version version) const {
  if (const VersionRecord* record = raft_ ? state_machine_.Find(version) : nullptr) return &record->document;
  return documents_.Find(version);
}

void ConfigReplica::StoreDocument(Version version, const std::string& document) {
  if (documents_.Store(version, document)) outputs_.push_back(DocumentReceived{version, document});
}

// Fetches the active version first, then the latest one.
void ConfigReplica::FetchMissingDocuments(Time now) {
  for (const Version wanted : {holder_.active_version(), holder_.latest_version()}) {
    if (documents_.IsPrepared(wanted) || documents_.IsDelivered(wanted)) continue;
    if (const std::string* document = FindDocument(wanted)) {
      StoreDocument(wanted, std::string(*document));
      continue;
    }
    if (now < next_fetch_at_) return;
    next_fetch_at_ = now + kFetchRetryInterval;
    // Alternates between the leader, or the next voter if the leader is unknown, and a random peer, to spread
    // the load of large fleets.
    if (++fetch_attempts_ % 2 == 1 || peers_.empty())
      SendToLeader(DocumentRequest{wanted});
    else
      Send(peers_[random_() % peers_.size()], DocumentRequest{wanted});
    return;
  }
}

void ConfigReplica::MarkPrepared(Time now, Version version) {
  documents_.MarkPrepared(version);
  holder_.MarkPrepared(version);
  next_renewal_at_ = now;  // report it at once, since the leader may be waiting for it
  DispatchPendingOutputs(now);
}

void ConfigReplica::MarkIncompatible(Version version) {
  incompatible_version_ = std::max(incompatible_version_, version);
}

void ConfigReplica::Handle(Time, InstanceId from, const Message&, const DocumentRequest& body) {
  if (const std::string* document = FindDocument(body.version))
    Send(from, DocumentResponse{body.version, *document});
}

void ConfigReplica::Handle(Time now, InstanceId, const Message&, const DocumentResponse& body) {
  const bool wanted = body.version == holder_.active_version() || body.version == holder_.latest_version();
  if (!wanted || documents_.IsPrepared(body.version) || body.document.size() > kMaxDocumentBytes) return;
  next_fetch_at_ = now;
  StoreDocument(body.version, body.document);
}

void ConfigReplica::Handle(Time, InstanceId from, const Message&, const ValidateRequest& body) {
  const auto checked = document_checks_.check_compatible(body.document);
  Send(from, ValidateResponse{body.id, checked ? std::string() : checked.error().reason});
}

}  // namespace lemoncroft::replicated_config

#include "proxy/ejection_replicator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "proxy/unix_time.h"
#include "replicated_config/document.h"

namespace lemoncroft::proxy {

using replicated_config::ChangeStatus;
using replicated_config::Document;
using replicated_config::EjectionAction;
using replicated_config::EjectionProposal;
using replicated_config::EjectionRequest;
using replicated_config::EjectionRequests;
using replicated_config::RequestCompleted;
using replicated_config::Version;
using runtime::Now;
using runtime::Task;
using runtime::Time;
using namespace std::chrono_literals;

namespace {

constexpr auto kReplyTimeout = 850ms;  // of an operator's command
constexpr auto kReplyPollInterval = 10ms;
constexpr auto kProposalTimeout = 4000ms;
constexpr auto kRetryInterval = 100ms;
constexpr auto kRejectedRetryInterval = 2000ms;
constexpr auto kDocumentPollInterval = 10ms;
// Well below the time for which requests may still be sent to a drained engine.
constexpr auto kStoreWatchInterval = 50ms;

std::set<std::string> IdsOf(const std::vector<EjectionRequest>& requests) {
  std::set<std::string> ids;
  for (const EjectionRequest& request : requests) ids.insert(request.id);
  return ids;
}

// Returns the author of a change, which names the proxy and the requests that change the document.
std::string AuthorOf(const std::string& proxy_name, const Document& before,
                     const std::vector<EjectionRequest>& requests) {
  std::string author = proxy_name;
  for (const EjectionRequest& request : requests) {
    const bool ejects = request.action == EjectionAction::kEject;
    if (before.ejected_engines.contains(request.engine) != ejects)
      author += (ejects ? " exclude " : " include ") + request.engine;
  }
  return author.substr(0, replicated_config::kMaxAuthorBytes);
}

}  // namespace

EjectionReplicator::EjectionReplicator(runtime::Loop& loop, FleetConfigClient& fleet, std::string proxy_name,
                                       std::unique_ptr<hot_restart::SharedFile> file,
                                       std::function<void()> on_change)
    : loop_(loop),
      fleet_(fleet),
      proxy_name_(std::move(proxy_name)),
      on_change_(std::move(on_change)),
      store_(std::move(file)) {}

void EjectionReplicator::Start() {
  for (const EjectionRequest& request : pending())
    spdlog::info("rules event=ejection_taken_over engine={} ejects={} id={}", request.engine,
                 request.action == EjectionAction::kEject, request.id);
  on_change_();
  loop_.Spawn(ProposePending());
  if (store_.is_shared()) loop_.Spawn(WatchStore());
}

void EjectionReplicator::Update(const std::function<void(EjectionRequests&)>& change) {
  store_.Update(change);
  ForgetFailuresOfSettled();
  on_change_();
  pending_changed_.Notify();
}

void EjectionReplicator::ForgetFailuresOfSettled() {
  const std::set<std::string> pending_ids = IdsOf(pending());
  std::erase_if(failures_, [&](const auto& failure) { return !pending_ids.contains(failure.first); });
  std::erase_if(propose_alone_, [&](const std::string& id) { return !pending_ids.contains(id); });
}

void EjectionReplicator::OnActivated(Version active_version) {
  EjectionRequests marked = store_.requests();
  if (!marked.MarkActivated(active_version)) return;
  store_.Update([&](EjectionRequests& requests) { requests.MarkActivated(active_version); });
}

Task<> EjectionReplicator::WatchStore() {
  for (;; co_await loop_.Sleep(kStoreWatchInterval)) {
    if (!store_.Refresh()) continue;
    ForgetFailuresOfSettled();
    on_change_();
    pending_changed_.Notify();
  }
}

// ---- Operators' requests ----

Task<admin::Reply> EjectionReplicator::Replicate(admin::Command command, admin::Reply reply,
                                                 bool was_ejected) {
  EjectionRequest request;
  request.id = fleet_.NewRequestId();
  request.engine = command.engine;
  request.action =
      command.type == admin::CommandType::kEject ? EjectionAction::kEject : EjectionAction::kReturnToService;
  request.was_ejected = was_ejected;
  Update([&](EjectionRequests& requests) { requests.Add(request); });
  const auto is_settled = [&] {
    return store_.requests().CommittedVersion(request.id).has_value() || failures_.contains(request.id);
  };
  const Time deadline = Now() + kReplyTimeout;
  while (!is_settled() && Now() < deadline) co_await loop_.Sleep(kReplyPollInterval);
  if (!store_.requests().CommittedVersion(request.id))
    Update([&](EjectionRequests& requests) { requests.MarkAnswered(request.id); });
  reply.message = OutcomeText(request);
  co_return reply;
}

std::string EjectionReplicator::OutcomeText(const EjectionRequest& request) const {
  if (const std::optional<Version> version = store_.requests().CommittedVersion(request.id))
    return "for the fleet, version " + std::to_string(*version);
  std::string text = request.action == EjectionAction::kEject ? "here; " : "later; ";
  text += "the fleet has not agreed yet and is asked again until it does";
  if (const auto failure = failures_.find(request.id); failure != failures_.end())
    text += ": " + failure->second.reason;
  if (!store_.IsStored(request.id)) text += "; it can't be kept in $TMPDIR yet";
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

// ---- Proposals ----

Task<> EjectionReplicator::ProposePending() {
  for (;;) {
    if (store_.requests().proposal()) {
      co_await ResolveProposal();
      continue;
    }
    std::vector<EjectionRequest> batch = NextBatch();
    if (batch.empty())
      co_await runtime::Waiter(loop_, &pending_changed_, NextRetryAt());
    else
      co_await StartProposal(std::move(batch));
  }
}

std::vector<EjectionRequest> EjectionReplicator::NextBatch() const {
  const Time now = Now();
  std::vector<EjectionRequest> batch = store_.requests().NextBatch([&](const EjectionRequest& request) {
    const auto failure = failures_.find(request.id);
    return failure == failures_.end() || failure->second.retry_at <= now;
  });
  const auto proposed_alone = [&](const EjectionRequest& request) {
    return propose_alone_.contains(request.id);
  };
  if (batch.empty()) return batch;
  if (proposed_alone(batch.front()))
    batch.resize(1);
  else
    std::erase_if(batch, proposed_alone);
  return batch;
}

Time EjectionReplicator::NextRetryAt() const {
  const Time now = Now();
  Time next = runtime::kNever;
  for (const auto& [id, failure] : failures_)
    if (failure.retry_at > now) next = std::min(next, failure.retry_at);
  return next;
}

Task<> EjectionReplicator::StartProposal(std::vector<EjectionRequest> batch) {
  const Version base_version = fleet_.latest_version();
  const std::string* text = fleet_.FindDocument(base_version);
  if (base_version > 0 && text == nullptr) {
    co_await loop_.Sleep(kDocumentPollInterval);
    co_return;
  }
  const Document before =
      replicated_config::ParseDocument(text == nullptr ? std::string_view() : *text).value_or(Document());
  const Document after = ApplyRequests(before, batch);
  if (after == before) {
    co_await ConfirmInEffect(IdsOf(batch), base_version);
    co_return;
  }
  EjectionProposal proposal;
  proposal.change.id = fleet_.NewRequestId();
  proposal.change.base_version = base_version;
  proposal.change.document = replicated_config::SerializeDocument(after);
  proposal.change.author = AuthorOf(proxy_name_, before, batch);
  proposal.change.proposed_at_unix_ms = UnixMs();
  proposal.request_ids = IdsOf(batch);
  Update([&](EjectionRequests& requests) { requests.Begin(proposal); });
}

Task<> EjectionReplicator::ConfirmInEffect(std::set<std::string> request_ids, Version version) {
  if (!fleet_.CanSubmitRequest()) {
    co_await loop_.Sleep(kRetryInterval);
    co_return;
  }
  const RequestCompleted completion = co_await fleet_.ReadCommitted(kProposalTimeout);
  if (!completion.read) {
    RecordUnknown(request_ids, completion.outcome.reason);
    co_await loop_.Sleep(kRetryInterval);
  } else if (completion.read->latest_version == version) {
    Update([&](EjectionRequests& requests) { requests.Confirm(request_ids, version); });
  } else {
    co_await loop_.Sleep(kDocumentPollInterval);
  }
}

// Sends the proposal, which this process, its predecessor or its successor has stored, until its outcome is
// known.
Task<> EjectionReplicator::ResolveProposal() {
  if (!fleet_.CanSubmitRequest()) {
    co_await loop_.Sleep(kRetryInterval);
    co_return;
  }
  const EjectionProposal proposal = *store_.requests().proposal();
  const RequestCompleted completion = co_await fleet_.Propose(proposal.change, kProposalTimeout);
  const std::string& change_id = proposal.change.id;
  switch (completion.outcome.status) {
    case ChangeStatus::kCommitted:
      Update([&](EjectionRequests& requests) { requests.Commit(change_id, completion.outcome.version); });
      break;
    case ChangeStatus::kConflict:
      Update([&](EjectionRequests& requests) { requests.Abandon(change_id); });
      co_await loop_.Sleep(kDocumentPollInterval);
      break;
    case ChangeStatus::kRejected:
      RecordRejection(proposal, completion.outcome.reason);
      Update([&](EjectionRequests& requests) { requests.Abandon(change_id); });
      break;
    case ChangeStatus::kUnknown:
      RecordUnknown(proposal.request_ids, completion.outcome.reason);
      co_await loop_.Sleep(kRetryInterval);
      break;
  }
}

// Requests that were rejected together are proposed one by one, so that one of them doesn't hold up others.
void EjectionReplicator::RecordRejection(const EjectionProposal& proposal, const std::string& reason) {
  if (proposal.request_ids.size() > 1) {
    propose_alone_.insert(proposal.request_ids.begin(), proposal.request_ids.end());
    return;
  }
  for (const std::string& id : proposal.request_ids) failures_[id] = {reason, Now() + kRejectedRetryInterval};
}

void EjectionReplicator::RecordUnknown(const std::set<std::string>& request_ids, const std::string& reason) {
  for (const std::string& id : request_ids) failures_[id] = {reason, Now()};
}

}  // namespace lemoncroft::proxy

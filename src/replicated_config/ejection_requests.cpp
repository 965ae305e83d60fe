#include "replicated_config/ejection_requests.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lemoncroft::replicated_config {

void EjectionRequests::Add(EjectionRequest request) {
  std::erase_if(pending_, [&](const EjectionRequest& earlier) {
    return earlier.engine == request.engine && earlier.answered && !IsProposed(earlier);
  });
  pending_.push_back(std::move(request));
}

void EjectionRequests::MarkAnswered(const std::string& id) {
  for (EjectionRequest& request : pending_)
    if (request.id == id) request.answered = true;
}

std::vector<EjectionRequest> EjectionRequests::NextBatch(const Filter& may_propose) const {
  std::vector<EjectionRequest> batch;
  std::set<std::string> engines_seen;
  for (const EjectionRequest& request : pending_) {
    if (!engines_seen.insert(request.engine).second) continue;
    if (may_propose(request)) batch.push_back(request);
  }
  return batch;
}

bool EjectionRequests::Begin(EjectionProposal proposal) {
  if (proposal_) return false;
  for (const std::string& id : proposal.request_ids) {
    const bool is_pending =
        std::any_of(pending_.begin(), pending_.end(), [&](const auto& request) { return request.id == id; });
    if (!is_pending) return false;
  }
  proposal_ = std::move(proposal);
  return true;
}

void EjectionRequests::Commit(const std::string& change_id, Version version) {
  if (!proposal_ || proposal_->change.id != change_id) return;
  MoveToCommitted(std::exchange(proposal_, std::nullopt)->request_ids, version);
}

void EjectionRequests::Abandon(const std::string& change_id) {
  if (proposal_ && proposal_->change.id == change_id) proposal_.reset();
}

void EjectionRequests::Confirm(const std::set<std::string>& ids, Version version) {
  std::set<std::string> confirmed;
  for (const EjectionRequest& request : pending_)
    if (ids.contains(request.id) && !IsProposed(request)) confirmed.insert(request.id);
  MoveToCommitted(confirmed, version);
}

void EjectionRequests::MoveToCommitted(const std::set<std::string>& ids, Version version) {
  for (const EjectionRequest& request : pending_)
    if (ids.contains(request.id))
      committed_.push_back({request.id, request.engine, request.action, version, false});
  std::erase_if(pending_, [&](const EjectionRequest& request) { return ids.contains(request.id); });
}

bool EjectionRequests::MarkActivated(Version active_version) {
  bool changed = false;
  std::size_t activated = 0;
  for (CommittedEjection& request : committed_) {
    if (request.version <= active_version) changed |= !std::exchange(request.activated, true);
    activated += request.activated ? 1 : 0;
  }
  std::size_t excess = activated - std::min(activated, kMaxActivated);
  changed |= excess > 0;
  std::erase_if(committed_, [&](const CommittedEjection& request) {
    if (!request.activated || excess == 0) return false;
    --excess;
    return true;
  });
  return changed;
}

std::optional<Version> EjectionRequests::CommittedVersion(const std::string& id) const {
  const auto it = std::find_if(committed_.begin(), committed_.end(),
                               [&](const CommittedEjection& request) { return request.id == id; });
  if (it == committed_.end()) return std::nullopt;
  return it->version;
}

std::set<std::string> EjectionRequests::EjectedEngines(const Document& active) const {
  std::set<std::string> ejected = active.ejected_engines;
  std::map<std::string, const CommittedEjection*> last_committed;
  for (const CommittedEjection& request : committed_) last_committed[request.engine] = &request;
  for (const auto& [engine, request] : last_committed)
    if (request->action == EjectionAction::kEject && !request->activated) ejected.insert(engine);
  for (const EjectionRequest& request : pending_)
    if (request.action == EjectionAction::kEject || request.was_ejected) ejected.insert(request.engine);
  return ejected;
}

EjectionRequests EjectionRequests::Restore(std::vector<EjectionRequest> pending,
                                           std::optional<EjectionProposal> proposal,
                                           std::vector<CommittedEjection> committed) {
  EjectionRequests restored;
  restored.pending_ = std::move(pending);
  restored.proposal_ = std::move(proposal);
  restored.committed_ = std::move(committed);
  return restored;
}

Document ApplyRequests(Document document, const std::vector<EjectionRequest>& requests) {
  for (const EjectionRequest& request : requests) {
    if (request.action == EjectionAction::kEject)
      document.ejected_engines.insert(request.engine);
    else
      document.ejected_engines.erase(request.engine);
  }
  return document;
}

}  // namespace lemoncroft::replicated_config

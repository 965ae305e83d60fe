#include "proxy/ejection_request_store.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace lemoncroft::proxy {
namespace {

using nlohmann::ordered_json;
using replicated_config::CommittedEjection;
using replicated_config::EjectionAction;
using replicated_config::EjectionProposal;
using replicated_config::EjectionRequest;
using replicated_config::EjectionRequests;

// The members of the stored JSON object.
constexpr const char* kRevision = "revision";
constexpr const char* kPending = "pending";
constexpr const char* kProposal = "proposal";
constexpr const char* kCommitted = "committed";
constexpr const char* kId = "id";
constexpr const char* kEngine = "engine";
constexpr const char* kEjects = "ejects";
constexpr const char* kWasEjected = "was_ejected";
constexpr const char* kAnswered = "answered";
constexpr const char* kVersion = "version";
constexpr const char* kActivated = "activated";
constexpr const char* kBaseVersion = "base_version";
constexpr const char* kDocument = "document";
constexpr const char* kAuthor = "author";
constexpr const char* kProposedAtUnixMs = "proposed_at_unix_ms";
constexpr const char* kRequests = "requests";

struct StoredText {
  std::uint64_t revision = 0;
  EjectionRequests requests;
};

EjectionAction ActionOf(const ordered_json& json) {
  return json.at(kEjects).get<bool>() ? EjectionAction::kEject : EjectionAction::kReturnToService;
}

ordered_json ToJson(const EjectionProposal& proposal) {
  return {{kId, proposal.change.id},
          {kBaseVersion, proposal.change.base_version},
          {kDocument, proposal.change.document},
          {kAuthor, proposal.change.author},
          {kProposedAtUnixMs, proposal.change.proposed_at_unix_ms},
          {kRequests, proposal.request_ids}};
}

EjectionProposal ProposalFromJson(const ordered_json& json) {
  EjectionProposal proposal;
  json.at(kId).get_to(proposal.change.id);
  json.at(kBaseVersion).get_to(proposal.change.base_version);
  json.at(kDocument).get_to(proposal.change.document);
  json.at(kAuthor).get_to(proposal.change.author);
  json.at(kProposedAtUnixMs).get_to(proposal.change.proposed_at_unix_ms);
  json.at(kRequests).get_to(proposal.request_ids);
  return proposal;
}

std::string Encode(std::uint64_t revision, const EjectionRequests& requests) {
  ordered_json json = {
      {kRevision, revision}, {kPending, ordered_json::array()}, {kCommitted, ordered_json::array()}};
  for (const EjectionRequest& request : requests.pending())
    json[kPending].push_back({{kId, request.id},
                              {kEngine, request.engine},
                              {kEjects, request.action == EjectionAction::kEject},
                              {kWasEjected, request.was_ejected},
                              {kAnswered, request.answered}});
  if (requests.proposal()) json[kProposal] = ToJson(*requests.proposal());
  for (const CommittedEjection& request : requests.committed())
    json[kCommitted].push_back({{kId, request.id},
                                {kEngine, request.engine},
                                {kEjects, request.action == EjectionAction::kEject},
                                {kVersion, request.version},
                                {kActivated, request.activated}});
  return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

// Returns nullopt for a text that is not in this program's format.
std::optional<StoredText> Decode(const std::string& text) {
  try {
    const ordered_json json = ordered_json::parse(text);
    std::vector<EjectionRequest> pending;
    for (const ordered_json& entry : json.at(kPending))
      pending.push_back(
          {entry.at(kId), entry.at(kEngine), ActionOf(entry), entry.at(kWasEjected), entry.at(kAnswered)});
    std::optional<EjectionProposal> proposal;
    if (json.contains(kProposal)) proposal = ProposalFromJson(json.at(kProposal));
    std::vector<CommittedEjection> committed;
    for (const ordered_json& entry : json.at(kCommitted))
      committed.push_back(
          {entry.at(kId), entry.at(kEngine), ActionOf(entry), entry.at(kVersion), entry.at(kActivated)});
    return StoredText{json.at(kRevision), EjectionRequests::Restore(std::move(pending), std::move(proposal),
                                                                    std::move(committed))};
  } catch (const ordered_json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

EjectionRequestStore::EjectionRequestStore(std::unique_ptr<hot_restart::SharedFile> file)
    : file_(std::move(file)) {
  Refresh();
}

void EjectionRequestStore::Update(const std::function<void(EjectionRequests&)>& change) {
  bool is_changed = false;
  const bool is_stored = file_ != nullptr && file_->Update([&](const std::string& text) {
    Adopt(text);
    change(requests_);
    is_changed = true;
    return Encode(revision_ + 1, requests_);
  });
  if (!is_changed) change(requests_);
  if (file_ == nullptr) return;
  has_unstored_change_ = !is_stored;
  if (is_stored) {
    ++revision_;
    MarkStored();
  } else if (!std::exchange(reported_unwritable_, true)) {
    spdlog::warn("a change of the ejection requests cannot be stored in $TMPDIR yet");
  }
}

bool EjectionRequestStore::Refresh() {
  if (file_ == nullptr || (!has_unstored_change_ && !file_->MayHaveChanged())) return false;
  const EjectionRequests before = requests_;
  if (has_unstored_change_)
    Update([](EjectionRequests&) {});
  else if (const std::optional<std::string> text = file_->Read())
    Adopt(*text);
  return !(requests_ == before);
}

bool EjectionRequestStore::IsStored(const std::string& request_id) const {
  return file_ == nullptr || stored_ids_.contains(request_id);
}

void EjectionRequestStore::Adopt(const std::string& text) {
  if (text.empty()) return;  // nothing was stored yet, or the file was removed: the next change writes it
  std::optional<StoredText> stored = Decode(text);
  if (!stored) {
    if (!std::exchange(reported_unreadable_, true))
      spdlog::warn("the ejection requests in $TMPDIR are not in this program's format and are replaced");
    return;
  }
  if (stored->revision == revision_) return;
  std::vector<EjectionRequest> unstored;
  for (const EjectionRequest& request : requests_.pending())
    if (!stored_ids_.contains(request.id)) unstored.push_back(request);
  revision_ = stored->revision;
  requests_ = std::move(stored->requests);
  MarkStored();
  for (EjectionRequest& request : unstored) requests_.Add(std::move(request));
}

void EjectionRequestStore::MarkStored() {
  stored_ids_.clear();
  for (const EjectionRequest& request : requests_.pending()) stored_ids_.insert(request.id);
  for (const CommittedEjection& request : requests_.committed()) stored_ids_.insert(request.id);
}

}  // namespace lemoncroft::proxy

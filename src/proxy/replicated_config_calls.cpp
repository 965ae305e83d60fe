// The requests of a ReplicatedConfigService to the leader, and the operators' calls that cause them: JSON
// objects sent over the peer transport.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "proxy/replicated_config_call_fields.h"
#include "proxy/replicated_config_service.h"
#include "proxy/unix_time.h"

namespace lemoncroft::proxy {

using nlohmann::ordered_json;
using replicated_config::Version;
using runtime::Duration;
using runtime::Now;
using runtime::Task;
using runtime::Time;
using namespace std::chrono_literals;

namespace {

constexpr auto kForwardTimeout = 1500ms;
constexpr Duration kMinCallTimeout = 100ms, kMaxCallTimeout = 10s;

ordered_json OutcomeJson(const replicated_config::ChangeOutcome& outcome) {
  return {{calls::kRequestId, outcome.id},
          {calls::kOutcome, replicated_config::NameOf(outcome.status)},
          {calls::kVersion, outcome.version},
          {calls::kReason, outcome.reason}};
}

std::string Dump(const ordered_json& json) {
  return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string ErrorResponse(const std::string& text) { return Dump({{calls::kError, text}}); }

std::string TextField(const ordered_json& call, const char* key) {
  const auto it = call.find(key);
  return it != call.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::uint64_t NumberField(const ordered_json& call, const char* key) {
  const auto it = call.find(key);
  return it != call.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

}  // namespace

std::string ReplicatedConfigService::StatusText() const {
  const replicated_config::LeaseHolder& holder = replica_.holder();
  const Time now = Now();
  const auto ms = [](Duration span) { return std::chrono::duration<double, std::milli>(span).count(); };
  ordered_json out = {{"proxy", name_},
                      {"fleet", fleet_.settings().name},
                      {"at_unix_ms", UnixMs()},
                      {"mono_us", ToMonotonicUs(now)},
                      {"version", active_version_},
                      {"in_force", holder.active_version()},
                      {"newest", holder.latest_version()},
                      {"prepared", holder.prepared_version()},
                      {"cut_off", !UsableVersion()},
                      {"lease_left_ms", ms(holder.lease_expiry() - now)},
                      {"rates_apart", holder.clock_rates_differ()},
                      {"leader", replica_.leader()},
                      {"leads", replica_.Leads(now)},
                      {"votes", replica_.raft() != nullptr},
                      {"asked_by_hand", ordered_json::object()},
                      {"proxies", ordered_json::array()}};
  for (const replicated_config::EjectionRequest& request : ejections_.pending())
    out["asked_by_hand"][request.engine] =
        request.action == replicated_config::EjectionAction::kEject ? "exclude" : "include";
  if (const raft::Raft* raft = replica_.raft()) {
    out["voters"] = raft->voters();
    out["term"] = raft->term();
    out["commit"] = raft->commit_index();
    out["holders"] = replica_.HoldersByName(now);
  }
  for (const auto& [id, member] : fleet_.view().members().all()) {
    std::string published;
    for (const gossip::Attribute& a : member.record.attributes)
      if (a.key == kStateAttribute) published = a.value;
    const bool self = id == fleet_.view().members().self();
    out["proxies"].push_back({{"name", member.record.name},
                              {"generation", member.record.generation},
                              {"alive", member.status == gossip::Status::kAlive},
                              {"rules", self ? published_state_ : published}});
  }
  return Dump(out);
}

// Returns the stored versions without their documents. Requires that this proxy is a voter.
std::string ReplicatedConfigService::HistoryText() const {
  const replicated_config::ConfigStateMachine& state_machine = *replica_.state_machine();
  ordered_json out = {{"versions", ordered_json::array()}};
  for (const auto& [version, record] : state_machine.versions())
    out["versions"].push_back({{"version", version},
                               {"by", record.author},
                               {"at_unix_ms", record.proposed_at_unix_ms},
                               {"bytes", record.document.size()},
                               {"in_force", version == state_machine.active_version()}});
  return Dump(out);
}

// Forwards a call for data that only voters have to the first other voter that answers.
Task<std::string> ReplicatedConfigService::ForwardToVoter(std::string bytes) {
  for (const std::string& name : settings_.voters) {
    const gossip::Member* voter = FindProcess(name);
    if (voter == nullptr || voter->status == gossip::Status::kFailed || name == name_) continue;
    auto answer = co_await peer_transport::CallPeer(
        loop_, fleet_.settings().name, peer_transport::ToAddress(voter->record.address), bytes,
        Now() + kForwardTimeout, peer_transport::ToAddress(fleet_.link().listen_address()));
    if (answer) co_return std::move(*answer);
  }
  co_return ErrorResponse("no voter answers");
}

// ---- Requests to the leader ----

std::string ReplicatedConfigService::NewRequestId() const {
  return fmt::format("{}-{:08x}-{}", name_.substr(0, 24),
                     static_cast<std::uint32_t>(fleet_.view().members().self() >> 32),
                     ++last_request_number_);
}

Task<replicated_config::RequestCompleted> ReplicatedConfigService::AwaitCompletion(std::string id) {
  const auto call = pending_calls_.at(id);
  while (!call->result) co_await runtime::Waiter(loop_, &call->completed, runtime::kNever);
  pending_calls_.erase(id);
  co_return *call->result;
}

Task<replicated_config::RequestCompleted> ReplicatedConfigService::ReadCommitted(Duration timeout) {
  std::string id = NewRequestId();
  pending_calls_[id] = std::make_shared<PendingCall>();
  replica_.ReadCommitted(Now(), id, Now() + timeout);
  DispatchOutputs();
  co_return co_await AwaitCompletion(id);
}

Task<replicated_config::RequestCompleted> ReplicatedConfigService::Propose(
    replicated_config::ConfigChange change, Duration timeout) {
  std::string id = change.id;
  if (pending_calls_.size() >= kMaxPendingCalls || pending_calls_.contains(id))
    co_return replicated_config::RequestCompleted{
        {id, replicated_config::ChangeStatus::kRejected, 0, "too many calls at once"}, {}};
  pending_calls_[id] = std::make_shared<PendingCall>();
  replica_.ProposeChange(Now(), change, Now() + timeout);
  DispatchOutputs();
  co_return co_await AwaitCompletion(id);
}

// ---- Operators' calls ----

// Proposes a document, changes the voters or reads the committed versions, and waits for the outcome. `call`
// must outlive the task.
Task<std::string> ReplicatedConfigService::HandleChangeCall(const ordered_json& call) {
  const std::string name = TextField(call, calls::kCall);
  std::string id = TextField(call, calls::kRequestId);
  if (id.empty()) id = NewRequestId();
  const auto requested_timeout = std::chrono::milliseconds(NumberField(call, calls::kTimeoutMs));
  const Duration timeout = std::clamp<Duration>(requested_timeout, kMinCallTimeout, kMaxCallTimeout);
  if (name == calls::kPropose) {
    replicated_config::ConfigChange change;
    change.id = id;
    change.base_version = NumberField(call, calls::kBaseVersion);
    change.document = TextField(call, calls::kDocument);
    change.author = TextField(call, calls::kAuthor).substr(0, replicated_config::kMaxAuthorBytes);
    change.proposed_at_unix_ms = UnixMs();
    co_return Dump(OutcomeJson((co_await Propose(std::move(change), timeout)).outcome));
  }
  if (pending_calls_.size() >= kMaxPendingCalls || pending_calls_.contains(id))
    co_return ErrorResponse("too many calls at once");
  pending_calls_[id] = std::make_shared<PendingCall>();
  if (name == calls::kReadCommitted) {
    replica_.ReadCommitted(Now(), id, Now() + timeout);
  } else {
    const bool adds = TextField(call, calls::kVoterChange) == calls::kAddVoter;
    replica_.ChangeVoters(Now(), {id, TextField(call, calls::kVoterName), adds}, Now() + timeout);
  }
  DispatchOutputs();
  const replicated_config::RequestCompleted completion = co_await AwaitCompletion(id);
  ordered_json out = OutcomeJson(completion.outcome);
  if (completion.read)
    out.update({{calls::kLatestVersion, completion.read->latest_version},
                {calls::kActiveVersion, completion.read->active_version},
                {calls::kVoters, completion.read->voters}});
  co_return Dump(out);
}

Task<std::string> ReplicatedConfigService::HandleCall(std::string bytes) {
  const ordered_json call = ordered_json::parse(bytes, nullptr, false);
  if (!call.is_object()) co_return ErrorResponse("not a call");
  const std::string name = TextField(call, calls::kCall);
  if (name == calls::kGetStatus) co_return StatusText();
  if (name == calls::kPropose || name == calls::kChangeVoters || name == calls::kReadCommitted)
    co_return co_await HandleChangeCall(call);
  const Version version = NumberField(call, calls::kVersion);
  if (name == calls::kGetDocument) {
    if (const std::string* found = replica_.FindDocument(version))
      co_return Dump({{calls::kVersion, version}, {calls::kDocument, *found}});
  }
  if (name == calls::kGetHistory && replica_.state_machine() != nullptr) co_return HistoryText();
  const bool needs_voter = name == calls::kGetDocument || name == calls::kGetHistory;
  if (needs_voter && !call.contains(calls::kForwarded)) {
    ordered_json forwarded = call;
    forwarded[calls::kForwarded] = true;
    co_return co_await ForwardToVoter(Dump(forwarded));
  }
  if (name == calls::kGetDocument)
    co_return ErrorResponse("version " + std::to_string(version) + " isn't kept");
  co_return ErrorResponse("unknown call '" + name + "'");
}

}  // namespace lemoncroft::proxy

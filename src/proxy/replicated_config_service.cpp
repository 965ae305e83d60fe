#include "proxy/replicated_config_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "proxy/config.h"
#include "proxy/voter_store.h"

namespace lemoncroft::proxy {

using replicated_config::Document;
using replicated_config::Version;
using runtime::Duration;
using runtime::Now;
using runtime::Task;
using runtime::Time;
using namespace std::chrono_literals;

namespace {

constexpr auto kPublishInterval = 50ms;             // between two checks for a changed state to publish
constexpr auto kLockedStoreRetryInterval = 200ms;   // another process of this proxy has locked the store
constexpr auto kFailedStoreRetryInterval = 2000ms;  // the store has failed
constexpr std::uint64_t kBootstrapVotersWrite = (std::uint64_t{1} << 40) - 1, kEpochShift = 40;
constexpr const char* kStoreAttribute = "store";

std::uint64_t RandomNonZero() {
  std::random_device device;
  return (std::uint64_t{device()} << 32 | device()) | 1;
}

}  // namespace

replicated_config::ConfigReplicaOptions ReplicatedConfigService::ReplicaOptionsOf(
    const operator_config::ReplicatedConfigSettings& settings, const std::string& name) {
  replicated_config::ConfigReplicaOptions options;
  options.name = name;
  options.initial_voters = settings.voters;
  options.lease.duration = settings.lease;
  options.lease.renewal_interval = settings.renewal_interval;
  options.format = replicated_config::kNewestDocumentFormat;
  return options;
}

replicated_config::DocumentChecks ReplicatedConfigService::MakeDocumentChecks() {
  using replicated_config::DocumentRejection;
  using Cause = DocumentRejection::Cause;
  using Checked = tl::expected<void, DocumentRejection>;
  replicated_config::DocumentChecks checks;
  checks.check_successor = [](const replicated_config::VersionRecord* base,
                              const std::string& text) -> Checked {
    const auto document = replicated_config::ParseDocument(text);
    if (!document) return tl::unexpected(DocumentRejection{Cause::kInvalid, document.error().Text()});
    if (base == nullptr) return {};
    const auto base_document = replicated_config::ParseDocument(base->document);
    if (!base_document) return {};
    const auto checked = replicated_config::CheckSuccessor(*base_document, *document);
    if (!checked) return tl::unexpected(DocumentRejection{Cause::kConflicts, checked.error().Text()});
    return {};
  };
  checks.check_compatible = [this](const std::string& text) -> Checked {
    const auto document = replicated_config::ParseDocument(text);
    if (!document) return tl::unexpected(DocumentRejection{Cause::kInvalid, document.error().Text()});
    const auto checked =
        replicated_config::CheckCompatible(*document, local_config_.site(), local_config_.queue());
    if (!checked) return tl::unexpected(DocumentRejection{Cause::kIncompatible, checked.error().Text()});
    return {};
  };
  checks.required_format = [](const std::string& text) -> std::uint64_t {
    const auto document = replicated_config::ParseDocument(text);
    return document ? document->format : 0;
  };
  checks.isolation_duration = [](const std::string& text) -> Duration {
    const auto document = replicated_config::ParseDocument(text);
    return document ? document->isolation.duration : Duration();
  };
  return checks;
}

ReplicatedConfigService::ReplicatedConfigService(runtime::Loop& loop, Fleet& fleet,
                                                 const operator_config::ReplicatedConfigSettings& settings,
                                                 const std::string& name,
                                                 discovery::EndpointDirectory& directory,
                                                 discovery::EndpointDirectory::UpdateCallback on_update,
                                                 LocalConfig local_config,
                                                 std::unique_ptr<hot_restart::SharedFile> shared_ejections)
    : loop_(loop),
      fleet_(fleet),
      settings_(settings),
      name_(name),
      directory_(directory),
      on_update_(std::move(on_update)),
      local_config_(std::move(local_config)),
      document_checks_(MakeDocumentChecks()),
      replica_(ReplicaOptionsOf(settings, name), fleet.view().members().self(), document_checks_,
               RandomNonZero(), Now()),
      notification_pacer_(RandomNonZero()),
      ejections_(loop, *this, name, std::move(shared_ejections), [this] { ApplyEjections(); }) {
  const bool is_voter =
      std::find(settings.voters.begin(), settings.voters.end(), name) != settings.voters.end();
  if (is_voter && settings.store.empty())
    throw ConfigError("rules: " + name + " is one of the voters: it needs a `store`");
  if (!settings.store.empty())
    worker_ = std::make_unique<storage::Worker>(
        loop, storage::Database::Options{settings.store, fleet.settings().name + "/" + name});
  fleet_.link().on_app_message = [this](const peer_transport::AppMessage& app_message) {
    if (app_message.subsystem != peer_transport::Subsystem::kReplicatedConfig) return;
    if (const auto message = replicated_config::DecodeMessage(app_message.bytes)) {
      replica_.Receive(Now(), app_message.sender, *message);
      DispatchOutputs();
    }
  };
  fleet_.link().on_call = [this](std::string bytes) { return HandleCall(std::move(bytes)); };
}

void ReplicatedConfigService::Start() {
  if (worker_) {
    opening_store_ = true;
    worker_->Open();
    loop_.Spawn(RunStore());
  }
  loop_.Spawn(RunTimers());
  loop_.Spawn(PublishState());
  ejections_.Start();
}

void ReplicatedConfigService::Shutdown() {
  replica_.TransferLeadership(Now());
  DispatchOutputs();
}

Task<> ReplicatedConfigService::RunTimers() {
  for (;;) {
    planned_deadline_ = replica_.NextDeadline();
    if (planned_deadline_ > Now()) co_await runtime::Waiter(loop_, &timer_changed_, planned_deadline_);
    planned_deadline_ = runtime::kNever;
    if (replica_.NextDeadline() <= Now()) {
      replica_.Tick(Now());
      DispatchOutputs();
    }
    co_await loop_.NextTurn();
  }
}

void ReplicatedConfigService::DispatchOutputs() {
  for (auto outputs = replica_.TakeOutputs(); !outputs.empty(); outputs = replica_.TakeOutputs())
    for (const replicated_config::ConfigReplicaOutput& output : outputs) HandleOutput(output);
  if (replica_.NextDeadline() < planned_deadline_) timer_changed_.Notify();
}

// Returns the process with that name. Of several, it prefers a live process, then one with an open store,
// then the highest generation.
const gossip::Member* ReplicatedConfigService::FindProcess(const raft::NodeId& name) const {
  const gossip::Member* best = nullptr;
  const auto rank = [](const gossip::Member& m) {
    const bool has_store = std::any_of(m.record.attributes.begin(), m.record.attributes.end(),
                                       [](const gossip::Attribute& a) { return a.key == kStoreAttribute; });
    const bool is_live = m.status == gossip::Status::kAlive || m.status == gossip::Status::kSuspect;
    return std::tuple(is_live, has_store, m.record.generation);
  };
  for (const auto& [id, member] : fleet_.view().members().all())
    if (member.record.name == name && (best == nullptr || rank(member) > rank(*best))) best = &member;
  return best;
}

void ReplicatedConfigService::HandleOutput(const replicated_config::ConfigReplicaOutput& output) {
  if (const auto* send = std::get_if<replicated_config::SendMessage>(&output)) {
    const auto* name = std::get_if<raft::NodeId>(&send->to);
    const gossip::Member* to =
        name != nullptr ? FindProcess(*name)
                        : fleet_.view().members().Find(std::get<replicated_config::InstanceId>(send->to));
    if (to != nullptr)
      fleet_.link().Send(to->record.address, peer_transport::Subsystem::kReplicatedConfig,
                         replicated_config::Encode(send->message));
  } else if (const auto* persist = std::get_if<replicated_config::Persist>(&output)) {
    WriteBatch(persist->update.sequence, EncodeUpdate(persist->update));
  } else if (const auto* bootstrap_voters = std::get_if<replicated_config::PersistBootstrapVoters>(&output)) {
    WriteBatch(kBootstrapVotersWrite, EncodeBootstrapVoters(bootstrap_voters->bootstrap_voters));
  } else if (const auto* received = std::get_if<replicated_config::DocumentReceived>(&output)) {
    if (const auto checked = document_checks_.check_compatible(received->document)) {
      spdlog::info("rules event=prepared version={} mono_us={}", received->version, ToMonotonicUs(Now()));
      replica_.MarkPrepared(Now(), received->version);
    } else {
      spdlog::error("rules: this proxy cannot apply version {}: {}", received->version,
                    checked.error().reason);
      replica_.MarkIncompatible(received->version);
    }
  } else if (const auto* activated = std::get_if<replicated_config::VersionActivated>(&output)) {
    Activate(activated->version);
  } else if (const auto* result = std::get_if<replicated_config::RequestCompleted>(&output)) {
    const auto it = pending_calls_.find(result->outcome.id);
    if (it == pending_calls_.end()) return;
    it->second->result = *result;
    it->second->completed.Notify();
  } else if (const auto* event = std::get_if<replicated_config::LogEvent>(&output)) {
    spdlog::log(event->warn ? spdlog::level::warn : spdlog::level::info, "rules: {} mono_us={}", event->text,
                ToMonotonicUs(Now()));
  }
}

// ---- The store ----

void ReplicatedConfigService::WriteBatch(std::uint64_t sequence, storage::WriteBatch batch) {
  if (!worker_->Write(epoch_ << kEpochShift | sequence, std::move(batch)))
    StepDown("the disk is too slow: " + std::to_string(worker_->queue_size()) + " write batches are pending");
}

void ReplicatedConfigService::StepDown(const std::string& reason) {
  if (opening_store_) return;
  ++step_downs_;
  spdlog::error("rules: this voter steps down: {}", reason);
  replica_.OnStoreClosed();
  opening_store_ = true;
  loop_.Spawn(ReopenStore(kFailedStoreRetryInterval));
}

Task<> ReplicatedConfigService::ReopenStore(Duration delay) {
  co_await loop_.Sleep(delay);
  worker_->Open();
}

Task<> ReplicatedConfigService::RunStore() {
  for (;;) {
    storage::Worker::Completion done = co_await worker_->NextCompletion();
    if (done.is_open) {
      OnStoreOpened(done);
    } else if (done.sequence >> kEpochShift == epoch_ && !opening_store_) {
      slowest_sync_ = std::max(slowest_sync_, done.duration);
      if (done.error.code != storage::StoreErrorCode::kNone)
        StepDown(std::string(storage::NameOf(done.error.code)) + ": " + done.error.message);
      else if (const std::uint64_t sequence = done.sequence & kBootstrapVotersWrite;
               sequence == kBootstrapVotersWrite)
        replica_.OnBootstrapVotersPersisted(Now());
      else if (sequence > 0)
        replica_.OnPersisted(Now(), sequence);
    }
    DispatchOutputs();
  }
}

void ReplicatedConfigService::OnStoreOpened(storage::Worker::Completion& done) {
  std::optional<replicated_config::StoredState> stored;
  if (done.error.code == storage::StoreErrorCode::kNone) {
    stored = DecodeStore(done.contents);
    if (!stored)
      done.error.message = settings_.store + ": its contents are not in this program's format",
      done.error.code = storage::StoreErrorCode::kDamaged;
  }
  if (!stored) {
    if (!std::exchange(reported_unavailable_, true))
      spdlog::warn("rules: cannot open the store, this voter retries: {}: {}",
                   storage::NameOf(done.error.code), done.error.message);
    loop_.Spawn(ReopenStore(done.error.code == storage::StoreErrorCode::kLocked
                                ? Duration(kLockedStoreRetryInterval)
                                : Duration(kFailedStoreRetryInterval)));
    return;
  }
  opening_store_ = reported_unavailable_ = false;
  ++epoch_;
  if (stored->store_id == 0) {
    stored->store_id = RandomNonZero();
    WriteBatch(0, EncodeStoreId(stored->store_id));
  }
  spdlog::info("rules: store {} opened, log up to {}", settings_.store,
               stored->persistent_state.log.empty() ? stored->persistent_state.snapshot.index
                                                    : stored->persistent_state.log.back().index);
  fleet_.link().SetAttribute(kStoreAttribute, "1");
  replica_.OnStoreOpened(Now(), std::move(*stored));
}

// ---- The active version ----

void ReplicatedConfigService::Activate(Version version) {
  const std::string* text = replica_.FindDocument(version);
  if (text == nullptr && version > 0) return;
  const auto document = replicated_config::ParseDocument(text == nullptr ? std::string_view() : *text);
  if (!document) return;
  try {
    local_config_.activate(*document);
  } catch (const std::exception& e) {
    spdlog::error("rules: version {} cannot be activated here: {}", version, e.what());
    return;
  }
  document_ = *document;
  active_version_ = version;
  ejections_.OnActivated(version);
  ApplyEjections();
  spdlog::info("rules event=in_force version={} mono_us={}", version, ToMonotonicUs(Now()));
}

// An ejection requested here takes effect here at once; a return to service takes effect only with the
// version that contains it.
void ReplicatedConfigService::ApplyEjections() {
  directory_.ImportEjections(ejections_.EjectedEngines(document_), {}, on_update_);
}

Task<admin::Reply> ReplicatedConfigService::ReplicateManualEjection(admin::Command call, admin::Reply reply) {
  using admin::CommandType;
  const bool changes_ejection =
      call.type == CommandType::kEject || call.type == CommandType::kReturnToService;
  if (!reply.accepted || !changes_ejection) co_return reply;
  const bool was_ejected = directory_.IsEjected(call.engine);
  co_return co_await ejections_.Replicate(std::move(call), std::move(reply), was_ejected);
}

std::optional<Version> ReplicatedConfigService::UsableVersion() const {
  const std::optional<Version> version = replica_.UsableVersion(Now());
  return version && *version == active_version_ ? version : std::nullopt;
}

// Returns true if the active version permits an isolated proxy to send a request of this class to this
// engine. For `engine` 0, it checks the class only.
bool ReplicatedConfigService::PermittedInIsolation(const std::string& class_name, EngineId engine) const {
  const replicated_config::IsolationPolicy& policy = document_.isolation;
  const replicated_config::LeaseHolder& holder = replica_.holder();
  if (!policy.classes.contains(class_name) || active_version_ != holder.active_version() ||
      holder.clock_rates_differ())
    return false;
  if (Now() >= holder.lease_expiry() + policy.duration) return false;
  if (engine == 0) return true;
  const discovery::Endpoint* endpoint = directory_.Find(engine);
  return endpoint != nullptr && policy.engines.contains(endpoint->name);
}

bool ReplicatedConfigService::AdmitsClass(const std::string& class_name) {
  if (UsableVersion() || PermittedInIsolation(class_name, 0)) return true;
  ++rejected_sends_;
  return false;
}

bool ReplicatedConfigService::PermitsSend(const std::string& class_name, EngineId engine) {
  return UsableVersion() || PermittedInIsolation(class_name, engine);
}

bool ReplicatedConfigService::PermitAndRecordSend(const std::string& class_name, EngineId engine,
                                                  bool may_have_run) {
  const std::optional<Version> version = UsableVersion();
  const bool in_isolation = !version && PermittedInIsolation(class_name, engine) &&
                            !may_have_run;  // an isolated proxy never retries
  if (!version && !in_isolation) {
    ++rejected_sends_;
    return false;
  }
  ++(in_isolation ? isolated_sends_ : sends_);
  const discovery::Endpoint* endpoint = directory_.Find(engine);
  spdlog::debug("rules act={} version={} class={} engine={} mono_us={}",
                in_isolation   ? "kept"
                : may_have_run ? "again"
                               : "send",
                version.value_or(active_version_), class_name, endpoint == nullptr ? "-" : endpoint->name,
                ToMonotonicUs(Now()));
  return true;
}

tl::expected<void, replicated_config::IncompatibleDocument> ReplicatedConfigService::CheckCompatible(
    const settings::Site& site, const admission_queue::Settings* queue) const {
  return replicated_config::CheckCompatible(document_, site, queue);
}

// Publishes this proxy's versions through gossip, and logs when it becomes isolated or has a lease again.
Task<> ReplicatedConfigService::PublishState() {
  for (;; co_await loop_.Sleep(kPublishInterval)) {
    const bool isolated = !UsableVersion();
    if (std::exchange(isolated_, isolated) != isolated)
      spdlog::log(
          isolated ? spdlog::level::warn : spdlog::level::info,
          "rules event={} version={} lease_ms={} mono_us={}", isolated ? "cut_off" : "leased",
          active_version_,
          std::chrono::duration_cast<std::chrono::milliseconds>(replica_.holder().lease_expiry() - Now())
              .count(),
          ToMonotonicUs(Now()));
    const std::string state = std::to_string(active_version_) + "/" +
                              std::to_string(replica_.holder().prepared_version()) +
                              (isolated ? "/cut-off" : "");
    const gossip::MemberTable& members = fleet_.view().members();
    if (notification_pacer_.ShouldNotify(Now(), state != published_state_, members.live_count())) {
      published_state_ = state;
      fleet_.link().SetAttribute(kStateAttribute, state);
    }
    if (std::exchange(peers_change_count_, members.change_count()) != members.change_count()) UpdatePeers();
  }
}

void ReplicatedConfigService::UpdatePeers() {
  std::vector<replicated_config::InstanceId> others;
  const gossip::MemberTable& members = fleet_.view().members();
  for (const auto& [id, member] : members.all())
    if (member.status == gossip::Status::kAlive && id != members.self()) others.push_back(id);
  replica_.SetPeers(std::move(others));
}

std::vector<std::pair<std::string, std::uint64_t>> ReplicatedConfigService::Metrics() const {
  const replicated_config::LeaseHolder& holder = replica_.holder();
  const auto lease_left_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(holder.lease_expiry() - Now()).count();
  return {{"rules.version", active_version_},
          {"rules.newest", holder.latest_version()},
          {"rules.prepared", holder.prepared_version()},
          {"rules.leased", UsableVersion() ? 1 : 0},
          {"rules.lease_left_ms", static_cast<std::uint64_t>(std::max<std::int64_t>(0, lease_left_ms))},
          {"rules.leads", replica_.Leads(Now()) ? 1 : 0},
          {"rules.votes", replica_.raft() != nullptr ? 1 : 0},
          {"rules.acts", sends_},
          {"rules.acts_kept", isolated_sends_},
          {"rules.forbidden", rejected_sends_},
          {"rules.stepped_back", step_downs_},
          {"rules.slowest_sync_ms",
           static_cast<std::uint64_t>(
               std::chrono::duration_cast<std::chrono::milliseconds>(slowest_sync_).count())}};
}

}  // namespace lemoncroft::proxy

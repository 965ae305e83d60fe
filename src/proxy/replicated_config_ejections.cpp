// Manual ejections in a ReplicatedConfigService. An ejection takes effect here first and is then proposed to
// the fleet as a configuration change.
#include <algorithm>

#include "proxy/replicated_config_service.h"
#include "proxy/state_file.h"

namespace lemoncroft::proxy {

using replicated_config::Document;
using replicated_config::Version;
using runtime::Duration;
using runtime::Now;
using runtime::Task;
using runtime::Time;
using namespace std::chrono_literals;

namespace {

constexpr auto kManualEjectionTimeout = 850ms;  // for an operator's command
constexpr auto kChangeTimeout = 4000ms;
constexpr auto kReconcileRetryInterval = 100ms, kRejectedRetryInterval = 2000ms;

}  // namespace

void ReplicatedConfigService::ApplyEjections() {
  // An ejection requested here takes effect here at once; a return to service takes effect only with the
  // version that contains it.
  std::set<std::string> out = document_.ejected_engines;
  for (const auto& [engine, ejection] : manual_ejections_)
    if (ejection.ejected) out.insert(engine);
  directory_.ImportEjections(out, {}, on_update_);
}

Document ReplicatedConfigService::LatestDocument() const {
  const std::string* text = replica_.FindDocument(replica_.holder().latest_version());
  if (text == nullptr) return {};
  return replicated_config::ParseDocument(*text).value_or(Document());
}

// Proposes the ejections and returns requested here until the fleet has committed them.
Task<> ReplicatedConfigService::ReconcileManualEjections() {
  for (;;) {
    const bool has_uncommitted =
        std::any_of(manual_ejections_.begin(), manual_ejections_.end(),
                    [](const auto& entry) { return entry.second.committed_version == 0; });
    if (!has_uncommitted) {
      co_await runtime::Waiter(loop_, &ejections_changed_, runtime::kNever);
      continue;
    }
    const Version latest_version = replica_.holder().latest_version();
    if (latest_version > 0 && replica_.FindDocument(latest_version) == nullptr) {
      co_await loop_.Sleep(kReconcileRetryInterval);
      continue;
    }
    const std::map<std::string, ManualEjection> requested = manual_ejections_;
    Document document = LatestDocument();
    const Document before = document;
    std::string author = name_;
    for (const auto& [engine, ejection] : requested) {
      if (ejection.ejected ? document.ejected_engines.insert(engine).second
                           : document.ejected_engines.erase(engine) > 0)
        author += std::string(ejection.ejected ? " exclude " : " include ") + engine;
    }
    replicated_config::RequestCompleted completion;
    completion.outcome.status = replicated_config::ChangeStatus::kCommitted;
    completion.outcome.version = latest_version;
    if (document != before) {
      replicated_config::ConfigChange change;
      change.id = NewRequestId();
      change.base_version = latest_version;
      change.document = replicated_config::SerializeDocument(document);
      change.author = author.substr(0, replicated_config::kMaxAuthorBytes);
      change.proposed_at_unix_ms = UnixMs();
      completion = co_await Propose(std::move(change), kChangeTimeout);
    }
    if (completion.outcome.status == replicated_config::ChangeStatus::kCommitted) {
      for (const auto& [engine, ejection] : requested) {
        const auto it = manual_ejections_.find(engine);
        if (it == manual_ejections_.end() || it->second.ejected != ejection.ejected) continue;
        it->second.committed_version = std::max<Version>(1, completion.outcome.version);
        if (it->second.committed_version <= active_version_) manual_ejections_.erase(it);
      }
      ApplyEjections();
      continue;
    }
    const bool rejected = completion.outcome.status == replicated_config::ChangeStatus::kRejected;
    for (const auto& [engine, ejection] : requested)
      if (const auto it = manual_ejections_.find(engine); it != manual_ejections_.end())
        it->second.failure_reason = completion.outcome.reason;
    co_await loop_.Sleep(rejected ? Duration(kRejectedRetryInterval) : Duration(kReconcileRetryInterval));
  }
}

Task<admin::Reply> ReplicatedConfigService::ReplicateManualEjection(admin::Command call, admin::Reply reply) {
  using admin::CommandType;
  if (!reply.accepted || (call.type != CommandType::kEject && call.type != CommandType::kReturnToService))
    co_return reply;
  manual_ejections_[call.engine] = {call.type == CommandType::kEject, 0, {}};
  ejections_changed_.Notify();
  const Time deadline = Now() + kManualEjectionTimeout;
  for (;;) {
    const auto it = manual_ejections_.find(call.engine);
    if (it == manual_ejections_.end() || it->second.committed_version > 0) {
      const Version version =
          it == manual_ejections_.end() ? replica_.holder().latest_version() : it->second.committed_version;
      reply.message = "for the fleet, version " + std::to_string(version);
      co_return reply;
    }
    if (Now() >= deadline || !it->second.failure_reason.empty()) break;
    co_await loop_.Sleep(10ms);
  }
  const auto it = manual_ejections_.find(call.engine);
  reply.message =
      std::string(call.type == CommandType::kEject ? "here; " : "later; ") +
      "the fleet has not agreed yet and is asked again until it does" +
      (it == manual_ejections_.end() || it->second.failure_reason.empty() ? std::string()
                                                                          : ": " + it->second.failure_reason);
  std::replace(reply.message.begin(), reply.message.end(), '\n', ' ');
  co_return reply;
}

}  // namespace lemoncroft::proxy

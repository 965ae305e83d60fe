#include "proxy/operations.h"

#include <spdlog/spdlog.h>

namespace lemoncroft::proxy {

using admin::Command;
using admin::CommandType;
using admin::Reply;
using namespace std::chrono_literals;

namespace {
// Well below the time for which requests may still be sent to a drained engine.
constexpr auto kEjectionStoreInterval = 50ms;
}  // namespace

Reply Operations::HandleCommand(const Command& command) {
  switch (command.type) {
    case CommandType::kReadiness:
      if (phase_ == Phase::kEnding) return {false, "ending", {}};
      if (has_valid_lease && !has_valid_lease()) return {false, "cut off from the fleet's rules", {}};
      if (phase_ == Phase::kServing && directory_.has_complete_list()) return {true, {}, {}};
      return {false, "not ready", {}};
    case CommandType::kMetrics:
      return {
          true,
          {},
          counters_.Text({broker_.open_requests(), directory_.size(),
                          directory_.CountEjected(broker_.EjectedEngines()),
                          additional_metrics_ ? additional_metrics_() : decltype(additional_metrics_())()})};
    case CommandType::kEject:
    case CommandType::kReturnToService:
      return HandleManualEjection(command);
  }
  return {false, "unknown call", {}};
}

Reply Operations::HandleManualEjection(const Command& command) {
  const bool ejects = command.type == CommandType::kEject;
  const std::string& id = command.engine;
  const bool was_ejected = directory_.IsEjected(id);
  // The engine returns to service with the version of the replicated configuration that ends its ejection.
  if (!ejects && was_ejected && ejections_are_replicated_) return {true, {}, {}};
  const discovery::ManualEjectionResult result =
      ejects ? directory_.Eject(id, on_update_)
             : directory_.ReturnToService(id, std::chrono::system_clock::now(), on_update_);
  if (result == discovery::ManualEjectionResult::kUnknownEngine)
    return {false, "no database has this id", {}};
  if (result == discovery::ManualEjectionResult::kTooMany)
    return {false, "too many databases are out already", {}};
  spdlog::info("operator: {} {}", ejects ? "exclude" : "include", id);
  if (!ejection_store_ || (!ejects && !was_ejected)) return {true, {}, {}};
  const bool saved = ejects ? ejection_store_->SaveEjection(id) : ejection_store_->SaveReturn(id);
  if (saved || !ejects) unsaved_ejections_.erase(id);
  if (saved || !ejects) return {true, {}, {}};
  unsaved_ejections_.insert(id);
  spdlog::warn("operator: exclude {} cannot be stored in $TMPDIR: it is in effect for this process only", id);
  return {true, "for this process only: it can't be kept in $TMPDIR", {}};
}

void Operations::EnableEjectionStore(const std::string& tmpdir, std::chrono::nanoseconds slow_start) {
  ejection_store_ = std::make_unique<hot_restart::EjectionStore>(tmpdir);
  const auto max_age = std::chrono::duration_cast<hot_restart::UnixTime::duration>(slow_start);
  ejection_store_->RemoveReturnsBefore(std::chrono::system_clock::now() - max_age);
  ImportEjections();
}

runtime::Task<> Operations::WatchEjectionStore() {
  for (;; co_await loop_.Sleep(kEjectionStoreInterval)) {
    if (ejection_store_ && ejection_store_->MayHaveChanged()) ImportEjections();
  }
}

void Operations::ImportEjections() {
  auto ejections = ejection_store_->Read();
  if (!ejections) return;  // the ejections read before stay in effect
  for (const std::string& id : unsaved_ejections_) ejections->ejected.insert(id);
  for (const std::string& id : ejections->ejected)
    if (!directory_.IsEjected(id)) spdlog::info("ejected by an operator at another process: {}", id);
  directory_.ImportEjections(ejections->ejected, ejections->returned_at, on_update_);
}

}  // namespace lemoncroft::proxy

// Carries out operators' calls: readiness, telemetry and manual ejections.
//
// Contract. State of the proxy without I/O but for the ejection store. Owner: the event loop's thread.
// Errors: a call that can't be carried out is answered with the reason.
#ifndef LEMONCROFT_PROXY_OPERATIONS_H_
#define LEMONCROFT_PROXY_OPERATIONS_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admin/listener.h"
#include "broker/broker.h"
#include "discovery/endpoint_directory.h"
#include "hot_restart/ejection_store.h"
#include "metrics/counters.h"

namespace lemoncroft::proxy {

class Operations {
 public:
  enum class Phase { kStarting, kServing, kEnding };

  Operations(runtime::Loop& loop, discovery::EndpointDirectory& directory, broker::Broker& broker,
             const metrics::Counters& counters, discovery::EndpointDirectory::UpdateCallback on_update)
      : loop_(loop),
        directory_(directory),
        broker_(broker),
        counters_(counters),
        on_update_(std::move(on_update)) {}

  admin::Reply Answer(const admin::Command& command);
  void set_phase(Phase phase) {
    phase_ = phase;
    if (on_phase) on_phase(phase);
  }
  Phase phase() const { return phase_; }
  std::function<void(Phase)> on_phase;  // called when a phase begins
  // False while this process must not serve because its configuration lease has expired; unset: it may serve.
  std::function<bool()> has_valid_lease;

  // Manual ejections are part of the replicated configuration: an engine returns to service here once a
  // version without its ejection is active.
  void set_ejections_replicated() { ejections_are_replicated_ = true; }

  // Metrics of an optional part; telemetry lists them after its own.
  void AddMetrics(std::function<std::vector<std::pair<std::string, std::uint64_t>>()> metrics) {
    additional_metrics_ = std::move(metrics);
  }

  // Stores manual ejections in $TMPDIR from now on and imports those that other processes of this proxy have
  // stored there. `slow_start`: how long an engine may be in slow start after its return.
  void EnableEjectionStore(const std::string& tmpdir, std::chrono::nanoseconds slow_start);
  // Imports ejections that another process of this proxy stores, until the loop ends.
  runtime::Task<> WatchEjectionStore();

 private:
  admin::Reply HandleManualEjection(const admin::Command& command);
  void ImportEjections();

  runtime::Loop& loop_;
  discovery::EndpointDirectory& directory_;
  broker::Broker& broker_;
  const metrics::Counters& counters_;
  discovery::EndpointDirectory::UpdateCallback on_update_;
  std::unique_ptr<hot_restart::EjectionStore> ejection_store_;  // null: not shared
  std::set<std::string> unsaved_ejections_;                     // ejected here, not in the store
  std::function<std::vector<std::pair<std::string, std::uint64_t>>()> additional_metrics_;
  bool ejections_are_replicated_ = false;
  Phase phase_ = Phase::kStarting;
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_OPERATIONS_H_

// Executes operators' commands: readiness, telemetry and manual ejections. A command that cannot be executed
// gets a reply with the reason.
//
// Only the event loop's thread uses the object. Its only I/O is that of the ejection store.
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

  admin::Reply HandleCommand(const admin::Command& command);
  void set_phase(Phase phase) {
    phase_ = phase;
    if (on_phase) on_phase(phase);
  }
  Phase phase() const { return phase_; }
  std::function<void(Phase)> on_phase;  // called when a phase begins
  // Returns false while this process must not serve because it has no valid configuration lease. Unset: there
  // is no lease, and it may serve.
  std::function<bool()> has_valid_lease;

  // Declares that manual ejections are part of the replicated configuration: an engine returns to service
  // here only once a version without its ejection is active.
  void set_ejections_replicated() { ejections_are_replicated_ = true; }

  // Sets the source of an optional part's metrics, which telemetry lists after the proxy's own.
  void AddMetrics(std::function<std::vector<std::pair<std::string, std::uint64_t>>()> metrics) {
    additional_metrics_ = std::move(metrics);
  }

  // Stores manual ejections in $TMPDIR from now on, and imports those that other processes of this proxy have
  // stored there. `slow_start` is the longest time for which an engine may be in slow start after its return.
  void EnableEjectionStore(const std::string& tmpdir, std::chrono::nanoseconds slow_start);
  // Imports changes that other processes of this proxy make to the store, until the loop ends.
  runtime::Task<> WatchEjectionStore();

 private:
  admin::Reply HandleManualEjection(const admin::Command& command);
  void ImportEjections();

  runtime::Loop& loop_;
  discovery::EndpointDirectory& directory_;
  broker::Broker& broker_;
  const metrics::Counters& counters_;
  discovery::EndpointDirectory::UpdateCallback on_update_;
  std::unique_ptr<hot_restart::EjectionStore> ejection_store_;  // null: ejections are not shared
  std::set<std::string> unsaved_ejections_;                     // ejected here, but not stored
  std::function<std::vector<std::pair<std::string, std::uint64_t>>()> additional_metrics_;
  bool ejections_are_replicated_ = false;
  Phase phase_ = Phase::kStarting;
};

}  // namespace lemoncroft::proxy

#endif  // LEMONCROFT_PROXY_OPERATIONS_H_

// What each call of an operator does: the figures, the engines out by hand, whether this process serves.
#ifndef LEMONCROFT_CLI_OPERATIONS_H_
#define LEMONCROFT_CLI_OPERATIONS_H_

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

namespace lemoncroft::cli {

class Operations {
 public:
  enum class Phase { kStarting, kServing, kEnding };

  Operations(runtime::Loop& loop, discovery::EndpointDirectory& directory, broker::Broker& broker,
             const metrics::Counters& counters, discovery::EndpointDirectory::UpdateCallback tell)
      : loop_(loop), directory_(directory), broker_(broker), counters_(counters), tell_(std::move(tell)) {}

  admin::Reply Answer(const admin::Call& call);
  void set_phase(Phase phase) {
    phase_ = phase;
    if (on_phase) on_phase(phase);
  }
  Phase phase() const { return phase_; }
  std::function<void(Phase)> on_phase;  // told of each that begins
  std::function<bool()> may_serve;      // beyond what readyz looks at itself; none: it may

  // The fleet agrees on engines out by hand: one is back here only once it has.
  void set_agreed() { agreed_ = true; }

  // Figures of a part that is switched on, told behind the others.
  void AddFigures(std::function<std::vector<std::pair<std::string, std::uint64_t>>()> figures) {
    more_ = std::move(figures);
  }

  // From now on engines out by hand are kept in $TMPDIR, for the process that takes this one's place; what
  // one before has left there holds here. `warm`: how long a returned engine may be cold.
  void EnableEjectionStore(const std::string& tmpdir, std::chrono::nanoseconds warm);
  // Keeps to what the other process is told, while there are two.
  runtime::Task<> WatchEjectionStore();

 private:
  admin::Reply ByHand(const admin::Call& call);
  void TakeOver();

  runtime::Loop& loop_;
  discovery::EndpointDirectory& directory_;
  broker::Broker& broker_;
  const metrics::Counters& counters_;
  discovery::EndpointDirectory::UpdateCallback tell_;
  std::unique_ptr<hot_restart::EjectionStore> ejection_store_;  // null: not shared
  std::set<std::string> unsaved_ejections_;                     // out by hand, but without a mark
  std::function<std::vector<std::pair<std::string, std::uint64_t>>()> more_;
  bool agreed_ = false;
  Phase phase_ = Phase::kStarting;
};

}  // namespace lemoncroft::cli

#endif  // LEMONCROFT_CLI_OPERATIONS_H_

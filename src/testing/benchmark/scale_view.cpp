#include "testing/benchmark/scale_view.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "replicated_config/notification_pacer.h"
#include "testing/benchmark/allocated_bytes.h"
#include "testing/simulation/peer_fleet.h"
#include "testing/simulation/processor_time.h"

namespace lemoncroft::benchmark {
namespace {

using simulation::Instant;
using simulation::Node;
using simulation::PeerFleet;
using simulation::Process;

constexpr std::size_t kSeeds = 3;
constexpr double kSettleTimeoutSeconds = 60;
constexpr Instant kAttributeCheckInterval = std::chrono::milliseconds(50);

Instant Seconds(double seconds) { return Instant(static_cast<Instant::rep>(seconds * 1e9)); }

std::string NameOf(Node machine) { return "proxy-" + std::to_string(machine); }

std::vector<Node> Seeds() {
  std::vector<Node> seeds(kSeeds);
  for (Node i = 0; i < kSeeds; ++i) seeds[i] = i;
  return seeds;
}

gossip::Settings SettingsOf(const ViewPlan& plan) {
  gossip::Settings settings;
  settings.max_members = std::max(settings.max_members, 2 * plan.members);
  return settings;
}

// Totals over all members since the start of the simulation.
struct Totals {
  double messages = 0, bytes = 0, datagram_bytes = 0, syncs = 0;
};

Totals TotalsOf(const PeerFleet& fleet) {
  Totals totals;
  for (Process p = 0; p < fleet.size(); ++p) {
    const PeerFleet::SendTotals& sent = fleet.sent(p);
    totals.messages += static_cast<double>(sent.messages);
    totals.bytes += static_cast<double>(sent.bytes);
    totals.datagram_bytes += static_cast<double>(sent.bytes - sent.sync_bytes);
    totals.syncs += static_cast<double>(sent.syncs);
  }
  return totals;
}

// Replaces members other than the seeds, one at a time at a constant rate. Old processes leave and crash
// alternately; a new process starts on the same machine one second later.
class Replacer {
 public:
  Replacer(PeerFleet& fleet, std::size_t members, double per_second)
      : fleet_(fleet), members_(members), interval_(Seconds(1 / per_second)), next_(fleet.now()) {
    for (Node machine = 0; machine < members; ++machine) processes_by_machine_.push_back(machine);
  }

  void Run(double seconds) {
    const Instant until = fleet_.now() + Seconds(seconds);
    while (fleet_.now() < until) {
      fleet_.RunTo(std::min({until, next_, starts_.empty() ? until : starts_.front().at}));
      if (next_ <= fleet_.now()) EndNext();
      StartDue();
    }
  }
  void StartRemaining() {
    while (!starts_.empty()) {
      fleet_.RunTo(std::max(fleet_.now(), starts_.front().at));
      StartDue();
    }
  }
  std::size_t replaced() const { return replaced_; }

 private:
  struct Start {
    Instant at{};
    Node machine = 0;
  };

  void EndNext() {
    next_ += interval_;
    const Node machine =
        static_cast<Node>(kSeeds + replaced_ * kStride % (members_ - kSeeds));  // spread over the fleet
    ++replaced_;
    if (std::any_of(starts_.begin(), starts_.end(), [&](const Start& s) { return s.machine == machine; }))
      return;
    if (replaced_ % 2 == 0)
      fleet_.Kill(processes_by_machine_[machine]);
    else
      fleet_.Leave(processes_by_machine_[machine]);
    starts_.push_back({fleet_.now() + std::chrono::seconds(1), machine});
  }

  void StartDue() {
    while (!starts_.empty() && starts_.front().at <= fleet_.now()) {
      const Node machine = starts_.front().machine;
      starts_.erase(starts_.begin());
      processes_by_machine_[machine] = fleet_.Start(machine, NameOf(machine), Seeds());
    }
  }

  static constexpr std::size_t kStride = 7919;  // a prime

  PeerFleet& fleet_;
  std::size_t members_, replaced_ = 0;
  Instant interval_, next_;
  std::vector<Process> processes_by_machine_;
  std::vector<Start> starts_;
};

// Runs `workload`. Returns the mean rates per second and member during that time, and stores the mean
// processor time per member in `core_percent`.
template <typename Workload>
Totals RatesDuring(PeerFleet& fleet, std::size_t members, double& core_percent, const Workload& workload) {
  const Totals before = TotalsOf(fleet);
  const Instant since = fleet.now();
  const double begun = simulation::ProcessorMicroseconds();
  workload();
  const double member_seconds =
      static_cast<double>(members) * std::chrono::duration<double>(fleet.now() - since).count();
  core_percent = (simulation::ProcessorMicroseconds() - begun) / 1e4 / member_seconds;
  const Totals after = TotalsOf(fleet);
  return {(after.messages - before.messages) / member_seconds, (after.bytes - before.bytes) / member_seconds,
          (after.datagram_bytes - before.datagram_bytes) / member_seconds,
          (after.syncs - before.syncs) / member_seconds};
}

// Lets every proxy publish its version at each change. With `pace_attributes`, the proxies delay this as
// the service of the replicated configuration does.
void PublishAttributes(PeerFleet& fleet, const ViewPlan& plan) {
  const Instant begun = fleet.now(), until = begun + Seconds(plan.attribute_seconds);
  std::vector<replicated_config::NotificationPacer> pacers;
  for (Process p = 0; p < fleet.size(); ++p) pacers.emplace_back(plan.seed + p);
  std::vector<int> published(fleet.size(), 0);
  while (fleet.now() < until) {
    const Instant passed = fleet.now() - begun;
    const int version = 1 + static_cast<int>(passed / Seconds(plan.attribute_interval_seconds));
    for (Process p = 0; p < fleet.size(); ++p) {
      const bool changed = published[p] != version;
      if (!changed || (plan.pace_attributes &&
                       !pacers[p].ShouldNotify(replicated_config::Time(passed), true, fleet.live_count())))
        continue;
      published[p] = version;
      fleet.SetAttribute(p, "rules", std::to_string(version) + "/" + std::to_string(version));
    }
    fleet.RunFor(kAttributeCheckInterval);
  }
}

// Returns the bytes sent since `before` by the process that sent most. Only processes that were started
// before that and are still running count.
double BusiestBytes(const PeerFleet& fleet, const std::vector<std::uint64_t>& before) {
  std::uint64_t most = 0;
  for (Process p = 0; p < before.size(); ++p)
    if (fleet.is_running(p)) most = std::max(most, fleet.sent(p).bytes - before[p]);
  return static_cast<double>(most);
}

std::unique_ptr<PeerFleet> StartFleet(const ViewPlan& plan) {
  auto fleet = std::make_unique<PeerFleet>(PeerFleet::Options{plan.seed, SettingsOf(plan), 0.01});
  for (Node machine = 0; machine < plan.members; ++machine) fleet->Start(machine, NameOf(machine), Seeds());
  fleet->IntroduceWithDirectContact();
  fleet->RunFor(Seconds(2));
  return fleet;
}

void MeasureIdle(PeerFleet& fleet, const ViewPlan& plan, ViewCost& cost) {
  const Totals idle =
      RatesDuring(fleet, plan.members, cost.core_percent, [&] { fleet.RunFor(Seconds(plan.idle_seconds)); });
  cost.bytes_per_s = idle.bytes;
  cost.datagram_bytes_per_s = idle.datagram_bytes;
  cost.messages_per_s = idle.messages;
}

void MeasureAttributes(PeerFleet& fleet, const ViewPlan& plan, ViewCost& cost) {
  const Totals rates =
      RatesDuring(fleet, plan.members, cost.attribute_core_percent, [&] { PublishAttributes(fleet, plan); });
  cost.attribute_bytes_per_s = rates.bytes;
  fleet.ConvergeWithin(Seconds(kSettleTimeoutSeconds));
}

void MeasureChurn(PeerFleet& fleet, const ViewPlan& plan, ViewCost& cost) {
  Replacer replacer(fleet, plan.members, plan.replaced_per_minute * static_cast<double>(plan.members) / 60);
  replacer.Run(plan.churn_warm_seconds);
  std::vector<std::uint64_t> before;
  for (Process p = 0; p < fleet.size(); ++p) before.push_back(fleet.sent(p).bytes);
  const Totals churn =
      RatesDuring(fleet, plan.members, cost.churn_core_percent, [&] { replacer.Run(plan.churn_seconds); });
  cost.churn_bytes_per_s = churn.bytes;
  cost.churn_exchanges_per_s = churn.syncs;
  cost.churn_busiest_bytes_per_s = BusiestBytes(fleet, before) / plan.churn_seconds;
  cost.replaced = replacer.replaced();
  replacer.StartRemaining();
  const auto settled = fleet.ConvergeWithin(Seconds(kSettleTimeoutSeconds));
  if (settled) cost.settled_after_s = std::chrono::duration<double>(*settled).count();
}

}  // namespace

ViewCost MeasureView(const ViewPlan& plan) {
  ViewCost cost;
  const double bytes_before = AllocatedBytes();
  std::unique_ptr<PeerFleet> fleet = StartFleet(plan);
  const double full = AllocatedBytes();
  cost.bytes_per_member =
      (full - bytes_before) / (static_cast<double>(plan.members) * static_cast<double>(plan.members));
  MeasureIdle(*fleet, plan, cost);
  if (plan.attribute_seconds > 0) MeasureAttributes(*fleet, plan, cost);
  if (plan.churn_seconds > 0) MeasureChurn(*fleet, plan, cost);
  fleet.reset();
  cost.memory_share_retained_after_end =
      std::max(0.0, AllocatedBytes() - bytes_before) / (full - bytes_before);
  return cost;
}

}  // namespace lemoncroft::benchmark

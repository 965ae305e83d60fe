#include "testing/benchmark/scale_leases.h"

#include <algorithm>
#include <string>

#include "testing/simulation/config_replica_fleet.h"

namespace lemoncroft::benchmark {
namespace {

using namespace std::chrono_literals;
using simulation::ConfigReplicaFleet;
using simulation::Instant;

constexpr Instant kFirstLeaseTimeout = 30s, kChangeTimeout = 20s, kPollInterval = 5ms;
constexpr Instant kPauseAfterChange = 500ms;
constexpr double kTimedOutMs = 1e9;
constexpr std::size_t kProposerStride = 7919;  // a prime, so that the proposers are spread over the fleet

double InSeconds(Instant span) { return std::chrono::duration<double>(span).count(); }

// Bytes sent and processor time used since the start of the simulation.
struct Totals {
  double bytes = 0, leader_bytes = 0, leader_us = 0, others_us = 0;
};

Totals TotalsOf(const ConfigReplicaFleet& fleet, std::size_t leader) {
  Totals totals;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const ConfigReplicaFleet::SendTotals& sent = fleet.sent(i);
    totals.bytes += static_cast<double>(sent.bytes);
    if (i != leader) totals.others_us += sent.processor_us;
  }
  totals.leader_bytes = static_cast<double>(fleet.sent(leader).bytes);
  totals.leader_us = fleet.sent(leader).processor_us;
  return totals;
}

Totals Difference(const Totals& after, const Totals& before) {
  return {after.bytes - before.bytes, after.leader_bytes - before.leader_bytes,
          after.leader_us - before.leader_us, after.others_us - before.others_us};
}

bool RunUntilAllUse(ConfigReplicaFleet& fleet, replicated_config::Version version, Instant timeout) {
  const Instant until = fleet.now() + timeout;
  while (fleet.now() < until) {
    if (fleet.AllUse(version)) return true;
    fleet.RunFor(kPollInterval);
  }
  return false;
}

std::string DocumentOf(std::size_t number, std::size_t bytes) {
  std::string text = "change " + std::to_string(number) + " ";
  text.resize(std::max(bytes, text.size()), 'x');
  return text;
}

ConfigReplicaFleet::Plan FleetPlanOf(const LeasePlan& plan) {
  ConfigReplicaFleet::Plan fleet_plan;
  fleet_plan.seed = plan.seed;
  fleet_plan.voters = plan.voters;
  fleet_plan.proxies = plan.members;
  fleet_plan.measure_processor_time = true;
  return fleet_plan;
}

void MeasureIdle(ConfigReplicaFleet& fleet, const LeasePlan& plan, std::size_t leader, LeaseCost& cost) {
  const Totals before = TotalsOf(fleet, leader);
  fleet.RunFor(Instant(static_cast<Instant::rep>(plan.idle_seconds * 1e9)));
  const Totals idle = Difference(TotalsOf(fleet, leader), before);
  const double members = static_cast<double>(plan.members);
  cost.bytes_per_s = idle.bytes / plan.idle_seconds / members;
  cost.leader_bytes_per_s = idle.leader_bytes / plan.idle_seconds;
  cost.leader_core_percent = idle.leader_us / 1e4 / plan.idle_seconds;
  cost.member_core_percent = idle.others_us / 1e4 / plan.idle_seconds / (members - 1);
}

void MeasureChanges(ConfigReplicaFleet& fleet, const LeasePlan& plan, std::size_t leader, LeaseCost& cost) {
  if (plan.changes == 0) return;
  const Totals before = TotalsOf(fleet, leader);
  const Instant started_at = fleet.now();
  for (std::size_t i = 0; i < plan.changes; ++i) {
    const Instant proposed_at = fleet.now();
    fleet.Propose(i * kProposerStride % plan.members, i, DocumentOf(i, plan.document_bytes), kChangeTimeout);
    const bool activated = RunUntilAllUse(fleet, i + 1, kChangeTimeout);
    cost.activation_ms.push_back(activated ? InSeconds(fleet.now() - proposed_at) * 1e3 : kTimedOutMs);
    fleet.RunFor(kPauseAfterChange);
  }
  const Totals totals = Difference(TotalsOf(fleet, leader), before);
  const double seconds = InSeconds(fleet.now() - started_at);
  const double changes = static_cast<double>(plan.changes);
  const double members = static_cast<double>(plan.members);
  cost.bytes_per_change = (totals.bytes - cost.bytes_per_s * members * seconds) / changes;
  cost.leader_bytes_per_change = (totals.leader_bytes - cost.leader_bytes_per_s * seconds) / changes;
  cost.leader_core_percent_in_changes = totals.leader_us / 1e4 / seconds;
}

}  // namespace

LeaseCost MeasureLeases(const LeasePlan& plan) {
  ConfigReplicaFleet fleet(FleetPlanOf(plan));
  fleet.links().default_faults().delay = plan.delay;
  fleet.links().default_faults().spread = plan.spread;
  LeaseCost cost;
  cost.all_leased = RunUntilAllUse(fleet, 0, kFirstLeaseTimeout);
  const auto leader = fleet.Leader();
  if (!cost.all_leased || !leader) return cost;
  fleet.RunFor(2s);
  MeasureIdle(fleet, plan, *leader, cost);
  MeasureChanges(fleet, plan, *leader, cost);
  cost.contradiction_ms = InSeconds(fleet.longest_contradiction()) * 1e3;
  cost.stale_uses = fleet.stale_uses();
  return cost;
}

}  // namespace lemoncroft::benchmark

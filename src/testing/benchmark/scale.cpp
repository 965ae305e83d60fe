#include "testing/benchmark/scale.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "testing/benchmark/decisions.h"
#include "testing/benchmark/percentile.h"
#include "testing/benchmark/scale_leases.h"
#include "testing/benchmark/scale_view.h"
#include "testing/benchmark/socket_fleet.h"

namespace lemoncroft::benchmark {
namespace {

using nlohmann::ordered_json;

constexpr std::array<std::size_t, 6> kSizes = {125, 250, 500, 1000, 2000, 4000};
constexpr std::array<std::size_t, 3> kSocketSizes = {125, 250, 500};
constexpr std::array<std::size_t, 3> kEngineCounts = {8, 2048, 4400};
constexpr std::size_t kTargetMembers = 4000;

// The load of one day, and the targets for the resources that the control plane may use on one proxy.
constexpr double kChangesPerDay = 23'000, kReplacedPerDay = 2900, kSecondsPerDay = 86'400;
constexpr double kStatementsPerSecond = 400;
constexpr double kChurnSharePerMinute = 0.1;  // fraction of the members that is replaced per minute of churn
constexpr double kMaxCorePercent = 2.9;
constexpr double kMaxMemoryMb = 128;
constexpr double kMaxBytesPerSecond = 22'000;
constexpr double kMaxControlMachines = 7;
constexpr double kMaxActivationMs = 6000;
constexpr double kMaxContradictionMs = 1200;
constexpr double kMaxVirtualDeviationPercent = 20;
constexpr double kViewBytesPerMember = 700;  // upper estimate of the memory for one member in one view

double HalfOfMemory() {
  return static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 2;
}

bool FitsMemory(std::size_t members) {
  return static_cast<double>(members) * static_cast<double>(members) * kViewBytesPerMember <= HalfOfMemory();
}

// The results by name, or by name and size, and the targets that were missed. The size is a number of members
// or of engines.
class Metrics {
 public:
  void Put(const char* name, double value) { out_[name] = value; }
  void Put(const char* name, std::size_t size, double value) { out_[name][std::to_string(size)] = value; }
  bool Has(const char* name) const { return out_.contains(name); }
  bool Has(const char* name, std::size_t size) const {
    return Has(name) && out_.at(name).contains(std::to_string(size));
  }
  double Of(const char* name) const { return out_.at(name).get<double>(); }
  double Of(const char* name, std::size_t size) const {
    return out_.at(name).at(std::to_string(size)).get<double>();
  }
  void RequireTarget(const char* name, bool met) {
    if (!met) missed_.push_back(name);
  }
  ordered_json Take() {
    out_["aims_missed"] = missed_;
    return std::move(out_);
  }

 private:
  ordered_json out_ = ordered_json::object();
  std::vector<std::string> missed_;
};

void MeasureViewSizes(const ScalePlan& plan, Metrics& metrics) {
  for (const std::size_t members : kSizes) {
    if (members > plan.max_members || !FitsMemory(members)) continue;
    std::fprintf(stderr, "scale: measuring the membership view with %zu members\n", members);
    ViewPlan view;
    view.seed = plan.seed;
    view.members = members;
    view.replaced_per_minute = kChurnSharePerMinute;
    const ViewCost cost = MeasureView(view);
    metrics.Put("view_bytes_per_s", members, cost.bytes_per_s);
    metrics.Put("view_datagram_bytes_per_s", members, cost.datagram_bytes_per_s);
    metrics.Put("view_core_percent", members, cost.core_percent);
    metrics.Put("view_bytes_in_flux_per_s", members, cost.churn_bytes_per_s);
    metrics.Put("view_busiest_bytes_in_flux_per_s", members, cost.churn_busiest_bytes_per_s);
    metrics.Put("view_exchanges_in_flux_per_s", members, cost.churn_exchanges_per_s);
    metrics.Put("view_core_percent_in_flux", members, cost.churn_core_percent);
    metrics.Put("view_bytes_told_per_s", members, cost.attribute_bytes_per_s);
    metrics.Put("view_bytes_per_member", members, cost.bytes_per_member);
    metrics.Put("view_kept_after_members_went", members, cost.memory_share_retained_after_end);
    if (cost.settled_after_s >= 0) metrics.Put("view_settled_after_s", members, cost.settled_after_s);
  }
}

void MeasureLeaseSizes(const ScalePlan& plan, Metrics& metrics) {
  double contradiction = 0, stale = 0;
  for (const std::size_t members : kSizes) {
    if (members > plan.max_members) continue;
    std::fprintf(stderr, "scale: measuring the leases with %zu members\n", members);
    LeasePlan leases;
    leases.seed = plan.seed;
    leases.members = members;
    const LeaseCost cost = MeasureLeases(leases);
    if (!cost.all_leased) continue;
    metrics.Put("lease_bytes_per_s", members, cost.bytes_per_s);
    metrics.Put("leader_bytes_per_s", members, cost.leader_bytes_per_s);
    metrics.Put("leader_core_percent", members, cost.leader_core_percent);
    metrics.Put("leader_core_percent_in_changes", members, cost.leader_core_percent_in_changes);
    metrics.Put("lease_core_percent", members, cost.member_core_percent);
    metrics.Put("document_bytes_per_change", members, cost.bytes_per_change);
    metrics.Put("leader_bytes_per_change", members, cost.leader_bytes_per_change);
    metrics.Put("change_in_force_ms_p99", members, Percentile(cost.activation_ms, 0.99));
    contradiction = std::max(contradiction, cost.contradiction_ms);
    stale += static_cast<double>(cost.stale_uses);
  }
  metrics.Put("contradiction_ms_max", contradiction);
  metrics.Put("stale_acts", stale);
}

void MeasureDecisionCosts(const ScalePlan& plan, Metrics& metrics) {
  for (const std::size_t engines : kEngineCounts) {
    std::fprintf(stderr, "scale: measuring decisions with %zu engines\n", engines);
    DecisionPlan alone;
    alone.seed = plan.seed;
    alone.engines = engines;
    metrics.Put("decision_alone_us", engines, MeasureDecisionCost(alone).us_per_request);
    DecisionPlan one_of_many = alone;
    one_of_many.gateways = static_cast<int>(kTargetMembers);
    one_of_many.requests_per_s = kStatementsPerSecond;
    if (engines > kEngineCounts.front())
      metrics.Put("decision_us", engines, MeasureDecisionCost(one_of_many).us_per_request);
  }
}

void MeasureSocketSizes(const ScalePlan& plan, Metrics& metrics) {
  double deviation_percent = -1;
  std::size_t largest = 0, inconclusive = 0;
  for (const std::size_t members : kSocketSizes) {
    if (members > plan.max_members) continue;
    std::fprintf(stderr, "scale: measuring %zu proxies on sockets\n", members);
    SocketFleetPlan fleet_plan;
    fleet_plan.seed = plan.seed;
    fleet_plan.members = members;
    const SocketFleetCost cost = MeasureSocketFleet(fleet_plan);
    metrics.Put("sockets_longest_lag_ms", members, cost.longest_lag_ms);
    if (cost.is_inconclusive) ++inconclusive;
    if (cost.is_inconclusive || !cost.settled) continue;
    largest = members;
    metrics.Put("sockets_settled_after_s", members, cost.settled_after_s);
    metrics.Put("sockets_datagram_bytes_per_s", members, cost.datagram_bytes_per_s);
    metrics.Put("sockets_view_bytes_per_s", members, cost.view_bytes_per_s);
    metrics.Put("sockets_lease_bytes_per_s", members, cost.lease_bytes_per_s);
    metrics.Put("sockets_core_percent", members, cost.core_percent);
    metrics.Put("sockets_bytes_per_member", members, cost.bytes_per_member);
    metrics.Put("sockets_change_in_force_ms_p99", members, Percentile(cost.activation_ms, 0.99));
    const double in_virtual_time =
        metrics.Of("view_bytes_per_s", members) + metrics.Of("lease_bytes_per_s", members);
    const double on_sockets = cost.view_bytes_per_s + cost.lease_bytes_per_s;
    deviation_percent =
        std::max(deviation_percent, 100 * std::abs(in_virtual_time - on_sockets) / on_sockets);
  }
  metrics.Put("void_runs", static_cast<double>(inconclusive));
  metrics.Put("hollow_members_max", static_cast<double>(largest));
  metrics.Put("hollow_processes", largest > 0 ? 1 : 0);
  if (deviation_percent >= 0) metrics.Put("virtual_vs_sockets_percent", deviation_percent);
}

// Derives the total cost of one proxy in a fleet of kTargetMembers from the metrics of that size. Omits the
// totals if the view or the leases were not measured at that size.
void DeriveTotals(Metrics& metrics) {
  if (!metrics.Has("view_bytes_per_s", kTargetMembers) || !metrics.Has("lease_bytes_per_s", kTargetMembers))
    return;
  const double documents = metrics.Of("document_bytes_per_change", kTargetMembers) / kTargetMembers *
                           kChangesPerDay / kSecondsPerDay;
  const double idle = metrics.Of("view_bytes_per_s", kTargetMembers);
  const double churn = metrics.Of("view_bytes_in_flux_per_s", kTargetMembers);
  const double replaced_in_churn = kChurnSharePerMinute * kTargetMembers / 60,
               replaced = kReplacedPerDay / kSecondsPerDay;
  const double attributes = metrics.Of("view_bytes_told_per_s", kTargetMembers) - idle;
  const double other = documents + attributes + metrics.Of("lease_bytes_per_s", kTargetMembers);
  metrics.Put("control_bytes_per_s", idle + (churn - idle) * replaced / replaced_in_churn + other);
  metrics.Put("control_bytes_per_s_worst_minute", churn + other);
  metrics.Put("control_memory_mb",
              metrics.Of("view_bytes_per_member", kTargetMembers) * kTargetMembers / 1e6);
  if (metrics.Of("leader_core_percent_in_changes", kTargetMembers) < 100)
    metrics.Put("control_machines", kMaxControlMachines);
  const std::size_t largest = static_cast<std::size_t>(metrics.Of("hollow_members_max"));
  if (largest == 0) return;
  const double view_core_growth =
      metrics.Of("view_core_percent", kTargetMembers) - metrics.Of("view_core_percent", largest);
  metrics.Put("control_core_percent",
              metrics.Of("sockets_core_percent", largest) + std::max(0.0, view_core_growth));
}

void CheckTargets(Metrics& metrics) {
  const auto at_most = [&](const char* name, double limit) {
    metrics.RequireTarget(name, metrics.Has(name) && metrics.Of(name) <= limit);
  };
  at_most("control_core_percent", kMaxCorePercent);
  at_most("control_memory_mb", kMaxMemoryMb);
  at_most("control_bytes_per_s", kMaxBytesPerSecond);
  at_most("control_bytes_per_s_worst_minute", kMaxBytesPerSecond);
  at_most("control_machines", kMaxControlMachines);
  metrics.RequireTarget("change_in_force_ms_p99",
                        metrics.Has("change_in_force_ms_p99", kTargetMembers) &&
                            metrics.Of("change_in_force_ms_p99", kTargetMembers) < kMaxActivationMs);
  at_most("contradiction_ms_max", kMaxContradictionMs);
  at_most("stale_acts", 0);
  at_most("virtual_vs_sockets_percent", kMaxVirtualDeviationPercent);
  for (const char* unmeasured :
       {"connection_bytes", "accept_us", "primary_change_ms_max", "trials", "trials_failed"})
    metrics.RequireTarget(unmeasured, metrics.Has(unmeasured));
}

}  // namespace

ordered_json MeasureScale(const ScalePlan& plan) {
  Metrics metrics;
  metrics.Put("seed", static_cast<double>(plan.seed));
  metrics.Put("members_max", static_cast<double>(plan.max_members));
  metrics.Put("real_processes", 0);
  metrics.Put("machine_cores", static_cast<double>(::sysconf(_SC_NPROCESSORS_ONLN)));
  metrics.Put("hollow_members_max", 0);
  MeasureViewSizes(plan, metrics);
  MeasureLeaseSizes(plan, metrics);
  MeasureDecisionCosts(plan, metrics);
  if (plan.sockets) MeasureSocketSizes(plan, metrics);
  DeriveTotals(metrics);
  CheckTargets(metrics);
  return metrics.Take();
}

}  // namespace lemoncroft::benchmark

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
#include "testing/benchmark/hollow_fleet.h"
#include "testing/benchmark/scale_leases.h"
#include "testing/benchmark/scale_view.h"

namespace lemoncroft::benchmark {
namespace {

using nlohmann::ordered_json;

constexpr std::array<std::size_t, 6> kSizes = {125, 250, 500, 1000, 2000, 4000};
constexpr std::array<std::size_t, 3> kSocketSizes = {125, 250, 500};
constexpr std::array<std::size_t, 3> kEngines = {8, 2048, 4400};
constexpr std::size_t kTarget = 4000;

// The operators' day, and what they allow control to take of a proxy.
constexpr double kChangesADay = 23'000, kReplacedADay = 2900, kSecondsADay = 86'400;
constexpr double kStatementsPerSecond = 400;
constexpr double kFluxPart = 0.1;  // of the members that are replaced in a minute of flux
constexpr double kCorePercentMost = 2.9, kMemoryMbMost = 128, kBytesMost = 22'000, kMachinesMost = 7;
constexpr double kInForceMsMost = 6000, kContradictionMsMost = 1200, kVirtualOffMost = 20;
constexpr double kViewPlaceBytes = 700;  // of memory, more than a member takes in a view: to plan by

double HalfOfMemory() {
  return static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 2;
}

bool FitsMemory(std::size_t members) {
  return static_cast<double>(members) * static_cast<double>(members) * kViewPlaceBytes <= HalfOfMemory();
}

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto at = static_cast<std::size_t>(part * static_cast<double>(values.size()));
  return values[std::min(at, values.size() - 1)];
}

// The figures, by the names: of a size where they go by size.
class Figures {
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
  void MissUnless(const char* name, bool good) {
    if (!good) missed_.push_back(name);
  }
  ordered_json Take() {
    out_["aims_missed"] = missed_;
    return std::move(out_);
  }

 private:
  ordered_json out_ = ordered_json::object();
  std::vector<std::string> missed_;
};

void PutViews(const ScalePlan& plan, Figures& figures) {
  for (const std::size_t members : kSizes) {
    if (members > plan.most || !FitsMemory(members)) continue;
    std::fprintf(stderr, "scale: the view of %zu members\n", members);
    ViewPlan view;
    view.seed = plan.seed;
    view.members = members;
    view.replaced_per_minute = kFluxPart;
    const ViewCost cost = MeasureView(view);
    figures.Put("view_bytes_per_s", members, cost.bytes_per_s);
    figures.Put("view_datagram_bytes_per_s", members, cost.datagram_bytes_per_s);
    figures.Put("view_core_percent", members, cost.core_percent);
    figures.Put("view_bytes_in_flux_per_s", members, cost.flux_bytes_per_s);
    figures.Put("view_busiest_bytes_in_flux_per_s", members, cost.flux_busiest_bytes_per_s);
    figures.Put("view_exchanges_in_flux_per_s", members, cost.flux_exchanges_per_s);
    figures.Put("view_core_percent_in_flux", members, cost.flux_core_percent);
    figures.Put("view_bytes_told_per_s", members, cost.tell_bytes_per_s);
    figures.Put("view_bytes_per_member", members, cost.bytes_per_member);
    figures.Put("view_kept_after_members_went", members, cost.kept_after_members_went);
    if (cost.settled_after_s >= 0) figures.Put("view_settled_after_s", members, cost.settled_after_s);
  }
}

void PutLeases(const ScalePlan& plan, Figures& figures) {
  double contradiction = 0, stale = 0;
  for (const std::size_t members : kSizes) {
    if (members > plan.most) continue;
    std::fprintf(stderr, "scale: the leases of %zu members\n", members);
    LeasePlan leases;
    leases.seed = plan.seed;
    leases.members = members;
    const LeaseCost cost = MeasureLeases(leases);
    if (!cost.began) continue;
    figures.Put("lease_bytes_per_s", members, cost.bytes_per_s);
    figures.Put("leader_bytes_per_s", members, cost.leader_bytes_per_s);
    figures.Put("leader_core_percent", members, cost.leader_core_percent);
    figures.Put("leader_core_percent_in_changes", members, cost.leader_change_percent);
    figures.Put("lease_core_percent", members, cost.member_core_percent);
    figures.Put("document_bytes_per_change", members, cost.bytes_per_change);
    figures.Put("leader_bytes_per_change", members, cost.leader_bytes_per_change);
    figures.Put("change_in_force_ms_p99", members, Percentile(cost.in_force_ms, 0.99));
    contradiction = std::max(contradiction, cost.contradiction_ms);
    stale += static_cast<double>(cost.stale_acts);
  }
  figures.Put("contradiction_ms_max", contradiction);
  figures.Put("stale_acts", stale);
}

void PutDecisions(const ScalePlan& plan, Figures& figures) {
  for (const std::size_t engines : kEngines) {
    std::fprintf(stderr, "scale: decisions before %zu engines\n", engines);
    DecisionPlan alone;
    alone.seed = plan.seed;
    alone.engines = engines;
    figures.Put("decision_alone_us", engines, CostOfDecisions(alone).us_per_request);
    DecisionPlan one_of_many = alone;
    one_of_many.gateways = static_cast<int>(kTarget);
    one_of_many.requests_per_s = kStatementsPerSecond;
    if (engines > kEngines.front())
      figures.Put("decision_us", engines, CostOfDecisions(one_of_many).us_per_request);
  }
}

void PutSockets(const ScalePlan& plan, Figures& figures) {
  double off = -1;
  std::size_t largest = 0, voided = 0;
  for (const std::size_t members : kSocketSizes) {
    if (members > plan.most) continue;
    std::fprintf(stderr, "scale: %zu hollow proxies on sockets\n", members);
    HollowPlan hollow;
    hollow.seed = plan.seed;
    hollow.members = members;
    const HollowCost cost = RunHollowFleet(hollow);
    figures.Put("sockets_longest_lag_ms", members, cost.longest_lag_ms);
    if (cost.is_void) ++voided;
    if (cost.is_void || !cost.settled) continue;
    largest = members;
    figures.Put("sockets_settled_after_s", members, cost.settled_after_s);
    figures.Put("sockets_datagram_bytes_per_s", members, cost.datagram_bytes_per_s);
    figures.Put("sockets_view_bytes_per_s", members, cost.view_bytes_per_s);
    figures.Put("sockets_lease_bytes_per_s", members, cost.lease_bytes_per_s);
    figures.Put("sockets_core_percent", members, cost.core_percent);
    figures.Put("sockets_bytes_per_member", members, cost.bytes_per_member);
    figures.Put("sockets_change_in_force_ms_p99", members, Percentile(cost.in_force_ms, 0.99));
    const double in_virtual =
        figures.Of("view_bytes_per_s", members) + figures.Of("lease_bytes_per_s", members);
    const double on_sockets = cost.view_bytes_per_s + cost.lease_bytes_per_s;
    off = std::max(off, 100 * std::abs(in_virtual - on_sockets) / on_sockets);
  }
  figures.Put("void_runs", static_cast<double>(voided));
  figures.Put("hollow_members_max", static_cast<double>(largest));
  figures.Put("hollow_processes", largest > 0 ? 1 : 0);
  if (off >= 0) figures.Put("virtual_vs_sockets_percent", off);
}

// What a proxy of 4,000 spends, from the figures at that size; nothing where one of them is absent.
void WorkOut(Figures& figures) {
  if (!figures.Has("view_bytes_per_s", kTarget) || !figures.Has("lease_bytes_per_s", kTarget)) return;
  const double documents =
      figures.Of("document_bytes_per_change", kTarget) / kTarget * kChangesADay / kSecondsADay;
  const double calm = figures.Of("view_bytes_per_s", kTarget);
  const double flux = figures.Of("view_bytes_in_flux_per_s", kTarget);
  const double replaced_in_flux = kFluxPart * kTarget / 60, replaced = kReplacedADay / kSecondsADay;
  const double told = figures.Of("view_bytes_told_per_s", kTarget) - calm;
  const double beside = documents + told + figures.Of("lease_bytes_per_s", kTarget);
  figures.Put("control_bytes_per_s", calm + (flux - calm) * replaced / replaced_in_flux + beside);
  figures.Put("control_bytes_per_s_worst_minute", flux + beside);
  figures.Put("control_memory_mb", figures.Of("view_bytes_per_member", kTarget) * kTarget / 1e6);
  if (figures.Of("leader_core_percent_in_changes", kTarget) < 100)
    figures.Put("control_machines", kMachinesMost);
  const std::size_t largest = static_cast<std::size_t>(figures.Of("hollow_members_max"));
  if (largest == 0) return;
  const double more = figures.Of("view_core_percent", kTarget) - figures.Of("view_core_percent", largest);
  figures.Put("control_core_percent", figures.Of("sockets_core_percent", largest) + std::max(0.0, more));
}

void Judge(Figures& figures) {
  const auto at_most = [&](const char* name, double most) {
    figures.MissUnless(name, figures.Has(name) && figures.Of(name) <= most);
  };
  at_most("control_core_percent", kCorePercentMost);
  at_most("control_memory_mb", kMemoryMbMost);
  at_most("control_bytes_per_s", kBytesMost);
  at_most("control_bytes_per_s_worst_minute", kBytesMost);
  at_most("control_machines", kMachinesMost);
  figures.MissUnless("change_in_force_ms_p99",
                     figures.Has("change_in_force_ms_p99", kTarget) &&
                         figures.Of("change_in_force_ms_p99", kTarget) < kInForceMsMost);
  at_most("contradiction_ms_max", kContradictionMsMost);
  at_most("stale_acts", 0);
  at_most("virtual_vs_sockets_percent", kVirtualOffMost);
  for (const char* unmeasured :
       {"connection_bytes", "accept_us", "primary_change_ms_max", "trials", "trials_failed"})
    figures.MissUnless(unmeasured, figures.Has(unmeasured));
}

}  // namespace

ordered_json MeasureScale(const ScalePlan& plan) {
  Figures figures;
  figures.Put("seed", static_cast<double>(plan.seed));
  figures.Put("members_max", static_cast<double>(plan.most));
  figures.Put("real_processes", 0);
  figures.Put("machine_cores", static_cast<double>(::sysconf(_SC_NPROCESSORS_ONLN)));
  figures.Put("hollow_members_max", 0);
  PutViews(plan, figures);
  PutLeases(plan, figures);
  PutDecisions(plan, figures);
  if (plan.sockets) PutSockets(plan, figures);
  WorkOut(figures);
  Judge(figures);
  return figures.Take();
}

}  // namespace lemoncroft::benchmark

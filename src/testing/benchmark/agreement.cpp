#include "testing/benchmark/agreement.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <thread>
#include <vector>

#include "testing/benchmark/peers.h"
#include "testing/benchmark/percentile.h"
#include "testing/model_check/lease_world.h"
#include "testing/model_check/raft_model.h"
#include "testing/simulation/config_replica_fleet.h"
#include "testing/simulation/loop_stall.h"
#include "testing/simulation/store_workload.h"

namespace lemoncroft::benchmark {
namespace {

using nlohmann::ordered_json;
using simulation::ConfigReplicaFleet;
using simulation::Instant;
using namespace std::chrono_literals;

constexpr int kParallelRuns = 3, kTrialsPerRun = 14;
constexpr double kDocumentedMaxContradictionMs = 1200;

// The measured fault tests. Each runs seven proxies.
constexpr const char* kChangesTest = R"(trial "changes, no faults" {
  proxies 7; voters "n1" "n2" "n3"; load 20; changes 2; each-once #true; seed SEED
  at "20s" { heal }
})";
constexpr const char* kLeaderFailuresTest = R"(trial "voters are killed in turn, changes at every moment" {
  proxies 7; voters "n1" "n2" "n3"; load 20; changes 15; seed SEED
  at "3s" { kill "n1" }
  at "6s" { start "n1" }
  at "9s" { kill "n2" }
  at "12s" { start "n2" }
  at "15s" { kill "n3" }
  at "18s" { start "n3" }
  at "21s" { heal }
})";
constexpr const char* kPartitionsTest = R"(trial "a minority is cut off, whoever leads" {
  proxies 7; voters "n1" "n2" "n3"; load 40; changes 2; seed SEED
  at "3s" { part "n1 n4 n5" "n2 n3 n6 n7" }
  at "13s" { heal }
  at "15s" { part "n2 n4 n6" "n1 n3 n5 n7" }
  at "25s" { heal }
  at "27s" { part "n3 n4 n7" "n1 n2 n5 n6" }
  at "37s" { heal }
})";
constexpr const char* kIndependentFilesTest = R"(trial "each its own file" {
  proxies 7; load 20; files #true; seed SEED
  at "3s" { part "n1 n4 n5" "n2 n3 n6 n7" }
  at "8s" { heal }
  at "10s" { stall "n5" "2500ms" }
  at "15s" { heal }
})";

std::vector<double> Numbers(const ordered_json& json, const char* name) {
  return json.contains(name) ? json.at(name).get<std::vector<double>>() : std::vector<double>();
}

ordered_json RunFaultTest(const AgreementPlan& plan, std::string text, ordered_json& sum) {
  const std::string file = "/tmp/lemoncroft-measure-" + std::to_string(::getpid()) + ".kdl";
  text.replace(text.find("SEED"), 4, std::to_string(plan.seed));
  std::ofstream(file) << text;
  const std::string output = CommandOutput(plan.fault_test_program + " " + file);
  std::remove(file.c_str());
  ordered_json result = ParseLastLine(output);
  if (result.value("trials_failed", 1.0) > 0) std::fputs(output.c_str(), stderr);
  sum["trials"] = sum.value("trials", 0.0) + result.value("trials", 0.0);
  sum["trials_failed"] = sum.value("trials_failed", 0.0) + result.value("trials_failed", 1.0);
  return result;
}

// Runs the random fault tests in parallel processes and returns their outputs.
std::vector<std::string> RunRandomFaultTests(const AgreementPlan& plan) {
  std::vector<std::string> outputs(kParallelRuns);
  {
    std::vector<std::jthread> runs;
    runs.reserve(kParallelRuns);
    for (int i = 0; i < kParallelRuns; ++i)
      runs.emplace_back([&, i] {
        outputs[static_cast<std::size_t>(i)] = CommandOutput(
            plan.fault_test_program + " --rules --random " +
            std::to_string(plan.seed * 1000 + static_cast<std::uint64_t>(i * kTrialsPerRun) + 1) +
            " --count " + std::to_string(kTrialsPerRun) + " --proxies 7");
      });
  }
  return outputs;
}

// Totals over fault tests. A fault test without a result counts as the worst case.
struct TrialSums {
  double contradiction_ms = 0, stale_uses = 0, histories = 0, not_linearizable = 0, inconclusive = 0,
         uses = 0;

  void Add(const ordered_json& trial) {
    contradiction_ms = std::max(contradiction_ms, trial.value("contradiction_ms_max", 1e9));
    stale_uses += trial.value("stale_acts", 1e9);
    histories += trial.value("histories", 0.0);
    not_linearizable += trial.value("not_linearizable", 1.0);
    inconclusive += trial.value("real_void", 0.0);
    uses += trial.value("acts", 0.0);
  }
};

void RunFaultTests(const AgreementPlan& plan, ordered_json& out) {
  const std::vector<std::string> outputs = RunRandomFaultTests(plan);
  ordered_json sum = ordered_json::object();
  const ordered_json changes = RunFaultTest(plan, kChangesTest, sum);
  const ordered_json leaders = RunFaultTest(plan, kLeaderFailuresTest, sum);
  const ordered_json cuts = RunFaultTest(plan, kPartitionsTest, sum);
  const ordered_json files = RunFaultTest(plan, kIndependentFilesTest, sum);
  TrialSums sums;
  double trials = sum.value("trials", 0.0), failed = sum.value("trials_failed", 0.0);
  for (const std::string& output : outputs) {
    const ordered_json result = ParseLastLine(output);
    sums.Add(result);
    trials += result.value("trials", 0.0);
    failed += result.value("trials_failed", 1.0);
    if (result.value("trials_failed", 1.0) > 0) std::fputs(output.c_str(), stderr);
  }
  for (const ordered_json* result : {&changes, &leaders, &cuts}) sums.Add(*result);
  out["contradiction_ms_max"] = sums.contradiction_ms;
  out["contradiction_ms_stated"] = kDocumentedMaxContradictionMs;
  out["stale_acts"] = sums.stale_uses;
  out["acts"] = sums.uses;
  out["linearizable"] = sums.not_linearizable == 0 ? 1 : 0;
  out["histories"] = sums.histories;
  out["trials"] = trials;
  out["trials_failed"] = failed;
  out["real_void"] = sums.inconclusive;
  out["changes_timed"] = Numbers(changes, "change_ms").size();
  out["change_ms_p50"] = Percentile(Numbers(changes, "change_ms"), 0.5);
  out["change_ms_p99"] = Percentile(Numbers(changes, "change_ms"), 0.99);
  out["leader_gap_ms_max"] = Percentile(Numbers(leaders, "gap_ms"), 1);
  const std::vector<double> shares = Numbers(cuts, "cut_shares");
  out["served_share_in_cut"] = shares.empty() ? 0 : *std::min_element(shares.begin(), shares.end());
  out["independent_files"] = {{"contradiction_ms_max", files.value("files_contradiction_ms", 0.0)}};
}

// Returns the processor time of the leases in a fleet of 100 proxies, in percent of one core per proxy.
double LeaseCostPercent(std::uint64_t seed) {
  ConfigReplicaFleet::Plan plan;
  plan.seed = seed;
  plan.proxies = 100;
  ConfigReplicaFleet fleet(plan);
  fleet.RunFor(3s);
  const std::clock_t begun = std::clock();
  fleet.RunFor(20s);
  const double seconds = static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
  return 100 * seconds / 20 / 100;
}

}  // namespace

ordered_json MeasureAgreement(const AgreementPlan& plan) {
  ordered_json out = {{"measurement", "agreement"}, {"seed", plan.seed}};
  if (plan.run_fault_tests) RunFaultTests(plan, out);
  const model_check::SearchResult found = model_check::SearchRaftModel(
      {}, {.elections = 3, .proposals = 2, .crashes = 1, .duplicates = 1, .heartbeats = 1}, plan.max_states);
  const model_check::SearchResult leases = model_check::SearchLeases({}, {}, plan.max_states);
  out["states"] = found.states + leases.states;
  out["states_of_log"] = found.states;
  out["states_of_leases"] = leases.states;
  out["states_bad"] = (found.violation.empty() ? 0 : 1) + (leases.violation.empty() ? 0 : 1);
  for (const std::string& violation : {found.violation, leases.violation})
    if (!violation.empty()) out["states_broken"] = violation;
  const simulation::CrashTestResult points = simulation::CrashAtEachOperation(3);
  out["crash_points"] = points.crashes;
  out["crash_points_bad"] = points.failures;
  simulation::SimulatedDisk disk;
  disk.set_sync_duration(5s);
  out["loop_stall_ms_max"] = simulation::MeasureLoopStallDuringWrites(disk, 2).longest_ms;
  out["lease_cost_percent"] = LeaseCostPercent(plan.seed);
  return out;
}

}  // namespace lemoncroft::benchmark

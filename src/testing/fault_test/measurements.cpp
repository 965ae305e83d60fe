#include "testing/fault_test/measurements.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace lemoncroft::fault_test {

using runtime::Now;

namespace {

// Fields of /proc/PID/stat, counted from 1: user and system time in clock ticks.
constexpr int kUserTimeField = 14, kSystemTimeField = 15;
// Key in the state file of the membership view.
constexpr const char* kTurnKey = "\"turn_us_p99\":";

double CpuTicksOf(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  double ticks = 0;
  for (int field = 1; stat >> word && field <= kSystemTimeField; ++field)
    if (field >= kUserTimeField) ticks += std::strtod(word.c_str(), nullptr);
  return ticks;
}

double Milliseconds(Duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

// Returns the time at which the first change after `time` was committed; kNever if there was none.
Time NextCommit(const LeaseHistory& leases, Time time) {
  Time next = runtime::kNever;
  for (const auto& [version, at] : leases.committed_at())
    if (at > time) next = std::min(next, at);
  return next;
}

bool IsCommittedChange(const Operation& operation) {
  return operation.kind == Operation::Kind::kChange && operation.result == Operation::Result::kCommitted;
}

}  // namespace

void MeasureProcesses(const ProxyProcesses& processes, const TrialEnvironment& environment,
                      Measurements& measurements) {
  const auto ticks_per_second = static_cast<double>(::sysconf(_SC_CLK_TCK));
  for (const auto& process : processes.all()) {
    if (processes.HasEnded(*process)) continue;
    const double ticks = CpuTicksOf(process->child->pid());
    const std::chrono::duration<double> age = Now() - processes.RecordOf(*process).started;
    measurements.cpu_percent.push_back(100 * ticks / ticks_per_second / age.count());
    std::ostringstream state;
    state << std::ifstream(environment.FolderOf(process->machine) + "/fleet.json").rdbuf();
    const std::string text = state.str();
    const std::size_t at = text.find(kTurnKey);
    if (at == std::string::npos) continue;
    const char* value = text.c_str() + at + std::string(kTurnKey).size();
    measurements.turn_us.push_back(std::strtod(value, nullptr));
  }
}

void MeasureChanges(const Trial& trial, const History& history, const LeaseHistory& leases,
                    Measurements& measurements) {
  std::vector<std::size_t> running;
  for (std::size_t i = 0; i < history.processes.size(); ++i) {
    const ProcessRecord& process = history.processes[i];
    if (!process.ended) running.push_back(i);
    if (!process.killed || !process.ended) continue;
    const Time next = NextCommit(leases, *process.ended);
    if (next != runtime::kNever) measurements.gap_ms.push_back(Milliseconds(next - *process.ended));
  }
  if (!trial.measure_each_change) return;
  for (const Operation& operation : leases.operations) {
    if (!IsCommittedChange(operation)) continue;
    const Time activated = leases.ActivatedByAll(operation.version, running);
    if (activated != runtime::kNever)
      measurements.change_ms.push_back(Milliseconds(activated - operation.invoked));
  }
}

std::size_t PartitionAvailability::VotersAmong(const ProxyNames& names) const {
  return static_cast<std::size_t>(std::count_if(names.begin(), names.end(), [&](const std::string& name) {
    return std::find(trial_.voters.begin(), trial_.voters.end(), name) != trial_.voters.end();
  }));
}

void PartitionAvailability::Begin(const std::vector<ProxyNames>& groups) {
  End();
  std::size_t most_voters = 0;
  for (const ProxyNames& group : groups) {
    std::vector<std::size_t> machines;
    for (const std::string& name : group) machines.push_back(environment_.MachineOf(name));
    const std::size_t voters = VotersAmong(group);
    if (voters <= most_voters) continue;
    most_voters = voters;
    majority_side_ = std::move(machines);
  }
  counts_before_ = load_.CountsOf(majority_side_);
}

void PartitionAvailability::End() {
  if (majority_side_.empty()) return;
  const RequestCounts now = load_.CountsOf(majority_side_);
  majority_side_.clear();
  const std::uint64_t sent = now.sent - counts_before_.sent;
  const std::uint64_t served = now.served - counts_before_.served;
  if (sent > 0) measurements_.cut_shares.push_back(static_cast<double>(served) / static_cast<double>(sent));
}

}  // namespace lemoncroft::fault_test

#include "testing/fault_test/trial_runner.h"

#include <algorithm>
#include <exception>
#include <filesystem>
#include <sstream>
#include <system_error>

#include "testing/fault_test/member_forgery.h"
#include "testing/fault_test/store_faults.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;

namespace {

constexpr auto kServingPollInterval = 10ms;
constexpr auto kDrainTime = 2500ms;             // requests wait for at most 2 s
constexpr Duration kMaxContradiction = 1200ms;  // bound T of docs/agreement.md
constexpr std::size_t kSpareMachines = 2;       // for processes with a name that is already in use
constexpr double kMinDetectionPeriods = 25;
constexpr int kExtraRecoveryPeriods = 10;
constexpr auto kExtraRecoveryTime = 300ms;

Trial WithMachines(Trial trial) {
  if (trial.machines < trial.proxies) trial.machines = trial.proxies + kSpareMachines;
  return trial;
}

// Each group is a list of names separated by blanks.
std::vector<std::vector<std::string>> SplitGroups(const std::vector<std::string>& groups) {
  std::vector<std::vector<std::string>> out;
  for (const std::string& group : groups) {
    std::istringstream words(group);
    std::vector<std::string>& names = out.emplace_back();
    for (std::string name; words >> name;) names.push_back(name);
  }
  return out;
}

}  // namespace

TrialRunner::TrialRunner(const Trial& trial, std::string program, std::string folder)
    : trial_(WithMachines(trial)),
      links_(trial.seed),
      environment_(loop_, trial_, std::move(folder)),
      relay_(loop_, links_, trial_.machines, environment_.gossip_port()),
      processes_(loop_, trial_, environment_, std::move(program), history_, findings_,
                 [this](const ProxyProcess& process, const std::string& line) {
                   leases_.RecordLogLine(process.record, process.name, line);
                   file_rollout_.HandleLogLine(process, line);
                 }),
      link_faults_(loop_, links_, trial_.gossip_period),
      load_(loop_, environment_),
      operators_(loop_, environment_, processes_, leases_, findings_),
      proposals_(loop_, trial_, processes_, operators_),
      file_rollout_(loop_, trial_, environment_, processes_, link_faults_),
      config_check_(loop_, trial_, processes_, operators_, leases_, findings_),
      partition_availability_(trial_, environment_, load_, measurements_) {}

TrialOutcome TrialRunner::Run() {
  relay_.Start();
  environment_.StartServers();
  started_ = Now();
  for (std::size_t machine = 1; machine <= trial_.proxies; ++machine)
    processes_.Launch("n" + std::to_string(machine), machine);
  loop_.Spawn(RunScript());
  loop_.Spawn(processes_.Watch());
  loop_.Run();
  return CheckHistory();
}

TrialOutcome TrialRunner::CheckHistory() {
  Slack slack;
  slack.settle_periods = trial_.settle_periods;
  TrialOutcome outcome = history_.Check(trial_.gossip_period, slack);
  for (const Action& action : trial_.actions) {
    if (action.type != ActionType::kExpectLogged) continue;
    if (!processes_.HasLogged(action.names[0], action.names[1]))
      findings_.violations.push_back("no process of " + action.names[0] + " logged '" + action.names[1] +
                                     "'");
  }
  if (trial_.roll_out_files)
    measurements_.files_contradiction_ms = file_rollout_.MaxContradictionMs(history_.end);
  if (HasReplicatedConfig()) {
    lease_result_ = leases_.Check(kMaxContradiction);
    findings_.violations.insert(findings_.violations.end(), lease_result_.violations.begin(),
                                lease_result_.violations.end());
    MeasureChanges(trial_, history_, leases_, measurements_);
  }
  outcome.violations.insert(outcome.violations.end(), findings_.violations.begin(),
                            findings_.violations.end());
  outcome.void_reasons.insert(outcome.void_reasons.end(), findings_.void_reasons.begin(),
                              findings_.void_reasons.end());
  return outcome;
}

Task<> TrialRunner::RunScript() {
  co_await AwaitAllServing();
  started_ = Now();
  history_.last_fault = started_;
  StartWorkloads();
  co_await RunActions();
  RecordLinkFaults();
  co_await AwaitRecovery();
  proposals_.Stop();
  file_rollout_.Stop();
  if (HasReplicatedConfig()) co_await config_check_.Run();
  if (trial_.requests_per_second > 0) co_await StopLoad();
  history_.end = Now();
  MeasureProcesses(processes_, environment_, measurements_);
  loop_.Stop();
}

Task<> TrialRunner::AwaitAllServing() {
  const Time deadline = Now() + kStartTimeout;
  while (Now() < deadline && !processes_.AllServe()) co_await loop_.Sleep(kServingPollInterval);
}

void TrialRunner::StartWorkloads() {
  if (trial_.flood_readiness_queries)
    for (std::size_t machine = 1; machine <= trial_.proxies; ++machine)
      loop_.Spawn(load_.FloodReadinessQueries(machine));
  if (trial_.requests_per_second > 0) load_.Start(trial_.proxies, trial_.requests_per_second);
  if (trial_.roll_out_files)
    loop_.Spawn(file_rollout_.Run());
  else if (trial_.changes_per_second > 0)
    loop_.Spawn(proposals_.Run());
}

Task<> TrialRunner::RunActions() {
  for (const Action& action : trial_.actions) {
    co_await loop_.SleepUntil(started_ + action.at);
    try {
      RunAction(action);
    } catch (const std::exception& error) {
      findings_.violations.emplace_back(error.what());
    }
    if (action.type == ActionType::kExpectLogged) continue;
    // A stall continues after its action and may outlast later actions.
    const Duration duration = action.type == ActionType::kStall ? action.duration : Duration(0);
    history_.last_fault = std::max(history_.last_fault, Now() + duration);
  }
}

Task<> TrialRunner::AwaitRecovery() {
  const double periods = std::max(trial_.settle_periods, kMinDetectionPeriods) + kExtraRecoveryPeriods;
  Duration recovery_time = trial_.gossip_period * static_cast<int>(periods) + kExtraRecoveryTime;
  if (HasReplicatedConfig()) recovery_time = std::max(recovery_time, kRecoveryTimeout);
  co_await loop_.SleepUntil(history_.last_fault + recovery_time);
}

Task<> TrialRunner::StopLoad() {
  load_.Stop();
  co_await loop_.Sleep(kDrainTime);
  load_.CheckResponses(processes_, findings_);
}

void TrialRunner::RecordLinkFaults() {
  const bool faulty = link_faults_.AnyFault();
  const bool recorded = !history_.fault_intervals.empty() && !history_.fault_intervals.back().until;
  if (faulty && !recorded) history_.fault_intervals.push_back({Now(), std::nullopt});
  if (!faulty && recorded) history_.fault_intervals.back().until = Now();
}

void TrialRunner::RunAction(const Action& action) {
  switch (action.type) {
    case ActionType::kKill:
    case ActionType::kTerminate:
    case ActionType::kStart:
    case ActionType::kStartWithoutState:
    case ActionType::kHotRestart:
    case ActionType::kDuplicate:
    case ActionType::kStall:
      RunProcessAction(action);
      break;
    case ActionType::kCutLink:
    case ActionType::kRestoreLink:
    case ActionType::kFlapLinks:
    case ActionType::kPartition:
    case ActionType::kHealLinks:
    case ActionType::kSetLinkConditions:
    case ActionType::kForgeMembers:
      RunLinkAction(action);
      break;
    case ActionType::kPropose:
    case ActionType::kEject:
    case ActionType::kUneject:
    case ActionType::kChangeVoter:
      RunOperatorAction(action);
      break;
    case ActionType::kEraseStore:
    case ActionType::kCorruptStore:
    case ActionType::kBackUpStore:
    case ActionType::kRestoreStore:
      RunStoreAction(action);
      break;
    case ActionType::kExpectLogged:
      break;  // checked at the end
  }
  RecordLinkFaults();
}

void TrialRunner::RunProcessAction(const Action& action) {
  if (action.type == ActionType::kDuplicate) {
    processes_.Launch(action.names[0], trial_.proxies + 1);
    return;
  }
  for (const std::string& name : action.names) {
    if (action.type == ActionType::kStart || action.type == ActionType::kStartWithoutState) {
      const std::size_t machine = environment_.MachineOf(name);
      std::error_code ignored;
      if (action.type == ActionType::kStartWithoutState)
        std::filesystem::remove_all(environment_.TemporaryFolderOf(machine), ignored);
      processes_.Launch(name, machine);
      continue;
    }
    ProxyProcess* process = processes_.FindRunning(name);
    if (process == nullptr) continue;
    if (action.type == ActionType::kKill) processes_.Kill(*process);
    if (action.type == ActionType::kTerminate) processes_.Terminate(*process);
    if (action.type == ActionType::kHotRestart) processes_.HotRestart(*process);
    if (action.type == ActionType::kStall) processes_.Stall(*process, action.duration);
  }
}

void TrialRunner::RunLinkAction(const Action& action) {
  const auto machine = [&](std::size_t i) { return environment_.MachineOf(action.names[i]); };
  switch (action.type) {
    case ActionType::kCutLink:
      return link_faults_.Cut(machine(0), machine(1));
    case ActionType::kRestoreLink:
      return link_faults_.Restore(machine(0), machine(1));
    case ActionType::kFlapLinks:
      return link_faults_.StartFlapping(machine(0), machine(1), action.duration);
    case ActionType::kPartition:
      return Partition(action);
    case ActionType::kHealLinks:
      partition_availability_.End();
      return link_faults_.Heal();
    case ActionType::kSetLinkConditions:
      return link_faults_.SetConditions(action.link_conditions);
    case ActionType::kForgeMembers:
      return loop_.Spawn(ForgeMembers(loop_, environment_, processes_, machine(0)));
    default:
      return;
  }
}

void TrialRunner::Partition(const Action& action) {
  const std::vector<std::vector<std::string>> groups = SplitGroups(action.names);
  partition_availability_.Begin(groups);
  std::vector<std::vector<std::size_t>> machines;
  for (const std::vector<std::string>& group : groups) {
    std::vector<std::size_t>& members = machines.emplace_back();
    for (const std::string& name : group) members.push_back(environment_.MachineOf(name));
  }
  link_faults_.Partition(machines);
}

void TrialRunner::RunOperatorAction(const Action& action) {
  const std::string& proxy = action.names[0];
  switch (action.type) {
    case ActionType::kPropose:
      return loop_.Spawn(operators_.Propose(proxy, action.names[1], operators_.newest_version()));
    case ActionType::kEject:
      return loop_.Spawn(operators_.ChangeEjection(proxy, action.names[1], EjectionChange::kEject));
    case ActionType::kUneject:
      return loop_.Spawn(operators_.ChangeEjection(proxy, action.names[1], EjectionChange::kUneject));
    case ActionType::kChangeVoter:
      return loop_.Spawn(operators_.ChangeVoter(proxy, action.names[1], action.names[2]));
    default:
      return;
  }
}

void TrialRunner::RunStoreAction(const Action& action) {
  for (const std::string& name : action.names) {
    const std::string store = environment_.StorePathOf(environment_.MachineOf(name));
    if (action.type == ActionType::kEraseStore) EraseStore(store);
    if (action.type == ActionType::kCorruptStore) CorruptStore(store);
    if (action.type == ActionType::kBackUpStore) BackUpStore(store);
    if (action.type == ActionType::kRestoreStore) RestoreStore(store);
  }
}

}  // namespace lemoncroft::fault_test

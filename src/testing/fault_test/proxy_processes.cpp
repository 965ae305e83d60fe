#include "testing/fault_test/proxy_processes.h"

#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;

namespace {

constexpr auto kWatchInterval = 5ms;
constexpr auto kServingPollInterval = 10ms;
// Texts of the proxy's log.
constexpr const char* kServingText = "serving in place of";
// Preloaded into each proxy of a trial with jumps of the wall clock.
constexpr const char* kWallClockLibrary = "liblemoncroft_wall_clock.so";

std::string FormatMilliseconds(Duration span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + "ms";
}

}  // namespace

ProxyProcesses::ProxyProcesses(runtime::Loop& loop, const Trial& trial, TrialEnvironment& environment,
                               std::string program, History& history, Findings& findings, LineHandler on_line)
    : loop_(loop),
      trial_(trial),
      environment_(environment),
      program_(std::move(program)),
      history_(history),
      findings_(findings),
      on_line_(std::move(on_line)) {}

ProxyProcess& ProxyProcesses::Launch(const std::string& name, std::size_t machine, int address_index) {
  environment_.WriteConfiguration(name, machine);
  auto process = std::make_unique<ProxyProcess>();
  ProxyProcess* self = process.get();
  const auto earlier_starts =
      static_cast<int>(std::count_if(processes_.begin(), processes_.end(), [&](const auto& other) {
        return other->name == name && other->machine == machine;
      }));
  self->name = name;
  self->label = name;
  if (machine != environment_.MachineOf(name)) self->label += "@" + std::to_string(machine);
  if (earlier_starts > 0) self->label += "." + std::to_string(earlier_starts + 1);
  self->machine = machine;
  self->address_index = address_index;
  self->admin_address = environment_.AdminAddress(machine, earlier_starts);
  self->record = history_.processes.size();
  ProcessRecord record;
  record.label = self->label;
  record.name = name;
  record.started = Now();
  history_.processes.push_back(record);
  auto log = std::make_shared<std::ofstream>(LogPathOf(*self));
  self->child =
      std::make_unique<ChildProcess>(loop_, CommandFor(*self), [this, self, log](const std::string& line) {
        *log << line << std::endl;
        HandleLogLine(*self, line);
      });
  processes_.push_back(std::move(process));
  return *self;
}

Command ProxyProcesses::CommandFor(const ProxyProcess& process) const {
  const std::string folder = environment_.FolderOf(process.machine);
  Command command;
  command.arguments = {
      program_, "serve", "--config", folder + "/config.json", "--operator", folder + "/operator.kdl"};
  // Leased actions are logged at level debug.
  if (!trial_.voters.empty()) command.arguments.insert(command.arguments.end(), {"--log-level", "debug"});
  command.environment = {{"PROXY_FD", "3"},
                         {"TMPDIR", environment_.TemporaryFolderOf(process.machine)},
                         {"PROXY_MANAGEMENT", process.admin_address}};
  if (trial_.wall_clocks_jump) {
    const auto library = std::filesystem::path(program_).parent_path() / kWallClockLibrary;
    command.environment.emplace_back("LD_PRELOAD", library.string());
  }
  command.inherited_listener = environment_.ClientListener(process.machine);
  return command;
}

std::string ProxyProcesses::LogPathOf(const ProxyProcess& process) const {
  return environment_.FolderOf(process.machine) + "/" + process.label + ".log";
}

void ProxyProcesses::HandleLogLine(ProxyProcess& process, const std::string& line) {
  if (line.find(kServingText) != std::string::npos) process.serves = true;
  history_.RecordLogLine(process.record, line, Now());
  on_line_(process, line);
}

ProxyProcess* ProxyProcesses::FindRunning(const std::string& name) {
  const auto it = std::find_if(processes_.rbegin(), processes_.rend(), [&](const auto& process) {
    return process->name == name && !HasEnded(*process) && process->child->IsRunning();
  });
  return it == processes_.rend() ? nullptr : it->get();
}

bool ProxyProcesses::AllServe() const {
  return std::all_of(processes_.begin(), processes_.end(),
                     [](const auto& process) { return process->serves; });
}

bool ProxyProcesses::HasLogged(const std::string& name, const std::string& text) const {
  return std::any_of(processes_.begin(), processes_.end(), [&](const auto& process) {
    if (process->name != name) return false;
    std::ostringstream log;
    log << std::ifstream(LogPathOf(*process)).rdbuf();
    return log.str().find(text) != std::string::npos;
  });
}

void ProxyProcesses::Kill(ProxyProcess& process) {
  process.child->Signal(SIGKILL);
  ProcessRecord& record = MutableRecordOf(process);
  record.killed = true;
  record.ended = Now();
}

void ProxyProcesses::Terminate(ProxyProcess& process) {
  MutableRecordOf(process).termination_requested = Now();
  process.child->Signal(SIGTERM);
}

void ProxyProcesses::Stall(ProxyProcess& process, Duration duration) {
  process.child->Signal(SIGSTOP);
  // The end is corrected when the process is resumed; until then the process counts as stalled.
  MutableRecordOf(process).stalls.emplace_back(Now(), Now() + duration + 1s);
  loop_.Spawn(ResumeAfter(&process, duration));
}

Task<> ProxyProcesses::ResumeAfter(ProxyProcess* process, Duration duration) {
  co_await loop_.Sleep(duration);
  process->child->Signal(SIGCONT);
  ProcessRecord& record = MutableRecordOf(*process);
  if (!record.stalls.empty()) record.stalls.back().second = Now();
}

void ProxyProcesses::HotRestart(ProxyProcess& process) {
  ProxyProcess& successor = Launch(process.name, process.machine, 1 - process.address_index);
  loop_.Spawn(TerminateOnceServing(&process, &successor));
}

Task<> ProxyProcesses::TerminateOnceServing(ProxyProcess* predecessor, ProxyProcess* successor) {
  const Time deadline = Now() + kStartTimeout;
  while (!successor->serves && Now() < deadline && successor->child->IsRunning())
    co_await loop_.Sleep(kServingPollInterval);
  if (successor->serves) Terminate(*predecessor);
}

Task<> ProxyProcesses::Watch() {
  for (Time due = Now() + kWatchInterval;; due = Now() + kWatchInterval) {
    co_await loop_.SleepUntil(due);
    if (Now() - due > trial_.gossip_period / 2)
      findings_.void_reasons.push_back("the loop of the fault tester ran " + FormatMilliseconds(Now() - due) +
                                       " late");
    for (const auto& process : processes_) CheckEnded(*process);
  }
}

void ProxyProcesses::CheckEnded(ProxyProcess& process) {
  ProcessRecord& record = MutableRecordOf(process);
  if (record.ended || process.child->IsRunning()) return;
  record.ended = Now();
  const int status = *process.child->exit_status();
  if (!record.termination_requested || !WIFEXITED(status) || WEXITSTATUS(status) != 0)
    findings_.violations.push_back(record.label + " ended unexpectedly or with an error, wait status " +
                                   std::to_string(status));
}

}  // namespace lemoncroft::fault_test

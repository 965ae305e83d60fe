#include "testing/fault_test/operator_workload.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <set>

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;

namespace {

constexpr std::uint64_t kMaxCalls = 400;
constexpr std::uint64_t kSeedFactor = 77;  // makes these draws differ from those of the links
// On average, three of ten calls are reads, and one is a proposal that is not based on the newest version.
constexpr std::uint64_t kCallKinds = 10, kReadKinds = 3, kStaleProposalKind = 3;

constexpr auto kRolloutInterval = 2s;
constexpr auto kPushInterval = 20ms, kPushRetryInterval = 100ms;
constexpr std::size_t kOperatorMachine = 1;
constexpr const char* kFilesReadText = "configuration read again";

std::string NameOf(std::size_t machine) { return "n" + std::to_string(machine); }

}  // namespace

std::vector<std::string> ProposalWorkload::RunningProxies() const {
  std::vector<std::string> names;
  for (const auto& process : processes_.all())
    if (!processes_.HasEnded(*process)) names.push_back(process->name);
  return names;
}

Task<> ProposalWorkload::Run() {
  std::mt19937_64 random(trial_.seed * kSeedFactor + 1);
  const auto interval =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / trial_.changes_per_second));
  while (!stopped_ && operators_.calls() < kMaxCalls) {
    co_await loop_.Sleep(interval);
    const std::vector<std::string> proxies = RunningProxies();
    if (proxies.empty() || stopped_) continue;
    const std::string& proxy = proxies[random() % proxies.size()];
    const std::uint64_t kind = random() % kCallKinds;
    if (!trial_.measure_each_change && kind < kReadKinds) {
      loop_.Spawn(operators_.Read(proxy));
      continue;
    }
    std::uint64_t base_version = operators_.newest_version();
    if (kind == kStaleProposalKind && base_version > 0 && !trial_.measure_each_change) --base_version;
    const std::string document = "tenant \"acme\" { quota " + std::to_string(++documents_) + " }\n";
    loop_.Spawn(operators_.Propose(proxy, document, base_version));
  }
}

Task<> ConfigFileRollout::Run() {
  for (std::uint64_t version = 1; !stopped_; ++version) {
    std::set<std::size_t> pending;
    for (std::size_t machine = 1; machine <= trial_.proxies; ++machine) pending.insert(machine);
    const Time next = Now() + kRolloutInterval;
    while (!stopped_ && (!pending.empty() || Now() < next)) {
      for (const std::size_t machine : std::set<std::size_t>(pending)) {
        co_await loop_.Sleep(kPushInterval);
        if (Push(machine, version)) pending.erase(machine);
      }
      co_await loop_.Sleep(kPushRetryInterval);
    }
  }
}

bool ConfigFileRollout::Push(std::size_t machine, std::uint64_t version) {
  const std::string name = NameOf(machine);
  ProxyProcess* process = processes_.FindRunning(name);
  const bool reachable = machine == kOperatorMachine || links_.IsOpen(kOperatorMachine, machine);
  if (process == nullptr || !reachable) return false;
  environment_.WriteConfiguration(name, machine);
  pushed_versions_[machine] = version;
  process->child->Signal(SIGHUP);
  return true;
}

void ConfigFileRollout::HandleLogLine(const ProxyProcess& process, const std::string& line) {
  if (line.find(kFilesReadText) != std::string::npos)
    adoptions_.push_back({Now(), process.machine, pushed_versions_[process.machine]});
}

double ConfigFileRollout::MaxContradictionMs(Time end) const {
  double longest_ms = 0;
  std::map<std::uint64_t, Time> first_adoption;
  for (const Adoption& adoption : adoptions_) first_adoption.try_emplace(adoption.version, adoption.at);
  for (const auto& [version, since] : first_adoption) {
    for (std::size_t machine = 1; machine <= trial_.proxies; ++machine) {
      if (processes_.FindRunning(NameOf(machine)) == nullptr) continue;
      Time until = end;
      for (const Adoption& adoption : adoptions_)
        if (adoption.machine == machine && adoption.version >= version) until = std::min(until, adoption.at);
      longest_ms = std::max(longest_ms, std::chrono::duration<double, std::milli>(until - since).count());
    }
  }
  return longest_ms;
}

}  // namespace lemoncroft::fault_test

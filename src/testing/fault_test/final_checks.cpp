#include "testing/fault_test/final_checks.h"

#include <nlohmann/json.hpp>

#include "proxy/replicated_config_call_fields.h"
#include "replicated_config/document.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;

namespace {

constexpr auto kPollInterval = 100ms;
constexpr const char* kStatusCall = R"({"call":"status"})";
constexpr const char* kExcludeCall = "exclude";

}  // namespace

Task<> ReplicatedConfigCheck::Run() {
  const Time deadline = Now() + kRecoveryTimeout;
  for (;;) {
    const std::vector<std::string> deviations = co_await FindDeviations();
    if (deviations.empty() || Now() >= deadline) {
      findings_.violations.insert(findings_.violations.end(), deviations.begin(), deviations.end());
      co_return;
    }
    co_await loop_.Sleep(kPollInterval);
  }
}

Task<std::vector<std::string>> ReplicatedConfigCheck::FindDeviations() {
  std::vector<std::string> deviations;
  std::vector<ProxyVersion> versions;
  std::set<ProposedEjection> proposed;
  const std::uint64_t newest_version = leases_.newest_version();
  for (const auto& process : processes_.all()) {
    if (processes_.HasEnded(*process)) continue;
    const std::string bytes = co_await operators_.Call(process->name, kStatusCall);
    const nlohmann::json status = nlohmann::json::parse(bytes, nullptr, false);
    if (!status.is_object() || !status.contains("cut_off")) {
      deviations.push_back(process->label + " returned no state of its replicated configuration");
      continue;
    }
    const bool cut_off = status.value("cut_off", true);
    if (cut_off != trial_.voters_lost)
      deviations.push_back(process->label + (cut_off ? " is cut off at the end of the trial"
                                                     : " still acts although the voters are lost"));
    const nlohmann::json pending_calls = status.value("asked_by_hand", nlohmann::json::object());
    for (const auto& [engine, call] : pending_calls.items())
      proposed.insert({process->name, engine, call == kExcludeCall});
    versions.push_back({process->label, status.value("version", std::uint64_t{0})});
  }
  for (const auto& [label, version] : versions)
    if (!trial_.voters_lost && version != newest_version)
      deviations.push_back(label + " uses version " + std::to_string(version) +
                           " at the end of the trial instead of " + std::to_string(newest_version));
  if (!trial_.voters_lost) {
    const std::vector<std::string> lost = co_await FindLostEjections(std::move(proposed));
    deviations.insert(deviations.end(), lost.begin(), lost.end());
  }
  co_return deviations;
}

Task<std::vector<std::string>> ReplicatedConfigCheck::FindLostEjections(std::set<ProposedEjection> proposed) {
  namespace calls = proxy::calls;
  std::vector<std::string> lost;
  const std::vector<ManualEjection> last = leases_.LastManualEjections();
  if (last.empty()) co_return lost;
  const nlohmann::json call = {{calls::kCall, calls::kGetDocument},
                               {calls::kVersion, leases_.newest_version()}};
  const std::string bytes = co_await operators_.Call(trial_.voters.front(), call.dump());
  const nlohmann::json response = nlohmann::json::parse(bytes, nullptr, false);
  if (!response.is_object() || !response.contains(calls::kDocument)) {
    lost.push_back("the newest document cannot be read");
    co_return lost;
  }
  const auto document =
      replicated_config::ParseDocument(response.value(calls::kDocument, std::string())).value();
  for (const ManualEjection& ejection : last) {
    if (document.ejected_engines.contains(ejection.engine) == ejection.ejected) continue;
    if (proposed.contains({ejection.proxy, ejection.engine, ejection.ejected})) continue;
    lost.push_back(std::string(ejection.ejected ? "the ejection" : "the return") + " of " + ejection.engine +
                   ", acknowledged by " + ejection.proxy + ", is lost");
  }
  co_return lost;
}

}  // namespace lemoncroft::fault_test

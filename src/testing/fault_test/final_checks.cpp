#include "testing/fault_test/final_checks.h"

#include <nlohmann/json.hpp>

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;

namespace {

constexpr auto kPollInterval = 100ms;
constexpr const char* kStatusCall = R"({"call":"status"})";

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
    versions.push_back({process->label, status.value("version", std::uint64_t{0})});
  }
  for (const auto& [label, version] : versions)
    if (!trial_.voters_lost && version != newest_version)
      deviations.push_back(label + " uses version " + std::to_string(version) +
                           " at the end of the trial instead of " + std::to_string(newest_version));
  co_return deviations;
}

}  // namespace lemoncroft::fault_test

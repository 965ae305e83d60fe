#include "testing/fault_test/trial_series.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <system_error>

#include "testing/fault_test/random_trial.h"
#include "testing/fault_test/trial_runner.h"

namespace lemoncroft::fault_test {

using nlohmann::ordered_json;

namespace {

constexpr int kMaxAttempts = 3;  // of a trial that is void
constexpr std::string_view kLinearizabilityWord = "linearizable";

struct Summary {
  int trials = 0, failed = 0, voided = 0;
  std::vector<double> detect_ms, join_ms;
  double settle_ms = 0;
  double contradiction_ms = 0;
  std::uint64_t stale_actions = 0, actions = 0;
  std::uint64_t operations = 0, histories = 0, not_linearizable = 0;
  Measurements measurements;
};

double Maximum(const std::vector<double>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

void Append(std::vector<double>& to, const std::vector<double>& values) {
  to.insert(to.end(), values.begin(), values.end());
}

void Append(Measurements& to, const Measurements& measurements) {
  Append(to.cpu_percent, measurements.cpu_percent);
  Append(to.turn_us, measurements.turn_us);
  Append(to.change_ms, measurements.change_ms);
  Append(to.gap_ms, measurements.gap_ms);
  Append(to.cut_shares, measurements.cut_shares);
  to.files_contradiction_ms = std::max(to.files_contradiction_ms, measurements.files_contradiction_ms);
}

// A completed attempt to run a trial.
struct Attempt {
  const Trial& trial;
  const TrialRunner& runner;
  const TrialOutcome& outcome;
  bool last = false;

  bool is_void() const { return !outcome.void_reasons.empty(); }
  bool passed() const { return outcome.violations.empty() && !is_void(); }
  bool is_final() const { return !is_void() || last; }
};

void AddToSummary(const Attempt& attempt, Summary& summary) {
  const LeaseCheckResult& leases = attempt.runner.lease_result();
  const std::vector<Operation>& operations = attempt.runner.leases().operations;
  if (!attempt.passed()) ++summary.failed;
  summary.settle_ms = std::max(summary.settle_ms, attempt.outcome.settle_ms);
  Append(summary.detect_ms, attempt.outcome.detect_ms);
  Append(summary.join_ms, attempt.outcome.join_ms);
  summary.contradiction_ms = std::max(summary.contradiction_ms, leases.max_contradiction_ms);
  summary.stale_actions += leases.stale_actions;
  summary.actions += leases.actions;
  summary.operations += operations.size();
  summary.histories += operations.empty() ? 0 : 1;
  for (const std::string& violation : leases.violations)
    summary.not_linearizable += violation.find(kLinearizabilityWord) != std::string::npos;
  Append(summary.measurements, attempt.runner.measurements());
}

void PrintResult(const Attempt& attempt) {
  const TrialOutcome& outcome = attempt.outcome;
  std::printf("%s  %s: settled in %.0f ms, crashes detected in at most %.0f ms\n",
              attempt.passed() ? "passed" : "FAILED", attempt.trial.name.c_str(), outcome.settle_ms,
              Maximum(outcome.detect_ms));
  for (const std::string& violation : outcome.violations) std::printf("        %s\n", violation.c_str());
  if (attempt.is_void())
    std::printf("        void %d times: %s\n", kMaxAttempts, outcome.void_reasons.front().c_str());
  if (attempt.trial.voters.empty()) return;
  const LeaseCheckResult& leases = attempt.runner.lease_result();
  std::printf("        %llu actions, contradictions of at most %.0f ms; %zu operator calls\n",
              static_cast<unsigned long long>(leases.actions), leases.max_contradiction_ms,
              attempt.runner.leases().operations.size());
}

std::string CreateFolder(const std::string& parent) {
  std::string folder = parent + "/lemoncroft-trial-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr) throw std::runtime_error("cannot create a folder for a trial");
  return folder;
}

enum class AttemptResult { kPassed, kFailed, kRepeat };

AttemptResult RunAttempt(const Trial& trial, const SeriesOptions& options, bool last, Summary& summary) {
  const std::string folder = CreateFolder(options.folder);
  TrialRunner runner(trial, options.program, folder);
  const TrialOutcome outcome = runner.Run();
  const Attempt attempt{trial, runner, outcome, last};
  if (options.verbose || (!attempt.passed() && attempt.is_final()))
    std::fputs(runner.history().ToText(runner.started()).c_str(), stdout);
  std::error_code ignored;
  if (attempt.passed() && options.keep.empty())
    std::filesystem::remove_all(folder, ignored);
  else
    std::printf("  logs: %s\n", folder.c_str());
  if (!attempt.is_final()) {
    ++summary.voided;
    std::printf("void    %s: %s\n", trial.name.c_str(), outcome.void_reasons.front().c_str());
    return AttemptResult::kRepeat;
  }
  PrintResult(attempt);
  AddToSummary(attempt, summary);
  std::fflush(stdout);
  return attempt.passed() ? AttemptResult::kPassed : AttemptResult::kFailed;
}

// Returns whether the trial passed.
bool RunTrial(const Trial& trial, const SeriesOptions& options, Summary& summary) {
  ++summary.trials;
  AttemptResult result = AttemptResult::kRepeat;
  for (int attempt = 1; result == AttemptResult::kRepeat; ++attempt)
    result = RunAttempt(trial, options, attempt == kMaxAttempts, summary);
  return result == AttemptResult::kPassed;
}

std::vector<Trial> ReadScript(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ScriptError(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return ReadTrials(path, text.str());
}

// A trial with the default gossip period and one late crash, which measures the cost of the membership
// view.
Trial CalmTrial(std::size_t proxies) {
  Trial trial;
  trial.name = "a calm fleet";
  trial.proxies = proxies;
  trial.gossip_period = std::chrono::milliseconds(250);
  Action kill;
  kill.at = std::chrono::seconds(10);
  kill.names = {"n" + std::to_string(proxies)};
  trial.actions.push_back(kill);
  return trial;
}

std::vector<Trial> TrialsOf(const SeriesOptions& options) {
  std::vector<Trial> trials;
  for (const std::string& path : options.files)
    for (Trial& trial : ReadScript(path)) trials.push_back(std::move(trial));
  if (options.first_random_seed > 0) {
    const auto draw = options.replicated_config ? DrawReplicatedConfigTrial : DrawTrial;
    for (std::size_t i = 0; i < options.random_trials; ++i)
      trials.push_back(draw(options.first_random_seed + i, options.random_proxies));
  }
  if (options.calm_proxies > 0) trials.push_back(CalmTrial(options.calm_proxies));
  return trials;
}

void PrintSummary(const Summary& summary) {
  const Measurements& measurements = summary.measurements;
  const ordered_json json = {{"trials", summary.trials},
                             {"trials_failed", summary.failed},
                             {"real_void", summary.voided},
                             {"real_settle_ms", summary.settle_ms},
                             {"real_detect_ms", Maximum(summary.detect_ms)},
                             {"real_join_ms", Maximum(summary.join_ms)},
                             {"contradiction_ms_max", summary.contradiction_ms},
                             {"stale_acts", summary.stale_actions},
                             {"acts", summary.actions},
                             {"operations", summary.operations},
                             {"histories", summary.histories},
                             {"not_linearizable", summary.not_linearizable},
                             {"change_ms", measurements.change_ms},
                             {"gap_ms", measurements.gap_ms},
                             {"cut_shares", measurements.cut_shares},
                             {"files_contradiction_ms", measurements.files_contradiction_ms},
                             {"cpu_percent", Maximum(measurements.cpu_percent)},
                             {"turn_us_p99", Maximum(measurements.turn_us)}};
  std::printf("%s\n", json.dump().c_str());
}

}  // namespace

int RunSeries(const SeriesOptions& options) {
  Summary summary;
  for (const Trial& trial : TrialsOf(options)) {
    if (!options.write_path.empty()) std::ofstream(options.write_path, std::ios::app) << WriteTrial(trial);
    if (!RunTrial(trial, options, summary)) std::fputs(WriteTrial(trial).c_str(), stdout);
  }
  PrintSummary(summary);
  return summary.failed > 0 ? 1 : 0;
}

}  // namespace lemoncroft::fault_test

// lemoncroft_fault_test: plays trials on real processes and says which rules they broke; the last line is
// one JSON object.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "testing/fault_test/random_trial.h"
#include "testing/fault_test/trial_runner.h"

namespace {

using namespace lemoncroft::fault_test;
using nlohmann::ordered_json;

constexpr int kMaxAttempts = 3;  // of a trial that the machine held up

struct Options {
  std::vector<std::string> files;
  std::uint64_t random = 0;
  std::size_t count = 1, proxies = 6, calm = 0;
  std::string program, write, keep, folder = "/tmp";
  bool verbose = false, rules = false;
};

struct Sum {
  int trials = 0, failed = 0, voided = 0;
  std::vector<double> detect_ms, join_ms;
  double settle_ms = 0;
  std::vector<double> cpu_percent, turn_us;
  double contradiction_ms = 0;
  std::uint64_t stale_acts = 0, acts = 0, operations = 0, histories = 0, unlinear = 0;
  std::vector<double> change_ms, gap_ms, cut_shares;
  double files_contradiction_ms = 0;
};

double Greatest(const std::vector<double>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

bool PlayOne(const Trial& trial, const Options& options, Sum& sum) {
  ++sum.trials;
  for (int tries = 1;; ++tries) {
    std::string folder = options.folder + "/lemoncroft-trial-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) throw std::runtime_error("no folder for a trial");
    TrialRunner runner(trial, options.program, folder);
    const TrialOutcome outcome = runner.Run();
    const bool last = tries == kMaxAttempts;
    const bool voided = !outcome.void_reasons.empty();
    const bool good = outcome.violations.empty() && !voided;
    if (options.verbose || (!good && (last || !voided)))
      std::fputs(runner.history().ToText(runner.started()).c_str(), stdout);
    std::error_code ignored;
    if (good && options.keep.empty())
      std::filesystem::remove_all(folder, ignored);
    else
      std::printf("  logs: %s\n", folder.c_str());
    if (voided && !last) {
      ++sum.voided;
      std::printf("void    %s: %s\n", trial.name.c_str(), outcome.void_reasons.front().c_str());
      continue;
    }
    std::printf("%s  %s: settled in %.0f ms, crashes known in %.0f ms at most\n", good ? "passed" : "FAILED",
                trial.name.c_str(), outcome.settle_ms, Greatest(outcome.detect_ms));
    for (const std::string& rule : outcome.violations) std::printf("        %s\n", rule.c_str());
    if (voided)
      std::printf("        void %d times: %s\n", kMaxAttempts, outcome.void_reasons.front().c_str());
    if (!good) ++sum.failed;
    sum.settle_ms = std::max(sum.settle_ms, outcome.settle_ms);
    sum.detect_ms.insert(sum.detect_ms.end(), outcome.detect_ms.begin(), outcome.detect_ms.end());
    sum.join_ms.insert(sum.join_ms.end(), outcome.join_ms.begin(), outcome.join_ms.end());
    sum.cpu_percent.insert(sum.cpu_percent.end(), runner.measurements().cpu_percent.begin(),
                           runner.measurements().cpu_percent.end());
    sum.contradiction_ms = std::max(sum.contradiction_ms, runner.lease_result().max_contradiction_ms);
    sum.stale_acts += runner.lease_result().stale_actions;
    sum.acts += runner.lease_result().actions;
    sum.operations += runner.leases().operations.size();
    sum.histories += runner.leases().operations.empty() ? 0 : 1;
    for (const std::string& rule : runner.lease_result().violations)
      sum.unlinear += rule.find("linearizable") != rule.npos;
    sum.change_ms.insert(sum.change_ms.end(), runner.measurements().change_ms.begin(),
                         runner.measurements().change_ms.end());
    sum.gap_ms.insert(sum.gap_ms.end(), runner.measurements().gap_ms.begin(),
                      runner.measurements().gap_ms.end());
    sum.cut_shares.insert(sum.cut_shares.end(), runner.measurements().cut_shares.begin(),
                          runner.measurements().cut_shares.end());
    sum.files_contradiction_ms =
        std::max(sum.files_contradiction_ms, runner.measurements().files_contradiction_ms);
    if (!trial.voters.empty())
      std::printf("        %llu acts, contradictions of %.0f ms at most; %zu calls of operators\n",
                  static_cast<unsigned long long>(runner.lease_result().actions),
                  runner.lease_result().max_contradiction_ms, runner.leases().operations.size());
    sum.turn_us.insert(sum.turn_us.end(), runner.measurements().turn_us.begin(),
                       runner.measurements().turn_us.end());
    std::fflush(stdout);
    return good;
  }
}

std::vector<Trial> Load(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ScriptError(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return ReadTrials(path, text.str());
}

int Run(const Options& options) {
  Sum sum;
  std::vector<Trial> trials;
  for (const std::string& path : options.files)
    for (Trial& trial : Load(path)) trials.push_back(std::move(trial));
  if (options.random > 0)
    for (std::size_t i = 0; i < options.count; ++i)
      trials.push_back(options.rules ? DrawReplicatedConfigTrial(options.random + i, options.proxies)
                                     : DrawTrial(options.random + i, options.proxies));
  if (options.calm > 0) {
    // The default period, one crash late on: for what the view costs.
    Trial calm;
    calm.name = "a calm fleet";
    calm.proxies = options.calm;
    calm.gossip_period = std::chrono::milliseconds(250);
    Action kill;
    kill.at = std::chrono::seconds(10);
    kill.names = {"n" + std::to_string(options.calm)};
    calm.actions.push_back(kill);
    trials.push_back(calm);
  }
  for (const Trial& trial : trials) {
    if (!options.write.empty()) std::ofstream(options.write, std::ios::app) << WriteTrial(trial);
    if (!PlayOne(trial, options, sum)) std::fputs(WriteTrial(trial).c_str(), stdout);
  }
  std::printf("%s\n", ordered_json{{"trials", sum.trials},
                                   {"trials_failed", sum.failed},
                                   {"real_void", sum.voided},
                                   {"real_settle_ms", sum.settle_ms},
                                   {"real_detect_ms", Greatest(sum.detect_ms)},
                                   {"real_join_ms", Greatest(sum.join_ms)},
                                   {"contradiction_ms_max", sum.contradiction_ms},
                                   {"stale_acts", sum.stale_acts},
                                   {"acts", sum.acts},
                                   {"operations", sum.operations},
                                   {"histories", sum.histories},
                                   {"not_linearizable", sum.unlinear},
                                   {"change_ms", sum.change_ms},
                                   {"gap_ms", sum.gap_ms},
                                   {"cut_shares", sum.cut_shares},
                                   {"files_contradiction_ms", sum.files_contradiction_ms},
                                   {"cpu_percent", Greatest(sum.cpu_percent)},
                                   {"turn_us_p99", Greatest(sum.turn_us)}}
                          .dump()
                          .c_str());
  return sum.failed > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  const std::filesystem::path beside = std::filesystem::path(argv[0]).parent_path();
  options.program = (beside / "lemoncroft").string();
  CLI::App app("Trials of the fleet on real processes, with faults between them", "lemoncroft_fault_test");
  app.add_option("files", options.files, "trials, in KDL");
  app.add_option("--random", options.random, "draw trials from this seed on");
  app.add_option("--count", options.count, "how many of these")->capture_default_str();
  app.add_option("--proxies", options.proxies, "of each of these")
      ->capture_default_str()
      ->check(CLI::Range(2, 64));
  app.add_option("--calm", options.calm,
                 "so many proxies that nothing happens to but one crash, for their cost");
  app.add_option("--program", options.program, "the proxy")->capture_default_str();
  app.add_option("--write", options.write, "append the trials to this file, to be played again");
  app.add_option("--folder", options.folder, "where logs and stores of the processes are")
      ->capture_default_str();
  app.add_option("--keep", options.keep, "any text: keep the folders of trials that passed too");
  app.add_flag("--rules", options.rules, "draw trials of the rules");
  app.add_flag("-v,--verbose", options.verbose, "print each history");
  CLI11_PARSE(app, argc, argv);
  try {
    return Run(options);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "lemoncroft_fault_test: %s\n", e.what());
    return 2;
  }
}

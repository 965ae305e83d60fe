// lemoncroft_fault_test: runs trials on real processes and reports the rules that they violated. The last
// line of its output is a JSON object. Exit code: 0 if no trial failed, 1 if a trial failed, 2 on an
// error.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>

#include "testing/fault_test/trial_series.h"

namespace {

using lemoncroft::fault_test::SeriesOptions;

constexpr int kErrorExitCode = 2;

void AddOptions(CLI::App& app, SeriesOptions& options) {
  app.add_option("files", options.files, "scripts of trials, in KDL");
  app.add_option("--random", options.first_random_seed, "run random trials, the first one with this seed");
  app.add_option("--count", options.random_trials, "number of random trials")->capture_default_str();
  app.add_option("--proxies", options.random_proxies, "number of proxies in each random trial")
      ->capture_default_str()
      ->check(CLI::Range(2, 64));
  app.add_option("--calm", options.calm_proxies,
                 "run a trial of this many proxies with a single crash, to measure their cost");
  app.add_option("--program", options.program, "path of the proxy program")->capture_default_str();
  app.add_option("--write", options.write_path,
                 "append the scripts of the trials to this file, for later runs");
  app.add_option("--folder", options.folder, "parent folder of the processes' logs and stores")
      ->capture_default_str();
  app.add_option("--keep", options.keep, "any text: also keep the folders of trials that passed");
  app.add_flag("--rules", options.replicated_config, "run random trials with a replicated configuration");
  app.add_flag("-v,--verbose", options.verbose, "print the history of each trial");
}

}  // namespace

int main(int argc, char** argv) {
  SeriesOptions options;
  const std::filesystem::path folder = std::filesystem::path(argv[0]).parent_path();
  options.program = (folder / "lemoncroft").string();
  CLI::App app("Runs trials of the fleet on real processes with injected faults", "lemoncroft_fault_test");
  AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  try {
    return lemoncroft::fault_test::RunSeries(options);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "lemoncroft_fault_test: %s\n", e.what());
    return kErrorExitCode;
  }
}

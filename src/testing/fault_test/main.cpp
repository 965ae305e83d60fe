// lemoncroft_fault_test: runs trials on real processes and reports which rules they broke. The last line of
// its output is one JSON object. Exit code: 0 if no trial failed, 1 if one failed, 2 on an error.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>

#include "testing/fault_test/trial_series.h"

namespace {

using lemoncroft::fault_test::SeriesOptions;

constexpr int kErrorExitCode = 2;

void AddOptions(CLI::App& app, SeriesOptions& options) {
  app.add_option("files", options.files, "trials, in KDL");
  app.add_option("--random", options.first_random_seed, "draw trials from this seed on");
  app.add_option("--count", options.random_trials, "how many of these")->capture_default_str();
  app.add_option("--proxies", options.random_proxies, "of each of these")
      ->capture_default_str()
      ->check(CLI::Range(2, 64));
  app.add_option("--calm", options.calm_proxies,
                 "so many proxies that nothing happens to but one crash, for their cost");
  app.add_option("--program", options.program, "the proxy")->capture_default_str();
  app.add_option("--write", options.write_path, "append the trials to this file, to be played again");
  app.add_option("--folder", options.folder, "where logs and stores of the processes are")
      ->capture_default_str();
  app.add_option("--keep", options.keep, "any text: keep the folders of trials that passed too");
  app.add_flag("--rules", options.replicated_config, "draw trials of the rules");
  app.add_flag("-v,--verbose", options.verbose, "print each history");
}

}  // namespace

int main(int argc, char** argv) {
  SeriesOptions options;
  const std::filesystem::path folder = std::filesystem::path(argv[0]).parent_path();
  options.program = (folder / "lemoncroft").string();
  CLI::App app("Trials of the fleet on real processes, with faults between them", "lemoncroft_fault_test");
  AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  try {
    return lemoncroft::fault_test::RunSeries(options);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "lemoncroft_fault_test: %s\n", e.what());
    return kErrorExitCode;
  }
}

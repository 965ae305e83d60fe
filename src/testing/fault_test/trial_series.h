// Runs a series of trials, read from files or generated at random, and prints their results and a summary.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_TRIAL_SERIES_H_
#define LEMONCROFT_TESTING_FAULT_TEST_TRIAL_SERIES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace lemoncroft::fault_test {

// The options of the command line.
struct SeriesOptions {
  std::vector<std::string> files;       // scripts
  std::uint64_t first_random_seed = 0;  // 0: no random trials
  std::size_t random_trials = 1, random_proxies = 6;
  bool replicated_config = false;  // random trials have a replicated configuration
  std::size_t calm_proxies = 0;    // 0: no calm trial
  std::string program;             // path of the proxy program
  std::string write_path;          // file to which scripts are appended; empty: none
  std::string folder = "/tmp";     // contains a folder for each trial
  std::string keep;                // not empty: keep the folders of passed trials
  bool verbose = false;            // print each history
};

// Prints to standard output. Returns the exit code: 0, or 1 if a trial failed. Throws ScriptError for a
// script that cannot be read, and std::runtime_error if trials cannot be run.
int RunSeries(const SeriesOptions& options);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_TRIAL_SERIES_H_

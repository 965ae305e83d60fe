// lemoncroft_measure: runs a benchmark and prints its results. The last line of the output is one JSON
// object.
#include <CLI/CLI.hpp>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>

#include "testing/benchmark/admission_queue_cost.h"
#include "testing/benchmark/agreement.h"
#include "testing/benchmark/peers.h"
#include "testing/benchmark/scale.h"
#include "testing/benchmark/workload_replay.h"

namespace {

using lemoncroft::benchmark::WorkloadReplayResult;
using nlohmann::ordered_json;

double Share(std::uint64_t some, std::uint64_t all) {
  return all == 0 ? 1 : static_cast<double>(some) / static_cast<double>(all);
}

ordered_json MetricsOf(const WorkloadReplayResult& r) {
  return {{"requests", r.requests},
          {"served", r.served},
          {"refused", r.rejected},
          {"refused_while_waiting", r.rejected_waiting},
          {"failed", r.failed},
          {"estimates", r.estimates},
          {"within_25", Share(r.accurate_estimates, r.estimates)},
          {"within_25_first", Share(r.accurate_first_estimates, r.first_estimates)},
          {"within_25_waited", Share(r.accurate_long_wait_estimates, r.long_wait_estimates)},
          {"waited", r.long_wait_estimates},
          {"past_give_up", r.past_deadline},
          {"share_error", r.share_error},
          {"shared_seconds", r.shared_seconds},
          {"shares", r.shares},
          {"wait_bound_broken", r.bound_violations},
          {"came_back", r.retries},
          {"came_back_served", Share(r.retries_served, r.retries)},
          {"worth", r.weighted_success},
          {"wait_p50_s", r.wait_p50},
          {"wait_p99_s", r.wait_p99},
          {"wait_longest_s", r.longest_wait}};
}

void RunWaiting(std::uint64_t seed, double seconds, bool json) {
  const WorkloadReplayResult with = lemoncroft::benchmark::ReplayWorkload({.seed = seed, .seconds = seconds});
  const WorkloadReplayResult without =
      lemoncroft::benchmark::ReplayWorkload({.seed = seed, .seconds = seconds, .use_admission_queue = false});
  const auto few = lemoncroft::benchmark::MeasureAdmissionQueueCost(1'000, false, seed);
  const auto many = lemoncroft::benchmark::MeasureAdmissionQueueCost(100'000, false, seed);
  const auto watched = lemoncroft::benchmark::MeasureAdmissionQueueCost(100'000, true, seed);
  ordered_json out = {{"measurement", "waiting"}, {"seed", seed}, {"seconds", seconds}};
  out.update(MetricsOf(with));
  out["us_per_request_1k"] = few.us_per_request;
  out["us_per_request_100k"] = many.us_per_request;
  out["us_per_request_100k_watched"] = watched.us_per_request;
  out["bytes_per_request"] = many.bytes_per_request;
  out["baseline"] = MetricsOf(without);
  if (!json) {
    std::printf("a replay of %.0f s, seed %llu: with the queue | without\n", seconds,
                static_cast<unsigned long long>(seed));
    for (const auto& [name, value] : out["baseline"].items())
      std::printf("  %-24s %s | %s\n", name.c_str(), out[name].dump().c_str(), value.dump().c_str());
    std::printf(
        "  cost a request: %.2f us with 1,000 waiting, %.2f us with 100,000 (%.2f us with updates of "
        "estimates); "
        "%.0f bytes each\n",
        few.us_per_request, many.us_per_request, watched.us_per_request, many.bytes_per_request);
  }
  std::printf("%s\n", out.dump().c_str());
}

void Print(const ordered_json& out, bool json) {
  if (!json)
    for (const auto& [name, value] : out.items())
      std::printf("  %-36s %s\n", name.c_str(), value.dump().c_str());
  std::printf("%s\n", out.dump().c_str());
}

void RunPeers(const lemoncroft::benchmark::PeersPlan& plan, bool json) {
  const ordered_json out = lemoncroft::benchmark::MeasurePeers(plan);
  if (!json) {
    std::printf("the view of the fleet, seed %llu\n", static_cast<unsigned long long>(plan.seed));
    for (const auto& [name, value] : out.items())
      if (!value.is_object()) std::printf("  %-36s %s\n", name.c_str(), value.dump().c_str());
    std::printf("  heartbeats of all to all instead:\n");
    for (const auto& [name, value] : out["heartbeats_all_to_all"].items())
      std::printf("  %-36s %s\n", name.c_str(), value.dump().c_str());
  }
  std::printf("%s\n", out.dump().c_str());
}

// Options that several subcommands share.
struct CommonOptions {
  std::uint64_t seed = 1;
  bool json = false;
  bool virtual_only = false;
};

void AddCommonOptions(CLI::App& command, CommonOptions& options) {
  command.add_option("--seed", options.seed, "seed of the random number generators")->capture_default_str();
}

void AddOutputOption(CLI::App& command, CommonOptions& options) {
  command.add_flag("--json", options.json, "print only the JSON object");
}

std::string FaultTestProgram(const char* own_path) {
  return (std::filesystem::path(own_path).parent_path() / "lemoncroft_fault_test").string();
}

void AddWaiting(CLI::App& app, CommonOptions& options, double& seconds) {
  CLI::App* command =
      app.add_subcommand("waiting", "admission queue: replay a day's load and measure the cost per request");
  AddCommonOptions(*command, options);
  command->add_option("--seconds", seconds, "duration of the replayed day")
      ->capture_default_str()
      ->check(CLI::Range(60, 7200));
  AddOutputOption(*command, options);
  command->callback([&] { RunWaiting(options.seed, seconds, options.json); });
}

void AddPeers(CLI::App& app, CommonOptions& options, const std::string& fault_test_program) {
  CLI::App* command = app.add_subcommand(
      "peers", "membership: failure detection and traffic, in virtual time and on real processes");
  AddCommonOptions(*command, options);
  command->add_flag("--virtual", options.virtual_only, "skip the fault tests on real processes");
  AddOutputOption(*command, options);
  command->callback([&] {
    RunPeers({.seed = options.seed,
              .run_fault_tests = !options.virtual_only,
              .fault_test_program = fault_test_program},
             options.json);
  });
}

void AddAgreement(CLI::App& app, CommonOptions& options, std::uint64_t& max_states,
                  const std::string& fault_test_program) {
  CLI::App* command =
      app.add_subcommand("agreement", "replicated configuration: fault tests, state search and crash tests");
  AddCommonOptions(*command, options);
  command->add_option("--states", max_states, "upper limit of each state search")->capture_default_str();
  command->add_flag("--virtual", options.virtual_only, "skip the fault tests on real processes");
  AddOutputOption(*command, options);
  command->callback([&] {
    Print(lemoncroft::benchmark::MeasureAgreement({.seed = options.seed,
                                                   .run_fault_tests = !options.virtual_only,
                                                   .fault_test_program = fault_test_program,
                                                   .max_states = max_states}),
          options.json);
  });
}

void AddScale(CLI::App& app, CommonOptions& options, std::size_t& max_members) {
  CLI::App* command = app.add_subcommand("scale", "control plane: cost in fleets of up to 4,000 proxies");
  AddCommonOptions(*command, options);
  command->add_option("--most", max_members, "size of the largest fleet")->capture_default_str();
  command->add_flag("--virtual", options.virtual_only, "skip the runs on sockets");
  AddOutputOption(*command, options);
  command->callback([&] {
    Print(lemoncroft::benchmark::MeasureScale(
              {.seed = options.seed, .max_members = max_members, .sockets = !options.virtual_only}),
          options.json);
  });
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Benchmarks of lemoncroft", "lemoncroft_measure");
  app.require_subcommand(1);
  const std::string fault_test_program = FaultTestProgram(argv[0]);
  CommonOptions options;
  double replay_seconds = 1200;
  std::uint64_t max_states = lemoncroft::benchmark::AgreementPlan().max_states;
  std::size_t max_members = lemoncroft::benchmark::ScalePlan().max_members;
  AddWaiting(app, options, replay_seconds);
  AddPeers(app, options, fault_test_program);
  AddAgreement(app, options, max_states, fault_test_program);
  AddScale(app, options, max_members);
  CLI11_PARSE(app, argc, argv);
  return 0;
}

#include "testing/benchmark/peers.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <stdexcept>
#include <thread>
#include <vector>

#include "testing/benchmark/heartbeats.h"
#include "testing/benchmark/percentile.h"
#include "testing/simulation/peer_fleet.h"

namespace lemoncroft::benchmark {

using namespace std::chrono_literals;
using gossip::EventType;
using nlohmann::ordered_json;
using simulation::Instant;
using simulation::Node;
using simulation::PeerFleet;
using simulation::Process;

namespace {

constexpr std::array<std::size_t, 3> kSizes = {16, 128, 1024};
constexpr double kUndetectedPeriods = 1e3;
constexpr double kMaxLatePeriods = 3, kLateIntervalPeriods = 6;
constexpr int kMaxSettlePeriods = 40;  // observation time after a partition heals
constexpr int kParallelRuns = 4, kTrialsPerRun = 10;

// A simulated fleet that has run for twenty periods since its members were introduced to each other.
struct SettledFleet {
  explicit SettledFleet(std::size_t n, std::uint64_t seed) : fleet({seed, {}, 0.01}) {
    for (Node i = 0; i < n; ++i) fleet.Start(i, "n" + std::to_string(i), {0, 1, 2});
    fleet.IntroduceAll();
    Run(20);
    fleet.on_event = [this](const PeerFleet::ObservedEvent& observed) {
      if (observed.event.type != EventType::kFailed) return;
      const auto subject = fleet.process_of(observed.event.record.id);
      if (subject && fleet.is_running(*subject)) ++false_failures;
      if (subject && *subject == watched) failed_at.push_back(observed.at);
    };
  }
  Instant Periods(double count) const {
    return Instant(static_cast<Instant::rep>(count * static_cast<double>(fleet.Period().count())));
  }
  double InPeriods(Instant span) const {
    return static_cast<double>(span.count()) / static_cast<double>(fleet.Period().count());
  }
  void Run(double periods) { fleet.RunFor(Periods(periods)); }

  // Runs the fleet for kMaxSettlePeriods and returns the periods until all views agree; kMaxSettlePeriods if
  // they still differ at the end.
  double SettledAfter() {
    const Instant since = fleet.now();
    double last = 0;
    for (int quarter = 0; quarter < 4 * kMaxSettlePeriods; ++quarter) {
      if (!fleet.Converged()) last = InPeriods(fleet.now() - since) + 0.25;
      Run(0.25);
    }
    return last;
  }

  PeerFleet fleet;
  int false_failures = 0;
  Process watched = 0;
  std::vector<Instant> failed_at;
};

struct Crashes {
  std::vector<double> first_detection_periods, last_detection_periods;
};

Crashes SimulateCrashes(std::size_t n, std::size_t count, std::uint64_t seed) {
  SettledFleet world(n, seed);
  std::mt19937_64 random(seed);
  Crashes out;
  for (std::size_t i = 0; i < count; ++i) {
    world.watched = i + 3;
    world.failed_at.clear();
    world.Run(static_cast<double>(random() % 1000) / 1000);
    const Instant at = world.fleet.now();
    world.fleet.Kill(world.watched);
    world.Run(30);
    if (world.failed_at.size() < world.fleet.live_count()) {
      out.last_detection_periods.push_back(kUndetectedPeriods);
      continue;
    }
    out.first_detection_periods.push_back(world.InPeriods(world.failed_at.front() - at));
    out.last_detection_periods.push_back(world.InPeriods(world.failed_at.back() - at));
  }
  return out;
}

double SimulatePartitions(std::size_t n, std::size_t count, std::uint64_t seed) {
  double worst = 0;
  for (std::size_t i = 0; i < count; ++i) {
    SettledFleet world(n, seed + i);
    const int sides = 2 + static_cast<int>(i / 2 % 2);
    for (Node node = 0; node < n; ++node)
      world.fleet.links().AssignSide(node, static_cast<int>(node) % sides);
    world.fleet.RunFor(i % 2 == 0 ? Instant(2s) : n > 500 ? Instant(15s) : Instant(60s));
    world.fleet.links().Heal();
    worst = std::max(worst, world.SettledAfter());
  }
  return worst;
}

struct IdleTraffic {
  double bytes_per_s = 0, messages_per_s = 0;
};

IdleTraffic SimulateIdleFleet(std::size_t n, double seconds, std::uint64_t seed) {
  SettledFleet world(n, seed);
  // Waits until all members have been in direct contact: each member probes three indirectly known members
  // per period.
  world.Run(40 + static_cast<double>(n) / 3);
  std::uint64_t bytes = 0, messages = 0;
  const auto count = [&] {
    bytes = messages = 0;
    for (Process p = 0; p < world.fleet.size(); ++p) {
      bytes += world.fleet.sent(p).bytes;
      messages += world.fleet.sent(p).messages;
    }
  };
  count();
  const std::uint64_t bytes_before = bytes, messages_before = messages;
  world.fleet.RunFor(Instant(static_cast<Instant::rep>(seconds * 1e9)));
  count();
  const double member_seconds = seconds * static_cast<double>(n);
  return {static_cast<double>(bytes - bytes_before) / member_seconds,
          static_cast<double>(messages - messages_before) / member_seconds};
}

double FalseFailuresPerHour(std::size_t n, double seconds, std::uint64_t seed) {
  SettledFleet world(n, seed);
  world.fleet.links().default_faults().loss = 0.02;
  std::mt19937_64 random(seed);
  const int rounds = static_cast<int>(seconds / 0.25 / kLateIntervalPeriods);
  for (int round = 0; round < rounds; ++round) {
    for (Process p = 0; p < n / 50; ++p) {
      const double late = kMaxLatePeriods * static_cast<double>(random() >> 11) * 0x1.0p-53;
      world.fleet.Pause(n - 1 - p, world.Periods(late));
    }
    world.Run(kLateIntervalPeriods);
  }
  return world.false_failures * 3600 / seconds;
}

bool IsDeterministic(std::uint64_t seed) {
  const auto trace = [seed] {
    SettledFleet world(64, seed);
    world.fleet.links().default_faults().loss = 0.05;
    world.fleet.Kill(9);
    world.Run(60);
    return world.fleet.trace();
  };
  const std::uint64_t first = trace(), second = trace();
  return first == second;
}

std::string MetricNameForSize(const char* name, std::size_t n) {
  return std::string(name) + "_" + std::to_string(n);
}

}  // namespace

std::string CommandOutput(const std::string& command) {
  FILE* pipe = ::popen(command.c_str(), "r");
  if (pipe == nullptr) throw std::runtime_error("cannot run command: " + command);
  std::string out;
  char bytes[4096];
  for (std::size_t n = 0; (n = std::fread(bytes, 1, sizeof bytes, pipe)) > 0;) out.append(bytes, n);
  ::pclose(pipe);
  return out;
}

ordered_json ParseLastLine(const std::string& text) {
  const std::size_t end = text.find_last_not_of('\n');
  if (end == std::string::npos) return ordered_json::object();
  const std::size_t from = text.rfind('\n', end);
  ordered_json json =
      ordered_json::parse(text.substr(from == std::string::npos ? 0 : from + 1), nullptr, false);
  return json.is_object() ? json : ordered_json::object();
}

namespace {

// Runs random fault tests in parallel processes. Then measures the cost of an idle fleet of sixteen, without
// other load.
ordered_json RunFaultTests(const PeersPlan& plan) {
  std::vector<std::string> outputs(kParallelRuns);
  {
    std::vector<std::jthread> runs;
    runs.reserve(kParallelRuns);
    for (int i = 0; i < kParallelRuns; ++i)
      runs.emplace_back([&, i] {
        outputs[static_cast<std::size_t>(i)] = CommandOutput(
            plan.fault_test_program + " --random " +
            std::to_string(plan.seed * 1000 + static_cast<std::uint64_t>(i * kTrialsPerRun) + 1) +
            " --count " + std::to_string(kTrialsPerRun) + " --proxies 6");
      });
  }
  double trials = 0, failed = 0, inconclusive = 0, settle = 0, detect = 0, join = 0;
  outputs.push_back(CommandOutput(plan.fault_test_program + " --calm 16"));
  const ordered_json idle_fleet = ParseLastLine(outputs.back());
  for (const std::string& output : outputs) {
    const ordered_json result = ParseLastLine(output);
    trials += result.value("trials", 0.0);
    failed += result.value("trials_failed", 1.0);  // a run without a result counts as failed
    inconclusive += result.value("real_void", 0.0);
    settle = std::max(settle, result.value("real_settle_ms", 0.0));
    detect = std::max(detect, result.value("real_detect_ms", 0.0));
    join = std::max(join, result.value("real_join_ms", 0.0));
    if (result.value("trials_failed", 1.0) > 0) std::fputs(output.c_str(), stderr);
  }
  return {{"real_join_ms", join},
          {"real_detect_ms", detect},
          {"real_settle_ms", settle},
          {"real_void", inconclusive},
          {"trials", trials},
          {"trials_failed", failed},
          {"loop_stall_us_p99", idle_fleet.value("turn_us_p99", 0.0)},
          {"cost_percent", idle_fleet.value("cpu_percent", 0.0)}};
}

ordered_json MeasureHeartbeats(std::uint64_t seed) {
  ordered_json out;
  for (const std::size_t n : kSizes) {
    const HeartbeatResult crashes = SimulateHeartbeats(
        {.seed = seed, .members = n, .crashes = n > 500 ? std::size_t{2} : std::size_t{10}});
    out[MetricNameForSize("known_all_periods_p99", n)] = Percentile(crashes.last_detection_periods, 0.99);
    out[MetricNameForSize("bytes_per_s", n)] = crashes.bytes_per_s;
    out[MetricNameForSize("messages_per_s", n)] = crashes.messages_per_s;
    if (n != 128) continue;
    out["detect_periods_p50"] = Percentile(crashes.first_detection_periods, 0.5);
    out["detect_periods_p99"] = Percentile(crashes.first_detection_periods, 0.99);
    out["false_failures_per_hour"] =
        SimulateHeartbeats(
            {.seed = seed, .members = n, .crashes = 0, .loss = 0.02, .late_members = n / 50, .periods = 1200})
            .false_failures_per_hour;
  }
  return out;
}

// The arrays have one entry per size in kSizes.
struct SimulatedResults {
  std::array<Crashes, kSizes.size()> crashes;
  std::array<double, kSizes.size()> settle_periods{};
  std::array<IdleTraffic, kSizes.size()> idle;
  double false_failures_per_hour = 0;
  ordered_json heartbeats;
};

constexpr std::size_t kSmall = 0, kMedium = 1, kLarge = 2;  // indices in kSizes

void SimulateSmallFleets(std::uint64_t seed, SimulatedResults& results) {
  for (const std::size_t i : {kSmall, kMedium}) {
    results.crashes[i] = SimulateCrashes(kSizes[i], i == kSmall ? 12 : 60, seed);
    results.settle_periods[i] = SimulatePartitions(kSizes[i], 8, seed);
    results.idle[i] = SimulateIdleFleet(kSizes[i], 60, seed);
  }
  results.heartbeats = MeasureHeartbeats(seed);
}

// Adds the crashes of further simulations, because in a fleet of sixteen only a few members can crash in one
// simulation.
void SimulateMoreCrashesOfSmallFleet(std::uint64_t seed, Crashes& crashes) {
  for (std::uint64_t more = 1; more <= 4; ++more) {
    const Crashes further = SimulateCrashes(kSizes[kSmall], 12, seed + more);
    crashes.first_detection_periods.insert(crashes.first_detection_periods.end(),
                                           further.first_detection_periods.begin(),
                                           further.first_detection_periods.end());
    crashes.last_detection_periods.insert(crashes.last_detection_periods.end(),
                                          further.last_detection_periods.begin(),
                                          further.last_detection_periods.end());
  }
}

SimulatedResults RunSimulations(std::uint64_t seed) {
  SimulatedResults results;
  {
    // The simulations are independent of each other; four threads run in parallel to this one.
    std::jthread small([&] { SimulateSmallFleets(seed, results); });
    std::jthread crashes([&] { results.crashes[kLarge] = SimulateCrashes(kSizes[kLarge], 5, seed); });
    std::jthread idle([&] { results.idle[kLarge] = SimulateIdleFleet(kSizes[kLarge], 10, seed); });
    std::jthread partitions(
        [&] { results.settle_periods[kLarge] = SimulatePartitions(kSizes[kLarge], 2, seed); });
    results.false_failures_per_hour = FalseFailuresPerHour(kSizes[kMedium], 900, seed);
  }
  SimulateMoreCrashesOfSmallFleet(seed, results.crashes[kSmall]);
  return results;
}

}  // namespace

ordered_json MeasurePeers(const PeersPlan& plan) {
  ordered_json out = {{"measurement", "peers"}, {"seed", plan.seed}};
  SimulatedResults results = RunSimulations(plan.seed);
  out["detect_periods_p50"] = Percentile(results.crashes[kMedium].first_detection_periods, 0.5);
  out["detect_periods_p99"] = Percentile(results.crashes[kMedium].first_detection_periods, 0.99);
  for (std::size_t i = 0; i < kSizes.size(); ++i) {
    out[MetricNameForSize("known_all_periods_p99", kSizes[i])] =
        Percentile(results.crashes[i].last_detection_periods, 0.99);
    out[MetricNameForSize("settle_periods_after_heal", kSizes[i])] = results.settle_periods[i];
    out[MetricNameForSize("bytes_per_s", kSizes[i])] = results.idle[i].bytes_per_s;
    out[MetricNameForSize("messages_per_s", kSizes[i])] = results.idle[i].messages_per_s;
  }
  out["false_failures_per_hour"] = results.false_failures_per_hour;
  out["deterministic"] = IsDeterministic(plan.seed) ? 1 : 0;
  if (plan.run_fault_tests) out.update(RunFaultTests(plan));
  out["heartbeats_all_to_all"] = std::move(results.heartbeats);
  return out;
}

}  // namespace lemoncroft::benchmark

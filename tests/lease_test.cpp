// Tests of leases: single holders and grantors, simulated fleets of holders with faults, mutation tests that
// disable each safety check, and a bounded search of event orders.
#include "replicated_config/lease.h"

#include <gtest/gtest.h>

#include <functional>

#include "testing/model_check/lease_world.h"
#include "testing/simulation/lease_fleet.h"

namespace lemoncroft {
namespace {

using namespace replicated_config;
using simulation::Instant;
using simulation::LeaseFleet;
using namespace std::chrono_literals;

// The longest time for which two proxies may act on different versions: T of docs/agreement.md.
constexpr Instant kMaxContradiction = 1200ms;

TEST(LeaseHolder, LateGrant_LeaseStartsAtRequest) {
  LeaseHolder holder{LeaseOptions()};
  const Time start{1h};
  const LeaseRenewal first = holder.RequestRenewal(start);
  EXPECT_EQ(holder.UsableVersion(start), std::nullopt);
  holder.MarkPrepared(1);
  holder.HandleGrant(start + 900ms, {first.sequence, 1, 1, 0ms, 1});
  EXPECT_EQ(holder.UsableVersion(start + 980ms), Version{1});
  EXPECT_EQ(holder.UsableVersion(start + 990ms), std::nullopt);
  holder.HandleGrant(start + 950ms, {first.sequence, 1, 1, 0ms, 1});
  EXPECT_EQ(holder.UsableVersion(start + 995ms), std::nullopt) << "a renewal is granted only once";
}

TEST(LeaseHolder, GrantForOlderVersion_KeepsNewerVersion) {
  LeaseHolder holder{LeaseOptions()};
  const Time start{1h};
  holder.MarkPrepared(2);
  holder.HandleGrant(start, {holder.RequestRenewal(start).sequence, 2, 2, 0ms, 1});
  holder.HandleGrant(start + 10ms, {holder.RequestRenewal(start + 5ms).sequence, 1, 2, 0ms, 1});
  EXPECT_EQ(holder.UsableVersion(start + 20ms), Version{2});
}

TEST(LeaseHolder, DocumentNotPrepared_NoUsableVersion) {
  LeaseHolder holder{LeaseOptions()};
  const Time start{1h};
  holder.MarkPrepared(1);
  holder.HandleGrant(start, {holder.RequestRenewal(start).sequence, 2, 2, 0ms, 1});
  EXPECT_EQ(holder.UsableVersion(start), std::nullopt);
  holder.MarkPrepared(2);
  EXPECT_EQ(holder.UsableVersion(start), Version{2});
}

TEST(LeaseGrantor, ClockRatesWithinBound_RecordOutlastsLease) {
  for (const double slow : {0.99, 0.995, 1.0}) {
    LeaseOptions options;
    LeaseGrantor grantor(options);
    LeaseHolder holder(options);
    const Time start{1h};
    grantor.BeginLeadership(start, 1);
    holder.MarkPrepared(1);
    const LeaseRenewal renewal = holder.RequestRenewal(start);
    grantor.HandleRenewal(start, true, "p", renewal, 1, 1);
    holder.HandleGrant(start, {renewal.sequence, 1, 1, 0ms, 1});
    for (Duration at{}; at < 2s; at += 1ms) {
      const bool usable =
          holder
              .UsableVersion(start +
                             Duration(static_cast<Duration::rep>(static_cast<double>(at.count()) * slow)))
              .has_value();
      const bool recorded = !grantor.UnpreparedHolders(start + at, 2).empty();
      EXPECT_TRUE(!usable || recorded) << slow << " " << at.count();
    }
  }
}

TEST(LeaseHolder, ClockRates_OnlyBeyondBoundNoUsableVersion) {
  for (const double rate : {1.005, 1.1, 0.9}) {
    LeaseHolder holder{LeaseOptions()};
    holder.MarkPrepared(1);
    Time now{1h};
    Duration leader_clock{};
    for (int i = 0; i < 20; ++i) {
      holder.HandleGrant(now, {holder.RequestRenewal(now).sequence, 1, 1, leader_clock, 1});
      now += 250ms;
      leader_clock += Duration(static_cast<Duration::rep>(250e6 * rate));
    }
    EXPECT_EQ(holder.clock_rates_differ(), rate != 1.005) << rate;
    EXPECT_EQ(holder.UsableVersion(now - 250ms).has_value(), rate == 1.005) << rate;
  }
}

// ---- Simulated fleets ----

struct TestFleet : LeaseFleet {
  explicit TestFleet(std::uint64_t seed = 1, const LeaseSafetyChecks& safety_checks = {},
                     std::size_t proxies = 7)
      : LeaseFleet([&] {
          Plan plan;
          plan.seed = seed;
          plan.proxies = proxies;
          plan.lease_options.safety_checks = safety_checks;
          return plan;
        }()) {
    RunFor(3s);
    ProposeAndWait();
  }
  void ProposeAndWait() {
    const auto version = Propose();
    EXPECT_TRUE(version.has_value());
    for (int i = 0; i < 400 && !ActiveEverywhere(version.value_or(0)); ++i) RunFor(10ms);
    EXPECT_TRUE(ActiveEverywhere(version.value_or(0)));
  }
};

TEST(LeaseFleet, Proposal_IsActiveEverywhereWithinRenewalAndDelivery) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    TestFleet fleet(seed);
    const Instant since = fleet.now();
    fleet.ProposeAndWait();
    EXPECT_LE(fleet.now() - since, Instant(700ms)) << "to announce, prepare and activate: seed " << seed;
    EXPECT_LE(fleet.longest_contradiction(), Instant(300ms))
        << "a renewal interval and a delivery: seed " << seed;
    EXPECT_EQ(fleet.uses_without_document(), 0u);
  }
}

TEST(LeaseFleet, IsolatedProxy_StopsWithinMaximumContradiction) {
  TestFleet fleet;
  for (std::size_t p = 0; p < 7; ++p)
    for (const std::size_t cut : {5u, 6u})
      if (p != cut) {
        fleet.links().Cut(static_cast<simulation::Node>(p), static_cast<simulation::Node>(cut), true);
        fleet.links().Cut(static_cast<simulation::Node>(cut), static_cast<simulation::Node>(p), true);
      }
  fleet.RunFor(Instant(1200ms));
  EXPECT_EQ(fleet.UsableVersion(5), std::nullopt);
  fleet.Propose();
  fleet.RunFor(5s);
  EXPECT_EQ(fleet.UsableVersion(0), Version{2});
  EXPECT_EQ(fleet.UsableVersion(5), std::nullopt);
  fleet.links().Heal();
  fleet.RunFor(2s);
  EXPECT_TRUE(fleet.ActiveEverywhere(2));
  EXPECT_LE(fleet.longest_contradiction(), kMaxContradiction);
}

TEST(LeaseFleet, RandomFaults_ContradictionStaysBounded) {
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    TestFleet fleet(seed, {}, 7);
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t bound) { return static_cast<std::size_t>(random() % bound); };
    for (int i = 0; i < 30; ++i) {
      const std::size_t proxy = below(7);
      switch (below(8)) {
        case 0:
          for (std::size_t p = 0; p < 7; ++p)
            fleet.links().AssignSide(static_cast<simulation::Node>(p), static_cast<int>(below(2)));
          break;
        case 1:
          fleet.links().Heal();
          break;
        case 2:
          fleet.Stall(proxy, Instant(1ms) * static_cast<int>(below(4000)));
          break;
        case 3:
          if (proxy < 3 && fleet.voters().IsRunning(proxy)) fleet.CrashVoter(proxy);
          break;
        case 4:
          if (proxy < 3) fleet.RestartVoter(proxy);
          break;
        case 5:
          fleet.links().Cut(static_cast<simulation::Node>(proxy), static_cast<simulation::Node>(below(7)),
                            true);
          break;
        case 6:
          fleet.links().default_faults().loss = 0.05 * static_cast<double>(below(6));
          fleet.links().default_faults().spread = Instant(1ms) * static_cast<int>(below(800));
          break;
        default:
          fleet.SetFetchDelay(proxy, Instant(1ms) * static_cast<int>(below(600)));
      }
      fleet.Propose();
      fleet.RunFor(Instant(1ms) * static_cast<int>(below(1500)));
    }
    EXPECT_LE(fleet.longest_contradiction(), kMaxContradiction) << "seed " << seed;
    EXPECT_EQ(fleet.stale_uses(), 0u) << "seed " << seed;
    EXPECT_TRUE(fleet.voters().violations().empty()) << "seed " << seed;
  }
}

// ---- Safety checks ----

struct SafetyCheckCase {
  const char* name;
  bool LeaseSafetyChecks::*check;
  std::function<bool(const LeaseSafetyChecks&)>
      holds;  // runs a scenario; returns true if it finds no failure
};

bool InvariantsHold(const LeaseFleet& fleet) {
  return fleet.longest_contradiction() <= kMaxContradiction && fleet.stale_uses() == 0 &&
         fleet.uses_without_document() == 0;
}

const SafetyCheckCase kSafetyCheckCases[] = {
    {"expiry is checked on use", &LeaseSafetyChecks::check_expiry_on_use,
     [](const LeaseSafetyChecks& safety_checks) {
       TestFleet fleet(1, safety_checks);
       fleet.Stall(6, 4s);
       fleet.RunFor(2s);
       fleet.Propose();
       fleet.RunFor(4s);  // the process is resumed, and acts before any of its timers has run
       return fleet.stale_uses() == 0 && fleet.longest_contradiction() <= kMaxContradiction;
     }},
    {"a lease runs from its request", &LeaseSafetyChecks::start_at_request,
     [](const LeaseSafetyChecks& safety_checks) {
       TestFleet fleet(1, safety_checks);
       for (std::size_t v = 0; v < 3; ++v) {
         simulation::LinkFaults slow;
         slow.delay = 2s;
         fleet.links().Set(static_cast<simulation::Node>(v), 6, slow);
       }
       fleet.RunFor(3s);
       fleet.Propose();
       fleet.RunFor(5s);
       return InvariantsHold(fleet);
     }},
    {"grants only while leading", &LeaseSafetyChecks::grant_only_while_leading,
     [](const LeaseSafetyChecks& safety_checks) {
       TestFleet fleet(1, safety_checks);
       const std::size_t leader = *fleet.voters().Leader();
       for (std::size_t p = 0; p < 7; ++p)
         fleet.links().AssignSide(static_cast<simulation::Node>(p), p == leader || p > 4 ? 0 : 1);
       for (int i = 0; i < 8; ++i) {
         fleet.RunFor(500ms);
         if (const auto other = fleet.voters().Leader(); other && *other != leader) fleet.Propose();
       }
       return InvariantsHold(fleet);
     }},
    {"waits after an election", &LeaseSafetyChecks::wait_after_election,
     [](const LeaseSafetyChecks& safety_checks) {
       for (std::uint64_t seed = 1; seed <= 12; ++seed) {
         TestFleet fleet(seed, safety_checks);
         fleet.SetFetchDelay(6, 900ms);
         fleet.Propose();
         fleet.RunFor(100ms);
         fleet.voters().TransferLeadership(*fleet.voters().Leader());
         fleet.RunFor(3s);
         if (!InvariantsHold(fleet)) return false;
       }
       return true;
     }},
    {"waits for all holders to prepare", &LeaseSafetyChecks::wait_for_all_prepared,
     [](const LeaseSafetyChecks& safety_checks) {
       TestFleet fleet(1, safety_checks);
       fleet.SetFetchDelay(6, 900ms);
       fleet.Propose();
       fleet.RunFor(3s);
       return InvariantsHold(fleet);
     }},
    {"versions are monotonic", &LeaseSafetyChecks::monotonic_versions,
     [](const LeaseSafetyChecks& safety_checks) {
       LeaseOptions options;
       options.safety_checks = safety_checks;
       LeaseHolder holder(options);
       const Time start{1h};
       holder.MarkPrepared(2);
       holder.HandleGrant(start, {holder.RequestRenewal(start).sequence, 2, 2, 0ms, 1});
       holder.HandleGrant(start + 10ms, {holder.RequestRenewal(start + 5ms).sequence, 1, 2, 0ms, 1});
       return holder.UsableVersion(start + 20ms) == Version{2};
     }},
    {"allows for clock rates", &LeaseSafetyChecks::allow_for_clock_rates,
     [](const LeaseSafetyChecks& safety_checks) {
       LeaseOptions options;
       options.safety_checks = safety_checks;
       LeaseGrantor grantor(options);
       LeaseHolder holder(options);
       const Time start{1h};
       holder.MarkPrepared(1);
       const LeaseRenewal renewal = holder.RequestRenewal(start);
       grantor.HandleRenewal(start, true, "p", renewal, 1, 1);
       holder.HandleGrant(start, {renewal.sequence, 1, 1, 0ms, 1});
       for (Duration at{}; at < 2s; at += 1ms) {
         const Duration holder_elapsed =
             Duration(static_cast<Duration::rep>(static_cast<double>(at.count()) * 0.99));
         if (holder.UsableVersion(start + holder_elapsed) && grantor.UnpreparedHolders(start + at, 2).empty())
           return false;
       }
       return true;
     }},
};

TEST(LeaseSafetyChecks, CheckDisabled_FailureIsFound) {
  for (const SafetyCheckCase& check_case : kSafetyCheckCases) {
    EXPECT_TRUE(check_case.holds(LeaseSafetyChecks())) << check_case.name << ": fails with the check enabled";
    LeaseSafetyChecks without;
    without.*check_case.check = false;
    EXPECT_FALSE(check_case.holds(without)) << check_case.name << ": disabled, but no failure is found";
  }
}

// ---- Bounded search of event orders ----

TEST(LeaseModel, AllChecksEnabled_InvariantsHold) {
  const model_check::SearchResult result = model_check::SearchLeases({}, {}, 60'000);
  EXPECT_EQ(result.violation, "");
  EXPECT_GE(result.states, 60'000u);
}

TEST(LeaseModel, CheckDisabled_ViolationIsFound) {
  // The budgets allow few events and many ticks, since a version is activated some five ticks after its
  // proposal.
  const model_check::LeaseBudget budget_without_election{.ticks = 12,
                                                         .renewals = 1,
                                                         .versions = 1,
                                                         .elections = 0,
                                                         .duplicates = 0,
                                                         .crashes = 0,
                                                         .max_in_flight = 1};
  model_check::LeaseBudget budget_with_election = budget_without_election;
  budget_with_election.elections = 1;
  const std::tuple<const char*, bool LeaseSafetyChecks::*, model_check::LeaseBudget> cases[] = {
      {"expiry is checked on use", &LeaseSafetyChecks::check_expiry_on_use, budget_without_election},
      {"a lease runs from its request", &LeaseSafetyChecks::start_at_request, budget_without_election},
      {"grants only while leading", &LeaseSafetyChecks::grant_only_while_leading, budget_with_election}};
  for (const auto& [name, check, budget] : cases) {
    LeaseSafetyChecks without;
    without.*check = false;
    const model_check::SearchResult result = model_check::SearchLeases(without, budget, 600'000);
    EXPECT_NE(result.violation, "") << name << ", " << result.states << " states";
    const model_check::SearchResult enabled_result = model_check::SearchLeases({}, budget, 60'000);
    EXPECT_EQ(enabled_result.violation, "") << name;
  }
}

}  // namespace
}  // namespace lemoncroft

// Leases: holders and grantors alone, simulated fleets of holders under faults, and a search of all event
// orders.
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

constexpr Instant kMaxContradiction = 1200ms;  // T of docs/agreement.md

TEST(LeaseHolder, LateGrant_LeaseRunsFromTheRequest) {
  LeaseHolder holder{LeaseOptions()};
  const Time start{1h};
  const LeaseRenewal first = holder.RequestRenewal(start);
  EXPECT_EQ(holder.UsableVersion(start), std::nullopt);
  holder.MarkPrepared(1);
  holder.HandleGrant(start + 900ms, {first.sequence, 1, 1, 0ms, 1});
  EXPECT_EQ(holder.UsableVersion(start + 980ms), Version{1});
  EXPECT_EQ(holder.UsableVersion(start + 990ms), std::nullopt);
  holder.HandleGrant(start + 950ms, {first.sequence, 1, 1, 0ms, 1});
  EXPECT_EQ(holder.UsableVersion(start + 995ms), std::nullopt) << "a renewal is answered once";
}

TEST(LeaseHolder, GrantForOlderVersion_KeepsTheNewerVersion) {
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

TEST(LeaseGrantor, ClockRatesWithinBound_RecordOutlastsTheLease) {
  for (const double slow : {0.99, 0.995, 1.0}) {
    LeaseOptions options;
    LeaseGrantor grantor(options);
    LeaseHolder holder(options);
    const Time start{1h};
    grantor.BeginLeadership(start, 1);
    holder.MarkPrepared(1);
    const LeaseRenewal asked = holder.RequestRenewal(start);
    grantor.HandleRenewal(start, true, "p", asked, 1, 1);
    holder.HandleGrant(start, {asked.sequence, 1, 1, 0ms, 1});
    for (Span at{}; at < 2s; at += 1ms) {
      const bool acts =
          holder.UsableVersion(start + Span(static_cast<Span::rep>(static_cast<double>(at.count()) * slow)))
              .has_value();
      const bool booked = !grantor.UnpreparedHolders(start + at, 2).empty();
      EXPECT_TRUE(!acts || booked) << slow << " " << at.count();
    }
  }
}

TEST(LeaseHolder, ClockRatesBeyondBound_NoUsableVersion) {
  for (const double rate : {1.005, 1.1, 0.9}) {
    LeaseHolder holder{LeaseOptions()};
    holder.MarkPrepared(1);
    Time now{1h};
    Span leaders{};
    for (int i = 0; i < 20; ++i) {
      holder.HandleGrant(now, {holder.RequestRenewal(now).sequence, 1, 1, leaders, 1});
      now += 250ms;
      leaders += Span(static_cast<Span::rep>(250e6 * rate));
    }
    EXPECT_EQ(holder.clock_rates_differ(), rate != 1.005) << rate;
    EXPECT_EQ(holder.UsableVersion(now - 250ms).has_value(), rate == 1.005) << rate;
  }
}

// ---- Simulated fleets ----

struct World : LeaseFleet {
  explicit World(std::uint64_t seed = 1, const LeaseSafetyChecks& safety_checks = {}, std::size_t proxies = 7)
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

TEST(LeaseFleet, Proposal_ActiveEverywhereWithinARenewalAndADelivery) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world(seed);
    const Instant since = world.now();
    world.ProposeAndWait();
    EXPECT_LE(world.now() - since, Instant(700ms)) << "to announce, prepare and activate: seed " << seed;
    EXPECT_LE(world.contradiction(), Instant(300ms)) << "a renewal interval and a delivery: seed " << seed;
    EXPECT_EQ(world.uses_without_document(), 0u);
  }
}

TEST(LeaseFleet, IsolatedProxy_StopsWithinTheMaximumContradiction) {
  World world;
  for (std::size_t p = 0; p < 7; ++p)
    for (const std::size_t cut : {5u, 6u})
      if (p != cut) {
        world.links().Cut(static_cast<simulation::Node>(p), static_cast<simulation::Node>(cut), true);
        world.links().Cut(static_cast<simulation::Node>(cut), static_cast<simulation::Node>(p), true);
      }
  world.RunFor(Instant(1200ms));
  EXPECT_EQ(world.UsableVersion(5), std::nullopt);
  world.Propose();
  world.RunFor(5s);
  EXPECT_EQ(world.UsableVersion(0), Version{2});
  EXPECT_EQ(world.UsableVersion(5), std::nullopt);
  world.links().Heal();
  world.RunFor(2s);
  EXPECT_TRUE(world.ActiveEverywhere(2));
  EXPECT_LE(world.contradiction(), kMaxContradiction);
}

TEST(LeaseFleet, RandomFaults_ContradictionStaysBounded) {
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    World world(seed, {}, 7);
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t bound) { return static_cast<std::size_t>(random() % bound); };
    for (int i = 0; i < 30; ++i) {
      const std::size_t who = below(7);
      switch (below(8)) {
        case 0:
          for (std::size_t p = 0; p < 7; ++p)
            world.links().Side(static_cast<simulation::Node>(p), static_cast<int>(below(2)));
          break;
        case 1:
          world.links().Heal();
          break;
        case 2:
          world.Stall(who, Instant(1ms) * static_cast<int>(below(4000)));
          break;
        case 3:
          if (who < 3 && world.voters().IsRunning(who)) world.CrashVoter(who);
          break;
        case 4:
          if (who < 3) world.RestartVoter(who);
          break;
        case 5:
          world.links().Cut(static_cast<simulation::Node>(who), static_cast<simulation::Node>(below(7)),
                            true);
          break;
        case 6:
          world.links().usual().loss = 0.05 * static_cast<double>(below(6));
          world.links().usual().spread = Instant(1ms) * static_cast<int>(below(800));
          break;
        default:
          world.SetFetchDelay(who, Instant(1ms) * static_cast<int>(below(600)));
      }
      world.Propose();
      world.RunFor(Instant(1ms) * static_cast<int>(below(1500)));
    }
    EXPECT_LE(world.contradiction(), kMaxContradiction) << "seed " << seed;
    EXPECT_EQ(world.stale(), 0u) << "seed " << seed;
    EXPECT_TRUE(world.voters().violations().empty()) << "seed " << seed;
  }
}

// ---- Safety checks ----

struct SwitchedCheck {
  const char* name;
  bool LeaseSafetyChecks::*check_field;
  std::function<bool(const LeaseSafetyChecks&)> keeps;
};

bool Keeps(const LeaseFleet& world) {
  return world.contradiction() <= kMaxContradiction && world.stale() == 0 &&
         world.uses_without_document() == 0;
}

const SwitchedCheck kSwitchedChecks[] = {
    {"expiry is checked on use", &LeaseSafetyChecks::check_expiry_on_use,
     [](const LeaseSafetyChecks& safety_checks) {
       World world(1, safety_checks);
       world.Stall(6, 4s);
       world.RunFor(2s);
       world.Propose();
       world.RunFor(4s);  // it is resumed, and acts before any of its timers has run
       return world.stale() == 0 && world.contradiction() <= kMaxContradiction;
     }},
    {"a lease runs from its request", &LeaseSafetyChecks::start_at_request,
     [](const LeaseSafetyChecks& safety_checks) {
       World world(1, safety_checks);
       for (std::size_t v = 0; v < 3; ++v) {
         simulation::LinkFaults slow;
         slow.delay = 2s;
         world.links().Set(static_cast<simulation::Node>(v), 6, slow);
       }
       world.RunFor(3s);
       world.Propose();
       world.RunFor(5s);
       return Keeps(world);
     }},
    {"grants only while leading", &LeaseSafetyChecks::grant_only_while_leading,
     [](const LeaseSafetyChecks& safety_checks) {
       World world(1, safety_checks);
       const std::size_t leader = *world.voters().Leader();
       for (std::size_t p = 0; p < 7; ++p)
         world.links().Side(static_cast<simulation::Node>(p), p == leader || p > 4 ? 0 : 1);
       for (int i = 0; i < 8; ++i) {
         world.RunFor(500ms);
         if (const auto other = world.voters().Leader(); other && *other != leader) world.Propose();
       }
       return Keeps(world);
     }},
    {"waits after an election", &LeaseSafetyChecks::wait_after_election,
     [](const LeaseSafetyChecks& safety_checks) {
       for (std::uint64_t seed = 1; seed <= 12; ++seed) {
         World world(seed, safety_checks);
         world.SetFetchDelay(6, 900ms);
         world.Propose();
         world.RunFor(100ms);
         world.voters().TransferLeadership(*world.voters().Leader());
         world.RunFor(3s);
         if (!Keeps(world)) return false;
       }
       return true;
     }},
    {"waits for all holders to prepare", &LeaseSafetyChecks::wait_for_all_prepared,
     [](const LeaseSafetyChecks& safety_checks) {
       World world(1, safety_checks);
       world.SetFetchDelay(6, 900ms);
       world.Propose();
       world.RunFor(3s);
       return Keeps(world);
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
       const LeaseRenewal asked = holder.RequestRenewal(start);
       grantor.HandleRenewal(start, true, "p", asked, 1, 1);
       holder.HandleGrant(start, {asked.sequence, 1, 1, 0ms, 1});
       for (Span at{}; at < 2s; at += 1ms) {
         const Span slow = Span(static_cast<Span::rep>(static_cast<double>(at.count()) * 0.99));
         if (holder.UsableVersion(start + slow) && grantor.UnpreparedHolders(start + at, 2).empty())
           return false;
       }
       return true;
     }},
};

TEST(LeaseSafetyChecks, Disabled_FaultIsFound) {
  for (const SwitchedCheck& check : kSwitchedChecks) {
    EXPECT_TRUE(check.keeps(LeaseSafetyChecks())) << check.name << ": fails with the check enabled";
    LeaseSafetyChecks uses_without_document;
    uses_without_document.*check.check_field = false;
    EXPECT_FALSE(check.keeps(uses_without_document)) << check.name << ": disabled, and nothing fails";
  }
}

// ---- Bounded search of all event orders ----

TEST(LeaseModel, AllChecksEnabled_NoStateViolatesTheInvariant) {
  const model_check::SearchResult found = model_check::SearchLeases({}, {}, 60'000);
  EXPECT_EQ(found.violation, "");
  EXPECT_GE(found.states, 60'000u);
}

TEST(LeaseModel, CheckDisabled_ViolationIsFound) {
  // Few events and many ticks: a version is activated some five ticks after its proposal.
  const model_check::LeaseBudget one{.ticks = 12,
                                     .renewals = 1,
                                     .versions = 1,
                                     .elections = 0,
                                     .duplicates = 0,
                                     .crashes = 0,
                                     .in_transit = 1};
  model_check::LeaseBudget two = one;
  two.elections = 1;
  const std::tuple<const char*, bool LeaseSafetyChecks::*, model_check::LeaseBudget> safety_checks[] = {
      {"expiry is checked on use", &LeaseSafetyChecks::check_expiry_on_use, one},
      {"a lease runs from its request", &LeaseSafetyChecks::start_at_request, one},
      {"grants only while leading", &LeaseSafetyChecks::grant_only_while_leading, two}};
  for (const auto& [name, check_field, budget] : safety_checks) {
    LeaseSafetyChecks uses_without_document;
    uses_without_document.*check_field = false;
    const model_check::SearchResult found = model_check::SearchLeases(uses_without_document, budget, 600'000);
    EXPECT_NE(found.violation, "") << name << ", " << found.states << " states";
    const model_check::SearchResult with = model_check::SearchLeases({}, budget, 60'000);
    EXPECT_EQ(with.violation, "") << name;
  }
}

}  // namespace
}  // namespace lemoncroft

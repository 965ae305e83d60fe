// Versions in force: leases by themselves, and proxies that act on versions under faults, in virtual time.
#include <gtest/gtest.h>

#include <functional>

#include "replicated_config/lease.h"
#include "testing/model_check/lease_world.h"
#include "testing/simulation/rule_fleet.h"

namespace lemoncroft {
namespace {

using namespace replicated_config;
using simulation::Instant;
using simulation::RuleFleet;
using namespace std::chrono_literals;

constexpr Instant kStated = 1200ms;  // T of docs/agreement.md

TEST(Lease, RunsFromWhenItWasAskedFor) {
  Holder holder{Terms()};
  const Time start{1h};
  const Renewal first = holder.Ask(start);
  EXPECT_EQ(holder.MayAct(start), std::nullopt);
  holder.Prepared(1);
  holder.Take(start + 900ms, {first.number, 1, 1, 0ms, 1});
  EXPECT_EQ(holder.MayAct(start + 980ms), Version{1});
  EXPECT_EQ(holder.MayAct(start + 990ms), std::nullopt);
  holder.Take(start + 950ms, {first.number, 1, 1, 0ms, 1});
  EXPECT_EQ(holder.MayAct(start + 995ms), std::nullopt) << "one answer to one asking";
}

TEST(Lease, AnOlderVersionNeverComesBack) {
  Holder holder{Terms()};
  const Time start{1h};
  holder.Prepared(2);
  holder.Take(start, {holder.Ask(start).number, 2, 2, 0ms, 1});
  holder.Take(start + 10ms, {holder.Ask(start + 5ms).number, 1, 2, 0ms, 1});
  EXPECT_EQ(holder.MayAct(start + 20ms), Version{2});
}

TEST(Lease, NobodyActsWithoutTheDocument) {
  Holder holder{Terms()};
  const Time start{1h};
  holder.Prepared(1);
  holder.Take(start, {holder.Ask(start).number, 2, 2, 0ms, 1});
  EXPECT_EQ(holder.MayAct(start), std::nullopt);
  holder.Prepared(2);
  EXPECT_EQ(holder.MayAct(start), Version{2});
}

// However far clocks' rates differ within the bound, the leader's books outlast the lease they are of.
TEST(Lease, TheBooksOutlastTheLease) {
  for (const double slow : {0.99, 0.995, 1.0}) {
    Terms terms;
    Granter granter(terms);
    Holder holder(terms);
    const Time start{1h};
    granter.Begin(start, 1);
    holder.Prepared(1);
    const Renewal asked = holder.Ask(start);
    granter.Answer(start, true, "p", asked, 1, 1);
    holder.Take(start, {asked.number, 1, 1, 0ms, 1});
    for (Span at{}; at < 2s; at += 1ms) {
      const bool acts =
          holder.MayAct(start + Span(static_cast<Span::rep>(static_cast<double>(at.count()) * slow)))
              .has_value();
      const bool booked = !granter.Missing(start + at, 2).empty();
      EXPECT_TRUE(!acts || booked) << slow << " " << at.count();
    }
  }
}

TEST(Lease, RatesThatDifferByMoreAreNoticed) {
  for (const double rate : {1.005, 1.1, 0.9}) {
    Holder holder{Terms()};
    holder.Prepared(1);
    Time now{1h};
    Span leaders{};
    for (int i = 0; i < 20; ++i) {
      holder.Take(now, {holder.Ask(now).number, 1, 1, leaders, 1});
      now += 250ms;
      leaders += Span(static_cast<Span::rep>(250e6 * rate));
    }
    EXPECT_EQ(holder.rates_apart(), rate != 1.005) << rate;
    EXPECT_EQ(holder.MayAct(now - 250ms).has_value(), rate == 1.005) << rate;
  }
}

// ---- Proxies that act ----

struct World : RuleFleet {
  explicit World(std::uint64_t seed = 1, const Guards& guards = {}, std::size_t proxies = 7)
      : RuleFleet([&] {
          Plan plan;
          plan.seed = seed;
          plan.proxies = proxies;
          plan.terms.guards = guards;
          return plan;
        }()) {
    RunFor(3s);
    ProposeAndWait();
  }
  void ProposeAndWait() {
    const auto version = Propose();
    EXPECT_TRUE(version.has_value());
    for (int i = 0; i < 400 && !InForceEverywhere(version.value_or(0)); ++i) RunFor(10ms);
    EXPECT_TRUE(InForceEverywhere(version.value_or(0)));
  }
};

TEST(Rules, AVersionComesIntoForceEverywhereWithinABeatAndADelivery) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world(seed);
    const Instant since = world.now();
    world.ProposeAndWait();
    EXPECT_LE(world.now() - since, Instant(700ms)) << "to tell, to prepare, to put in force: seed " << seed;
    EXPECT_LE(world.contradiction(), Instant(300ms)) << "a beat and a delivery: seed " << seed;
    EXPECT_EQ(world.without(), 0u);
  }
}

TEST(Rules, WhoIsCutOffStopsWithinTheStatedTime) {
  World world;
  for (std::size_t p = 0; p < 7; ++p)
    for (const std::size_t cut : {5u, 6u})
      if (p != cut) {
        world.links().Cut(static_cast<simulation::Node>(p), static_cast<simulation::Node>(cut), true);
        world.links().Cut(static_cast<simulation::Node>(cut), static_cast<simulation::Node>(p), true);
      }
  world.RunFor(Instant(1200ms));
  EXPECT_EQ(world.MayAct(5), std::nullopt);
  world.Propose();
  world.RunFor(5s);
  EXPECT_EQ(world.MayAct(0), Version{2});
  EXPECT_EQ(world.MayAct(5), std::nullopt);
  world.links().Heal();
  world.RunFor(2s);
  EXPECT_TRUE(world.InForceEverywhere(2));
  EXPECT_LE(world.contradiction(), kStated);
}

TEST(Rules, ThousandsOfRandomFaultsNeverContradictForLongerThanStated) {
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
          world.SlowFetch(who, Instant(1ms) * static_cast<int>(below(600)));
      }
      world.Propose();
      world.RunFor(Instant(1ms) * static_cast<int>(below(1500)));
    }
    EXPECT_LE(world.contradiction(), kStated) << "seed " << seed;
    EXPECT_EQ(world.stale(), 0u) << "seed " << seed;
    EXPECT_TRUE(world.voters().violations().empty()) << "seed " << seed;
  }
}

// ---- Guards ----

struct Guarded {
  const char* name;
  bool Guards::*guard;
  std::function<bool(const Guards&)> keeps;
};

bool Keeps(const RuleFleet& world) {
  return world.contradiction() <= kStated && world.stale() == 0 && world.without() == 0;
}

const Guarded kGuards[] = {
    {"the lease is looked at in the act", &Guards::checked_at_act,
     [](const Guards& guards) {
       World world(1, guards);
       world.Stall(6, 4s);
       world.RunFor(2s);
       world.Propose();
       world.RunFor(4s);  // it wakes, and acts before any timer of its has run
       return world.stale() == 0 && world.contradiction() <= kStated;
     }},
    {"a lease runs from its asking", &Guards::from_asking,
     [](const Guards& guards) {
       World world(1, guards);
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
    {"grants only while it leads", &Guards::only_while_leading,
     [](const Guards& guards) {
       World world(1, guards);
       const std::size_t leader = *world.voters().Leader();
       for (std::size_t p = 0; p < 7; ++p)
         world.links().Side(static_cast<simulation::Node>(p), p == leader || p > 4 ? 0 : 1);
       for (int i = 0; i < 8; ++i) {
         world.RunFor(500ms);
         if (const auto other = world.voters().Leader(); other && *other != leader) world.Propose();
       }
       return Keeps(world);
     }},
    {"waits after an election", &Guards::wait_after_election,
     [](const Guards& guards) {
       for (std::uint64_t seed = 1; seed <= 12; ++seed) {
         World world(seed, guards);
         world.SlowFetch(6, 900ms);
         world.Propose();
         world.RunFor(100ms);
         world.voters().TransferLeadership(*world.voters().Leader());
         world.RunFor(3s);
         if (!Keeps(world)) return false;
       }
       return true;
     }},
    {"waits for all to have prepared", &Guards::wait_for_prepared,
     [](const Guards& guards) {
       World world(1, guards);
       world.SlowFetch(6, 900ms);
       world.Propose();
       world.RunFor(3s);
       return Keeps(world);
     }},
    {"an older version never comes back", &Guards::never_back,
     [](const Guards& guards) {
       Terms terms;
       terms.guards = guards;
       Holder holder(terms);
       const Time start{1h};
       holder.Prepared(2);
       holder.Take(start, {holder.Ask(start).number, 2, 2, 0ms, 1});
       holder.Take(start + 10ms, {holder.Ask(start + 5ms).number, 1, 2, 0ms, 1});
       return holder.MayAct(start + 20ms) == Version{2};
     }},
    {"ends early by the rates", &Guards::shorter_by_rates,
     [](const Guards& guards) {
       Terms terms;
       terms.guards = guards;
       Granter granter(terms);
       Holder holder(terms);
       const Time start{1h};
       holder.Prepared(1);
       const Renewal asked = holder.Ask(start);
       granter.Answer(start, true, "p", asked, 1, 1);
       holder.Take(start, {asked.number, 1, 1, 0ms, 1});
       for (Span at{}; at < 2s; at += 1ms) {
         const Span slow = Span(static_cast<Span::rep>(static_cast<double>(at.count()) * 0.99));
         if (holder.MayAct(start + slow) && granter.Missing(start + at, 2).empty()) return false;
       }
       return true;
     }},
};

TEST(RulesGuards, EachIsNeeded) {
  for (const Guarded& guarded : kGuards) {
    EXPECT_TRUE(guarded.keeps(Guards())) << guarded.name << ": fails with the guard in place";
    Guards without;
    without.*guarded.guard = false;
    EXPECT_FALSE(guarded.keeps(without)) << guarded.name << ": taken away, and nothing fails";
  }
}

// ---- All orders of events, within bounds ----

TEST(LeaseModel, NoStateBreaksTheStatedTime) {
  const model_check::SearchResult found = model_check::SearchLeases({}, {}, 60'000);
  EXPECT_EQ(found.violation, "");
  EXPECT_GE(found.states, 60'000u);
}

TEST(LeaseModel, FindsEachGuardThatIsTakenAway) {
  // Few events and many beats: a version comes into force some five beats after its proposal.
  const model_check::LeaseBudget one{
      .beats = 12, .asks = 1, .versions = 1, .elections = 0, .doubled = 0, .crashes = 0, .on_their_way = 1};
  model_check::LeaseBudget two = one;
  two.elections = 1;
  const std::tuple<const char*, bool Guards::*, model_check::LeaseBudget> guards[] = {
      {"the lease is looked at in the act", &Guards::checked_at_act, one},
      {"a lease runs from its asking", &Guards::from_asking, one},
      {"granted only while it leads", &Guards::only_while_leading, two}};
  for (const auto& [name, guard, budget] : guards) {
    Guards without;
    without.*guard = false;
    const model_check::SearchResult found = model_check::SearchLeases(without, budget, 600'000);
    EXPECT_NE(found.violation, "") << name << ", " << found.states << " states";
    const model_check::SearchResult with = model_check::SearchLeases({}, budget, 60'000);
    EXPECT_EQ(with.violation, "") << name;
  }
}

}  // namespace
}  // namespace lemoncroft

// The replicated log: step by step, in virtual time with faults, and in a search of its states; each guard
// taken away once.
#include <gtest/gtest.h>

#include <functional>

#include "raft/raft.h"
#include "testing/model_check/log_world.h"
#include "testing/simulation/voters.h"

namespace lemoncroft {
namespace {

using namespace raft;
using simulation::Instant;
using simulation::Voters;
using namespace std::chrono_literals;

struct Cluster : Voters {
  explicit Cluster(std::uint64_t seed = 1, const SafetyChecks& guards = {}, std::size_t members = 3,
                   std::size_t voting = 3)
      : Voters([&] {
          Plan plan;
          plan.seed = seed;
          plan.members = members;
          plan.voting = voting;
          plan.settings.guards = guards;
          return plan;
        }()) {}
  std::size_t Elect() {
    for (int i = 0; i < 100 && !Leader(); ++i) RunFor(50ms);
    EXPECT_TRUE(Leader().has_value());
    return Leader().value_or(0);
  }
  void CutOff(std::size_t who, std::size_t members, bool cut) {
    for (std::size_t i = 0; i < members; ++i) {
      if (i == who) continue;
      links().Cut(static_cast<simulation::Node>(who), static_cast<simulation::Node>(i), cut);
      links().Cut(static_cast<simulation::Node>(i), static_cast<simulation::Node>(who), cut);
    }
  }
  void CutBetween(std::size_t a, std::size_t b) {
    links().Cut(static_cast<simulation::Node>(a), static_cast<simulation::Node>(b), true);
    links().Cut(static_cast<simulation::Node>(b), static_cast<simulation::Node>(a), true);
  }
  bool IsCommitted(const std::string& data) const {
    return std::any_of(committed().begin(), committed().end(),
                       [&](const auto& one) { return one.second.data == data; });
  }
};

TEST(Agreement, ElectsALeaderAndCommits) {
  Cluster cluster;
  const std::size_t leader = cluster.Elect();
  EXPECT_EQ(cluster.Propose(leader, "x").refusal, ProposalError::kNone);
  EXPECT_EQ(cluster.Propose((leader + 1) % 3, "y").refusal, ProposalError::kNotLeader);
  EXPECT_EQ(cluster.Propose(leader, std::string(1 << 20, 'z')).refusal, ProposalError::kEntryTooLarge);
  cluster.RunFor(500ms);
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(cluster.raft(i).commit(), cluster.raft(leader).commit());
  EXPECT_TRUE(cluster.IsCommitted("x"));
  EXPECT_TRUE(cluster.broken().empty());
}

TEST(Agreement, AnotherLeadsSoonAfterTheLeadersEnd) {
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Cluster cluster(seed);
    cluster.Crash(cluster.Elect());
    const Instant since = cluster.now();
    while (!cluster.Leader() && cluster.now() - since < 10s) cluster.RunFor(10ms);
    worst = std::max(worst, std::chrono::duration<double>(cluster.now() - since).count());
  }
  EXPECT_LT(worst, 3.0);
}

TEST(Agreement, HandsOverWithoutAnElectionsWait) {
  Cluster cluster;
  const std::size_t before = cluster.Elect();
  cluster.Resign(before);
  cluster.RunFor(200ms);
  ASSERT_TRUE(cluster.Leader().has_value());
  EXPECT_NE(*cluster.Leader(), before);
  EXPECT_TRUE(cluster.broken().empty());
}

TEST(Agreement, ALeaderThatIsVotedOutHandsOver) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Cluster cluster(seed);
    const std::size_t before = cluster.Elect();
    cluster.RunFor(500ms);
    cluster.ChangeVoters(before, Voters::NameOf(before), false);
    cluster.RunFor(250ms);
    ASSERT_TRUE(cluster.Leader().has_value()) << seed;
    EXPECT_NE(*cluster.Leader(), before);
    EXPECT_TRUE(cluster.broken().empty());
  }
}

TEST(Agreement, ASlowDiskDelaysAndNeverLies) {
  Cluster cluster;
  const std::size_t leader = cluster.Elect();
  for (std::size_t i = 0; i < 3; ++i)
    if (i != leader) cluster.SlowDisk(i, 5s);
  cluster.Propose(leader, "x");
  cluster.RunFor(2s);
  EXPECT_FALSE(cluster.IsCommitted("x")) << "nobody else has it on disk";
  cluster.RunFor(15s);
  EXPECT_TRUE(cluster.broken().empty());
}

TEST(Agreement, VotersAreReplacedOneByOneUnderFaults) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Cluster cluster(seed, {}, 5, 3);
    std::mt19937_64 random(seed);
    cluster.links().usual().loss = 0.1;
    // B, then C, make room for D and E.
    const std::pair<const char*, bool> changes[] = {{"D", true}, {"B", false}, {"E", true}, {"C", false}};
    for (const auto& [who, in] : changes) {
      for (int tries = 0; tries < 400; ++tries) {
        const auto leader = cluster.Leader();
        if (leader) {
          const auto& voters = cluster.raft(*leader).voters();
          if ((std::find(voters.begin(), voters.end(), who) != voters.end()) == in &&
              cluster.raft(*leader).commit() == cluster.raft(*leader).last())
            break;
          cluster.ChangeVoters(*leader, who, in);
        }
        if (random() % 20 == 0) cluster.Stall(random() % 5, Instant(1ms) * static_cast<int>(random() % 2000));
        cluster.RunFor(100ms);
      }
    }
    cluster.links().usual().loss = 0;
    cluster.RunFor(5s);
    const std::size_t leader = cluster.Elect();
    EXPECT_EQ(cluster.raft(leader).voters(), (std::vector<NodeId>{"A", "D", "E"})) << "seed " << seed;
    cluster.Propose(leader, "after");
    cluster.RunFor(2s);
    EXPECT_TRUE(cluster.IsCommitted("after")) << "seed " << seed;
    EXPECT_TRUE(cluster.broken().empty()) << "seed " << seed << ": " << cluster.broken().front();
  }
}

TEST(Agreement, SnapshotsBringUpWhoWasAwayForLong) {
  Cluster cluster;
  const std::size_t leader = cluster.Elect(), away = (leader + 1) % 3;
  cluster.CutOff(away, 3, true);
  for (int i = 0; i < 200; ++i) cluster.Propose(leader, "d" + std::to_string(i)), cluster.RunFor(10ms);
  cluster.Compact(leader);
  EXPECT_LT(cluster.raft(leader).log().size(), 10u);
  cluster.links().Heal();
  cluster.RunFor(3s);
  EXPECT_EQ(cluster.raft(away).commit(), cluster.raft(leader).commit());
  EXPECT_GT(cluster.raft(away).snapshot().index, 0u);
  cluster.Crash(away);
  cluster.Restart(away);
  cluster.RunFor(3s);
  EXPECT_EQ(cluster.raft(away).commit(), cluster.raft(leader).commit());
  EXPECT_TRUE(cluster.broken().empty());
}

TEST(Agreement, RandomFaultsBreakNoRuleAndItGoesOnAfterThem) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const std::size_t n = seed % 3 == 0 ? 5 : 3;
    Cluster cluster(seed, {}, n, n);
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t bound) { return static_cast<std::size_t>(random() % bound); };
    for (int i = 0; i < 40; ++i) {
      const std::size_t who = below(n);
      switch (below(9)) {
        case 0:
          if (cluster.Lives(who)) cluster.Crash(who);
          break;
        case 1:
        case 2:
          if (!cluster.Lives(who)) cluster.Restart(who);
          break;
        case 3:
          cluster.CutOff(who, n, true);
          break;
        case 4:
          cluster.links().Cut(static_cast<simulation::Node>(who), static_cast<simulation::Node>(below(n)),
                              true);
          break;
        case 5:
          cluster.links().usual().loss = 0.05 * static_cast<double>(below(8));
          cluster.links().usual().duplicate = 0.2;
          cluster.links().usual().spread = Instant(1ms) * static_cast<int>(below(300));
          break;
        case 6:
          cluster.Stall(who, Instant(1ms) * static_cast<int>(below(3000)));
          break;
        case 7:
          cluster.SlowDisk(who, Instant(1ms) * static_cast<int>(below(200)));
          break;
        default:
          cluster.links().Heal();
      }
      if (const auto leader = cluster.Leader()) {
        cluster.Propose(*leader, "p" + std::to_string(i));
        if (below(10) == 0) cluster.Compact(*leader);
        if (below(10) == 0) cluster.Resign(*leader);
      }
      cluster.RunFor(Instant(1ms) * static_cast<int>(below(800)));
    }
    cluster.links().Heal();
    cluster.links().usual() = {};
    for (std::size_t i = 0; i < n; ++i) {
      if (!cluster.Lives(i)) cluster.Restart(i);
      cluster.SlowDisk(i, 2ms);
    }
    cluster.RunFor(8s);
    const std::size_t leader = cluster.Elect();
    cluster.Propose(leader, "last");
    cluster.RunFor(2s);
    EXPECT_TRUE(cluster.IsCommitted("last")) << "seed " << seed;
    EXPECT_TRUE(cluster.broken().empty()) << "seed " << seed << ": " << cluster.broken().front();
  }
}

// ---- Guards ----

// The paper's figure 8: an entry of a former term that a majority holds may still be overwritten.
bool FigureEight(const SafetyChecks& guards) {
  Options settings;
  settings.guards = guards;
  settings.guards.pre_vote = settings.guards.sticky = settings.guards.wait_after_start = false;
  settings.batch = 1;
  PersistentState fresh;
  fresh.snapshot.voters = {"A", "B", "C"};
  const Time start{1h};
  std::map<NodeId, Raft> rafts;
  for (const NodeId& name : fresh.snapshot.voters) rafts.emplace(name, Raft(settings, name, fresh, 1, start));
  std::map<Index, Entry> committed;
  bool kept = true;
  std::vector<std::tuple<NodeId, NodeId, Message>> letters;
  const auto carry = [&](const NodeId& name) {
    for (const Output& output : rafts.at(name).Take()) {
      if (const auto* store = std::get_if<StorageUpdate>(&output))
        rafts.at(name).Stored(start, store->number);
      if (const auto* send = std::get_if<SendMessage>(&output))
        letters.emplace_back(name, send->to, send->message);
      if (const auto* one = std::get_if<Committed>(&output)) {
        const auto [it, first] = committed.try_emplace(one->entry.index, one->entry);
        kept = kept && (first || it->second == one->entry);
      }
    }
  };
  // Delivers what passes between the two, so many rounds; all else is lost.
  const auto between = [&](const NodeId& a, const NodeId& b, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      std::vector<std::tuple<NodeId, NodeId, Message>> now;
      now.swap(letters);
      for (const auto& [from, to, message] : now) {
        if ((from != a && from != b) || (to != a && to != b)) continue;
        rafts.at(to).Receive(start, from, message);
        carry(to);
      }
    }
    letters.clear();
  };
  const auto elect = [&](const NodeId& who, const NodeId& by, int rounds) {
    rafts.at(who).Step(rafts.at(who).due());
    carry(who);
    between(who, by, rounds);
  };
  const auto beat = [&](const NodeId& who, const NodeId& with, int rounds) {
    rafts.at(who).Step(rafts.at(who).due());
    carry(who);
    between(who, with, rounds);
  };
  elect("A", "B", 2);  // leads term 1; its entry reaches nobody
  elect("C", "B", 2);  // of that term B has voted
  elect("C", "B", 2);  // leads term 2 with an entry of its own
  beat("A", "B", 2);   // hears of term 2
  elect("A", "B", 2);  // leads term 3
  beat("A", "B", 2);   // its old entry is on two of three, the new one on none but its own
  beat("C", "B", 2);   // hears of term 3
  elect("C", "B", 2);  // leads term 4: its log ends in a later term than B's
  beat("C", "B", 12);
  return kept;
}

struct Guarded {
  const char* name;
  bool SafetyChecks::*guard;
  std::function<bool(const SafetyChecks&)> keeps;
};

bool SearchKeeps(const SafetyChecks& guards, model_check::LogBudget budget) {
  const model_check::Found found =
      model_check::SearchLog(guards, budget, guards == SafetyChecks() ? 15'000 : 100'000);
  return found.broken.empty();
}

const Guarded kGuards[] = {
    {"durable before told", &SafetyChecks::durable_first,
     [](const SafetyChecks& guards) {
       return SearchKeeps(guards, {.elections = 2, .proposals = 0, .crashes = 1, .doubled = 0, .beats = 0});
     }},
    {"one vote a term", &SafetyChecks::one_vote,
     [](const SafetyChecks& guards) {
       return SearchKeeps(guards, {.elections = 2, .proposals = 0, .crashes = 0, .doubled = 0, .beats = 0});
     }},
    {"votes for logs as long", &SafetyChecks::up_to_date,
     [](const SafetyChecks& guards) {
       return SearchKeeps(guards, {.elections = 2, .proposals = 0, .crashes = 0, .doubled = 0, .beats = 1});
     }},
    {"entries on the same log", &SafetyChecks::match,
     [](const SafetyChecks& guards) {
       return SearchKeeps(guards, {.elections = 2, .proposals = 1, .crashes = 0, .doubled = 0, .beats = 1});
     }},
    {"its own entries once kept", &SafetyChecks::counts_itself_kept,
     [](const SafetyChecks& guards) {
       return SearchKeeps(guards, {.elections = 2, .proposals = 0, .crashes = 1, .doubled = 0, .beats = 0});
     }},
    {"commitment of its own term", &SafetyChecks::own_term, FigureEight},
    {"pre-vote", &SafetyChecks::pre_vote,
     [](const SafetyChecks& guards) {
       Cluster cluster(1, guards);
       const std::size_t leader = cluster.Elect();
       cluster.CutOff((leader + 1) % 3, 3, true);
       cluster.RunFor(5s);
       const Term before = cluster.raft(leader).term();
       cluster.links().Heal();
       cluster.RunFor(2s);
       return cluster.raft(leader).term() == before && cluster.Leads(leader);
     }},
    {"who hears a leader votes for nobody", &SafetyChecks::sticky,
     [](const SafetyChecks& guards) {
       for (std::uint64_t seed = 1; seed <= 10; ++seed) {
         Cluster cluster(seed, guards);
         const std::size_t leader = cluster.Elect();
         cluster.CutBetween(leader, (leader + 1) % 3);
         cluster.RunFor(5s);
         if (!cluster.broken().empty()) return false;
       }
       return true;
     }},
    {"waits after a start", &SafetyChecks::wait_after_start,
     [](const SafetyChecks& guards) {
       for (std::uint64_t seed = 1; seed <= 20; ++seed) {
         Cluster cluster(seed, guards);
         const std::size_t leader = cluster.Elect(), deaf = (leader + 1) % 3, other = (leader + 2) % 3;
         cluster.CutBetween(leader, deaf);
         for (int i = 0; i < 40; ++i) {
           cluster.RunFor(170ms);
           cluster.Crash(other);
           cluster.Restart(other);
         }
         if (!cluster.broken().empty()) return false;
       }
       return true;
     }},
    {"gives its lease up before it hands over", &SafetyChecks::give_up_lease,
     [](const SafetyChecks& guards) {
       Cluster cluster(1, guards);
       const std::size_t leader = cluster.Elect();
       for (simulation::Node i = 0; i < 3; ++i)  // it won't hear who comes after it
         if (i != leader) cluster.links().Cut(i, static_cast<simulation::Node>(leader), true);
       cluster.Resign(leader);
       cluster.RunFor(2s);
       return cluster.broken().empty();
     }},
    {"steps down without a majority", &SafetyChecks::step_down,
     [](const SafetyChecks& guards) {
       Cluster cluster(1, guards);
       const std::size_t leader = cluster.Elect();
       cluster.CutOff(leader, 3, true);
       cluster.RunFor(3s);
       return cluster.raft(leader).role() != Role::kLeader;
     }},
    {"one change of voters at a time", &SafetyChecks::one_change,
     [](const SafetyChecks& guards) {
       Cluster cluster(1, guards);
       const std::size_t leader = cluster.Elect();
       cluster.RunFor(500ms);
       cluster.CutOff(leader, 3, true);
       cluster.ChangeVoters(leader, Voters::NameOf((leader + 1) % 3), false);
       cluster.ChangeVoters(leader, Voters::NameOf((leader + 2) % 3), false);
       cluster.Propose(leader, "alone");
       cluster.RunFor(3s);
       const auto other = cluster.Leader();
       if (other && *other != leader) cluster.Propose(*other, "together");
       cluster.RunFor(3s);
       return cluster.broken().empty();
     }},
};

TEST(AgreementGuards, EachIsNeeded) {
  for (const Guarded& guarded : kGuards) {
    EXPECT_TRUE(guarded.keeps(SafetyChecks())) << guarded.name << ": fails with the guard in place";
    SafetyChecks without;
    without.*guarded.guard = false;
    EXPECT_FALSE(guarded.keeps(without)) << guarded.name << ": taken away, and nothing fails";
  }
}

TEST(AgreementModel, NoStateOfTheLogBreaksARule) {
  const model_check::Found found = model_check::SearchLog({}, {}, 60'000);
  EXPECT_EQ(found.broken, "");
  EXPECT_GE(found.states, 60'000u);
}

}  // namespace
}  // namespace lemoncroft

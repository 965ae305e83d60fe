// The replicated log: step by step, in virtual time with faults, and in a search of its states; each guard
// taken away once.
#include "raft/raft.h"

#include <gtest/gtest.h>

#include <functional>

#include "testing/model_check/raft_model.h"
#include "testing/simulation/raft_cluster.h"

namespace lemoncroft {
namespace {

using namespace raft;
using simulation::Instant;
using simulation::RaftCluster;
using namespace std::chrono_literals;

struct Cluster : RaftCluster {
  explicit Cluster(std::uint64_t seed = 1, const SafetyChecks& safety_checks = {}, std::size_t members = 3,
                   std::size_t voting = 3)
      : RaftCluster([&] {
          Plan plan;
          plan.seed = seed;
          plan.members = members;
          plan.initial_voters = voting;
          plan.options.safety_checks = safety_checks;
          return plan;
        }()) {}
  std::size_t Elect() {
    for (int i = 0; i < 100 && !Leader(); ++i) RunFor(50ms);
    EXPECT_TRUE(Leader().has_value());
    return Leader().value_or(0);
  }
  void Isolate(std::size_t who, std::size_t members, bool cut) {
    for (std::size_t i = 0; i < members; ++i) {
      if (i == who) continue;
      links().Cut(static_cast<simulation::Node>(who), static_cast<simulation::Node>(i), cut);
      links().Cut(static_cast<simulation::Node>(i), static_cast<simulation::Node>(who), cut);
    }
  }
  void Disconnect(std::size_t a, std::size_t b) {
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
  EXPECT_EQ(cluster.Propose(leader, "x").error, ProposalError::kNone);
  EXPECT_EQ(cluster.Propose((leader + 1) % 3, "y").error, ProposalError::kNotLeader);
  EXPECT_EQ(cluster.Propose(leader, std::string(1 << 20, 'z')).error, ProposalError::kEntryTooLarge);
  cluster.RunFor(500ms);
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_EQ(cluster.raft(i).commit_index(), cluster.raft(leader).commit_index());
  EXPECT_TRUE(cluster.IsCommitted("x"));
  EXPECT_TRUE(cluster.violations().empty());
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
  cluster.TransferLeadership(before);
  cluster.RunFor(200ms);
  ASSERT_TRUE(cluster.Leader().has_value());
  EXPECT_NE(*cluster.Leader(), before);
  EXPECT_TRUE(cluster.violations().empty());
}

TEST(Agreement, ALeaderThatIsVotedOutHandsOver) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Cluster cluster(seed);
    const std::size_t before = cluster.Elect();
    cluster.RunFor(500ms);
    cluster.ChangeVoters(before, RaftCluster::NameOf(before), false);
    cluster.RunFor(250ms);
    ASSERT_TRUE(cluster.Leader().has_value()) << seed;
    EXPECT_NE(*cluster.Leader(), before);
    EXPECT_TRUE(cluster.violations().empty());
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
  EXPECT_TRUE(cluster.violations().empty());
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
              cluster.raft(*leader).commit_index() == cluster.raft(*leader).last_index())
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
    EXPECT_TRUE(cluster.violations().empty()) << "seed " << seed << ": " << cluster.violations().front();
  }
}

TEST(Agreement, SnapshotsBringUpWhoWasAwayForLong) {
  Cluster cluster;
  const std::size_t leader = cluster.Elect(), away = (leader + 1) % 3;
  cluster.Isolate(away, 3, true);
  for (int i = 0; i < 200; ++i) cluster.Propose(leader, "d" + std::to_string(i)), cluster.RunFor(10ms);
  cluster.Compact(leader);
  EXPECT_LT(cluster.raft(leader).log().size(), 10u);
  cluster.links().Heal();
  cluster.RunFor(3s);
  EXPECT_EQ(cluster.raft(away).commit_index(), cluster.raft(leader).commit_index());
  EXPECT_GT(cluster.raft(away).snapshot().index, 0u);
  cluster.Crash(away);
  cluster.Restart(away);
  cluster.RunFor(3s);
  EXPECT_EQ(cluster.raft(away).commit_index(), cluster.raft(leader).commit_index());
  EXPECT_TRUE(cluster.violations().empty());
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
          if (cluster.IsRunning(who)) cluster.Crash(who);
          break;
        case 1:
        case 2:
          if (!cluster.IsRunning(who)) cluster.Restart(who);
          break;
        case 3:
          cluster.Isolate(who, n, true);
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
        if (below(10) == 0) cluster.TransferLeadership(*leader);
      }
      cluster.RunFor(Instant(1ms) * static_cast<int>(below(800)));
    }
    cluster.links().Heal();
    cluster.links().usual() = {};
    for (std::size_t i = 0; i < n; ++i) {
      if (!cluster.IsRunning(i)) cluster.Restart(i);
      cluster.SlowDisk(i, 2ms);
    }
    cluster.RunFor(8s);
    const std::size_t leader = cluster.Elect();
    cluster.Propose(leader, "last");
    cluster.RunFor(2s);
    EXPECT_TRUE(cluster.IsCommitted("last")) << "seed " << seed;
    EXPECT_TRUE(cluster.violations().empty()) << "seed " << seed << ": " << cluster.violations().front();
  }
}

// ---- Guards ----

// The paper's figure 8: an entry of a former term that a majority holds may still be overwritten.
bool FigureEight(const SafetyChecks& safety_checks) {
  Options options;
  options.safety_checks = safety_checks;
  options.safety_checks.pre_vote = options.safety_checks.leader_stickiness =
      options.safety_checks.vote_delay_after_restart = false;
  options.max_batch_entries = 1;
  PersistentState fresh;
  fresh.snapshot.voters = {"A", "B", "C"};
  const Time start{1h};
  std::map<NodeId, Raft> rafts;
  for (const NodeId& name : fresh.snapshot.voters) rafts.emplace(name, Raft(options, name, fresh, 1, start));
  std::map<Index, Entry> committed;
  bool kept = true;
  std::vector<std::tuple<NodeId, NodeId, Message>> packets;
  const auto carry = [&](const NodeId& name) {
    for (const Output& output : rafts.at(name).TakeOutputs()) {
      if (const auto* update = std::get_if<StorageUpdate>(&output))
        rafts.at(name).OnPersisted(start, update->sequence);
      if (const auto* send = std::get_if<SendMessage>(&output))
        packets.emplace_back(name, send->to, send->message);
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
      now.swap(packets);
      for (const auto& [from, to, message] : now) {
        if ((from != a && from != b) || (to != a && to != b)) continue;
        rafts.at(to).Receive(start, from, message);
        carry(to);
      }
    }
    packets.clear();
  };
  const auto elect = [&](const NodeId& who, const NodeId& by, int rounds) {
    rafts.at(who).Tick(rafts.at(who).NextDeadline());
    carry(who);
    between(who, by, rounds);
  };
  const auto beat = [&](const NodeId& who, const NodeId& with, int rounds) {
    rafts.at(who).Tick(rafts.at(who).NextDeadline());
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

struct SafetyCheckCase {
  const char* name;
  bool SafetyChecks::*check;
  std::function<bool(const SafetyChecks&)> holds;
};

bool SearchHolds(const SafetyChecks& safety_checks, model_check::RaftModelBudget budget) {
  const model_check::SearchResult found =
      model_check::SearchRaftModel(safety_checks, budget, safety_checks == SafetyChecks() ? 15'000 : 100'000);
  return found.violation.empty();
}

const SafetyCheckCase kSafetyCheckCases[] = {
    {"durable before told", &SafetyChecks::persist_before_send,
     [](const SafetyChecks& safety_checks) {
       return SearchHolds(safety_checks,
                          {.elections = 2, .proposals = 0, .crashes = 1, .duplicates = 0, .heartbeats = 0});
     }},
    {"one vote a term", &SafetyChecks::single_vote_per_term,
     [](const SafetyChecks& safety_checks) {
       return SearchHolds(safety_checks,
                          {.elections = 2, .proposals = 0, .crashes = 0, .duplicates = 0, .heartbeats = 0});
     }},
    {"votes for logs as long", &SafetyChecks::require_up_to_date_log,
     [](const SafetyChecks& safety_checks) {
       return SearchHolds(safety_checks,
                          {.elections = 2, .proposals = 0, .crashes = 0, .duplicates = 0, .heartbeats = 1});
     }},
    {"entries on the same log", &SafetyChecks::log_matching,
     [](const SafetyChecks& safety_checks) {
       return SearchHolds(safety_checks,
                          {.elections = 2, .proposals = 1, .crashes = 0, .duplicates = 0, .heartbeats = 1});
     }},
    {"its own entries once kept", &SafetyChecks::count_durable_entries_only,
     [](const SafetyChecks& safety_checks) {
       return SearchHolds(safety_checks,
                          {.elections = 2, .proposals = 0, .crashes = 1, .duplicates = 0, .heartbeats = 0});
     }},
    {"commitment of its own term", &SafetyChecks::commit_current_term_only, FigureEight},
    {"pre-vote", &SafetyChecks::pre_vote,
     [](const SafetyChecks& safety_checks) {
       Cluster cluster(1, safety_checks);
       const std::size_t leader = cluster.Elect();
       cluster.Isolate((leader + 1) % 3, 3, true);
       cluster.RunFor(5s);
       const Term before = cluster.raft(leader).term();
       cluster.links().Heal();
       cluster.RunFor(2s);
       return cluster.raft(leader).term() == before && cluster.HoldsLeaderLease(leader);
     }},
    {"who hears a leader votes for nobody", &SafetyChecks::leader_stickiness,
     [](const SafetyChecks& safety_checks) {
       for (std::uint64_t seed = 1; seed <= 10; ++seed) {
         Cluster cluster(seed, safety_checks);
         const std::size_t leader = cluster.Elect();
         cluster.Disconnect(leader, (leader + 1) % 3);
         cluster.RunFor(5s);
         if (!cluster.violations().empty()) return false;
       }
       return true;
     }},
    {"waits after a start", &SafetyChecks::vote_delay_after_restart,
     [](const SafetyChecks& safety_checks) {
       for (std::uint64_t seed = 1; seed <= 20; ++seed) {
         Cluster cluster(seed, safety_checks);
         const std::size_t leader = cluster.Elect(), unreachable = (leader + 1) % 3, other = (leader + 2) % 3;
         cluster.Disconnect(leader, unreachable);
         for (int i = 0; i < 40; ++i) {
           cluster.RunFor(170ms);
           cluster.Crash(other);
           cluster.Restart(other);
         }
         if (!cluster.violations().empty()) return false;
       }
       return true;
     }},
    {"gives its lease up before it hands over", &SafetyChecks::release_lease_on_transfer,
     [](const SafetyChecks& safety_checks) {
       Cluster cluster(1, safety_checks);
       const std::size_t leader = cluster.Elect();
       for (simulation::Node i = 0; i < 3; ++i)  // it won't hear who comes after it
         if (i != leader) cluster.links().Cut(i, static_cast<simulation::Node>(leader), true);
       cluster.TransferLeadership(leader);
       cluster.RunFor(2s);
       return cluster.violations().empty();
     }},
    {"steps down without a majority", &SafetyChecks::check_quorum,
     [](const SafetyChecks& safety_checks) {
       Cluster cluster(1, safety_checks);
       const std::size_t leader = cluster.Elect();
       cluster.Isolate(leader, 3, true);
       cluster.RunFor(3s);
       return cluster.raft(leader).role() != Role::kLeader;
     }},
    {"one change of voters at a time", &SafetyChecks::single_membership_change,
     [](const SafetyChecks& safety_checks) {
       Cluster cluster(1, safety_checks);
       const std::size_t leader = cluster.Elect();
       cluster.RunFor(500ms);
       cluster.Isolate(leader, 3, true);
       cluster.ChangeVoters(leader, RaftCluster::NameOf((leader + 1) % 3), false);
       cluster.ChangeVoters(leader, RaftCluster::NameOf((leader + 2) % 3), false);
       cluster.Propose(leader, "alone");
       cluster.RunFor(3s);
       const auto other = cluster.Leader();
       if (other && *other != leader) cluster.Propose(*other, "together");
       cluster.RunFor(3s);
       return cluster.violations().empty();
     }},
};

TEST(AgreementGuards, EachIsNeeded) {
  for (const SafetyCheckCase& check_case : kSafetyCheckCases) {
    EXPECT_TRUE(check_case.holds(SafetyChecks())) << check_case.name << ": fails with the guard in place";
    SafetyChecks without;
    without.*check_case.check = false;
    EXPECT_FALSE(check_case.holds(without)) << check_case.name << ": taken away, and nothing fails";
  }
}

TEST(AgreementModel, NoStateOfTheLogBreaksARule) {
  const model_check::SearchResult found = model_check::SearchRaftModel({}, {}, 60'000);
  EXPECT_EQ(found.violation, "");
  EXPECT_GE(found.states, 60'000u);
}

}  // namespace
}  // namespace lemoncroft

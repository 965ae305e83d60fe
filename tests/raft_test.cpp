// Tests of Raft: simulated clusters with faults in virtual time, a bounded search of states, and mutation
// tests that disable each safety check.
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
  // Runs the cluster until a member is the leader, and returns that member.
  std::size_t Elect() {
    for (int i = 0; i < 100 && !Leader(); ++i) RunFor(50ms);
    EXPECT_TRUE(Leader().has_value());
    return Leader().value_or(0);
  }
  // Disconnects a member from all others of the first `members` members.
  void Isolate(std::size_t isolated, std::size_t members) {
    for (std::size_t i = 0; i < members; ++i)
      if (i != isolated) Disconnect(isolated, i);
  }
  void Disconnect(std::size_t a, std::size_t b) {
    links().Cut(static_cast<simulation::Node>(a), static_cast<simulation::Node>(b), true);
    links().Cut(static_cast<simulation::Node>(b), static_cast<simulation::Node>(a), true);
  }
  bool IsCommitted(const std::string& data) const {
    return std::any_of(committed().begin(), committed().end(),
                       [&](const auto& indexed) { return indexed.second.data == data; });
  }
};

TEST(Raft, HealthyCluster_ElectsLeaderAndCommits) {
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

TEST(Raft, LeaderCrash_SuccessorIsElectedWithinSeconds) {
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

TEST(Raft, LeadershipTransfer_NeedsNoElectionTimeout) {
  Cluster cluster;
  const std::size_t before = cluster.Elect();
  cluster.TransferLeadership(before);
  cluster.RunFor(200ms);
  ASSERT_TRUE(cluster.Leader().has_value());
  EXPECT_NE(*cluster.Leader(), before);
  EXPECT_TRUE(cluster.violations().empty());
}

// Without a transfer, the remaining voters would have no leader for at least the minimum election timeout.
TEST(Raft, RemovedLeader_TransfersLeadership) {
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

// An entry must not be committed before a majority of the voters has stored it durably.
TEST(Raft, SlowDisks_DelayCommitment) {
  Cluster cluster;
  const std::size_t leader = cluster.Elect();
  for (std::size_t i = 0; i < 3; ++i)
    if (i != leader) cluster.SlowDisk(i, 5s);
  cluster.Propose(leader, "x");
  cluster.RunFor(2s);
  EXPECT_FALSE(cluster.IsCommitted("x")) << "no other voter has stored the entry";
  cluster.RunFor(15s);
  EXPECT_TRUE(cluster.violations().empty());
}

// Two of three voters are replaced, one change after the other, while messages are lost and processes stall.
TEST(Raft, MembershipChangesUnderFaults_Complete) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Cluster cluster(seed, {}, 5, 3);
    std::mt19937_64 random(seed);
    cluster.links().default_faults().loss = 0.1;
    // D and E replace B and C.
    struct VoterChange {
      const char* id;
      bool add;
    };
    const VoterChange changes[] = {{"D", true}, {"B", false}, {"E", true}, {"C", false}};
    for (const auto& [id, add] : changes) {
      for (int attempt = 0; attempt < 400; ++attempt) {
        const auto leader = cluster.Leader();
        if (leader) {
          const auto& voters = cluster.raft(*leader).voters();
          if ((std::find(voters.begin(), voters.end(), id) != voters.end()) == add &&
              cluster.raft(*leader).commit_index() == cluster.raft(*leader).last_index())
            break;
          cluster.ChangeVoters(*leader, id, add);
        }
        if (random() % 20 == 0) cluster.Stall(random() % 5, Instant(1ms) * static_cast<int>(random() % 2000));
        cluster.RunFor(100ms);
      }
    }
    cluster.links().default_faults().loss = 0;
    cluster.RunFor(5s);
    const std::size_t leader = cluster.Elect();
    EXPECT_EQ(cluster.raft(leader).voters(), (std::vector<NodeId>{"A", "D", "E"})) << "seed " << seed;
    cluster.Propose(leader, "after");
    cluster.RunFor(2s);
    EXPECT_TRUE(cluster.IsCommitted("after")) << "seed " << seed;
    EXPECT_TRUE(cluster.violations().empty()) << "seed " << seed << ": " << cluster.violations().front();
  }
}

// A follower that was disconnected while the leader compacted its log lacks entries that the leader no longer
// has. It must catch up from a snapshot, and restart from it after a crash.
TEST(Raft, FollowerBehindCompactedLog_InstallsSnapshot) {
  Cluster cluster;
  const std::size_t leader = cluster.Elect(), isolated = (leader + 1) % 3;
  cluster.Isolate(isolated, 3);
  for (int i = 0; i < 200; ++i) {
    cluster.Propose(leader, "d" + std::to_string(i));
    cluster.RunFor(10ms);
  }
  cluster.Compact(leader);
  EXPECT_LT(cluster.raft(leader).log().size(), 10u);
  cluster.links().Heal();
  cluster.RunFor(3s);
  EXPECT_EQ(cluster.raft(isolated).commit_index(), cluster.raft(leader).commit_index());
  EXPECT_GT(cluster.raft(isolated).snapshot().index, 0u);
  cluster.Crash(isolated);
  cluster.Restart(isolated);
  cluster.RunFor(3s);
  EXPECT_EQ(cluster.raft(isolated).commit_index(), cluster.raft(leader).commit_index());
  EXPECT_TRUE(cluster.violations().empty());
}

TEST(Raft, RandomFaults_InvariantsHoldAndClusterRecovers) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const std::size_t members = seed % 3 == 0 ? 5 : 3;
    Cluster cluster(seed, {}, members, members);
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t bound) { return static_cast<std::size_t>(random() % bound); };
    for (int i = 0; i < 40; ++i) {
      const std::size_t member = below(members);
      switch (below(9)) {
        case 0:
          if (cluster.IsRunning(member)) cluster.Crash(member);
          break;
        case 1:
        case 2:
          if (!cluster.IsRunning(member)) cluster.Restart(member);
          break;
        case 3:
          cluster.Isolate(member, members);
          break;
        case 4:
          cluster.links().Cut(static_cast<simulation::Node>(member),
                              static_cast<simulation::Node>(below(members)), true);
          break;
        case 5:
          cluster.links().default_faults().loss = 0.05 * static_cast<double>(below(8));
          cluster.links().default_faults().duplicate = 0.2;
          cluster.links().default_faults().spread = Instant(1ms) * static_cast<int>(below(300));
          break;
        case 6:
          cluster.Stall(member, Instant(1ms) * static_cast<int>(below(3000)));
          break;
        case 7:
          cluster.SlowDisk(member, Instant(1ms) * static_cast<int>(below(200)));
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
    cluster.links().default_faults() = {};
    for (std::size_t i = 0; i < members; ++i) {
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

// ---- Safety checks ----

struct AddressedMessage {
  NodeId from, to;
  Message message;
};

// Three voters whose timers fire on demand. Messages are delivered between only two of them at a time.
class ManualCluster {
 public:
  explicit ManualCluster(const Options& options) {
    PersistentState initial;
    initial.snapshot.voters = {"A", "B", "C"};
    for (const NodeId& id : initial.snapshot.voters) rafts_.emplace(id, Raft(options, id, initial, 1, kNow));
  }

  // Fires the timer of `id`: a leader sends heartbeats, any other voter starts an election. Then delivers the
  // messages between `id` and `other` for `rounds` rounds; all other messages are lost.
  void Fire(const NodeId& id, const NodeId& other, int rounds) {
    rafts_.at(id).Tick(rafts_.at(id).NextDeadline());
    ProcessOutputs(id);
    for (int round = 0; round < rounds; ++round) Deliver(id, other);
    in_flight_.clear();
  }

  // Returns true unless two different entries were committed at the same index.
  bool StateMachineSafety() const { return safe_; }

 private:
  static constexpr Time kNow{1h};

  void Deliver(const NodeId& a, const NodeId& b) {
    std::vector<AddressedMessage> messages;
    messages.swap(in_flight_);
    for (const auto& [from, to, message] : messages) {
      if ((from != a && from != b) || (to != a && to != b)) continue;
      rafts_.at(to).Receive(kNow, from, message);
      ProcessOutputs(to);
    }
  }

  void ProcessOutputs(const NodeId& id) {
    for (const Output& output : rafts_.at(id).TakeOutputs()) {
      if (const auto* update = std::get_if<StorageUpdate>(&output))
        rafts_.at(id).OnPersisted(kNow, update->sequence);
      if (const auto* send = std::get_if<SendMessage>(&output))
        in_flight_.push_back({id, send->to, send->message});
      if (const auto* delivered = std::get_if<Committed>(&output)) {
        const Entry& entry = delivered->entry;
        const auto [it, inserted] = committed_.try_emplace(entry.index, entry);
        safe_ = safe_ && (inserted || it->second == entry);
      }
    }
  }

  std::map<NodeId, Raft> rafts_;
  std::vector<AddressedMessage> in_flight_;
  std::map<Index, Entry> committed_;
  bool safe_ = true;
};

// The scenario of the paper's figure 8: an entry of an earlier term that a majority has stored may still be
// overwritten. Returns whether state machine safety holds.
bool FigureEight(const SafetyChecks& safety_checks) {
  Options options;
  options.safety_checks = safety_checks;
  options.safety_checks.pre_vote = false;
  options.safety_checks.leader_stickiness = false;
  options.safety_checks.vote_delay_after_restart = false;
  options.max_batch_entries = 1;
  ManualCluster cluster(options);
  cluster.Fire("A", "B", 2);   // A leads term 1; its entry reaches no other voter
  cluster.Fire("C", "B", 2);   // C is not elected: B has already voted in term 1
  cluster.Fire("C", "B", 2);   // C leads term 2 and appends an entry of its own
  cluster.Fire("A", "B", 2);   // A learns of term 2
  cluster.Fire("A", "B", 2);   // A leads term 3
  cluster.Fire("A", "B", 2);   // A's old entry is on two of three voters, its new entry only on A
  cluster.Fire("C", "B", 2);   // C learns of term 3
  cluster.Fire("C", "B", 2);   // C leads term 4, since its log ends in a later term than B's
  cluster.Fire("C", "B", 12);  // C replicates its log to B
  return cluster.StateMachineSafety();
}

struct SafetyCheckCase {
  const char* name;
  bool SafetyChecks::*check;
  std::function<bool(const SafetyChecks&)> holds;  // runs a scenario; returns true if it finds no failure
};

bool SearchHolds(const SafetyChecks& safety_checks, model_check::RaftModelBudget budget) {
  const model_check::SearchResult result =
      model_check::SearchRaftModel(safety_checks, budget, safety_checks == SafetyChecks() ? 15'000 : 100'000);
  return result.violation.empty();
}

const SafetyCheckCase kSafetyCheckCases[] = {
    {"persist before send", &SafetyChecks::persist_before_send,
     [](const SafetyChecks& safety_checks) {
       return SearchHolds(safety_checks,
                          {.elections = 2, .proposals = 0, .crashes = 1, .duplicates = 0, .heartbeats = 0});
     }},
    {"single vote per term", &SafetyChecks::single_vote_per_term,
     [](const SafetyChecks& safety_checks) {
       return SearchHolds(safety_checks,
                          {.elections = 2, .proposals = 0, .crashes = 0, .duplicates = 0, .heartbeats = 0});
     }},
    {"up-to-date log", &SafetyChecks::require_up_to_date_log,
     [](const SafetyChecks& safety_checks) {
       return SearchHolds(safety_checks,
                          {.elections = 2, .proposals = 0, .crashes = 0, .duplicates = 0, .heartbeats = 1});
     }},
    {"log matching", &SafetyChecks::log_matching,
     [](const SafetyChecks& safety_checks) {
       return SearchHolds(safety_checks,
                          {.elections = 2, .proposals = 1, .crashes = 0, .duplicates = 0, .heartbeats = 1});
     }},
    {"count durable entries only", &SafetyChecks::count_durable_entries_only,
     [](const SafetyChecks& safety_checks) {
       return SearchHolds(safety_checks,
                          {.elections = 2, .proposals = 0, .crashes = 1, .duplicates = 0, .heartbeats = 0});
     }},
    {"commit current term only", &SafetyChecks::commit_current_term_only, FigureEight},
    {"pre-vote", &SafetyChecks::pre_vote,
     [](const SafetyChecks& safety_checks) {
       Cluster cluster(1, safety_checks);
       const std::size_t leader = cluster.Elect();
       cluster.Isolate((leader + 1) % 3, 3);
       cluster.RunFor(5s);
       const Term before = cluster.raft(leader).term();
       cluster.links().Heal();
       cluster.RunFor(2s);
       return cluster.raft(leader).term() == before && cluster.HoldsLeaderLease(leader);
     }},
    {"leader stickiness", &SafetyChecks::leader_stickiness,
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
    {"vote delay after restart", &SafetyChecks::vote_delay_after_restart,
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
    {"release lease on transfer", &SafetyChecks::release_lease_on_transfer,
     [](const SafetyChecks& safety_checks) {
       Cluster cluster(1, safety_checks);
       const std::size_t leader = cluster.Elect();
       for (simulation::Node i = 0; i < 3; ++i)  // the leader receives no message of its successor
         if (i != leader) cluster.links().Cut(i, static_cast<simulation::Node>(leader), true);
       cluster.TransferLeadership(leader);
       cluster.RunFor(2s);
       return cluster.violations().empty();
     }},
    {"check quorum", &SafetyChecks::check_quorum,
     [](const SafetyChecks& safety_checks) {
       Cluster cluster(1, safety_checks);
       const std::size_t leader = cluster.Elect();
       cluster.Isolate(leader, 3);
       cluster.RunFor(3s);
       return cluster.raft(leader).role() != Role::kLeader;
     }},
    {"single membership change", &SafetyChecks::single_membership_change,
     [](const SafetyChecks& safety_checks) {
       Cluster cluster(1, safety_checks);
       const std::size_t leader = cluster.Elect();
       cluster.RunFor(500ms);
       cluster.Isolate(leader, 3);
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

TEST(RaftSafetyChecks, CheckDisabled_FailureIsFound) {
  for (const SafetyCheckCase& check_case : kSafetyCheckCases) {
    EXPECT_TRUE(check_case.holds(SafetyChecks())) << check_case.name << ": fails with all checks enabled";
    SafetyChecks without;
    without.*check_case.check = false;
    EXPECT_FALSE(check_case.holds(without)) << check_case.name << ": disabled, but no failure is found";
  }
}

TEST(RaftModelCheck, AllChecksEnabled_InvariantsHold) {
  const model_check::SearchResult result = model_check::SearchRaftModel({}, {}, 60'000);
  EXPECT_EQ(result.violation, "");
  EXPECT_GE(result.states, 60'000u);
}

}  // namespace
}  // namespace lemoncroft

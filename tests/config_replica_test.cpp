// Tests of the replicated configuration: ConfigReplicas in simulated fleets with faults, the state machine,
// the message encoding, and mutation tests that disable each safety check.
#include <gtest/gtest.h>

#include <functional>

#include "testing/simulation/config_replica_fleet.h"

namespace lemoncroft {
namespace {

using namespace replicated_config;
using simulation::ConfigReplicaFleet;
using simulation::Instant;
using simulation::Node;
using namespace std::chrono_literals;

// The longest time for which two proxies may act on different versions: T of docs/agreement.md.
constexpr Instant kMaxContradiction = 1200ms;

struct TestFleet : ConfigReplicaFleet {
  explicit TestFleet(std::uint64_t seed = 1, const ConfigReplicaSafetyChecks& safety_checks = {},
                     std::size_t proxies = 7)
      : ConfigReplicaFleet([&] {
          Plan plan;
          plan.seed = seed;
          plan.proxies = proxies;
          plan.safety_checks = safety_checks;
          return plan;
        }()) {
    for (int i = 0; i < 100 && !AllUse(0); ++i) RunFor(50ms);
    EXPECT_TRUE(AllUse(0)) << "some proxy has no lease, seed " << seed;
  }
  const ChangeOutcome& AwaitOutcome(const std::string& id) {
    for (int i = 0; i < 600 && !outcomes().contains(id); ++i) RunFor(10ms);
    static const ChangeOutcome kNone;
    return outcomes().contains(id) ? outcomes().at(id) : kNone;
  }
  Version Commit(std::size_t at, Version from, const std::string& text) {
    const ChangeOutcome outcome = AwaitOutcome(Propose(at, from, text));
    EXPECT_EQ(outcome.status, ChangeStatus::kCommitted) << outcome.reason;
    for (int i = 0; i < 600 && !AllUse(outcome.version); ++i) RunFor(10ms);
    EXPECT_TRUE(AllUse(outcome.version));
    return outcome.version;
  }
  void Cut(std::size_t a, std::size_t b, bool cut = true) {
    links().Cut(static_cast<Node>(a), static_cast<Node>(b), cut);
    links().Cut(static_cast<Node>(b), static_cast<Node>(a), cut);
  }
  void Isolate(std::size_t proxy, std::size_t proxies = 7, bool cut = true) {
    for (std::size_t i = 0; i < proxies; ++i)
      if (i != proxy) Cut(proxy, i, cut);
  }
  std::size_t Elect() {
    for (int i = 0; i < 200 && !Leader(); ++i) RunFor(50ms);
    EXPECT_TRUE(Leader().has_value());
    return Leader().value_or(0);
  }
  std::string DocumentAt(std::size_t i, Version version) const {
    const std::string* text = IsRunning(i) ? replica(i).FindDocument(version) : nullptr;
    return text == nullptr ? std::string() : *text;
  }
  std::string Describe() const {
    std::string out;
    for (std::size_t i = 0; i < 7; ++i) {
      if (!IsRunning(i)) continue;
      const ConfigReplica& r = replica(i);
      const auto& state = r.admission().state();
      out += "\n" + ConfigReplicaFleet::NameOf(i) + ": usable version " +
             std::to_string(UsableVersion(i).value_or(9999)) + ", active " +
             std::to_string(r.holder().active_version()) + ", latest " +
             std::to_string(r.holder().latest_version()) + ", prepared " +
             std::to_string(r.holder().prepared_version()) + ", leader " + r.leader() + ", admission " +
             (state ? std::to_string(static_cast<int>(*state)) : "none");
      if (r.raft() != nullptr)
        out += ", role " + std::to_string(static_cast<int>(r.raft()->role())) + " term " +
               std::to_string(r.raft()->term()) + " commit " + std::to_string(r.raft()->commit_index()) +
               " of " + std::to_string(r.raft()->last_index()) +
               (r.holder().clock_rates_differ() ? ", clock rates differ" : "");
    }
    return out;
  }
  bool InvariantsHold() const {
    return longest_contradiction() <= kMaxContradiction && stale_uses() == 0 && violations().empty();
  }
};

// A proxy whose change was committed based its next one on an older version until it renewed its lease.
TEST(ConfigReplica, Proposer_KnowsTheVersionOfItsChangeAtOnce) {
  TestFleet fleet;
  Version latest = 0;
  for (int change = 1; change <= 5; ++change) {
    const ChangeOutcome outcome =
        fleet.AwaitOutcome(fleet.Propose(6, latest, "text " + std::to_string(change)));
    ASSERT_EQ(outcome.status, ChangeStatus::kCommitted) << outcome.reason;
    latest = outcome.version;
    EXPECT_EQ(fleet.replica(6).holder().latest_version(), latest);
  }
}

TEST(ConfigReplica, Change_IsActiveEverywhereSoon) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    TestFleet fleet(seed);
    fleet.Commit(seed % 7, 0, "one");  // a new leader waits until its predecessor's leases have expired
    const Instant since = fleet.now();
    fleet.Commit((seed + 3) % 7, 1, "two");
    EXPECT_LE(fleet.now() - since, Instant(700ms)) << seed;
    EXPECT_EQ(fleet.DocumentAt(6, 2), "two");
    EXPECT_LE(fleet.longest_contradiction(), Instant(300ms)) << "a renewal interval and a delivery";
    EXPECT_TRUE(fleet.violations().empty());
  }
}

// In each run the leader crashes at another point of the change. The change must become active on all proxies
// or on none, and a change that was reported as committed must not be lost.
TEST(ConfigReplica, LeaderCrashDuringChange_ChangeIsAtomic) {
  int committed = 0, unknown = 0;
  for (int after = 0; after < 700; after += 9) {
    TestFleet fleet(static_cast<std::uint64_t>(after) + 1);
    fleet.Commit(5, 0, "one");
    const std::size_t leader = fleet.Elect();
    const std::string id = fleet.Propose(5, 1, "two", 4s);
    fleet.RunFor(Instant(1ms) * after);
    fleet.Crash(leader);
    fleet.RunFor(Instant(6s));
    fleet.Restart(leader);
    fleet.RunFor(Instant(4s));
    ASSERT_TRUE(fleet.outcomes().contains(id)) << after;
    const ChangeOutcome& outcome = fleet.outcomes().at(id);
    const Version now = fleet.replica(6).holder().active_version();
    if (outcome.status == ChangeStatus::kCommitted) {
      ++committed;
      EXPECT_EQ(fleet.DocumentAt(6, outcome.version), "two") << after;
    } else {
      ++unknown;
      EXPECT_EQ(outcome.status, ChangeStatus::kUnknown) << after;
    }
    EXPECT_TRUE(fleet.AllUse(now)) << after << ": the change is active on some proxies only";
    EXPECT_TRUE(fleet.InvariantsHold()) << after << " " << fleet.longest_contradiction().count();
  }
  EXPECT_GT(committed, 50) << "the proposer retries a change under its id at the next leader";
  RecordProperty("unknown", unknown);
}

// The old leader is on the side of the minority. Only the change that is proposed on the other side may be
// committed.
TEST(ConfigReplica, ProposalsOnBothSidesOfPartition_MajorityCommits) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    TestFleet fleet(seed);
    fleet.Commit(5, 0, "one");
    const std::size_t leader = fleet.Elect();
    for (std::size_t i = 0; i < 7; ++i)
      fleet.links().AssignSide(static_cast<Node>(i), i == leader || i > 4 ? 0 : 1);
    const std::string a = fleet.Propose(6, 1, "a"), b = fleet.Propose(4, 1, "b");
    fleet.RunFor(5s);
    fleet.links().Heal();
    fleet.RunFor(3s);
    const bool committed_a = fleet.outcomes().at(a).status == ChangeStatus::kCommitted;
    const bool committed_b = fleet.outcomes().at(b).status == ChangeStatus::kCommitted;
    EXPECT_FALSE(committed_a && committed_b) << seed;
    EXPECT_TRUE(committed_b) << seed << ": the majority continues";
    EXPECT_EQ(fleet.DocumentAt(6, 2), "b");
    EXPECT_TRUE(fleet.InvariantsHold()) << seed;
  }
}

TEST(ConfigReplica, RandomFaults_InvariantsHold) {
  std::uint64_t committed = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    TestFleet fleet(seed);
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t bound) { return static_cast<std::size_t>(random() % bound); };
    std::map<std::string, std::string> texts;
    Version latest_version = 0;
    for (int i = 0; i < 30; ++i) {
      const std::size_t proxy = below(7);
      switch (below(9)) {
        case 0:
          for (std::size_t p = 0; p < 7; ++p)
            fleet.links().AssignSide(static_cast<Node>(p), static_cast<int>(below(2)));
          break;
        case 1:
          fleet.links().Heal();
          break;
        case 2:
          fleet.Stall(proxy, Instant(1ms) * static_cast<int>(below(4000)));
          break;
        case 3:
          if (fleet.IsRunning(proxy)) fleet.Crash(proxy);
          break;
        case 4:
        case 5:
          if (!fleet.IsRunning(proxy)) fleet.Restart(proxy);
          break;
        case 6:
          fleet.links().Cut(static_cast<Node>(proxy), static_cast<Node>(below(7)), true);
          break;
        case 7:
          fleet.links().default_faults().loss = 0.05 * static_cast<double>(below(6));
          fleet.links().default_faults().duplicate = 0.05 * static_cast<double>(below(6));
          fleet.links().default_faults().spread = Instant(1ms) * static_cast<int>(below(500));
          break;
        default:
          fleet.SlowDisk(proxy, Instant(1ms) * static_cast<int>(below(300)));
      }
      for (const auto& [id, outcome] : fleet.outcomes())
        latest_version = std::max(latest_version, outcome.version);
      const std::string text = "text " + std::to_string(i);
      texts[fleet.Propose(below(7), latest_version, text)] = text;
      fleet.RunFor(Instant(1ms) * static_cast<int>(below(1500)));
    }
    fleet.links().Heal();
    fleet.links().default_faults() = {};
    for (std::size_t p = 0; p < 7; ++p) {
      fleet.SlowDisk(p, 2ms);
      if (!fleet.IsRunning(p)) fleet.Restart(p);
    }
    fleet.RunFor(8s);
    EXPECT_TRUE(fleet.AllUse(fleet.replica(0).holder().latest_version()))
        << seed << ": the fleet does not converge after the faults" << fleet.Describe();
    for (const auto& [id, outcome] : fleet.outcomes()) {
      if (outcome.status != ChangeStatus::kCommitted || texts.at(id).empty()) continue;
      ++committed;
      const std::string stored = fleet.DocumentAt(0, outcome.version);
      if (!stored.empty()) EXPECT_EQ(stored, texts.at(id)) << seed << ": a committed change is lost";
    }
    EXPECT_LE(fleet.longest_contradiction(), kMaxContradiction) << seed;
    EXPECT_EQ(fleet.stale_uses(), 0u) << seed;
    EXPECT_TRUE(fleet.violations().empty())
        << seed << " " << (fleet.violations().empty() ? "" : fleet.violations().front());
  }
  EXPECT_GT(committed, 300u);
}

TEST(ConfigReplica, IncompatibleDocument_RejectionNamesProxy) {
  TestFleet fleet;
  const ChangeOutcome outcome = fleet.AwaitOutcome(fleet.Propose(2, 0, "not for p5"));
  EXPECT_EQ(outcome.status, ChangeStatus::kRejected);
  EXPECT_NE(outcome.reason.find("p5 can't carry it"), std::string::npos) << outcome.reason;
  EXPECT_EQ(fleet.AwaitOutcome(fleet.Propose(2, 0, "wrong")).status, ChangeStatus::kRejected);
  EXPECT_EQ(fleet.AwaitOutcome(fleet.Propose(2, 0, std::string(kMaxDocumentBytes + 1, 'x'))).status,
            ChangeStatus::kRejected);
  EXPECT_EQ(fleet.Commit(2, 0, "right"), 1u);
}

// A proxy that was unreachable during validation cannot apply the committed version. Its lease must expire
// instead of delaying the activation at all other proxies.
TEST(ConfigReplica, ProxyCannotPrepare_LeaseExpiresAndOthersContinue) {
  TestFleet fleet;
  fleet.Isolate(5);
  fleet.RunFor(1500ms);
  EXPECT_EQ(fleet.AwaitOutcome(fleet.Propose(2, 0, "not for p5")).status, ChangeStatus::kCommitted);
  fleet.Isolate(5, 7, false);
  fleet.RunFor(5s);
  EXPECT_EQ(fleet.UsableVersion(5), std::nullopt);
  for (const std::size_t i : {0u, 1u, 2u, 3u, 4u, 6u}) EXPECT_EQ(fleet.UsableVersion(i), Version{1}) << i;
  fleet.AwaitOutcome(fleet.Propose(2, 1, "for all"));
  fleet.RunFor(2s);
  EXPECT_TRUE(fleet.AllUse(2));
}

// A follower that has lost its link to the other follower is replaced while a change is in flight. The
// removed voter must not disturb the leader once the link is restored.
TEST(ConfigReplica, VoterReplacedDuringChangeWithLinkCut_BothComplete) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    TestFleet fleet(seed);
    const std::size_t leader = fleet.Elect(), other = (leader + 1) % 3, out = (leader + 2) % 3;
    fleet.Cut(out, other);
    fleet.disk(4).store = 77;  // a store, so that this proxy can become a voter
    fleet.Crash(4);
    fleet.Restart(4);
    fleet.RunFor(2s);
    const std::string id = fleet.Propose(5, 0, "one");
    fleet.ChangeVoters(6, ConfigReplicaFleet::NameOf(4), true);
    fleet.RunFor(2s);
    fleet.ChangeVoters(6, ConfigReplicaFleet::NameOf(out), false);
    fleet.RunFor(3s);
    EXPECT_EQ(fleet.AwaitOutcome(id).status, ChangeStatus::kCommitted) << seed;
    const auto& voters = fleet.replica(fleet.Elect()).raft()->voters();
    EXPECT_EQ(std::count(voters.begin(), voters.end(), ConfigReplicaFleet::NameOf(out)), 0) << seed;
    EXPECT_EQ(std::count(voters.begin(), voters.end(), ConfigReplicaFleet::NameOf(4)), 1) << seed;
    fleet.links().Heal();
    const raft::Term term = fleet.replica(fleet.Elect()).raft()->term();
    fleet.RunFor(5s);  // the removed voter continues to request votes
    EXPECT_EQ(fleet.replica(fleet.Elect()).raft()->term(), term) << seed;
    fleet.Commit(5, 1, "two");
    EXPECT_TRUE(fleet.InvariantsHold()) << seed;
  }
}

// The leader must not count the entries that a voter acknowledged before its removal as contents of the empty
// store with which that voter returns.
TEST(ConfigReplica, VoterReaddedWithEmptyStore_CatchesUp) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    TestFleet fleet(seed);
    fleet.Commit(5, 0, "one");
    const std::size_t leader = fleet.Elect(), proxy = (leader + 1) % 3;
    fleet.ChangeVoters(6, ConfigReplicaFleet::NameOf(proxy), false);
    fleet.RunFor(1s);
    fleet.Crash(proxy);
    fleet.EraseDisk(proxy);
    fleet.Restart(proxy);
    fleet.RunFor(1s);
    fleet.ChangeVoters(6, ConfigReplicaFleet::NameOf(proxy), true);
    fleet.RunFor(2s);
    const auto& voters = fleet.replica(fleet.Elect()).raft()->voters();
    EXPECT_EQ(std::count(voters.begin(), voters.end(), ConfigReplicaFleet::NameOf(proxy)), 1)
        << seed << fleet.Describe();
    EXPECT_EQ(fleet.DocumentAt(proxy, 1), "one") << seed;
    fleet.Crash((proxy + 1) % 3 == leader
                    ? (proxy + 2) % 3
                    : (proxy + 1) % 3);  // the third voter, so that the readded one is needed for a majority
    fleet.Commit(5, 1, "two");
    EXPECT_TRUE(fleet.InvariantsHold()) << seed;
  }
}

// A leader counts its own log towards commitment but acknowledges its entries to no other voter. The others
// must still detect that its store has lost some of these entries.
TEST(ConfigReplica, LeaderRestartedWithStaleStore_IsNotAdmitted) {
  TestFleet fleet;
  const std::size_t leader = fleet.Elect();
  const ConfigReplicaFleet::Disk before = fleet.disk(leader);
  fleet.Commit(5, 0, "one");
  fleet.Crash(leader);
  fleet.disk(leader) = before;
  fleet.Restart(leader);
  fleet.RunFor(3s);
  EXPECT_EQ(fleet.replica(leader).admission().state(), VoterAdmission::State::kStaleStore)
      << fleet.Describe();
  fleet.Commit(5, 1, "two");
}

TEST(ConfigReplica, DiskFailure_VoterStepsDownAndOthersContinue) {
  TestFleet fleet;
  fleet.BreakDisk(fleet.Elect());
  fleet.RunFor(3s);
  fleet.Commit(5, 0, "one");
  EXPECT_TRUE(fleet.InvariantsHold());
}

TEST(ConfigReplica, IdleFleet_SendsFewMessagesPerSecond) {
  TestFleet fleet(1, {}, 30);
  const std::uint64_t before = fleet.messages_sent();
  fleet.RunFor(10s);
  EXPECT_LT(static_cast<double>(fleet.messages_sent() - before) / 10 / 30, 12);
}

// ---- The state machine ----

TEST(ConfigStateMachine, Apply_CompareAndSetIdempotenceAndRetention_Hold) {
  ConfigStateMachine state_machine;
  const auto change = [](const std::string& id, Version from, const std::string& text) {
    return EncodeEntry(ConfigChange{id, from, text, "by", 1});
  };
  EXPECT_EQ(state_machine.Apply(change("a", 0, "x"))->version, 1u);
  EXPECT_EQ(state_machine.Apply(change("b", 0, "y"))->status, ChangeStatus::kConflict);
  EXPECT_EQ(state_machine.Apply(change("a", 0, "x"))->version, 1u)
      << "a change takes effect once under one id";
  EXPECT_EQ(state_machine.latest_version(), 1u);
  EXPECT_EQ(state_machine.Apply(EncodeEntry(Version{1})), std::nullopt);
  EXPECT_EQ(state_machine.Apply(EncodeEntry(Version{9})), std::nullopt);
  EXPECT_EQ(state_machine.active_version(), 1u) << "an unknown version cannot be activated";
  EXPECT_EQ(state_machine.Apply("garbage"), std::nullopt);
  for (Version v = 1; v < 200; ++v)
    state_machine.Apply(change("c" + std::to_string(v), v, std::string(10000, 'z')));
  EXPECT_NE(state_machine.Find(1), nullptr) << "the active version must be retained";
  EXPECT_NE(state_machine.Find(200), nullptr);
  EXPECT_LE(state_machine.versions().size(), kMaxVersions + 1);
  ConfigStateMachine restored;
  ASSERT_TRUE(restored.Restore(state_machine.Snapshot()));
  EXPECT_EQ(restored, state_machine);
  EXPECT_EQ(restored.FindOutcome("c199")->version, 200u);
  EXPECT_FALSE(restored.Restore("garbage"));
}

TEST(ConfigMessages, RoundTripAndTruncation) {
  raft::AppendEntriesRequest append{3, 4, 5, 2, 5, 5, {{3, 6, raft::EntryKind::kVoters, "data", {"a", "b"}}}};
  const std::string bytes = Encode(Message{"n1", RaftMessage{append}});
  const auto message = DecodeMessage(bytes);
  ASSERT_TRUE(message.has_value());
  EXPECT_EQ(std::get<raft::AppendEntriesRequest>(std::get<RaftMessage>(message->body).message), append);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(DecodeMessage(std::string_view(bytes).substr(0, size)).has_value()) << size;
  const auto hello = DecodeMessage(
      Encode(Message{"n1", StoreHelloResponse{1, 2, StoreOpinion::kBootstrapVoter, {{"a", 7}}}}));
  EXPECT_EQ(std::get<StoreHelloResponse>(hello->body).bootstrap_voters.at("a"), 7u);
}

// ---- Safety checks ----

struct SafetyCheckCase {
  const char* name;
  bool& (*check)(ConfigReplicaSafetyChecks&);
  // Runs a scenario and returns true if it finds no failure.
  std::function<bool(const ConfigReplicaSafetyChecks&)> holds;
};

// Commits a version with two of three voters, then replaces the store of one of them by an older copy
// (`stale`) or by an empty store, and continues with this voter and the third one, which does not know the
// version. Returns true if the version survives.
bool SurvivesLostStore(const ConfigReplicaSafetyChecks& safety_checks, bool stale) {
  TestFleet fleet(3, safety_checks);
  const std::size_t leader = fleet.Elect(), restarted = (leader + 1) % 3, lagging = (leader + 2) % 3;
  const ConfigReplicaFleet::Disk before = fleet.disk(restarted);
  fleet.Isolate(lagging);
  fleet.AwaitOutcome(fleet.Propose(5, 0, "one"));
  fleet.RunFor(1s);
  fleet.Crash(restarted);
  if (stale)
    fleet.disk(restarted) = before;
  else
    fleet.EraseDisk(restarted);
  fleet.Restart(restarted);
  fleet.RunFor(stale ? 20ms : 3s);  // a stale store that is admitted catches up soon
  fleet.Crash(leader);
  fleet.Isolate(lagging, 7, false);
  fleet.Cut(lagging, leader);
  fleet.RunFor(4s);
  const ChangeOutcome other = fleet.AwaitOutcome(fleet.Propose(6, 0, "another"));
  return other.status != ChangeStatus::kCommitted;
}

const SafetyCheckCase kSafetyCheckCases[] = {
    {"compare and set",
     [](ConfigReplicaSafetyChecks& checks) -> bool& { return checks.state_machine.compare_and_set; },
     [](const ConfigReplicaSafetyChecks& safety_checks) {
       TestFleet fleet(1, safety_checks);
       const std::string a = fleet.Propose(5, 0, "a"), b = fleet.Propose(6, 0, "b");
       fleet.RunFor(5s);
       return !(fleet.outcomes().at(a).status == ChangeStatus::kCommitted &&
                fleet.outcomes().at(b).status == ChangeStatus::kCommitted);
     }},
    {"once under one id",
     [](ConfigReplicaSafetyChecks& checks) -> bool& { return checks.state_machine.idempotent; },
     [](const ConfigReplicaSafetyChecks& safety_checks) {
       ConfigStateMachine state_machine(safety_checks.state_machine);
       state_machine.Apply(EncodeEntry(ConfigChange{"a", 0, "x", "by", 1}));
       return state_machine.Apply(EncodeEntry(ConfigChange{"a", 0, "x", "by", 1}))->status ==
              ChangeStatus::kCommitted;
     }},
    {"holders validate a change",
     [](ConfigReplicaSafetyChecks& checks) -> bool& { return checks.validate_on_holders; },
     [](const ConfigReplicaSafetyChecks& safety_checks) {
       TestFleet fleet(1, safety_checks);
       return fleet.AwaitOutcome(fleet.Propose(2, 0, "not for p5")).status == ChangeStatus::kRejected;
     }},
    {"laggards expire", [](ConfigReplicaSafetyChecks& checks) -> bool& { return checks.expire_laggards; },
     [](const ConfigReplicaSafetyChecks& safety_checks) {
       TestFleet fleet(1, safety_checks);
       fleet.Isolate(5);
       fleet.RunFor(1500ms);
       fleet.AwaitOutcome(fleet.Propose(2, 0, "not for p5"));
       fleet.Isolate(5, 7, false);
       fleet.RunFor(1ms);
       const Instant since = fleet.now();
       while (fleet.UsableVersion(6) != Version{1} && fleet.now() - since < 8s) fleet.RunFor(50ms);
       return fleet.UsableVersion(6) == Version{1};
     }},
    {"an empty store is not admitted",
     [](ConfigReplicaSafetyChecks& checks) -> bool& { return checks.admission.exclude_empty_store; },
     [](const ConfigReplicaSafetyChecks& safety_checks) { return SurvivesLostStore(safety_checks, false); }},
    {"a stale store is not admitted",
     [](ConfigReplicaSafetyChecks& checks) -> bool& { return checks.admission.exclude_stale_store; },
     [](const ConfigReplicaSafetyChecks& safety_checks) { return SurvivesLostStore(safety_checks, true); }},
};

TEST(ConfigReplicaSafetyChecks, CheckDisabled_FailureIsFound) {
  for (const SafetyCheckCase& check_case : kSafetyCheckCases) {
    EXPECT_TRUE(check_case.holds(ConfigReplicaSafetyChecks()))
        << check_case.name << ": fails with the check enabled";
    ConfigReplicaSafetyChecks without;
    check_case.check(without) = false;
    EXPECT_FALSE(check_case.holds(without)) << check_case.name << ": disabled, but no failure is found";
  }
}

}  // namespace
}  // namespace lemoncroft

// Agreement as proxies run it: whole Keepers in virtual time, the book, and who may vote with which store.
#include <gtest/gtest.h>

#include <functional>

#include "testing/simulation/keeper_fleet.h"

namespace lemoncroft {
namespace {

using namespace replicated_config;
using simulation::Instant;
using simulation::KeeperFleet;
using simulation::Node;
using namespace std::chrono_literals;

constexpr Instant kStated = 1200ms;  // T of docs/agreement.md

struct World : KeeperFleet {
  explicit World(std::uint64_t seed = 1, const KeeperGuards& guards = {}, std::size_t proxies = 7)
      : KeeperFleet([&] {
          Plan plan;
          plan.seed = seed;
          plan.proxies = proxies;
          plan.guards = guards;
          return plan;
        }()) {
    for (int i = 0; i < 100 && !AllOn(0); ++i) RunFor(50ms);
    EXPECT_TRUE(AllOn(0)) << "nobody begins, seed " << seed;
  }
  const Outcome& Wait(const std::string& id) {
    for (int i = 0; i < 600 && !outcomes().contains(id); ++i) RunFor(10ms);
    static const Outcome kNone;
    return outcomes().contains(id) ? outcomes().at(id) : kNone;
  }
  Version Put(std::size_t at, Version from, const std::string& text) {
    const Outcome outcome = Wait(Propose(at, from, text));
    EXPECT_EQ(outcome.verdict, Verdict::kTaken) << outcome.why;
    for (int i = 0; i < 600 && !AllOn(outcome.version); ++i) RunFor(10ms);
    EXPECT_TRUE(AllOn(outcome.version));
    return outcome.version;
  }
  void Cut(std::size_t a, std::size_t b, bool cut = true) {
    links().Cut(static_cast<Node>(a), static_cast<Node>(b), cut);
    links().Cut(static_cast<Node>(b), static_cast<Node>(a), cut);
  }
  void CutOff(std::size_t who, std::size_t of = 7, bool cut = true) {
    for (std::size_t i = 0; i < of; ++i)
      if (i != who) Cut(who, i, cut);
  }
  std::size_t Elect() {
    for (int i = 0; i < 200 && !Leader(); ++i) RunFor(50ms);
    EXPECT_TRUE(Leader().has_value());
    return Leader().value_or(0);
  }
  std::string TextAt(std::size_t i, Version version) const {
    const std::string* text = Lives(i) ? keeper(i).Text(version) : nullptr;
    return text == nullptr ? std::string() : *text;
  }
  std::string Describe() const {
    std::string out;
    for (std::size_t i = 0; i < 7; ++i) {
      if (!Lives(i)) continue;
      const Keeper& k = keeper(i);
      const auto& state = k.admission().state();
      out += "\n" + KeeperFleet::NameOf(i) + " acts on " + std::to_string(MayAct(i).value_or(9999)) +
             ", in force " + std::to_string(k.holder().in_force()) + ", newest " +
             std::to_string(k.holder().newest()) + ", prepared " + std::to_string(k.holder().prepared()) +
             ", leader " + k.leader() + ", admission " +
             (state ? std::to_string(static_cast<int>(*state)) : "none");
      if (k.raft() != nullptr)
        out += ", role " + std::to_string(static_cast<int>(k.raft()->role())) + " term " +
               std::to_string(k.raft()->term()) + " commit " + std::to_string(k.raft()->commit_index()) +
               " of " + std::to_string(k.raft()->last_index()) + (k.holder().rates_apart() ? " apart" : "");
    }
    return out;
  }
  bool Keeps() const { return contradiction() <= kStated && stale() == 0 && broken().empty(); }
};

TEST(Keeper, AChangeIsInForceEverywhereSoon) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world(seed);
    world.Put(seed % 7, 0, "one");  // a new leader waits for the leases of the one before
    const Instant since = world.now();
    world.Put((seed + 3) % 7, 1, "two");
    EXPECT_LE(world.now() - since, Instant(700ms)) << seed;
    EXPECT_EQ(world.TextAt(6, 2), "two");
    EXPECT_LE(world.contradiction(), Instant(300ms)) << "a beat and a delivery";
    EXPECT_TRUE(world.broken().empty());
  }
}

TEST(Keeper, TheLeaderIsKilledAtEachStepOfAChange) {
  int taken = 0, unknown = 0;
  for (int after = 0; after < 700; after += 9) {
    World world(static_cast<std::uint64_t>(after) + 1);
    world.Put(5, 0, "one");
    const std::size_t leader = world.Elect();
    const std::string id = world.Propose(5, 1, "two", 4s);
    world.RunFor(Instant(1ms) * after);
    world.Crash(leader);
    world.RunFor(Instant(6s));
    world.Restart(leader);
    world.RunFor(Instant(4s));
    ASSERT_TRUE(world.outcomes().contains(id)) << after;
    const Outcome& outcome = world.outcomes().at(id);
    const Version now = world.keeper(6).holder().in_force();
    if (outcome.verdict == Verdict::kTaken) {
      ++taken;
      EXPECT_EQ(world.TextAt(6, outcome.version), "two") << after;
    } else {
      ++unknown;
      EXPECT_EQ(outcome.verdict, Verdict::kUnknown) << after;
    }
    EXPECT_TRUE(world.AllOn(now)) << after << ": whole or not at all";
    EXPECT_TRUE(world.Keeps()) << after << " " << world.contradiction().count();
  }
  EXPECT_GT(taken, 50) << "a change outlives its leader: it is asked for again under its id";
  RecordProperty("unknown", unknown);
}

TEST(Keeper, OfTwoOperatorsAtBothSidesOfACutOneAtMostIsTaken) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world(seed);
    world.Put(5, 0, "one");
    const std::size_t leader = world.Elect();
    for (std::size_t i = 0; i < 7; ++i)
      world.links().Side(static_cast<Node>(i), i == leader || i > 4 ? 0 : 1);
    const std::string a = world.Propose(6, 1, "a"), b = world.Propose(4, 1, "b");
    world.RunFor(5s);
    world.links().Heal();
    world.RunFor(3s);
    const bool taken_a = world.outcomes().at(a).verdict == Verdict::kTaken;
    const bool taken_b = world.outcomes().at(b).verdict == Verdict::kTaken;
    EXPECT_FALSE(taken_a && taken_b) << seed;
    EXPECT_TRUE(taken_b) << seed << ": the majority goes on";
    EXPECT_EQ(world.TextAt(6, 2), "b");
    EXPECT_TRUE(world.Keeps()) << seed;
  }
}

TEST(Keeper, RandomFaultsKeepEveryRule) {
  std::uint64_t taken = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    World world(seed);
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t bound) { return static_cast<std::size_t>(random() % bound); };
    std::map<std::string, std::string> texts;
    Version newest = 0;
    for (int i = 0; i < 30; ++i) {
      const std::size_t who = below(7);
      switch (below(9)) {
        case 0:
          for (std::size_t p = 0; p < 7; ++p)
            world.links().Side(static_cast<Node>(p), static_cast<int>(below(2)));
          break;
        case 1:
          world.links().Heal();
          break;
        case 2:
          world.Stall(who, Instant(1ms) * static_cast<int>(below(4000)));
          break;
        case 3:
          if (world.Lives(who)) world.Crash(who);
          break;
        case 4:
        case 5:
          if (!world.Lives(who)) world.Restart(who);
          break;
        case 6:
          world.links().Cut(static_cast<Node>(who), static_cast<Node>(below(7)), true);
          break;
        case 7:
          world.links().usual().loss = 0.05 * static_cast<double>(below(6));
          world.links().usual().duplicate = 0.05 * static_cast<double>(below(6));
          world.links().usual().spread = Instant(1ms) * static_cast<int>(below(500));
          break;
        default:
          world.SlowDisk(who, Instant(1ms) * static_cast<int>(below(300)));
      }
      for (const auto& [id, outcome] : world.outcomes()) newest = std::max(newest, outcome.version);
      const std::string text = "text " + std::to_string(i);
      texts[world.Propose(below(7), newest, text)] = text;
      world.RunFor(Instant(1ms) * static_cast<int>(below(1500)));
    }
    world.links().Heal();
    world.links().usual() = {};
    for (std::size_t p = 0; p < 7; ++p) {
      world.SlowDisk(p, 2ms);
      if (!world.Lives(p)) world.Restart(p);
    }
    world.RunFor(8s);
    EXPECT_TRUE(world.AllOn(world.keeper(0).holder().newest()))
        << seed << ": settles again" << world.Describe();
    for (const auto& [id, outcome] : world.outcomes()) {
      if (outcome.verdict != Verdict::kTaken || texts.at(id).empty()) continue;
      ++taken;
      const std::string there = world.TextAt(0, outcome.version);
      if (!there.empty()) EXPECT_EQ(there, texts.at(id)) << seed << ": a change that was taken is lost";
    }
    EXPECT_LE(world.contradiction(), kStated) << seed;
    EXPECT_EQ(world.stale(), 0u) << seed;
    EXPECT_TRUE(world.broken().empty())
        << seed << " " << (world.broken().empty() ? "" : world.broken().front());
  }
  EXPECT_GT(taken, 300u);
}

TEST(Keeper, WhatAProxyCannotCarryIsRefusedByName) {
  World world;
  const Outcome outcome = world.Wait(world.Propose(2, 0, "not for p5"));
  EXPECT_EQ(outcome.verdict, Verdict::kRefused);
  EXPECT_NE(outcome.why.find("p5 can't carry it"), std::string::npos) << outcome.why;
  EXPECT_EQ(world.Wait(world.Propose(2, 0, "wrong")).verdict, Verdict::kRefused);
  EXPECT_EQ(world.Wait(world.Propose(2, 0, std::string(kTextMost + 1, 'x'))).verdict, Verdict::kRefused);
  EXPECT_EQ(world.Put(2, 0, "right"), 1u);
}

// Out of reach when it was asked: it is left behind, and keeps nobody from the next version.
TEST(Keeper, WhoCannotCarryAVersionLapsesAndTheOthersGoOn) {
  World world;
  world.CutOff(5);
  world.RunFor(1500ms);
  EXPECT_EQ(world.Wait(world.Propose(2, 0, "not for p5")).verdict, Verdict::kTaken);
  world.CutOff(5, 7, false);
  world.RunFor(5s);
  EXPECT_EQ(world.MayAct(5), std::nullopt);
  for (const std::size_t i : {0u, 1u, 2u, 3u, 4u, 6u}) EXPECT_EQ(world.MayAct(i), Version{1}) << i;
  world.Wait(world.Propose(2, 1, "for all"));
  world.RunFor(2s);
  EXPECT_TRUE(world.AllOn(2));
}

TEST(Keeper, AVoterIsReplacedWhileAChangeIsUnderWayAndALinkIsCut) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World world(seed);
    const std::size_t leader = world.Elect(), other = (leader + 1) % 3, out = (leader + 2) % 3;
    world.Cut(out, other);
    world.disk(4).store = 77;  // it is to be one
    world.Crash(4);
    world.Restart(4);
    world.RunFor(2s);
    const std::string id = world.Propose(5, 0, "one");
    world.ChangeVoters(6, KeeperFleet::NameOf(4), true);
    world.RunFor(2s);
    world.ChangeVoters(6, KeeperFleet::NameOf(out), false);
    world.RunFor(3s);
    EXPECT_EQ(world.Wait(id).verdict, Verdict::kTaken) << seed;
    const auto& voters = world.keeper(world.Elect()).raft()->voters();
    EXPECT_EQ(std::count(voters.begin(), voters.end(), KeeperFleet::NameOf(out)), 0) << seed;
    EXPECT_EQ(std::count(voters.begin(), voters.end(), KeeperFleet::NameOf(4)), 1) << seed;
    world.links().Heal();
    const raft::Term term = world.keeper(world.Elect()).raft()->term();
    world.RunFor(5s);  // who was removed goes on asking for votes
    EXPECT_EQ(world.keeper(world.Elect()).raft()->term(), term) << seed;
    world.Put(5, 1, "two");
    EXPECT_TRUE(world.Keeps()) << seed;
  }
}

// What it had answered for before it was removed must not be counted as held by its new, empty store.
TEST(Keeper, AVoterThatIsRemovedAndLetInAgainWithAnEmptyStoreCatchesUp) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World world(seed);
    world.Put(5, 0, "one");
    const std::size_t leader = world.Elect(), who = (leader + 1) % 3;
    world.ChangeVoters(6, KeeperFleet::NameOf(who), false);
    world.RunFor(1s);
    world.Crash(who);
    world.Wipe(who);
    world.Restart(who);
    world.RunFor(1s);
    world.ChangeVoters(6, KeeperFleet::NameOf(who), true);
    world.RunFor(2s);
    const auto& voters = world.keeper(world.Elect()).raft()->voters();
    EXPECT_EQ(std::count(voters.begin(), voters.end(), KeeperFleet::NameOf(who)), 1)
        << seed << world.Describe();
    EXPECT_EQ(world.TextAt(who, 1), "one") << seed;
    world.Crash((who + 1) % 3 == leader ? (who + 2) % 3 : (who + 1) % 3);  // the third: it is needed now
    world.Put(5, 1, "two");
    EXPECT_TRUE(world.Keeps()) << seed;
  }
}

// What a leader held itself counted towards what was committed, though it answered nobody for it.
TEST(Keeper, ALeaderThatComesBackWithAnOldStoreStaysOut) {
  World world;
  const std::size_t leader = world.Elect();
  const KeeperFleet::Disk before = world.disk(leader);
  world.Put(5, 0, "one");
  world.Crash(leader);
  world.disk(leader) = before;
  world.Restart(leader);
  world.RunFor(3s);
  EXPECT_EQ(world.keeper(leader).admission().state(), Admission::State::kOlder) << world.Describe();
  world.Put(5, 1, "two");
}

TEST(Keeper, AVoterWhoseDiskFailsStepsBackAndTheOthersGoOn) {
  World world;
  world.BreakDisk(world.Elect());
  world.RunFor(3s);
  world.Put(5, 0, "one");
  EXPECT_TRUE(world.Keeps());
}

TEST(Keeper, TheCostOfLeasesIsAFewNotesASecond) {
  World world(1, {}, 30);
  const std::uint64_t before = world.notes();
  world.RunFor(10s);
  EXPECT_LT(static_cast<double>(world.notes() - before) / 10 / 30, 12);
}

// ---- The book ----

TEST(Book, ComparesAndSetsAndKeepsWhatHolds) {
  Book book;
  const auto change = [](const std::string& id, Version from, const std::string& text) {
    return EntryOf(Change{id, from, text, "by", 1});
  };
  EXPECT_EQ(book.Apply(change("a", 0, "x"))->version, 1u);
  EXPECT_EQ(book.Apply(change("b", 0, "y"))->verdict, Verdict::kConflict);
  EXPECT_EQ(book.Apply(change("a", 0, "x"))->version, 1u) << "once under one id";
  EXPECT_EQ(book.newest(), 1u);
  EXPECT_EQ(book.Apply(EntryOf(Version{1})), std::nullopt);
  EXPECT_EQ(book.Apply(EntryOf(Version{9})), std::nullopt);
  EXPECT_EQ(book.in_force(), 1u) << "what isn't there can't come into force";
  EXPECT_EQ(book.Apply("garbage"), std::nullopt);
  for (Version v = 1; v < 200; ++v) book.Apply(change("c" + std::to_string(v), v, std::string(10000, 'z')));
  EXPECT_NE(book.Find(1), nullptr) << "in force";
  EXPECT_NE(book.Find(200), nullptr);
  EXPECT_LE(book.versions().size(), kVersionsMost + 1);
  Book again;
  ASSERT_TRUE(again.Restore(book.Snapshot()));
  EXPECT_EQ(again, book);
  EXPECT_EQ(again.OutcomeOf("c199")->version, 200u);
  EXPECT_FALSE(again.Restore("garbage"));
}

TEST(Notes, ComeBackAsTheyWereAndGarbageIsNothing) {
  raft::AppendEntriesRequest append{3, 4, 5, 2, 5, 5, {{3, 6, raft::EntryKind::kVoters, "data", {"a", "b"}}}};
  const std::string bytes = Encode(Note{"n1", Logged{append}});
  const auto note = DecodeNote(bytes);
  ASSERT_TRUE(note.has_value());
  EXPECT_EQ(std::get<raft::AppendEntriesRequest>(std::get<Logged>(note->body).message), append);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(DecodeNote(std::string_view(bytes).substr(0, size)).has_value()) << size;
  const auto hello = DecodeNote(Encode(Note{"n1", HelloAnswer{1, 2, Welcome::kFounded, {{"a", 7}}}}));
  EXPECT_EQ(std::get<HelloAnswer>(hello->body).founders.at("a"), 7u);
}

// ---- Guards ----

struct Guarded {
  const char* name;
  bool& (*guard)(KeeperGuards&);
  std::function<bool(const KeeperGuards&)> keeps;
};

// Commits a version with two of three voters, loses what one of them held in one of two ways, and lets it and
// the third, which knows nothing of the version, go on. Whether the version stays.
bool OutlivesALostDisk(const KeeperGuards& guards, bool old) {
  World world(3, guards);
  const std::size_t leader = world.Elect(), loses = (leader + 1) % 3, behind = (leader + 2) % 3;
  const KeeperFleet::Disk before = world.disk(loses);
  world.CutOff(behind);
  world.Wait(world.Propose(5, 0, "one"));
  world.RunFor(1s);
  world.Crash(loses);
  if (old)
    world.disk(loses) = before;
  else
    world.Wipe(loses);
  world.Restart(loses);
  world.RunFor(old ? 20ms : 3s);  // an old store is brought up to date soon, if it is let in
  world.Crash(leader);
  world.CutOff(behind, 7, false);
  world.Cut(behind, leader);
  world.RunFor(4s);
  const Outcome other = world.Wait(world.Propose(6, 0, "another"));
  return other.verdict != Verdict::kTaken;
}

const Guarded kGuards[] = {
    {"compare and set", [](KeeperGuards& g) -> bool& { return g.book.compare; },
     [](const KeeperGuards& guards) {
       World world(1, guards);
       const std::string a = world.Propose(5, 0, "a"), b = world.Propose(6, 0, "b");
       world.RunFor(5s);
       return !(world.outcomes().at(a).verdict == Verdict::kTaken &&
                world.outcomes().at(b).verdict == Verdict::kTaken);
     }},
    {"once under one id", [](KeeperGuards& g) -> bool& { return g.book.once; },
     [](const KeeperGuards& guards) {
       Book book(guards.book);
       book.Apply(EntryOf(Change{"a", 0, "x", "by", 1}));
       return book.Apply(EntryOf(Change{"a", 0, "x", "by", 1}))->verdict == Verdict::kTaken;
     }},
    {"those who must carry it are asked", [](KeeperGuards& g) -> bool& { return g.ask_carriers; },
     [](const KeeperGuards& guards) {
       World world(1, guards);
       return world.Wait(world.Propose(2, 0, "not for p5")).verdict == Verdict::kRefused;
     }},
    {"who doesn't prepare lapses", [](KeeperGuards& g) -> bool& { return g.lapse_laggards; },
     [](const KeeperGuards& guards) {
       World world(1, guards);
       world.CutOff(5);
       world.RunFor(1500ms);
       world.Wait(world.Propose(2, 0, "not for p5"));
       world.CutOff(5, 7, false);
       world.RunFor(1ms);
       const Instant since = world.now();
       while (world.MayAct(6) != Version{1} && world.now() - since < 8s) world.RunFor(50ms);
       return world.MayAct(6) == Version{1};
     }},
    {"an empty store stays out", [](KeeperGuards& g) -> bool& { return g.admission.blank_stays_out; },
     [](const KeeperGuards& guards) { return OutlivesALostDisk(guards, false); }},
    {"an old store stays out", [](KeeperGuards& g) -> bool& { return g.admission.older_stays_out; },
     [](const KeeperGuards& guards) { return OutlivesALostDisk(guards, true); }},
};

TEST(KeeperGuards, EachIsNeeded) {
  for (const Guarded& guarded : kGuards) {
    EXPECT_TRUE(guarded.keeps(KeeperGuards())) << guarded.name << ": fails with the guard in place";
    KeeperGuards without;
    guarded.guard(without) = false;
    EXPECT_FALSE(guarded.keeps(without)) << guarded.name << ": taken away, and nothing fails";
  }
}

}  // namespace
}  // namespace lemoncroft

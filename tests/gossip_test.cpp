// Gossip membership: frames, limits, and the protocol in virtual time, with each safety check disabled once.
#include <gtest/gtest.h>

#include <functional>
#include <set>

#include "gossip/membership_view.h"
#include "peer_transport/frame.h"
#include "testing/simulation/peer_fleet.h"

namespace lemoncroft {
namespace {

using namespace gossip;
using simulation::Instant;
using simulation::PeerFleet;
using simulation::Process;
using namespace std::chrono_literals;

constexpr Duration kPeriod = 250ms;

MemberRecord MakeRecord(InstanceId id, const std::string& name = "n1") {
  MemberRecord r;
  r.id = id;
  r.name = name;
  r.address = {0x7f000001, static_cast<std::uint16_t>(7000 + id % 1000)};
  r.zone = "east";
  r.phase = Phase::kServing;
  r.attributes = {{"k", "v"}};
  return r;
}

Datagram MakeDatagram() {
  Datagram d;
  d.sender = MakeRecord(7);
  d.digest = 0x1234567890abcdef;
  d.body = PingRequest{5, 9, {0x7f000002, 7100}};
  d.updates.push_back({Status::kAlive, MakeRecord(8, "n8"), kNoInstance});
  d.updates.push_back({Status::kSuspect, MakeRecord(9), 7});
  return d;
}

// ---- Frames ----

TEST(GossipFrame, EncodeThenDecode_KeepsAllFields) {
  const std::string frame = peer_transport::Encode("f", MakeDatagram());
  const auto read = peer_transport::Decode("f", frame, kMaxDatagramBytes);
  const auto& d = std::get<Datagram>(read.value());
  EXPECT_EQ(d.sender, MakeRecord(7));
  EXPECT_EQ(d.digest, 0x1234567890abcdefu);
  EXPECT_EQ(std::get<PingRequest>(d.body).address, (PeerAddress{0x7f000002, 7100}));
  ASSERT_EQ(d.updates.size(), 2u);
  EXPECT_EQ(d.updates[0].record, MakeRecord(8, "n8"));
  EXPECT_EQ(d.updates[1].record.id, 9u);
  EXPECT_EQ(d.updates[1].reported_by, 7u);
  SyncEntries entries{MakeRecord(1), {}, d.updates};
  entries.bucket_sums[31] = 5;
  const auto decoded_entries = peer_transport::Decode("f", peer_transport::Encode("f", entries),
                                                      peer_transport::kMaxStreamMessageBytes);
  EXPECT_EQ(std::get<SyncEntries>(decoded_entries.value()).bucket_sums, entries.bucket_sums);
}

TEST(GossipFrame, MaxEncodedSize_IsAnUpperBound) {
  const Datagram d = MakeDatagram();
  std::size_t max_bytes = 48 + MaxEncodedSize(d.sender);
  for (const MemberUpdate& update : d.updates) max_bytes += MaxEncodedSize(update);
  EXPECT_LE(peer_transport::Encode("a-name-of-a-fleet-that-is", d).size(), max_bytes + 32);
}

TEST(GossipFrame, TruncatedOrBitFlipped_IsRejected) {
  const std::string frame = peer_transport::Encode("f", MakeDatagram());
  for (std::size_t size = 0; size < frame.size(); ++size) {
    const auto read = peer_transport::Decode("f", std::string_view(frame).substr(0, size), kMaxDatagramBytes);
    EXPECT_FALSE(read.has_value()) << size;
  }
  for (std::size_t bit = 0; bit < 8 * frame.size(); ++bit) {
    if (bit / 8 == 3) continue;  // the minor version: a later one is read
    std::string flipped = frame;
    flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << bit % 8));
    EXPECT_FALSE(peer_transport::Decode("f", flipped, kMaxDatagramBytes).has_value()) << bit;
  }
}

TEST(GossipFrame, InvalidFrame_ReportsItsError) {
  const std::string frame = peer_transport::Encode("f", MakeDatagram());
  const auto error_of = [](const std::string& bytes, std::size_t max_bytes = kMaxDatagramBytes) {
    const auto decoded = peer_transport::Decode("f", bytes, max_bytes);
    return decoded ? std::nullopt : std::optional(decoded.error());
  };
  EXPECT_EQ(error_of(peer_transport::Encode("g", MakeDatagram())), peer_transport::FrameError::kWrongFleet);
  EXPECT_EQ(error_of(frame, 20), peer_transport::FrameError::kTooLong);
  EXPECT_EQ(error_of("LC"), peer_transport::FrameError::kTruncated);
  std::string later = frame;
  later[2] = 2;
  EXPECT_EQ(error_of(later), peer_transport::FrameError::kVersionMismatch);
  EXPECT_EQ(error_of(std::string(100, 'x')), peer_transport::FrameError::kCorrupt);
}

// ---- Updates ----

TEST(BroadcastQueue, Fill_SendsNewestUpdateOfEachInstanceUpToTheLimit) {
  BroadcastQueue queue(4);
  for (InstanceId id = 1; id <= 6; ++id) queue.Push({Status::kAlive, MakeRecord(id), kNoInstance});
  EXPECT_EQ(queue.size(), 4u);
  MemberRecord newer = MakeRecord(6);
  newer.incarnation = 9;
  queue.Push({Status::kAlive, newer, kNoInstance});
  EXPECT_EQ(queue.size(), 4u);
  std::map<InstanceId, int> sent;
  for (int i = 0; i < 100; ++i) {
    std::vector<MemberUpdate> updates;
    queue.Fill(updates, 150, 3);
    for (const MemberUpdate& update : updates) {
      ++sent[update.record.id];
      if (update.record.id == 6) EXPECT_EQ(update.record.incarnation, 9u);
    }
  }
  EXPECT_TRUE(queue.empty());
  for (const auto& [id, times] : sent) EXPECT_EQ(times, 3) << id;
}

// A later record would revoke the leave, and the other members would declare this one failed.
TEST(MembershipView, AfterLeave_OwnRecordDoesNotChange) {
  MembershipView view(Settings(), MakeRecord(7), 1, Time(1h));
  EXPECT_TRUE(view.SetAttribute(Time(1h), "rules", "1"));
  view.Leave(Time(1h) + 1ms);
  const std::uint64_t last = view.members().own().record.incarnation;
  EXPECT_FALSE(view.SetAttribute(Time(1h) + 2ms, "rules", "2"));
  view.SetPhase(Time(1h) + 2ms, Phase::kServing);
  EXPECT_EQ(view.members().own().record.incarnation, last);
}

// ---- The protocol, in virtual time ----

struct World {
  explicit World(std::size_t n, std::uint64_t seed = 1, SafetyChecks safety_checks = {},
                 Settings settings = {})
      : fleet([&] {
          settings.safety_checks = safety_checks;
          return PeerFleet::Options{seed, settings, 0.01};
        }()) {
    fleet.on_event = [this](const PeerFleet::ObservedEvent& seen) {
      if (seen.event.type == EventType::kFailed) {
        const auto about = fleet.process_of(seen.event.record.id);
        if (about && fleet.is_running(*about)) ++false_failures;
      }
      events.push_back(seen);
    };
    for (simulation::Node i = 0; i < n; ++i) fleet.Start(i, "n" + std::to_string(i), {0, 1});
    EXPECT_TRUE(fleet.ConvergeWithin(20 * kPeriod).has_value());
    fleet.RunFor(10 * kPeriod);
    events.clear();
  }
  int Count(EventType type, std::optional<Process> by = std::nullopt) const {
    return static_cast<int>(std::count_if(events.begin(), events.end(), [&](const auto& seen) {
      return seen.event.type == type && (!by || seen.process == *by);
    }));
  }
  double PeriodsToConverge(double timeout_periods = 60) {
    const auto took = fleet.ConvergeWithin(Duration(static_cast<Duration::rep>(timeout_periods * 0.25e9)));
    return took ? std::chrono::duration<double>(*took).count() / 0.25 : 1e9;
  }

  PeerFleet fleet;
  int false_failures = 0;  // declarations that a running process failed
  std::vector<PeerFleet::ObservedEvent> events;
};

TEST(Gossip, Crash_IsDetectedByAllInTime) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world(32, seed);
    world.fleet.Kill(seed % 32);
    EXPECT_LE(world.PeriodsToConverge(), 15) << "seed " << seed;
    EXPECT_EQ(world.false_failures, 0);
    EXPECT_EQ(world.Count(EventType::kFailed), 31);
  }
}

// Guards against false failures: a member that is late by less than the suspicion timeout refutes its
// suspicion.
TEST(Gossip, LateOrLossyMember_IsNeverDeclaredFailed) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    World world(50, seed);
    world.fleet.links().default_faults().loss = 0.02;
    std::mt19937_64 random(seed);
    for (int i = 0; i < 60; ++i) {  // one member of 50 is repeatedly late by up to three periods
      world.fleet.Pause(
          7,
          Duration(static_cast<Duration::rep>(random() % static_cast<std::uint64_t>(3 * kPeriod.count()))));
      world.fleet.RunFor(6 * kPeriod);
    }
    EXPECT_EQ(world.false_failures, 0) << "seed " << seed;
    EXPECT_GT(world.Count(EventType::kSuspected), 0) << "no delay was long enough for a suspicion";
  }
}

// Guards against views that stay divided: processes crash, leave and join during the partition, and the sides
// declare each other failed.
TEST(Gossip, HealedPartition_Converges) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    for (const Instant length : {Instant(2s), Instant(60s)}) {
      World world(24, seed);
      const int sides = 2 + static_cast<int>(seed % 2);
      for (simulation::Node i = 0; i < 24; ++i)
        world.fleet.links().AssignSide(i, static_cast<int>(i) % sides);
      if (seed % 3 == 0)
        world.fleet.links().AssignSide(5, 0), world.fleet.links().AssignSide(5, 1);  // a bridge
      world.fleet.RunFor(length / 2);
      world.fleet.Kill(3);
      world.fleet.Leave(4);
      world.fleet.Start(30, "n30", {0, 1});
      world.fleet.RunFor(length / 2);
      world.fleet.links().Heal();
      // A crash just before the partition heals takes as long to detect as any other crash.
      EXPECT_LE(world.PeriodsToConverge(), 20) << "seed " << seed << " length " << length.count();
      world.fleet.RunFor(20 * kPeriod);
      EXPECT_TRUE(world.fleet.Converged());
    }
  }
}

TEST(Gossip, OneWayPartition_MemberFailsAndReturns) {
  World world(8);
  for (simulation::Node to = 0; to < 8; ++to)
    if (to != 3) world.fleet.links().Cut(3, to, true);
  world.fleet.RunFor(40 * kPeriod);
  for (Process p = 0; p < 8; ++p) {
    if (p == 3) continue;
    EXPECT_EQ(world.fleet.view(p).members().Find(world.fleet.id(3))->status, Status::kFailed);
    EXPECT_EQ(world.fleet.view(p).members().live_count(), 7u);
  }
  world.fleet.links().Heal();
  EXPECT_LE(world.PeriodsToConverge(), 12);
}

// Guards against a resumed process that declares others failed: its probes and suspicions expired while it
// could not receive their answers.
TEST(Gossip, PausedProcess_DiscardsItsStateWhenItResumes) {
  World world(16);
  world.fleet.Pause(5, 20 * kPeriod);
  world.fleet.RunFor(20 * kPeriod);
  EXPECT_EQ(world.fleet.view(0).members().Find(world.fleet.id(5))->status, Status::kFailed);
  const int before = world.Count(EventType::kFailed);
  EXPECT_LE(world.PeriodsToConverge(), 12);
  world.fleet.RunFor(20 * kPeriod);
  EXPECT_TRUE(world.fleet.Converged());
  EXPECT_EQ(world.Count(EventType::kFailed), before) << "the resumed process declared others failed";
  EXPECT_EQ(world.Count(EventType::kPaused, 5), 1);
}

TEST(Gossip, MassCrashAndRestart_Converges) {
  World world(40);
  for (Process p = 0; p < 28; ++p) world.fleet.Kill(p);
  EXPECT_LE(world.PeriodsToConverge(100), 40) << "28 at once";
  EXPECT_EQ(world.false_failures, 0);
  for (simulation::Node i = 0; i < 28; ++i) world.fleet.Start(i, "n" + std::to_string(i), {0, 1});
  EXPECT_LE(world.PeriodsToConverge(), 12);
  for (Process p = 0; p < world.fleet.size(); ++p) world.fleet.is_running(p) ? world.fleet.Kill(p) : void();
  for (simulation::Node i = 0; i < 40; ++i) world.fleet.Start(i, "n" + std::to_string(i), {0, 1});
  EXPECT_LE(world.PeriodsToConverge(), 12) << "all restarted without state";
}

TEST(Gossip, HundredJoinsThroughOneSeed_Converge) {
  World world(4);
  for (simulation::Node i = 10; i < 110; ++i) {
    world.fleet.Start(i, "n" + std::to_string(i), {0});
    world.fleet.RunFor(10ms);
  }
  EXPECT_LE(world.PeriodsToConverge(), 12);
  EXPECT_EQ(world.false_failures, 0);
}

TEST(Gossip, AllSeedsDown_ReconnectsWhenOneRestarts) {
  World world(8);
  world.fleet.Kill(0);
  world.fleet.Kill(1);
  EXPECT_LE(world.PeriodsToConverge(), 30);
  const Process late_joiner = world.fleet.Start(20, "n20", {0, 1});
  world.fleet.RunFor(10 * kPeriod);
  EXPECT_EQ(world.fleet.view(late_joiner).members().live_count(), 1u)
      << "without a running seed it cannot find the others";
  world.fleet.Start(1, "n1", {0, 1});
  EXPECT_LE(world.PeriodsToConverge(), 20) << "the fleet reconnects to a restarted seed";
}

TEST(Gossip, Restart_TakesTheNextGeneration) {
  World world(6);
  world.fleet.Pause(2, 3 * kPeriod);  // refutations raise the incarnation of the old process
  world.fleet.RunFor(20 * kPeriod);
  world.fleet.Kill(2);
  const Process fresh = world.fleet.Start(2, "n2", {0, 1});
  EXPECT_LE(world.PeriodsToConverge(), 15);
  EXPECT_EQ(world.fleet.view(fresh).members().own().record.generation, 2u);
  EXPECT_EQ(world.fleet.view(0).serving_rank().serving_count, 6);
}

TEST(Gossip, AddressReusedByAnotherName_Converges) {
  World world(6);
  world.fleet.Kill(3);
  world.fleet.Start(3, "other", {0, 1});
  EXPECT_LE(world.PeriodsToConverge(), 12);
  EXPECT_EQ(world.false_failures, 0);
}

// Guards against a hot restart that looks like a name conflict or a failure: two processes of one name run
// side by side until the old one leaves.
TEST(Gossip, HotRestart_TwoGenerationsThenOne) {
  World world(6);
  const Process fresh = world.fleet.Start(2, "n2", {0, 1}, true);
  EXPECT_LE(world.PeriodsToConverge(), 12);
  EXPECT_EQ(world.fleet.view(0).members().live_count(), 7u);
  EXPECT_EQ(world.fleet.view(0).serving_rank().serving_count, 6) << "one name, two generations";
  EXPECT_EQ(world.fleet.view(fresh).members().own().record.generation, 2u);
  world.fleet.Leave(2);
  EXPECT_LE(world.PeriodsToConverge(), 12);
  EXPECT_EQ(world.Count(EventType::kLeft), 6);
  EXPECT_EQ(world.Count(EventType::kFailed), 0);
  // A successor that crashes soon after its start, and a leave that no member receives.
  const Process crashing = world.fleet.Start(4, "n4", {0, 1}, true);
  world.fleet.RunFor(kPeriod);
  world.fleet.Kill(crashing);
  EXPECT_LE(world.PeriodsToConverge(), 15);
  world.fleet.links().default_faults().cut = true;
  world.fleet.Leave(4);
  world.fleet.RunFor(2 * kPeriod);
  world.fleet.links().default_faults().cut = false;
  EXPECT_LE(world.PeriodsToConverge(), 20);
  EXPECT_EQ(world.false_failures, 0);
}

TEST(Gossip, NameConflict_IsReportedByBothAndNeitherFlaps) {
  World world(6);
  const Process other = world.fleet.Start(20, "n2", {0, 1});
  world.fleet.RunFor(60 * kPeriod);
  EXPECT_TRUE(world.fleet.Converged());
  EXPECT_EQ(world.Count(EventType::kNameConflict, 2), 1);
  EXPECT_EQ(world.Count(EventType::kNameConflict, other), 1);
  EXPECT_EQ(world.Count(EventType::kSuspected) + world.Count(EventType::kFailed), 0);
  EXPECT_EQ(world.fleet.view(0).name_conflicts(), std::vector<std::string>{"n2"});
}

TEST(Gossip, AttributesAndPhases_ReachAllMembers) {
  World world(16);
  EXPECT_TRUE(world.fleet.view(3).SetAttribute(Time(), "role", "voter"));
  EXPECT_FALSE(world.fleet.view(3).SetAttribute(Time(), "long", std::string(65, 'x')));
  for (int i = 0; i < 7; ++i)
    EXPECT_TRUE(world.fleet.view(3).SetAttribute(Time(), "k" + std::to_string(i), "v"));
  EXPECT_FALSE(world.fleet.view(3).SetAttribute(Time(), "ninth", "v"));
  world.fleet.SetPhase(3, Phase::kDraining);
  EXPECT_LE(world.PeriodsToConverge(), 12);
  const Member* member = world.fleet.view(9).members().Find(world.fleet.id(3));
  EXPECT_EQ(member->record.phase, Phase::kDraining);
  EXPECT_EQ(member->record.attributes.front(), (Attribute{"role", "voter"}));
  EXPECT_EQ(world.fleet.view(9).serving_rank().serving_count, 15);
}

TEST(Gossip, SameSeed_SendsTheSameBytes) {
  const auto run = [](std::uint64_t seed) {
    World world(24, seed);
    world.fleet.links().default_faults().loss = 0.1;
    world.fleet.Kill(3);
    world.fleet.RunFor(10s);
    return world.fleet.trace();
  };
  EXPECT_EQ(run(5), run(5));
  EXPECT_NE(run(5), run(6));
}

TEST(Gossip, RandomFaults_AlwaysConverge) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    World world(12, seed);
    const auto below = [&](std::uint64_t bound) { return static_cast<simulation::Node>(random() % bound); };
    for (int i = 0; i < 12; ++i) {
      const simulation::Node a = below(12), b = below(12);
      Process last = 0;
      for (Process p = 0; p < world.fleet.size(); ++p)
        if (world.fleet.is_running(p) && random() % 3 == 0) last = p;
      switch (random() % 7) {
        case 0:
          if (world.fleet.live_count() > 4) world.fleet.Kill(last);
          break;
        case 1:
          world.fleet.Start(20 + static_cast<simulation::Node>(i), "m" + std::to_string(i), {0, 1});
          break;
        case 2:
          world.fleet.links().Cut(a, b, true);
          break;
        case 3:
          if (world.fleet.is_running(last)) world.fleet.Pause(last, Duration(1ms) * below(4000));
          break;
        case 4:
          for (simulation::Node n = 0; n < 12; ++n)
            world.fleet.links().AssignSide(n, static_cast<int>(below(3)));
          break;
        case 5:
          world.fleet.links().default_faults().loss = 0.02 * below(10);
          world.fleet.links().default_faults().duplicate = 0.1;
          world.fleet.links().default_faults().garble = 0.02;
          world.fleet.links().default_faults().spread = 100ms;
          break;
        default:
          world.fleet.links().Heal();
      }
      world.fleet.RunFor(Duration(1ms) * below(2000));
    }
    world.fleet.links().Heal();
    world.fleet.links().default_faults() = {};
    EXPECT_LE(world.PeriodsToConverge(200), 60) << "seed " << seed;
    world.fleet.RunFor(30 * kPeriod);
    EXPECT_TRUE(world.fleet.Converged()) << "seed " << seed;
  }
}

// ---- Safety checks: the property that each check protects holds with it and fails without it ----

std::string ForgedDatagram(const std::vector<MemberUpdate>& updates) {
  Datagram d;
  d.sender = MakeRecord(0x11e5, "liar");
  d.body = Gossip{};
  d.updates = updates;
  return peer_transport::Encode("trial", d);
}

std::vector<MemberUpdate> ForgedMembers(std::uint64_t from, std::uint64_t count) {
  std::vector<MemberUpdate> updates;
  for (std::uint64_t i = 0; i < count; ++i)
    updates.push_back(
        {Status::kAlive, MakeRecord(1000 + from + i, "lie" + std::to_string(from + i)), kNoInstance});
  return updates;
}

struct SafetyCheckCase {
  const char* name;
  bool SafetyChecks::*check;
  std::function<bool(const SafetyChecks&)> holds;
};

const SafetyCheckCase kSafetyCheckCases[] = {
    {"refutation", &SafetyChecks::refutation,
     [](const SafetyChecks& safety_checks) {
       World world(8, 1, safety_checks);
       world.fleet.Pause(3, 3 * kPeriod);
       world.fleet.RunFor(40 * kPeriod);
       return world.false_failures == 0;
     }},
    {"suspicion timeout", &SafetyChecks::suspicion_timeout,
     [](const SafetyChecks& safety_checks) {
       World world(8, 1, safety_checks);
       world.fleet.Pause(3, 3 * kPeriod);
       world.fleet.RunFor(40 * kPeriod);
       return world.false_failures == 0;
     }},
    {"local health", &SafetyChecks::local_health,
     [](const SafetyChecks& safety_checks) {
       World world(16, 1, safety_checks);
       simulation::LinkFaults slow;
       slow.delay = kPeriod * 6 / 10;  // a round trip longer than a period: all probes of process 3 time out
       for (simulation::Node i = 0; i < 16; ++i)
         world.fleet.links().Set(i, 3, slow), world.fleet.links().Set(3, i, slow);
       world.fleet.RunFor(200 * kPeriod);
       int own_suspicions = 0;
       for (const PeerFleet::ObservedEvent& seen : world.events)
         own_suspicions += seen.process == 3 && seen.event.type == EventType::kSuspected &&
                           seen.event.reported_by == world.fleet.id(3);
       return own_suspicions < 20;
     }},
    {"indirect probes", &SafetyChecks::indirect_probes,
     [](const SafetyChecks& safety_checks) {
       World world(8, 1, safety_checks);
       world.fleet.links().Cut(2, 5, true);
       world.fleet.RunFor(60 * kPeriod);
       return world.Count(EventType::kSuspected) == 0;
     }},
    {"reconnection to failed members", &SafetyChecks::reconnect_failed,
     [](const SafetyChecks& safety_checks) {
       Settings settings;
       settings.safety_checks = safety_checks;
       PeerFleet fleet({1, settings, 0.01});
       for (simulation::Node i = 0; i < 8; ++i) fleet.Start(i, "n" + std::to_string(i), {0});
       fleet.RunFor(20 * kPeriod);
       // The seed crashes before the partition heals.
       for (simulation::Node i = 0; i < 8; ++i) fleet.links().AssignSide(i, i < 4 ? 0 : 1);
       fleet.Kill(0);
       fleet.RunFor(60 * kPeriod);
       fleet.links().Heal();
       return fleet.ConvergeWithin(40 * kPeriod).has_value();
     }},
    {"pause detection", &SafetyChecks::pause_detection,
     [](const SafetyChecks& safety_checks) {
       for (std::uint64_t seed = 1; seed <= 10; ++seed) {
         World world(8, seed, safety_checks);
         world.fleet.Pause(3, 4 * kPeriod);
         world.fleet.RunFor(3 * kPeriod);
         world.fleet.Pause(5, 30 * kPeriod);  // process 5 suspects process 3, or is about to
         world.fleet.RunFor(60 * kPeriod);
         if (world.Count(EventType::kFailed, 5) > 0) return false;
       }
       return true;
     }},
    {"verification of failure claims", &SafetyChecks::claim_verification,
     [](const SafetyChecks& safety_checks) {
       World world(24, 1, safety_checks);
       for (simulation::Node i = 0; i < 24; ++i) world.fleet.links().AssignSide(i, static_cast<int>(i) % 2);
       world.fleet.RunFor(60 * kPeriod);
       world.fleet.links().Heal();
       world.events.clear();
       world.fleet.RunFor(40 * kPeriod);
       return world.Count(EventType::kFailed) == 0;
     }},
    {"limit of an incarnation jump", &SafetyChecks::incarnation_jump_limit,
     [](const SafetyChecks& safety_checks) {
       World world(8, 1, safety_checks);
       MemberRecord poisoned = world.fleet.view(3).members().own().record;
       poisoned.incarnation = kMaxIncarnation;
       for (simulation::Node i = 0; i < 8; ++i)
         world.fleet.Inject(i, ForgedDatagram({{Status::kAlive, poisoned, kNoInstance}}));
       world.fleet.RunFor(2 * kPeriod);
       world.fleet.Pause(3, 3 * kPeriod);
       world.fleet.RunFor(60 * kPeriod);
       return world.false_failures == 0;
     }},
    {"member limit", &SafetyChecks::member_limit,
     [](const SafetyChecks& safety_checks) {
       Settings settings;
       settings.max_members = 64;
       World world(8, 1, safety_checks, settings);
       for (std::uint64_t i = 0; i < 1000; ++i)
         world.fleet.Inject(2, ForgedDatagram(ForgedMembers(10 * i, 10)));
       world.fleet.RunFor(kPeriod);
       return world.fleet.view(2).members().all().size() <= 64;
     }},
    {"protection of confirmed members", &SafetyChecks::protect_confirmed,
     [](const SafetyChecks& safety_checks) {
       Settings settings;
       settings.max_members = 64;
       World world(8, 1, safety_checks, settings);
       world.fleet.RunFor(20 * kPeriod);
       for (std::uint64_t i = 0; i < 1000; ++i)
         world.fleet.Inject(2, ForgedDatagram(ForgedMembers(10 * i, 10)));
       world.fleet.RunFor(1ms);
       std::size_t confirmed = 0;
       for (Process p = 0; p < 8; ++p)
         confirmed += world.fleet.view(2).members().Find(world.fleet.id(p)) != nullptr;
       return confirmed == 8;
     }},
    {"tombstones", &SafetyChecks::tombstones,
     [](const SafetyChecks& safety_checks) {
       Settings settings;
       settings.failed_retention = 15s;
       World world(8, 1, safety_checks, settings);
       const MemberRecord failed_record = world.fleet.view(3).members().own().record;
       world.fleet.Kill(3);
       world.fleet.RunFor(25s);
       if (world.fleet.view(0).members().Find(failed_record.id) != nullptr) return false;  // not reaped yet
       world.events.clear();
       world.fleet.Inject(0, ForgedDatagram({{Status::kAlive, failed_record, kNoInstance}}));
       world.fleet.RunFor(kPeriod);
       return world.fleet.view(0).members().Find(failed_record.id) == nullptr;
     }},
    {"state sync", &SafetyChecks::state_sync,
     [](const SafetyChecks& safety_checks) {
       for (std::uint64_t seed = 1; seed <= 5; ++seed) {
         World world(64, seed, safety_checks);
         for (simulation::Node i = 0; i < 64; ++i)
           world.fleet.links().Cut(i, 9, true), world.fleet.links().Cut(9, i, true);
         world.fleet.SetPhase(20, Phase::kDraining);
         world.fleet.RunFor(4 * kPeriod);
         world.fleet.links().Heal();
         if (world.PeriodsToConverge(16) > 16) return false;
       }
       return true;
     }},
    {"ping target check", &SafetyChecks::ping_target_check,
     [](const SafetyChecks& safety_checks) {
       World world(8, 1, safety_checks);
       world.fleet.Kill(3);
       world.fleet.Start(3, "other", {});  // it has no seeds and answers the pings to its predecessor
       world.fleet.RunFor(20 * kPeriod);
       return !world.fleet.view(0).members().Find(world.fleet.id(3))->is_live();
     }},
    {"retransmit limit", &SafetyChecks::retransmit_limit,
     [](const SafetyChecks& safety_checks) {
       World world(8, 1, safety_checks);
       const auto before = world.fleet.sent(2).messages;
       world.fleet.RunFor(10s);
       return world.fleet.sent(2).messages - before < 150;
     }},
};

// Guards against a safety check that no case depends on: each case must hold with the check and fail without
// it.
TEST(GossipSafetyChecks, EachCheck_WhenDisabled_BreaksItsProperty) {
  for (const SafetyCheckCase& test_case : kSafetyCheckCases) {
    EXPECT_TRUE(test_case.holds(SafetyChecks()))
        << test_case.name << ": the property fails with the check enabled";
    SafetyChecks without;
    without.*test_case.check = false;
    EXPECT_FALSE(test_case.holds(without))
        << test_case.name << ": the property holds with the check disabled";
  }
}

// Guards against a flood of forged members that evicts real ones or delays their probes.
TEST(GossipLimits, ForgedMembers_DoNotHideACrash) {
  World world(16);
  for (std::uint64_t i = 0; i < 1000; ++i)
    for (simulation::Node node = 0; node < 4; ++node)
      world.fleet.Inject(node, ForgedDatagram(ForgedMembers(10 * i, 10)));
  world.fleet.RunFor(2s);
  for (Process p = 0; p < 16; ++p) EXPECT_LE(world.fleet.view(p).members().all().size(), 2048u);
  world.fleet.Kill(9);
  world.fleet.RunFor(25 * kPeriod);
  for (Process p = 0; p < 16; ++p)
    if (p != 9) EXPECT_FALSE(world.fleet.view(p).members().Find(world.fleet.id(9))->is_live()) << p;
  EXPECT_EQ(world.false_failures, 0);
  EXPECT_LE(world.fleet.view(0).queued_updates(), kMaxQueuedUpdates);
}

TEST(GossipLimits, ReplayedDatagrams_HaveNoEffect) {
  World world(8);
  std::vector<std::string> old;
  world.fleet.on_sent = [&](Process, const std::string& bytes) { old.push_back(bytes); };
  world.fleet.RunFor(2s);
  world.fleet.Kill(6);
  world.fleet.RunFor(5s);
  world.fleet.on_sent = nullptr;
  ASSERT_TRUE(world.fleet.Converged());
  for (const std::string& bytes : old)
    for (simulation::Node node = 0; node < 6; ++node) world.fleet.Inject(node, bytes);
  world.fleet.RunFor(20 * kPeriod);
  EXPECT_TRUE(world.fleet.Converged());
  EXPECT_EQ(world.false_failures, 0);
}

}  // namespace
}  // namespace lemoncroft

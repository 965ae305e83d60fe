// What grows with the fleet stays bounded: the leader's books, the work of a view, bytes in flux, memory.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gossip/membership_view.h"
#include "replicated_config/lease.h"
#include "replicated_config/notification_pacer.h"
#include "testing/benchmark/scale_leases.h"
#include "testing/benchmark/scale_view.h"
#include "testing/benchmark/socket_fleet.h"
#include "testing/simulation/processor_time.h"

namespace lemoncroft {
namespace {

using namespace std::chrono_literals;
using simulation::ProcessorMicroseconds;

// How often more a step may cost where sixteen times as many are there: caches and trees, not walks of all.
constexpr double kGrowthMost = 6;
constexpr int kRounds = 5;

// ---- Leases ----

// A leader that grants to so many, one of which has not prepared the version that waits.
class BusyGrantor {
 public:
  explicit BusyGrantor(int holders) : holders_(holders) {
    grantor_.BeginLeadership(now_, 1);
    now_ += 5s;
    for (int i = 0; i < holders_; ++i) Renew(i);
  }

  int enforceable() const { return enforceable_; }  // how often the version that waits could be put in force
  double MicrosecondsARenewal() {
    double least = std::numeric_limits<double>::max();
    for (int round = 0; round < kRounds; ++round) {
      const double begun = ProcessorMicroseconds();
      for (int i = 0; i < kRenewals; ++i) Renew(i % holders_);
      least = std::min(least, (ProcessorMicroseconds() - begun) / kRenewals);
    }
    return least;
  }

 private:
  static constexpr int kRenewals = 2000;

  void Renew(int holder) {
    now_ += replicated_config::Duration(250ms) / holders_;
    const replicated_config::Version prepared = holder == 0 ? 1 : 2;
    grantor_.HandleRenewal(now_, true, std::to_string(holder), {1, prepared}, 1, 2);
    enforceable_ += grantor_.MayActivate(now_, true, 2);
  }

  int holders_;
  replicated_config::LeaseGrantor grantor_{replicated_config::LeaseOptions()};
  replicated_config::Time now_{1h};
  int enforceable_ = 0;
};

TEST(LeaseGrantor, ARenewalCostsAboutTheSameHoweverManyHoldersThereAre) {
  const double few = BusyGrantor(250).MicrosecondsARenewal();
  BusyGrantor busy(4000);
  const double many = busy.MicrosecondsARenewal();
  EXPECT_EQ(busy.enforceable(), 0) << "one has not prepared it";
  EXPECT_LE(many, kGrowthMost * few) << few << " us with 250 holders, " << many << " us with 4,000";
}

// What may be put in force by the index is what may be by a walk of all books, whatever comes in between.
TEST(LeaseGrantor, TheIndexOfBooksAgreesWithTheBooks) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    replicated_config::LeaseGrantor grantor{replicated_config::LeaseOptions()};
    replicated_config::Time now{1h};
    grantor.BeginLeadership(now, 1);
    now += 5s;
    replicated_config::Version latest_version = 1;
    for (int step = 0; step < 5000; ++step) {
      now += replicated_config::Duration(random() % 20'000'000);
      if (random() % 200 == 0) ++latest_version;
      const std::string holder = std::to_string(random() % (step % 1000 < 500 ? 150 : 5));
      const replicated_config::Version prepared =
          latest_version - std::min<replicated_config::Version>(latest_version, random() % 3);
      grantor.HandleRenewal(now, true, holder, {1, prepared}, 1, latest_version);
      for (const replicated_config::Version version :
           {latest_version - 1, latest_version, latest_version + 1})
        ASSERT_EQ(grantor.MayActivate(now, true, version), grantor.UnpreparedHolders(now, version).empty())
            << "seed " << seed << " step " << step << " version " << version;
    }
  }
}

TEST(LeaseGrantor, BooksOfHoldersThatWentAreDropped) {
  replicated_config::LeaseGrantor grantor{replicated_config::LeaseOptions()};
  replicated_config::Time now{1h};
  grantor.BeginLeadership(now, 1);
  for (int i = 0; i < 20'000; ++i) {
    now += 1ms;
    grantor.HandleRenewal(now, true, std::to_string(i), {1, static_cast<replicated_config::Version>(i % 3)},
                          1, 2);
  }
  EXPECT_LE(grantor.recorded_leases(), 1100u) << "a lease of 1 s, a new holder each millisecond";
}

// ---- The view ----

gossip::MemberRecord RecordOf(gossip::InstanceId id) {
  gossip::MemberRecord record;
  record.id = id;
  record.name = "n" + std::to_string(id);
  record.address = {0x7f000000 + static_cast<std::uint32_t>(id), 7000};
  record.phase = gossip::Phase::kServing;
  return record;
}

// A view of so many members, all of which gave proof of life but `unproven`.
class LargeView {
 public:
  LargeView(std::size_t members, std::size_t unproven) : members_(members) {
    for (gossip::InstanceId id = 2; id <= members; ++id) {
      if (id > members - unproven)
        view_.FinishSync(now_,
                         {RecordOf(2), {}, {{gossip::Status::kAlive, RecordOf(id), gossip::kNoInstance}}});
      else
        view_.Receive(now_, {RecordOf(id), 0, gossip::Gossip{}, {}});
    }
    view_.TakeOutputs();
  }

  // Of a period, in which a member changes what it says of itself.
  double MicrosecondsAPeriod() {
    double least = std::numeric_limits<double>::max();
    for (int round = 0; round < kRounds; ++round) {
      const double begun = ProcessorMicroseconds();
      for (int period = 0; period < kPeriods; ++period) PlayPeriod();
      least = std::min(least, (ProcessorMicroseconds() - begun) / kPeriods);
    }
    return least;
  }
  const gossip::MembershipView& view() const { return view_; }

 private:
  static constexpr int kPeriods = 100;

  static gossip::Settings SettingsOf() {
    gossip::Settings settings;
    settings.max_members = 8192;
    return settings;
  }

  void PlayPeriod() {
    gossip::MemberRecord changed = RecordOf(2 + ++changes_ % 8);
    changed.incarnation = 1 + changes_;
    view_.Receive(now_, {changed, 0, gossip::Gossip{}, {}});
    for (const gossip::Time until = now_ + 250ms; now_ < until;) {
      now_ = std::min(until, std::max(now_ + 1us, view_.NextDeadline()));
      view_.Tick(now_);
      Answer();
    }
  }

  void Answer() {
    for (const gossip::Output& output : view_.TakeOutputs()) {
      const auto* transmit = std::get_if<gossip::Transmit>(&output);
      const auto* ping = transmit == nullptr ? nullptr : std::get_if<gossip::Ping>(&transmit->datagram.body);
      if (ping != nullptr && ping->target > 9 && ping->target <= members_ / 2)
        view_.Receive(now_, {RecordOf(ping->target), 0, gossip::Ack{ping->sequence, ping->target}, {}});
    }
  }

  std::size_t members_;
  std::uint64_t changes_ = 0;
  gossip::Time now_{1h};
  gossip::MembershipView view_{SettingsOf(), RecordOf(1), 1, now_};
};

TEST(LargeView, APeriodCostsAboutTheSameHoweverManyMembersThereAre) {
  for (const std::size_t unproven : {0u, 5u}) {
    const double few = LargeView(250, unproven).MicrosecondsAPeriod();
    const double many = LargeView(4000, unproven).MicrosecondsAPeriod();
    EXPECT_LE(many, kGrowthMost * few)
        << few << " us with 250 members, " << many << " us with 4,000, unproven " << unproven;
  }
}

TEST(LargeView, CountsWhoServesAsAWalkOfAllMembersDoes) {
  const LargeView large(300, 5);
  std::map<std::string, std::size_t> serving;
  for (const auto& [id, member] : large.view().members().all())
    if (member.is_live() && member.record.phase == gossip::Phase::kServing) ++serving[member.record.name];
  EXPECT_EQ(large.view().members().serving_names(), serving);
  EXPECT_EQ(large.view().serving_rank().serving_count, 300);
  EXPECT_EQ(large.view().serving_rank().rank, 0);
  EXPECT_EQ(large.view().members().unconfirmed().size(), 5u);
}

// ---- The small scale run: the same figures each time ----

constexpr double kControlBytes = 22'000;  // a second and proxy: the operators' target

TEST(SmallScale, AViewOfAFewHundredKeepsItsBoundsInFlux) {
  benchmark::ViewPlan plan;
  plan.members = 300;
  plan.idle_seconds = 10;
  plan.attribute_seconds = 0;
  plan.churn_warm_seconds = 5;
  const benchmark::ViewCost cost = benchmark::MeasureView(plan);
  EXPECT_LE(cost.bytes_per_s, 1000);
  EXPECT_LE(cost.churn_bytes_per_s, kControlBytes);
  EXPECT_GE(cost.settled_after_s, 0) << "views never agreed again";
  EXPECT_LE(cost.bytes_per_member, 700) << "of memory; 4,000 members in 2.8 MB";
  EXPECT_LE(cost.memory_share_retained_after_end, 0.05);
  const benchmark::ViewCost again = benchmark::MeasureView(plan);
  EXPECT_EQ(again.churn_bytes_per_s, cost.churn_bytes_per_s);
  EXPECT_EQ(again.settled_after_s, cost.settled_after_s);
}

// Each member tells of each change of the rules that it acts on it: not all of them at once.
TEST(SmallScale, AChangeOfRulesIsNoNewsOfEachToEach) {
  benchmark::ViewPlan plan;
  plan.members = 300;
  plan.idle_seconds = 1;
  plan.churn_seconds = 0;
  EXPECT_LE(benchmark::MeasureView(plan).attribute_bytes_per_s, 5000);
  plan.pace_attributes = false;
  EXPECT_GT(benchmark::MeasureView(plan).attribute_bytes_per_s, kControlBytes) << "the pace bounds nothing";
}

TEST(TellPace, TellsTheNewestOnceAndSoon) {
  replicated_config::NotificationPacer pace(1);
  replicated_config::Time now{1h};
  EXPECT_FALSE(pace.ShouldNotify(now, false, 7));
  int told = 0;
  for (int beat = 0; beat < 200; ++beat, now += 50ms) told += pace.ShouldNotify(now, told == 0, 7);
  EXPECT_EQ(told, 1) << "within ten seconds in a fleet of seven";
}

TEST(TellPace, AFleetTellsFourTimesASecondInTheMeanHoweverOftenChangesCome) {
  constexpr std::size_t kMembers = 500;
  std::vector<replicated_config::NotificationPacer> paces;
  for (std::size_t i = 0; i < kMembers; ++i) paces.emplace_back(i);
  replicated_config::Time now{1h};
  int told = 0;
  for (const replicated_config::Time until = now + 600s; now < until; now += 50ms)
    for (replicated_config::NotificationPacer& pace : paces) told += pace.ShouldNotify(now, true, kMembers);
  EXPECT_NEAR(told / 600.0, 4, 0.8);
}

TEST(SmallScale, LeasesOfAFewHundredAreGrantedAndChangesComeIntoForce) {
  benchmark::LeasePlan plan;
  plan.members = 300;
  const benchmark::LeaseCost cost = benchmark::MeasureLeases(plan);
  ASSERT_TRUE(cost.all_leased);
  EXPECT_LE(cost.bytes_per_s, 1000);
  ASSERT_EQ(cost.activation_ms.size(), plan.changes);
  for (const double ms : cost.activation_ms) EXPECT_LE(ms, 1000);
  EXPECT_LE(cost.contradiction_ms, 1200);
  EXPECT_EQ(cost.stale_uses, 0u);
  EXPECT_EQ(benchmark::MeasureLeases(plan).bytes_per_change, cost.bytes_per_change);
}

// ---- Hollow proxies on sockets: what the machine makes of a run is no verdict on the program ----

benchmark::SocketFleetPlan SmallSocketFleet() {
  benchmark::SocketFleetPlan plan;
  plan.members = 24;
  plan.voters = 3;
  plan.settle_timeout = 30s;
  plan.idle_duration = 2s;
  plan.changes = 1;
  return plan;
}

TEST(HollowFleet, SettlesOnSocketsAndPutsAChangeInForce) {
  constexpr int kRuns = 3;  // a run that the machine held up shows nothing, and is played again
  benchmark::SocketFleetCost cost = benchmark::MeasureSocketFleet(SmallSocketFleet());
  for (int run = 1; run < kRuns && cost.is_inconclusive; ++run)
    cost = benchmark::MeasureSocketFleet(SmallSocketFleet());
  ASSERT_FALSE(cost.is_inconclusive) << "nothing is shown: the loop was late by " << cost.longest_lag_ms
                                     << " ms";
  ASSERT_TRUE(cost.settled);
  EXPECT_GT(cost.datagram_bytes_per_s, 300);
  EXPECT_LE(cost.view_bytes_per_s, 1500);
  ASSERT_EQ(cost.activation_ms.size(), 1u);
  EXPECT_LE(cost.activation_ms[0], 6000);
}

TEST(HollowFleet, ARunThatWasHeldUpIsVoid) {
  benchmark::SocketFleetPlan plan = SmallSocketFleet();
  plan.loop_block_duration = 2 * benchmark::kMaxLoopLag;
  plan.changes = 0;
  const benchmark::SocketFleetCost cost = benchmark::MeasureSocketFleet(plan);
  ASSERT_TRUE(cost.settled);
  EXPECT_TRUE(cost.is_inconclusive) << "the loop was late by " << cost.longest_lag_ms << " ms";
}

}  // namespace
}  // namespace lemoncroft

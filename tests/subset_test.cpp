// Subsets of the fleet, and the rendezvous order of engines.
#include "decision/subset/subset.h"

#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "decision/subset/ranking_cache.h"
#include "gateway_host.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft {
namespace {

// Returns the engines that the gateway with the index `gateway` sends to.
std::set<EngineId> EnginesUsed(Settings s, int gateway, int engines) {
  s.gateway_index = gateway;
  s.report_fields = {};
  Host host(s);
  std::vector<EngineEntry> fleet;
  for (EngineId id = 1; id <= static_cast<EngineId>(engines); ++id) fleet.push_back(ReadyEngine(id));
  host.DeliverList(fleet);
  std::set<EngineId> used;
  for (RequestId id = 1; id <= 300; ++id) {
    Request request = MakeRequest(id, 0, 4 * kSecond, kMs);
    request.table_group =
        static_cast<std::uint32_t>(id);  // one group per request, so that no engine is preferred for all
    host.Step({request});
    if (host.engine_of.contains(id))
      used.insert(host.engine_of[id]), host.EndAttempt(id, Outcome::kOk, kMs, kMs);
  }
  return used;
}

TEST(Subset, EachOfManyGateways_SendsToPartOfFleet) {
  Settings s = DefaultSettings();
  s.gateway_count = 100;
  std::map<EngineId, int> sharing;
  for (int gateway = 0; gateway < 100; ++gateway) {
    const std::set<EngineId> used = EnginesUsed(s, gateway, 60);
    EXPECT_GE(used.size(), 5u) << "gateway " << gateway;
    EXPECT_LE(used.size(), 15u) << "gateway " << gateway << ": 60 engines with 25 gateways each";
    for (EngineId id : used) ++sharing[id];
  }
  EXPECT_EQ(sharing.size(), 60u) << "each engine is in at least one subset";
  for (const auto& [id, gateways] : sharing) EXPECT_LE(gateways, 50) << "engine " << id;
}

TEST(Subset, FewGateways_UseWholeFleet) {
  Settings s = DefaultSettings();
  EXPECT_GT(EnginesUsed(s, 1, 60).size(), 30u) << "both gateways send to all engines";
}

struct RankedEngine {
  bool listed = true;
  std::size_t rank = 0;
};
using RankedEngines = std::map<EngineId, RankedEngine>;

RankedEngines EnginesTo(EngineId last) {
  RankedEngines engines;
  for (EngineId id = 1; id <= last; ++id) engines[id * 977] = {};
  return engines;
}

// Returns the ranked engines in the order of their ranks.
std::vector<EngineId> ByRank(const RankedEngines& engines, std::size_t ranked) {
  std::vector<EngineId> order(ranked);
  for (const auto& [id, engine] : engines)
    if (engine.listed && engine.rank < ranked) order[engine.rank] = id;
  return order;
}

std::vector<EngineId> Listed(const RankedEngines& engines) {
  std::vector<EngineId> listed;
  for (const auto& [id, engine] : engines)
    if (engine.listed) listed.push_back(id);
  return listed;
}

TEST(RankingCache, Ranks_ForEveryKey_MatchRendezvousHashing) {
  RankedEngines engines = EnginesTo(200);
  subset::RankingCache<RankedEngine> cache;
  for (const std::uint64_t key : {1u, 2u, 1u, 3u, 2u}) {
    const std::size_t ranked = cache.Rank(engines, key, [](const RankedEngine&) { return true; });
    EXPECT_EQ(ByRank(engines, ranked), subset::RankByHash(Listed(engines), key)) << key;
  }
}

TEST(RankingCache, Ranks_WithFilter_IncludeOnlyAllowedEngines) {
  RankedEngines engines = EnginesTo(200);
  subset::RankingCache<RankedEngine> cache;
  const auto is_even = [&](EngineId id) { return id % 2 == 0; };
  std::vector<EngineId> even;
  for (const EngineId id : Listed(engines))
    if (is_even(id)) even.push_back(id);
  std::map<const RankedEngine*, EngineId> id_of;
  for (auto& [id, engine] : engines) engine.rank = 1000, id_of[&engine] = id;
  const std::size_t ranked =
      cache.Rank(engines, 7, [&](const RankedEngine& engine) { return is_even(id_of.at(&engine)); });
  EXPECT_EQ(ByRank(engines, ranked), subset::RankByHash(even, 7));
}

TEST(RankingCache, Ranks_AfterClear_AreComputedAgain) {
  RankedEngines engines = EnginesTo(200);
  subset::RankingCache<RankedEngine> cache;
  const auto all = [](const RankedEngine&) { return true; };
  EXPECT_EQ(cache.Rank(engines, 7, all), 200u);
  engines.begin()->second.listed = false;
  cache.Clear();
  const std::size_t ranked = cache.Rank(engines, 7, all);
  EXPECT_EQ(ranked, 199u);
  EXPECT_EQ(ByRank(engines, ranked), subset::RankByHash(Listed(engines), 7));
}

TEST(RankingCache, ManyKeys_DoNotExceedBound) {
  RankedEngines engines = EnginesTo(4400);
  subset::RankingCache<RankedEngine> cache;
  const std::size_t keys = 2 * cache.kMaxCachedBytes / sizeof(void*) / engines.size();
  for (std::uint64_t key = 0; key < keys; ++key) {
    cache.Rank(engines, key, [](const RankedEngine&) { return true; });
    ASSERT_LE(cache.cached_bytes(), cache.kMaxCachedBytes);
  }
}

// Guards against memory that grows with the table groups that a client names: with few engines, an order's
// overhead is far more than its pointers.
TEST(RankingCache, ManyKeysOfFewEngines_OccupyNoMoreThanBound) {
  RankedEngines engines = EnginesTo(1);
  subset::RankingCache<RankedEngine> cache;
  const std::size_t before = ::mallinfo2().uordblks;
  std::size_t most = before;
  for (std::uint64_t key = 0; key < 300'000; ++key) {
    cache.Rank(engines, key, [](const RankedEngine&) { return true; });
    if (key % 1000 == 0) most = std::max(most, ::mallinfo2().uordblks);
  }
  EXPECT_LT(most - before, 2 * cache.kMaxCachedBytes);
}

// Table loads use only the last half of the order. An engine that is listed later must get its rank.
TEST(RankingCache, EndpointListChange_RanksEnginesAgain) {
  Settings s = DefaultSettings();
  s.gateway_count = 1;
  ClassSettings load = DefaultClass(), reader = DefaultClass();
  load.holds_tables = true;
  reader.blocked_by_loads = true;
  s.classes = {load, reader};
  Host host(s);
  host.DeliverList({ReadyEngine(1), ReadyEngine(2)});
  Request first = MakeRequest(1), second = MakeRequest(2);
  first.table_group = second.table_group = 5;
  host.Step({first});
  ASSERT_TRUE(host.engine_of.contains(1));
  host.EndAttempt(1, Outcome::kOk);
  std::vector<EngineEntry> changed;
  for (EngineId id = 1; id <= 10; ++id) changed.push_back(ReadyEngine(id));
  changed[0].readiness = changed[1].readiness = Readiness::kDraining;
  host.DeliverList(changed);
  host.Step({second});
  EXPECT_TRUE(host.engine_of.contains(2)) << "at least three of the five engines for table loads are ready";
}

// Subsets by membership rank must be spread evenly and change little when an engine or a gateway is added or
// removed.
TEST(Subset, ByMembershipRank_IsEvenAndChangesLittle) {
  std::vector<EngineId> engines;
  for (EngineId id = 1; id <= 80; ++id) engines.push_back(id * 977);
  for (const int gateways : {1, 2, 7, 100, 299, 300}) {
    std::map<EngineId, int> sharing;
    for (const EngineId id : engines) sharing[id] = 0;
    std::size_t moved_by_gateway = 0, moved_by_engine = 0;
    std::vector<EngineId> fewer(engines.begin() + 1, engines.end());
    for (int index = 0; index < gateways; ++index) {
      const auto own = subset::SubsetByMembershipRank(engines, gateways, index);
      EXPECT_EQ(own.size(), subset::SubsetSize(engines.size(), gateways));
      for (const EngineId id : own) ++sharing[id];
      const std::set<EngineId> now(own.begin(), own.end());
      EXPECT_EQ(now.size(), own.size());
      for (const EngineId id : subset::SubsetByMembershipRank(engines, gateways + 1, index))
        moved_by_gateway += !now.contains(id);
      for (const EngineId id : subset::SubsetByMembershipRank(fewer, gateways, index))
        moved_by_engine += !now.contains(id);
    }
    int min_count = gateways, max_count = 0;
    for (const auto& [id, count] : sharing)
      min_count = std::min(min_count, count), max_count = std::max(max_count, count);
    // Up to 25 gateways, each subset contains all engines. For more gateways, the check leaves room above the
    // difference of at most one that SubsetByMembershipRank promises.
    EXPECT_LE(max_count - min_count,
              gateways <= 25 ? 0 : static_cast<int>(subset::SubsetSize(80, gateways) / 5 + 1))
        << gateways;
    EXPECT_LE(max_count, subset::MaxGatewaysPerEngine(engines.size(), gateways)) << gateways;
    if (gateways < 100) continue;
    EXPECT_LE(moved_by_gateway, 2u * static_cast<std::size_t>(gateways)) << "one more gateway";
    EXPECT_LE(moved_by_engine, 2u * static_cast<std::size_t>(gateways)) << "one engine fewer";
  }
}

}  // namespace
}  // namespace lemoncroft

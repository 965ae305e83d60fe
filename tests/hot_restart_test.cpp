// State that the processes of one proxy share during a hot restart: ejected engines and divided limits.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <string>

#include "hot_restart/ejection_store.h"
#include "hot_restart/process_limits.h"
#include "hot_restart/process_registry.h"

namespace lemoncroft {
namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;
using hot_restart::ConnectionUsage;
using hot_restart::DivideLimits;
using hot_restart::EjectionStore;
using hot_restart::ProcessRegistry;
using hot_restart::RateBudgetDivisor;

class HotRestart : public testing::Test {
 public:
  ~HotRestart() override { fs::remove_all(dir_); }

 protected:
  HotRestart() { fs::create_directories(dir_); }
  fs::path dir_ = fs::temp_directory_path() / ("hot-restart-" + std::to_string(::getpid()));
};

TEST_F(HotRestart, EjectionStore_IsSharedByTwoProcesses) {
  EjectionStore one(dir_), other(dir_);
  EXPECT_FALSE(other.MayHaveChanged());
  EXPECT_TRUE(one.SaveEjection("a/../b"));
  EXPECT_TRUE(other.MayHaveChanged());
  EXPECT_TRUE(other.SaveEjection("c"));
  EXPECT_EQ(one.Read()->ejected, (std::set<std::string>{"a/../b", "c"}));
  EXPECT_TRUE(other.SaveReturn("a/../b"));
  EXPECT_EQ(one.Read()->ejected, (std::set<std::string>{"c"}));
  EXPECT_EQ(one.Read()->returned_at.count("a/../b"), 1u);
  one.RemoveReturnsBefore(std::chrono::system_clock::now() + 1h);
  EXPECT_TRUE(one.Read()->returned_at.empty());
  EXPECT_EQ(one.Read()->ejected.size(), 1u);
}

TEST_F(HotRestart, EjectionStore_ForeignFiles_AreIgnored) {
  EjectionStore store(dir_);
  ASSERT_TRUE(store.SaveEjection("a"));
  const fs::path folder = dir_ / "lemoncroft-hand-1";
  for (const char* name : {"out-", "out-6", "out-zz", "out", "garbage", "back-"})
    std::ofstream(folder / name) << std::string(1000, '\0');
  fs::create_directory(folder / "out-61626364");
  fs::create_symlink("/nonexistent", folder / "out-6162");
  EXPECT_EQ(store.Read()->ejected, (std::set<std::string>{"a"}));
  EXPECT_FALSE(store.SaveEjection(std::string(EjectionStore::kMaxIdBytes + 1, 'x')));
}

TEST_F(HotRestart, EjectionStore_FolderCannotBeCreated_IsReported) {
  std::ofstream(dir_ / "lemoncroft-hand-1") << "a file where the folder should be";
  EjectionStore store(dir_);
  EXPECT_FALSE(store.SaveEjection("a"));
  EXPECT_FALSE(store.Read())
      << "an unreadable store must not look like an empty one, which would lift all ejections";
}

TEST(ProcessLimits, TwoProcesses_UsingTheirLimits_StayWithinTheProxyLimits) {
  for (std::size_t sockets : {384u, 512u, 1024u}) {
    const hot_restart::ProxyLimits limits{sockets, sockets * 2 / 5, 57};
    const hot_restart::ProcessLimits alone = DivideLimits(limits, {}, {});
    EXPECT_EQ(alone.clients, limits.clients);
    EXPECT_EQ(alone.clients + alone.engines + limits.reserved_per_process, sockets);
    // The processes take turns: each uses all that its limits allow, given the usage of the other. At the
    // start one has no, a few or all clients.
    for (const std::uint32_t clients : {0u, 30u, static_cast<std::uint32_t>(alone.clients)}) {
      ConnectionUsage usage[2] = {{clients, static_cast<std::uint32_t>(alone.engines)}, {}};
      for (int turn = 0; turn < 10; ++turn) {
        const auto share = DivideLimits(limits, usage[turn % 2], {1, usage[1 - turn % 2]});
        EXPECT_GE(share.clients, limits.clients / 4);
        EXPECT_GE(share.engines, 16u);
        usage[turn % 2] = {static_cast<std::uint32_t>(share.clients),
                           static_cast<std::uint32_t>(share.engines)};
      }
      const std::size_t sum = usage[0].clients + usage[1].clients + usage[0].engines + usage[1].engines;
      EXPECT_LE(sum + 2 * limits.reserved_per_process, sockets) << clients;
    }
  }
}

TEST(ProcessLimits, UnusedConnectionsOfOthers_AreAvailable) {
  const hot_restart::ProxyLimits limits{384, 153, 57};
  const auto share = DivideLimits(limits, {20, 5}, {1, {30, 40}});
  EXPECT_EQ(share.clients, 123u);
  EXPECT_EQ(share.engines, 88u) << "384 - 2 x 57 - 50 - 76 = 144, less 40 and a margin of 16";
}

TEST(ProcessLimits, RateBudgets_AreDividedBetweenServingProcesses) {
  const ConnectionUsage serving{1, 1, 1}, draining{1, 1, 0};
  EXPECT_EQ(RateBudgetDivisor(serving, {}), 1);
  EXPECT_EQ(RateBudgetDivisor(serving, {1, serving}), 2);
  EXPECT_EQ(RateBudgetDivisor(serving, {1, draining}), 1) << "a draining process accepts no new clients";
  EXPECT_EQ(RateBudgetDivisor(draining, {1, serving}), 1);
}

TEST_F(HotRestart, ProcessRegistry_CountsLiveProcesses) {
  ProcessRegistry one(dir_);
  ASSERT_TRUE(one.registered());
  EXPECT_EQ(one.ReadOthers().processes, 0u);
  {
    const ProcessRegistry other(dir_);
    other.Publish({7, 9, 1});
    EXPECT_EQ(one.ReadOthers().processes, 1u);
    EXPECT_EQ(one.ReadOthers().usage.clients, 7u);
    EXPECT_EQ(one.ReadOthers().usage.engines, 9u);
    EXPECT_EQ(one.ReadOthers().usage.serving, 1u);
    const ProcessRegistry third(dir_);
    EXPECT_EQ(one.ReadOthers().processes, 2u);
    EXPECT_EQ(third.ReadOthers().usage.clients, 7u);
  }
  EXPECT_EQ(one.ReadOthers().processes, 0u) << "the slots of ended processes must not count";
}

TEST_F(HotRestart, ProcessRegistry_WithoutAFile_SeesNoProcess) {
  const ProcessRegistry registry(dir_ / "nowhere");
  EXPECT_FALSE(registry.registered());
  registry.Publish({1, 1});
  EXPECT_EQ(registry.ReadOthers().processes, 0u);
}

}  // namespace
}  // namespace lemoncroft

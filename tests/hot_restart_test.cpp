// State that the processes of one proxy share during a hot restart: ejected engines and divided limits.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hot_restart/ejection_store.h"
#include "hot_restart/ordering_key_file.h"
#include "hot_restart/ordering_key_turns.h"
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

// Two processes of one proxy that take requests with ordering keys, on a clock of the test.
class OrderingKeyTurnsTest : public HotRestart {
 protected:
  using Turns = hot_restart::OrderingKeyTurns;
  using File = hot_restart::OrderingKeyFile;
  using Ids = std::vector<RequestId>;
  static constexpr std::uint64_t kKey = 5;
  static constexpr auto kAbandonTimeout = 2100ms, kPause = 300ms;

  std::unique_ptr<Turns> StartProcess() {
    return std::make_unique<Turns>(File::Open(dir_), Turns::Settings{kAbandonTimeout, kPause}, now_);
  }
  // Registers the request and passes it to the module at once. Returns true if it has its turn.
  bool Take(Turns& process, RequestId id, std::uint64_t key = kKey) {
    process.Register(id, key);
    return process.PassToModule(id, now_);
  }
  // Returns a key that shares no bucket with kKey.
  static std::uint64_t OtherKey() {
    std::uint64_t key = kKey + 1;
    while (File::BucketOf(key) == File::BucketOf(kKey)) ++key;
    return key;
  }
  // Returns another key of kKey's bucket.
  static std::uint64_t CollidingKey() {
    std::uint64_t key = kKey + 1;
    while (File::BucketOf(key) != File::BucketOf(kKey)) ++key;
    return key;
  }

  runtime::Time now_ = runtime::Time() + 1h;
};

TEST_F(OrderingKeyTurnsTest, RequestsOfOneKey_InTwoProcesses_RunInOrderOfArrival) {
  const auto one = StartProcess(), two = StartProcess();
  EXPECT_TRUE(Take(*one, 1));
  EXPECT_FALSE(Take(*two, 2));
  EXPECT_TRUE(Take(*two, 3, OtherKey()));
  EXPECT_FALSE(Take(*one, 4)) << "request 2 arrived before it";
  one->OnSent(1);
  EXPECT_EQ(two->Update(now_), Ids{});
  one->Finish(1, {}, now_);
  EXPECT_EQ(one->Update(now_), Ids{});
  EXPECT_EQ(two->Update(now_), Ids{2});
  EXPECT_EQ(two->Update(now_), Ids{}) << "a request is released once";
  two->Finish(2, {}, now_);
  EXPECT_EQ(one->Update(now_), Ids{4});
  EXPECT_FALSE(one->busy());
}

TEST_F(OrderingKeyTurnsTest, RequestsOfOneProcess_AreNotHeld) {
  const auto process = StartProcess();
  EXPECT_TRUE(Take(*process, 1));
  EXPECT_TRUE(Take(*process, 2)) << "the decision module orders them";
}

TEST_F(OrderingKeyTurnsTest, PausedKey_IsHeldUntilEndOfPause) {
  const auto one = StartProcess(), two = StartProcess();
  Take(*one, 1);
  one->OnSent(1);
  one->Finish(1, now_ + kPause, now_);
  EXPECT_TRUE(one->busy());
  EXPECT_FALSE(Take(*two, 2));
  now_ += kPause - 1ms;
  one->Update(now_);
  EXPECT_EQ(two->Update(now_), Ids{});
  now_ += 1ms;
  one->Update(now_);
  EXPECT_EQ(two->Update(now_), Ids{2});
  EXPECT_FALSE(one->busy());
}

TEST_F(OrderingKeyTurnsTest, ProcessThatEnds_HoldsItsKeysByWhatTheyMayStillRun) {
  for (const bool sent : {false, true}) {
    auto one = StartProcess();
    const auto two = StartProcess();
    Take(*one, 1);
    if (sent) one->OnSent(1);
    EXPECT_FALSE(Take(*two, 2));
    one.reset();
    const bool released = two->Update(now_) == Ids{2};
    EXPECT_EQ(released, !sent) << "what was never sent doesn't run";
    if (!sent) continue;
    now_ += kAbandonTimeout + kPause - 1ms;
    EXPECT_EQ(two->Update(now_), Ids{});
    now_ += 1ms;
    EXPECT_EQ(two->Update(now_), Ids{2});
  }
}

TEST_F(OrderingKeyTurnsTest, ProcessThatEndsInAPause_HoldsItsKeyForOnePause) {
  auto one = StartProcess();
  const auto two = StartProcess();
  Take(*one, 1);
  one->Finish(1, now_ + kPause, now_);
  one.reset();
  EXPECT_FALSE(Take(*two, 2));
  now_ += kPause;
  EXPECT_EQ(two->Update(now_), Ids{2});
}

// The next process gets the same slot of the file.
TEST_F(OrderingKeyTurnsTest, KeysLeftBehind_HoldRequestsOfNextOwnerOfTheSlot) {
  auto one = StartProcess();
  Take(*one, 1);
  one->OnSent(1);
  one.reset();
  const auto next = StartProcess(), third = StartProcess();
  EXPECT_FALSE(Take(*next, 2));
  EXPECT_FALSE(Take(*third, 3));
  now_ += kAbandonTimeout + kPause;
  EXPECT_EQ(next->Update(now_), Ids{2});
  next->Finish(2, {}, now_);
  EXPECT_EQ(third->Update(now_), Ids{3});
}

TEST_F(OrderingKeyTurnsTest, KeysLeftBehind_AreRemovedOnceNobodyWaitsForThem) {
  auto one = StartProcess();
  const auto two = StartProcess();
  Take(*one, 1);
  one->OnSent(1);
  one.reset();
  two->Update(now_);
  now_ += kAbandonTimeout + kPause;
  two->Update(now_);
  const auto next = StartProcess();
  EXPECT_TRUE(Take(*next, 2));
}

// The other process looks before and after the life of a process in a slot that another one had left long
// ago.
TEST_F(OrderingKeyTurnsTest, ProcessThatNobodySaw_HoldsItsKeys) {
  auto one = StartProcess();
  const auto two = StartProcess();
  one.reset();
  two->Update(now_);
  now_ += kAbandonTimeout + kPause;
  two->Update(now_);
  one = StartProcess();
  Take(*one, 1);
  one->OnSent(1);
  one.reset();
  EXPECT_FALSE(Take(*two, 2));
}

TEST_F(OrderingKeyTurnsTest, KeysOfOneBucket_AreHeldAlikeAndAllRun) {
  const auto one = StartProcess(), two = StartProcess();
  EXPECT_TRUE(Take(*one, 1));
  EXPECT_FALSE(Take(*two, 2, CollidingKey()));
  EXPECT_FALSE(Take(*one, 3, CollidingKey()));
  one->Finish(1, {}, now_);
  EXPECT_EQ(two->Update(now_), Ids{2});
  two->Finish(2, {}, now_);
  EXPECT_EQ(one->Update(now_), Ids{3});
}

// An admission queue may pass the second request of a key to the module first. The module runs it first, so
// that it must not wait for another process that waits for the first one.
TEST_F(OrderingKeyTurnsTest, RequestsPassedInAnotherOrder_DontBlockEachOther) {
  const auto one = StartProcess(), two = StartProcess();
  one->Register(1, kKey);
  EXPECT_FALSE(Take(*two, 2));
  one->Register(3, kKey);
  EXPECT_TRUE(one->PassToModule(3, now_));
  EXPECT_TRUE(one->PassToModule(1, now_));
  one->Finish(1, {}, now_);  // its client has left
  EXPECT_EQ(two->Update(now_), Ids{}) << "request 3 may run already";
  one->Finish(3, {}, now_);
  EXPECT_EQ(two->Update(now_), Ids{2});
}

// The file is shared with other versions of the program: a counter of tickets, seven unused words, the number
// of owners of each of the eight slots, then the slots of 1,024 words. A word is the ticket times 4, plus 1
// (waiting), 2 (sent) or 3 (resting).
TEST_F(OrderingKeyTurnsTest, File_HasTheFormatOfOtherVersions) {
  const auto one = StartProcess(), two = StartProcess();
  Take(*one, 1);
  Take(*two, 2);
  one->OnSent(1);
  std::ifstream file(dir_ / "lemoncroft-order-1", std::ios::binary);
  std::vector<std::uint64_t> words(16 + 8 * 1024);
  file.read(reinterpret_cast<char*>(words.data()), static_cast<std::streamsize>(words.size() * 8));
  ASSERT_TRUE(file);
  EXPECT_EQ(file.peek(), EOF);
  constexpr std::size_t kBucket = 92;  // of key 5
  EXPECT_EQ(words[0], 2u);
  EXPECT_EQ(words[8], 1u);
  EXPECT_EQ(words[9], 1u);
  EXPECT_EQ(words[16 + kBucket], 1u * 4 + 2);
  EXPECT_EQ(words[16 + 1024 + kBucket], 2u * 4 + 1);
  EXPECT_EQ(std::count(words.begin(), words.end(), 0u), 16 + 8 * 1024 - 5);
}

// Random requests in up to three processes, which end in order or abruptly: never two of one key at once, in
// the order of arrival, and each has its turn in the end.
TEST_F(OrderingKeyTurnsTest, RandomRequests_RunOneAtATimeInOrderAndAllRun) {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    fs::remove_all(dir_);
    fs::create_directories(dir_);
    std::mt19937 random(seed);
    std::vector<std::unique_ptr<Turns>> processes(3);
    struct Waiting {
      RequestId id;
      std::size_t process;
      bool has_turn;
    };
    std::vector<Waiting> waiting;  // the front is the oldest
    RequestId next_id = 1;
    constexpr int kArrivalSteps = 60;
    // Each request may be followed by a pause, and by a second one if its process ends meanwhile.
    const int max_steps = kArrivalSteps * static_cast<int>(2 * kPause / 1ms);
    for (int step = 0; step < kArrivalSteps || !waiting.empty(); ++step) {
      ASSERT_LT(step, max_steps) << "seed " << seed << ": a request never has its turn";
      now_ += 1ms;
      const std::size_t p = random() % processes.size();
      if (!processes[p]) processes[p] = StartProcess();
      if (step < kArrivalSteps && random() % 2 == 0) {
        const RequestId id = next_id++;
        const bool has_turn = Take(*processes[p], id);
        waiting.push_back({id, p, has_turn});
      }
      for (const auto& process : processes) {
        if (!process) continue;
        for (const RequestId id : process->Update(now_))
          for (Waiting& w : waiting) w.has_turn = w.has_turn || w.id == id;
      }
      // The module of each process runs its own requests in order: only the first of a process may run.
      std::set<std::size_t> seen;
      std::vector<Waiting> running;
      for (const Waiting& w : waiting)
        if (seen.insert(w.process).second && w.has_turn) running.push_back(w);
      ASSERT_LE(running.size(), 1u) << "seed " << seed;
      if (running.empty() || random() % 3 != 0) continue;
      ASSERT_EQ(running[0].id, waiting[0].id) << "seed " << seed;
      const std::size_t owner = running[0].process;
      processes[owner]->OnSent(running[0].id);
      const bool uncertain = random() % 4 == 0;
      processes[owner]->Finish(running[0].id, uncertain ? now_ + kPause : runtime::Time(), now_);
      waiting.erase(waiting.begin());
      const bool has_others =
          std::any_of(waiting.begin(), waiting.end(), [&](const Waiting& w) { return w.process == owner; });
      if (!has_others && random() % 4 == 0) processes[owner].reset();
    }
  }
}

}  // namespace
}  // namespace lemoncroft

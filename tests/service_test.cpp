// Parts of the day-to-day service by themselves: calls, figures, marks that outlive a process.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "cli/config.h"
#include "handover/census.h"
#include "handover/hand_marks.h"
#include "management/call.h"
#include "membership/directory.h"
#include "settings/succession.h"
#include "telemetry/counters.h"

namespace lemoncroft {
namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;

TEST(Call, IsReadInPiecesOfAnySize) {
  const std::string text = "exclude s-00c41f7a\r\nrest";
  for (std::size_t cut = 0; cut < 20; ++cut) {
    management::LineReader reader;
    const auto first = reader.Feed(std::string_view(text).substr(0, cut));
    if (cut < 20) ASSERT_EQ(first, management::LineReader::State::kNeedMore) << cut;
    ASSERT_EQ(reader.Feed(std::string_view(text).substr(cut)), management::LineReader::State::kLine) << cut;
    const auto call = management::ReadCall(reader.line());
    ASSERT_TRUE(std::holds_alternative<management::Call>(call));
    EXPECT_EQ(std::get<management::Call>(call).verb, management::Verb::kExclude);
    EXPECT_EQ(std::get<management::Call>(call).engine, "s-00c41f7a");
  }
}

TEST(Call, IsBounded) {
  management::LineReader reader;
  EXPECT_EQ(reader.Feed(std::string(management::kLineMost, 'x')), management::LineReader::State::kNeedMore);
  EXPECT_EQ(reader.Feed("xx"), management::LineReader::State::kTooLong);
  EXPECT_LE(reader.line().size(), management::kLineMost + 1);
}

class Marks : public testing::Test {
 public:
  ~Marks() override { fs::remove_all(dir_); }

 protected:
  Marks() { fs::create_directories(dir_); }
  fs::path dir_ = fs::temp_directory_path() / ("marks-" + std::to_string(::getpid()));
};

TEST_F(Marks, AreSharedByTwoProcesses) {
  handover::HandMarks one(dir_), other(dir_);
  EXPECT_FALSE(other.Changed());
  EXPECT_TRUE(one.Out("a/../b"));
  EXPECT_TRUE(other.Changed());
  EXPECT_TRUE(other.Out("c"));
  EXPECT_EQ(one.Read()->out, (std::set<std::string>{"a/../b", "c"}));
  EXPECT_TRUE(other.Back("a/../b"));
  EXPECT_EQ(one.Read()->out, (std::set<std::string>{"c"}));
  EXPECT_EQ(one.Read()->returned.count("a/../b"), 1u);
  one.Sweep(std::chrono::system_clock::now() + 1h);
  EXPECT_TRUE(one.Read()->returned.empty());
  EXPECT_EQ(one.Read()->out.size(), 1u);
}

TEST_F(Marks, PassOverWhatIsNoneOfTheirs) {
  handover::HandMarks marks(dir_);
  ASSERT_TRUE(marks.Out("a"));
  const fs::path folder = dir_ / "lemoncroft-hand-1";
  for (const char* name : {"out-", "out-6", "out-zz", "out", "garbage", "back-"})
    std::ofstream(folder / name) << std::string(1000, '\0');
  fs::create_directory(folder / "out-61626364");
  fs::create_symlink("/nonexistent", folder / "out-6162");
  EXPECT_EQ(marks.Read()->out, (std::set<std::string>{"a"}));
  EXPECT_FALSE(marks.Out(std::string(handover::HandMarks::kIdMost + 1, 'x')));
}

TEST_F(Marks, AFolderThatCantBeMadeIsSaid) {
  std::ofstream(dir_ / "lemoncroft-hand-1") << "a file where the folder should be";
  handover::HandMarks marks(dir_);
  EXPECT_FALSE(marks.Out("a"));
  EXPECT_FALSE(marks.Read()) << "nothing is known, so nothing is lifted";
}

// The module warms an engine by its start; a return by hand counts as one, whatever the feed tells later.
class ByHand : public testing::Test {
 protected:
  void Feed(const std::string& phase, int up_since_ms) {
    const std::string n = std::to_string(++n_);
    directory_.Apply(
        codec::Json::Parse(
            R"({"n":)" + n + R"(,"events":[{"n":)" + n +
            R"(,"members":{"complete":false,"members":[{"id":"s","host_port":"127.0.0.1:80",)" +
            R"("phase":")" + phase + R"(","up_since_ms":)" + std::to_string(up_since_ms) + "}]}}]}"),
        tell_);
  }
  settings::InForce site_{settings::Site()};
  membership::Directory directory_{site_};
  EngineEntry told_;
  int n_ = 0, ended_ = 0;
  membership::Directory::Tell tell_ = [this](const EngineList& list) { told_ = list.entries->at(0); };
};

TEST_F(ByHand, AReturnIsColdHoweverOftenTheFeedTellsTheEngineAgain) {
  directory_.on_ended = [this](EngineId) { ++ended_; };
  Feed("Ready", 0);
  directory_.Exclude("s", tell_);
  EXPECT_EQ(told_.readiness, Readiness::kExcluded);
  EXPECT_FALSE(directory_.MaySend(told_.engine));
  Feed("Ready", 0);
  EXPECT_EQ(told_.readiness, Readiness::kExcluded);
  const auto back = std::chrono::system_clock::time_point(5s);
  directory_.Include("s", back, tell_);
  EXPECT_EQ(told_.readiness, Readiness::kReady);
  EXPECT_EQ(told_.started_at, 5'000'000'000);
  EXPECT_EQ(ended_, 1);
  Feed("Ready", 0);
  EXPECT_EQ(told_.started_at, 5'000'000'000);
  EXPECT_EQ(ended_, 1);  // its new connections stay
  Feed("Ready", 7000);   // a later start
  EXPECT_EQ(told_.started_at, 7'000'000'000);
  Feed("Gone", 7000);
  EXPECT_EQ(directory_.remembered(), 0u);
}

TEST_F(ByHand, AnotherProcesssWordIsTakenOver) {
  const auto back = std::chrono::system_clock::time_point(5s);
  directory_.TakeOver({"t"}, {{"s", back}}, tell_);
  Feed("Ready", 0);
  EXPECT_EQ(told_.started_at, 5'000'000'000);
  directory_.TakeOver({"s", "t"}, {}, tell_);
  EXPECT_EQ(told_.readiness, Readiness::kExcluded);
  EXPECT_EQ(directory_.Avoided({told_.engine, 77}), 1u);
  directory_.TakeOver({}, {{"s", back + 3s}}, tell_);
  EXPECT_EQ(told_.readiness, Readiness::kReady);
  EXPECT_EQ(told_.started_at, 8'000'000'000);
}

// ---- Settings that change ----

settings::Site SiteOf(const std::vector<std::pair<std::string, Nanos>>& classes,
                      const std::vector<std::string>& tenants = {"acme"}) {
  settings::Site site;
  for (const auto& [name, deadline] : classes) {
    site.classes.push_back(name);
    site.module.classes.emplace_back().deadline = deadline;
  }
  site.tenants = tenants;
  site.module.tenants.resize(tenants.size());
  return site;
}

using Names = std::vector<std::string>;

TEST(Succession, WhatStaysKeepsItsNumberInWhateverOrderItComes) {
  const auto next = Succeed(SiteOf({{"a", 1}, {"b", 2}}, {"x", "y"}),
                            SiteOf({{"c", 3}, {"b", 2}, {"a", 1}}, {"y", "z", "x"}), {});
  EXPECT_EQ(next.site.classes, (Names{"a", "b", "c"}));
  EXPECT_EQ(next.like, (std::vector<int>{0, 1, -1}));
  EXPECT_EQ(next.site.tenants, (Names{"x", "y", "z"}));
}

TEST(Succession, AClassThatChangesLeavesItsNumberToThoseThatCameWithIt) {
  const auto next = Succeed(SiteOf({{"a", 1}}), SiteOf({{"a", 9}}), {{0}, {0}});
  EXPECT_EQ(next.site.classes, (Names{"", "a"}));
  EXPECT_EQ(next.site.module.classes[0].deadline, 1);
  EXPECT_EQ(next.site.module.classes[1].deadline, 9);
  EXPECT_EQ(next.like, (std::vector<int>{0, 0})) << "it goes on from the old one's estimates";
  EXPECT_FALSE(next.site.ClassOf(""));
  EXPECT_EQ(next.site.ClassOf("a"), 1);
  // Once they have ended, the number is free; a class that comes takes it.
  const auto later = Succeed(next.site, SiteOf({{"b", 2}, {"a", 9}}), {{1}, {0}});
  EXPECT_EQ(later.site.classes, (Names{"b", "a"}));
  EXPECT_EQ(later.like, (std::vector<int>{-1, 1}));
}

TEST(Succession, ReloadsDoNotAddUp) {
  settings::Site site = SiteOf({{"a", 1}, {"b", 2}}, {"x"});
  for (int i = 0; i < 50; ++i) {
    const std::string n = std::to_string(i);
    const auto used = settings::Used{{static_cast<std::uint16_t>(*site.ClassOf("a"))}, {0}};
    site = Succeed(site, SiteOf({{"a", 100 + i}, {"c" + n, 2}}, {"x", "t" + n}), used).site;
    EXPECT_LE(site.classes.size(), 4u);
    EXPECT_LE(site.tenants.size(), 3u);
  }
  EXPECT_TRUE(settings::HasRetired(site));
  site = Succeed(site, settings::WithoutRetired(site), {}).site;
  EXPECT_EQ(std::count_if(site.module.classes.begin(), site.module.classes.end(),
                          [](const ClassSettings& c) { return c.deadline > 0; }),
            2);
}

TEST(Succession, KindsAndZonesKeepTheirNumbersAndAreBounded) {
  settings::Site from = SiteOf({{"a", 1}}), to = SiteOf({{"a", 1}});
  from.kinds = {"small", "large"};
  from.module.kinds = {{8, 1}, {12, 2}};
  to.kinds = {"huge", "large"};
  to.module.kinds = {{32, 4}, {16, 2}};
  to.module.classes[0].kinds = {1};
  const auto next = Succeed(from, to, {});
  EXPECT_EQ(next.site.kinds, (Names{"small", "large", "huge"}));
  EXPECT_EQ(next.site.module.kinds[1].cores, 16);
  EXPECT_EQ(next.site.module.kinds[2].cores, 32);
  EXPECT_EQ(next.site.module.classes[0].kinds, (std::vector<std::uint16_t>{1}));
  to.kinds.clear();
  for (int i = 0; i < 1500; ++i) to.kinds.push_back("k" + std::to_string(i));
  EXPECT_EQ(Succeed(from, to, {}).site.kinds.size(), 1502u);
  for (int i = 1500; i < 5000; ++i) to.kinds.push_back("k" + std::to_string(i));
  EXPECT_THROW(Succeed(from, to, {}), settings::SettingsError);
}

// ---- Files that are broken ----

constexpr const char* kFile =
    R"({"name":"n1","listen":"127.0.0.1:1","seed":"8c","limits":{"memory_mb":192,"sockets":1024},"feed":"",)"
    R"("known":{"n":1,"events":[]},"settings":{"tickNs":5000000,"requestClasses":[)"
    R"({"name":"a","promiseNs":6,"deadlineNs":30,"credit":1.0,"lateWorth":0.1,"effect":"pure"},)"
    R"({"name":"b","promiseNs":6,"deadlineNs":30,"credit":1.0,"lateWorth":0.1,"effect":"token"}],)"
    R"("tenants":[{"name":"acme","quotaPerS":1000}],"specifics":{"threadsByClass":[1,2]},)"
    R"("limits":{"maxAttempts":5,"connectTimeoutNs":250}}})";

bool Taken(const std::string& text) {
  try {
    const cli::Config config = cli::ReadConfig(text);
    cli::CheckFigures(config);
    cli::CheckShape(config, cli::ReadConfig(kFile));
    return true;
  } catch (const cli::ConfigError& e) {
    EXPECT_STRNE(e.what(), "");
    return false;
  }
}

TEST(Reload, TakesWhatIsWholeAndNothingCutOff) {
  const std::string file = kFile;
  EXPECT_TRUE(Taken(file));
  for (std::size_t size = 0; size < file.size(); ++size) EXPECT_FALSE(Taken(file.substr(0, size))) << size;
}

TEST(Reload, TurnsDownAFileShortOfAnyKey) {
  const std::string file = kFile;
  int keys = 0;
  for (std::size_t at = 0; (at = file.find("\":", at)) != std::string::npos; at += 2) {
    std::string renamed = file;
    renamed[at - 1] = '#';
    EXPECT_FALSE(Taken(renamed)) << renamed.substr(at - 10, 20);
    ++keys;
  }
  EXPECT_GT(keys, 25);
}

TEST(Reload, TurnsDownFiguresThatAreNone) {
  const auto with = [](const std::string& what, const std::string& by) {
    std::string file = kFile;
    file.replace(file.find(what), what.size(), by);
    return Taken(file);
  };
  for (const char* value :
       {"0", "-5", "1e30", "\"30\"", "null", "[30]", "{}", "true", "nan", "90000000000000"})
    EXPECT_FALSE(with("\"deadlineNs\":30", std::string("\"deadlineNs\":") + value)) << value;
  for (const char* value : {"0", "-1", "1.5", "1000000", "\"5\"", "null"})
    EXPECT_FALSE(with("\"maxAttempts\":5", std::string("\"maxAttempts\":") + value)) << value;
  EXPECT_FALSE(with("\"name\":\"b\"", "\"name\":\"a\"")) << "twice";
  EXPECT_FALSE(with("\"name\":\"b\"", "\"name\":\"\""));
  EXPECT_FALSE(with("\"name\":\"b\"", "\"name\":\"x y\""));
  EXPECT_FALSE(with("[1,2]", "[1]")) << "a class without a value";
  EXPECT_FALSE(with("\"quotaPerS\":1000", "\"quotaPerS\":-1"));
  EXPECT_FALSE(with("\"effect\":\"pure\"", "\"effect\":\"soft\""));
  EXPECT_TRUE(with("\"maxAttempts\":5", "\"maxAttempts\":2"));
}

// ---- Two processes ----

TEST(Shares, AddUpToNoMoreThanTheWhole) {
  for (std::size_t sockets : {384u, 512u, 1024u}) {
    const handover::Whole whole{sockets, sockets * 2 / 5, 57};
    const handover::Share alone = handover::Divide(whole, {}, {});
    EXPECT_EQ(alone.clients, whole.clients);
    EXPECT_EQ(alone.clients + alone.engines + whole.own, sockets);
    // Each in turn takes all that it may as it sees the other, from a start at which one has all or few
    // clients.
    for (const std::uint32_t clients : {0u, 30u, static_cast<std::uint32_t>(alone.clients)}) {
      handover::Holding held[2] = {{clients, static_cast<std::uint32_t>(alone.engines)}, {}};
      for (int turn = 0; turn < 10; ++turn) {
        const auto share = handover::Divide(whole, held[turn % 2], {1, held[1 - turn % 2]});
        EXPECT_GE(share.clients, whole.clients / 4);
        EXPECT_GE(share.engines, 16u);
        held[turn % 2] = {static_cast<std::uint32_t>(share.clients),
                          static_cast<std::uint32_t>(share.engines)};
      }
      const std::size_t sum = held[0].clients + held[1].clients + held[0].engines + held[1].engines;
      EXPECT_LE(sum + 2 * whole.own, sockets) << clients;
    }
  }
}

TEST(Shares, WhatTheOthersDoNotHoldIsFree) {
  const handover::Whole whole{384, 153, 57};
  const auto share = handover::Divide(whole, {20, 5}, {1, {30, 40}});
  EXPECT_EQ(share.clients, 123u);
  EXPECT_EQ(share.engines, 88u) << "384 - 2 x 57 - 50 - 76 = 144, less 40 and a margin of 16";
}

TEST(Shares, BudgetsAreDividedAmongThoseThatLetClientsIn) {
  const handover::Holding serves{1, 1, 1}, ends{1, 1, 0};
  EXPECT_EQ(handover::Parts(serves, {}), 1);
  EXPECT_EQ(handover::Parts(serves, {1, serves}), 2);
  EXPECT_EQ(handover::Parts(serves, {1, ends}), 1) << "an old one that only ends takes nothing new";
  EXPECT_EQ(handover::Parts(ends, {1, serves}), 1);
}

TEST_F(Marks, TheCensusCountsThoseThatLive) {
  handover::Census one(dir_);
  ASSERT_TRUE(one.counted());
  EXPECT_EQ(one.Look().processes, 0u);
  {
    const handover::Census other(dir_);
    other.Tell({7, 9, 1});
    EXPECT_EQ(one.Look().processes, 1u);
    EXPECT_EQ(one.Look().holding.clients, 7u);
    EXPECT_EQ(one.Look().holding.engines, 9u);
    EXPECT_EQ(one.Look().holding.serves, 1u);
    const handover::Census third(dir_);
    EXPECT_EQ(one.Look().processes, 2u);
    EXPECT_EQ(third.Look().holding.clients, 7u);
  }
  EXPECT_EQ(one.Look().processes, 0u) << "what the dead have left counts for nothing";
}

TEST_F(Marks, ACensusWithoutAFileCountsNobody) {
  const handover::Census census(dir_ / "nowhere");
  EXPECT_FALSE(census.counted());
  census.Tell({1, 1});
  EXPECT_EQ(census.Look().processes, 0u);
}

TEST(Counters, AreBounded) {
  telemetry::Counters counters;
  for (int i = 0; i < 10'000; ++i) counters.Taken("class-" + std::to_string(i));
  EXPECT_EQ(counters.classes().size(), telemetry::Counters::kClassesMost);
}

}  // namespace
}  // namespace lemoncroft

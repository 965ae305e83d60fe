// Operators' calls, settings that replace others while requests are in flight, and checks of configuration
// files.
#include <gtest/gtest.h>

#include <algorithm>

#include "admin/call.h"
#include "cli/config.h"
#include "metrics/counters.h"
#include "settings/succession.h"

namespace lemoncroft {
namespace {

TEST(Call, IsReadInPiecesOfAnySize) {
  const std::string text = "exclude s-00c41f7a\r\nrest";
  for (std::size_t cut = 0; cut < 20; ++cut) {
    admin::LineReader reader;
    const auto first = reader.Feed(std::string_view(text).substr(0, cut));
    if (cut < 20) {
      ASSERT_EQ(first, admin::LineReader::State::kNeedMore) << cut;
    }
    ASSERT_EQ(reader.Feed(std::string_view(text).substr(cut)), admin::LineReader::State::kLine) << cut;
    const auto call = admin::ReadCall(reader.line());
    ASSERT_TRUE(std::holds_alternative<admin::Call>(call));
    EXPECT_EQ(std::get<admin::Call>(call).verb, admin::Verb::kExclude);
    EXPECT_EQ(std::get<admin::Call>(call).engine, "s-00c41f7a");
  }
}

TEST(Call, IsBounded) {
  admin::LineReader reader;
  EXPECT_EQ(reader.Feed(std::string(admin::kLineMost, 'x')), admin::LineReader::State::kNeedMore);
  EXPECT_EQ(reader.Feed("xx"), admin::LineReader::State::kTooLong);
  EXPECT_LE(reader.line().size(), admin::kLineMost + 1);
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

TEST(Counters, AreBounded) {
  metrics::Counters counters;
  for (int i = 0; i < 10'000; ++i) counters.Taken("class-" + std::to_string(i));
  EXPECT_EQ(counters.classes().size(), metrics::Counters::kClassesMost);
}

}  // namespace
}  // namespace lemoncroft

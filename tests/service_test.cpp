// Operators' commands, the validation of configuration files at a reload, and the bound on counted classes.
#include <gtest/gtest.h>

#include <algorithm>

#include "admin/command.h"
#include "metrics/counters.h"
#include "proxy/config.h"

namespace lemoncroft {
namespace {

TEST(AdminCommand, Line_InPiecesOfAnySize_IsRead) {
  const std::string text = "exclude s-00c41f7a\r\nrest";
  for (std::size_t cut = 0; cut < 20; ++cut) {
    admin::LineReader reader;
    const auto first = reader.Feed(std::string_view(text).substr(0, cut));
    if (cut < 20) {
      ASSERT_EQ(first, admin::LineReader::State::kNeedMore) << cut;
    }
    ASSERT_EQ(reader.Feed(std::string_view(text).substr(cut)), admin::LineReader::State::kLine) << cut;
    const auto command = admin::ParseCommand(reader.line());
    ASSERT_TRUE(command.has_value());
    EXPECT_EQ(command->type, admin::CommandType::kEject);
    EXPECT_EQ(command->engine, "s-00c41f7a");
  }
}

TEST(AdminCommand, Line_TooLong_IsRejectedAndBounded) {
  admin::LineReader reader;
  EXPECT_EQ(reader.Feed(std::string(admin::kMaxLineBytes, 'x')), admin::LineReader::State::kNeedMore);
  EXPECT_EQ(reader.Feed("xx"), admin::LineReader::State::kTooLong);
  EXPECT_LE(reader.line().size(), admin::kMaxLineBytes + 1);
}

// ---- Configuration files ----

constexpr const char* kConfigFile =
    R"({"name":"n1","listen":"127.0.0.1:1","seed":"8c","limits":{"memory_mb":192,"sockets":1024},"feed":"",)"
    R"("known":{"n":1,"events":[]},"settings":{"tickNs":5000000,"requestClasses":[)"
    R"({"name":"a","promiseNs":6,"deadlineNs":30,"credit":1.0,"lateWorth":0.1,"effect":"pure"},)"
    R"({"name":"b","promiseNs":6,"deadlineNs":30,"credit":1.0,"lateWorth":0.1,"effect":"token"}],)"
    R"("tenants":[{"name":"acme","quotaPerS":1000}],"specifics":{"threadsByClass":[1,2]},)"
    R"("limits":{"maxAttempts":5,"connectTimeoutNs":250}}})";

// Returns true if a reload accepts the configuration file `text`.
bool IsAccepted(const std::string& text) {
  try {
    const proxy::Config config = proxy::ReadConfig(text);
    proxy::CheckSettings(config);
    proxy::CheckShape(config, proxy::ReadConfig(kConfigFile));
    return true;
  } catch (const proxy::ConfigError& e) {
    EXPECT_STRNE(e.what(), "");
    return false;
  }
}

TEST(ConfigReload, File_TruncatedAtAnyByte_IsRejected) {
  const std::string file = kConfigFile;
  EXPECT_TRUE(IsAccepted(file));
  for (std::size_t size = 0; size < file.size(); ++size)
    EXPECT_FALSE(IsAccepted(file.substr(0, size))) << size;
}

TEST(ConfigReload, File_WithAnyKeyMissing_IsRejected) {
  const std::string file = kConfigFile;
  int keys = 0;
  for (std::size_t at = 0; (at = file.find("\":", at)) != std::string::npos; at += 2) {
    std::string renamed = file;
    renamed[at - 1] = '#';
    EXPECT_FALSE(IsAccepted(renamed)) << renamed.substr(at - 10, 20);
    ++keys;
  }
  EXPECT_GT(keys, 25);
}

TEST(ConfigReload, Value_InvalidOrOutOfRange_IsRejected) {
  const auto accepts_with = [](const std::string& from, const std::string& to) {
    std::string file = kConfigFile;
    file.replace(file.find(from), from.size(), to);
    return IsAccepted(file);
  };
  for (const char* value :
       {"0", "-5", "1e30", "\"30\"", "null", "[30]", "{}", "true", "nan", "90000000000000"})
    EXPECT_FALSE(accepts_with("\"deadlineNs\":30", std::string("\"deadlineNs\":") + value)) << value;
  for (const char* value : {"0", "-1", "1.5", "1000000", "\"5\"", "null"})
    EXPECT_FALSE(accepts_with("\"maxAttempts\":5", std::string("\"maxAttempts\":") + value)) << value;
  EXPECT_FALSE(accepts_with("\"name\":\"b\"", "\"name\":\"a\"")) << "a name given twice";
  EXPECT_FALSE(accepts_with("\"name\":\"b\"", "\"name\":\"\""));
  EXPECT_FALSE(accepts_with("\"name\":\"b\"", "\"name\":\"x y\""));
  EXPECT_FALSE(accepts_with("[1,2]", "[1]")) << "a class without a number of threads";
  EXPECT_FALSE(accepts_with("\"quotaPerS\":1000", "\"quotaPerS\":-1"));
  EXPECT_FALSE(accepts_with("\"effect\":\"pure\"", "\"effect\":\"soft\""));
  EXPECT_TRUE(accepts_with("\"maxAttempts\":5", "\"maxAttempts\":2"));
}

TEST(Counters, Classes_BeyondLimit_AreNotListed) {
  metrics::Counters counters;
  for (int i = 0; i < 10'000; ++i) counters.CountReceived("class-" + std::to_string(i));
  EXPECT_EQ(counters.classes().size(), metrics::Counters::kMaxClasses);
}

}  // namespace
}  // namespace lemoncroft

// Tests of the configuration document (text, successors, compatibility) and of the history checkers that
// fault tests use.
#include "replicated_config/document.h"

#include <gtest/gtest.h>

#include "testing/fault_test/lease_history.h"

namespace lemoncroft {
namespace {

using namespace replicated_config;
using namespace std::chrono_literals;

Document ParseValid(std::string_view text) {
  const auto parsed = ParseDocument(text);
  if (!parsed) ADD_FAILURE() << parsed.error().Text();
  return parsed.value_or(Document());
}
std::string ParseErrorText(std::string_view text) {
  const auto parsed = ParseDocument(text);
  return parsed ? "no error" : parsed.error().Text();
}
// Returns the text of an error, or an empty text for success.
template <typename Checked>
std::string ErrorText(const Checked& checked) {
  return checked ? std::string() : checked.error().Text();
}

constexpr const char* kCompleteText = R"(attempts 3
open-most 900
further-attempts free=2 ratio=0.1 over="10s"
class "lookup" { effect "token"; group "zone"; repeat-window "1500us" }
tenant "acme" { quota 12.5 }
team "acme" { cores 4; burst "1s"; threads 3; waiting 50 }
out "e7" "e8"
cut-off "10s" { class "lookup"; engine "e1" }
)";

TEST(ConfigDocument, RoundTrip) {
  const Document document = ParseValid(kCompleteText);
  EXPECT_EQ(ParseValid(SerializeDocument(document)), document);
  EXPECT_EQ(SerializeDocument(ParseValid(SerializeDocument(document))), SerializeDocument(document));
  EXPECT_EQ(document.classes.at("lookup").repeat_window, Duration(1500us));
  EXPECT_EQ(ParseValid(""), Document());
}

TEST(ConfigDocument, InvalidText_ErrorNamesFault) {
  EXPECT_NE(ParseErrorText("attempts 0").find("not from 1 to 100"), std::string::npos);
  EXPECT_NE(ParseErrorText("colour 1").find("not known here"), std::string::npos);
  EXPECT_NE(ParseErrorText("class \"a\" { effect \"maybe\" }").find("none of those"), std::string::npos);
  EXPECT_NE(ParseErrorText("class \"a\" {}; class \"a\" {}").find("given twice"), std::string::npos);
  EXPECT_NE(ParseErrorText("out \"e1\"\ncut-off \"5s\" { class \"a\"; engine \"e1\" }").find("out by hand"),
            std::string::npos);
  EXPECT_NE(ParseErrorText("tenant \"two words\" {}").find("plain characters"), std::string::npos);
  EXPECT_NE(ParseErrorText(std::string(10 << 20, ' ')), "no error") << "a document of 10 MB";
  std::string many;
  for (int i = 0; i < 5000; ++i) many += "tenant \"t" + std::to_string(i) + "\" { quota 1 }\n";
  EXPECT_NE(ParseErrorText(many).find("at most 4096"), std::string::npos);
}

TEST(ConfigDocument, SuccessorAffectsIsolatedProxies_Conflicts) {
  const Document from = ParseValid(kCompleteText);
  EXPECT_EQ(ErrorText(CheckSuccessor(from, ParseValid(std::string(kCompleteText) + "tenant \"b\" {}"))), "");
  Document out = from;
  out.ejected_engines.insert("e1");
  EXPECT_NE(ErrorText(CheckSuccessor(from, out)).find("engine 'e1'"), std::string::npos);
  Document changed = from;
  changed.classes["lookup"].effect = Effect::kSafe;
  EXPECT_NE(ErrorText(CheckSuccessor(from, changed)).find("class 'lookup'"), std::string::npos);
  changed.isolation = {};
  EXPECT_NE(ErrorText(CheckSuccessor(from, changed)), "") << "removed from `cut-off` and changed in one step";
}

TEST(ConfigDocument, Differences_AreReportedByLine) {
  Document to = ParseValid(kCompleteText);
  to.max_attempts = 4;
  to.ejected_engines = {"e8", "e9"};
  EXPECT_EQ(Differences(ParseValid(kCompleteText), to),
            (std::vector<std::string>{"~ attempts: 3 -> 4", "- out e7", "+ out e9"}));
}

TEST(ConfigDocument, Errors_ContainPlaceAndCause) {
  const auto syntax_error = ParseDocument("attempts 1\nclass \"a\" {");
  ASSERT_FALSE(syntax_error.has_value());
  EXPECT_TRUE(syntax_error.error().is_syntax_error);
  ASSERT_EQ(syntax_error.error().faults.size(), 1u);
  EXPECT_EQ(syntax_error.error().faults[0].line, 2);
  EXPECT_EQ(syntax_error.error().Text().rfind("line 2, column ", 0), 0u) << syntax_error.error().Text();
  const auto content_error = ParseDocument("attempts 0\n  colour 1");
  ASSERT_FALSE(content_error.has_value());
  EXPECT_FALSE(content_error.error().is_syntax_error);
  ASSERT_EQ(content_error.error().faults.size(), 2u);
  EXPECT_EQ(content_error.error().faults[1].line, 2);
  EXPECT_NE(content_error.error().Text().find("\nrules:2:3: "), std::string::npos)
      << content_error.error().Text();
  settings::Site own;
  own.module.max_attempts = 3;
  const auto incompatible = CheckCompatible(ParseValid("attempts 4"), own, nullptr);
  ASSERT_FALSE(incompatible.has_value());
  EXPECT_EQ(incompatible.error().cause, IncompatibleDocument::Cause::kMaxAttempts);
  EXPECT_EQ(incompatible.error().supported, 3u);
  EXPECT_EQ(incompatible.error().requested, 4u);
}

TEST(ConfigDocument, IncompatibleSettings_ErrorNamesCause) {
  settings::Site own;
  own.classes = {"lookup"};
  own.tenants = {"acme"};
  own.module.classes.resize(1);
  own.module.tenants.resize(1);
  own.module.max_attempts = 3;
  EXPECT_EQ(ErrorText(CheckCompatible(ParseValid("attempts 3"), own, nullptr)), "");
  EXPECT_NE(ErrorText(CheckCompatible(ParseValid("attempts 4"), own, nullptr)).find("allow 3 attempts"),
            std::string::npos);
  EXPECT_NE(ErrorText(CheckCompatible(ParseValid("format 2"), own, nullptr)).find("reads format 1"),
            std::string::npos);
  EXPECT_NE(
      ErrorText(CheckCompatible(ParseValid("class \"report\" {}"), own, nullptr)).find("no class 'report'"),
      std::string::npos);
  EXPECT_NE(ErrorText(CheckCompatible(ParseValid("team \"acme\" { cores 1 }"), own, nullptr))
                .find("no waiting line"),
            std::string::npos);
  const settings::Site applied = ApplyDocument(
      ParseValid("attempts 2\nclass \"lookup\" { effect \"side_effect\" }\ntenant \"acme\" { quota 7 }"),
      own);
  EXPECT_EQ(applied.module.max_attempts, 2);
  EXPECT_EQ(applied.module.classes[0].effect, Effect::kUnsafe);
  EXPECT_EQ(applied.module.tenants[0].quota_per_s, 7);
}

// ---- Checkers of the fault tests' histories ----

using fault_test::LinearizabilityResult;
using fault_test::Operation;

Operation Op(Operation::Kind kind, int invoked, int returned, std::uint64_t base_version,
             Operation::Result result, std::uint64_t version) {
  Operation op;
  op.kind = kind;
  op.invoked = runtime::Time(std::chrono::milliseconds(invoked));
  op.returned = returned < 0 ? runtime::kNever : runtime::Time(std::chrono::milliseconds(returned));
  op.base_version = base_version;
  op.result = result;
  op.version = version;
  return op;
}

TEST(Linearizability, StaleReadOrLostUpdate_IsNotLinearizable) {
  using Kind = Operation::Kind;
  using Result = Operation::Result;
  const Operation first = Op(Kind::kChange, 0, 10, 0, Result::kCommitted, 1);
  EXPECT_EQ(fault_test::CheckLinearizability({first, Op(Kind::kRead, 20, 30, 0, Result::kCommitted, 1)}),
            LinearizabilityResult::kLinearizable);
  EXPECT_EQ(fault_test::CheckLinearizability({first, Op(Kind::kRead, 20, 30, 0, Result::kCommitted, 0)}),
            LinearizabilityResult::kNotLinearizable)
      << "a stale read";
  EXPECT_EQ(fault_test::CheckLinearizability({first, Op(Kind::kRead, 5, 30, 0, Result::kCommitted, 0)}),
            LinearizabilityResult::kLinearizable)
      << "the read overlaps the change";
  EXPECT_EQ(fault_test::CheckLinearizability({first, Op(Kind::kChange, 5, 15, 0, Result::kCommitted, 1)}),
            LinearizabilityResult::kNotLinearizable)
      << "a lost update";
  EXPECT_EQ(fault_test::CheckLinearizability({first, Op(Kind::kChange, 20, 30, 0, Result::kConflict, 1)}),
            LinearizabilityResult::kLinearizable);
  EXPECT_EQ(fault_test::CheckLinearizability({first, Op(Kind::kChange, 20, 30, 1, Result::kConflict, 1)}),
            LinearizabilityResult::kNotLinearizable);
  const Operation unknown = Op(Kind::kChange, 20, -1, 1, Result::kUnknown, 0);
  EXPECT_EQ(
      fault_test::CheckLinearizability({first, unknown, Op(Kind::kRead, 30, 40, 0, Result::kCommitted, 2)}),
      LinearizabilityResult::kLinearizable);
  EXPECT_EQ(
      fault_test::CheckLinearizability({first, unknown, Op(Kind::kRead, 30, 40, 0, Result::kCommitted, 2),
                                        Op(Kind::kRead, 50, 60, 0, Result::kCommitted, 1)}),
      LinearizabilityResult::kNotLinearizable)
      << "a change that one read has seen must be visible to all later reads";
}

TEST(LeaseHistory, StaleActionOrEjectedEngine_IsAViolation) {
  const auto line = [](const char* act, int version, const char* engine, int ms) {
    return " debug rules act=" + std::string(act) + " version=" + std::to_string(version) +
           " class=lookup engine=" + engine + " mono_us=" + std::to_string(1000 * ms);
  };
  fault_test::LeaseHistory leases;
  leases.RecordLogLine(0, "n0", line("send", 1, "e1", 100));
  leases.RecordLogLine(1, "n1", line("send", 2, "e1", 200));
  leases.RecordLogLine(0, "n0", line("send", 1, "e1", 900));
  EXPECT_EQ(leases.Check(1200ms).stale_actions, 0u);
  EXPECT_DOUBLE_EQ(leases.Check(1200ms).max_contradiction_ms, 700);
  leases.RecordLogLine(0, "n0", line("kept", 1, "e1", 5000));
  EXPECT_EQ(leases.Check(1200ms).stale_actions, 0u);
  leases.RecordLogLine(0, "n0", line("again", 1, "e2", 1500));
  EXPECT_EQ(leases.Check(1200ms).stale_actions, 1u);
  leases.manual_ejections.push_back({"e1", true, 2});
  EXPECT_EQ(leases.Check(2s).violations.size(), 1u) << "an action under version 2 used the ejected engine e1";
}

fault_test::ManualEjection EjectionCall(const char* proxy, bool ejected, std::uint64_t version, int from_ms,
                                        int to_ms) {
  const auto at = [](int ms) { return runtime::Time(std::chrono::milliseconds(ms)); };
  return {"e1", ejected, version, proxy, at(from_ms), at(to_ms)};
}

// A return that was answered "later" has no version in its answer; the proxy's next change has it.
TEST(LeaseHistory, EjectionEndedByAWaitingReturn_EndsWithTheNextChangeOfItsProxy) {
  const auto send = [](int version, int ms) {
    return " debug rules act=send version=" + std::to_string(version) +
           " class=lookup engine=e1 mono_us=" + std::to_string(1000 * ms);
  };
  const auto commit = [](int version, const char* change) {
    return " info rules: version " + std::to_string(version) + " is committed, change " + change +
           " mono_us=1";
  };
  fault_test::LeaseHistory leases;
  leases.manual_ejections.push_back(EjectionCall("n1", true, 2, 1000, 1100));
  leases.manual_ejections.push_back(EjectionCall("n2", false, 0, 1050, 1900));
  leases.RecordLogLine(0, "n1", commit(3, "n3-1-1"));
  leases.RecordLogLine(0, "n1", commit(4, "n2-1-1"));
  leases.RecordLogLine(1, "n2", send(4, 2000));
  EXPECT_TRUE(leases.Check(1200ms).violations.empty());
  leases.RecordLogLine(2, "n3", send(3, 1950));
  EXPECT_EQ(leases.Check(1200ms).violations.size(), 1u) << "version 3 ejects the engine";
}

TEST(LeaseHistory, SendAfterAnAcknowledgedEjection_IsAViolation) {
  const auto line = [](int ms) {
    return " debug rules act=send version=1 class=lookup engine=e1 mono_us=" + std::to_string(1000 * ms);
  };
  fault_test::LeaseHistory leases;
  leases.manual_ejections.push_back(EjectionCall("n1", true, 0, 1000, 1100));
  leases.RecordLogLine(0, "n1", line(1050));
  leases.RecordLogLine(1, "n2", line(2000));
  EXPECT_TRUE(leases.Check(1200ms).violations.empty()) << "n2 was not told";
  leases.RecordLogLine(2, "n1", line(3000));
  EXPECT_EQ(leases.Check(1200ms).violations.size(), 1u) << "a successor of n1 uses the engine";
  leases.manual_ejections.push_back(EjectionCall("n2", false, 2, 2500, 2600));
  EXPECT_TRUE(leases.Check(1200ms).violations.empty()) << "the ejection was ended before";
  EXPECT_FALSE(leases.LastManualEjections().at(0).ejected);
}

}  // namespace
}  // namespace lemoncroft

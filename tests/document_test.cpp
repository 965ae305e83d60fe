// The document of rules: its text, what follows what, what a proxy can't carry; and the checks of histories.
#include "replicated_config/document.h"

#include <gtest/gtest.h>

#include "testing/fault_test/acts.h"

namespace lemoncroft {
namespace {

using namespace replicated_config;
using namespace std::chrono_literals;

Document Good(std::string_view text) {
  const auto read = ParseDocument(text);
  if (const auto* wrong = std::get_if<std::string>(&read)) ADD_FAILURE() << *wrong;
  return std::holds_alternative<Document>(read) ? std::get<Document>(read) : Document();
}
std::string Wrong(std::string_view text) {
  const auto read = ParseDocument(text);
  return std::holds_alternative<std::string>(read) ? std::get<std::string>(read) : "nothing is wrong";
}

constexpr const char* kWhole = R"(attempts 3
open-most 900
further-attempts free=2 ratio=0.1 over="10s"
class "lookup" { effect "token"; group "zone"; repeat-window "1500us" }
tenant "acme" { quota 12.5 }
team "acme" { cores 4; burst "1s"; threads 3; waiting 50 }
out "e7" "e8"
cut-off "10s" { class "lookup"; engine "e1" }
)";

TEST(ConfigDocumentTest, ItsTextComesBackAsItWas) {
  const Document document = Good(kWhole);
  EXPECT_EQ(Good(SerializeDocument(document)), document);
  EXPECT_EQ(SerializeDocument(Good(SerializeDocument(document))), SerializeDocument(document));
  EXPECT_EQ(document.classes.at("lookup").repeat_window, Span(1500us));
  EXPECT_EQ(Good(""), Document());
}

TEST(ConfigDocumentTest, WhatIsWrongIsTold) {
  EXPECT_NE(Wrong("attempts 0").find("not from 1 to 100"), std::string::npos);
  EXPECT_NE(Wrong("colour 1").find("not known here"), std::string::npos);
  EXPECT_NE(Wrong("class \"a\" { effect \"maybe\" }").find("none of those"), std::string::npos);
  EXPECT_NE(Wrong("class \"a\" {}; class \"a\" {}").find("given twice"), std::string::npos);
  EXPECT_NE(Wrong("out \"e1\"\ncut-off \"5s\" { class \"a\"; engine \"e1\" }").find("out by hand"),
            std::string::npos);
  EXPECT_NE(Wrong("tenant \"two words\" {}").find("plain characters"), std::string::npos);
  EXPECT_NE(Wrong(std::string(10 << 20, ' ')), "nothing is wrong") << "a document of 10 MB";
  std::string many;
  for (int i = 0; i < 5000; ++i) many += "tenant \"t" + std::to_string(i) + "\" { quota 1 }\n";
  EXPECT_NE(Wrong(many).find("at most 4096"), std::string::npos);
}

TEST(ConfigDocumentTest, WhoIsCutOffMayGoOnOnlyByWhatNoSuccessorChanges) {
  const Document from = Good(kWhole);
  EXPECT_EQ(CheckSuccessor(from, Good(std::string(kWhole) + "tenant \"b\" {}")), "");
  Document out = from;
  out.ejected_engines.insert("e1");
  EXPECT_NE(CheckSuccessor(from, out).find("engine 'e1'"), std::string::npos);
  Document changed = from;
  changed.classes["lookup"].effect = Effect::kSafe;
  EXPECT_NE(CheckSuccessor(from, changed).find("class 'lookup'"), std::string::npos);
  changed.isolation = {};
  EXPECT_NE(CheckSuccessor(from, changed), "") << "taken from `cut-off` and changed at once";
}

TEST(ConfigDocumentTest, DifferencesAreToldByLine) {
  Document to = Good(kWhole);
  to.max_attempts = 4;
  to.ejected_engines = {"e8", "e9"};
  EXPECT_EQ(Differences(Good(kWhole), to),
            (std::vector<std::string>{"~ attempts: 3 -> 4", "- out e7", "+ out e9"}));
}

TEST(ConfigDocumentTest, WhatAProxyCantCarryIsToldByItsOwnSettings) {
  settings::Site own;
  own.classes = {"lookup"};
  own.tenants = {"acme"};
  own.module.classes.resize(1);
  own.module.tenants.resize(1);
  own.module.max_attempts = 3;
  EXPECT_EQ(CheckCompatible(Good("attempts 3"), own, nullptr), "");
  EXPECT_NE(CheckCompatible(Good("attempts 4"), own, nullptr).find("allow 3 attempts"), std::string::npos);
  EXPECT_NE(CheckCompatible(Good("format 2"), own, nullptr).find("reads format 1"), std::string::npos);
  EXPECT_NE(CheckCompatible(Good("class \"report\" {}"), own, nullptr).find("no class 'report'"),
            std::string::npos);
  EXPECT_NE(CheckCompatible(Good("team \"acme\" { cores 1 }"), own, nullptr).find("no waiting line"),
            std::string::npos);
  const settings::Site applied = ApplyDocument(
      Good("attempts 2\nclass \"lookup\" { effect \"side_effect\" }\ntenant \"acme\" { quota 7 }"), own);
  EXPECT_EQ(applied.module.max_attempts, 2);
  EXPECT_EQ(applied.module.classes[0].effect, Effect::kUnsafe);
  EXPECT_EQ(applied.module.tenants[0].quota_per_s, 7);
}

// ---- The checker of trials ----

using fault_test::Linear;
using fault_test::Operation;

Operation Op(Operation::Kind kind, int begun, int ended, std::uint64_t from, Operation::End end,
             std::uint64_t told) {
  Operation op;
  op.kind = kind;
  op.begun = runtime::Time(std::chrono::milliseconds(begun));
  op.ended = ended < 0 ? runtime::kNever : runtime::Time(std::chrono::milliseconds(ended));
  op.from = from;
  op.end = end;
  op.told = told;
  return op;
}

TEST(Linearizable, TellsHistoriesApart) {
  using K = Operation::Kind;
  using E = Operation::End;
  const Operation first = Op(K::kChange, 0, 10, 0, E::kTaken, 1);
  EXPECT_EQ(fault_test::Linearizable({first, Op(K::kRead, 20, 30, 0, E::kTaken, 1)}), Linear::kYes);
  EXPECT_EQ(fault_test::Linearizable({first, Op(K::kRead, 20, 30, 0, E::kTaken, 0)}), Linear::kNo)
      << "a stale read";
  EXPECT_EQ(fault_test::Linearizable({first, Op(K::kRead, 5, 30, 0, E::kTaken, 0)}), Linear::kYes)
      << "it overlaps";
  EXPECT_EQ(fault_test::Linearizable({first, Op(K::kChange, 5, 15, 0, E::kTaken, 1)}), Linear::kNo)
      << "a lost edit";
  EXPECT_EQ(fault_test::Linearizable({first, Op(K::kChange, 20, 30, 0, E::kConflict, 1)}), Linear::kYes);
  EXPECT_EQ(fault_test::Linearizable({first, Op(K::kChange, 20, 30, 1, E::kConflict, 1)}), Linear::kNo);
  const Operation unknown = Op(K::kChange, 20, -1, 1, E::kUnknown, 0);
  EXPECT_EQ(fault_test::Linearizable({first, unknown, Op(K::kRead, 30, 40, 0, E::kTaken, 2)}), Linear::kYes);
  EXPECT_EQ(fault_test::Linearizable({first, unknown, Op(K::kRead, 30, 40, 0, E::kTaken, 2),
                                      Op(K::kRead, 50, 60, 0, E::kTaken, 1)}),
            Linear::kNo)
      << "once seen it stays";
}

TEST(Acts, FindsAContradictionAndAnEngineThatIsOut) {
  const auto line = [](const char* act, int version, const char* engine, int ms) {
    return " debug rules act=" + std::string(act) + " version=" + std::to_string(version) +
           " class=lookup engine=" + engine + " mono_us=" + std::to_string(1000 * ms);
  };
  fault_test::Acts acts;
  acts.Hear(0, line("send", 1, "e1", 100));
  acts.Hear(1, line("send", 2, "e1", 200));
  acts.Hear(0, line("send", 1, "e1", 900));
  EXPECT_EQ(acts.Check(1200ms).stale, 0u);
  EXPECT_DOUBLE_EQ(acts.Check(1200ms).contradiction_ms, 700);
  acts.Hear(0, line("kept", 1, "e1", 5000));
  EXPECT_EQ(acts.Check(1200ms).stale, 0u);
  acts.Hear(0, line("again", 1, "e2", 1500));
  EXPECT_EQ(acts.Check(1200ms).stale, 1u);
  acts.by_hand.push_back({"e1", true, 2});
  EXPECT_EQ(acts.Check(2s).broken.size(), 1u) << "an act of version 2 went to e1";
}

}  // namespace
}  // namespace lemoncroft

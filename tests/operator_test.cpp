// The operator's file: the KDL parser, and the typed and checked settings above it.
#include <gtest/gtest.h>

#include "codec/kdl.h"
#include "operator_config/operator_file.h"

namespace lemoncroft {
namespace {

using codec::KdlNode;
using codec::ParseKdl;

std::string Describe(const KdlNode& node) {
  std::string out = node.type.empty() ? node.name : "(" + node.type + ")" + node.name;
  const auto value = [](const codec::KdlValue& v) {
    const std::string type = v.type.empty() ? "" : "(" + v.type + ")";
    if (v.kind == codec::KdlValue::Kind::kString) return type + "'" + v.text + "'";
    if (v.kind == codec::KdlValue::Kind::kNumber) return type + std::to_string(v.number);
    return type + (v.kind == codec::KdlValue::Kind::kNull ? "null" : v.boolean ? "true" : "false");
  };
  for (const auto& v : node.arguments) out += " " + value(v);
  for (const auto& [name, v] : node.properties) out += " " + name + "=" + value(v);
  if (node.children.empty()) return out;
  out += " {";
  for (const KdlNode& child : node.children) out += " " + Describe(child) + ";";
  return out + " }";
}

std::string Describe(std::string_view text) {
  std::string out;
  try {
    for (const KdlNode& node : ParseKdl(text)) out += (out.empty() ? "" : " | ") + Describe(node);
  } catch (const codec::KdlError& e) {
    return e.what();
  }
  return out;
}

TEST(Kdl, ValidDocument_IsParsed) {
  const std::pair<const char*, const char*> cases[] = {
      {"", ""},
      {"a; b\nc", "a | b | c"},
      {"a 1 \"x\" k=2 y", "a 1.000000 'x' 'y' k=2.000000"},
      {"a k=1 k=2", "a k=2.000000"},
      {"a { b { c 1; }; d }", "a { b { c 1.000000; }; d; }"},
      {"(t)a (u)1 k=(v)\"x\"", "(t)a (u)1.000000 k=(v)'x'"},
      {"a 0x1F 0o17 0b101 1_000 -1.5e3 +2",
       "a 31.000000 15.000000 5.000000 1000.000000 -1500.000000 2.000000"},
      {"a #true #false #null #inf", "a true false null inf"},
      {"a /* x /* y */ z */ 1 // end\nb", "a 1.000000 | b"},
      {"/-a 1 { b }\nc /-1 2 /-{ d } { e }", "c 2.000000 { e; }"},
      {"a \\ // on\n  1", "a 1.000000"},
      {"a \"q\\\"\\n\\t\\u{48}\\s|\\   |\"", "a 'q\"\n\tH ||'"},
      {"a #\"raw \\n \"x\" \"#", "a 'raw \\n \"x\" '"},
      {"a \"\"\"\n    one\n      two\n\n    three\n    \"\"\"", "a 'one\n  two\n\nthree'"},
      {"\"quoted name\" \"k k\"=1", "quoted name k k=1.000000"},
      {"\xef\xbb\xbf"
       "a\r\nb\xc2\x85"
       "c",
       "a | b | c"},
      {"-a .b +", "-a '.b' '+'"},
  };
  for (const auto& [text, expected] : cases) EXPECT_EQ(Describe(text), expected) << text;
}

TEST(Kdl, InvalidDocument_IsReportedWithPosition) {
  const std::pair<const char*, const char*> cases[] = {
      {"a {\n  b", "line 2, column 4: unclosed '{'"},
      {"a }", "line 1, column 3: unmatched '}'"},
      {"a \"x\ny\"", "line 1, column 3: unterminated string"},
      {"a true", "line 1, column 3: true is a keyword: write #true, or put the string in quotes"},
      {"a #yes", "line 1, column 3: #yes is not a keyword"},
      {"a 1.", "line 1, column 3: '1.' is not a number"},
      {"a 12x", "line 1, column 3: '12x' is not a number"},
      {"a 0x", "line 1, column 3: '0x' is not a number"},
      {"a\"x\"", "line 1, column 2: missing white space before an argument or a property"},
      {"a { } 1", "line 1, column 7: an argument or a property after the children block"},
      {"a /* x", "line 1, column 5: unterminated comment"},
      {"a \"\\q\"", "line 1, column 4: unknown escape sequence"},
      {"a \"\\u{d800}\"", "line 1, column 4: invalid Unicode escape"},
      {"a \"\"\"\n  x\n   \"\"\"",
       "line 1, column 3: a line is indented less than the closing quotes of its multi-line string"},
      {"a\n b \xff", "line 2, column 4: invalid UTF-8"},
      {"a \xc0\xaf", "line 1, column 3: invalid UTF-8"},
      {"a \x01", "line 1, column 3: a character that KDL forbids"},
      {"a k=", "line 1, column 5: expected a value"},
  };
  for (const auto& [text, error] : cases) EXPECT_EQ(Describe(text), error) << text;
}

TEST(Kdl, OversizedDocument_IsRejected) {
  std::string deep;
  for (int i = 0; i < 10'000; ++i) deep += "a {";
  EXPECT_NE(Describe(deep).find("nested too deeply"), std::string::npos);
  EXPECT_NE(Describe(std::string(codec::kMaxKdlBytes + 1, ' ')).find("too large"), std::string::npos);
  std::string many;
  for (std::size_t i = 0; i <= codec::kMaxKdlNodes; ++i) many += "a\n";
  EXPECT_NE(Describe(many).find("too many nodes"), std::string::npos);
}

settings::Site Site() {
  settings::Site site;
  site.tenants = {"north", "south"};
  site.classes = {"lookup", "report"};
  site.module.classes.resize(2);
  site.module.classes[0].latency_objective = 600'000'000;
  site.module.classes[1].latency_objective = 3'000'000'000;
  site.module.classes[1].threads = 2;
  site.module.classes[1].priority_weight = 10;
  site.module.gateway_count = 2;
  return site;
}

std::string FaultsOf(std::string_view text) {
  try {
    operator_config::ReadOperatorFile("f", text, Site());
  } catch (const operator_config::OperatorError& e) {
    return e.what();
  }
  return "";
}

TEST(OperatorFile, Budgets_AreRead) {
  const auto file = operator_config::ReadOperatorFile("f", R"(
    waiting {
      ageing "500ms"; level 1.2; most 1000; tell-clients #true; state "/tmp/x"
      class "report" { wait-most "8s" }
      team "north" { cores 40; burst "2s"; threads 30; waiting 500; bar "report" }
      team "south" { cores 0 }
    })",
                                                      Site());
  ASSERT_TRUE(file.admission_queue);
  const admission_queue::Settings& queue = file.admission_queue->queue;
  EXPECT_EQ(queue.ageing, std::chrono::milliseconds(500));
  EXPECT_DOUBLE_EQ(queue.budget_share, 0.5);
  EXPECT_EQ(queue.tenants[0].cores, 40);
  EXPECT_EQ(queue.tenants[0].max_threads, 30);
  EXPECT_EQ(queue.tenants[0].barred_classes, std::vector<admission_queue::ClassId>{1});
  EXPECT_EQ(queue.tenants[1].cores, 0);
  EXPECT_TRUE(queue.classes[0].light);
  EXPECT_FALSE(queue.classes[1].light);
  EXPECT_EQ(queue.classes[1].max_wait, std::chrono::seconds(8));
  EXPECT_TRUE(file.admission_queue->report_estimates);
  EXPECT_FALSE(operator_config::ReadOperatorFile("f", "", Site()).admission_queue);
}

TEST(OperatorFile, AllFaults_AreReportedTogether) {
  EXPECT_EQ(
      FaultsOf(
          "waiting {\n  ageing 2\n  level \"x\"\n  colour 1\n  ageing \"2s\"\n"
          "  team \"east\" { cores 1 }\n  team \"north\" { burst \"2 fortnights\"; waiting 1.5 }\n}\nwating"),
      "f:2:10: ageing: expected a time with its unit, such as \"250ms\" or \"2s\"\n"
      "f:3:9: level: expected a number\n"
      "f:4:3: 'colour' is not known here; known are ageing, class, level, most, state, team, tell-clients\n"
      "f:5:3: ageing: given twice\n"
      "f:6:8: the site has no team 'east'\n"
      "f:7:24: burst: '2 fortnights' is not a time with a unit (us, ms, s, m, h)\n"
      "f:7:40: waiting: expected a whole number\n"
      "f:7:3: team 'north' has no cores: set a budget, 0 for none\n"
      "f:1:1: team 'south' of the site is not given: `team \"south\" { cores 0 }` would refuse all it sends\n"
      "f:9:1: 'wating' is not known here; known are fleet, rules, waiting");
  EXPECT_EQ(FaultsOf("waiting {"), "f:1:10: unclosed '{'");
  EXPECT_NE(FaultsOf("waiting { team \"north\" { cores -1 }; team \"south\" { cores 1; bar \"lookup\"; bar "
                     "\"report\" } }")
                .find("may use no class"),
            std::string::npos);
}

// ---- The fleet ----

std::string FleetFaults(const std::string& inside) { return FaultsOf("fleet \"f\" {\n" + inside + "\n}"); }

TEST(OperatorFleet, CompleteBlock_IsRead) {
  const operator_config::OperatorFile file = operator_config::ReadOperatorFile(
      "f",
      "fleet \"hanul\" { listen \"127.0.1.1:7100\" \"127.0.1.1:7101\"; seeds "
      "\"127.0.1.1:7100\"; zone \"east\"; "
      "period \"100ms\"; remember \"1m\"; most 500; state-file \"/run/f\" }",
      Site());
  ASSERT_TRUE(file.fleet.has_value());
  EXPECT_EQ(file.fleet->name, "hanul");
  EXPECT_EQ(file.fleet->listen.size(), 2u);
  EXPECT_EQ(file.fleet->advertise, file.fleet->listen) << "advertised as bound, by default";
  EXPECT_EQ(file.fleet->membership.seeds, (std::vector<gossip::PeerAddress>{{0x7f000101, 7100}}))
      << "the first proxy of a fleet lists only itself";
  EXPECT_EQ(file.fleet->membership.probe_interval, std::chrono::milliseconds(100));
  EXPECT_EQ(file.fleet->membership.max_members, 500u);
  EXPECT_FALSE(operator_config::ReadOperatorFile("f", "", Site()).fleet.has_value());
}

TEST(OperatorFleet, EachFault_IsReported) {
  const std::string good = "listen \"127.0.1.1:1\"\nseeds \"127.0.1.1:1\"\n";
  const std::pair<std::string, std::string> cases[] = {
      {good, ""},
      {"seeds \"127.0.1.1:1\"", "f:1:1: fleet: needs `listen`, where peers reach this proxy"},
      {"listen \"127.0.1.1:1\"", "f:1:1: fleet: needs `seeds`; the first proxy of a fleet lists only itself"},
      {good + "colour 1",
       "f:4:1: 'colour' is not known here; known are advertise, listen, most, period, remember, seeds, "
       "state-file, zone"},
      {good + "period 5", "f:4:8: period: expected a time with its unit, such as \"250ms\" or \"2s\""},
      {good + "period \"1s\"\nremember \"30s\"", "f:1:1: remember: shorter than 40 periods"},
      {good + "advertise \"127.0.2.1:1\" \"127.0.2.1:2\"",
       "f:1:1: fleet: `advertise` needs an address for each of `listen`"},
      {"listen \"0.0.0.0:1\"\nseeds \"127.0.1.1:1\"",
       "f:1:1: fleet: peers cannot reach 0.0.0.0; set `advertise`"},
      {"listen \"nowhere\"\nseeds \"127.0.1.1:0\"",
       "f:2:8: listen: 'nowhere' is not an IPv4 address with a port\n"
       "f:3:7: seeds: '127.0.1.1:0' is not an IPv4 address with a port"},
      {"listen \"1.1.1.1:1\" \"1.1.1.1:1\"\nseeds",
       "f:2:20: listen: '1.1.1.1:1' is given twice\nf:3:1: seeds: expected 1 to 64 addresses"},
      {good + "zone \"a b\"", "f:4:1: zone: at most 32 plain characters without blanks"},
      {good + "most 1", "f:1:1: most: a fleet has at least two members"},
  };
  for (const auto& [inside, expected] : cases) EXPECT_EQ(FleetFaults(inside), expected) << inside;
}

}  // namespace
}  // namespace lemoncroft

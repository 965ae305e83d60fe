// review/6: A class appears at a SIGHUP while requests wait in the admission queue.
#include "standin.hh"

using namespace standin;

namespace {

constexpr int kReports = 40;

FieldList Fields(const std::string& request_class, int limit_ms, int cpu_ms) {
  return {{"verb", request_class},
          {"txn", NewId()},
          {"limit", std::to_string(limit_ms)},
          {"team", "acme"},
          {"cpu", std::to_string(cpu_ms)}};
}

int Run() {
  static Database databases[2];  // their threads end with the process
  static Feed feed;
  Site site;
  for (int i = 0; i < 2; ++i) {
    databases[i].Start("e" + std::to_string(i + 1), FreeAddress());
    site.databases.emplace_back(databases[i].name, databases[i].at());
  }
  feed.Start(FreeAddress());
  site.feed = feed.at();
  site.listen = FreeAddress();
  site.management = FreeAddress();
  site.cores = 4;
  site.classes = {{.name = "lookup", .aim_s = 0.6, .deadline_s = 3},
                  {.name = "report", .aim_s = 1.5, .deadline_s = 20, .credit = 10, .threads = 2},
                  {.name = "chip-load", .aim_s = 3, .deadline_s = 20, .credit = 12, .threads = 2}};
  const std::string config = Folder() + "/config.json", operator_file = Folder() + "/operator.kdl";
  WriteFile(config, ConfigOf(site));
  WriteFile(operator_file, "waiting {\n  team \"acme\" { cores 8 }\n}\n");
  Process proxy;
  proxy.Start(
      "proxy",
      RunCommand() + " serve --config " + config + " --operator " + operator_file + " --log-level debug",
      {{"TMPDIR", Folder()}}, Folder() + "/log");
  AwaitReady(site.listen);

  Client client("client"), second("second client");
  if (!client.Connect(site.listen) || !second.Connect(site.listen)) throw CannotRun{"could not connect"};
  std::vector<std::pair<Client*, std::uint32_t>> requests;
  for (int i = 0; i < kReports; ++i) {
    Client* const by = i % 2 == 0 ? &client : &second;
    requests.emplace_back(
        by, by->Request(Fields("report", 20000, 1200), "select /*ms=600*/ a, b, c from sales_3.orders"));
    Sleep(0.02);
  }
  if (HasTrouble()) {
    site.classes.push_back({.name = "export", .aim_s = 6, .deadline_s = 20, .credit = 8, .threads = 2});
    WriteFile(config + ".new", ConfigOf(site));
    std::rename((config + ".new").c_str(), config.c_str());
    Record("operator: a class `export` appears in the configuration");
    proxy.Kill(SIGHUP);
  }
  Sleep(1);
  int lost = 0, answered = 0;
  const double until = Seconds() + 25;
  for (const auto& [by, stream] : requests) {
    const auto answer = by->Await(stream, until);
    answered += answer.has_value();
    lost += !answer;
  }
  // Requests that come later are answered too.
  int refused_at_the_door = 0;
  for (int i = 0; i < 5; ++i) {
    Client later("later client");
    const bool is_up = later.Connect(site.listen);
    const auto stream =
        is_up ? later.Request(Fields("lookup", 3000, 20), "select /*ms=20*/ a, b, c from sales_4.orders") : 0;
    refused_at_the_door += !is_up || !later.Await(stream, Seconds() + 4);
  }
  const bool crashed = proxy.Ended();
  Record("%d requests answered, %d never; of 5 later ones %d never; the proxy has %s", answered, lost,
         refused_at_the_door, crashed ? "crashed" : "not crashed");
  std::printf("%d requests answered, %d never; of 5 later ones %d never; the proxy has %s\n", answered, lost,
              refused_at_the_door, crashed ? "crashed" : "not crashed");
  return crashed || lost + refused_at_the_door > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return Main(Run); }

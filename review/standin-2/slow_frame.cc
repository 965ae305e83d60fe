// review/10: a client that writes one of its requests slowly, while another request of it is open.
#include "standin.hh"

using namespace standin;

namespace {

constexpr int kPieces = 30;
constexpr double kPause = 0.1;

FieldList Fields(const std::string& request_class, int limit_ms) {
  return {{"verb", request_class}, {"txn", NewId()}, {"limit", std::to_string(limit_ms)}, {"team", "acme"}};
}

int Run() {
  static Database databases[3];  // their threads end with the process
  static Feed feed;
  Site site;
  for (int i = 0; i < 3; ++i) {
    databases[i].Start("e" + std::to_string(i + 1), FreeAddress());
    site.databases.emplace_back(databases[i].name, databases[i].at());
  }
  feed.Start(FreeAddress());
  site.feed = feed.at();
  site.listen = FreeAddress();
  site.management = FreeAddress();
  site.classes = {{.name = "lookup", .aim_s = 1, .deadline_s = 3},
                  {.name = "report", .aim_s = 15, .deadline_s = 20, .credit = 10}};
  const std::string config = Folder() + "/config.json";
  WriteFile(config, ConfigOf(site));
  Process proxy;
  proxy.Start("proxy", RunCommand(), {{"PROXY_CONFIG", config}, {"TMPDIR", Folder()}}, Folder() + "/log");
  AwaitReady(site.listen);

  Client client("client");
  if (!client.Connect(site.listen)) throw CannotRun{"the client could not connect"};
  const auto report =
      client.Request(Fields("report", 20000), "select /*ms=6000*/ a, b, c from sales_3.orders");
  Sleep(0.2);
  const std::string statement =
      "select /*ms=20*/ a, b, c from sales_4.orders where a in (" + std::string(2900, '1') + ")";
  const std::string frame = RequestFrame(2, Fields("lookup", 3000), statement);
  Record("client: begins request 2, %zu bytes", frame.size());
  for (int i = 0; i < kPieces; ++i) {
    const std::size_t from = frame.size() * static_cast<std::size_t>(i) / kPieces;
    const std::size_t to = frame.size() * static_cast<std::size_t>(i + 1) / kPieces;
    if (!client.Write(frame.substr(from, to - from))) Record("client: could not write");
    if (HasTrouble() && i + 1 < kPieces) Sleep(kPause);
  }
  const double whole_at = Seconds();
  Record("client: request 2 is written whole");
  const bool was_open = !client.closed_at();
  const auto answer = client.Await(2, whole_at + 10);
  const auto first = client.Await(report, whole_at + 10);
  const auto closed_at = client.closed_at();
  if (!was_open) throw CannotRun{"the connection had ended before the request was whole"};
  // A request that crosses the end of a connection within 50 ms is sent again: it counts as not taken.
  const bool crossed = closed_at && *closed_at - whole_at < 0.1;
  const bool lost = !answer && !crossed;
  std::string end = "the connection is open still";
  if (closed_at)
    end = "the connection ended " + std::to_string(*closed_at - whole_at) + " s after its last byte";
  Record("request 1: %s; request 2: %s; %s", first ? "answered" : "never answered",
         answer ? "answered" : "never answered", end.c_str());
  std::printf("request 1: %s; request 2: %s; %s\n", first ? "answered" : "never answered",
              answer ? "answered" : "never answered", end.c_str());
  return lost || !first || proxy.Ended() ? kBroken : kHeld;
}

}  // namespace

int main() { return Main(Run); }

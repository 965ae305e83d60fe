// review/7: clients that fall silent within a frame, and another client's requests.
#include "standin.hh"

using namespace standin;

namespace {

constexpr int kSilentClients = 200;
constexpr std::size_t kFrameBytes = 262'144;  // the longest that the protocol allows
constexpr int kLookups = 12;
constexpr double kLookupInterval = 0.25;

FieldList Fields(const std::string& request_class, int limit_ms) {
  return {{"verb", request_class}, {"txn", NewId()}, {"limit", std::to_string(limit_ms)}, {"team", "acme"}};
}

// A client that has a request open, begins another one and falls silent with the connection open.
void FallSilent(Client& client) {
  client.Request(Fields("report", 20000), "select /*ms=6000*/ a, b, c from sales_17.orders");
  const std::string statement = "insert into sales_17.orders values " + std::string(kFrameBytes - 200, '1');
  const std::string frame = RequestFrame(2, Fields("report", 20000), statement);
  client.Write(frame.substr(0, frame.size() - 100));
  Record("%s: wrote %zu bytes of a frame of %zu and is silent now", client.name.c_str(), frame.size() - 100,
         frame.size());
}

int Run() {
  static Database databases[8];  // their threads end with the process
  static Feed feed;
  Site site;
  for (int i = 0; i < 8; ++i) {
    databases[i].Start("e" + std::to_string(i + 1), FreeAddress());
    site.databases.emplace_back(databases[i].name, databases[i].at());
  }
  feed.Start(FreeAddress());
  site.feed = feed.at();
  site.listen = FreeAddress();
  site.management = FreeAddress();
  site.memory_mb = 192;
  site.sockets = 1024;
  site.cores = 12;
  site.classes = {{.name = "lookup", .aim_s = 1, .deadline_s = 3},
                  {.name = "report", .aim_s = 15, .deadline_s = 20, .credit = 10}};
  const std::string config = Folder() + "/config.json";
  WriteFile(config, ConfigOf(site));
  Process proxy;
  proxy.Start("proxy", RunCommand(), {{"PROXY_CONFIG", config}, {"TMPDIR", Folder()}}, Folder() + "/log");
  AwaitReady(site.listen);

  std::vector<std::unique_ptr<Client>> silent;
  if (HasTrouble()) {
    for (int i = 0; i < kSilentClients; ++i) {
      silent.push_back(std::make_unique<Client>("silent" + std::to_string(i + 1)));
      if (!silent.back()->Connect(site.listen)) throw CannotRun{"a client could not connect"};
    }
    std::vector<std::thread> writers;
    for (auto& client : silent) writers.emplace_back([&client] { FallSilent(*client); });
    for (auto& writer : writers) writer.join();
    Sleep(0.5);
  }

  // This client does nothing unusual: a report, and lookups beside it on the same connection.
  Client client("client");
  if (!client.Connect(site.listen)) throw CannotRun{"the client could not connect"};
  std::vector<std::uint32_t> streams;
  std::vector<double> sent;
  const auto send = [&](const FieldList& fields, const std::string& statement) {
    if (client.closed_at()) return;
    const double at = Seconds();
    streams.push_back(client.Request(fields, statement));
    sent.push_back(at);
  };
  send(Fields("report", 20000), "select /*ms=4000*/ a, b, c from sales_3.orders");
  for (int i = 0; i < kLookups; ++i) {
    Sleep(kLookupInterval);
    send(Fields("lookup", 3000), "select /*ms=20*/ a, b, c from sales_4.orders");
  }

  int lost = 0;
  const double until = Seconds() + 25;
  for (std::size_t i = 0; i < streams.size(); ++i) {
    if (client.Await(streams[i], until)) continue;
    const auto closed_at = client.closed_at();
    // A request that crosses the end of a connection within 50 ms is sent again: it counts as not taken.
    if (closed_at && *closed_at - sent[i] < 0.1) continue;
    Record("client: request %u was never answered", streams[i]);
    ++lost;
  }
  if (proxy.Ended()) {
    Record("the proxy has crashed");
    return kBroken;
  }
  Record("%zu requests of the client, %d of them lost", streams.size(), lost);
  std::printf("%zu requests of the client, %d of them lost\n", streams.size(), lost);
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return Main(Run); }

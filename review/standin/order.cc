// Case: the proxy is replaced while a load of one key runs. The next request of that key must wait for it.
// order FOLDER TEMPORARY_FOLDER
#include "common.hh"
#include "config.hh"

using namespace standin;

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1], tmp = argv[2];
  record.Open(folder + "/record.txt", NowMs(), true);
  constexpr int kDatabases = 6;

  std::mutex mutex;
  std::map<std::string, double> started, ended;  // by txn
  std::vector<std::unique_ptr<Database>> databases;
  std::string members;
  for (int i = 1; i <= kDatabases; ++i) {
    databases.push_back(std::make_unique<Database>("e" + std::to_string(i)));
    Database& d = *databases.back();
    d.run_ms = [](const Call& call) { return call.Get("x-lane") == "port-batch-load" ? 3500.0 : 200.0; };
    d.on_start = [&](const std::string& txn) {
      std::lock_guard lock(mutex);
      started.emplace(txn, NowMs());
    };
    d.on_end = [&](const std::string& txn) {
      std::lock_guard lock(mutex);
      ended.emplace(txn, NowMs());
    };
    d.Start();
    members += (i > 1 ? "," : "") + Member("e" + std::to_string(i), d.port);
  }
  Feed feed;
  feed.Start();
  feed.Publish(members, true);

  // The platform holds the clients' listening socket; every process inherits it as descriptor 3.
  ConfigOptions config;
  UseKigaliClasses(config);
  const int listening = Listen(config.listen);
  const int management[] = {FreePort(), FreePort()};
  config.feed = feed.port;
  config.known = feed.After(0);
  WriteFile(tmp + "/config.json", ConfigText(config));
  ::mkdir((tmp + "/t").c_str(), 0700);
  const auto start_proxy = [&](int i) {
    return Start(DeployCommand("run"),
                 {{"PROXY_NAME", "n1"}, {"PROXY_LISTEN", At(config.listen)}, {"PROXY_CONFIG", tmp + "/config.json"},
                  {"PROXY_MANAGEMENT", At(management[i])}, {"PROXY_FD", "3"}, {"TMPDIR", tmp + "/t"}},
                 tmp + "/proxy" + std::to_string(i + 1) + ".log", listening);
  };
  const auto ready = [&](int i) { return Operate(management[i], "readyz").rfind("ACK", 0) == 0; };
  const pid_t old_process = start_proxy(0);
  WaitFor("the proxy does not get ready", 10000, [&] { return ready(0); });
  record("platform  the first process says yes");

  const std::string first = Txn(), second = Txn();
  const auto load = [&](Client& client, const std::string& txn, const std::string& unique) {
    record("sent      port-batch-load txn=" + txn + " item=7f3a9c21e0b4d655 unique=" + unique);
    return client.Send({{"verb", "port-batch-load"}, {"txn", txn}, {"limit", "22000"}, {"team", "acme"}, {"unique", unique},
                        {"item", "7f3a9c21e0b4d655"}},
                       "insert into ports_17.batches values (1)");
  };
  Client a, b;
  if (!a.Open(config.listen) || !a.Ready()) CannotRun("no connection to the proxy");
  const auto first_stream = load(a, first, "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
  SleepMs(300);

  if (Trouble()) {
    start_proxy(1);
    record("platform  the program is started once more");
    WaitFor("the new process does not say yes", 6000, [&] { return ready(1); });
    record("platform  the new process says yes");
    ::kill(old_process, SIGTERM);
    record("platform  SIGTERM to the old process");
    if (!a.WaitDrain(1000)) CannotRun("the client is not told to go elsewhere");
    record("client    told by type 90 to send no new request on its connection");
  }
  SleepMs(300);  // far more than 60 ms behind the key's last request, and 250 ms behind one on a new connection
  if (!b.Open(config.listen) || !b.Ready()) CannotRun("no second connection");
  const auto second_stream = load(b, second, "6d1a7f2b3c4e5d60b9c8d7e6f5a41322");

  const auto one = a.Wait(first_stream, 22000);
  record("answered  txn=" + first + " code=" + std::to_string(one ? one->code : -1));
  const auto two = b.Wait(second_stream, 22000);
  record("answered  txn=" + second + " code=" + std::to_string(two ? two->code : -1));
  if (!one || one->code != 0 || !two || two->code != 0) CannotRun("a load was not served");
  std::vector<std::string> breaks;
  {
    std::lock_guard lock(mutex);
    if (started.count(second) > 0 && started.count(first) > 0 && started[second] < ended[first])
      breaks.push_back("two loads of one key ran at once: txn=" + second + " came to a database " +
                       std::to_string(static_cast<int>(ended[first] - started[second])) + " ms before the end of txn=" + first);
  }
  if (Trouble() && !WaitEnded(old_process, 6000)) record("platform  the old process still lives");
  Finish(breaks);
}

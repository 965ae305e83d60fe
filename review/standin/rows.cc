// Case: a database dies while it writes a result. Every answer 'served' must hold every row.
// rows FOLDER TEMPORARY_FOLDER
#include "common.hh"
#include "config.hh"

using namespace standin;

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1], tmp = argv[2], record_file = folder + "/record.txt";
  record.Open(record_file, NowMs(), true);
  constexpr int kDatabases = 6, kRows = 8;

  std::vector<pid_t> databases;
  std::vector<int> progress, ports;
  for (int i = 1; i <= kDatabases; ++i) {
    int port = 0, ends[2];
    const int fd = Listen(port);
    if (::pipe(ends) != 0) CannotRun("pipe");
    ::fcntl(ends[0], F_SETFD, FD_CLOEXEC);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    ::fcntl(fd, F_SETFD, 0);
    databases.push_back(Start("exec review/bin/database e" + std::to_string(i) + " " + std::to_string(fd) + " " +
                                  std::to_string(ends[1]) + " " + record_file + " " + std::to_string(record.zero()),
                              {}, tmp + "/databases.log"));
    ::close(fd);
    ::close(ends[1]);
    ports.push_back(port);
    progress.push_back(ends[0]);
  }
  Feed feed;
  feed.Start();
  std::string members;
  for (int i = 0; i < kDatabases; ++i)
    members += (i > 0 ? "," : "") + Member("e" + std::to_string(i + 1), ports[static_cast<std::size_t>(i)]);
  feed.Publish(members, true);

  ConfigOptions config;
  UseHanulClasses(config);
  config.listen = FreePort();
  config.feed = feed.port;
  config.known = feed.After(0);
  WriteFile(tmp + "/config.json", ConfigText(config));
  ::mkdir((tmp + "/t").c_str(), 0700);
  const pid_t proxy = Start(DeployCommand("run"),
                            {{"PROXY_NAME", "n1"}, {"PROXY_LISTEN", At(config.listen)},
                             {"PROXY_CONFIG", tmp + "/config.json"}, {"TMPDIR", tmp + "/t"}},
                            tmp + "/proxy.log");
  WaitFor("the proxy does not get ready", 10000, [&] {
    Client client;
    return client.Open(config.listen) && client.Ready();
  });
  record("platform  the proxy is ready");

  // 20 look-ups a second for 10 s, on four connections.
  struct Sent {
    std::string txn;
    Client* client;
    std::uint32_t stream;
  };
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(std::make_unique<Client>());
    if (!clients.back()->Open(config.listen)) CannotRun("no connection to the proxy");
  }
  std::vector<Sent> all;
  const double start = NowMs();
  double gone_at = 0;
  bool killed = false;
  const std::size_t victim = 1;
  for (int i = 0; i < 200; ++i) {
    while (NowMs() < start + 50 * i) {
      char bytes[256];
      const bool half_written = ::read(progress[victim], bytes, sizeof bytes) > 0;
      if (Trouble() && !killed && half_written && NowMs() > start + 4000) {
        ::kill(databases[victim], SIGKILL);
        record("platform  database e2 is killed while it writes a result");
        killed = true;
        gone_at = NowMs() + 1500;
      }
      if (killed && gone_at > 0 && NowMs() > gone_at) {
        feed.Publish(Member("e2", ports[victim], "Gone"), false);
        record("platform  the control feed says that e2 has gone");
        gone_at = 0;
      }
      SleepMs(1);
    }
    const std::string txn = Txn();
    Client& client = *clients[static_cast<std::size_t>(i) % clients.size()];
    all.push_back({txn, &client,
                   client.Send({{"verb", "lookup"}, {"txn", txn}, {"limit", "3000"}, {"team", "acme"}, {"cpu", "80.0"}, {"heap_mb", "16"}},
                               "select * from sales_17.orders")});
    record("sent      lookup txn=" + txn);
  }
  std::vector<std::string> breaks;
  int served = 0, other = 0;
  for (const Sent& sent : all) {
    const auto answer = sent.client->Wait(sent.stream, 4000);
    const int code = answer ? answer->code : -1;
    const std::string rows = answer && code == 0 ? answer->body : "";
    const auto count = static_cast<int>(std::count(rows.begin(), rows.end(), '\n'));
    record("answered  txn=" + sent.txn + " code=" + std::to_string(code) + " rows=" + std::to_string(count));
    if (code != 0) {
      ++other;
      continue;
    }
    ++served;
    if (rows != RowsOf(sent.txn, kRows))
      breaks.push_back("txn=" + sent.txn + " was answered 'served' with " + std::to_string(count) + " of its " +
                       std::to_string(kRows) + " rows");
  }
  if (Ended(proxy)) CannotRun("the proxy ended");
  if (Trouble() && !killed) CannotRun("e2 wrote no result after 4 s");
  record("summary   " + std::to_string(served) + " served, " + std::to_string(other) + " refused or failed");
  if (served < 150) CannotRun("too few requests were served");
  Finish(breaks);
}

// Case: the voters have been replaced one by one, and the former voters come back from nothing.
// leaders FOLDER TEMPORARY_FOLDER
#include "fleet.hh"

using namespace standin;

namespace {

std::string Field(const std::string& json, const std::string& key) {
  const std::size_t at = json.find("\"" + key + "\":");
  if (at == std::string::npos) return "?";
  const std::size_t from = json.find_first_not_of(" ", at + key.size() + 3);
  return json.substr(from, json.find_first_of(",}\n", from) - from);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  record.Open(std::string(argv[1]) + "/record.txt", NowMs(), true);
  SmallFleet fleet(argv[2], 7, "\"n1\" \"n2\" \"n3\"", 6);
  std::mutex mutex;
  std::vector<double> at_e1;  // when statements came to e1
  fleet.StartServers(3, 40);
  fleet.databases[0]->on_start = [&](const std::string&) {
    std::lock_guard lock(mutex);
    at_e1.push_back(NowMs());
  };
  for (int i = 1; i <= 7; ++i) fleet.WriteFiles(i);
  for (int i = 1; i <= 7; ++i) fleet.StartProxy(i);
  for (int i = 1; i <= 7; ++i)
    WaitFor("n" + std::to_string(i) + " does not get ready", 15000, [&] { return fleet.Ready(i); });
  record("platform  seven proxies are ready; n1, n2 and n3 vote");

  const auto send = [&](int i, double for_ms) {  // 20 look-ups a second to one proxy
    Client client;
    if (!client.Open(fleet.at(i).listen)) return;
    std::vector<std::pair<std::string, std::uint32_t>> sent;
    for (const double until = NowMs() + for_ms; NowMs() < until; SleepMs(50)) {
      const std::string txn = Txn();
      sent.emplace_back(txn, client.Send({{"verb", "lookup"}, {"txn", txn}, {"limit", "3000"}, {"team", "acme"}, {"cpu", "40"},
                                          {"heap_mb", "16"}},
                                         "select * from sales_17.orders"));
      record("sent      to n" + std::to_string(i) + " lookup txn=" + txn);
    }
    for (const auto& [txn, stream] : sent) {
      const auto answer = client.Wait(stream, 4000);
      record("answered  by n" + std::to_string(i) + " txn=" + txn + " code=" + std::to_string(answer ? answer->code : -1));
    }
  };
  const auto show = [&](const std::string& when) {
    int leaders = 0;
    for (int i = 1; i <= 7; ++i) {
      const Output out = fleet.Rules(i, "show --json");
      leaders += Field(out.text, "leads") == "true";
      record("operator  " + when + ": n" + std::to_string(i) + " version " + Field(out.text, "version") + ", leader " +
             Field(out.text, "leader") + ", leads " + Field(out.text, "leads") + ", cut off " + Field(out.text, "cut_off"));
    }
    return leaders;
  };

  // The operator replaces the voters as operating-rules.md says.
  const auto voters = [&](const std::string& words) {
    for (int tries = 0; tries < 10; ++tries) {
      const Output out = fleet.Rules(7, "voters " + words);
      record("operator  rules voters " + words + ": exit " + std::to_string(out.status) + " " +
             out.text.substr(0, out.text.find('\n')));
      if (out.status == 0) return;
      SleepMs(500);
    }
    EndAll();
    CannotRun("voters " + words);
  };
  for (int i = 4; i <= 6; ++i) voters("in n" + std::to_string(i));
  for (int i = 1; i <= 3; ++i) voters("out n" + std::to_string(i));
  std::string said;
  for (int tries = 0; tries < 10 && said.rfind("ACK for the fleet", 0) != 0; ++tries) {
    said = Operate(fleet.at(7).management, "exclude e1");
    record("operator  exclude e1 at n7: " + said);
    SleepMs(200);
  }
  if (said.rfind("ACK for the fleet", 0) != 0) CannotRun("the exclusion is not agreed");
  const double excluded_at = NowMs();
  SleepMs(2500);
  if (show("before") != 1) CannotRun("not just one leader before the disruption");

  // A rolling restart of three of the seven proxies, one at a time, in 12 s.
  if (Trouble())
    for (int i = 1; i <= 3; ++i) {
      const double next = NowMs() + 4000;
      ::kill(fleet.at(i).pid, SIGTERM);
      if (!WaitEnded(fleet.at(i).pid, 4500)) CannotRun("a proxy does not end");
      // It comes back from nothing: $TMPDIR and the disk of a proxy that is no voter any more are empty.
      const std::string command = "rm -rf '" + fleet.TmpdirOf(i) + "' '" + fleet.StoreOf(i) + "'*";
      if (std::system(command.c_str()) != 0) CannotRun("rm");
      fleet.StartProxy(i);
      record("platform  n" + std::to_string(i) + " is restarted and comes back from nothing");
      SleepMs(next - NowMs());
    }
  SleepMs(4000);
  const int leaders = show("after");
  std::vector<std::thread> threads;
  for (int i = 1; i <= 7; ++i) threads.emplace_back(send, i, 4000.0);
  for (std::thread& thread : threads) thread.join();

  std::vector<std::string> breaks;
  std::size_t late = 0;
  {
    std::lock_guard lock(mutex);
    for (const double at : at_e1) late += at > excluded_at + 1200 + 50;
  }
  if (late > 0)
    breaks.push_back(std::to_string(late) + " statements came to e1 more than 1.2 s after the fleet had agreed that it is out");
  if (leaders > 1) breaks.push_back(std::to_string(leaders) + " proxies lead at once");
  Finish(breaks);
}

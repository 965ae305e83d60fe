// A fleet of proxies with the replicated configuration (docs/operating-rules.md), and their databases.
#pragma once

#include <sys/stat.h>

#include "relay.hh"
#include "standin.hh"

namespace standin {

class RulesFleet {
 public:
  // kRelayed: through a relay. kDirect: no relay; the last proxy has two addresses, as a hot restart needs
  // them.
  enum class Peers { kRelayed, kDirect };
  struct Proxy {
    std::string name, folder, command;
    Site site;
    At gossip, known;  // where it listens for its peers, and its address to them
    Relay::Link* link = nullptr;
    std::unique_ptr<Process> process;
    std::vector<std::unique_ptr<Client>> clients;
  };

  // Proxies n1 to n`size`, of which the first `voter_count` are the voters. Databases e1, e2, ...
  RulesFleet(int size, int voter_count, int database_count, Peers peers = Peers::kRelayed)
      : databases(*new std::vector<Database>(database_count)) {
    Feed& feed = *new Feed;  // the stand-ins' threads end with the process
    feed.Start(FreeAddress());
    std::vector<std::pair<std::string, At>> list;
    for (int i = 0; i < database_count; ++i) {
      databases[i].Start("e" + std::to_string(i + 1), FreeAddress());
      list.emplace_back(databases[i].name, databases[i].at());
    }
    std::string seeds, voters;
    for (int i = 1; i <= size; ++i) {
      Proxy& proxy = proxies.emplace_back();
      proxy.name = "n" + std::to_string(i);
      proxy.folder = Folder() + "/" + proxy.name;
      ::mkdir(proxy.folder.c_str(), 0700);
      proxy.gossip = FreeAddress("127.0.71." + std::to_string(i));
      proxy.known = {"127.0.72." + std::to_string(i), FreeAddress("127.0.72." + std::to_string(i)).port};
      if (peers == Peers::kRelayed) proxy.link = &relay.Add(proxy.gossip, proxy.known);
      proxy.site.name = proxy.name;
      proxy.site.listen = FreeAddress();
      proxy.site.management = FreeAddress();
      proxy.site.feed = feed.at();
      proxy.site.siblings = size;
      proxy.site.me = i - 1;
      proxy.site.databases = list;
      proxy.site.classes = {{.name = "lookup"}};
      if (i <= voter_count) {
        const bool has_second = peers == Peers::kRelayed;
        if (peers == Peers::kDirect) seeds += " \"" + proxy.gossip.text() + "\"";
        if (has_second) seeds += " \"" + proxy.known.text() + "\"";
        voters += " \"" + proxy.name + "\"";
      }
    }
    relay.Start();
    for (Proxy& proxy : proxies) {
      std::string second_address;
      if (peers == Peers::kRelayed)
        second_address = "\"\n  advertise \"" + proxy.known.text();
      else if (&proxy == &proxies.back())
        second_address = "\" \"" + proxy.known.text();
      const bool votes = voters.find("\"" + proxy.name + "\"") != std::string::npos;
      WriteFile(proxy.folder + "/config.json", ConfigOf(proxy.site));
      WriteFile(proxy.folder + "/operator.kdl",
                "fleet \"hanul\" {\n  listen \"" + proxy.gossip.text() + second_address + "\"\n  seeds" +
                    seeds + "\n  zone \"east\"\n" + "  period \"250ms\"\n}\nrules {\n  voters" + voters +
                    "\n" + (votes ? "  store \"" + proxy.folder + "/rules\"\n" : "") +
                    "  lease \"1s\"\n  beat \"250ms\"\n}\n");
      proxy.command = RunCommand() + " serve --config " + proxy.folder + "/config.json --operator " +
                      proxy.folder + "/operator.kdl --log-level debug";
    }
  }

  Proxy& at(int number) { return proxies[static_cast<std::size_t>(number) - 1]; }

  void Start(int number) {
    Proxy& proxy = at(number);
    proxy.process = std::make_unique<Process>();
    proxy.process->Start(proxy.name, proxy.command, {{"TMPDIR", proxy.folder}}, proxy.folder + "/log");
  }

  // Starts a process of the proxy that inherits the clients' listening socket. Behind the first, it is called
  // at an address of its own.
  std::unique_ptr<Process> StartInheriting(int number, int listener, const At& management) {
    Proxy& proxy = at(number);
    auto process = std::make_unique<Process>();
    process->Start(proxy.name + " at " + management.text(), proxy.command,
                   {{"TMPDIR", proxy.folder}, {"PROXY_FD", "3"}, {"PROXY_MANAGEMENT", management.text()}},
                   proxy.folder + "/log", listener);
    return process;
  }

  // Waits until the proxy says that it serves.
  void AwaitReadyz(int number, double within = 10) {
    const double until = Seconds() + within;
    while (Seconds() < until) {
      if (OperatorCall(at(number).site.management, "readyz").starts_with("ACK")) return;
      Sleep(0.1);
    }
    throw CannotRun{at(number).name + " is not ready"};
  }

  // Sends `count` requests to the proxy, each on a connection of its own, and waits for their answers.
  int SendLookups(int number, int count) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      Client client("client of " + at(number).name);
      if (!client.Connect(at(number).site.listen)) continue;
      const auto stream = client.Request(
          {{"verb", "lookup"}, {"txn", NewId()}, {"limit", "3000"}, {"team", "acme"}, {"cpu", "20"}},
          "select /*ms=20*/ a, b, c from sales_" + std::to_string(i) + ".orders /* by " + at(number).name +
              " */");
      const auto answer = client.Await(stream, Seconds() + 3.5);
      served += answer && answer->code == 0;
    }
    return served;
  }

  // The statements that a database got from this time on.
  int StartedSince(int database, double since, const std::string& by = "") {
    int count = 0;
    for (const Started& started : databases[static_cast<std::size_t>(database) - 1].started())
      count += started.at >= since && started.statement.find("by " + by) != std::string::npos;
    return count;
  }

  void EndAll() {
    for (Proxy& proxy : proxies) {
      if (!proxy.process) continue;
      proxy.process->Kill(SIGCONT);
      proxy.process.reset();
    }
  }

  Relay& relay = *new Relay;
  std::vector<Proxy> proxies;
  std::vector<Database>& databases;
};

}  // namespace standin

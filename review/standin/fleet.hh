// A small fleet with the operator's file: proxies N1.. with `fleet` and `rules`.
#pragma once
#include <sys/types.h>

#include "common.hh"
#include "config.hh"

namespace standin {

struct Proxy {
  std::string name, folder;
  int listen = 0, management = 0, peers[2] = {0, 0};
  std::string operator_file;
  pid_t pid = -1;
  int starts = 0;
};

struct Output {
  int status = -1;
  std::string text;
};

// Runs one of the program's own commands to its end.
inline Output Run(const std::string& command) {
  Output out;
  FILE* pipe = ::popen((command + " 2>&1").c_str(), "r");
  if (pipe == nullptr) return out;
  char part[4096];
  while (std::fgets(part, sizeof part, pipe) != nullptr) out.text += part;
  const int status = ::pclose(pipe);
  out.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return out;
}

// The program of the deploy file's `run`, without `exec`.
inline std::string Program() {
  const std::string run = DeployCommand("run");
  return run.rfind("exec ", 0) == 0 ? run.substr(5) : run;
}

class SmallFleet {
 public:
  SmallFleet(std::string tmp, int proxies, const std::string& voters, int proxies_with_store)
      : tmp_(std::move(tmp)), voters_(voters) {
    for (int i = 1; i <= proxies; ++i) {
      Proxy p;
      p.name = "n" + std::to_string(i);
      p.folder = tmp_ + "/" + p.name;
      ::mkdir(p.folder.c_str(), 0700);
      p.listen = FreePort();
      p.management = FreePort();
      p.peers[0] = FreePort();
      p.peers[1] = FreePort();
      with_store_.push_back(i <= proxies_with_store);
      this->proxies.push_back(p);
    }
  }

  void StartServers(int databases_wanted, double run_ms) {
    std::string members;
    for (int i = 1; i <= databases_wanted; ++i) {
      databases.push_back(std::make_unique<Database>("e" + std::to_string(i)));
      databases.back()->run_ms = [run_ms](const Call&) { return run_ms; };
      databases.back()->good_end_fields = "Elapsed-Work: " + std::to_string(run_ms) + "\r\nHigh-Water: 16\r\n";
      databases.back()->Start();
      members += (i > 1 ? "," : "") + Member("e" + std::to_string(i), databases.back()->port);
    }
    feed.Start();
    feed.Publish(members, true);
  }

  // Writes the configuration and the operator's file of a proxy.
  void WriteFiles(int i) {
    Proxy& p = at(i);
    ConfigOptions config;
    UseHanulClasses(config);
    config.name = p.name;
    config.seed = std::to_string(100 + i);
    config.listen = p.listen;
    config.management = p.management;
    config.feed = feed.port;
    config.known = feed.After(0);
    config.siblings = static_cast<int>(proxies.size());
    config.me = i - 1;
    WriteFile(p.folder + "/config.json", ConfigText(config));
    std::string text = "fleet \"small\" {\n  listen \"" + At(p.peers[0]) + "\" \"" + At(p.peers[1]) + "\"\n  advertise \"" +
                       At(p.peers[0]) + "\" \"" + At(p.peers[1]) + "\"\n  seeds";
    for (int s = 1; s <= std::min<int>(4, static_cast<int>(proxies.size())); ++s)
      text += " \"" + At(at(s).peers[0]) + "\" \"" + At(at(s).peers[1]) + "\"";
    text += "\n  zone \"dc\"\n  period \"250ms\"\n}\nrules {\n  voters " + voters_ + "\n";
    if (with_store_[static_cast<std::size_t>(i - 1)]) text += "  store \"" + StoreOf(i) + "\"\n";
    text += "  lease \"1s\"\n  beat \"250ms\"\n}\n";
    p.operator_file = p.folder + "/operator.kdl";
    WriteFile(p.operator_file, text);
  }

  std::string TmpdirOf(int i) { return at(i).folder + "/t"; }
  std::string StoreOf(int i) { return at(i).folder + "/rules.store"; }

  // Starts a proxy. `descriptor3`: the clients' listening socket, where the platform holds it.
  pid_t StartProxy(int i, int descriptor3 = -1, int management = 0) {
    Proxy& p = at(i);
    ::mkdir(TmpdirOf(i).c_str(), 0700);
    std::map<std::string, std::string> environment = {{"PROXY_NAME", p.name},
                                                      {"PROXY_LISTEN", At(p.listen)},
                                                      {"TMPDIR", TmpdirOf(i)}};
    if (descriptor3 >= 0) environment["PROXY_FD"] = "3";
    if (management > 0) environment["PROXY_MANAGEMENT"] = At(management);
    p.pid = Start(DeployCommand("run") + " serve --config " + p.folder + "/config.json --operator " + p.operator_file,
                  environment, p.folder + "/log" + std::to_string(++p.starts), descriptor3);
    return p.pid;
  }

  Proxy& at(int i) { return proxies[static_cast<std::size_t>(i - 1)]; }
  bool Ready(int i) { return Operate(at(i).management, "readyz").rfind("ACK", 0) == 0; }

  // `lemoncroft rules ...` at a proxy.
  Output Rules(int i, const std::string& words) {
    const Output out = Run(Program() + " rules --fleet small --at " + At(at(i).peers[0]) + " " + words);
    return out;
  }

  std::vector<Proxy> proxies;
  std::vector<std::unique_ptr<Database>> databases;
  Feed feed;

 private:
  std::string tmp_, voters_;
  std::vector<bool> with_store_;
};

}  // namespace standin

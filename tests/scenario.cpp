#include "scenario.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <list>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "scenario_admin_client.h"
#include "scenario_client.h"
#include "scenario_server.h"
#include "scenario_socket.h"
#include "scenario_step.h"

namespace lemoncroft::scenario {
namespace {

using runtime::Descriptor;
using namespace std::chrono_literals;

constexpr auto kAdminTimeout = 1000ms;
constexpr const char* kConfig = R"({"name":"n1","listen":"LISTEN","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"management":"MANAGEMENT","feed":"FEED","known":KNOWN,
"settings":{"siblings":1,"me":0,"zone":0,"dcs":["dc"],"flavors":["std"],"tickNs":5000000,
"membershipMode":"pushed","requestClasses":[
{"name":"lookup","promiseNs":600000000,"deadlineNs":3000000000,"credit":1.0,"lateWorth":0.1,
 "effect":"pure","group":"all"},
{"name":"load","promiseNs":3000000000,"deadlineNs":20000000000,"credit":12.0,"lateWorth":0.6,
 "effect":"token","group":"all","repeatWindowNs":20000000000}],
"tenants":[{"name":"acme","portion":1.0,"quotaPerS":1000}],
"report":{"fields":[],"source":"none"},
"specifics":{"threadsByClass":[1,2],"holdsTables":[false,true],"blockedByLoads":[false,false],
"cpuOfKind":[8],"ramOfKindMb":[16384],"maxGrantShare":0.4,"takesGrants":true,"ranksHeeded":true,
"saysCost":true,"memoryShort":"queue","progressNs":0},
"limits":{"cancel":true,"mayDuplicate":true,"retryAfter":true,"maxAttempts":5,"maxOpen":1000,
"maxRetryAfterNs":1000000000,"connectTimeoutNs":250000000,"keepaliveNs":15000000000,"probing":true},
"guarantees":{"answerSlackNs":20000000,"drainGraceNs":250000000,"coldFrom":0.31,
"warmWithinNs":14000000000,"overloadFactor":4.0,"fallNs":1000000000}}})";

// Runs the steps of one scenario. The destructor ends the program and the parties.
class ScenarioRunner {
 public:
  ~ScenarioRunner() {
    for (const pid_t pid : {pid_, old_pid_}) {
      if (pid <= 0) continue;
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    if (!folder_.empty()) std::system(("rm -rf " + folder_).c_str());
  }

  void RunStep(const Words& w) {
    const std::string& party = w[0];
    if (party == "wait") return std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(w.at(1))));
    if (party == "crowd") return ConnectIdleClients(std::stoi(w.at(1)));
    if (party == "pieces") return SetPieceSize(std::stoul(w.at(1)));
    if (party == "clock") return w.at(1) == "send" ? void(timer_ = Clock::now()) : ExpectElapsed(w.at(2));
    if (party == "engine") return void(servers_.try_emplace(w.at(1)));
    if (party == "config") return void(config_.emplace_back(w.at(1), w.at(2)));
    if (party == "operator") return void(operator_file_ = w.at(1));
    if (party == "program") return RunProgramStep(w);
    if (party == "listener") return HoldListener();
    if (party == "old") return RunPredecessorStep(w);
    if (party.starts_with("ops")) return RunAdminStep(party, w, admin_port_);
    if (party.starts_with("oldops")) return RunAdminStep(party, w, old_admin_port_);
    const bool send = w.at(1) == "send", expect = w[1] == "expect", close = w[1] == "close";
    if (!send && !expect && !close) Fail("unknown verb " + w[1]);
    if (IsParser(party)) {
      if (send) parsed_ = ParseWith(party, w.at(2));
      if (expect) ExpectEqual(party, parsed_, w.at(2));
      return;
    }
    if (const auto it = servers_.find(party); it != servers_.end()) {
      Words filled = w;
      for (std::string& word : filled) FillAddresses(word);
      return send ? it->second.Send(filled) : expect ? it->second.Expect(filled) : it->second.Close(filled);
    }
    if (close) return void(clients_.erase(party));
    Client& client = clients_.try_emplace(party, client_port_).first->second;
    send ? client.Send(w) : client.Expect(w);
  }

  std::string Log() const { return folder_.empty() ? "" : Read(folder_ + "/log"); }

 private:
  static std::string Read(const std::string& path) {
    std::ostringstream out;
    out << std::ifstream(path).rdbuf();
    return out.str();
  }

  static void Replace(std::string& text, const std::string& from, const std::string& to) {
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size()) {
      text.replace(at, from.size(), to);
    }
  }

  void ExpectElapsed(const std::string& ms) const {
    if (Clock::now() - timer_ < std::chrono::milliseconds(std::stoi(ms)))
      Fail("less than " + ms + " ms have elapsed since `clock send`");
  }

  void FillAddresses(std::string& text) const {
    for (const auto& [name, server] : servers_) {
      Replace(text, "{" + name + "}", "127.0.0.1:" + std::to_string(server.port()));
    }
  }

  std::string ConfigText() {
    std::string known;
    for (const auto& [name, server] : servers_) {
      if (name.starts_with("feed")) continue;
      known += std::string(known.empty() ? "" : ",") + R"({"id":")" + name + R"(","host_port":"{)" + name +
               R"(}","locality":"dc","flavor":"std","cell":0,"phase":"Ready","size":1,"up_since_ms":0})";
    }
    FillAddresses(known);
    std::string text = kConfig;
    known =
        R"({"n":1,"events":[{"n":1,"members":{"revision":1,"complete":true,"members":[)" + known + "]}}]}";
    for (const auto& [key, value] : config_) {
      if (key == "known") known = value;
    }
    Replace(text, "KNOWN", known);
    std::string feed = servers_.contains("feed") ? "{feed}" : "";
    FillAddresses(feed);
    Replace(text, "FEED", feed);
    Replace(text, "LISTEN", "127.0.0.1:" + std::to_string(client_port_));
    Replace(text, "MANAGEMENT", "127.0.0.1:" + std::to_string(first_admin_port_));
    for (auto [key, value] : config_) {
      if (key == "known" || key == "cut") continue;
      FillAddresses(value);
      const std::size_t at = text.find("\"" + key + "\":");
      if (at == std::string::npos) Fail("the configuration has no such key: " + key);
      const std::size_t from = at + key.size() + 3, end = EndOfValue(text, from);
      if (value == "-")
        text.erase(at, end + (text[end] == ',') - at);
      else
        text.replace(from, end - from, value);
    }
    const auto cut =
        std::find_if(config_.rbegin(), config_.rend(), [](const auto& c) { return c.first == "cut"; });
    if (cut != config_.rend() && cut->second != "-") text.resize(std::stoul(cut->second));
    return text;
  }

  static std::size_t EndOfValue(const std::string& text, std::size_t at) {
    for (int depth = 0; at < text.size(); ++at) {
      const char c = text[at];
      if (depth == 0 && (c == ',' || c == '}' || c == ']' || c == '\n')) break;
      depth += (c == '[' || c == '{') - (c == ']' || c == '}');
    }
    return at;
  }

  void WriteConfig() {
    // Replaces the file atomically, since a process may be reading it.
    std::ofstream(folder_ + "/config.new") << ConfigText();
    ::rename((folder_ + "/config.new").c_str(), (folder_ + "/config.json").c_str());
    std::string text = operator_file_;
    Replace(text, "{folder}", folder_);
    if (!text.empty()) std::ofstream(folder_ + "/operator.kdl") << text;
  }

  void Launch(Words args) {
    if (folder_.empty()) {
      char name[] = "/tmp/scenario-XXXXXX";
      folder_ = ::mkdtemp(name);
      ::mkdir((folder_ + "/tmp").c_str(), 0700);
      if (!held_listener_.fd) client_port_ = FreePort();
      admin_port_ = first_admin_port_ = FreePort();
      WriteConfig();
    }
    if (!operator_file_.empty()) args.insert(args.end(), {"--operator", folder_ + "/operator.kdl"});
    args.insert(args.begin(), LEMONCROFT_PROGRAM);
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
    if (held_listener_.fd) {
      ::dup2(held_listener_.fd.get(), 3);
      ::setenv("PROXY_FD", "3", 1);
      ::setenv("PROXY_MANAGEMENT", ("127.0.0.1:" + std::to_string(admin_port_)).c_str(), 1);
    }
    for (const auto& [name, value] : environment_) ::setenv(name.c_str(), value.c_str(), 1);
    ::setenv("PROXY_CONFIG", (folder_ + "/config.json").c_str(), 1);
    const int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    std::vector<char*> argv;
    for (std::string& arg : args) argv.push_back(arg.data());
    argv.push_back(nullptr);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }

  // Connects `count` clients, each of which sends one readiness request and then stays idle.
  void ConnectIdleClients(int count) {
    for (int i = 0; i < count; ++i) {
      Client& client = idle_clients_.emplace_back(client_port_);
      client.Send({"", "send", "ready", "1"});
      client.Expect({"", "expect", "ready", "0"});
    }
  }

  // Opens the listening socket for clients, which every process of the program inherits, as on the platform.
  void HoldListener() {
    held_listener_ = Listen();
    client_port_ = held_listener_.port;
    // Never descriptor 3: dup2 of a descriptor onto itself would leave it close-on-exec.
    held_listener_.fd = Descriptor(::fcntl(held_listener_.fd.get(), F_DUPFD_CLOEXEC, 100));
  }

  // Starts the program again while the running process continues to serve.
  void StartSuccessor(const Words& w) {
    old_pid_ = std::exchange(pid_, 0);
    old_admin_port_ = std::exchange(admin_port_, FreePort());
    WriteConfig();
    Launch({"serve", "--log-level", "debug"});
    if (w.size() > 2) return;  // without waiting until it is ready
    RunAdminStep("ops", {"ops", "expect", "readyz", "ACK"}, admin_port_);
  }

  void RunPredecessorStep(const Words& w) {
    std::swap(pid_, old_pid_);
    RunProgramStep(w);
    std::swap(pid_, old_pid_);
  }

  // `expect COMMAND BEGINNING [LINE...]` repeats the command until the reply matches. `send` and `expect
  // answer` use one connection and are not repeated.
  void RunAdminStep(const std::string& party, const Words& w, int port) {
    if (w.at(1) == "close") return void(admin_clients_.erase(party));
    if (w[1] == "send") return admin_clients_.try_emplace(party, port).first->second.Send(w);
    if (w.at(2) == "answer") {
      const std::string got = admin_clients_.at(party).ReadReply(kAdminTimeout);
      admin_clients_.erase(party);
      return ExpectReply(got, w);
    }
    for (const auto until = Clock::now() + kExpectTimeout;; std::this_thread::sleep_for(20ms)) {
      try {
        AdminClient client(port);
        client.Send({"", "", "bytes", w[2] + "\n"});
        return ExpectReply(client.ReadReply(1000ms), w);
      } catch (const std::runtime_error&) {
        if (Clock::now() > until) throw;
      }
    }
  }

  static void ExpectReply(const std::string& got, const Words& w) {
    if (!got.starts_with(w.at(3))) Fail("reply: got '" + got + "', expected '" + w[3] + "'");
    for (std::size_t i = 4; i < w.size(); ++i) {
      if (("\n" + got).find("\n" + w[i] + "\n") == std::string::npos)
        Fail("the reply '" + got + "' lacks the line " + w[i]);
    }
  }

  void AwaitReady() {
    for (const auto until = Clock::now() + kExpectTimeout;; std::this_thread::sleep_for(10ms)) {
      try {
        Client client(client_port_);
        client.Send({"", "send", "ready", "1"});
        client.Expect({"", "expect", "ready", "0"});
        return;
      } catch (const std::runtime_error& e) {
        if (Clock::now() > until) Fail(std::string("the program did not become ready: ") + e.what());
      }
    }
  }

  // Expects the trace of the decision module's events and actions to equal a recorded file in the directory
  // of the scenarios.
  void ExpectTrace(const std::string& name) const {
    std::istringstream log(Log());
    std::string traced;
    for (std::string line; std::getline(log, line);) {
      const std::size_t at = line.find(" trace ");
      if (at != std::string::npos) traced += line.substr(at + 7) + "\n";
    }
    ExpectEqual("trace", traced, Read(std::string(LEMONCROFT_SCENARIOS) + "/" + name));
  }

  // Expects the program to have at most `max` open descriptors of all kinds.
  void ExpectDescriptors(std::size_t max) const {
    std::size_t open = 0;
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd"))
      ++open;
    if (open > max) Fail(std::to_string(open) + " descriptors of the program are open");
  }

  void RunProgramStep(const Words& w) {
    if (w.at(1) == "descriptors") return ExpectDescriptors(std::stoul(w.at(2)));
    if (w.at(1) == "start") {
      Launch({"serve", "--log-level", w.size() > 2 ? w[2] : "debug"});
      return AwaitReady();
    }
    if (w[1] == "succeed") return StartSuccessor(w);
    if (w[1] == "environment") return void(environment_.emplace_back(w.at(2), w.at(3)));
    if (w[1] == "run") return Launch(Words(w.begin() + 2, w.end()));
    if (w[1] == "beside") {  // while another process runs
      const pid_t running = std::exchange(pid_, 0);
      Launch(Words(w.begin() + 4, w.end()));
      ::waitpid(std::exchange(pid_, running), nullptr, 0);
      if (Log().find(w[2]) == std::string::npos) Fail("the output lacks '" + w[2] + "'");
      return;
    }
    if (w[1] == "logged") {
      for (const auto until = Clock::now() + kExpectTimeout; Log().find(w.at(2)) == std::string::npos;
           std::this_thread::sleep_for(10ms)) {
        if (Clock::now() > until) Fail("the log lacks '" + w[2] + "'");
      }
      return;
    }
    if (w[1] == "traced") return ExpectTrace(w.at(2));
    if (w[1] == "send" && w.at(2) == "HUP") WriteConfig();
    if (w[1] == "send")
      return void(::kill(pid_, w.at(2) == "HUP" ? SIGHUP : w[2] == "KILL" ? SIGKILL : SIGTERM));
    if (w[1] != "expect") Fail("unknown verb " + w[1]);
    int status = 0;
    const auto until = Clock::now() + kExpectTimeout;
    while (::waitpid(pid_, &status, WNOHANG) == 0) {
      if (Clock::now() > until) Fail("the program has not exited within the timeout");
      std::this_thread::sleep_for(5ms);
    }
    pid_ = 0;
    ExpectEqual("exit", WIFEXITED(status) ? std::to_string(WEXITSTATUS(status)) : "signal", w.at(3));
    if (w.size() > 4 && Log().find(w[4]) == std::string::npos) Fail("the output lacks '" + w[4] + "'");
  }

  std::map<std::string, Server> servers_;
  std::map<std::string, Client> clients_;
  std::list<Client> idle_clients_;
  std::map<std::string, AdminClient> admin_clients_;
  ListeningSocket held_listener_;  // without a descriptor if the program binds its own
  std::vector<std::pair<std::string, std::string>> environment_;
  std::vector<std::pair<std::string, std::string>> config_;
  std::string folder_, parsed_, operator_file_;
  Clock::time_point timer_ = Clock::now();
  int client_port_ = 0, admin_port_ = 0, first_admin_port_ = 0, old_admin_port_ = 0;
  pid_t pid_ = 0, old_pid_ = 0;
};

}  // namespace

std::vector<Scenario> ReadScenarios(const std::string& path) {
  std::vector<Scenario> out;
  std::ifstream file(path);
  int number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    if (line.starts_with("== ")) {
      out.push_back({line.substr(3), {}});
    } else if (Words words = Split(line); !words.empty()) {
      if (out.empty()) Fail(path + ": a step precedes the first scenario");
      out.back().steps.push_back({number, std::move(words)});
    }
  }
  return out;
}

void RunScenario(const Scenario& scenario) {
  ScenarioRunner runner;
  SetPieceSize(0);
  for (const Step& step : scenario.steps) {
    try {
      runner.RunStep(step.words);
    } catch (const std::exception& e) {
      throw std::runtime_error("line " + std::to_string(step.line) + ": " + e.what() + "\n" + runner.Log());
    }
  }
}

}  // namespace lemoncroft::scenario

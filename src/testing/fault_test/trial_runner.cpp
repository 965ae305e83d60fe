#include "testing/fault_test/trial_runner.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>

#include "codec/frame.h"
#include "peer_transport/frame.h"
#include "peer_transport/link.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Now;
using runtime::Task;

namespace {

constexpr const char* kFleet = "trial";
constexpr int kFirstPort = 7100, kPortsPerRunner = 4, kMaxRunners = 64;  // two of peers, clients, operators
constexpr auto kWatchInterval = 5ms;
constexpr auto kStartTimeout = 3000ms;
constexpr int kForgedDatagrams = 850,
              kForgedMembersPerDatagram = 12;   // datagrams, and names in each: over 10,000
constexpr int kReadinessQueriesPerBatch = 200;  // each 10 ms: 20,000 a second
constexpr auto kReadinessBatchInterval = 10ms;

// What a proxy must be told.
constexpr const char* kConfig = R"({"name":"NAME","listen":"LISTEN","seed":"SEED",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"management":"MANAGEMENT","feed":"FEED","known":KNOWN,
"settings":{"siblings":SIBLINGS,"me":0,"zone":0,"dcs":["dc"],"flavors":["std"],"tickNs":5000000,
"membershipMode":"pushed","requestClasses":[
{"name":"lookup","promiseNs":600000000,"deadlineNs":3000000000,"credit":1.0,"lateWorth":0.1,
 "effect":"pure","group":"all"}],
"tenants":[{"name":"acme","portion":1.0,"quotaPerS":100000}],"report":{"fields":[],"source":"none"},
"specifics":{"threadsByClass":[1],"holdsTables":[false],"blockedByLoads":[false],"cpuOfKind":[8],
"ramOfKindMb":[16384],"maxGrantShare":0.4,"takesGrants":true,"ranksHeeded":true,"saysCost":true,
"memoryShort":"queue","progressNs":0},
"limits":{"cancel":true,"mayDuplicate":true,"retryAfter":true,"maxAttempts":5,"maxOpen":1000,
"maxRetryAfterNs":1000000000,"connectTimeoutNs":250000000,"keepaliveNs":15000000000,"probing":true},
"guarantees":{"answerSlackNs":20000000,"drainGraceNs":250000000,"coldFrom":0.31,
"warmWithinNs":14000000000,"overloadFactor":4.0,"fallNs":1000000000}}})";

std::string Replaced(std::string text, const std::string& what, const std::string& by) {
  const std::size_t at = text.find(what);
  return at == std::string::npos ? text : text.replace(at, what.size(), by);
}

std::string Ms(Span span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + "ms";
}

constexpr const char* kMember = R"({"id":"ID","host_port":"AT","locality":"dc","flavor":"std","cell":0,
"phase":"Ready","size":1,"up_since_ms":0})";
constexpr int kEngines = 3;
constexpr auto kEngineWork = 5ms;
constexpr auto kDrainTimeout = 2500ms;      // requests wait for 2 s
constexpr auto kRecoveryTimeout = 6000ms;   // an election, leases, a version
constexpr Span kMaxContradiction = 1200ms;  // T of docs/agreement.md
constexpr auto kCallTimeout = 4000ms;
constexpr auto kRunnerSlack = 250ms;
constexpr int kCallTimeoutMs = 1500;
constexpr std::uint64_t kMaxCalls = 400;

std::string Engine(int number, int port) {
  return "127.0.3." + std::to_string(number) + ":" + std::to_string(port);
}
std::string Feed(int port) { return "127.0.3.254:" + std::to_string(port); }

runtime::Descriptor Listening(const std::string& address) {
  runtime::Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const auto at = runtime::Address::Parse(address);
  const int on = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (!at || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at->raw), sizeof at->raw) != 0 ||
      ::listen(fd.get(), 128) != 0)
    return {};
  return fd;
}

}  // namespace

TrialRunner::TrialRunner(const Trial& trial, std::string program, std::string folder)
    : trial_(trial), program_(std::move(program)), folder_(std::move(folder)), links_(trial.seed) {
  if (trial_.machines < trial_.proxies) trial_.machines = trial_.proxies + 2;
  TakePorts();
  relay_ = std::make_unique<Relay>(loop_, links_, trial_.machines, port_);
  feed_ = std::make_unique<EmulatedControlFeed>(loop_, *runtime::Address::Parse(Feed(port_)));
  std::string members;
  for (int i = 1; i <= kEngines; ++i) {
    engines_.push_back(
        std::make_unique<EmulatedEngine>(loop_, *runtime::Address::Parse(Engine(i, port_)), kEngineWork));
    members += (i > 1 ? "," : "") +
               Replaced(Replaced(kMember, "ID", "e" + std::to_string(i)), "AT", Engine(i, port_));
  }
  feed_->Publish(members);
}

TrialRunner::~TrialRunner() = default;

// Rigs beside each other have ports of their own, each held by a socket that ends with its rig.
void TrialRunner::TakePorts() {
  for (int i = 0; i < kMaxRunners && !lock_; ++i) {
    port_ = static_cast<std::uint16_t>(kFirstPort + kPortsPerRunner * i);
    lock_ = Listening("127.0.2.254:" + std::to_string(port_));
  }
  if (!lock_) throw std::runtime_error("no ports are free for a trial");
  for (std::size_t machine = 1; machine <= trial_.machines; ++machine) {
    listening_.push_back(Listening(Relay::BindHost(machine) + ":" + std::to_string(port_ + 2)));
    if (!listening_.back()) throw std::runtime_error("cannot listen for the clients of a trial");
  }
}

std::string TrialRunner::Folder(std::size_t machine) const {
  return folder_ + "/m" + std::to_string(machine);
}

void TrialRunner::WriteFiles(const std::string& name, std::size_t machine) {
  const std::string folder = Folder(machine), port = std::to_string(port_);
  std::filesystem::create_directories(folder + "/tmp");
  std::string text = Replaced(kConfig, "NAME", name);
  text = Replaced(text, "LISTEN", Relay::BindHost(machine) + ":" + std::to_string(port_ + 2));
  text = Replaced(text, "MANAGEMENT", Relay::BindHost(machine) + ":" + std::to_string(port_ + 3));
  text = Replaced(text, "FEED", Feed(port_));
  text = Replaced(text, "KNOWN", feed_->KnownEvents());
  text = Replaced(text, "SIBLINGS", std::to_string(trial_.proxies));
  std::ostringstream seed;
  seed << std::hex << trial_.seed * 1000 + machine;
  std::ofstream(folder + "/config.json") << Replaced(text, "SEED", seed.str());
  std::string seeds;
  const auto both = [&](const std::string& host) {
    return "\"" + host + ":" + port + "\" \"" + host + ":" + std::to_string(port_ + 1) + "\"";
  };
  // Where a process takes another's place, its address is now the one and now the other.
  for (const std::string& s : trial_.seeds) seeds += " " + both(Relay::AdvertisedHost(MachineOf(s)));
  std::ofstream(folder + "/operator.kdl")
      << "fleet \"" << kFleet << "\" {\n  listen " << both(Relay::BindHost(machine)) << "\n  advertise "
      << both(Relay::AdvertisedHost(machine)) << "\n  seeds" << seeds << "\n  zone \"z" << machine % 3
      << "\"\n  state-file \"" << folder << "/fleet.json\"\n  period \"" << Ms(trial_.period)
      << "\"\n  remember \"" << Ms(trial_.remember) << "\"\n}\n"
      << RulesBlock(folder);
}

std::string TrialRunner::RulesBlock(const std::string& folder) const {
  if (trial_.voters.empty()) return {};
  std::string out = "rules {\n  voters";
  for (const std::string& voter : trial_.voters) out += " \"" + voter + "\"";
  return out + "\n  store \"" + folder + "/rules.db\"\n}\n";
}

std::size_t TrialRunner::MachineOf(const std::string& name) const {
  const std::size_t machine = name.size() > 1 ? std::strtoul(name.c_str() + 1, nullptr, 10) : 0;
  if (machine == 0 || machine > trial_.machines) throw ScriptError("no machine for '" + name + "'");
  return machine;
}

TrialRunner::ProxyProcess& TrialRunner::Launch(const std::string& name, std::size_t machine, int second) {
  WriteFiles(name, machine);
  const std::string folder = Folder(machine);
  auto proxy = std::make_unique<ProxyProcess>();
  ProxyProcess* self = proxy.get();
  self->name = name;
  self->label = name + (machine != MachineOf(name) ? "@" + std::to_string(machine) : "");
  int before = 0;
  for (const auto& other : proxies_) before += other->name == name && other->machine == machine;
  if (before > 0) self->label += "." + std::to_string(before + 1);
  self->machine = machine;
  self->second = second;
  self->record = history_.processes.size();
  ProcessRecord record;
  record.label = self->label;
  record.name = name;
  record.started = Now();
  history_.processes.push_back(record);
  Command command;
  command.arguments = {
      program_, "serve", "--config", folder + "/config.json", "--operator", folder + "/operator.kdl"};
  if (!trial_.voters.empty()) command.arguments.insert(command.arguments.end(), {"--log-level", "debug"});
  command.environment = {{"PROXY_FD", "3"}, {"TMPDIR", folder + "/tmp"}};
  self->management = Relay::BindHost(machine) + ":" + std::to_string(port_ + 3 + 1000 * (before % 8));
  command.environment.emplace_back("PROXY_MANAGEMENT", self->management);
  if (trial_.jumps)
    command.environment.emplace_back(
        "LD_PRELOAD",
        (std::filesystem::path(program_).parent_path() / "liblemoncroft_wall_clock.so").string());
  command.inherited_listener = listening_[machine - 1].get();
  auto log = std::make_shared<std::ofstream>(folder + "/" + self->label + ".log");
  self->process = std::make_unique<ChildProcess>(loop_, command, [this, self, log](const std::string& line) {
    *log << line << std::endl;
    HandleLogLine(*self, line);
  });
  proxies_.push_back(std::move(proxy));
  return *self;
}

void TrialRunner::HandleLogLine(ProxyProcess& proxy, const std::string& line) {
  if (line.find("serving in place of") != std::string::npos) proxy.serves = true;
  history_.RecordLogLine(proxy.record, line, Now());
  leases_.RecordLogLine(proxy.record, line);
  if (line.find("configuration read again") != std::string::npos)
    adopted_.push_back({Now(), proxy.machine, pushed_[proxy.machine]});
}

TrialRunner::ProxyProcess* TrialRunner::Find(const std::string& name) {
  const auto it = std::find_if(proxies_.rbegin(), proxies_.rend(), [&](const auto& proxy) {
    return proxy->name == name && !history_.processes[proxy->record].ended && proxy->process->Running();
  });
  return it == proxies_.rend() ? nullptr : it->get();
}

TrialOutcome TrialRunner::Play() {
  relay_->Start();
  feed_->Start();
  for (const auto& engine : engines_) engine->Start();
  start_ = Now();
  for (std::size_t machine = 1; machine <= trial_.proxies; ++machine)
    Launch("n" + std::to_string(machine), machine, 0);
  loop_.Spawn(RunScript());
  loop_.Spawn(Watch());
  loop_.Run();
  const Slack slack{250ms, trial_.settle, 25, 25};
  TrialOutcome outcome = history_.Check(trial_.period, slack);
  for (const Action& action : trial_.actions)
    if (action.type == ActionType::kExpectLogged && !Logged(action.names[0], action.names[1]))
      violations_.push_back("no process of " + action.names[0] + " logged '" + action.names[1] + "'");
  CheckLeases();
  outcome.violations.insert(outcome.violations.end(), violations_.begin(), violations_.end());
  outcome.void_reasons.insert(outcome.void_reasons.end(), void_reasons_.begin(), void_reasons_.end());
  return outcome;
}

bool TrialRunner::Logged(const std::string& name, const std::string& text) const {
  return std::any_of(proxies_.begin(), proxies_.end(), [&](const auto& proxy) {
    std::ostringstream log;
    log << std::ifstream(Folder(proxy->machine) + "/" + proxy->label + ".log").rdbuf();
    return proxy->name == name && log.str().find(text) != std::string::npos;
  });
}

void TrialRunner::StartLoad() {
  for (std::size_t machine = 1; machine <= trial_.proxies; ++machine) {
    const auto to = *runtime::Address::Parse(Relay::BindHost(machine) + ":" + std::to_string(port_ + 2));
    clients_.push_back(
        std::make_unique<LoadClient>(loop_, to, static_cast<std::uint32_t>(machine), trial_.load));
    clients_.back()->Start();
  }
}

RequestCounts TrialRunner::counts() const {
  RequestCounts all;
  for (const auto& client : clients_) {
    const RequestCounts& one = client->counts();
    all.sent += one.sent;
    all.served += one.served;
    all.rejected += one.rejected;
    all.failed += one.failed;
    all.duplicate_responses += one.duplicate_responses;
    all.lost_with_connection += one.lost_with_connection;
    all.connect_failures += one.connect_failures;
  }
  return all;
}

// One final answer for each request, unless its proxy was killed under it.
void TrialRunner::CheckLoad() {
  for (std::size_t machine = 1; machine <= clients_.size(); ++machine) {
    const LoadClient& client = *clients_[machine - 1];
    const std::string at = "at n" + std::to_string(machine) + ": ";
    const bool killed = std::any_of(proxies_.begin(), proxies_.end(), [&](const auto& proxy) {
      return proxy->machine == machine && history_.processes[proxy->record].killed;
    });
    if (client.counts().duplicate_responses > 0) violations_.push_back(at + "requests were answered twice");
    // A connection that no process was there to take waits in the rig's own socket.
    const bool there = std::any_of(proxies_.begin(), proxies_.end(), [&](const auto& proxy) {
      return proxy->machine == machine && !history_.processes[proxy->record].ended;
    });
    if (client.open_requests() > 0 && there)
      violations_.push_back(at + std::to_string(client.open_requests()) + " requests have no answer");
    if (client.counts().lost_with_connection > 0 && !killed)
      violations_.push_back(at + std::to_string(client.counts().lost_with_connection) +
                            " requests were open when their connection ended");
    if (client.counts().served == 0 && !killed) violations_.push_back(at + "nothing was served");
  }
}

// What the processes that still run have used and told, for measurements.
void TrialRunner::MeasureProcesses() {
  for (const auto& proxy : proxies_) {
    if (history_.processes[proxy->record].ended) continue;
    std::ifstream stat("/proc/" + std::to_string(proxy->process->pid()) + "/stat");
    std::string word;
    double ticks = 0;
    for (int field = 1; stat >> word && field <= 15; ++field)
      if (field >= 14) ticks += std::strtod(word.c_str(), nullptr);
    const double lived =
        std::chrono::duration<double>(Now() - history_.processes[proxy->record].started).count();
    cpu_percent_.push_back(100 * ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)) / lived);
    std::ifstream state(Folder(proxy->machine) + "/fleet.json");
    std::ostringstream text;
    text << state.rdbuf();
    const std::string key = "\"turn_us_p99\":";
    const std::size_t at = text.str().find(key);
    if (at != std::string::npos)
      turn_us_.push_back(std::strtod(text.str().c_str() + at + key.size(), nullptr));
  }
}

Task<> TrialRunner::RunScript() {
  const Time ready = Now() + kStartTimeout;
  while (Now() < ready &&
         !std::all_of(proxies_.begin(), proxies_.end(), [](const auto& a) { return a->serves; }))
    co_await loop_.Sleep(10ms);
  start_ = Now();
  history_.last_fault = start_;
  if (trial_.busy)
    for (std::size_t machine = 1; machine <= trial_.proxies; ++machine) loop_.Spawn(QueryReadiness(machine));
  if (trial_.load > 0) StartLoad();
  if (trial_.files)
    loop_.Spawn(PushFiles());
  else if (trial_.changes > 0)
    loop_.Spawn(Operate());
  for (const Action& action : trial_.actions) {
    co_await loop_.SleepUntil(start_ + action.at);
    try {
      Do(action);
    } catch (const std::exception& e) {
      violations_.emplace_back(e.what());
    }
    if (action.type == ActionType::kExpectLogged) continue;
    // A stall that an earlier act began may end later than this one.
    const Span lasts = action.type == ActionType::kStall ? action.span : Span(0);
    history_.last_fault = std::max(history_.last_fault, Now() + lasts);
  }
  RecordLinkFaults();
  const Span rest = trial_.period * static_cast<int>(std::max(trial_.settle, 25.0) + 10) + 300ms;
  co_await loop_.SleepUntil(history_.last_fault +
                            (trial_.voters.empty() ? rest : std::max<Span>(rest, kRecoveryTimeout)));
  if (!trial_.voters.empty()) co_await CheckReplicatedConfig();
  over_ = true;
  if (trial_.load > 0) {
    for (const auto& client : clients_) client->Stop();
    co_await loop_.Sleep(kDrainTimeout);
    CheckLoad();
  }
  history_.end = Now();
  MeasureProcesses();
  loop_.Stop();
}

// Whether the links are such that who is called failed may be rightly so.
void TrialRunner::RecordLinkFaults() {
  const bool trouble = partitioned_ || lossy_ || cuts_ > 0 || flapping_ > 0;
  const bool noted = !history_.fault_intervals.empty() && !history_.fault_intervals.back().until;
  if (trouble && !noted) history_.fault_intervals.push_back({Now(), std::nullopt});
  if (!trouble && noted) history_.fault_intervals.back().until = Now();
}

void TrialRunner::SetLinkConditions(const Action& action) {
  const auto figure = [&](const char* name) {
    const auto it = action.figures.find(name);
    return it == action.figures.end() ? 0.0 : it->second;
  };
  const auto ms = [&](const char* name) { return Span(static_cast<Span::rep>(1e6 * figure(name))); };
  simulation::LinkFaults faults;
  faults.loss = figure("loss");
  faults.duplicate = figure("duplicate");
  faults.garble = figure("garble");
  faults.delay = ms("delay_ms");
  faults.spread = ms("spread_ms");
  faults.bandwidth = figure("rate");
  links_.usual() = faults;
  lossy_ = faults.loss + faults.garble > 0.021 || faults.delay + faults.spread > trial_.period / 4 ||
           faults.bandwidth > 0;
}

// One branch for each type of a script; not split yet.
// NOLINTNEXTLINE(readability-function-size)
void TrialRunner::Do(const Action& action) {
  const auto node = [&](const std::string& name) { return static_cast<simulation::Node>(MachineOf(name)); };
  const auto each = [&](auto act) {
    for (const std::string& name : action.names)
      if (ProxyProcess* proxy = Find(name)) act(*proxy);
  };
  if (action.type == ActionType::kPartition || action.type == ActionType::kHealLinks)
    MeasureAvailability(action);
  switch (action.type) {
    case ActionType::kKill:
      each([&](ProxyProcess& proxy) {
        ProcessRecord& record = history_.processes[proxy.record];
        proxy.process->Signal(SIGKILL);
        record.killed = true;
        record.ended = Now();
      });
      break;
    case ActionType::kTerminate:
      each([&](ProxyProcess& proxy) {
        history_.processes[proxy.record].termination_requested = Now();
        proxy.process->Signal(SIGTERM);
      });
      break;
    case ActionType::kStart:
      for (const std::string& name : action.names) Launch(name, MachineOf(name), 0);
      break;
    case ActionType::kStartWithoutState:
      for (const std::string& name : action.names) {
        std::error_code ignored;
        std::filesystem::remove_all(Folder(MachineOf(name)) + "/tmp", ignored);
        Launch(name, MachineOf(name), 0);
      }
      break;
    case ActionType::kHotRestart:
      each([&](ProxyProcess& proxy) {
        ProxyProcess* old = &proxy;
        loop_.Spawn(EndPredecessor(old, &Launch(old->name, old->machine, 1 - old->second)));
      });
      break;
    case ActionType::kDuplicate:
      Launch(action.names[0], trial_.proxies + 1, 0);
      break;
    case ActionType::kStall:
      each([&](ProxyProcess& proxy) {
        proxy.process->Signal(SIGSTOP);
        history_.processes[proxy.record].stalls.emplace_back(Now(), Now() + action.span + 1s);
        loop_.Spawn(Resume(&proxy, action.span));
      });
      break;
    case ActionType::kCutLink:
    case ActionType::kRestoreLink:
      links_.Cut(node(action.names[0]), node(action.names[1]), action.type == ActionType::kCutLink);
      if (action.type == ActionType::kCutLink)
        ++cuts_;
      else if (cuts_ > 0)
        --cuts_;
      break;
    case ActionType::kFlapLinks:
      loop_.Spawn(Flap(MachineOf(action.names[0]), MachineOf(action.names[1]), action.span));
      break;
    case ActionType::kPartition:
      links_.Heal();
      for (std::size_t group = 0; group < action.names.size(); ++group) {
        std::istringstream names(action.names[group]);
        for (std::string name; names >> name;) links_.Side(node(name), static_cast<int>(group));
      }
      partitioned_ = true;
      break;
    case ActionType::kHealLinks:
      links_.Heal();
      ++heals_;
      partitioned_ = false;
      cuts_ = 0;
      flapping_ = 0;
      break;
    case ActionType::kSetLinkConditions:
      SetLinkConditions(action);
      break;
    case ActionType::kExpectLogged:
      break;  // looked for at the end
    case ActionType::kPropose:
      loop_.Spawn(ProposeAt(action.names[0], action.names[1], newest_));
      break;
    case ActionType::kEject:
    case ActionType::kUneject:
      loop_.Spawn(EjectAt(action.names[0], action.names[1], action.type == ActionType::kEject));
      break;
    case ActionType::kChangeVoter:
      loop_.Spawn(ChangeVoterAt(action.names[0], action.names[1], action.names[2]));
      break;
    case ActionType::kEraseStore:
    case ActionType::kCorruptStore:
    case ActionType::kBackUpStore:
    case ActionType::kRestoreStore:
      for (const std::string& name : action.names) ChangeStore(name, action.type);
      break;
    case ActionType::kForgeMembers:
      loop_.Spawn(ForgeMembers(MachineOf(action.names[0])));
      break;
  }
  RecordLinkFaults();
}

// From an address of its own, in the form of a peer: a fleet of names that nobody has.
Task<> TrialRunner::ForgeMembers(std::size_t machine) {
  runtime::DatagramSocket socket(
      loop_, *runtime::Address::Parse(Relay::AdvertisedHost(machine) + ":" + std::to_string(port_ + 2)));
  gossip::Datagram d;
  d.sender.id = 0x11e5;
  d.sender.name = "liar";
  d.sender.address = {0x7f000200u + static_cast<std::uint32_t>(machine),
                      static_cast<std::uint16_t>(port_ + 2)};
  d.body = gossip::Gossip{};
  for (int i = 0; i < kForgedDatagrams; ++i) {
    d.updates.clear();
    for (int k = 0; k < kForgedMembersPerDatagram; ++k) {
      gossip::MemberUpdate update;
      update.record = d.sender;
      update.record.id = 0x10000 + static_cast<std::uint64_t>(kForgedMembersPerDatagram * i + k);
      update.record.name = "lie-" + std::to_string(update.record.id);
      update.record.address.port = static_cast<std::uint16_t>(20000 + kForgedMembersPerDatagram * i + k);
      d.updates.push_back(std::move(update));
    }
    const std::string frame = peer_transport::Encode(kFleet, d);
    for (const auto& proxy : proxies_)
      if (!history_.processes[proxy->record].ended)
        socket.Send(frame, *runtime::Address::Parse(Relay::BindHost(proxy->machine) + ":" +
                                                    std::to_string(port_ + proxy->second)));
    if (i % 8 == 0) co_await loop_.Sleep(2ms);
  }
}

Task<> TrialRunner::Resume(ProxyProcess* proxy, Span after) {
  co_await loop_.Sleep(after);
  proxy->process->Signal(SIGCONT);
  ProcessRecord& record = history_.processes[proxy->record];
  if (!record.stalls.empty()) record.stalls.back().second = Now();
}

Task<> TrialRunner::EndPredecessor(ProxyProcess* old, ProxyProcess* fresh) {
  const Time last = Now() + kStartTimeout;
  while (!fresh->serves && Now() < last && fresh->process->Running()) co_await loop_.Sleep(10ms);
  if (!fresh->serves) co_return;
  history_.processes[old->record].termination_requested = Now();
  old->process->Signal(SIGTERM);
}

Task<> TrialRunner::Flap(std::size_t a, std::size_t b, Span each) {
  ++flapping_;
  const std::uint64_t heals = heals_;
  const auto x = static_cast<simulation::Node>(a), y = static_cast<simulation::Node>(b);
  for (bool cut = true; heals == heals_; cut = !cut) {
    links_.Cut(x, y, cut);
    links_.Cut(y, x, cut);
    co_await loop_.Sleep(each);
  }
}

// Who has ended; and how late the rig itself runs.
Task<> TrialRunner::Watch() {
  for (Time due = Now() + kWatchInterval;; due = Now() + kWatchInterval) {
    co_await loop_.SleepUntil(due);
    if (Now() - due > trial_.period / 2) void_reasons_.push_back("the rig ran " + Ms(Now() - due) + " late");
    for (const auto& proxy : proxies_) {
      ProcessRecord& record = history_.processes[proxy->record];
      if (record.ended || proxy->process->Running()) continue;
      record.ended = Now();
      const int status = *proxy->process->exit_status();
      if (!record.termination_requested || !WIFEXITED(status) || WEXITSTATUS(status) != 0)
        violations_.push_back(record.label +
                              " ended by itself or not well, as waitpid tells: " + std::to_string(status));
    }
  }
}

Task<> TrialRunner::QueryReadiness(std::size_t machine) {
  const auto to = *runtime::Address::Parse(Relay::BindHost(machine) + ":" + std::to_string(port_ + 2));
  std::string asks;
  for (int i = 0; i < kReadinessQueriesPerBatch; ++i)
    codec::WriteFrame(asks, codec::kReadyAskFrame, 1, std::string_view("\0", 1));
  for (;; co_await loop_.Sleep(100ms)) {
    std::unique_ptr<runtime::Socket> socket;
    if (co_await Connect(loop_, to, Now() + 500ms, nullptr, socket) != runtime::Io::kOk) continue;
    std::string answers;
    for (std::size_t written = 0;;) {
      if (co_await socket->Write(asks, written, Now() + 500ms) != runtime::Io::kOk) break;
      const Time next = Now() + kReadinessBatchInterval;
      while (co_await socket->Read(answers, 16384, next) == runtime::Io::kOk) answers.clear();
      if (Now() < next) break;  // the connection has ended
    }
  }
}

// ---- Operators ----

Task<std::string> TrialRunner::Call(const std::string& name, std::string call) {
  const ProxyProcess* proxy = Find(name);
  if (proxy == nullptr) co_return std::string();
  const auto to =
      *runtime::Address::Parse(Relay::BindHost(proxy->machine) + ":" + std::to_string(port_ + proxy->second));
  auto answer = co_await peer_transport::CallPeer(loop_, kFleet, to, std::move(call), Now() + kCallTimeout);
  co_return answer.value_or(std::string());
}

// A call, from its begin to its answer, for the check of the history.
Task<> TrialRunner::ProposeAt(std::string name, std::string text, std::uint64_t from) {
  Operation op;
  op.id = "op-" + std::to_string(++calls_);
  op.base_version = from;
  op.invoked = Now();
  const std::size_t place = leases_.operations.size();
  leases_.operations.push_back(op);
  const nlohmann::json call = {{"call", "propose"}, {"id", op.id},         {"from", from},
                               {"text", text},      {"by", "an operator"}, {"patience_ms", kCallTimeoutMs}};
  const std::string bytes = co_await Call(name, call.dump());
  const nlohmann::json answer = nlohmann::json::parse(bytes, nullptr, false);
  if (!answer.is_object() || !answer.contains("verdict")) co_return;  // nobody knows
  Operation& done = leases_.operations[place];
  done.returned = Now();
  done.version = answer.value("version", std::uint64_t{0});
  const std::string verdict = answer.value("verdict", std::string());
  done.result = verdict == "taken"      ? Operation::Result::kCommitted
                : verdict == "conflict" ? Operation::Result::kConflict
                : verdict == "refused"  ? Operation::Result::kRejected
                                        : Operation::Result::kUnknown;
  if (done.result == Operation::Result::kCommitted || done.result == Operation::Result::kConflict)
    newest_ = std::max(newest_, done.version);
}

Task<> TrialRunner::ReadAt(std::string name) {
  Operation op;
  op.kind = Operation::Kind::kRead;
  op.id = "read-" + std::to_string(++calls_);
  op.invoked = Now();
  const std::size_t place = leases_.operations.size();
  leases_.operations.push_back(op);
  const nlohmann::json call = {{"call", "read"}, {"id", op.id}, {"patience_ms", kCallTimeoutMs}};
  const std::string bytes = co_await Call(name, call.dump());
  const nlohmann::json answer = nlohmann::json::parse(bytes, nullptr, false);
  if (!answer.is_object() || !answer.contains("newest")) co_return;
  Operation& done = leases_.operations[place];
  done.returned = Now();
  done.version = answer.value("newest", std::uint64_t{0});
  done.result = Operation::Result::kCommitted;
  newest_ = std::max(newest_, done.version);
}

Task<> TrialRunner::EjectAt(std::string name, std::string engine, bool out) {
  const ProxyProcess* proxy = Find(name);
  if (proxy == nullptr) co_return;
  const std::string call = (out ? "exclude " : "include ") + engine + "\n";
  std::unique_ptr<runtime::Socket> socket;
  const Time begun = Now(), last = begun + kCallTimeout;
  std::string answer;
  std::size_t written = 0;
  runtime::Io io =
      co_await Connect(loop_, *runtime::Address::Parse(proxy->management), last, nullptr, socket);
  if (io == runtime::Io::kOk) io = co_await socket->Write(call, written, last);
  while (io == runtime::Io::kOk) io = co_await socket->Read(answer, 512, last);
  if (!answer.starts_with("ACK")) violations_.push_back(name + " answered '" + answer + "' to " + call);
  if (Now() - begun > 1s + kRunnerSlack)
    violations_.push_back(name + " took over a second to answer " + call);
  constexpr std::string_view kAgreed = "ACK for the fleet, version ";
  if (answer.starts_with(kAgreed))
    leases_.manual_ejections.push_back(
        {engine, out, std::strtoull(answer.c_str() + kAgreed.size(), nullptr, 10)});
}

Task<> TrialRunner::ChangeVoterAt(std::string name, std::string way, std::string who) {
  const nlohmann::json call = {{"call", "voters"}, {"way", way}, {"who", who}, {"patience_ms", 8000}};
  // For longer than other calls: a link may be cut meanwhile.
  std::string answer;
  for (int tries = 0; tries < 5 && answer.find("\"taken\"") == std::string::npos; ++tries) {
    answer = co_await Call(name, call.dump());
    co_await loop_.Sleep(200ms);
  }
  if (answer.find("\"taken\"") == std::string::npos)
    violations_.push_back("voter " + way + " " + who + " at " + name + ": " + answer);
}

Task<> TrialRunner::Operate() {
  std::mt19937_64 random(trial_.seed * 77 + 1);
  const auto beat = std::chrono::duration_cast<Span>(std::chrono::duration<double>(1 / trial_.changes));
  while (!over_ && calls_ < kMaxCalls) {
    co_await loop_.Sleep(beat);
    std::vector<std::string> living;
    for (const auto& proxy : proxies_)
      if (!history_.processes[proxy->record].ended) living.push_back(proxy->name);
    if (living.empty() || over_) continue;
    const std::string name = living[random() % living.size()];
    const std::uint64_t what = random() % 10;
    if (!trial_.each_once && what < 3) {
      loop_.Spawn(ReadAt(name));
      continue;
    }
    // Now and then from one that isn't the newest any more.
    const std::uint64_t from = what == 3 && newest_ > 0 && !trial_.each_once ? newest_ - 1 : newest_;
    loop_.Spawn(ProposeAt(name, "tenant \"acme\" { quota " + std::to_string(++changes_) + " }\n", from));
  }
}

void TrialRunner::ChangeStore(const std::string& name, ActionType type) {
  const std::string store = Folder(MachineOf(name)) + "/rules.db";
  for (const char* end : {"", "-wal", "-shm"}) {
    const std::string file = store + end, aside = store + ".kept" + end;
    std::error_code ignored;
    if (type == ActionType::kEraseStore) std::filesystem::remove(file, ignored);
    if (type == ActionType::kBackUpStore)
      std::filesystem::copy_file(file, aside, std::filesystem::copy_options::overwrite_existing, ignored);
    if (type == ActionType::kRestoreStore) {
      std::filesystem::remove(file, ignored);
      if (std::filesystem::exists(aside)) std::filesystem::copy_file(aside, file, ignored);
    }
  }
  if (type != ActionType::kCorruptStore) return;
  // Of the newest records, wherever they are: behind the last checkpoint, or in it.
  for (const char* end : {"", "-wal"}) {
    std::fstream file(store + end, std::ios::in | std::ios::out | std::ios::binary | std::ios::ate);
    const auto size = static_cast<std::int64_t>(file.tellg());
    for (std::int64_t at = size - 1; file && at > std::max<std::int64_t>(size / 2, 512); at -= 97) {
      file.seekg(at);
      const int byte = file.get();
      file.seekp(at);
      file.put(static_cast<char>(byte ^ 0x10));
    }
  }
}

// All is healed: each live proxy acts on the newest version; or none does, where the voters are lost.
Task<> TrialRunner::CheckReplicatedConfig() {
  over_ = true;
  const Time last = Now() + kRecoveryTimeout;
  for (;;) {
    std::vector<std::string> wrong;
    std::vector<std::pair<std::string, std::uint64_t>> versions;
    std::uint64_t newest = leases_.newest();
    for (const auto& proxy : proxies_) {
      if (history_.processes[proxy->record].ended) continue;
      const std::string bytes = co_await Call(proxy->name, R"({"call":"status"})");
      const nlohmann::json status = nlohmann::json::parse(bytes, nullptr, false);
      if (!status.is_object() || !status.contains("cut_off")) {
        wrong.push_back(proxy->label + " does not tell of its rules");
        continue;
      }
      const bool cut_off = status.value("cut_off", true);
      if (cut_off != trial_.lost)
        wrong.push_back(proxy->label +
                        (cut_off ? " is cut off at the end" : " acts though the voters are lost"));
      versions.emplace_back(proxy->label, status.value("version", std::uint64_t{0}));
    }
    for (const auto& [label, version] : versions)
      if (!trial_.lost && version != newest)
        wrong.push_back(label + " acts on version " + std::to_string(version) + " at the end, not on " +
                        std::to_string(newest));
    if (wrong.empty() || Now() >= last) {
      violations_.insert(violations_.end(), wrong.begin(), wrong.end());
      co_return;
    }
    co_await loop_.Sleep(100ms);
  }
}

void TrialRunner::MeasureAvailability(const Action& action) {
  const auto sum = [this] {
    RequestCounts all;
    for (const std::size_t machine : cut_side_) {
      if (machine > clients_.size()) continue;
      all.sent += clients_[machine - 1]->counts().sent;
      all.served += clients_[machine - 1]->counts().served;
    }
    return all;
  };
  if (!cut_side_.empty()) {
    const RequestCounts now = sum();
    const std::uint64_t sent = now.sent - cut_before_.sent;
    if (sent > 0)
      cut_shares_.push_back(static_cast<double>(now.served - cut_before_.served) / static_cast<double>(sent));
  }
  cut_side_.clear();
  if (action.type != ActionType::kPartition) return;
  std::size_t most = 0;
  for (const std::string& group : action.names) {
    std::istringstream names(group);
    std::vector<std::size_t> machines;
    std::size_t voters = 0;
    for (std::string name; names >> name;) {
      machines.push_back(MachineOf(name));
      voters += std::count(trial_.voters.begin(), trial_.voters.end(), name) > 0;
    }
    if (voters > most) most = voters, cut_side_ = machines;
  }
  cut_before_ = sum();
}

// Today's way: an operator at the first machine changes each proxy's own file and tells the process, one
// after the other; who is out of reach is tried again.
Task<> TrialRunner::PushFiles() {
  for (std::uint64_t version = 1; !over_; ++version) {
    std::set<std::size_t> left;
    for (std::size_t machine = 1; machine <= trial_.proxies; ++machine) left.insert(machine);
    const Time next = Now() + 2s;
    while (!over_ && (!left.empty() || Now() < next)) {
      for (const std::size_t machine : std::set<std::size_t>(left)) {
        co_await loop_.Sleep(20ms);
        const std::string name = "n" + std::to_string(machine);
        ProxyProcess* proxy = Find(name);
        const bool reached = machine == 1 || links_.Open(1, static_cast<simulation::Node>(machine));
        if (proxy == nullptr || !reached) continue;
        WriteFiles(name, machine);
        pushed_[machine] = version;
        proxy->process->Signal(SIGHUP);
        left.erase(machine);
      }
      co_await loop_.Sleep(100ms);
    }
  }
}

void TrialRunner::CheckFiles() {
  std::map<std::uint64_t, Time> first;
  for (const Adopted& one : adopted_) first.try_emplace(one.version, one.at);
  for (const auto& [version, since] : first) {
    for (std::size_t machine = 1; machine <= trial_.proxies; ++machine) {
      if (Find("n" + std::to_string(machine)) == nullptr) continue;
      Time until = history_.end;
      for (const Adopted& one : adopted_)
        if (one.machine == machine && one.version >= version) until = std::min(until, one.at);
      files_contradiction_ms_ =
          std::max(files_contradiction_ms_, std::chrono::duration<double, std::milli>(until - since).count());
    }
  }
}

void TrialRunner::CheckLeases() {
  if (trial_.files) CheckFiles();
  if (trial_.voters.empty()) return;
  lease_result_ = leases_.Check(kMaxContradiction);
  violations_.insert(violations_.end(), lease_result_.violations.begin(), lease_result_.violations.end());
  std::vector<std::size_t> processes;
  for (std::size_t i = 0; i < history_.processes.size(); ++i) {
    const ProcessRecord& record = history_.processes[i];
    if (!record.ended) processes.push_back(i);
    if (!record.killed || !record.ended) continue;
    Time next = runtime::kNever;
    for (const auto& [version, at] : leases_.committed_at())
      if (at > *record.ended) next = std::min(next, at);
    if (next != runtime::kNever)
      gap_ms_.push_back(std::chrono::duration<double, std::milli>(next - *record.ended).count());
  }
  for (const Operation& op : leases_.operations) {
    if (!trial_.each_once || op.kind != Operation::Kind::kChange ||
        op.result != Operation::Result::kCommitted)
      continue;
    const Time at = leases_.ActivatedByAll(op.version, processes);
    if (at != runtime::kNever)
      change_ms_.push_back(std::chrono::duration<double, std::milli>(at - op.invoked).count());
  }
}

}  // namespace lemoncroft::fault_test

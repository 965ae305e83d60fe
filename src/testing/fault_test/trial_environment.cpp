#include "testing/fault_test/trial_environment.h"

#include <sys/socket.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "testing/fault_test/relay.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;

namespace {

// Ports of a trial: two for gossip, then one for clients and one for operators.
constexpr int kFirstPort = 7100, kPortsPerTrial = 4, kMaxConcurrentTrials = 64;
constexpr int kClientPortOffset = 2, kAdminPortOffset = 3;
// Restarted processes use other admin ports, since the former process may still be running.
constexpr int kAdminPortStep = 1000, kAdminPorts = 8;
constexpr int kListenBacklog = 128;
constexpr int kEngines = 3;
constexpr auto kEngineWork = 5ms;
constexpr int kZones = 3;

constexpr const char* kConfigTemplate =
    R"({"name":"NAME","listen":"LISTEN","seed":"SEED",
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

constexpr const char* kEndpointTemplate =
    R"({"id":"ID","host_port":"AT","locality":"dc","flavor":"std","cell":0,
"phase":"Ready","size":1,"up_since_ms":0})";

std::string ReplaceFirst(std::string text, const std::string& placeholder, const std::string& value) {
  const std::size_t at = text.find(placeholder);
  return at == std::string::npos ? text : text.replace(at, placeholder.size(), value);
}

std::string FormatMilliseconds(Duration span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + "ms";
}

std::string HostAndPort(const std::string& host, int port) { return host + ":" + std::to_string(port); }

std::string EngineAddress(int number, int port) {
  return HostAndPort("127.0.3." + std::to_string(number), port);
}
std::string FeedAddress(int port) { return HostAndPort("127.0.3.254", port); }

runtime::Descriptor Listen(const std::string& address) {
  runtime::Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const auto at = runtime::Address::Parse(address);
  const int on = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (!at || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at->raw), sizeof at->raw) != 0 ||
      ::listen(fd.get(), kListenBacklog) != 0)
    return {};
  return fd;
}

}  // namespace

TrialEnvironment::TrialEnvironment(runtime::Loop& loop, const Trial& trial, std::string folder)
    : trial_(trial), folder_(std::move(folder)) {
  AcquirePorts();
  CreateServers(loop);
}

void TrialEnvironment::AcquirePorts() {
  for (int i = 0; i < kMaxConcurrentTrials && !port_lock_; ++i) {
    port_ = static_cast<std::uint16_t>(kFirstPort + kPortsPerTrial * i);
    port_lock_ = Listen(HostAndPort("127.0.2.254", port_));
  }
  if (!port_lock_) throw std::runtime_error("no free ports for the trial");
  for (std::size_t machine = 1; machine <= trial_.machines; ++machine) {
    client_listeners_.push_back(Listen(ClientAddress(machine)));
    if (!client_listeners_.back())
      throw std::runtime_error("cannot listen on the client address of a machine of the trial");
  }
}

void TrialEnvironment::CreateServers(runtime::Loop& loop) {
  feed_ = std::make_unique<EmulatedControlFeed>(loop, *runtime::Address::Parse(FeedAddress(port_)));
  std::string endpoints;
  for (int i = 1; i <= kEngines; ++i) {
    const std::string address = EngineAddress(i, port_);
    engines_.push_back(
        std::make_unique<EmulatedEngine>(loop, *runtime::Address::Parse(address), kEngineWork));
    const std::string endpoint = ReplaceFirst(kEndpointTemplate, "ID", "e" + std::to_string(i));
    endpoints += (i > 1 ? "," : "") + ReplaceFirst(endpoint, "AT", address);
  }
  feed_->Publish(endpoints);
}

void TrialEnvironment::StartServers() {
  feed_->Start();
  for (const auto& engine : engines_) engine->Start();
}

std::size_t TrialEnvironment::MachineOf(const std::string& name) const {
  const std::size_t machine = name.size() > 1 ? std::strtoul(name.c_str() + 1, nullptr, 10) : 0;
  if (machine == 0 || machine > trial_.machines) throw ScriptError("no machine for proxy '" + name + "'");
  return machine;
}

std::string TrialEnvironment::FolderOf(std::size_t machine) const {
  return folder_ + "/m" + std::to_string(machine);
}

std::uint16_t TrialEnvironment::ClientPort() const {
  return static_cast<std::uint16_t>(port_ + kClientPortOffset);
}

runtime::Address TrialEnvironment::GossipAddress(std::size_t machine, int address_index) const {
  return *runtime::Address::Parse(HostAndPort(Relay::BindHost(machine), port_ + address_index));
}

std::string TrialEnvironment::ClientAddress(std::size_t machine) const {
  return HostAndPort(Relay::BindHost(machine), ClientPort());
}

std::string TrialEnvironment::AdminAddress(std::size_t machine, int earlier_starts) const {
  return HostAndPort(Relay::BindHost(machine),
                     port_ + kAdminPortOffset + kAdminPortStep * (earlier_starts % kAdminPorts));
}

std::string TrialEnvironment::ForgedSenderAddress(std::size_t machine) const {
  return HostAndPort(Relay::AdvertisedHost(machine), ClientPort());
}

void TrialEnvironment::WriteConfiguration(const std::string& name, std::size_t machine) {
  const std::string folder = FolderOf(machine);
  std::filesystem::create_directories(TemporaryFolderOf(machine));
  std::ofstream(folder + "/config.json") << ConfigText(name, machine);
  std::ofstream(folder + "/operator.kdl") << OperatorText(machine);
}

std::string TrialEnvironment::ConfigText(const std::string& name, std::size_t machine) const {
  std::string text = ReplaceFirst(kConfigTemplate, "NAME", name);
  text = ReplaceFirst(text, "LISTEN", ClientAddress(machine));
  text = ReplaceFirst(text, "MANAGEMENT", AdminAddress(machine, 0));
  text = ReplaceFirst(text, "FEED", FeedAddress(port_));
  text = ReplaceFirst(text, "KNOWN", feed_->KnownEvents());
  text = ReplaceFirst(text, "SIBLINGS", std::to_string(trial_.proxies));
  std::ostringstream seed;
  seed << std::hex << trial_.seed * 1000 + machine;
  return ReplaceFirst(text, "SEED", seed.str());
}

std::string TrialEnvironment::OperatorText(std::size_t machine) const {
  // A hot restart moves a proxy from one of its two addresses to the other, so both are always named.
  const auto both_addresses = [this](const std::string& host) {
    return "\"" + HostAndPort(host, port_) + "\" \"" + HostAndPort(host, port_ + 1) + "\"";
  };
  std::string seeds;
  for (const std::string& seed : trial_.seed_proxies)
    seeds += " " + both_addresses(Relay::AdvertisedHost(MachineOf(seed)));
  std::ostringstream out;
  out << "fleet \"" << kFleetName << "\" {\n";
  out << "  listen " << both_addresses(Relay::BindHost(machine)) << "\n";
  out << "  advertise " << both_addresses(Relay::AdvertisedHost(machine)) << "\n";
  out << "  seeds" << seeds << "\n";
  out << "  zone \"z" << machine % kZones << "\"\n";
  out << "  state-file \"" << FolderOf(machine) << "/fleet.json\"\n";
  out << "  period \"" << FormatMilliseconds(trial_.gossip_period) << "\"\n";
  out << "  remember \"" << FormatMilliseconds(trial_.dead_member_retention) << "\"\n";
  out << "}\n" << RulesBlock(machine);
  return out.str();
}

std::string TrialEnvironment::RulesBlock(std::size_t machine) const {
  if (trial_.voters.empty()) return {};
  std::string out = "rules {\n  voters";
  for (const std::string& voter : trial_.voters) out += " \"" + voter + "\"";
  return out + "\n  store \"" + StorePathOf(machine) + "\"\n}\n";
}

}  // namespace lemoncroft::fault_test

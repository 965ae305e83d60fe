#include "testing/fault_test/relay.h"

#include <arpa/inet.h>

#include <chrono>
#include <utility>

#include "testing/fault_test/tcp_server.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::IoResult;
using runtime::Now;
using runtime::Task;

namespace {

constexpr std::size_t kDatagramsPerTurn = 64;  // after which other tasks of the loop run
constexpr int kAddressesPerMachine = 2;
constexpr auto kStreamTimeout = 3000ms;  // also of the wait for a cut link
constexpr auto kStreamPollInterval = 20ms;
constexpr std::size_t kStreamReadBytes = 4096;
constexpr std::uint32_t kBindNetwork = 0x7f000100, kAdvertisedNetwork = 0x7f000200;
constexpr int kAnyPort = 0;

runtime::Address MakeAddress(std::uint32_t network, std::size_t machine, int port) {
  runtime::Address address;
  address.raw.sin_family = AF_INET;
  address.raw.sin_addr.s_addr = htonl(network + static_cast<std::uint32_t>(machine));
  address.raw.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

simulation::Node NodeOf(std::size_t machine) { return static_cast<simulation::Node>(machine); }

}  // namespace

std::string Relay::BindHost(std::size_t machine) { return "127.0.1." + std::to_string(machine); }
std::string Relay::AdvertisedHost(std::size_t machine) { return "127.0.2." + std::to_string(machine); }

Relay::Relay(runtime::Loop& loop, simulation::Links& links, std::size_t machines, std::uint16_t port)
    : loop_(loop), links_(links), machines_(machines), port_(port) {
  for (std::size_t machine = 1; machine <= machines; ++machine) {
    for (int index = 0; index < kAddressesPerMachine; ++index) {
      const runtime::Address bound = MakeAddress(kAdvertisedNetwork, machine, port + index);
      auto address = std::make_unique<MachineAddress>();
      address->machine = machine;
      address->index = index;
      address->datagrams = std::make_unique<runtime::DatagramSocket>(loop, bound);
      address->streams = std::make_unique<runtime::Listener>(loop, bound);
      addresses_.push_back(std::move(address));
    }
  }
}

void Relay::Start() {
  for (const auto& address : addresses_) {
    loop_.Spawn(ForwardDatagrams(*address));
    const auto forward = [this, to = address.get()](std::unique_ptr<runtime::Socket> socket) {
      return ForwardStream(std::move(socket), *to);
    };
    loop_.Spawn(AcceptConnections(loop_, *address->streams, forward));
  }
}

Relay::MachineAddress& Relay::AddressOf(const Sender& sender) {
  return *addresses_[kAddressesPerMachine * (sender.machine - 1) + static_cast<std::size_t>(sender.index)];
}

runtime::Address Relay::BoundAddress(const MachineAddress& advertised) const {
  return MakeAddress(kBindNetwork, advertised.machine, port_ + advertised.index);
}

Relay::Sender Relay::SenderAt(const runtime::Address& address) const {
  const std::uint32_t host = ntohl(address.raw.sin_addr.s_addr);
  const int port = ntohs(address.raw.sin_port);
  if (host <= kBindNetwork || host > kBindNetwork + machines_) return {};
  return {host - kBindNetwork, port == port_ + 1 ? 1 : 0};
}

bool Relay::IsOpen(std::size_t from, std::size_t to) const { return links_.IsOpen(NodeOf(from), NodeOf(to)); }

runtime::Duration Relay::TransferTime(std::size_t from, std::size_t to, std::size_t bytes) const {
  const simulation::LinkFaults& faults = links_.FaultsOf(NodeOf(from), NodeOf(to));
  if (faults.bandwidth <= 0) return faults.delay;
  const std::chrono::duration<double> sending(static_cast<double>(bytes) / faults.bandwidth);
  return faults.delay + std::chrono::duration_cast<runtime::Duration>(sending);
}

Task<> Relay::ForwardDatagrams(const MachineAddress& to) {
  for (std::size_t count = 1;; ++count) {
    const runtime::DatagramSocket::Received received = co_await to.datagrams->Receive();
    if (received.result != IoResult::kOk) co_return;
    const Sender from = SenderAt(received.from);
    if (from.machine == 0) continue;
    const auto deliver = [&](simulation::Instant at, std::string bytes) {
      loop_.Spawn(DeliverDatagram(start_ + at, from, to, std::move(bytes)));
    };
    links_.Send(Now() - start_, NodeOf(from.machine), NodeOf(to.machine), std::string(received.bytes),
                deliver);
    if (count % kDatagramsPerTurn == 0) co_await loop_.NextTurn();
  }
}

Task<> Relay::DeliverDatagram(runtime::Time at, Sender from, const MachineAddress& to, std::string bytes) {
  if (at > Now()) co_await loop_.SleepUntil(at);
  AddressOf(from).datagrams->Send(bytes, BoundAddress(to));
}

Task<> Relay::ForwardStream(std::unique_ptr<runtime::Socket> socket, const MachineAddress& to) {
  const std::size_t from = SenderAt(socket->peer()).machine;
  if (from == 0) co_return;
  const runtime::Time deadline = Now() + kStreamTimeout;
  while (!IsOpenBothWays(from, to.machine) && Now() < deadline) co_await loop_.Sleep(kStreamPollInterval);
  if (!IsOpenBothWays(from, to.machine)) co_return;
  std::shared_ptr<runtime::Socket> in = std::move(socket);
  std::unique_ptr<runtime::Socket> connected;
  const runtime::Address source_address = MakeAddress(kAdvertisedNetwork, from, kAnyPort);
  const IoResult io = co_await Connect(loop_, BoundAddress(to), deadline, nullptr, connected, source_address);
  if (io != IoResult::kOk) co_return;
  std::shared_ptr<runtime::Socket> out = std::move(connected);
  loop_.Spawn(CopyStream(out, in, to.machine, from));
  co_await CopyStream(in, out, from, to.machine);
}

Task<> Relay::CopyStream(std::shared_ptr<runtime::Socket> in, std::shared_ptr<runtime::Socket> out,
                         std::size_t from, std::size_t to) {
  for (std::string bytes;; bytes.clear()) {
    if (co_await in->Read(bytes, kStreamReadBytes, Now() + kStreamTimeout) != IoResult::kOk) break;
    const runtime::Time deadline = Now() + kStreamTimeout;
    while (!IsOpen(from, to) && Now() < deadline) co_await loop_.Sleep(kStreamPollInterval);
    if (!IsOpen(from, to)) break;
    co_await loop_.Sleep(TransferTime(from, to, bytes.size()));
    links_.Garble(NodeOf(from), NodeOf(to), bytes);
    std::size_t written = 0;
    if (co_await out->Write(bytes, written, Now() + kStreamTimeout) != IoResult::kOk) break;
  }
  out->ShutdownWrite();
}

}  // namespace lemoncroft::fault_test

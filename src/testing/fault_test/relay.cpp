#include "testing/fault_test/relay.h"

#include <arpa/inet.h>

#include <utility>

#include "testing/fault_test/tcp_server.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Io;
using runtime::Now;
using runtime::Task;

namespace {

constexpr std::size_t kDatagramsPerTurn = 64;  // datagrams in a turn of the loop
constexpr auto kStreamTimeout = 3000ms;        // for a link that is cut under a stream
constexpr auto kStreamPollInterval = 20ms;
constexpr std::size_t kChunk = 4096;
constexpr std::uint32_t kBindNetwork = 0x7f000100, kAdvertisedNetwork = 0x7f000200;

runtime::Address MakeAddress(std::uint32_t host, int port) {
  runtime::Address address;
  address.raw.sin_family = AF_INET;
  address.raw.sin_addr.s_addr = htonl(host);
  address.raw.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

}  // namespace

std::string Relay::BindHost(std::size_t machine) { return "127.0.1." + std::to_string(machine); }
std::string Relay::AdvertisedHost(std::size_t machine) { return "127.0.2." + std::to_string(machine); }

Relay::Relay(runtime::Loop& loop, simulation::Links& links, std::size_t machines, std::uint16_t port)
    : loop_(loop), links_(links), machines_(machines), port_(port) {
  for (std::size_t machine = 1; machine <= machines; ++machine) {
    for (int index = 0; index < 2; ++index) {
      const runtime::Address at =
          MakeAddress(kAdvertisedNetwork + static_cast<std::uint32_t>(machine), port + index);
      auto address = std::make_unique<MachineAddress>();
      address->machine = machine;
      address->index = index;
      address->datagrams = std::make_unique<runtime::DatagramSocket>(loop, at);
      address->streams = std::make_unique<runtime::Listener>(loop, at);
      addresses_.push_back(std::move(address));
    }
  }
}

void Relay::Start() {
  for (const auto& address : addresses_) {
    loop_.Spawn(ForwardDatagrams(*address));
    loop_.Spawn(AcceptConnections(loop_, *address->streams,
                                  [this, to = address.get()](std::unique_ptr<runtime::Socket> socket) {
                                    return ForwardStream(std::move(socket), *to);
                                  }));
  }
}

Relay::SenderAddress Relay::Sender(const runtime::Address& address) const {
  const std::uint32_t host = ntohl(address.raw.sin_addr.s_addr);
  const int port = ntohs(address.raw.sin_port);
  if (host <= kBindNetwork || host > kBindNetwork + machines_) return {};
  return {host - kBindNetwork, port == port_ + 1 ? 1 : 0};
}

Task<> Relay::ForwardDatagrams(MachineAddress& address) {
  for (std::size_t n = 1;; ++n) {
    const runtime::DatagramSocket::Received received = co_await address.datagrams->Receive();
    if (received.io != Io::kOk) co_return;
    const SenderAddress from = Sender(received.from);
    if (from.machine == 0) continue;
    links_.Send(Since(), static_cast<simulation::Node>(from.machine),
                static_cast<simulation::Node>(address.machine), std::string(received.bytes),
                [&](simulation::Instant at, std::string bytes) {
                  loop_.Spawn(DeliverDatagram(start_ + at, from, address, std::move(bytes)));
                });
    if (n % kDatagramsPerTurn == 0) co_await loop_.NextTurn();
  }
}

Task<> Relay::DeliverDatagram(runtime::Time at, SenderAddress from, const MachineAddress& to,
                              std::string bytes) {
  if (at > Now()) co_await loop_.SleepUntil(at);
  ++passed_;
  At(from.machine, from.index)
      .datagrams->Send(bytes,
                       MakeAddress(kBindNetwork + static_cast<std::uint32_t>(to.machine), port_ + to.index));
}

Task<> Relay::ForwardStream(std::unique_ptr<runtime::Socket> socket, const MachineAddress& to) {
  const std::size_t from = Sender(socket->peer()).machine;
  if (from == 0) co_return;
  const auto open = [&] {
    return links_.Open(static_cast<simulation::Node>(from), static_cast<simulation::Node>(to.machine)) &&
           links_.Open(static_cast<simulation::Node>(to.machine), static_cast<simulation::Node>(from));
  };
  const runtime::Time last = Now() + kStreamTimeout;
  while (!open() && Now() < last) co_await loop_.Sleep(kStreamPollInterval);
  if (!open()) co_return;
  std::shared_ptr<runtime::Socket> in = std::move(socket);
  std::unique_ptr<runtime::Socket> made;
  const Io io = co_await Connect(
      loop_, MakeAddress(kBindNetwork + static_cast<std::uint32_t>(to.machine), port_ + to.index), last,
      nullptr, made, MakeAddress(kAdvertisedNetwork + static_cast<std::uint32_t>(from), 0));
  if (io != Io::kOk) co_return;
  std::shared_ptr<runtime::Socket> out = std::move(made);
  loop_.Spawn(CopyStream(out, in, to.machine, from));
  co_await CopyStream(in, out, from, to.machine);
}

Task<> Relay::CopyStream(std::shared_ptr<runtime::Socket> in, std::shared_ptr<runtime::Socket> out,
                         std::size_t from, std::size_t to) {
  const auto a = static_cast<simulation::Node>(from), b = static_cast<simulation::Node>(to);
  for (std::string bytes;; bytes.clear()) {
    if (co_await in->Read(bytes, kChunk, Now() + kStreamTimeout) != Io::kOk) break;
    const runtime::Time last = Now() + kStreamTimeout;
    while (!links_.Open(a, b) && Now() < last) co_await loop_.Sleep(kStreamPollInterval);
    if (!links_.Open(a, b)) break;
    const simulation::LinkFaults& faults = links_.Of(a, b);
    runtime::Span wait = faults.delay;
    if (faults.bandwidth > 0)
      wait += std::chrono::duration_cast<runtime::Span>(
          std::chrono::duration<double>(static_cast<double>(bytes.size()) / faults.bandwidth));
    co_await loop_.Sleep(wait);
    links_.Garble(a, b, bytes);
    std::size_t written = 0;
    if (co_await out->Write(bytes, written, Now() + kStreamTimeout) != Io::kOk) break;
  }
  out->EndWriting();
}

}  // namespace lemoncroft::fault_test

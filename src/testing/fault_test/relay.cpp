#include "testing/fault_test/relay.h"

#include <arpa/inet.h>

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Io;
using runtime::Now;
using runtime::Task;

namespace {

constexpr std::size_t kTurn = 64;         // datagrams in a turn of the loop
constexpr auto kStreamPatience = 3000ms;  // for a link that is cut under a stream
constexpr auto kStreamBeat = 20ms;
constexpr std::size_t kChunk = 4096;
constexpr std::uint32_t kBoundNet = 0x7f000100, kToldNet = 0x7f000200;

runtime::Address Make(std::uint32_t host, int port) {
  runtime::Address address;
  address.raw.sin_family = AF_INET;
  address.raw.sin_addr.s_addr = htonl(host);
  address.raw.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

}  // namespace

std::string Relay::Bound(std::size_t machine) { return "127.0.1." + std::to_string(machine); }
std::string Relay::Told(std::size_t machine) { return "127.0.2." + std::to_string(machine); }

Relay::Relay(runtime::Loop& loop, simulation::Links& links, std::size_t machines, std::uint16_t port)
    : loop_(loop), links_(links), machines_(machines), port_(port) {
  for (std::size_t machine = 1; machine <= machines; ++machine) {
    for (int second = 0; second < 2; ++second) {
      const runtime::Address at = Make(kToldNet + static_cast<std::uint32_t>(machine), port + second);
      auto ear = std::make_unique<Ear>();
      ear->machine = machine;
      ear->second = second;
      ear->datagrams = std::make_unique<runtime::DatagramSocket>(loop, at);
      ear->streams = std::make_unique<runtime::Listener>(loop, at);
      ears_.push_back(std::move(ear));
    }
  }
}

void Relay::Start() {
  for (const auto& ear : ears_) {
    loop_.Spawn(Hear(*ear));
    loop_.Spawn(Accept(*ear));
  }
}

Relay::From Relay::Sender(const runtime::Address& address) const {
  const std::uint32_t host = ntohl(address.raw.sin_addr.s_addr);
  const int port = ntohs(address.raw.sin_port);
  if (host <= kBoundNet || host > kBoundNet + machines_) return {};
  return {host - kBoundNet, port == port_ + 1 ? 1 : 0};
}

Task<> Relay::Hear(Ear& ear) {
  for (std::size_t n = 1;; ++n) {
    const runtime::DatagramSocket::Received received = co_await ear.datagrams->Receive();
    if (received.io != Io::kOk) co_return;
    const From from = Sender(received.from);
    if (from.machine == 0) continue;
    links_.Send(Since(), static_cast<simulation::Node>(from.machine),
                static_cast<simulation::Node>(ear.machine), std::string(received.bytes),
                [&](simulation::Instant at, std::string bytes) {
                  loop_.Spawn(PassLater(start_ + at, from, ear, std::move(bytes)));
                });
    if (n % kTurn == 0) co_await loop_.NextTurn();
  }
}

Task<> Relay::PassLater(runtime::Time at, From from, const Ear& to, std::string bytes) {
  if (at > Now()) co_await loop_.SleepUntil(at);
  ++passed_;
  At(from.machine, from.second)
      .datagrams->Send(bytes, Make(kBoundNet + static_cast<std::uint32_t>(to.machine), port_ + to.second));
}

Task<> Relay::Accept(Ear& ear) {
  for (;;) {
    std::unique_ptr<runtime::Socket> socket;
    const Io io = co_await ear.streams->Accept(socket);
    if (io == Io::kCancelled) co_return;
    if (io == Io::kOk) loop_.Spawn(Carry(std::move(socket), ear));
    co_await loop_.NextTurn();
  }
}

Task<> Relay::Carry(std::unique_ptr<runtime::Socket> socket, const Ear& to) {
  const std::size_t from = Sender(socket->peer()).machine;
  if (from == 0) co_return;
  const auto open = [&] {
    return links_.Open(static_cast<simulation::Node>(from), static_cast<simulation::Node>(to.machine)) &&
           links_.Open(static_cast<simulation::Node>(to.machine), static_cast<simulation::Node>(from));
  };
  const runtime::Time last = Now() + kStreamPatience;
  while (!open() && Now() < last) co_await loop_.Sleep(kStreamBeat);
  if (!open()) co_return;
  std::shared_ptr<runtime::Socket> in = std::move(socket);
  std::unique_ptr<runtime::Socket> made;
  const Io io =
      co_await Connect(loop_, Make(kBoundNet + static_cast<std::uint32_t>(to.machine), port_ + to.second),
                       last, nullptr, made, Make(kToldNet + static_cast<std::uint32_t>(from), 0));
  if (io != Io::kOk) co_return;
  std::shared_ptr<runtime::Socket> out = std::move(made);
  loop_.Spawn(Pump(out, in, to.machine, from));
  co_await Pump(in, out, from, to.machine);
}

Task<> Relay::Pump(std::shared_ptr<runtime::Socket> in, std::shared_ptr<runtime::Socket> out,
                   std::size_t from, std::size_t to) {
  const auto a = static_cast<simulation::Node>(from), b = static_cast<simulation::Node>(to);
  for (std::string bytes;; bytes.clear()) {
    if (co_await in->Read(bytes, kChunk, Now() + kStreamPatience) != Io::kOk) break;
    const runtime::Time last = Now() + kStreamPatience;
    while (!links_.Open(a, b) && Now() < last) co_await loop_.Sleep(kStreamBeat);
    if (!links_.Open(a, b)) break;
    const simulation::LinkFaults& faults = links_.Of(a, b);
    runtime::Span wait = faults.delay;
    if (faults.bandwidth > 0)
      wait += std::chrono::duration_cast<runtime::Span>(
          std::chrono::duration<double>(static_cast<double>(bytes.size()) / faults.bandwidth));
    co_await loop_.Sleep(wait);
    links_.Garble(a, b, bytes);
    std::size_t written = 0;
    if (co_await out->Write(bytes, written, Now() + kStreamPatience) != Io::kOk) break;
  }
  out->ShutdownWrite();
}

}  // namespace lemoncroft::fault_test
